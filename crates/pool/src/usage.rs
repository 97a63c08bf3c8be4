//! How often each workspace has recently used a member.

use std::collections::BTreeMap;
use std::time::Duration;

use lycheedoor_core::types::MonoTime;
use lycheedoor_core::types::WorkspaceId;

/// Time after which a use counts half. At the usual load one VM sends a member some ten statements
/// in this time, enough for an estimate, and it is short enough to follow a workspace whose load
/// changes.
const HALF_LIFE: Duration = Duration::from_secs(3);

/// Workspaces with a smaller decayed count are dropped.
const MIN_RETAINED_COUNT: f64 = 0.01;

/// An exponentially decayed count, as of the time of its last update.
#[derive(Clone, Copy, Debug)]
struct DecayedCount {
    count: f64,
    updated_at: MonoTime,
}

impl DecayedCount {
    fn decayed(&self, now: MonoTime) -> f64 {
        let half_lives = now.since(self.updated_at).as_secs_f64() / HALF_LIFE.as_secs_f64();
        self.count * (-half_lives).exp2()
    }
}

/// The exponentially decayed number of uses of a member, by workspace.
#[derive(Clone, Debug, Default)]
pub(crate) struct Usage {
    uses: BTreeMap<WorkspaceId, DecayedCount>,
}

impl Usage {
    /// Counts one use by a workspace.
    pub(crate) fn record_use(&mut self, now: MonoTime, workspace: &WorkspaceId) {
        if let Some(uses) = self.uses.get_mut(workspace) {
            let count = uses.decayed(now) + 1.0;
            *uses = DecayedCount {
                count,
                updated_at: now,
            };
            return;
        }
        self.uses
            .retain(|_, uses| uses.decayed(now) >= MIN_RETAINED_COUNT);
        let first = DecayedCount {
            count: 1.0,
            updated_at: now,
        };
        self.uses.insert(workspace.clone(), first);
    }

    /// Returns the decayed number of uses by a workspace.
    pub(crate) fn decayed_count(&self, now: MonoTime, workspace: &WorkspaceId) -> f64 {
        let uses = self.uses.get(workspace);
        uses.map_or(0.0, |uses| uses.decayed(now))
    }
}
