//! The actor for an HTTP connection from an operator's client.

use lycheedoor_http::Limits;
use lycheedoor_http::RequestDecoder;
use lycheedoor_telemetry::emit;
use lycheedoor_telemetry::emit_limited_by_cause;
use lycheedoor_telemetry::events;
use stakker::Actor;
use stakker::CX;
use stakker::call;
use stakker::fail;
use stakker::fwd_to;
use stakker::ret_some_to;
use stakker_mio::Ready;
use stakker_mio::mio::net::TcpStream;

use crate::vm::VmActor;
use lycheedoor_net::MAX_READS_PER_TURN;
use lycheedoor_net::ReadOutcome;
use lycheedoor_net::Socket;

/// The size limits of a request; requests from operators have no body.
const REQUEST_LIMITS: Limits = Limits {
    head_bytes: 4 * 1024,
    body_bytes: 0,
};

/// An actor that owns one accepted connection from an operator's client.
pub(crate) struct OperatorServer {
    vm: Actor<VmActor>,
    socket: Socket,
    decoder: RequestDecoder,
}

impl OperatorServer {
    pub(crate) fn init(cx: CX![], stream: TcpStream, vm: Actor<VmActor>) -> Option<Self> {
        let ready = fwd_to!([cx], ready() as (Ready));
        match Socket::register(cx, stream, ready) {
            Ok(socket) => Some(Self {
                vm,
                socket,
                decoder: RequestDecoder::new(REQUEST_LIMITS),
            }),
            Err(error) => {
                fail!(cx, error);
                None
            }
        }
    }

    fn ready(&mut self, cx: CX![], ready: Ready) {
        if ready.is_writable() && self.socket.flush().is_err() {
            return cx.stop();
        }
        if ready.is_readable() || ready.is_read_closed() {
            self.read(cx);
        }
    }

    fn read(&mut self, cx: CX![]) {
        for _ in 0..MAX_READS_PER_TURN {
            let (socket, decoder) = (&mut self.socket, &mut self.decoder);
            match socket.read(|bytes| decoder.extend(bytes)) {
                Ok(ReadOutcome::Data | ReadOutcome::LastData) => {
                    if !self.process_requests(cx) {
                        return cx.stop();
                    }
                }
                Ok(ReadOutcome::WouldBlock) => return,
                Ok(ReadOutcome::Closed) | Err(_) => return cx.stop(),
            }
        }
        call!([cx], read());
    }

    /// Passes received requests to the VM actor; returns false when the connection must be closed.
    fn process_requests(&mut self, cx: CX![]) -> bool {
        loop {
            match self.decoder.next_request() {
                Ok(Some(request)) => {
                    emit(&events::OPERATOR_REQUEST, &[request.path().into()]);
                    let ret = ret_some_to!([cx], send_response() as (Vec<u8>));
                    call!([self.vm], operator_request(request, ret));
                }
                Ok(None) => return true,
                Err(error) => {
                    let cause = error.to_string();
                    emit_limited_by_cause(
                        &events::OPERATOR_MALFORMED,
                        &cause,
                        &[cause.as_str().into()],
                    );
                    return false;
                }
            }
        }
    }

    fn send_response(&mut self, cx: CX![], response: Vec<u8>) {
        self.socket.pending_output.extend_from_slice(&response);
        if self.socket.flush().is_err() {
            cx.stop();
        }
    }
}
