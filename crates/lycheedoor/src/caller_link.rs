//! The actor for the connection of one caller.

use std::cell::RefCell;
use std::collections::VecDeque;
use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use lycheedoor_caller::CallerInput;
use lycheedoor_caller::CallerSession;
use lycheedoor_caller::LocalRequest;
use lycheedoor_caller::StartUp;
use lycheedoor_caller::reply;
use lycheedoor_core::types::CallerId;
use lycheedoor_core::types::Outcome;
use lycheedoor_core::types::Reason;
use lycheedoor_core::vm::TransactionStatus;
use lycheedoor_frame::StatementRegistry;
use lycheedoor_telemetry::emit_limited_by_cause;
use lycheedoor_telemetry::events;
use stakker::Actor;
use stakker::CX;
use stakker::after;
use stakker::call;
use stakker::fail;
use stakker::fwd_to;
use stakker_mio::Ready;
use stakker_mio::mio::net::TcpStream;

use crate::vm::VmActor;
use lycheedoor_net::MAX_READS_PER_TURN;
use lycheedoor_net::ReadOutcome;
use lycheedoor_net::Socket;

/// The time within which a new connection has to complete its start-up.
const START_UP_TIMEOUT: Duration = Duration::from_secs(10);

/// The time that a caller has to read the final error and close its side.
const CLOSE_TIMEOUT: Duration = Duration::from_secs(1);

/// The number of pipelined statements and local requests at which reading from the caller pauses.
const MAX_QUEUED_INPUTS: usize = 32;

/// The size of queued statements above which reading from the caller pauses.
const MAX_QUEUED_BYTES: usize = 1024 * 1024;

/// The size of unsent output above which reading from the caller pauses and no queued statement is
/// started.
const MAX_OUTPUT_BYTES: usize = 1024 * 1024;

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Phase {
    StartUp,
    AwaitingAcceptance,
    Accepted,
    Closing,
}

/// An actor that owns the socket of one caller.
pub(crate) struct CallerLink {
    caller: CallerId,
    secret: i32,
    vm: Actor<VmActor>,
    registry: Rc<RefCell<StatementRegistry>>,
    socket: Socket,
    session: CallerSession,
    queue: VecDeque<CallerInput>,
    queued_bytes: usize,
    phase: Phase,
    busy: bool,
    reading_paused: bool,
    status: TransactionStatus,
    session_token: Option<String>,
    idempotency_key: Option<String>,
}

impl CallerLink {
    pub(crate) fn init(
        cx: CX![],
        stream: TcpStream,
        caller: CallerId,
        secret: i32,
        vm: Actor<VmActor>,
        registry: Rc<RefCell<StatementRegistry>>,
    ) -> Option<Self> {
        let ready = fwd_to!([cx], ready() as (Ready));
        let mut socket = match Socket::register(cx, stream, ready) {
            Ok(socket) => socket,
            Err(error) => {
                fail!(cx, error);
                return None;
            }
        };
        socket.set_nodelay();
        after!(START_UP_TIMEOUT, [cx], start_up_deadline_reached());
        Some(Self {
            caller,
            secret,
            vm,
            registry,
            socket,
            session: CallerSession::default(),
            queue: VecDeque::new(),
            queued_bytes: 0,
            phase: Phase::StartUp,
            busy: false,
            reading_paused: false,
            status: TransactionStatus::Idle,
            session_token: None,
            idempotency_key: None,
        })
    }

    /// Completes the login of a caller that the decision logic has accepted.
    pub(crate) fn accept(&mut self, cx: CX![]) {
        if self.phase != Phase::AwaitingAcceptance {
            return;
        }
        self.phase = Phase::Accepted;
        // The process ID is used only in cancel requests, for which the low 31 bits of the caller's
        // number suffice.
        let process_id = i32::try_from(self.caller.0 & 0x7fff_ffff).unwrap_or(0);
        let token = self.session_token.as_deref();
        reply::put_start_up_complete(
            &mut self.socket.pending_output,
            process_id,
            self.secret,
            token,
        );
        self.process_queue(cx);
    }

    /// Sends the complete answer of a target to the caller.
    pub(crate) fn deliver(
        &mut self,
        cx: CX![],
        frames: Bytes,
        session_token: Option<String>,
        status: TransactionStatus,
    ) {
        if self.phase != Phase::Closing {
            reply::put_answer(
                &mut self.socket.pending_output,
                &frames,
                session_token.as_deref(),
            );
            self.session_token = session_token.or(self.session_token.take());
            self.end_statement(cx, status);
        }
    }

    /// Sends an error in place of an answer to the statement in progress.
    pub(crate) fn refuse(
        &mut self,
        cx: CX![],
        reason: Reason,
        outcome: Outcome,
        session_token: Option<String>,
        status: TransactionStatus,
    ) {
        if self.phase != Phase::Closing {
            let token = session_token.as_deref();
            reply::put_refusal(
                &mut self.socket.pending_output,
                reason,
                outcome,
                token,
                status,
            );
            self.session_token = session_token.or(self.session_token.take());
            self.end_statement(cx, status);
        }
    }

    /// Sends a final error and closes the connection.
    pub(crate) fn close(&mut self, cx: CX![], reason: Reason) {
        if self.phase != Phase::Closing {
            let outcome = self.outcome_in_progress();
            reply::put_fatal_error(&mut self.socket.pending_output, reason, outcome);
            self.begin_closing(cx);
        }
    }

    fn ready(&mut self, cx: CX![], ready: Ready) {
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
            if self.must_pause_reading() {
                self.reading_paused = true;
                return;
            }
            let (socket, session) = (&mut self.socket, &mut self.session);
            let closing = self.phase == Phase::Closing;
            let outcome = socket.read(|bytes| {
                if !closing {
                    session.extend(bytes);
                }
            });
            match outcome {
                Ok(ReadOutcome::LastData) if !until_blocked => return self.process_inputs(cx),
                Ok(ReadOutcome::Data | ReadOutcome::LastData) => self.process_inputs(cx),
                Ok(ReadOutcome::WouldBlock) => return,
                Ok(ReadOutcome::Closed) | Err(_) => return cx.stop(),
            }
        }
        call!([cx], read(true));
    }

    /// Returns whether the caller's queued statements or unsent output have reached a limit.
    fn must_pause_reading(&self) -> bool {
        let is_over_queue_limit =
            self.queue.len() >= MAX_QUEUED_INPUTS || self.queued_bytes > MAX_QUEUED_BYTES;
        self.phase != Phase::Closing && (is_over_queue_limit || self.is_over_output_limit())
    }

    fn is_over_output_limit(&self) -> bool {
        self.socket.pending_output.len() > MAX_OUTPUT_BYTES
    }

    fn process_inputs(&mut self, cx: CX![]) {
        while !self.must_pause_reading() && self.phase != Phase::Closing {
            let mut registry = self.registry.borrow_mut();
            let input = self
                .session
                .next_input(&mut registry, &mut self.socket.pending_output);
            drop(registry);
            match input {
                Ok(None) => break,
                Ok(Some(input)) => self.process_input(cx, input),
                Err(error) => {
                    let cause = error.to_string();
                    let values = [self.caller.0.into(), cause.as_str().into()];
                    emit_limited_by_cause(&events::CALLER_MALFORMED, &cause, &values);
                    let outcome = self.outcome_in_progress();
                    let message = error.to_string();
                    reply::put_protocol_error(&mut self.socket.pending_output, &message, outcome);
                    return self.begin_closing(cx);
                }
            }
        }
        // The session may hold complete frames, for which the event loop reports no readiness.
        self.reading_paused |= self.must_pause_reading();
        self.process_queue(cx);
    }

    fn process_input(&mut self, cx: CX![], input: CallerInput) {
        match input {
            CallerInput::Cancel { process_id, secret } => {
                call!([self.vm], cancel(process_id, secret));
                cx.stop();
            }
            CallerInput::Started(start_up) => self.start(start_up),
            CallerInput::Terminated => cx.stop(),
            input => {
                self.queued_bytes += input_size(&input);
                self.queue.push_back(input);
            }
        }
    }

    fn start(&mut self, start_up: StartUp) {
        self.phase = Phase::AwaitingAcceptance;
        self.session_token = start_up.session_token.clone();
        self.idempotency_key = start_up.idempotency_key.clone();
        call!([self.vm], caller_started(self.caller, start_up));
    }

    /// Starts queued statements one at a time, answers local requests and sends the output.
    fn process_queue(&mut self, cx: CX![]) {
        while !self.busy
            && self.phase == Phase::Accepted
            && !self.is_over_output_limit()
            && let Some(input) = self.queue.pop_front()
        {
            self.queued_bytes -= input_size(&input);
            match input {
                CallerInput::Statement(exchange) => {
                    self.busy = true;
                    let key = self.idempotency_key.clone();
                    call!([self.vm], request_received(self.caller, key, exchange));
                }
                CallerInput::Local(request) => self.answer_locally(&request),
                _ => {}
            }
        }
        if self.queue.is_empty() {
            self.queue = VecDeque::new();
        }
        self.flush(cx);
        if self.reading_paused && !self.must_pause_reading() {
            self.reading_paused = false;
            call!([cx], resume_reading());
        }
    }

    /// Processes buffered frames and reads again after a pause, because the event loop does not
    /// report the same readiness twice.
    fn resume_reading(&mut self, cx: CX![]) {
        self.process_inputs(cx);
        self.read(cx, true);
    }

    fn answer_locally(&mut self, request: &LocalRequest) {
        if let LocalRequest::SetIdempotencyKey(key) = request {
            self.idempotency_key.clone_from(key);
        }
        let token = self.session_token.as_deref().unwrap_or_default();
        reply::put_local_answer(&mut self.socket.pending_output, request, token, self.status);
    }

    fn end_statement(&mut self, cx: CX![], status: TransactionStatus) {
        self.busy = false;
        self.status = status;
        self.process_queue(cx);
    }

    fn flush(&mut self, cx: CX![]) {
        let was_over_output_limit = self.is_over_output_limit();
        match self.socket.flush() {
            Err(error) => fail!(cx, error),
            Ok(_) if self.phase == Phase::Closing => {
                if self.socket.pending_output.is_empty() {
                    self.socket.shut_down_writes();
                }
            }
            Ok(_) => {
                if was_over_output_limit && !self.is_over_output_limit() {
                    call!([cx], process_queue());
                }
            }
        }
    }

    /// Sends the remaining output and waits up to `CLOSE_TIMEOUT` for the caller to close: closing
    /// a socket with unread data resets the connection, and the caller might not receive the final
    /// error.
    fn begin_closing(&mut self, cx: CX![]) {
        if self.phase == Phase::Closing {
            return;
        }
        self.phase = Phase::Closing;
        self.queue = VecDeque::new();
        self.queued_bytes = 0;
        self.session = CallerSession::default();
        after!(CLOSE_TIMEOUT, [cx], |_this, cx| cx.stop());
        call!([cx], read(true));
        self.flush(cx);
    }

    /// Returns the outcome to report in an error that ends the connection: unknown if a statement
    /// is in progress, because it may have reached a target.
    fn outcome_in_progress(&self) -> Outcome {
        match self.busy {
            true => Outcome::Unknown,
            false => Outcome::NotRun,
        }
    }

    fn start_up_deadline_reached(&mut self, cx: CX![]) {
        if self.phase == Phase::StartUp {
            cx.stop();
        }
    }
}

fn input_size(input: &CallerInput) -> usize {
    match input {
        CallerInput::Statement(exchange) => exchange.size(),
        _ => 0,
    }
}
