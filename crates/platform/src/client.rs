//! Blocking client of the object API, for the command-line tools.

use std::hash::BuildHasher;
use std::hash::RandomState;
use std::io;
use std::io::Read;
use std::io::Write;
use std::net::SocketAddr;
use std::net::TcpStream;
use std::process;
use std::thread;
use std::time::Duration;

use lycheedoor_core::types::Nonce;
use lycheedoor_core::vm::PlatformAnswer;
use lycheedoor_core::vm::PlatformRequest;
use lycheedoor_http::Response;
use lycheedoor_http::ResponseDecoder;

use crate::WIRE_LIMITS;
use crate::call;
use crate::error::PlatformError;
use crate::message::ObjectListing;
use crate::message::VmListing;
use crate::update::ObjectStore;

const READ_BUFFER_BYTES: usize = 16 * 1024;

/// The minimum delay before the first retry; it grows by the same amount with each further one.
const RETRY_DELAY_STEP_MS: u64 = 10;

/// A blocking client of the object API; each call opens its own connection.
///
/// The client does not retry: only its user knows whether it is safe to repeat a write.
#[derive(Clone, Debug)]
pub struct Client {
    address: SocketAddr,
    timeout: Duration,
}

impl Client {
    /// Creates a client; `timeout` applies to the connection set-up and to each read and write.
    pub fn new(address: SocketAddr, timeout: Duration) -> Self {
        Self { address, timeout }
    }

    /// Returns the names and versions of the objects whose name starts with `prefix`.
    ///
    /// # Errors
    ///
    /// Returns an error if no response arrives, or if it does not follow the object API.
    pub fn list_objects(&self, prefix: &str) -> Result<Vec<ObjectListing>, PlatformError> {
        let mut bytes = Vec::new();
        call::encode_list_objects(prefix, &mut bytes);
        call::decode_objects(&self.exchange(&bytes)?)
    }

    /// Returns the platform's list of VMs, which may be out of date.
    ///
    /// # Errors
    ///
    /// Returns an error if no response arrives, or if it does not follow the object API.
    pub fn list_vms(&self) -> Result<Vec<VmListing>, PlatformError> {
        let mut bytes = Vec::new();
        call::encode_list_vms(&mut bytes);
        call::decode_vms(&self.exchange(&bytes)?)
    }

    /// Sends an encoded request over a new connection and returns the response.
    ///
    /// # Errors
    ///
    /// Returns an error if no complete response arrives.
    pub fn exchange(&self, request: &[u8]) -> Result<Response, PlatformError> {
        let mut stream = TcpStream::connect_timeout(&self.address, self.timeout)?;
        stream.set_read_timeout(Some(self.timeout))?;
        stream.set_write_timeout(Some(self.timeout))?;
        stream.set_nodelay(true)?;
        stream.write_all(request)?;
        let mut decoder = ResponseDecoder::new(WIRE_LIMITS);
        let mut buffer = vec![0; READ_BUFFER_BYTES];
        loop {
            if let Some(response) = decoder.next_response()? {
                return Ok(response);
            }
            match stream.read(&mut buffer)? {
                0 => return Err(io::Error::from(io::ErrorKind::UnexpectedEof).into()),
                count => decoder.extend(&buffer[..count]),
            }
        }
    }
}

impl ObjectStore for Client {
    /// Sends a request and waits for the response.
    ///
    /// # Errors
    ///
    /// Returns an error if no response arrives, if it does not follow the object API, or if the
    /// value of a write is too large.
    fn call(&self, request: &PlatformRequest) -> Result<PlatformAnswer, PlatformError> {
        let mut bytes = Vec::new();
        call::encode_call(request, &mut bytes);
        call::decode_answer(request, &self.exchange(&bytes)?)
    }

    /// Sleeps for a time with random jitter, so that concurrent operators do not keep conflicting.
    fn pause(&self, attempt: u32) {
        let min_delay_ms = RETRY_DELAY_STEP_MS * u64::from(attempt);
        let jitter_ms = random_nonce().0 % (min_delay_ms + 1);
        thread::sleep(Duration::from_millis(min_delay_ms + jitter_ms));
    }
}

/// Returns a random nonce for one update; another process is unlikely to draw the same one.
pub fn random_nonce() -> Nonce {
    // The keys of `RandomState` are seeded by the operating system.
    Nonce(RandomState::new().hash_one(process::id()))
}
