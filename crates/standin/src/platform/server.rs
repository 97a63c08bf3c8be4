//! HTTP server of the stand-in platform, with one thread and a blocking socket per connection.

use std::io;
use std::io::Read;
use std::io::Write;
use std::net::SocketAddr;
use std::net::TcpListener;
use std::net::TcpStream;
use std::sync::Arc;
use std::thread;

use lycheedoor_http::DecodeError;
use lycheedoor_http::Method;
use lycheedoor_http::Request;
use lycheedoor_http::RequestDecoder;
use lycheedoor_http::encode_response;
use lycheedoor_platform::PlatformError;
use lycheedoor_platform::ServerCall;
use lycheedoor_platform::VersionBody;
use lycheedoor_platform::VmListing;
use lycheedoor_platform::WIRE_LIMITS;
use lycheedoor_platform::decode_server_call;
use lycheedoor_platform::encode_json;
use serde::Deserialize;

use super::fault::FaultMode;
use super::store::Counts;
use super::store::Store;

const READ_BUFFER_BYTES: usize = 16 * 1024;
const TEXT_CONTENT_TYPE: &str = "text/plain";

#[derive(Deserialize)]
struct FaultBody {
    mode: String,
}

/// A stand-in platform that listens on a socket.
#[derive(Clone, Debug)]
pub struct Server {
    address: SocketAddr,
    store: Arc<Store>,
}

impl Server {
    /// Starts a server on a new thread; it runs until the process ends.
    ///
    /// # Errors
    ///
    /// Returns an error if the address cannot be bound or the thread cannot be started.
    pub fn start(address: SocketAddr) -> io::Result<Self> {
        let listener = TcpListener::bind(address)?;
        let server = Self {
            address: listener.local_addr()?,
            store: Arc::default(),
        };
        let store = Arc::clone(&server.store);
        thread::Builder::new()
            .name("platform-accept".into())
            .spawn(move || accept_connections(&listener, &store))?;
        Ok(server)
    }

    /// Returns the address on which the server listens, with the port that the system chose for 0.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Sets a fault, as `POST /faults` does.
    pub fn set_fault(&self, mode: FaultMode) {
        self.store.set_fault(mode);
    }

    /// Replaces the list of VMs, as `POST /vms` does.
    pub fn set_vms(&self, vms: Vec<VmListing>) {
        self.store.set_vms(vms);
    }

    /// Returns the numbers of requests since the start.
    pub fn counts(&self) -> Counts {
        self.store.counts()
    }
}

fn accept_connections(listener: &TcpListener, store: &Arc<Store>) {
    for stream in listener.incoming() {
        let store = Arc::clone(store);
        let started = stream.and_then(|stream| {
            thread::Builder::new()
                .name("platform-connection".into())
                .spawn(move || serve_connection(stream, &store))
        });
        if let Err(error) = started {
            log::warn!(
                "platform stand-in could not accept a connection or start its thread: {error}"
            );
        }
    }
}

fn serve_connection(mut stream: TcpStream, store: &Store) {
    if let Err(error) = serve_requests(&mut stream, store) {
        log::debug!("platform stand-in closed a connection after an I/O error: {error}");
    }
}

fn serve_requests(stream: &mut TcpStream, store: &Store) -> io::Result<()> {
    stream.set_nodelay(true)?;
    let mut decoder = RequestDecoder::new(WIRE_LIMITS);
    let mut buffer = vec![0; READ_BUFFER_BYTES];
    let mut out = Vec::new();
    loop {
        match decoder.next_request() {
            Ok(Some(request)) => {
                out.clear();
                if handle_request(&request, store, &mut out).is_none() {
                    return Ok(());
                }
                stream.write_all(&out)?;
            }
            Ok(None) => match stream.read(&mut buffer)? {
                0 => return Ok(()),
                count => decoder.extend(&buffer[..count]),
            },
            Err(error) => return reject_request(stream, &error),
        }
    }
}

fn reject_request(stream: &mut TcpStream, error: &DecodeError) -> io::Result<()> {
    let status = match error {
        DecodeError::BodyTooLarge(_) => 413,
        _ => 400,
    };
    let mut out = Vec::new();
    encode_response(
        &mut out,
        status,
        TEXT_CONTENT_TYPE,
        error.to_string().as_bytes(),
    );
    stream.write_all(&out)
}

/// Appends the response to `out`; returns `None` if the connection has to be closed instead.
fn handle_request(request: &Request, store: &Store, out: &mut Vec<u8>) -> Option<()> {
    match (request.method, request.path()) {
        (Method::Get, "/counts") => encode_json(out, 200, &store.counts()),
        (Method::Post, "/faults") => {
            let mode = serde_json::from_slice(&request.body)
                .ok()
                .and_then(|body: FaultBody| body.mode.parse().ok());
            respond_to_command(out, mode.map(|mode| store.set_fault(mode)));
        }
        (Method::Post, "/vms") => {
            let vms = serde_json::from_slice::<Vec<VmListing>>(&request.body).ok();
            respond_to_command(out, vms.map(|vms| store.set_vms(vms)));
        }
        _ => return handle_api_request(request, store, out),
    }
    Some(())
}

fn respond_to_command(out: &mut Vec<u8>, result: Option<()>) {
    match result {
        Some(()) => encode_response(out, 200, TEXT_CONTENT_TYPE, b""),
        None => encode_response(out, 400, TEXT_CONTENT_TYPE, b"command is malformed"),
    }
}

fn handle_api_request(request: &Request, store: &Store, out: &mut Vec<u8>) -> Option<()> {
    thread::sleep(store.request_delay());
    match decode_server_call(request) {
        Ok(Some(call)) => return execute_call(call, store, out),
        Ok(None) => encode_response(
            out,
            404,
            TEXT_CONTENT_TYPE,
            b"path is not of the object API",
        ),
        Err(PlatformError::TooLarge) => {
            encode_response(out, 413, TEXT_CONTENT_TYPE, b"value is too large")
        }
        Err(error) => encode_response(out, 400, TEXT_CONTENT_TYPE, error.to_string().as_bytes()),
    }
    Some(())
}

fn execute_call(call: ServerCall, store: &Store, out: &mut Vec<u8>) -> Option<()> {
    match call {
        ServerCall::Get {
            object,
            known_version,
            wait,
        } => match store.get(&object, known_version, wait)? {
            Some(body) => encode_json(out, 200, &body),
            None => encode_response(out, 304, TEXT_CONTENT_TYPE, b""),
        },
        ServerCall::Put {
            object,
            expected_version,
            value,
        } => match store.put(object, expected_version, value)? {
            Ok(version) => encode_json(out, 200, &VersionBody { version }),
            Err(version) => encode_json(out, 409, &VersionBody { version }),
        },
        ServerCall::ListObjects { prefix } => encode_json(out, 200, &store.list(&prefix)?),
        ServerCall::ListVms => encode_json(out, 200, &store.vms()?),
    }
    Some(())
}
