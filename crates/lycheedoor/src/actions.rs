//! Carries out the actions of the decision logic.

use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use lycheedoor_core::types::CallerId;
use lycheedoor_core::types::ConnectionId;
use lycheedoor_core::types::GroupId;
use lycheedoor_core::types::MemberId;
use lycheedoor_core::types::Outcome;
use lycheedoor_core::types::Reason;
use lycheedoor_core::types::RequestId;
use lycheedoor_core::types::RouteId;
use lycheedoor_core::types::WorkspaceId;
use lycheedoor_core::vm::MemberCommand;
use lycheedoor_core::vm::TransactionStatus;
use lycheedoor_core::vm::VmAction;
use lycheedoor_core::vm::VmEvent;
use lycheedoor_telemetry::emit;
use lycheedoor_telemetry::emit_limited_by_cause;
use lycheedoor_telemetry::events;
use lycheedoor_telemetry::metrics::STATEMENT_SECONDS;
use metrics::Histogram;
use metrics::histogram;
use stakker::Actor;
use stakker::CX;
use stakker::actor;
use stakker::actor_in_slab;
use stakker::after;
use stakker::call;
use stakker::ret_nop;

use crate::cancel_link::CancelLink;
use crate::member_link::MemberLink;
use crate::target_link::TargetLink;
use crate::vm::MemberLinkKey;
use crate::vm::VmActor;

/// The longest time that the process waits for callers to receive their last bytes and disconnect
/// before it exits.
const EXIT_TIMEOUT: Duration = Duration::from_secs(1);

impl VmActor {
    /// Carries out actions in order.
    ///
    /// Transactions on connections that the batch closes are marked as ended first, because a
    /// refusal in the same batch reports the transaction state to its caller.
    pub(crate) fn perform_actions(&mut self, cx: CX![], actions: &mut Vec<VmAction>) {
        for action in actions.iter() {
            if let VmAction::CloseConnection { connection, .. } = action {
                self.end_transactions_on(*connection);
            }
        }
        for action in actions.drain(..) {
            self.perform_action(cx, action);
        }
    }

    fn perform_action(&mut self, cx: CX![], action: VmAction) {
        match action {
            VmAction::AcceptCaller { caller } => {
                if let Some(entry) = self.callers.get_mut(&caller) {
                    // The route of an accepted caller is in the configuration. Using it as a label
                    // only now keeps callers from creating arbitrary time series.
                    entry.statement_seconds = entry.route.as_ref().map(statement_histogram);
                    call!([entry.link], accept());
                }
            }
            VmAction::CloseCaller { caller, reason } => self.close_caller(caller, reason),
            VmAction::OpenConnection {
                connection,
                group,
                member,
            } => self.open_connection(cx, connection, &group, &member),
            VmAction::CloseConnection { connection, reason } => {
                log::debug!("closing connection {connection}: {reason}");
                if let Some(link) = self.connections.remove(&connection) {
                    let actor = Actor::clone(&link);
                    call!([actor], shut_down(link));
                }
            }
            VmAction::SendStatement {
                connection,
                request,
                workspace,
                idempotency_key,
            } => self.send_statement(cx, connection, request, workspace, idempotency_key),
            VmAction::DeliverAnswer {
                caller,
                request,
                session_token,
            } => self.deliver(caller, request, session_token),
            VmAction::RefuseRequest {
                caller,
                request,
                reason,
                outcome,
                session_token,
            } => self.refuse(caller, request, reason, outcome, session_token),
            VmAction::CommandMember {
                group,
                member,
                command,
            } => self.command_member(cx, group, member, command),
            VmAction::CallPlatform { call, request } => self.call_platform(cx, call, request),
            VmAction::SendPeer {
                to,
                address,
                message,
            } => self.send_peer(cx, to, address, &message),
            VmAction::Exit => self.exit(cx),
        }
    }

    fn close_caller(&mut self, caller: CallerId, reason: Reason) {
        if let Some(entry) = self.callers.get_mut(&caller) {
            entry.closing = true;
            if let Some(request) = entry.request.take() {
                self.requests.remove(&request);
            }
            call!([entry.link], close(reason));
        }
    }

    fn open_connection(
        &mut self,
        cx: CX![],
        connection: ConnectionId,
        group: &GroupId,
        member: &MemberId,
    ) {
        let Some(address) = self.decision_logic.member_address(group, member) else {
            let values = [member.as_str().into(), "no address is known".into()];
            emit_limited_by_cause(&events::TARGET_UNREACHABLE, member.as_str(), &values);
            let statement_unsent = true;
            call!(
                [cx],
                handle_event(VmEvent::ConnectionClosed {
                    connection,
                    statement_unsent,
                })
            );
            return;
        };
        let (group, vm) = (group.clone(), Self::actor(cx));
        let link = actor!(
            cx,
            TargetLink::init(connection, address, group, vm),
            ret_nop!()
        );
        self.connections.insert(connection, link);
    }

    fn send_statement(
        &mut self,
        cx: CX![],
        connection: ConnectionId,
        request: RequestId,
        workspace: WorkspaceId,
        idempotency_key: Option<String>,
    ) {
        // If the connection has just ended, the event that reports it is already queued.
        let Some(link) = self.connections.get(&connection) else {
            return;
        };
        match self.requests.get(&request) {
            Some(entry) => {
                let exchange = Rc::clone(&entry.exchange);
                call!([link], send(request, workspace, idempotency_key, exchange));
            }
            // The caller has disconnected, and its statement was dropped.
            None => call!([cx], connection_ended(connection, true)),
        }
    }

    fn deliver(&mut self, caller: CallerId, request: RequestId, session_token: Option<String>) {
        let entry = self.requests.remove(&request);
        let arrived_at = entry.as_ref().map(|entry| entry.arrived_at);
        let answer = entry.and_then(|entry| entry.answer);
        let Some(entry) = self
            .callers
            .get_mut(&caller)
            .filter(|entry| entry.request == Some(request))
        else {
            return;
        };
        entry.request = None;
        if let (Some(statement_seconds), Some(arrived_at)) = (&entry.statement_seconds, arrived_at)
        {
            statement_seconds.record(arrived_at.elapsed().as_secs_f64());
        }
        let Some(answer) = answer else {
            let detail =
                format!("cannot deliver request {request}: no answer of the target is held");
            emit_limited_by_cause(&events::INTERNAL_FAULT, "answer", &[detail.as_str().into()]);
            let status = entry.status;
            let (reason, outcome) = (Reason::ConnectionLost, Outcome::Unknown);
            call!([entry.link], refuse(reason, outcome, None, status));
            return;
        };
        // The connection, and with it the transaction, may have ended while the answer was held
        // back.
        let open = answer.status != TransactionStatus::Idle
            && self.connections.contains_key(&answer.connection);
        entry.transaction_connection = open.then_some(answer.connection);
        entry.status = match open {
            true => answer.status,
            false => TransactionStatus::Idle,
        };
        let (frames, status) = (answer.frames, answer.status);
        call!([entry.link], deliver(frames, session_token, status));
    }

    fn refuse(
        &mut self,
        caller: CallerId,
        request: RequestId,
        reason: Reason,
        outcome: Outcome,
        session_token: Option<String>,
    ) {
        self.requests.remove(&request);
        let Some(entry) = self
            .callers
            .get_mut(&caller)
            .filter(|entry| entry.request == Some(request))
        else {
            return;
        };
        entry.request = None;
        let status = entry.status;
        call!([entry.link], refuse(reason, outcome, session_token, status));
    }

    /// Sends a cancel request to a target for the statement of a connection that was closed.
    pub(crate) fn cancel_on_target(&mut self, cx: CX![], address: SocketAddr, request: [u8; 16]) {
        actor_in_slab!(self.cancel_links, cx, CancelLink::init(address, request));
    }

    fn command_member(
        &mut self,
        cx: CX![],
        group: GroupId,
        member: MemberId,
        command: MemberCommand,
    ) {
        let Some(address) = self.decision_logic.member_address(&group, &member) else {
            let reason = Reason::ConnectionLost;
            call!(
                [cx],
                handle_event(VmEvent::MemberFailed {
                    group,
                    member,
                    command,
                    reason,
                })
            );
            return;
        };
        let key = MemberLinkKey {
            group: group.clone(),
            member: member.clone(),
            for_await: matches!(command, MemberCommand::AwaitReceived(_)),
        };
        let known = self
            .member_links
            .get(&key)
            .filter(|(known, _)| *known == address)
            .map(|(_, link)| Actor::clone(link));
        let link = match known {
            Some(link) => link,
            None => {
                let vm = Self::actor(cx);
                let link = actor!(cx, MemberLink::init(group, member, address, vm), ret_nop!());
                let actor = Actor::clone(&link);
                self.member_links.insert(key, (address, link));
                actor
            }
        };
        call!([link], send(command));
    }

    fn exit(&mut self, cx: CX![]) {
        self.exiting = true;
        self.decision_logic.observe(self.now());
        if !self.requests.is_empty() {
            emit(&events::DRAIN_OVERDUE, &[self.requests.len().into()]);
        }
        for entry in self.callers.values_mut() {
            if !entry.closing {
                entry.closing = true;
                call!([entry.link], close(Reason::Draining));
            }
        }
        after!(EXIT_TIMEOUT, [cx], |_this, cx| cx
            .shutdown(stakker::StopCause::Stopped));
        self.exit_when_idle(cx);
    }
}

fn statement_histogram(route: &RouteId) -> Histogram {
    histogram!(STATEMENT_SECONDS.name, "route" => route.to_string())
}
