//! Connections to members.

use std::net::SocketAddr;

use lycheedoor_core::types::ConnectionId;
use lycheedoor_core::types::GroupId;
use lycheedoor_core::types::MemberId;
use lycheedoor_core::types::WorkspaceId;
use lycheedoor_net::MAX_READS_PER_TURN;
use lycheedoor_net::ReadOutcome;
use lycheedoor_net::Socket;
use lycheedoor_pool::MemberCommand;
use lycheedoor_pool::PoolEvent;
use lycheedoor_telemetry::emit_limited_by_cause;
use lycheedoor_telemetry::events;
use stakker::CX;
use stakker::call;
use stakker::fwd_to;
use stakker_mio::Ready;
use stakker_mio::mio::net::TcpStream;

use crate::codecs::MemberCodec;
use crate::codecs::MemberMessage;
use crate::driver::DirtySocket;
use crate::driver::Driver;

/// A connection to a member.
pub(crate) struct MemberConnection {
    socket: Socket,
    codec: Box<dyn MemberCodec>,
    is_connected: bool,
}

impl Driver {
    pub(crate) fn open_member(
        &mut self,
        cx: CX![],
        link: ConnectionId,
        address: SocketAddr,
        group: &GroupId,
        workspace: &WorkspaceId,
        member: &MemberId,
    ) {
        let ready = fwd_to!([cx], member_ready(link.0) as (Ready));
        let socket =
            TcpStream::connect(address).and_then(|stream| Socket::register(cx, stream, ready));
        let mut socket = match socket {
            Ok(socket) => socket,
            Err(error) => {
                let cause = error.to_string();
                let values = [member.as_str().into(), cause.as_str().into()];
                emit_limited_by_cause(&events::TARGET_UNREACHABLE, member.as_str(), &values);
                return self.handle_event(cx, PoolEvent::LinkClosed { link });
            }
        };
        if let Err(error) = socket.enable_keepalive() {
            let cause = error.to_string();
            let values = ["members".into(), cause.as_str().into()];
            emit_limited_by_cause(&events::SOCKET_LIMIT, "keepalive", &values);
        }
        let codec = self.codecs.protocol.member_codec();
        let mut bytes = Vec::new();
        codec.encode_start(group, workspace, member, &mut bytes);
        socket.pending_output.extend_from_slice(&bytes);
        let connection = MemberConnection {
            socket,
            codec,
            is_connected: false,
        };
        self.members.insert(link.0, connection);
    }

    fn member_ready(&mut self, cx: CX![], number: u64, ready: Ready) {
        let Some(connection) = self.members.get_mut(&number) else {
            return;
        };
        if !connection.is_connected {
            match connection.socket.finish_connect() {
                Ok(true) => connection.is_connected = true,
                Ok(false) => return,
                Err(_) => return self.disconnect_member(cx, number),
            }
        }
        if ready.is_writable() {
            self.flush_member(cx, number);
        }
        if ready.is_readable() || ready.is_read_closed() {
            self.read_member(cx, number, ready.is_read_closed());
        }
    }

    fn read_member(&mut self, cx: CX![], number: u64, is_read_closed: bool) {
        for _ in 0..MAX_READS_PER_TURN {
            let Some(connection) = self.members.get_mut(&number) else {
                return;
            };
            let (socket, codec) = (&mut connection.socket, &mut connection.codec);
            let outcome = socket.read(|bytes| codec.extend(bytes));
            match outcome {
                Ok(ReadOutcome::Data | ReadOutcome::LastData) => self.process_answers(cx, number),
                Ok(ReadOutcome::WouldBlock) => return,
                Ok(ReadOutcome::Closed) | Err(_) => return self.disconnect_member(cx, number),
            }
            if outcome.is_ok_and(|outcome| outcome.is_drained(is_read_closed)) {
                return;
            }
        }
        call!([cx], read_member(number, is_read_closed));
    }

    fn process_answers(&mut self, cx: CX![], number: u64) {
        let link = ConnectionId(number);
        while let Some(connection) = self.members.get_mut(&number) {
            match connection.codec.next_message() {
                Ok(None) => return,
                Ok(Some(MemberMessage::Ready { position })) => {
                    self.handle_event(cx, PoolEvent::LinkReady { link, position });
                }
                Ok(Some(MemberMessage::Refused(error))) => {
                    self.members.remove(&number);
                    return self.handle_event(cx, PoolEvent::LinkRefused { link, error });
                }
                Ok(Some(MemberMessage::Answer(answer))) => {
                    self.handle_event(cx, PoolEvent::LinkAnswered { link, answer });
                }
                Err(error) => {
                    let cause = error.to_string();
                    let values = [number.into(), cause.as_str().into()];
                    emit_limited_by_cause(&events::MEMBER_MALFORMED, &cause, &values);
                    return self.disconnect_member(cx, number);
                }
            }
        }
    }

    fn disconnect_member(&mut self, cx: CX![], number: u64) {
        if self.members.remove(&number).is_some() {
            let link = ConnectionId(number);
            self.handle_event(cx, PoolEvent::LinkClosed { link });
        }
    }

    pub(crate) fn send_member(&mut self, link: ConnectionId, command: &MemberCommand) {
        if let Some(connection) = self.members.get_mut(&link.0) {
            let mut bytes = Vec::new();
            connection.codec.encode(command, &mut bytes);
            connection.socket.pending_output.extend_from_slice(&bytes);
            self.mark_dirty(DirtySocket::Member(link.0));
        }
    }

    pub(crate) fn flush_member(&mut self, cx: CX![], number: u64) {
        if let Some(connection) = self.members.get_mut(&number)
            && connection.is_connected
            && connection.socket.flush().is_err()
        {
            self.disconnect_member(cx, number);
        }
    }
}
