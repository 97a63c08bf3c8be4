//! Pauses a group while a planned switchover of its primary is prepared.

use crate::exchange::Exchanges;
use crate::exchange::role::EventContext;
use crate::exchange::statement::Stage;
use crate::types::GroupId;
use crate::types::RequestId;

impl Exchanges {
    /// Returns whether the primary of a group is in use: by a statement in progress, by an answer
    /// that is held, or by an open transaction.
    pub fn uses_primary(&self, group: &GroupId) -> bool {
        let mut connections = self.connections.values();
        let mut statements = self.statements.values();
        connections.any(|usage| usage.group == *group && usage.term.is_some())
            || statements.any(|statement| {
                let held = matches!(&statement.stage, Stage::Held(held) if held.term.is_some());
                held && statement.plan.group == *group
            })
    }

    pub(super) fn is_paused(&self, group: &GroupId) -> bool {
        self.groups.get(group).is_some_and(|state| state.paused)
    }

    /// Starts or ends the pause of a group. During a pause, statements of open transactions are
    /// still sent to the primary; others wait.
    pub(super) fn set_paused(
        &mut self,
        context: &mut EventContext<'_>,
        group: &GroupId,
        paused: bool,
    ) {
        self.groups.entry(group.clone()).or_default().paused = paused;
        if !paused {
            return self.place_waiting_statements(context, group);
        }
        let statements = self.statements.iter();
        let queued = statements.filter(|(_, statement)| {
            let stage = &statement.stage;
            let on_primary = matches!(
                stage,
                Stage::Queued {
                    on_primary: true,
                    ..
                }
            );
            on_primary && statement.plan.group == *group
        });
        let queued: Vec<RequestId> = queued.map(|(request, _)| *request).collect();
        for request in queued {
            self.requeue(context, request);
        }
    }
}
