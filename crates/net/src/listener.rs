//! Actor that accepts TCP connections.

use std::io::ErrorKind;
use std::time::Duration;

use lycheedoor_telemetry::FieldValue;
use lycheedoor_telemetry::emit_limited_by_cause;
use lycheedoor_telemetry::events;
use stakker::CX;
use stakker::Fwd;
use stakker::after;
use stakker::fail;
use stakker::fwd_to;
use stakker_mio::MioPoll;
use stakker_mio::MioSource;
use stakker_mio::Ready;
use stakker_mio::mio::Interest;
use stakker_mio::mio::net::TcpListener;
use stakker_mio::mio::net::TcpStream;

const POLL_PRIORITY: u32 = 10;

/// Delay before accepting again after an error, such as a lack of file descriptors.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(100);

/// An actor that owns a listening socket and accepts its connections.
pub struct Listener {
    source: MioSource<TcpListener>,
    accepted: Fwd<TcpStream>,
    purpose: &'static str,
}

impl Listener {
    /// Registers the socket with the event loop. Each accepted connection is passed to `accepted`;
    /// `purpose` identifies the socket in logs.
    pub fn init(
        cx: CX![],
        listener: std::net::TcpListener,
        accepted: Fwd<TcpStream>,
        purpose: &'static str,
    ) -> Option<Self> {
        let poll = cx.anymap_get::<MioPoll>();
        let ready = fwd_to!([cx], handle_ready() as (Ready));
        let registered = listener
            .set_nonblocking(true)
            .map(|()| TcpListener::from_std(listener))
            .and_then(|listener| poll.add(listener, Interest::READABLE, POLL_PRIORITY, ready));
        match registered {
            Ok(source) => Some(Self {
                source,
                accepted,
                purpose,
            }),
            Err(error) => {
                fail!(cx, error);
                None
            }
        }
    }

    /// Accepts the connections that the kernel has already established, and then stops the actor.
    pub fn close(&mut self, cx: CX![]) {
        self.accept_all(cx);
        cx.stop();
    }

    fn handle_ready(&mut self, cx: CX![], _: Ready) {
        self.accept_all(cx);
    }

    fn accept_all(&mut self, cx: CX![]) {
        loop {
            match self.source.accept() {
                Ok((stream, _)) => self.accepted.fwd(stream),
                Err(error) if error.kind() == ErrorKind::WouldBlock => return,
                Err(error)
                    if matches!(
                        error.kind(),
                        ErrorKind::Interrupted | ErrorKind::ConnectionAborted
                    ) => {}
                Err(error) => {
                    let values = [self.purpose.into(), FieldValue::from_display(&error)];
                    emit_limited_by_cause(&events::SOCKET_LIMIT, self.purpose, &values);
                    after!(ACCEPT_RETRY_DELAY, [cx], |this, cx| this.accept_all(cx));
                    return;
                }
            }
        }
    }
}
