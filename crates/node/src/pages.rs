//! The HTTP pages of a VM: the load balancer's readiness probe and the metrics.

use lycheedoor_http::Limits;
use lycheedoor_http::RequestDecoder;
use lycheedoor_http::encode_response;
use lycheedoor_net::ReadOutcome;
use lycheedoor_net::Socket;
use lycheedoor_telemetry::emit_limited_by_cause;
use lycheedoor_telemetry::events;
use stakker::CX;
use stakker::fwd_to;
use stakker_mio::Ready;
use stakker_mio::mio::net::TcpStream;

use crate::driver::Driver;

const OK: u16 = 200;
const UNAVAILABLE: u16 = 503;

/// Size limits of requests, which are not expected to have a body.
const REQUEST_LIMITS: Limits = Limits {
    head_bytes: 8 * 1024,
    body_bytes: 1024,
};

/// Most connections to one of the pages. The load balancer and collectors use a few.
const MAX_PAGE_CONNECTIONS: usize = 64;

/// Largest amount of unsent output for a client that does not read; above it the connection is
/// closed. It has room for a few pages of metrics.
const MAX_PENDING_OUTPUT_BYTES: usize = 1024 * 1024;

/// The page that all requests of a connection get, chosen by the address they arrive on.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Page {
    /// Whether this VM accepts callers, as the status of the response.
    Readiness,
    /// The metrics in text form.
    Metrics,
}

impl Page {
    fn purpose(self) -> &'static str {
        match self {
            Self::Readiness => "probes",
            Self::Metrics => "metrics",
        }
    }
}

/// A connection from the load balancer or a metrics collector.
pub(crate) struct PageConnection {
    socket: Socket,
    decoder: RequestDecoder,
    page: Page,
    has_asked: bool,
}

impl Driver {
    pub(crate) fn probe_accepted(&mut self, cx: CX![], stream: TcpStream) {
        self.accept_page_connection(cx, stream, Page::Readiness);
    }

    pub(crate) fn collector_accepted(&mut self, cx: CX![], stream: TcpStream) {
        self.accept_page_connection(cx, stream, Page::Metrics);
    }

    fn accept_page_connection(&mut self, cx: CX![], stream: TcpStream, page: Page) {
        let of_page = self.page_connections.iter().filter(|(_, c)| c.page == page);
        let connections = of_page.map(|(number, connection)| (*number, connection.has_asked));
        let limit = MAX_PAGE_CONNECTIONS;
        let replaced = Self::replaced_connection(page.purpose(), connections, limit, limit);
        if let Some(replaced) = replaced {
            self.page_connections.remove(&replaced);
        }
        let number = self.new_socket_number();
        let ready = fwd_to!([cx], page_connection_ready(number) as (Ready));
        match Socket::register(cx, stream, ready) {
            Ok(socket) => {
                let decoder = RequestDecoder::new(REQUEST_LIMITS);
                let connection = PageConnection {
                    socket,
                    decoder,
                    page,
                    has_asked: false,
                };
                self.page_connections.insert(number, connection);
            }
            Err(error) => {
                let cause = error.to_string();
                let values = ["probes".into(), cause.as_str().into()];
                emit_limited_by_cause(&events::SOCKET_LIMIT, "probes", &values);
            }
        }
    }

    fn page_connection_ready(&mut self, _: CX![], number: u64, ready: Ready) {
        if self.answer_page_requests(number, &ready).is_none() {
            self.page_connections.remove(&number);
        }
    }

    /// Answers the requests that have arrived; returns `None` when the connection has ended or
    /// cannot be used any further.
    fn answer_page_requests(&mut self, number: u64, ready: &Ready) -> Option<()> {
        let connection = self.page_connections.get_mut(&number)?;
        connection.socket.flush().ok()?;
        if !ready.is_readable() && !ready.is_read_closed() {
            return Some(());
        }
        loop {
            let decoder = &mut connection.decoder;
            match connection.socket.read(|bytes| decoder.extend(bytes)).ok()? {
                ReadOutcome::Data | ReadOutcome::LastData => {}
                ReadOutcome::WouldBlock => return Some(()),
                ReadOutcome::Closed => return None,
            }
            while connection.decoder.next_request().ok()?.is_some() {
                connection.has_asked = true;
                let mut out = Vec::new();
                match connection.page {
                    Page::Readiness => {
                        let status = if self.is_ready { OK } else { UNAVAILABLE };
                        encode_response(&mut out, status, "text/plain", b"");
                    }
                    Page::Metrics => {
                        let text = self.metrics.render();
                        encode_response(&mut out, OK, "text/plain", text.as_bytes());
                        self.metrics.run_upkeep();
                    }
                }
                connection.socket.pending_output.extend_from_slice(&out);
                if connection.socket.pending_output.len() > MAX_PENDING_OUTPUT_BYTES {
                    connection.socket.flush().ok()?;
                }
                if connection.socket.pending_output.len() > MAX_PENDING_OUTPUT_BYTES {
                    return None;
                }
            }
            connection.socket.flush().ok()?;
        }
    }
}
