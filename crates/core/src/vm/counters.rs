//! Statement outcomes by workspace, for the status view and for metrics.

use std::collections::BTreeMap;

use crate::types::Outcome;
use crate::types::WorkspaceId;

/// How many statements of one workspace ended in each way on this VM since its start.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct OutcomeCounts {
    /// The number of statements whose answer was delivered.
    pub answered: u64,
    /// The number of statements that were refused and did not run.
    pub not_run: u64,
    /// The number of statements that failed and may or may not have run.
    pub unknown: u64,
}

/// Outcome counts by workspace.
#[derive(Debug, Default)]
pub(super) struct OutcomeCounters {
    workspaces: BTreeMap<WorkspaceId, OutcomeCounts>,
}

impl OutcomeCounters {
    pub(super) fn count(&mut self, workspace: &WorkspaceId, outcome: Outcome) {
        if !self.workspaces.contains_key(workspace) {
            self.workspaces
                .insert(workspace.clone(), OutcomeCounts::default());
        }
        let Some(counts) = self.workspaces.get_mut(workspace) else {
            return;
        };
        match outcome {
            Outcome::Answered => counts.answered += 1,
            Outcome::NotRun => counts.not_run += 1,
            Outcome::Unknown => counts.unknown += 1,
        }
    }

    /// Returns the counts of a workspace; all are 0 if none of its statements has ended yet.
    pub(super) fn get(&self, workspace: &WorkspaceId) -> OutcomeCounts {
        self.workspaces.get(workspace).copied().unwrap_or_default()
    }
}
