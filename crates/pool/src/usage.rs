//! How often workspaces have used a member lately.

use std::collections::BTreeMap;
use std::time::Duration;

use lycheedoor_core::types::MonoTime;
use lycheedoor_core::types::WorkspaceId;

/// Time after which a use counts half: long enough for some ten statements a VM and member at the
/// usual load, short enough to follow a workspace whose load changes.
const HALF_LIFE: Duration = Duration::from_secs(3);

/// Uses below this number are forgotten.
const LEAST: f64 = 0.01;

#[derive(Clone, Copy, Debug)]
struct Uses {
    count: f64,
    at: MonoTime,
}

impl Uses {
    fn decayed(&self, now: MonoTime) -> f64 {
        let half_lives = now.since(self.at).as_secs_f64() / HALF_LIFE.as_secs_f64();
        self.count * (-half_lives).exp2()
    }
}

/// The decayed number of uses by workspace.
#[derive(Clone, Debug, Default)]
pub(crate) struct Usage {
    uses: BTreeMap<WorkspaceId, Uses>,
}

impl Usage {
    /// Counts a use by a workspace.
    pub(crate) fn count(&mut self, now: MonoTime, workspace: &WorkspaceId) {
        if let Some(uses) = self.uses.get_mut(workspace) {
            let count = uses.decayed(now) + 1.0;
            *uses = Uses { count, at: now };
            return;
        }
        self.uses.retain(|_, uses| uses.decayed(now) >= LEAST);
        let first = Uses {
            count: 1.0,
            at: now,
        };
        self.uses.insert(workspace.clone(), first);
    }

    /// Returns the recent uses by a workspace; the latest count most.
    pub(crate) fn recent(&self, now: MonoTime, workspace: &WorkspaceId) -> f64 {
        let uses = self.uses.get(workspace);
        uses.map_or(0.0, |uses| uses.decayed(now))
    }
}
