//! Handles the scheduled events of the simulation and the actions of VMs.

use lycheedoor_core::types::GroupId;
use lycheedoor_core::types::MemberId;
use lycheedoor_core::types::MonoTime;
use lycheedoor_core::types::Position;
use lycheedoor_core::types::Term;
use lycheedoor_core::types::VmId;
use lycheedoor_core::vm::MemberRole;
use lycheedoor_core::vm::MemberState;
use lycheedoor_core::vm::PeerMessage;
use lycheedoor_core::vm::PlatformAnswer;
use lycheedoor_core::vm::PlatformRequest;
use lycheedoor_core::vm::TransactionStatus;
use lycheedoor_core::vm::VmAction;
use lycheedoor_core::vm::VmEvent;
use lycheedoor_peer::EnvelopeView;
use lycheedoor_peer::PeerServerCodec;
use lycheedoor_peer::encode_confirmation;
use lycheedoor_peer::encode_message;
use lycheedoor_platform::WATCH_WAIT_MS;

use super::Event;
use super::Fleet;
use super::LINK_DELAY_US;
use super::STATEMENT_DURATION_US;
use super::message_kind;
use crate::sample;

/// The bytes of an HTTP answer of the platform without the value in its body.
const PLATFORM_ANSWER_HEAD_BYTES: u64 = 120;
const CONNECT_DELAY_US: u64 = 10_000;

impl Fleet {
    pub(super) fn handle_event(&mut self, scheduled: Event) {
        match scheduled {
            Event::Deliver(vm, event) => self.handle(vm, event),
            Event::Timer(vm) => {
                if self.nodes[vm].timer_at == Some(self.now) {
                    self.nodes[vm].timer_at = None;
                    self.handle(vm, VmEvent::DeadlineReached);
                }
            }
            Event::Platform(vm, call, request) => self.call_platform(vm, call, &request),
            Event::WatchEnds(vm, call) => {
                if let Some(version) = self.platform.expire(vm, call) {
                    self.answer_call(vm, call, PlatformAnswer::Unchanged { version });
                }
            }
            Event::Request(offer) => {
                let event = VmEvent::RequestReceived {
                    caller: offer.caller,
                    request: self.next_request(),
                    idempotency_key: None,
                };
                self.handle(offer.vm, event);
                self.schedule(self.now + offer.every_us, Event::Request(offer));
            }
        }
    }

    fn handle(&mut self, index: usize, event: VmEvent) {
        if !self.nodes[index].up {
            return;
        }
        let now = MonoTime::from_micros(self.now);
        let mut actions = Vec::new();
        self.nodes[index].vm.handle(now, event, &mut actions);
        for action in actions {
            self.carry_out(index, action);
        }
        let deadline = self.nodes[index].vm.next_deadline();
        let next = deadline.map(|at| at.as_micros().max(self.now + 1));
        let node = &mut self.nodes[index];
        if let Some(at) = next.filter(|at| node.timer_at.is_none_or(|set| set != *at)) {
            node.timer_at = Some(at);
            self.schedule(at, Event::Timer(index));
        }
    }

    fn carry_out(&mut self, vm: usize, action: VmAction) {
        match action {
            VmAction::SendPeer { to, message, .. } => self.send_peer(vm, &to, message),
            VmAction::CallPlatform { call, request } => self.send_platform(vm, call, request),
            VmAction::CommandMember {
                group,
                member,
                command,
            } => {
                self.counts.member_commands += u64::from(self.is_counted(vm));
                let event = VmEvent::MemberAnswered {
                    state: member_state(&group, &member),
                    group,
                    member,
                    command,
                };
                self.deliver(2 * LINK_DELAY_US, vm, event);
            }
            VmAction::OpenConnection {
                connection,
                group,
                member,
            } => {
                self.counts.connections_opened += 1;
                let node = &mut self.nodes[vm];
                node.connections.insert(connection, (group, member));
                self.deliver(
                    CONNECT_DELAY_US,
                    vm,
                    VmEvent::ConnectionOpened { connection },
                );
            }
            VmAction::CloseConnection { connection, .. } => {
                self.nodes[vm].connections.remove(&connection);
                let event = VmEvent::ConnectionClosed {
                    connection,
                    statement_unsent: false,
                };
                self.deliver(1, vm, event);
            }
            VmAction::SendStatement {
                connection,
                request,
                ..
            } => {
                let event = VmEvent::TargetAnswered {
                    connection,
                    request,
                    position: Some(Position::new(Term(1), 1)),
                    status: TransactionStatus::Idle,
                    failed: false,
                };
                self.deliver(2 * LINK_DELAY_US + STATEMENT_DURATION_US, vm, event);
            }
            VmAction::DeliverAnswer { .. } => self.counts.answered += 1,
            VmAction::RefuseRequest { .. } => self.counts.refused += 1,
            VmAction::AcceptCaller { .. } | VmAction::CloseCaller { .. } | VmAction::Exit => {}
        }
    }

    fn is_counted(&self, vm: usize) -> bool {
        self.nodes[vm].cell == 0
    }

    fn deliver(&mut self, after_us: u64, vm: usize, event: VmEvent) {
        self.schedule(self.now + after_us, Event::Deliver(vm, event));
    }

    fn send_peer(&mut self, from: usize, to: &VmId, message: PeerMessage) {
        let sender = sample::roster_member(from);
        let stamp = self.nodes[from]
            .vm
            .next_timestamp(MonoTime::from_micros(self.now));
        let envelope = EnvelopeView {
            from: &sender.vm,
            incarnation: sender.incarnation,
            clock: stamp,
            message: &message,
        };
        let Ok(bytes) = encode_message(&envelope) else {
            return;
        };
        let mut confirmation = Vec::new();
        let mut codec = PeerServerCodec::default();
        codec.extend(&bytes);
        let decoded = codec.next_message(&mut confirmation);
        encode_confirmation(&mut confirmation);
        if self.is_counted(from) {
            let traffic = self.counts.peer.entry(message_kind(&message)).or_default();
            traffic.messages += 1;
            traffic.bytes += (bytes.len() + confirmation.len()) as u64;
        }
        // The sequence number advances even if the message is lost, so that the next message is
        // drawn anew.
        self.sequence += 1;
        if self.is_lost() {
            return;
        }
        let receiver = self
            .nodes
            .iter()
            .position(|node| node.vm.settings().vm == *to);
        if let (Ok(Some(envelope)), Some(receiver)) = (decoded, receiver) {
            let event = VmEvent::PeerReceived {
                from: envelope.from,
                incarnation: envelope.incarnation,
                message: envelope.message,
            };
            self.deliver(LINK_DELAY_US, receiver, event);
        }
    }

    fn send_platform(&mut self, vm: usize, call: u64, request: PlatformRequest) {
        let mut bytes = Vec::new();
        lycheedoor_platform::encode_call(&request, &mut bytes);
        if self.is_counted(vm) {
            self.counts.platform_bytes += bytes.len() as u64;
            match request {
                PlatformRequest::Put { .. } => self.counts.platform_writes += 1,
                PlatformRequest::Get { .. } | PlatformRequest::Watch { .. } => {
                    self.counts.platform_reads += 1;
                }
            }
        }
        self.schedule(self.now + LINK_DELAY_US, Event::Platform(vm, call, request));
    }

    fn call_platform(&mut self, vm: usize, call: u64, request: &PlatformRequest) {
        let cell = self.nodes[vm].cell;
        match self.platform.call(cell, vm, call, request) {
            Some(answer) => self.answer_call(vm, call, answer),
            None => {
                let at = self.now + WATCH_WAIT_MS * 1_000;
                self.schedule(at, Event::WatchEnds(vm, call));
            }
        }
        self.answer_watches();
    }

    pub(super) fn answer_watches(&mut self) {
        for (watch, answer) in self.platform.take_changed_watches() {
            self.answer_call(watch.vm, watch.call, answer);
        }
    }

    fn answer_call(&mut self, vm: usize, call: u64, answer: PlatformAnswer) {
        let value = match &answer {
            PlatformAnswer::Object { value, .. } => value.len() as u64,
            _ => 0,
        };
        if self.is_counted(vm) {
            self.counts.platform_bytes += PLATFORM_ANSWER_HEAD_BYTES + value;
        }
        self.deliver(
            LINK_DELAY_US,
            vm,
            VmEvent::PlatformAnswered { call, answer },
        );
    }
}

/// Returns the state of a member. Members never fail here: the first of each group is its primary
/// in term 1.
fn member_state(_group: &GroupId, member: &MemberId) -> MemberState {
    let position = Position::new(Term(1), 1);
    MemberState {
        role: if member.as_str().ends_with("-0") {
            MemberRole::Primary
        } else {
            MemberRole::Replica
        },
        term: Term(1),
        received: position,
        applied: position,
    }
}
