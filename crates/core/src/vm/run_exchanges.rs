//! The exchanges, which execute statements, and their links to the roles that admit, queue and
//! confirm statements.

use std::time::Duration;

use crate::config::Config;
use crate::dispatch::Dispatch;
use crate::dispatch::DispatchEvent;
use crate::exchange::AnswerGate;
use crate::exchange::ExchangeAction;
use crate::exchange::ExchangeEvent;
use crate::failover::FailoverEvent;
use crate::membership::Membership;
use crate::rates::RatesEvent;
use crate::session::SessionToken;
use crate::session::SessionVector;
use crate::timeline::EventCode;
use crate::timeline::Subject;
use crate::types::CallerId;
use crate::types::ConnectionId;
use crate::types::GroupId;
use crate::types::MemberId;
use crate::types::MonoTime;
use crate::types::Outcome;
use crate::types::Reason;
use crate::types::RequestId;
use crate::types::Term;
use crate::types::WorkspaceId;
use crate::vm::MemberCommand;
use crate::vm::TransactionStatus;
use crate::vm::Vm;
use crate::vm::VmAction;
use crate::vm::roles::RoleEvent;
use crate::vm::running::RunningStatements;

/// The lease and queue state that the exchanges query.
struct VmAnswerGate<'a> {
    membership: &'a Membership,
    dispatch: &'a Dispatch,
    running: &'a RunningStatements,
    config: Option<&'a Config>,
}

impl AnswerGate for VmAnswerGate<'_> {
    fn may_answer(&self, now: MonoTime, group: &GroupId, term: Term) -> bool {
        self.membership.may_answer(now, group, term)
    }

    /// Estimates the waiting time from this VM's queue only, because the queues of other VMs are
    /// not known here.
    fn expected_queue_time(
        &self,
        _now: MonoTime,
        group: &GroupId,
        member: &MemberId,
        _workspace: &WorkspaceId,
    ) -> Duration {
        let slots = self.config.and_then(|config| config.groups.get(group));
        let slots = slots.map_or(1, |group| group.slots.max(1));
        let queued = u32::try_from(self.dispatch.queued_for_member(member)).unwrap_or(u32::MAX);
        self.running.mean_duration(member).saturating_mul(queued) / slots
    }
}

impl Vm {
    /// Runs the exchanges with an event and applies their actions.
    pub(super) fn run_exchanges(
        &mut self,
        now: MonoTime,
        event: ExchangeEvent,
        actions: &mut Vec<VmAction>,
    ) {
        let gate = VmAnswerGate {
            membership: &self.membership,
            dispatch: &self.dispatch,
            running: &self.running,
            config: self.config.as_deref(),
        };
        let mut role_actions = Vec::new();
        self.exchanges.handle(now, event, &gate, &mut role_actions);
        for action in role_actions {
            self.handle_exchange_action(now, action, actions);
        }
    }

    fn handle_exchange_action(
        &mut self,
        now: MonoTime,
        action: ExchangeAction,
        actions: &mut Vec<VmAction>,
    ) {
        match action {
            ExchangeAction::Admit { request, .. } => self.admit(now, request),
            ExchangeAction::Enqueue {
                request,
                group,
                member,
                workspace,
                deadline,
                reason,
            } => {
                self.record_read_route(now, request, &group, &member, reason);
                self.push(RoleEvent::Dispatch(DispatchEvent::Enqueue {
                    request,
                    member,
                    workspace,
                    deadline,
                }));
            }
            ExchangeAction::Withdraw { request } => {
                self.push(RoleEvent::Rates(RatesEvent::Cancelled { request }));
                self.push(RoleEvent::Dispatch(DispatchEvent::Cancelled { request }));
            }
            ExchangeAction::Send {
                request,
                connection,
                workspace,
                idempotency_key,
            } => {
                self.running.record_sent(now, connection);
                actions.push(VmAction::SendStatement {
                    connection,
                    request,
                    workspace,
                    idempotency_key: idempotency_key.map(|key| key.to_string()),
                });
            }
            ExchangeAction::AwaitReceived {
                group,
                member,
                position,
            } => {
                let command = MemberCommand::AwaitReceived(position);
                self.command_member(now, group, member, command, actions);
            }
            ExchangeAction::ProbeMember { group, member } => {
                self.command_member(now, group, member, MemberCommand::Status, actions);
            }
            ExchangeAction::Retry {
                request, reason, ..
            } => {
                let subject = self.request_subject(request, Some(reason));
                self.record(now, EventCode::RequestRetried, subject);
            }
            ExchangeAction::Deliver {
                caller,
                request,
                session,
            } => {
                self.record_write_delivery(now, request);
                self.finish_request(request, Outcome::Answered);
                let session_token = self.encode_session_token(now, caller, session);
                actions.push(VmAction::DeliverAnswer {
                    caller,
                    request,
                    session_token,
                });
            }
            ExchangeAction::Refuse {
                caller,
                request,
                reason,
                outcome,
                session,
            } => {
                let subject = self.request_subject(request, Some(reason));
                let subject = Subject {
                    outcome: Some(outcome),
                    ..subject
                };
                self.record(now, EventCode::RequestRefused, subject);
                self.finish_request(request, outcome);
                let session_token = self.encode_session_token(now, caller, session);
                actions.push(VmAction::RefuseRequest {
                    caller,
                    request,
                    reason,
                    outcome,
                    session_token,
                });
            }
            ExchangeAction::Abandon { request, outcome } => self.finish_request(request, outcome),
            ExchangeAction::CloseCaller { caller, reason } => {
                let session = self.callers.get_mut(caller).and_then(|entry| entry.session);
                let subject = Subject {
                    caller: Some(caller),
                    session,
                    reason: Some(reason),
                    ..Subject::default()
                };
                self.record(now, EventCode::TransactionEnded, subject);
                self.callers.remove(caller);
                actions.push(VmAction::CloseCaller { caller, reason });
            }
            ExchangeAction::CloseConnection { connection, reason } => {
                self.record_connection_closed(now, connection, reason);
                self.push(RoleEvent::Dispatch(DispatchEvent::ConnectionClosed {
                    connection,
                }));
                actions.push(VmAction::CloseConnection { connection, reason });
            }
            ExchangeAction::ReleaseConnection { connection } => {
                self.release_connection(connection);
            }
        }
    }

    /// Checks a statement against the configuration, then requests a rate token for it. Statements
    /// of a workspace that the configuration does not declare use open routes and have no rate
    /// limit.
    fn admit(&mut self, now: MonoTime, request: RequestId) {
        let refused = |reason| ExchangeEvent::AdmissionDecided {
            request,
            refused: Some(reason),
        };
        if let Err(reason) = self.check_request(now, request) {
            return self.push(RoleEvent::Exchange(refused(reason)));
        }
        let Some((_, entry)) = self.callers.caller_of_request(request) else {
            return self.push(RoleEvent::Exchange(refused(Reason::CallerGone)));
        };
        let workspace = entry.workspace.clone();
        let has_rate = self
            .config
            .as_ref()
            .is_some_and(|config| config.workspaces.contains_key(&workspace));
        if has_rate {
            let deadline = now + entry.timeout();
            self.push(RoleEvent::Rates(RatesEvent::Admit {
                workspace,
                request,
                deadline,
                priority: 0,
            }));
        } else {
            let event = ExchangeEvent::AdmissionDecided {
                request,
                refused: None,
            };
            self.push(RoleEvent::Exchange(event));
        }
    }

    /// Checks that the lease, the key and the route allow a statement to run now.
    ///
    /// # Errors
    ///
    /// Returns the reason if the statement may not run.
    pub(super) fn check_request(&self, now: MonoTime, request: RequestId) -> Result<(), Reason> {
        if !self.may_serve(now) {
            return Err(Reason::LeaseLost);
        }
        let config: &Config = self.config.as_deref().ok_or(Reason::LeaseLost)?;
        let (_, entry) = self
            .callers
            .caller_of_request(request)
            .ok_or(Reason::CallerGone)?;
        entry.check(config)
    }

    fn request_subject(&self, request: RequestId, reason: Option<Reason>) -> Subject {
        let caller = self.callers.caller_of_request(request);
        Subject {
            request: Some(request),
            caller: caller.map(|(caller, _)| caller),
            workspace: caller.map(|(_, entry)| entry.workspace.clone()),
            session: caller.and_then(|(_, entry)| entry.session),
            group: caller.map(|(_, entry)| entry.group().clone()),
            reason,
            ..Subject::default()
        }
    }

    /// Records the member to which a read is routed. Writes are always routed to the primary, so
    /// their route is not recorded.
    fn record_read_route(
        &mut self,
        now: MonoTime,
        request: RequestId,
        group: &GroupId,
        member: &MemberId,
        reason: Option<Reason>,
    ) {
        if !self.trace.is_recording() {
            return;
        }
        let found = self.callers.caller_of_request(request);
        let Some((caller, entry)) = found.filter(|(_, entry)| entry.is_read_only()) else {
            return;
        };
        let subject = Subject {
            request: Some(request),
            caller: Some(caller),
            workspace: Some(entry.workspace.clone()),
            session: entry.session,
            group: Some(group.clone()),
            member: Some(member.clone()),
            reason,
            ..Subject::default()
        };
        self.record(now, EventCode::ReadRouted, subject);
    }

    fn record_write_delivery(&mut self, now: MonoTime, request: RequestId) {
        if !self.trace.is_recording() {
            return;
        }
        let found = self.callers.caller_of_request(request);
        let Some((caller, entry)) = found.filter(|(_, entry)| !entry.is_read_only()) else {
            return;
        };
        let subject = Subject {
            request: Some(request),
            caller: Some(caller),
            workspace: Some(entry.workspace.clone()),
            session: entry.session,
            group: Some(entry.group().clone()),
            outcome: Some(Outcome::Answered),
            ..Subject::default()
        };
        self.record(now, EventCode::WriteDelivered, subject);
    }

    fn finish_request(&mut self, request: RequestId, outcome: Outcome) {
        if let Some(workspace) = self.callers.close_request(request) {
            self.counters.count(&workspace, outcome);
        }
    }

    fn encode_session_token(
        &mut self,
        now: MonoTime,
        caller: CallerId,
        session: Option<SessionVector>,
    ) -> Option<String> {
        let vector = session?;
        let stamp = self.next_timestamp(now);
        let entry = self.callers.get_mut(caller)?;
        let token = SessionToken {
            session: entry.session?,
            stamp,
            vector,
        };
        token.encode(self.secrets.as_ref()?, &entry.workspace).ok()
    }

    /// Reports the answer to a statement to the other roles. To failover it shows that the member
    /// was up after the statement was sent; to dispatch, that an open transaction pins the
    /// connection.
    pub(super) fn report_target_answer(
        &mut self,
        now: MonoTime,
        connection: ConnectionId,
        status: TransactionStatus,
    ) {
        let Some((group, member)) = self.connections.get(&connection).cloned() else {
            return;
        };
        if let Some(sent_at) = self.running.record_answered(now, connection, &member) {
            let event = FailoverEvent::StatementAnswered {
                group,
                member,
                sent_at,
            };
            self.push(RoleEvent::Failover(event));
        }
        if status != TransactionStatus::Idle
            && let Some(request) = self.running.end(connection)
        {
            let in_transaction = true;
            self.push(RoleEvent::Dispatch(DispatchEvent::Finished {
                request,
                in_transaction,
            }));
        }
    }

    /// Returns a connection to dispatch at the end of a statement or transaction.
    pub(super) fn release_connection(&mut self, connection: ConnectionId) {
        let event = match self.running.end(connection) {
            Some(request) => DispatchEvent::Finished {
                request,
                in_transaction: false,
            },
            None => DispatchEvent::TransactionEnded { connection },
        };
        self.push(RoleEvent::Dispatch(event));
    }

    /// Sends a command to a member, unless the same command is already waiting for its answer.
    pub(super) fn command_member(
        &mut self,
        now: MonoTime,
        group: GroupId,
        member: MemberId,
        command: MemberCommand,
        actions: &mut Vec<VmAction>,
    ) {
        if self.commands.is_pending(&group, &member, command) {
            return;
        }
        self.commands.start(now, &group, &member, command);
        actions.push(VmAction::CommandMember {
            group,
            member,
            command,
        });
    }
}
