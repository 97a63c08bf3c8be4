//! The counts of one VM, until they are fixed.

use std::collections::BTreeMap;

use lycheedoor_core::types::WorkspaceId;

use crate::usage_report::message::UsageCounts;

/// How many operations began, and how many of them the holder is known to have been told of.
#[derive(Clone, Copy, Debug, Default)]
struct Count {
    total: u64,
    acknowledged: u64,
}

/// The counts of one VM by window and workspace. They are kept until the window is fixed, so that a
/// later holder can be told of them as well.
#[derive(Clone, Debug, Default)]
pub(crate) struct Counter {
    windows: BTreeMap<u64, BTreeMap<WorkspaceId, Count>>,
}

impl Counter {
    pub(crate) fn add(&mut self, window: u64, workspace: &WorkspaceId) {
        let counts = self.windows.entry(window).or_default();
        match counts.get_mut(workspace) {
            Some(count) => count.total += 1,
            None => {
                let first = Count {
                    total: 1,
                    acknowledged: 0,
                };
                counts.insert(workspace.clone(), first);
            }
        }
    }

    /// Returns all that was counted in a window.
    pub(crate) fn totals(&self, window: u64) -> UsageCounts {
        let counts = self.windows.get(&window).into_iter().flatten();
        counts
            .map(|(workspace, count)| (workspace.clone(), count.total))
            .collect()
    }

    /// Returns the totals that the holder may not know.
    pub(crate) fn unacknowledged(&self) -> Vec<(u64, UsageCounts)> {
        let is_new = |count: &Count| count.total > count.acknowledged;
        let windows = self.windows.iter().map(|(window, counts)| {
            let counts = counts.iter().filter(|(_, count)| is_new(count));
            let counts = counts.map(|(workspace, count)| (workspace.clone(), count.total));
            (*window, counts.collect::<UsageCounts>())
        });
        windows.filter(|(_, counts)| !counts.is_empty()).collect()
    }

    /// Returns all totals.
    pub(crate) fn all(&self) -> Vec<(u64, UsageCounts)> {
        let windows = self.windows.keys();
        windows
            .map(|window| (*window, self.totals(*window)))
            .collect()
    }

    pub(crate) fn acknowledge(&mut self, windows: &[(u64, UsageCounts)]) {
        for (window, counts) in windows {
            let Some(known) = self.windows.get_mut(window) else {
                continue;
            };
            for (workspace, total) in counts {
                if let Some(count) = known.get_mut(workspace) {
                    count.acknowledged = count.acknowledged.max(*total);
                }
            }
        }
    }

    /// Forgets what was acknowledged, since another VM has become the holder.
    pub(crate) fn reset_acknowledged(&mut self) {
        for count in self.windows.values_mut().flat_map(BTreeMap::values_mut) {
            count.acknowledged = 0;
        }
    }

    /// Drops the windows before `first`, which are fixed, and returns how many operations in them
    /// the holder is not known to have been told of.
    pub(crate) fn drop_fixed(&mut self, first: u64) -> u64 {
        let kept = self.windows.split_off(&first);
        let dropped = std::mem::replace(&mut self.windows, kept);
        let counts = dropped.values().flat_map(BTreeMap::values);
        counts.map(|count| count.total - count.acknowledged).sum()
    }

    /// Drops the windows before `first`, which nobody will report, and returns how many operations
    /// began in them.
    pub(crate) fn drop_overdue(&mut self, first: u64) -> u64 {
        let kept = self.windows.split_off(&first);
        let dropped = std::mem::replace(&mut self.windows, kept);
        let counts = dropped.values().flat_map(BTreeMap::values);
        counts.map(|count| count.total).sum()
    }
}
