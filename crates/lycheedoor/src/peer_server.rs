//! The actor for a connection from another VM, for messages that this VM receives.

use lycheedoor_peer::PeerServerCodec;
use lycheedoor_peer::encode_confirmation;
use lycheedoor_telemetry::emit_limited_by_cause;
use lycheedoor_telemetry::events;
use lycheedoor_telemetry::metrics::PEER_BYTES;
use metrics::counter;
use stakker::Actor;
use stakker::CX;
use stakker::call;
use stakker::fail;
use stakker::fwd_to;
use stakker_mio::Ready;
use stakker_mio::mio::net::TcpStream;

use crate::vm::VmActor;
use lycheedoor_net::MAX_READS_PER_TURN;
use lycheedoor_net::ReadOutcome;
use lycheedoor_net::Socket;

/// An actor that owns one accepted connection from another VM and confirms each message.
pub(crate) struct PeerServer {
    vm: Actor<VmActor>,
    socket: Socket,
    codec: PeerServerCodec,
}

impl PeerServer {
    pub(crate) fn init(cx: CX![], stream: TcpStream, vm: Actor<VmActor>) -> Option<Self> {
        let ready = fwd_to!([cx], ready() as (Ready));
        match Socket::register(cx, stream, ready) {
            Ok(mut socket) => {
                socket.set_nodelay();
                Some(Self {
                    vm,
                    socket,
                    codec: PeerServerCodec::default(),
                })
            }
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
            let (socket, codec) = (&mut self.socket, &mut self.codec);
            let mut received = 0;
            let outcome = socket.read(|bytes| {
                received += bytes.len() as u64;
                codec.extend(bytes);
            });
            counter!(PEER_BYTES.name, "direction" => "received").increment(received);
            match outcome {
                Ok(ReadOutcome::Data | ReadOutcome::LastData) => {
                    if !self.process_messages() {
                        return cx.stop();
                    }
                }
                Ok(ReadOutcome::WouldBlock) => return,
                Ok(ReadOutcome::Closed) | Err(_) => return cx.stop(),
            }
        }
        call!([cx], read());
    }

    /// Passes received messages to the VM actor; returns false when the connection must be closed.
    fn process_messages(&mut self) -> bool {
        let mut out = Vec::new();
        let usable = loop {
            match self.codec.next_message(&mut out) {
                Ok(Some(envelope)) => {
                    encode_confirmation(&mut out);
                    call!([self.vm], peer_received(envelope));
                }
                Ok(None) => break true,
                Err(error) => {
                    let cause = error.to_string();
                    emit_limited_by_cause(
                        &events::PEER_MALFORMED,
                        &cause,
                        &[cause.as_str().into()],
                    );
                    break false;
                }
            }
        };
        self.socket.pending_output.extend_from_slice(&out);
        self.socket.flush().is_ok() && usable
    }
}
