//! The actor for a connection to a target that carries statements.

use std::fmt;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use bytes::BytesMut;
use lycheedoor_core::types::ConnectionId;
use lycheedoor_core::types::GroupId;
use lycheedoor_core::types::RequestId;
use lycheedoor_core::types::WorkspaceId;
use lycheedoor_frame::Exchange;
use lycheedoor_target::TargetCodec;
use lycheedoor_target::TargetOutput;
use lycheedoor_target::TargetRole;
use lycheedoor_telemetry::FieldValue;
use lycheedoor_telemetry::emit_limited_by_cause;
use lycheedoor_telemetry::events;
use stakker::Actor;
use stakker::ActorOwn;
use stakker::CX;
use stakker::after;
use stakker::call;
use stakker::fwd_to;
use stakker_mio::Ready;
use stakker_mio::mio::net::TcpStream;

use crate::vm::VmActor;
use lycheedoor_net::MAX_READS_PER_TURN;
use lycheedoor_net::ReadOutcome;
use lycheedoor_net::Socket;

/// The time for the connect and the start-up of a connection together.
const OPEN_TIMEOUT: Duration = Duration::from_secs(5);

#[derive(Debug)]
struct Statement {
    request: RequestId,
    /// Whether some of the statement may have been written to the socket.
    written: bool,
}

/// An actor that owns one connection to a target.
pub(crate) struct TargetLink {
    connection: ConnectionId,
    address: SocketAddr,
    vm: Actor<VmActor>,
    socket: Socket,
    codec: TargetCodec,
    connected: bool,
    opened: bool,
    statement: Option<Statement>,
}

impl TargetLink {
    pub(crate) fn init(
        cx: CX![],
        connection: ConnectionId,
        address: SocketAddr,
        group: GroupId,
        vm: Actor<VmActor>,
    ) -> Option<Self> {
        let ready = fwd_to!([cx], ready() as (Ready));
        let socket =
            TcpStream::connect(address).and_then(|stream| Socket::register(cx, stream, ready));
        let mut socket = match socket {
            Ok(socket) => socket,
            Err(error) => {
                warn_unreachable(connection, &error);
                call!([vm], connection_ended(connection, true));
                cx.stop();
                return None;
            }
        };
        let codec = TargetCodec::open(
            &mut socket.pending_output,
            TargetRole::Statements,
            group.as_str(),
        );
        after!(OPEN_TIMEOUT, [cx], open_deadline_reached());
        Some(Self {
            connection,
            address,
            vm,
            socket,
            codec,
            connected: false,
            opened: false,
            statement: None,
        })
    }

    /// Sends a statement, preceded by the settings of its workspace and idempotency key.
    pub(crate) fn send(
        &mut self,
        cx: CX![],
        request: RequestId,
        workspace: WorkspaceId,
        idempotency_key: Option<String>,
        exchange: Rc<Exchange>,
    ) {
        if !self.codec.is_idle() {
            let detail = format!(
                "cannot send a statement on connection {}: it is busy",
                self.connection
            );
            emit_limited_by_cause(&events::INTERNAL_FAULT, "busy", &[detail.as_str().into()]);
            return self.end(cx);
        }
        self.codec.send_statement(
            &mut self.socket.pending_output,
            workspace.as_str(),
            idempotency_key.as_deref(),
            &exchange,
        );
        self.statement = Some(Statement {
            request,
            written: false,
        });
        self.flush(cx);
    }

    /// Closes the connection and cancels a statement in progress; `_owner` keeps the actor alive
    /// until this call.
    pub(crate) fn shut_down(&mut self, cx: CX![], _owner: ActorOwn<Self>) {
        let written = self.statement.as_ref().is_some_and(|it| it.written);
        if let Some(request) = self.codec.cancel_request().filter(|_| written) {
            call!([self.vm], cancel_on_target(self.address, request));
        }
        cx.stop();
    }

    fn ready(&mut self, cx: CX![], ready: Ready) {
        if !self.connected {
            match self.socket.finish_connect() {
                Ok(connected) => self.connected = connected,
                Err(error) => {
                    warn_unreachable(self.connection, &error);
                    return self.end(cx);
                }
            }
            if !self.connected {
                return;
            }
        }
        if ready.is_writable() {
            self.flush(cx);
        }
        if ready.is_readable() || ready.is_read_closed() {
            self.read(cx, ready.is_read_closed());
        }
    }

    /// Reads from the socket, up to a limit for each turn of the event loop.
    ///
    /// A short read ends the turn unless `until_blocked` is set, which a close that was reported
    /// together with the data requires.
    fn read(&mut self, cx: CX![], until_blocked: bool) {
        for _ in 0..MAX_READS_PER_TURN {
            let (socket, codec) = (&mut self.socket, &mut self.codec);
            let outcome = socket.read(|bytes| codec.extend(bytes));
            match outcome {
                Ok(ReadOutcome::Data | ReadOutcome::LastData) => {
                    let ended = !self.process_outputs(cx);
                    if ended
                        || (outcome.is_ok_and(|it| it == ReadOutcome::LastData) && !until_blocked)
                    {
                        return;
                    }
                }
                Ok(ReadOutcome::WouldBlock) => return,
                Ok(ReadOutcome::Closed) | Err(_) => return self.end(cx),
            }
        }
        call!([cx], read(true));
    }

    /// Passes received answers to the VM actor; returns false when the connection has ended.
    fn process_outputs(&mut self, cx: CX![]) -> bool {
        loop {
            let mut out = BytesMut::new();
            let output = self.codec.next_output(&mut out);
            if !out.is_empty() {
                self.socket.pending_output.unsplit(out);
                self.flush(cx);
            }
            match output {
                Ok(None) => return true,
                Ok(Some(TargetOutput::Opened)) => {
                    self.opened = true;
                    call!([self.vm], connection_opened(self.connection));
                }
                Ok(Some(TargetOutput::Answered(answer))) => {
                    if let Some(statement) = self.statement.take() {
                        let request = statement.request;
                        call!([self.vm], target_answered(self.connection, request, answer));
                    }
                }
                Err(error) => {
                    let values = [self.connection.0.into(), FieldValue::from_display(&error)];
                    let cause = error.to_string();
                    emit_limited_by_cause(&events::TARGET_MALFORMED, &cause, &values);
                    self.end(cx);
                    return false;
                }
            }
        }
    }

    fn flush(&mut self, cx: CX![]) {
        if !self.connected {
            return;
        }
        match self.socket.flush() {
            Ok(0) => {}
            Ok(_) => {
                if let Some(statement) = &mut self.statement {
                    statement.written = true;
                }
            }
            // Not logged here: the observer logs lost connections from the timeline.
            Err(_) => {
                // The flush may have written some bytes before the error.
                if let Some(statement) = &mut self.statement {
                    statement.written = true;
                }
                self.end(cx);
            }
        }
    }

    fn open_deadline_reached(&mut self, cx: CX![]) {
        if !self.opened {
            warn_unreachable(
                self.connection,
                &"timed out before the start-up was complete",
            );
            self.end(cx);
        }
    }

    fn end(&mut self, cx: CX![]) {
        let unsent = self
            .statement
            .as_ref()
            .is_none_or(|statement| !statement.written);
        call!([self.vm], connection_ended(self.connection, unsent));
        cx.stop();
    }
}

/// Logs a warning, at most once a second for each cause.
fn warn_unreachable(connection: ConnectionId, error: &dyn fmt::Display) {
    let cause = error.to_string();
    let values = [connection.0.into(), cause.as_str().into()];
    emit_limited_by_cause(&events::TARGET_UNREACHABLE, &cause, &values);
}
