//! Calls to the platform's store. Each kind of object has its own connection, since a watch keeps
//! it; writes have one more.

use std::collections::VecDeque;
use std::net::SocketAddr;
use std::time::Duration;

use lycheedoor_http::Limits;
use lycheedoor_http::Response;
use lycheedoor_http::ResponseDecoder;
use lycheedoor_net::ReadOutcome;
use lycheedoor_net::Socket;
use lycheedoor_pool::FleetRecord;
use lycheedoor_pool::ObjectAnswer;
use lycheedoor_pool::ObjectCall;
use lycheedoor_pool::ObjectKind;
use lycheedoor_pool::PoolEvent;
use lycheedoor_pool::WriteOutcome;
use lycheedoor_telemetry::emit_limited;
use lycheedoor_telemetry::events;
use lycheedoor_telemetry::metrics::PLATFORM_CALLS;
use metrics::counter;
use stakker::CX;
use stakker::FixedTimerKey;
use stakker::Fwd;
use stakker::after;
use stakker::fwd_to;
use stakker_mio::Ready;
use stakker_mio::mio::net::TcpStream;

use crate::driver::Driver;

/// Time for an answer to a list or a write. A slow store takes some hundred milliseconds.
const CALL_LIMIT: Duration = Duration::from_millis(1_500);

/// Time that the answer to a watch may take beyond its wait.
const WATCH_MARGIN: Duration = Duration::from_secs(2);

/// The longest wait of a watch. Each one that ends without a change is a call that costs.
pub(crate) const WATCH_WAIT: Duration = Duration::from_secs(30);

/// Limits of the store's responses: a page holds about 1 MB of objects.
const RESPONSE_LIMITS: Limits = Limits {
    head_bytes: 16 * 1024,
    body_bytes: 8 * 1024 * 1024,
};

/// An HTTP connection with one call at a time.
pub(crate) struct HttpLink {
    socket: Socket,
    decoder: ResponseDecoder,
    is_connected: bool,
}

/// What a connection's readiness has brought.
pub(crate) enum HttpProgress {
    /// Nothing yet.
    Waiting,
    /// A whole response.
    Answered(Response),
    /// The connection has ended.
    Ended,
}

impl HttpLink {
    pub(crate) fn open(
        cx: &mut stakker::Core,
        address: SocketAddr,
        ready: Fwd<Ready>,
    ) -> std::io::Result<Self> {
        let mut socket = Socket::register(cx, TcpStream::connect(address)?, ready)?;
        socket.detect_silence()?;
        Ok(Self {
            socket,
            decoder: ResponseDecoder::new(RESPONSE_LIMITS),
            is_connected: false,
        })
    }

    /// Adds a request; returns false when the connection has ended.
    pub(crate) fn send(&mut self, bytes: &[u8]) -> bool {
        self.socket.out.extend_from_slice(bytes);
        !self.is_connected || self.socket.flush().is_ok()
    }

    pub(crate) fn progress(&mut self, ready: &Ready) -> HttpProgress {
        if !self.is_connected {
            match self.socket.finish_connect() {
                Ok(true) => self.is_connected = true,
                Ok(false) => return HttpProgress::Waiting,
                Err(_) => return HttpProgress::Ended,
            }
        }
        if self.socket.flush().is_err() {
            return HttpProgress::Ended;
        }
        if !ready.is_readable() && !ready.is_read_closed() {
            return HttpProgress::Waiting;
        }
        loop {
            let decoder = &mut self.decoder;
            let outcome = self.socket.read(|bytes| decoder.extend(bytes));
            let has_ended = match outcome {
                Ok(ReadOutcome::Data | ReadOutcome::LastData) => false,
                Ok(ReadOutcome::WouldBlock) => return HttpProgress::Waiting,
                Ok(ReadOutcome::Closed) | Err(_) => true,
            };
            match self.decoder.next_response() {
                Ok(Some(response)) => return HttpProgress::Answered(response),
                Ok(None) if has_ended => return HttpProgress::Ended,
                Ok(None) => {}
                Err(error) => {
                    let cause = error.to_string();
                    let values = ["-".into(), cause.as_str().into()];
                    emit_limited(&events::PLATFORM_ANSWER_MALFORMED, &cause, &values);
                    return HttpProgress::Ended;
                }
            }
        }
    }
}

/// The connection that reads one kind of object.
#[derive(Default)]
pub(crate) struct StoreReader {
    link: Option<HttpLink>,
    call: Option<(ObjectCall, FixedTimerKey)>,
}

/// The connection that writes records.
#[derive(Default)]
pub(crate) struct StoreWriter {
    link: Option<HttpLink>,
    call: Option<(String, FixedTimerKey)>,
    queue: VecDeque<(String, Vec<u8>)>,
}

impl Driver {
    pub(crate) fn read_store(&mut self, cx: CX![], call: ObjectCall) {
        let (kind, limit) = match &call {
            ObjectCall::List { kind, .. } => (*kind, CALL_LIMIT),
            ObjectCall::Watch { kind, .. } => (*kind, WATCH_WAIT + WATCH_MARGIN),
        };
        let mut bytes = Vec::new();
        self.borders.store.encode_read(&call, &mut bytes);
        let reader = self.readers.entry(kind).or_default();
        let timer = after!(limit, [cx], read_overdue(kind));
        reader.call = Some((call, timer));
        if reader.link.is_none() {
            let ready = fwd_to!([cx], reader_ready(kind) as (Ready));
            match HttpLink::open(cx, self.addresses.store, ready) {
                Ok(link) => reader.link = Some(link),
                Err(error) => return self.read_failed(cx, kind, &error.to_string()),
            }
        }
        let is_sent = reader.link.as_mut().is_some_and(|link| link.send(&bytes));
        if !is_sent {
            self.read_failed(cx, kind, "connection lost");
        }
    }

    fn reader_ready(&mut self, cx: CX![], kind: ObjectKind, ready: Ready) {
        let Some(reader) = self.readers.get_mut(&kind) else {
            return;
        };
        let Some(link) = &mut reader.link else {
            return;
        };
        match link.progress(&ready) {
            HttpProgress::Waiting => {}
            HttpProgress::Ended => self.read_failed(cx, kind, "connection lost"),
            HttpProgress::Answered(response) => {
                let Some((call, timer)) = reader.call.take() else {
                    reader.link = None;
                    return;
                };
                cx.timer_del(timer);
                let answer = self.borders.store.decode_read(&call, &response);
                if answer == ObjectAnswer::Unavailable {
                    let status = response.status;
                    let cause = format!("status {status}");
                    warn_unreachable(kind.as_str(), &cause);
                }
                count_call(kind.as_str(), &answer);
                self.report(cx, PoolEvent::ObjectsRead { kind, answer });
            }
        }
    }

    fn read_overdue(&mut self, cx: CX![], kind: ObjectKind) {
        self.read_failed(cx, kind, "no answer in time");
    }

    fn read_failed(&mut self, cx: CX![], kind: ObjectKind, cause: &str) {
        if self.end_read(cx, kind, ObjectAnswer::Unavailable) {
            warn_unreachable(kind.as_str(), cause);
        }
    }

    /// Ends the connections to the store, which is elsewhere now, and reads everything again:
    /// nothing says that the revisions there are those of before.
    pub(crate) fn move_to_store(&mut self, cx: CX![], address: SocketAddr) {
        self.addresses.store = address;
        for kind in ObjectKind::ALL {
            self.end_read(cx, kind, ObjectAnswer::HistoryDiscarded);
        }
        self.write_failed(cx);
    }

    /// Ends the connection of a kind and answers its call, if there is one.
    fn end_read(&mut self, cx: CX![], kind: ObjectKind, answer: ObjectAnswer) -> bool {
        let Some(reader) = self.readers.get_mut(&kind) else {
            return false;
        };
        reader.link = None;
        let Some((_, timer)) = reader.call.take() else {
            return false;
        };
        cx.timer_del(timer);
        count_call(kind.as_str(), &answer);
        self.report(cx, PoolEvent::ObjectsRead { kind, answer });
        true
    }

    pub(crate) fn write_store(
        &mut self,
        cx: CX![],
        name: &str,
        record: &FleetRecord,
        expected: Option<u64>,
    ) {
        let mut bytes = Vec::new();
        let store = &self.borders.store;
        store.encode_write(name, record, expected, &mut bytes);
        self.writer.queue.push_back((name.to_owned(), bytes));
        self.next_write(cx);
    }

    pub(crate) fn remove_record(&mut self, cx: CX![], name: &str, expected: u64) {
        let mut bytes = Vec::new();
        let store = &self.borders.store;
        store.encode_removal(name, expected, &mut bytes);
        self.writer.queue.push_back((name.to_owned(), bytes));
        self.next_write(cx);
    }

    fn next_write(&mut self, cx: CX![]) {
        if self.writer.call.is_some() {
            return;
        }
        let Some((name, bytes)) = self.writer.queue.pop_front() else {
            return;
        };
        let timer = after!(CALL_LIMIT, [cx], write_failed());
        self.writer.call = Some((name, timer));
        if self.writer.link.is_none() {
            let ready = fwd_to!([cx], writer_ready() as (Ready));
            match HttpLink::open(cx, self.addresses.store, ready) {
                Ok(link) => self.writer.link = Some(link),
                Err(error) => warn_unreachable("put", &error.to_string()),
            }
        }
        let is_sent = self
            .writer
            .link
            .as_mut()
            .is_some_and(|link| link.send(&bytes));
        if !is_sent {
            self.write_failed(cx);
        }
    }

    fn writer_ready(&mut self, cx: CX![], ready: Ready) {
        let Some(link) = &mut self.writer.link else {
            return;
        };
        match link.progress(&ready) {
            HttpProgress::Waiting => {}
            HttpProgress::Ended => self.write_failed(cx),
            HttpProgress::Answered(response) => {
                let outcome = self.borders.store.decode_write(&response);
                self.write_ended(cx, outcome);
            }
        }
    }

    fn write_failed(&mut self, cx: CX![]) {
        self.writer.link = None;
        self.write_ended(cx, WriteOutcome::Unknown);
    }

    fn write_ended(&mut self, cx: CX![], outcome: WriteOutcome) {
        let Some((name, timer)) = self.writer.call.take() else {
            return;
        };
        cx.timer_del(timer);
        let result = match &outcome {
            WriteOutcome::Written(_) => "updated",
            WriteOutcome::Conflict { .. } => "conflict",
            WriteOutcome::Unknown => "unreachable",
        };
        counter!(PLATFORM_CALLS.name, "call" => "put", "result" => result).increment(1);
        if outcome == WriteOutcome::Unknown {
            warn_unreachable("put", "no usable answer");
        }
        self.report(cx, PoolEvent::RecordWritten { name, outcome });
        self.next_write(cx);
    }
}

fn count_call(call: &'static str, answer: &ObjectAnswer) {
    let result = match answer {
        ObjectAnswer::Page { .. } | ObjectAnswer::Events { .. } => "object",
        ObjectAnswer::HistoryDiscarded => "conflict",
        ObjectAnswer::Unavailable => "unreachable",
    };
    counter!(PLATFORM_CALLS.name, "call" => call, "result" => result).increment(1);
}

pub(crate) fn warn_unreachable(call: &str, error: &str) {
    emit_limited(
        &events::PLATFORM_UNREACHABLE,
        call,
        &[call.into(), error.into()],
    );
}
