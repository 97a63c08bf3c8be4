//! The actor for a control connection to a member.

use std::collections::VecDeque;
use std::net::SocketAddr;
use std::time::Duration;
use std::time::Instant;

use bytes::BytesMut;
use lycheedoor_core::types::GroupId;
use lycheedoor_core::types::MemberId;
use lycheedoor_core::types::Reason;
use lycheedoor_core::vm::MemberCommand;
use lycheedoor_core::vm::VmEvent;
use lycheedoor_target::TargetAnswer;
use lycheedoor_target::TargetCodec;
use lycheedoor_target::TargetOutput;
use lycheedoor_target::TargetRole;
use lycheedoor_target::command_text;
use lycheedoor_target::parse_member_state;
use lycheedoor_telemetry::FieldValue;
use lycheedoor_telemetry::emit_limited_by_cause;
use lycheedoor_telemetry::events;
use stakker::Actor;
use stakker::CX;
use stakker::after;
use stakker::call;
use stakker::fwd_to;
use stakker_mio::Ready;
use stakker_mio::mio::net::TcpStream;

use crate::vm::VmActor;
use lycheedoor_net::ReadOutcome;
use lycheedoor_net::Socket;

/// The time from queueing a command to its answer. Failure detection relies on this limit.
const COMMAND_TIMEOUT: Duration = Duration::from_millis(200);

/// The time for the answer to AWAIT, which waits for replication; the decision logic has
/// deadlines of its own.
const AWAIT_TIMEOUT: Duration = Duration::from_secs(5);

/// The largest number of commands that wait for one connection; further ones fail immediately.
const MAX_QUEUED_COMMANDS: usize = 64;

struct Connection {
    socket: Socket,
    codec: TargetCodec,
    connected: bool,
}

/// An actor that sends control commands to one member, one at a time.
///
/// The first command opens the connection, as does the first one after a failure.
pub(crate) struct MemberLink {
    group: GroupId,
    member: MemberId,
    address: SocketAddr,
    vm: Actor<VmActor>,
    connection: Option<Connection>,
    in_progress: Option<PendingCommand>,
    queue: VecDeque<PendingCommand>,
}

struct PendingCommand {
    command: MemberCommand,
    deadline: Instant,
}

impl MemberLink {
    pub(crate) fn init(
        _cx: CX![],
        group: GroupId,
        member: MemberId,
        address: SocketAddr,
        vm: Actor<VmActor>,
    ) -> Option<Self> {
        Some(Self {
            group,
            member,
            address,
            vm,
            connection: None,
            in_progress: None,
            queue: VecDeque::new(),
        })
    }

    /// Queues a command, which is sent when those before it have been answered.
    pub(crate) fn send(&mut self, cx: CX![], command: MemberCommand) {
        if self.queue.len() >= MAX_QUEUED_COMMANDS {
            return self.report_failure(command, Reason::QueueFull);
        }
        let timeout = match command {
            MemberCommand::AwaitReceived(_) => AWAIT_TIMEOUT,
            _ => COMMAND_TIMEOUT,
        };
        self.queue.push_back(PendingCommand {
            command,
            deadline: cx.now() + timeout,
        });
        after!(timeout, [cx], check_deadlines());
        self.send_next(cx);
    }

    fn send_next(&mut self, cx: CX![]) {
        if self.in_progress.is_some() || self.queue.is_empty() {
            return;
        }
        if self.connection.is_none() && !self.open(cx) {
            return;
        }
        let Some(connection) = &mut self.connection else {
            return;
        };
        if !connection.codec.is_idle() {
            return;
        }
        if let Some(pending) = self.queue.pop_front() {
            let text = command_text(pending.command);
            connection
                .codec
                .send_command(&mut connection.socket.pending_output, &text);
            self.in_progress = Some(pending);
            self.flush();
        }
    }

    /// Starts to connect; returns whether the attempt could be started.
    fn open(&mut self, cx: CX![]) -> bool {
        let ready = fwd_to!([cx], ready() as (Ready));
        let socket =
            TcpStream::connect(self.address).and_then(|stream| Socket::register(cx, stream, ready));
        match socket {
            Ok(mut socket) => {
                let group = self.group.as_str();
                let codec =
                    TargetCodec::open(&mut socket.pending_output, TargetRole::Control, group);
                self.connection = Some(Connection {
                    socket,
                    codec,
                    connected: false,
                });
                true
            }
            Err(_) => {
                self.drop_connection();
                false
            }
        }
    }

    fn ready(&mut self, cx: CX![], ready: Ready) {
        let Some(connection) = &mut self.connection else {
            return;
        };
        if !connection.connected {
            match connection.socket.finish_connect() {
                Ok(true) => connection.connected = true,
                Ok(false) => return,
                Err(_) => return self.drop_connection(),
            }
        }
        if ready.is_writable() {
            self.flush();
        }
        if ready.is_readable() || ready.is_read_closed() {
            self.read(cx);
        }
    }

    fn read(&mut self, cx: CX![]) {
        while let Some(connection) = &mut self.connection {
            let (socket, codec) = (&mut connection.socket, &mut connection.codec);
            match socket.read(|bytes| codec.extend(bytes)) {
                Ok(ReadOutcome::Data | ReadOutcome::LastData) => self.process_outputs(cx),
                Ok(ReadOutcome::WouldBlock) => return,
                Ok(ReadOutcome::Closed) | Err(_) => return self.drop_connection(),
            }
        }
    }

    fn process_outputs(&mut self, cx: CX![]) {
        while let Some(connection) = &mut self.connection {
            let mut out = BytesMut::new();
            match connection.codec.next_output(&mut out) {
                Ok(None) => break,
                Ok(Some(TargetOutput::Opened)) => {}
                Ok(Some(TargetOutput::Answered(answer))) => self.answered(&answer),
                Err(error) => {
                    let values = [
                        self.member.as_str().into(),
                        FieldValue::from_display(&error),
                    ];
                    emit_limited_by_cause(&events::TARGET_MALFORMED, self.member.as_str(), &values);
                    return self.drop_connection();
                }
            }
        }
        self.send_next(cx);
    }

    fn answered(&mut self, answer: &TargetAnswer) {
        let Some(pending) = self.in_progress.take() else {
            return;
        };
        let command = pending.command;
        match parse_member_state(&answer.frames) {
            Some(state) if !answer.failed => {
                let (group, member) = (self.group.clone(), self.member.clone());
                call!(
                    [self.vm],
                    handle_event(VmEvent::MemberAnswered {
                        group,
                        member,
                        state,
                        command,
                    })
                );
            }
            // A member refuses a command when it has seen a later term.
            _ => self.report_failure(command, Reason::TermReplaced),
        }
    }

    fn flush(&mut self) {
        if let Some(connection) = &mut self.connection
            && connection.connected
            && connection.socket.flush().is_err()
        {
            self.drop_connection();
        }
    }

    fn drop_connection(&mut self) {
        self.connection = None;
        if let Some(pending) = self.in_progress.take() {
            self.report_failure(pending.command, Reason::ConnectionLost);
        }
        // The queued commands were not sent, but they fail too because the member is unreachable.
        for pending in std::mem::take(&mut self.queue) {
            self.report_failure(pending.command, Reason::ConnectionLost);
        }
    }

    fn check_deadlines(&mut self, cx: CX![]) {
        let now = cx.now();
        let expired = |pending: &PendingCommand| pending.deadline <= now;
        if self.in_progress.as_ref().is_some_and(expired) {
            // The answer may still arrive and would be taken for that of the next command.
            self.connection = None;
        }
        let (late, queue): (VecDeque<_>, VecDeque<_>) = std::mem::take(&mut self.queue)
            .into_iter()
            .partition(expired);
        self.queue = queue;
        let in_progress = self.in_progress.take_if(|pending| expired(pending));
        for pending in in_progress.into_iter().chain(late) {
            self.report_failure(pending.command, Reason::AnswerDeadline);
        }
        self.send_next(cx);
    }

    fn report_failure(&self, command: MemberCommand, reason: Reason) {
        let (group, member) = (self.group.clone(), self.member.clone());
        call!(
            [self.vm],
            handle_event(VmEvent::MemberFailed {
                group,
                member,
                command,
                reason,
            })
        );
    }
}
