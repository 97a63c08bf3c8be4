//! Connections of callers.

use std::time::Duration;

use lycheedoor_core::types::CallerId;
use lycheedoor_net::MAX_READS_PER_TURN;
use lycheedoor_net::ReadOutcome;
use lycheedoor_net::Socket;
use lycheedoor_pool::CallerReply;
use lycheedoor_pool::PoolEvent;
use lycheedoor_telemetry::emit_limited_by_cause;
use lycheedoor_telemetry::events;
use stakker::CX;
use stakker::after;
use stakker::call;
use stakker::fwd_to;
use stakker_mio::Ready;
use stakker_mio::mio::net::TcpStream;

use crate::codecs::CallerCodec;
use crate::codecs::InvalidMessage;
use crate::driver::DirtySocket;
use crate::driver::Driver;

/// Time for a caller to read the last reply and close its side of the connection.
const CLOSE_TIMEOUT: Duration = Duration::from_secs(1);

/// The connection of one caller.
pub(crate) struct CallerConnection {
    pub(crate) socket: Socket,
    pub(crate) codec: Box<dyn CallerCodec>,
    pub(crate) is_closing: bool,
    /// Whether reading waits until the caller has fewer statements in progress or less output.
    pub(crate) is_paused: bool,
}

impl Driver {
    pub(crate) fn caller_accepted(&mut self, cx: CX![], stream: TcpStream) {
        if !self.make_room_for_caller(cx) {
            return;
        }
        let number = self.new_socket_number();
        let ready = fwd_to!([cx], caller_ready(number) as (Ready));
        let mut socket = match Socket::register(cx, stream, ready) {
            Ok(socket) => socket,
            Err(error) => {
                let cause = error.to_string();
                let values = ["callers".into(), cause.as_str().into()];
                return emit_limited_by_cause(&events::SOCKET_LIMIT, "callers", &values);
            }
        };
        socket.set_nodelay();

        let connection = CallerConnection {
            socket,
            codec: self.codecs.protocol.caller_codec(),
            is_closing: false,
            is_paused: false,
        };
        self.callers.insert(number, connection);
        let now = self.now(cx.now());
        self.ledger.add(number, now);
        let caller = CallerId(number);
        self.handle_event(cx, PoolEvent::CallerConnected { caller });
    }

    fn caller_ready(&mut self, cx: CX![], number: u64, ready: Ready) {
        if ready.is_writable() {
            self.flush_caller(cx, number);
        }
        let is_paused = self
            .callers
            .get(&number)
            .is_some_and(|caller| caller.is_paused);
        if is_paused && ready.is_read_closed() {
            // Nothing that the caller sent ahead can be answered any more.
            return self.disconnect_caller(cx, number);
        }
        if ready.is_readable() || ready.is_read_closed() {
            self.read_caller(cx, number, ready.is_read_closed());
        }
    }

    pub(crate) fn read_caller(&mut self, cx: CX![], number: u64, is_read_closed: bool) {
        for _ in 0..MAX_READS_PER_TURN {
            let Some(connection) = self.callers.get_mut(&number) else {
                return;
            };
            if connection.is_paused {
                return;
            }
            let (socket, codec) = (&mut connection.socket, &mut connection.codec);
            let is_closing = connection.is_closing;
            let outcome = socket.read(|bytes| {
                if !is_closing {
                    codec.extend(bytes);
                }
            });
            match outcome {
                Ok(ReadOutcome::Data | ReadOutcome::LastData) => {
                    self.process_requests(cx, number);
                    self.account_caller(cx, number);
                }
                Ok(ReadOutcome::WouldBlock) => return,
                Ok(ReadOutcome::Closed) | Err(_) => return self.disconnect_caller(cx, number),
            }
            if outcome.is_ok_and(|outcome| outcome.is_drained(is_read_closed)) {
                return;
            }
        }
        call!([cx], read_caller(number, is_read_closed));
    }

    pub(crate) fn process_requests(&mut self, cx: CX![], number: u64) {
        let caller = CallerId(number);
        loop {
            let must_pause = self.must_pause(number);
            let Some(connection) = self.callers.get_mut(&number) else {
                return;
            };
            if connection.is_closing {
                return;
            }
            let has_input = connection.codec.buffered_bytes() > 0;
            connection.is_paused = has_input && must_pause;
            if connection.is_paused || !has_input {
                return;
            }
            match connection.codec.next_request() {
                Ok(None) => return,
                Ok(Some(request)) => {
                    self.ledger.message_completed(number);
                    self.handle_event(cx, PoolEvent::CallerSent { caller, request });
                }
                Err(error) => {
                    let cause = error.to_string();
                    let values = [number.into(), cause.as_str().into()];
                    emit_limited_by_cause(&events::CALLER_MALFORMED, &cause, &values);
                    let is_too_large = matches!(error, InvalidMessage::TooLarge { .. });
                    let event = PoolEvent::CallerSentInvalid {
                        caller,
                        is_too_large,
                    };
                    return self.handle_event(cx, event);
                }
            }
        }
    }

    pub(crate) fn disconnect_caller(&mut self, cx: CX![], number: u64) {
        if self.remove_caller(number) {
            let caller = CallerId(number);
            self.handle_event(cx, PoolEvent::CallerClosed { caller });
        }
    }

    pub(crate) fn reply(&mut self, caller: CallerId, reply: &CallerReply) {
        let Some(connection) = self.callers.get_mut(&caller.0) else {
            return;
        };
        let mut bytes = Vec::new();
        connection.codec.encode(reply, &mut bytes);
        connection.socket.pending_output.extend_from_slice(&bytes);
        self.mark_dirty(DirtySocket::Caller(caller.0));
    }

    pub(crate) fn flush_caller(&mut self, cx: CX![], number: u64) {
        let Some(connection) = self.callers.get_mut(&number) else {
            return;
        };
        let flushed = connection.socket.flush();
        let pending_bytes = connection.socket.pending_output.len();
        if flushed.is_err() {
            return self.disconnect_caller(cx, number);
        }
        if connection.is_closing && pending_bytes == 0 {
            connection.socket.shut_down_writes();
        }
        self.account_caller(cx, number);
        if self
            .callers
            .get(&number)
            .is_some_and(|caller| caller.is_paused)
        {
            call!([cx], resume_caller(number));
        }
    }

    /// Closes a connection after its pending output has been sent. Bytes that still arrive are read
    /// and discarded, since unread ones would reset the connection, losing the last reply.
    pub(crate) fn close_caller(&mut self, cx: CX![], caller: CallerId) {
        let has_no_output =
            |connection: &CallerConnection| connection.socket.pending_output.is_empty();
        if self.callers.get(&caller.0).is_some_and(has_no_output) {
            // The caller has ended its session, or no reply is left to send.
            self.remove_caller(caller.0);
            return;
        }
        if let Some(connection) = self.callers.get_mut(&caller.0) {
            connection.is_closing = true;
            let was_paused = std::mem::take(&mut connection.is_paused);
            connection.codec = self.codecs.protocol.caller_codec();
            self.mark_dirty(DirtySocket::Caller(caller.0));
            after!(CLOSE_TIMEOUT, [cx], caller_close_timed_out(caller.0));
            if was_paused {
                call!([cx], read_caller(caller.0, true));
            }
        }
    }

    fn caller_close_timed_out(&mut self, _: CX![], number: u64) {
        self.remove_caller(number);
    }

    fn remove_caller(&mut self, number: u64) -> bool {
        self.ledger.remove(number);
        self.callers.remove(&number).is_some()
    }
}
