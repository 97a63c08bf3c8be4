//! The actor for a connection to another VM, for messages that this VM sends.

use std::collections::VecDeque;
use std::net::SocketAddr;
use std::time::Duration;
use std::time::Instant;

use lycheedoor_core::types::VmId;
use lycheedoor_core::vm::VmEvent;
use lycheedoor_peer::Confirmation;
use lycheedoor_peer::PeerClientCodec;
use lycheedoor_telemetry::emit;
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

/// The largest number of messages that wait for one VM; beyond it the oldest one is dropped.
const MAX_QUEUED_MESSAGES: usize = 256;

/// The largest number of messages that are sent but not yet confirmed.
const MAX_UNCONFIRMED_MESSAGES: usize = 64;

/// The time from queueing a message to its confirmation.
const CONFIRMATION_TIMEOUT: Duration = Duration::from_secs(1);

/// The time between two checks for messages that were not confirmed in time.
const DEADLINE_CHECK_INTERVAL: Duration = Duration::from_millis(250);

struct Connection {
    socket: Socket,
    codec: PeerClientCodec,
    connected: bool,
}

struct QueuedMessage {
    bytes: Vec<u8>,
    deadline: Instant,
}

/// An actor that sends messages to one VM, in order and without blocking other actors.
pub(crate) struct PeerLink {
    peer: VmId,
    address: SocketAddr,
    vm: Actor<VmActor>,
    connection: Option<Connection>,
    queue: VecDeque<QueuedMessage>,
    unconfirmed_deadlines: VecDeque<Instant>,
    check_scheduled: bool,
    unreachable: bool,
}

impl PeerLink {
    pub(crate) fn init(
        _cx: CX![],
        peer: VmId,
        address: SocketAddr,
        vm: Actor<VmActor>,
    ) -> Option<Self> {
        Some(Self {
            peer,
            address,
            vm,
            connection: None,
            queue: VecDeque::new(),
            unconfirmed_deadlines: VecDeque::new(),
            check_scheduled: false,
            unreachable: false,
        })
    }

    /// Queues an encoded message and connects if there is no connection.
    pub(crate) fn send(&mut self, cx: CX![], bytes: Vec<u8>) {
        if self.queue.len() >= MAX_QUEUED_MESSAGES {
            self.queue.pop_front();
            self.report_unreachable();
        }
        let deadline = cx.now() + CONFIRMATION_TIMEOUT;
        self.queue.push_back(QueuedMessage { bytes, deadline });
        if !self.check_scheduled {
            self.check_scheduled = true;
            after!(DEADLINE_CHECK_INTERVAL, [cx], check_deadlines());
        }
        if self.connection.is_none() {
            self.open(cx);
        }
        self.write();
    }

    fn open(&mut self, cx: CX![]) {
        let ready = fwd_to!([cx], ready() as (Ready));
        let socket =
            TcpStream::connect(self.address).and_then(|stream| Socket::register(cx, stream, ready));
        match socket {
            Ok(socket) => {
                self.connection = Some(Connection {
                    socket,
                    codec: PeerClientCodec::default(),
                    connected: false,
                });
            }
            Err(_) => self.drop_connection(),
        }
    }

    fn ready(&mut self, _cx: CX![], ready: Ready) {
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
        if ready.is_readable() || ready.is_read_closed() {
            self.read();
        }
        self.write();
    }

    fn read(&mut self) {
        while let Some(connection) = &mut self.connection {
            let (socket, codec) = (&mut connection.socket, &mut connection.codec);
            match socket.read(|bytes| codec.extend(bytes)) {
                Ok(ReadOutcome::Data | ReadOutcome::LastData) => self.process_confirmations(),
                Ok(ReadOutcome::WouldBlock) => return,
                Ok(ReadOutcome::Closed) | Err(_) => return self.drop_connection(),
            }
        }
    }

    fn process_confirmations(&mut self) {
        while let Some(connection) = &mut self.connection {
            match connection.codec.next_confirmation() {
                Ok(Some(confirmation)) => {
                    if let Confirmation::Answered(envelope) = confirmation {
                        call!([self.vm], peer_received(envelope));
                    }
                    self.unconfirmed_deadlines.pop_front();
                    if std::mem::take(&mut self.unreachable) {
                        emit(&events::PEER_BACK, &[self.peer.as_str().into()]);
                    }
                }
                Ok(None) => return,
                Err(error) => {
                    let cause = error.to_string();
                    emit_limited_by_cause(
                        &events::PEER_MALFORMED,
                        &cause,
                        &[cause.as_str().into()],
                    );
                    return self.drop_connection();
                }
            }
        }
    }

    /// Writes queued messages until `MAX_UNCONFIRMED_MESSAGES` of them are unconfirmed.
    fn write(&mut self) {
        let Some(connection) = &mut self.connection else {
            return;
        };
        if !connection.connected {
            return;
        }
        while self.unconfirmed_deadlines.len() < MAX_UNCONFIRMED_MESSAGES
            && let Some(message) = self.queue.pop_front()
        {
            connection
                .socket
                .pending_output
                .extend_from_slice(&message.bytes);
            self.unconfirmed_deadlines.push_back(message.deadline);
        }
        if connection.socket.flush().is_err() {
            self.drop_connection();
        }
    }

    /// Drops the connection and all messages, and reports the VM as unreachable if there were any.
    ///
    /// The messages are not sent again: they would be outdated by the time a new connection
    /// succeeds.
    fn drop_connection(&mut self) {
        let had_messages = !self.queue.is_empty() || !self.unconfirmed_deadlines.is_empty();
        self.connection = None;
        self.queue = VecDeque::new();
        self.unconfirmed_deadlines = VecDeque::new();
        if had_messages {
            self.report_unreachable();
        }
    }

    fn check_deadlines(&mut self, cx: CX![]) {
        let oldest = self
            .unconfirmed_deadlines
            .front()
            .copied()
            .or(self.queue.front().map(|message| message.deadline));
        if oldest.is_some_and(|deadline| deadline <= cx.now()) {
            self.drop_connection();
        }
        self.check_scheduled = !self.queue.is_empty() || !self.unconfirmed_deadlines.is_empty();
        if self.check_scheduled {
            after!(DEADLINE_CHECK_INTERVAL, [cx], check_deadlines());
        }
    }

    fn report_unreachable(&mut self) {
        self.unreachable = true;
        let peer = self.peer.as_str();
        emit_limited_by_cause(&events::PEER_UNREACHABLE, peer, &[peer.into()]);
        let vm = self.peer.clone();
        call!([self.vm], handle_event(VmEvent::PeerUnreachable { vm }));
    }
}
