//! Outcomes of statements by workspace, for status and metrics.

use std::collections::BTreeMap;

use crate::types::Outcome;
use crate::types::WorkspaceId;

/// How statements of one workspace ended on this VM.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct OutcomeCounts {
    /// Statements whose answer was delivered.
    pub answered: u64,
    /// Statements that were refused and did not run.
    pub not_run: u64,
    /// Statements that may have run.
    pub unknown: u64,
}

/// Outcomes by workspace.
#[derive(Debug, Default)]
pub(super) struct OutcomeCounters {
    workspaces: BTreeMap<WorkspaceId, OutcomeCounts>,
}

impl OutcomeCounters {
    /// Counts the outcome of a statement.
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

    /// Returns the outcomes of a workspace.
    pub(super) fn get(&self, workspace: &WorkspaceId) -> OutcomeCounts {
        self.workspaces.get(workspace).copied().unwrap_or_default()
    }
}
