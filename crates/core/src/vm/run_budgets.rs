//! The roles that share budgets between VMs: rates (rate limiter tokens) and dispatch (connections
//! and statement slots).

use crate::dispatch::DispatchAction;
use crate::dispatch::DispatchEvent;
use crate::exchange::ExchangeEvent;
use crate::membership::MembershipEvent;
use crate::rates::RatesAction;
use crate::rates::RatesEvent;
use crate::timeline::EventCode;
use crate::timeline::Subject;
use crate::types::ConnectionId;
use crate::types::MemberId;
use crate::types::MonoTime;
use crate::types::Reason;
use crate::types::RequestId;
use crate::vm::PeerMessage;
use crate::vm::Vm;
use crate::vm::VmAction;
use crate::vm::roles::RoleEvent;

impl Vm {
    /// Runs the rates role with an event and applies its actions.
    pub(super) fn run_rates(
        &mut self,
        now: MonoTime,
        event: RatesEvent,
        actions: &mut Vec<VmAction>,
    ) {
        let mut role_actions = Vec::new();
        self.rates.handle(now, event, &mut role_actions);
        for action in role_actions {
            match action {
                RatesAction::Admitted { request } => self.push_admission_decision(request, None),
                RatesAction::Refused { request, reason } => {
                    self.push_admission_decision(request, Some(reason));
                }
                RatesAction::Send { to, message } => {
                    self.send_peer(to, PeerMessage::Rates(message), actions);
                }
                RatesAction::LoansReturned => {
                    self.release.tokens_returned = true;
                    self.leave_if_tokens_returned();
                }
            }
        }
    }

    /// Leaves the roster once all lent tokens have been returned, so that the next holders of the
    /// slots need not wait for them.
    pub(super) fn leave_if_tokens_returned(&mut self) {
        if self.release.requested && self.release.tokens_returned {
            self.push(RoleEvent::Membership(MembershipEvent::LeaveRequested));
        }
    }

    fn push_admission_decision(&mut self, request: RequestId, refused: Option<Reason>) {
        let event = ExchangeEvent::AdmissionDecided { request, refused };
        self.push(RoleEvent::Exchange(event));
    }

    /// Runs the dispatch role with an event and applies its actions.
    pub(super) fn run_dispatch(
        &mut self,
        now: MonoTime,
        event: DispatchEvent,
        actions: &mut Vec<VmAction>,
    ) {
        let mut role_actions = Vec::new();
        self.dispatch.handle(now, event, &mut role_actions);
        for action in role_actions {
            self.handle_dispatch_action(now, action, actions);
        }
    }

    fn handle_dispatch_action(
        &mut self,
        now: MonoTime,
        action: DispatchAction,
        actions: &mut Vec<VmAction>,
    ) {
        match action {
            DispatchAction::Dispatch {
                request,
                member,
                connection,
            } => {
                self.dispatch_request(now, request, member, connection);
            }
            DispatchAction::Refuse { request, reason } => {
                self.push(RoleEvent::Exchange(ExchangeEvent::DispatchRefused {
                    request,
                    reason,
                }));
            }
            DispatchAction::OpenConnection {
                connection,
                group,
                member,
            } => {
                self.connections
                    .insert(connection, (group.clone(), member.clone()));
                let subject = Subject {
                    group: Some(group.clone()),
                    member: Some(member.clone()),
                    ..Subject::default()
                };
                self.record(now, EventCode::ConnectionOpened, subject);
                actions.push(VmAction::OpenConnection {
                    connection,
                    group,
                    member,
                });
            }
            DispatchAction::CloseConnection { connection, reason } => {
                self.record_connection_closed(now, connection, reason);
                // This VM closes the connection itself. For the exchanges that is the same as a
                // lost connection.
                let statement_unsent = false;
                self.push(RoleEvent::Exchange(ExchangeEvent::ConnectionLost {
                    connection,
                    statement_unsent,
                }));
                self.push(RoleEvent::Dispatch(DispatchEvent::ConnectionClosed {
                    connection,
                }));
                actions.push(VmAction::CloseConnection { connection, reason });
            }
            DispatchAction::Send { to, message } => {
                self.send_peer(to, PeerMessage::Dispatch(message), actions);
            }
        }
    }

    /// Checks a statement again right before it is sent, because its key may have been withdrawn or
    /// its target taken out of service while it was queued.
    fn dispatch_request(
        &mut self,
        now: MonoTime,
        request: RequestId,
        member: MemberId,
        connection: ConnectionId,
    ) {
        self.running.record_dispatched(connection, request);
        let checked = self
            .check_request(now, request)
            .and_then(|()| self.check_target(connection, &member));
        match checked {
            Ok(()) => self.push(RoleEvent::Exchange(ExchangeEvent::Dispatched {
                request,
                connection,
                member,
            })),
            Err(reason) => {
                self.release_connection(connection);
                self.push(RoleEvent::Exchange(ExchangeEvent::DispatchRefused {
                    request,
                    reason,
                }));
            }
        }
    }

    fn check_target(&self, connection: ConnectionId, member: &MemberId) -> Result<(), Reason> {
        let config = self.config.as_deref().ok_or(Reason::LeaseLost)?;
        let (group, _) = self
            .connections
            .get(&connection)
            .ok_or(Reason::ConnectionLost)?;
        let group = config.groups.get(group).ok_or(Reason::NoRoute)?;
        let declared = group.members.get(member).ok_or(Reason::TargetLeaving)?;
        config.check_member(declared)
    }

    /// Records that a connection is closed, and removes it.
    pub(super) fn record_connection_closed(
        &mut self,
        now: MonoTime,
        connection: ConnectionId,
        reason: Reason,
    ) {
        self.running.end(connection);
        let Some((group, member)) = self.connections.remove(&connection) else {
            return;
        };
        let subject = Subject {
            group: Some(group),
            member: Some(member),
            reason: Some(reason),
            ..Subject::default()
        };
        self.record(now, EventCode::ConnectionClosed, subject);
    }
}
