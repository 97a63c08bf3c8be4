//! Connections to and from other VMs.

use std::net::SocketAddr;
use std::time::Duration;

use lycheedoor_core::types::MonoTime;
use lycheedoor_core::types::RequestId;
use lycheedoor_core::types::VmId;
use lycheedoor_net::ReadOutcome;
use lycheedoor_net::Socket;
use lycheedoor_peer::Confirmation;
use lycheedoor_peer::Envelope;
use lycheedoor_peer::EnvelopeView;
use lycheedoor_peer::PeerClientCodec;
use lycheedoor_peer::PeerError;
use lycheedoor_peer::PeerServerCodec;
use lycheedoor_peer::encode_answer;
use lycheedoor_peer::encode_confirmation;
use lycheedoor_peer::encode_message;
use lycheedoor_pool::PoolEvent;
use lycheedoor_pool::PoolMessage;
use lycheedoor_telemetry::emit_limited_by_cause;
use lycheedoor_telemetry::events;
use lycheedoor_telemetry::metrics::PEER_BYTES;
use lycheedoor_telemetry::metrics::PEER_MESSAGES;
use metrics::counter;
use stakker::CX;
use stakker::fwd_to;
use stakker_mio::Ready;
use stakker_mio::mio::net::TcpStream;

use crate::driver::Driver;
use crate::load::Load;

/// Largest amount of unsent output for a peer; above it the connection is closed.
const MAX_PENDING_OUTPUT_BYTES: usize = 1024 * 1024;

/// Time for a peer to accept a connection. It allows for the longest round trip between regions and
/// is half of the time after which statements are no longer forwarded to a silent peer.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(250);

/// A connection to another VM.
pub(crate) struct OutgoingPeer {
    number: u64,
    address: SocketAddr,
    socket: Socket,
    codec: PeerClientCodec,
    is_connected: bool,
    opened_at: MonoTime,
    /// The forwarded statements that wait for the connection to be established.
    unsent: Vec<RequestId>,
}

/// A connection from another VM.
pub(crate) struct IncomingPeer {
    socket: Socket,
    codec: PeerServerCodec,
    has_sent: bool,
}

/// The response to a message from another VM that is being handled. It carries the first message to
/// that VM, which saves a round trip for each request and its answer.
pub(crate) struct PendingResponse {
    to: VmId,
    response: Vec<u8>,
}

impl Driver {
    pub(crate) fn send_peer(
        &mut self,
        cx: CX![],
        to: VmId,
        address: SocketAddr,
        message: &PoolMessage,
    ) {
        let envelope = EnvelopeView {
            from: &self.vm,
            incarnation: self.pool.incarnation(),
            clock: self.hybrid_clock.tick(Self::wall_time()),
            message,
        };
        if let Some(pending) = &mut self.pending_response
            && pending.accepts_message_to(&to)
        {
            return pending.set_message(&envelope, &mut self.load);
        }
        let bytes = match encode_message(&envelope) {
            Ok(bytes) => bytes,
            Err(error) => return warn_peer_malformed(&error),
        };
        let now = self.now(cx.now());
        let is_stale = self
            .outgoing_peers
            .get(&to)
            .is_some_and(|peer| peer.address != address || peer.is_overdue(now));
        if is_stale {
            self.peer_lost(cx, &to, "connection timed out or address changed");
        }
        if !self.outgoing_peers.contains_key(&to) {
            let number = self.new_socket_number();
            let ready = fwd_to!([cx], outgoing_peer_ready(number) as (Ready));
            let socket =
                TcpStream::connect(address).and_then(|stream| Socket::register(cx, stream, ready));
            let socket = socket.and_then(|mut socket| {
                socket.enable_keepalive()?;
                Ok(socket)
            });
            let socket = match socket {
                Ok(socket) => socket,
                Err(error) => {
                    let unsent = Vec::from_iter(message.forwarded_statement());
                    return self.report_peer_lost(cx, &to, unsent, &error.to_string());
                }
            };
            let peer = OutgoingPeer {
                number,
                address,
                socket,
                codec: PeerClientCodec::default(),
                is_connected: false,
                opened_at: now,
                unsent: Vec::new(),
            };
            self.outgoing_peers.insert(to.clone(), peer);
        }
        let Some(peer) = self.outgoing_peers.get_mut(&to) else {
            return;
        };
        if peer.socket.pending_output.len() > MAX_PENDING_OUTPUT_BYTES {
            return self.peer_lost(cx, &to, "too much unsent output");
        }
        count_sent(&mut self.load, bytes.len());
        peer.socket.pending_output.extend_from_slice(&bytes);
        if !peer.is_connected {
            peer.unsent.extend(message.forwarded_statement());
        }
        if peer.is_connected && peer.socket.flush().is_err() {
            self.peer_lost(cx, &to, "connection lost");
        }
    }

    /// Answers the message of another VM whose address is not known.
    pub(crate) fn answer_peer(&mut self, to: &VmId, message: &PoolMessage) {
        let envelope = EnvelopeView {
            from: &self.vm,
            incarnation: self.pool.incarnation(),
            clock: self.hybrid_clock.tick(Self::wall_time()),
            message,
        };
        match &mut self.pending_response {
            Some(pending) if pending.accepts_message_to(to) => {
                pending.set_message(&envelope, &mut self.load);
            }
            _ => warn_peer_unreachable(to, "address is not known"),
        }
    }

    /// Closes the connection to another VM. The pool is told, since messages may be lost.
    fn peer_lost(&mut self, cx: CX![], vm: &VmId, cause: &str) {
        let peer = self.outgoing_peers.remove(vm);
        let unsent = peer.map_or_else(Vec::new, |peer| peer.unsent);
        self.report_peer_lost(cx, vm, unsent, cause);
    }

    fn report_peer_lost(&mut self, cx: CX![], vm: &VmId, unsent: Vec<RequestId>, cause: &str) {
        warn_peer_unreachable(vm, cause);
        let vm = vm.clone();
        self.handle_event(cx, PoolEvent::PeerLost { vm, unsent });
    }

    /// Closes the connections that peers have not accepted in time.
    pub(crate) fn close_overdue_peers(&mut self, cx: CX![]) {
        let now = self.now(cx.now());
        let overdue = self
            .outgoing_peers
            .iter()
            .filter(|(_, peer)| peer.is_overdue(now));
        let overdue: Vec<VmId> = overdue.map(|(vm, _)| vm.clone()).collect();
        for vm in overdue {
            self.peer_lost(cx, &vm, "connection timed out");
        }
    }

    fn outgoing_peer_ready(&mut self, cx: CX![], number: u64, ready: Ready) {
        let mut peers = self.outgoing_peers.iter_mut();
        let Some((vm, peer)) = peers.find(|(_, peer)| peer.number == number) else {
            return;
        };
        let mut received = Vec::new();
        if let Err(cause) = peer.progress(&ready, &mut received) {
            let vm = vm.clone();
            self.peer_lost(cx, &vm, &cause);
        }
        for envelope in received {
            self.message_received(cx, envelope);
        }
    }

    pub(crate) fn peer_accepted(&mut self, cx: CX![], stream: TcpStream) {
        // Many VMs may connect in one turn of the event loop, before any of them is read from.
        let max_silent = self.ledger.limits().reserved_sockets();
        let peers = self.incoming_peers.iter();
        let peers = peers.map(|(number, peer)| (*number, peer.has_sent));
        let replaced = Self::replaced_connection("peers", peers, usize::MAX, max_silent);
        if let Some(replaced) = replaced {
            self.incoming_peers.remove(&replaced);
        }
        let number = self.new_socket_number();
        let ready = fwd_to!([cx], incoming_peer_ready(number) as (Ready));
        match Socket::register(cx, stream, ready) {
            Ok(mut socket) => {
                socket.set_nodelay();
                let codec = PeerServerCodec::default();
                let peer = IncomingPeer {
                    socket,
                    codec,
                    has_sent: false,
                };
                self.incoming_peers.insert(number, peer);
            }
            Err(error) => {
                let cause = error.to_string();
                let values = ["peers".into(), cause.as_str().into()];
                emit_limited_by_cause(&events::SOCKET_LIMIT, "peers", &values);
            }
        }
    }

    fn incoming_peer_ready(&mut self, cx: CX![], number: u64, ready: Ready) {
        let Some(peer) = self.incoming_peers.get_mut(&number) else {
            return;
        };
        if ready.is_writable() && peer.socket.flush().is_err() {
            self.incoming_peers.remove(&number);
            return;
        }
        if !ready.is_readable() && !ready.is_read_closed() {
            return;
        }
        loop {
            let Some(peer) = self.incoming_peers.get_mut(&number) else {
                return;
            };
            let (socket, codec) = (&mut peer.socket, &mut peer.codec);
            let is_usable = match socket.read(|bytes| codec.extend(bytes)) {
                Ok(ReadOutcome::Data | ReadOutcome::LastData) => self.process_messages(cx, number),
                Ok(ReadOutcome::WouldBlock) => return,
                Ok(ReadOutcome::Closed) | Err(_) => false,
            };
            if !is_usable {
                self.incoming_peers.remove(&number);
                return;
            }
        }
    }

    /// Handles the messages that have arrived; returns false when the connection must be closed.
    fn process_messages(&mut self, cx: CX![], number: u64) -> bool {
        loop {
            let Some(peer) = self.incoming_peers.get_mut(&number) else {
                return false;
            };
            let mut response = Vec::new();
            let received = peer.codec.next_message::<PoolMessage>(&mut response);
            let (is_usable, is_last) = match received {
                Ok(Some(envelope)) => {
                    peer.has_sent = true;
                    response = self.answer_message(cx, envelope);
                    (true, false)
                }
                Ok(None) => (true, true),
                Err(error) => {
                    warn_peer_malformed(&error);
                    (false, true)
                }
            };
            let Some(peer) = self.incoming_peers.get_mut(&number) else {
                return false;
            };
            peer.socket.pending_output.extend_from_slice(&response);
            if is_last {
                return peer.socket.flush().is_ok() && is_usable;
            }
        }
    }

    /// Handles a message from another VM and returns the encoded response.
    fn answer_message(&mut self, cx: CX![], envelope: Envelope<PoolMessage>) -> Vec<u8> {
        self.pending_response = Some(PendingResponse {
            to: envelope.from.clone(),
            response: Vec::new(),
        });
        self.message_received(cx, envelope);
        let pending = self.pending_response.take();
        let mut response = pending.map_or_else(Vec::new, |pending| pending.response);
        if response.is_empty() {
            encode_confirmation(&mut response);
        }
        response
    }

    fn message_received(&mut self, cx: CX![], envelope: Envelope<PoolMessage>) {
        self.hybrid_clock.merge(Self::wall_time(), envelope.clock);
        counter!(PEER_MESSAGES.name, "direction" => "received").increment(1);
        let event = PoolEvent::PeerSent {
            from: envelope.from,
            incarnation: envelope.incarnation,
            message: envelope.message,
        };
        self.handle_event(cx, event);
    }
}

impl PendingResponse {
    fn accepts_message_to(&self, vm: &VmId) -> bool {
        self.to == *vm && self.response.is_empty()
    }

    fn set_message(&mut self, envelope: &EnvelopeView<'_, PoolMessage>, load: &mut Load) {
        match encode_answer(&mut self.response, envelope) {
            Ok(()) => count_sent(load, self.response.len()),
            Err(error) => warn_peer_malformed(&error),
        }
    }
}

impl OutgoingPeer {
    fn is_overdue(&self, now: MonoTime) -> bool {
        !self.is_connected && now.since(self.opened_at) > CONNECT_TIMEOUT
    }

    /// Connects, writes and reads as far as possible, and appends the messages that arrived in
    /// responses to `received`.
    fn progress(
        &mut self,
        ready: &Ready,
        received: &mut Vec<Envelope<PoolMessage>>,
    ) -> Result<(), String> {
        if !self.is_connected {
            match self.socket.finish_connect() {
                Ok(true) => {
                    self.is_connected = true;
                    self.unsent.clear();
                }
                Ok(false) => return Ok(()),
                Err(error) => return Err(error.to_string()),
            }
        }
        self.socket.flush().map_err(|error| error.to_string())?;
        if !ready.is_readable() && !ready.is_read_closed() {
            return Ok(());
        }
        loop {
            let codec = &mut self.codec;
            let outcome = self.socket.read(|bytes| codec.extend(bytes));
            match outcome.map_err(|error| error.to_string())? {
                ReadOutcome::Data | ReadOutcome::LastData => {}
                ReadOutcome::WouldBlock => return Ok(()),
                ReadOutcome::Closed => return Err("connection closed".into()),
            }
            while let Some(confirmation) = self
                .codec
                .next_confirmation()
                .map_err(|error| error.to_string())?
            {
                if let Confirmation::Answered(envelope) = confirmation {
                    received.push(envelope);
                }
            }
        }
    }
}

fn count_sent(load: &mut Load, bytes: usize) {
    let bytes = u64::try_from(bytes).unwrap_or(u64::MAX);
    load.peer_messages += 1;
    load.peer_bytes += bytes;
    counter!(PEER_MESSAGES.name, "direction" => "sent").increment(1);
    counter!(PEER_BYTES.name, "direction" => "sent").increment(bytes);
}

fn warn_peer_malformed(error: &PeerError) {
    let cause = error.to_string();
    emit_limited_by_cause(&events::PEER_MALFORMED, &cause, &[cause.as_str().into()]);
}

fn warn_peer_unreachable(vm: &VmId, cause: &str) {
    emit_limited_by_cause(
        &events::PEER_LOST,
        vm.as_str(),
        &[vm.as_str().into(), cause.into()],
    );
}
