//! Calls to the platform's store. Each kind of object has its own connection for reads, since a
//! watch occupies it; the checks of watches share one more, and so do writes.

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
use lycheedoor_pool::StoreRevision;
use lycheedoor_pool::WriteOutcome;
use lycheedoor_telemetry::emit_limited_by_cause;
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

/// Time for the response to a list or a write. A slow store takes some hundred milliseconds.
const CALL_TIMEOUT: Duration = Duration::from_millis(1_500);

/// Time that the response to a watch may take beyond the wait of the watch.
const WATCH_TIMEOUT_MARGIN: Duration = Duration::from_secs(2);

/// Time for the response to a probe. Other VMs rely on what this one reads, so that an unreachable
/// store has to be noticed soon.
const PROBE_TIMEOUT: Duration = Duration::from_millis(400);

/// Longest wait of a watch. A long wait saves calls: each watch that ends without a change needs
/// another one.
pub(crate) const MAX_WATCH_WAIT: Duration = Duration::from_secs(30);

/// The name of checks in logs and metrics.
const CHECK: &str = "check";

/// Size limits of the store's responses; a page holds about 1 MB of objects.
const RESPONSE_LIMITS: Limits = Limits {
    head_bytes: 16 * 1024,
    body_bytes: 8 * 1024 * 1024,
};

/// A client connection that handles one HTTP call at a time.
pub(crate) struct HttpConnection {
    socket: Socket,
    decoder: ResponseDecoder,
    is_connected: bool,
}

/// The progress of a call after its connection became ready.
pub(crate) enum HttpProgress {
    /// The response is not complete.
    Waiting,
    /// A complete response has arrived.
    Answered(Response),
    /// The connection has ended or cannot be used any further.
    Disconnected,
}

impl HttpConnection {
    pub(crate) fn open(
        cx: &mut stakker::Core,
        address: SocketAddr,
        ready: Fwd<Ready>,
    ) -> std::io::Result<Self> {
        let mut socket = Socket::register(cx, TcpStream::connect(address)?, ready)?;
        socket.enable_keepalive()?;
        Ok(Self {
            socket,
            decoder: ResponseDecoder::new(RESPONSE_LIMITS),
            is_connected: false,
        })
    }

    /// Queues a request and writes it once connected; returns false when the connection has failed.
    pub(crate) fn send(&mut self, bytes: &[u8]) -> bool {
        self.socket.pending_output.extend_from_slice(bytes);
        !self.is_connected || self.socket.flush().is_ok()
    }

    pub(crate) fn progress(&mut self, ready: &Ready) -> HttpProgress {
        if !self.is_connected {
            match self.socket.finish_connect() {
                Ok(true) => self.is_connected = true,
                Ok(false) => return HttpProgress::Waiting,
                Err(_) => return HttpProgress::Disconnected,
            }
        }
        if self.socket.flush().is_err() {
            return HttpProgress::Disconnected;
        }
        if !ready.is_readable() && !ready.is_read_closed() {
            return HttpProgress::Waiting;
        }
        loop {
            let decoder = &mut self.decoder;
            let outcome = self.socket.read(|bytes| decoder.extend(bytes));
            let is_closed = match outcome {
                Ok(ReadOutcome::Data | ReadOutcome::LastData) => false,
                Ok(ReadOutcome::WouldBlock) => return HttpProgress::Waiting,
                Ok(ReadOutcome::Closed) | Err(_) => true,
            };
            match self.decoder.next_response() {
                Ok(Some(response)) => return HttpProgress::Answered(response),
                Ok(None) if is_closed => return HttpProgress::Disconnected,
                Ok(None) => {}
                Err(error) => {
                    let cause = error.to_string();
                    let values = ["-".into(), cause.as_str().into()];
                    emit_limited_by_cause(&events::PLATFORM_ANSWER_MALFORMED, &cause, &values);
                    return HttpProgress::Disconnected;
                }
            }
        }
    }
}

/// The connection that reads one kind of object.
#[derive(Default)]
pub(crate) struct StoreReader {
    connection: Option<HttpConnection>,
    call: Option<(ObjectCall, FixedTimerKey)>,
}

/// The connection that checks whether the store can be reached.
#[derive(Default)]
pub(crate) struct StoreProber {
    connection: Option<HttpConnection>,
    timer: Option<FixedTimerKey>,
}

/// The connection on which watches are checked.
#[derive(Default)]
pub(crate) struct StoreChecker {
    connection: Option<HttpConnection>,
    call: Option<(ObjectCall, FixedTimerKey)>,
}

/// The connection that writes records.
#[derive(Default)]
pub(crate) struct StoreWriter {
    connection: Option<HttpConnection>,
    call: Option<(String, FixedTimerKey)>,
    queue: VecDeque<(String, Vec<u8>)>,
}

impl Driver {
    pub(crate) fn read_store(&mut self, cx: CX![], call: ObjectCall) {
        let (kind, timeout) = match &call {
            ObjectCall::Probe => return self.probe_store(cx),
            ObjectCall::Revision | ObjectCall::Check { .. } => return self.check_store(cx, call),
            ObjectCall::List { kind, .. } => (*kind, CALL_TIMEOUT),
            ObjectCall::Watch { kind, .. } => (*kind, MAX_WATCH_WAIT + WATCH_TIMEOUT_MARGIN),
        };
        let mut bytes = Vec::new();
        self.codecs.store.encode_read(&call, &mut bytes);
        let reader = self.readers.entry(kind).or_default();
        let timer = after!(timeout, [cx], read_timed_out(kind));
        reader.call = Some((call, timer));
        if reader.connection.is_none() {
            let ready = fwd_to!([cx], reader_ready(kind) as (Ready));
            match HttpConnection::open(cx, self.addresses.store, ready) {
                Ok(connection) => reader.connection = Some(connection),
                Err(error) => return self.read_failed(cx, kind, &error.to_string()),
            }
        }
        let is_sent = reader
            .connection
            .as_mut()
            .is_some_and(|connection| connection.send(&bytes));
        if !is_sent {
            self.read_failed(cx, kind, "connection lost");
        }
    }

    fn reader_ready(&mut self, cx: CX![], kind: ObjectKind, ready: Ready) {
        let Some(reader) = self.readers.get_mut(&kind) else {
            return;
        };
        let Some(connection) = &mut reader.connection else {
            return;
        };
        match connection.progress(&ready) {
            HttpProgress::Waiting => {}
            HttpProgress::Disconnected => self.read_failed(cx, kind, "connection lost"),
            HttpProgress::Answered(response) => {
                let Some((call, timer)) = reader.call.take() else {
                    reader.connection = None;
                    return;
                };
                cx.timer_del(timer);
                let answer = self.codecs.store.decode_read(&call, &response);
                if answer == ObjectAnswer::Unavailable {
                    let status = response.status;
                    let cause = format!("status {status}");
                    warn_unreachable(kind.as_str(), &cause);
                }
                count_call(kind.as_str(), &answer);
                self.note_store_era(cx, &response);
                self.handle_event(cx, PoolEvent::ObjectsRead { kind, answer });
            }
        }
    }

    /// Tells the pool about the era of a response if it is a new one.
    fn note_store_era(&mut self, cx: CX![], response: &Response) {
        let era = self.codecs.store.decode_era(response);
        if let Some(era) = era.filter(|era| *era > self.store_era) {
            self.store_era = era;
            self.handle_event(cx, PoolEvent::StoreEraSeen { era });
        }
    }

    fn read_timed_out(&mut self, cx: CX![], kind: ObjectKind) {
        self.read_failed(cx, kind, "timed out");
    }

    fn read_failed(&mut self, cx: CX![], kind: ObjectKind, cause: &str) {
        if self.abort_read(cx, kind, ObjectAnswer::Unavailable) {
            warn_unreachable(kind.as_str(), cause);
        }
    }

    /// Closes the connections to the store and reads everything again from the new address, since
    /// the revisions there need not match those of the old store.
    pub(crate) fn change_store_address(&mut self, cx: CX![], address: SocketAddr) {
        self.addresses.store = address;
        for kind in ObjectKind::ALL {
            // Kinds that other VMs pass on have no call in progress.
            if !self.abort_read(cx, kind, ObjectAnswer::HistoryDiscarded) {
                let answer = ObjectAnswer::HistoryDiscarded;
                self.handle_event(cx, PoolEvent::ObjectsRead { kind, answer });
            }
        }
        self.prober.connection = None;
        self.finish_check(cx, ObjectAnswer::Unavailable);
        self.write_failed(cx);
    }

    /// Closes the connections of all kinds; their pending calls get no answer.
    pub(crate) fn abort_reads(&mut self, cx: CX![]) {
        for kind in ObjectKind::ALL {
            self.abort_read(cx, kind, ObjectAnswer::Unavailable);
        }
    }

    /// Closes the connection of a kind; its pending call gets no answer, and none is reported.
    pub(crate) fn abandon_read(&mut self, cx: CX![], kind: ObjectKind) {
        let reader = self.readers.remove(&kind);
        if let Some((_, timer)) = reader.and_then(|reader| reader.call) {
            cx.timer_del(timer);
        }
    }

    fn check_store(&mut self, cx: CX![], call: ObjectCall) {
        let mut bytes = Vec::new();
        self.codecs.store.encode_read(&call, &mut bytes);
        let timer = after!(CALL_TIMEOUT, [cx], finish_check(ObjectAnswer::Unavailable));
        self.checker.call = Some((call, timer));
        if self.checker.connection.is_none() {
            let ready = fwd_to!([cx], checker_ready() as (Ready));
            match HttpConnection::open(cx, self.addresses.store, ready) {
                Ok(connection) => self.checker.connection = Some(connection),
                Err(error) => warn_unreachable(CHECK, &error.to_string()),
            }
        }
        let connection = self.checker.connection.as_mut();
        if !connection.is_some_and(|connection| connection.send(&bytes)) {
            self.finish_check(cx, ObjectAnswer::Unavailable);
        }
    }

    fn checker_ready(&mut self, cx: CX![], ready: Ready) {
        let Some(connection) = &mut self.checker.connection else {
            return;
        };
        match connection.progress(&ready) {
            HttpProgress::Waiting => {}
            HttpProgress::Disconnected => self.finish_check(cx, ObjectAnswer::Unavailable),
            HttpProgress::Answered(response) => {
                let call = self.checker.call.as_ref().map(|(call, _)| call);
                let answer = call.map_or(ObjectAnswer::Unavailable, |call| {
                    self.codecs.store.decode_read(call, &response)
                });
                self.note_store_era(cx, &response);
                self.finish_check(cx, answer);
            }
        }
    }

    /// Completes the pending check; one without a usable answer also closes the connection.
    fn finish_check(&mut self, cx: CX![], answer: ObjectAnswer) {
        if answer == ObjectAnswer::Unavailable {
            self.checker.connection = None;
        }
        let Some((call, timer)) = self.checker.call.take() else {
            return;
        };
        cx.timer_del(timer);
        count_call(CHECK, &answer);
        if answer == ObjectAnswer::Unavailable {
            warn_unreachable(CHECK, "no usable response");
        }
        let event = match (call, answer) {
            (ObjectCall::Check { kind, .. }, answer) => PoolEvent::ObjectsChecked { kind, answer },
            (_, ObjectAnswer::Page { revision, .. }) => PoolEvent::StoreRevisionRead {
                revision: Some(revision),
            },
            _ => PoolEvent::StoreRevisionRead { revision: None },
        };
        self.handle_event(cx, event);
    }

    fn probe_store(&mut self, cx: CX![]) {
        let timer = after!(PROBE_TIMEOUT, [cx], finish_probe(false));
        self.prober.timer = Some(timer);
        if self.prober.connection.is_none() {
            let ready = fwd_to!([cx], prober_ready() as (Ready));
            match HttpConnection::open(cx, self.addresses.store, ready) {
                Ok(connection) => self.prober.connection = Some(connection),
                Err(error) => warn_unreachable("probe", &error.to_string()),
            }
        }
        let mut bytes = Vec::new();
        self.codecs
            .store
            .encode_read(&ObjectCall::Probe, &mut bytes);
        let connection = self.prober.connection.as_mut();
        if !connection.is_some_and(|connection| connection.send(&bytes)) {
            self.finish_probe(cx, false);
        }
    }

    fn prober_ready(&mut self, cx: CX![], ready: Ready) {
        let Some(connection) = &mut self.prober.connection else {
            return;
        };
        match connection.progress(&ready) {
            HttpProgress::Waiting => {}
            HttpProgress::Disconnected => self.finish_probe(cx, false),
            HttpProgress::Answered(response) => {
                let answer = self.codecs.store.decode_read(&ObjectCall::Probe, &response);
                self.note_store_era(cx, &response);
                self.finish_probe(cx, answer != ObjectAnswer::Unavailable);
            }
        }
    }

    fn finish_probe(&mut self, cx: CX![], is_answered: bool) {
        if !is_answered {
            self.prober.connection = None;
        }
        let Some(timer) = self.prober.timer.take() else {
            return;
        };
        cx.timer_del(timer);
        let result = if is_answered { "object" } else { "unreachable" };
        counter!(PLATFORM_CALLS.name, "call" => "probe", "result" => result).increment(1);
        if !is_answered {
            warn_unreachable("probe", "no usable response");
        }
        self.handle_event(cx, PoolEvent::StoreProbed { is_answered });
    }

    /// Closes the connection of a kind and completes its pending call with `answer`; returns false
    /// when no call was pending.
    fn abort_read(&mut self, cx: CX![], kind: ObjectKind, answer: ObjectAnswer) -> bool {
        let Some(reader) = self.readers.get_mut(&kind) else {
            return false;
        };
        reader.connection = None;
        let Some((_, timer)) = reader.call.take() else {
            return false;
        };
        cx.timer_del(timer);
        count_call(kind.as_str(), &answer);
        self.handle_event(cx, PoolEvent::ObjectsRead { kind, answer });
        true
    }

    pub(crate) fn write_store(
        &mut self,
        cx: CX![],
        name: &str,
        record: &FleetRecord,
        expected: Option<StoreRevision>,
    ) {
        let mut bytes = Vec::new();
        let store = &self.codecs.store;
        store.encode_write(name, record, expected, &mut bytes);
        self.writer.queue.push_back((name.to_owned(), bytes));
        self.start_next_write(cx);
    }

    pub(crate) fn remove_record(&mut self, cx: CX![], name: &str, expected: StoreRevision) {
        let mut bytes = Vec::new();
        let store = &self.codecs.store;
        store.encode_removal(name, expected, &mut bytes);
        self.writer.queue.push_back((name.to_owned(), bytes));
        self.start_next_write(cx);
    }

    fn start_next_write(&mut self, cx: CX![]) {
        if self.writer.call.is_some() {
            return;
        }
        let Some((name, bytes)) = self.writer.queue.pop_front() else {
            return;
        };
        let timer = after!(CALL_TIMEOUT, [cx], write_failed());
        self.writer.call = Some((name, timer));
        if self.writer.connection.is_none() {
            let ready = fwd_to!([cx], writer_ready() as (Ready));
            match HttpConnection::open(cx, self.addresses.store, ready) {
                Ok(connection) => self.writer.connection = Some(connection),
                Err(error) => warn_unreachable("put", &error.to_string()),
            }
        }
        let is_sent = self
            .writer
            .connection
            .as_mut()
            .is_some_and(|connection| connection.send(&bytes));
        if !is_sent {
            self.write_failed(cx);
        }
    }

    fn writer_ready(&mut self, cx: CX![], ready: Ready) {
        let Some(connection) = &mut self.writer.connection else {
            return;
        };
        match connection.progress(&ready) {
            HttpProgress::Waiting => {}
            HttpProgress::Disconnected => self.write_failed(cx),
            HttpProgress::Answered(response) => {
                let outcome = self.codecs.store.decode_write(&response);
                self.note_store_era(cx, &response);
                self.finish_write(cx, outcome);
            }
        }
    }

    fn write_failed(&mut self, cx: CX![]) {
        self.writer.connection = None;
        self.finish_write(cx, WriteOutcome::Unknown);
    }

    fn finish_write(&mut self, cx: CX![], outcome: WriteOutcome) {
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
            warn_unreachable("put", "no usable response");
        }
        self.handle_event(cx, PoolEvent::RecordWritten { name, outcome });
        self.start_next_write(cx);
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
    emit_limited_by_cause(
        &events::PLATFORM_UNREACHABLE,
        call,
        &[call.into(), error.into()],
    );
}
