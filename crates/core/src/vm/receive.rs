//! Translation of driver events into events for the roles.

use crate::config::ConfigWatcherEvent;
use crate::dispatch::DispatchEvent;
use crate::drain::DrainEvent;
use crate::exchange::ExchangeEvent;
use crate::failover::FailoverEvent;
use crate::membership::MembershipEvent;
use crate::membership::RosterMemberKey;
use crate::rates::RatesEvent;
use crate::session::SelectorEvent;
use crate::timeline::EventCode;
use crate::timeline::Evidence;
use crate::timeline::Subject;
use crate::types::ConnectionId;
use crate::types::GroupId;
use crate::types::Incarnation;
use crate::types::MemberId;
use crate::types::MonoTime;
use crate::types::Position;
use crate::types::Reason;
use crate::types::VmId;
use crate::vm::MemberCommand;
use crate::vm::MemberState;
use crate::vm::PeerMessage;
use crate::vm::PlatformAnswer;
use crate::vm::Vm;
use crate::vm::VmAction;
use crate::vm::VmEvent;
use crate::vm::calls::CallOwner;
use crate::vm::codec::decode_fence_answer;
use crate::vm::receive_callers::Login;
use crate::vm::roles::RoleEvent;

impl Vm {
    /// Translates a driver event into events for the roles it concerns.
    pub(super) fn receive_event(
        &mut self,
        now: MonoTime,
        event: VmEvent,
        actions: &mut Vec<VmAction>,
    ) {
        match event {
            VmEvent::CallerStarted {
                caller,
                workspace,
                key,
                route,
                session_token,
            } => {
                let login = Login {
                    caller,
                    workspace,
                    key,
                    route,
                    session_token,
                };
                self.start_caller(now, login, actions);
            }
            VmEvent::RequestReceived {
                caller,
                request,
                idempotency_key,
            } => {
                self.receive_request(caller, request, idempotency_key, actions);
            }
            VmEvent::RequestCancelled { caller } => {
                self.push(RoleEvent::Exchange(ExchangeEvent::Cancelled { caller }));
            }
            VmEvent::CallerClosed { caller } => {
                self.record_caller_closed(now, caller);
                self.push(RoleEvent::Exchange(ExchangeEvent::CallerClosed { caller }));
                self.callers.remove(caller);
            }
            VmEvent::ConnectionOpened { connection } => {
                self.push(RoleEvent::Dispatch(DispatchEvent::ConnectionOpened {
                    connection,
                }));
            }
            VmEvent::ConnectionClosed {
                connection,
                statement_unsent,
            } => {
                self.connection_closed(now, connection, statement_unsent);
            }
            VmEvent::TargetAnswered {
                connection,
                request,
                position,
                status,
                failed,
            } => {
                self.report_target_answer(now, connection, status);
                self.push(RoleEvent::Exchange(ExchangeEvent::TargetAnswered {
                    connection,
                    request,
                    position,
                    status,
                    failed,
                }));
            }
            VmEvent::MemberAnswered {
                group,
                member,
                state,
                command,
            } => {
                self.member_answered(now, group, member, state, command);
            }
            VmEvent::MemberFailed {
                group,
                member,
                command,
                ..
            } => {
                self.member_failed(group, member, command);
            }
            VmEvent::PlatformAnswered { call, answer } => self.platform_answered(call, answer),
            VmEvent::PeerReceived {
                from,
                incarnation,
                message,
            } => {
                self.peer_received(from, incarnation, message);
            }
            VmEvent::PeerUnreachable { .. } | VmEvent::DeadlineReached => {}
            VmEvent::StopRequested => self.push(RoleEvent::Drain(DrainEvent::StopRequested)),
        }
    }

    fn connection_closed(
        &mut self,
        now: MonoTime,
        connection: ConnectionId,
        statement_unsent: bool,
    ) {
        self.record_connection_closed(now, connection, Reason::ConnectionLost);
        self.push(RoleEvent::Exchange(ExchangeEvent::ConnectionLost {
            connection,
            statement_unsent,
        }));
        self.push(RoleEvent::Dispatch(DispatchEvent::ConnectionClosed {
            connection,
        }));
    }

    fn member_answered(
        &mut self,
        now: MonoTime,
        group: GroupId,
        member: MemberId,
        state: MemberState,
        command: MemberCommand,
    ) {
        let Some(sent_at) = self.commands.finish(&group, &member, command) else {
            return;
        };
        self.record_command(now, &group, &member, command, state.received);
        if self.primaries.confirm(&group, &member, &state) {
            self.push_selector_event(SelectorEvent::PromotionReported {
                group: group.clone(),
                term: state.term,
                complete: true,
            });
        }
        self.push(RoleEvent::Failover(FailoverEvent::CommandAnswered {
            group: group.clone(),
            member: member.clone(),
            sent_at,
            command,
            state,
        }));
        self.push_selector_event(SelectorEvent::ReachabilityChanged {
            group: group.clone(),
            member: member.clone(),
            reachable: true,
        });
        self.push_selector_event(SelectorEvent::Observed {
            group: group.clone(),
            member: member.clone(),
            term: Some(state.term),
            applied: Some(state.applied),
            received: Some(state.received),
            sent_at,
        });
        self.push(RoleEvent::Exchange(ExchangeEvent::ReceivedConfirmed {
            group,
            member,
            position: state.received,
        }));
    }

    fn record_command(
        &mut self,
        now: MonoTime,
        group: &GroupId,
        member: &MemberId,
        command: MemberCommand,
        received: Position,
    ) {
        let evidence = || Some(Box::new(Evidence::fenced(member.clone(), received)));
        let (code, term, evidence) = match command {
            MemberCommand::Fence(term) => (EventCode::MemberFenced, term, evidence()),
            MemberCommand::Promote(term) => (EventCode::MemberPromoted, term, None),
            MemberCommand::Status | MemberCommand::AwaitReceived(_) => return,
        };
        let subject = Subject {
            group: Some(group.clone()),
            member: Some(member.clone()),
            term: Some(term),
            reason: Some(Reason::NoPrimary),
            evidence,
            ..Subject::default()
        };
        self.record(now, code, subject);
    }

    fn member_failed(&mut self, group: GroupId, member: MemberId, command: MemberCommand) {
        self.commands.finish(&group, &member, command);
        if let MemberCommand::AwaitReceived(_) = command {
            let (group, member) = (group.clone(), member.clone());
            self.push(RoleEvent::Exchange(ExchangeEvent::ReceivedNotConfirmed {
                group,
                member,
            }));
        }
        if command == MemberCommand::Status {
            self.push_selector_event(SelectorEvent::ReachabilityChanged {
                group: group.clone(),
                member: member.clone(),
                reachable: false,
            });
        }
        self.push(RoleEvent::Failover(FailoverEvent::CommandFailed {
            group,
            member,
            command,
        }));
    }

    fn platform_answered(&mut self, call: u64, answer: PlatformAnswer) {
        match self.calls.finish(call) {
            None => {}
            Some(CallOwner::ConfigWatcher) => {
                self.push(RoleEvent::ConfigWatcher(
                    ConfigWatcherEvent::PlatformAnswered { answer },
                ));
            }
            Some(CallOwner::Membership(call)) => {
                let answer = decode_fence_answer(answer);
                self.push(RoleEvent::Membership(MembershipEvent::PlatformAnswered {
                    call,
                    answer,
                }));
            }
        }
    }

    fn peer_received(&mut self, from: VmId, incarnation: Incarnation, message: PeerMessage) {
        let key = RosterMemberKey {
            vm: from.clone(),
            incarnation,
        };
        match message {
            PeerMessage::Config(message) => {
                self.push(RoleEvent::ConfigWatcher(ConfigWatcherEvent::PeerReceived {
                    from,
                    message,
                }));
            }
            PeerMessage::Membership(message) => {
                let address = self.peer_address(&from);
                let Some(address) = address else { return };
                self.push(RoleEvent::Membership(MembershipEvent::PeerReceived {
                    from: key,
                    address,
                    message,
                }));
            }
            PeerMessage::Failover(message) => {
                self.push(RoleEvent::Failover(FailoverEvent::PeerReceived {
                    from: key,
                    message,
                }));
            }
            PeerMessage::Rates(message) => {
                self.push(RoleEvent::Rates(RatesEvent::Received {
                    from,
                    incarnation,
                    message,
                }));
            }
            PeerMessage::Dispatch(message) => {
                self.push(RoleEvent::Dispatch(DispatchEvent::Received {
                    from,
                    incarnation,
                    message,
                }));
            }
        }
    }

    /// Passes a change in the state of members on to replica selection, which is part of the
    /// exchanges.
    pub(super) fn push_selector_event(&mut self, event: SelectorEvent) {
        self.push(RoleEvent::Exchange(ExchangeEvent::MemberStateChanged(
            event,
        )));
    }
}
