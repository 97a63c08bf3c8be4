//! The actor for a connection that sends a cancel request to a target.

use std::net::SocketAddr;
use std::time::Duration;

use stakker::CX;
use stakker::after;
use stakker::fail;
use stakker::fwd_to;
use stakker_mio::Ready;
use stakker_mio::mio::net::TcpStream;

use lycheedoor_net::ReadOutcome;
use lycheedoor_net::Socket;

/// The time after which the connection is closed if the target has not closed it. Nothing waits
/// for the result of a cancel request.
const CANCEL_TIMEOUT: Duration = Duration::from_secs(1);

/// An actor that sends one cancel request and stops when the target closes the connection.
///
/// Closing a connection does not end the statement that runs on it: PostgreSQL notices the close
/// only when it writes the answer, and until then the statement occupies a connection slot of the
/// target.
pub(crate) struct CancelLink {
    socket: Socket,
    connected: bool,
}

impl CancelLink {
    pub(crate) fn init(cx: CX![], address: SocketAddr, request: [u8; 16]) -> Option<Self> {
        let ready = fwd_to!([cx], ready() as (Ready));
        let socket =
            TcpStream::connect(address).and_then(|stream| Socket::register(cx, stream, ready));
        match socket {
            Ok(mut socket) => {
                socket.pending_output.extend_from_slice(&request);
                after!(CANCEL_TIMEOUT, [cx], |_this, cx| cx.stop());
                Some(Self {
                    socket,
                    connected: false,
                })
            }
            Err(error) => {
                fail!(cx, error);
                None
            }
        }
    }

    fn ready(&mut self, cx: CX![], _: Ready) {
        if !self.connected {
            match self.socket.finish_connect() {
                Ok(connected) => self.connected = connected,
                Err(_) => return cx.stop(),
            }
        }
        if self.connected {
            let failed = self.socket.flush().is_err();
            let closed = !matches!(self.socket.read(|_| {}), Ok(ReadOutcome::WouldBlock));
            if failed || closed {
                cx.stop();
            }
        }
    }
}
