//! The drain role, which controls a planned stop.

use crate::dispatch::DispatchEvent;
use crate::drain::DrainAction;
use crate::drain::DrainEvent;
use crate::drain::RemainingCallers;
use crate::exchange::ExchangeEvent;
use crate::rates::RatesEvent;
use crate::timeline::EventCode;
use crate::timeline::Subject;
use crate::types::CallerId;
use crate::types::MonoTime;
use crate::types::Reason;
use crate::vm::Vm;
use crate::vm::VmAction;
use crate::vm::roles::RoleEvent;

impl Vm {
    /// Runs the drain role with an event and applies its actions.
    pub(super) fn run_drain(
        &mut self,
        now: MonoTime,
        event: DrainEvent,
        actions: &mut Vec<VmAction>,
    ) {
        let mut role_actions = Vec::new();
        self.drain.handle(now, event, &mut role_actions);
        for action in role_actions {
            match action {
                // `accept` refuses new callers from now on, because the role is draining.
                DrainAction::StopAccepting => {
                    let reason = Some(Reason::Requested);
                    let subject = Subject {
                        reason,
                        ..Subject::default()
                    };
                    self.record(now, EventCode::DrainBegun, subject);
                    self.push(RoleEvent::Rates(RatesEvent::StopRequested));
                }
                DrainAction::CloseIdleCallers { limit } => {
                    let idle = self.idle_callers().take(limit).collect();
                    self.close_callers(idle, actions);
                }
                DrainAction::CloseAllCallers => {
                    let all = self.callers.ids().collect();
                    self.close_callers(all, actions);
                }
                DrainAction::ReleaseMembership => {
                    self.push(RoleEvent::Rates(RatesEvent::StopFinished));
                    self.push(RoleEvent::Dispatch(DispatchEvent::StopFinished));
                    self.release.requested = true;
                    self.leave_if_tokens_returned();
                }
                DrainAction::Exit => {
                    self.record(now, EventCode::DrainEnded, Subject::default());
                    actions.push(VmAction::Exit);
                }
            }
        }
    }

    fn idle_callers(&self) -> impl Iterator<Item = CallerId> {
        let callers = self.callers.ids();
        callers.filter(|caller| self.exchanges.is_idle(*caller))
    }

    fn close_callers(&mut self, callers: Vec<CallerId>, actions: &mut Vec<VmAction>) {
        for caller in callers {
            self.callers.remove(caller);
            self.push(RoleEvent::Exchange(ExchangeEvent::CallerClosed { caller }));
            actions.push(VmAction::CloseCaller {
                caller,
                reason: Reason::Draining,
            });
        }
    }

    /// Returns the numbers of callers that a planned stop still waits for.
    pub(super) fn remaining_callers(&self) -> RemainingCallers {
        let idle_callers = self.idle_callers().count();
        RemainingCallers {
            busy_callers: self.callers.len() - idle_callers,
            idle_callers,
        }
    }
}
