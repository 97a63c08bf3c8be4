//! The actor for a connection to the platform's object API.

use std::fmt;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use std::time::Instant;

use lycheedoor_core::vm::PlatformAnswer;
use lycheedoor_core::vm::PlatformRequest;
use lycheedoor_http::Response;
use lycheedoor_http::ResponseDecoder;
use lycheedoor_telemetry::emit;
use lycheedoor_telemetry::emit_limited_by_cause;
use lycheedoor_telemetry::events;
use lycheedoor_telemetry::metrics::PLATFORM_CALL_SECONDS;
use lycheedoor_telemetry::metrics::PLATFORM_CALLS;
use metrics::counter;
use metrics::histogram;
use stakker::Actor;
use stakker::CX;
use stakker::FixedTimerKey;
use stakker::after;
use stakker::call;
use stakker::fwd_to;
use stakker_mio::Ready;
use stakker_mio::mio::net::TcpStream;

use crate::vm::VmActor;
use lycheedoor_net::ReadOutcome;
use lycheedoor_net::Socket;

/// The time for the answer to a read or a write.
const CALL_TIMEOUT: Duration = Duration::from_secs(1);

/// The time for the answer to a watch.
const WATCH_TIMEOUT: Duration = Duration::from_secs(30);

/// Encodes requests to the platform's object API and decodes its responses.
pub trait PlatformCodec {
    /// Appends the complete HTTP request for a platform request to `out`.
    fn encode(&self, request: &PlatformRequest, out: &mut Vec<u8>);

    /// Returns the answer that the HTTP response to a request stands for.
    fn decode(&self, request: &PlatformRequest, response: &Response) -> PlatformAnswer;
}

struct Call {
    id: u64,
    request: PlatformRequest,
    timer: FixedTimerKey,
    sent_at: Instant,
}

/// An actor that owns one connection to the platform and makes one call at a time.
pub(crate) struct PlatformLink {
    id: u64,
    vm: Actor<VmActor>,
    codec: Rc<dyn PlatformCodec>,
    socket: Socket,
    decoder: ResponseDecoder,
    connected: bool,
    call: Option<Call>,
}

impl PlatformLink {
    pub(crate) fn init(
        cx: CX![],
        id: u64,
        address: SocketAddr,
        codec: Rc<dyn PlatformCodec>,
        vm: Actor<VmActor>,
    ) -> Option<Self> {
        let ready = fwd_to!([cx], ready() as (Ready));
        let socket =
            TcpStream::connect(address).and_then(|stream| Socket::register(cx, stream, ready));
        match socket {
            Ok(socket) => Some(Self {
                id,
                vm,
                codec,
                socket,
                decoder: ResponseDecoder::default(),
                connected: false,
                call: None,
            }),
            Err(error) => {
                warn_unreachable("connect", &error);
                call!([vm], platform_link_ended(id));
                cx.stop();
                None
            }
        }
    }

    /// Sends a request; the link must be idle.
    pub(crate) fn send(&mut self, cx: CX![], id: u64, request: PlatformRequest) {
        let timeout = match request {
            PlatformRequest::Watch { .. } => WATCH_TIMEOUT,
            PlatformRequest::Get { .. } | PlatformRequest::Put { .. } => CALL_TIMEOUT,
        };
        let mut bytes = Vec::new();
        self.codec.encode(&request, &mut bytes);
        self.socket.pending_output.extend_from_slice(&bytes);
        let timer = after!(timeout, [cx], end());
        self.call = Some(Call {
            id,
            request,
            timer,
            sent_at: Instant::now(),
        });
        self.flush(cx);
    }

    fn ready(&mut self, cx: CX![], ready: Ready) {
        if !self.connected {
            match self.socket.finish_connect() {
                Ok(true) => self.connected = true,
                Ok(false) => return,
                Err(error) => {
                    warn_unreachable("connect", &error);
                    return self.end(cx);
                }
            }
        }
        if ready.is_writable() {
            self.flush(cx);
        }
        if ready.is_readable() || ready.is_read_closed() {
            self.read(cx);
        }
    }

    fn read(&mut self, cx: CX![]) {
        loop {
            let (socket, decoder) = (&mut self.socket, &mut self.decoder);
            match socket.read(|bytes| decoder.extend(bytes)) {
                Ok(ReadOutcome::Data | ReadOutcome::LastData) => {}
                Ok(ReadOutcome::WouldBlock) => return,
                Ok(ReadOutcome::Closed) | Err(_) => return self.end(cx),
            }
            match self.decoder.next_response() {
                Ok(None) => {}
                Ok(Some(response)) => self.answered(cx, &response),
                Err(error) => {
                    let cause = error.to_string();
                    let call = self.call.as_ref();
                    let call = call.map_or("-", |call| call_name(&call.request));
                    let values = [call.into(), cause.as_str().into()];
                    emit_limited_by_cause(&events::PLATFORM_ANSWER_MALFORMED, &cause, &values);
                    return self.end(cx);
                }
            }
        }
    }

    fn answered(&mut self, cx: CX![], response: &Response) {
        let Some(finished_call) = self.call.take() else {
            return self.end(cx);
        };
        cx.timer_del(finished_call.timer);
        let answer = self.codec.decode(&finished_call.request, response);
        record_call_metrics(&finished_call, &answer);
        call!(
            [self.vm],
            platform_answered(self.id, finished_call.id, answer)
        );
    }

    fn flush(&mut self, cx: CX![]) {
        if self.connected && self.socket.flush().is_err() {
            self.end(cx);
        }
    }

    /// Closes the connection and reports a call in progress as unreachable; the call may still have
    /// taken effect.
    fn end(&mut self, cx: CX![]) {
        if let Some(finished_call) = self.call.take() {
            let answer = PlatformAnswer::Unreachable;
            warn_unreachable(call_name(&finished_call.request), &"no answer");
            record_call_metrics(&finished_call, &answer);
            call!(
                [self.vm],
                platform_answered(self.id, finished_call.id, answer)
            );
        }
        call!([self.vm], platform_link_ended(self.id));
        cx.stop();
    }
}

/// Returns the name of a call as used in logs and metric labels.
pub(crate) fn call_name(request: &PlatformRequest) -> &'static str {
    match request {
        PlatformRequest::Get { .. } => "get",
        PlatformRequest::Watch { .. } => "watch",
        PlatformRequest::Put { .. } => "put",
    }
}

fn record_call_metrics(finished_call: &Call, answer: &PlatformAnswer) {
    let call = call_name(&finished_call.request);
    let result = match answer {
        PlatformAnswer::Object { .. } => "object",
        PlatformAnswer::Unchanged { .. } => "unchanged",
        PlatformAnswer::Updated { .. } => "updated",
        PlatformAnswer::Conflict { .. } => "conflict",
        PlatformAnswer::Unreachable => "unreachable",
    };
    counter!(PLATFORM_CALLS.name, "call" => call, "result" => result).increment(1);
    if !matches!(finished_call.request, PlatformRequest::Watch { .. }) {
        let seconds = finished_call.sent_at.elapsed().as_secs_f64();
        histogram!(PLATFORM_CALL_SECONDS.name, "call" => call).record(seconds);
    }
    if let (PlatformRequest::Put { object, .. }, PlatformAnswer::Conflict { version }) =
        (&finished_call.request, answer)
    {
        let values = [object.as_str().into(), (*version).into()];
        emit(&events::UPDATE_CONFLICT, &values);
    }
}

fn warn_unreachable(call: &str, error: &dyn fmt::Display) {
    let error = error.to_string();
    let values = [call.into(), error.as_str().into()];
    emit_limited_by_cause(&events::PLATFORM_UNREACHABLE, call, &values);
}
