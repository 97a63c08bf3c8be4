//! Protocol state of one caller's connection.

use bytes::BytesMut;
use lycheedoor_core::config::KeyDigest;
use lycheedoor_core::config::TenantKey;
use lycheedoor_frame::Exchange;
use lycheedoor_frame::Frame;
use lycheedoor_frame::FrameDecoder;
use lycheedoor_frame::FrameError;
use lycheedoor_frame::StatementRegistry;
use lycheedoor_frame::put_message;
use pgwire::messages::startup::Authentication;
use pgwire::messages::startup::NegotiateProtocolVersion;
use pgwire::messages::startup::Startup;

use crate::EXCHANGE_LIMIT_BYTES;
use crate::IDEMPOTENCY_KEY_PARAMETER;
use crate::SESSION_PARAMETER;
use crate::START_UP_LIMIT_BYTES;
use crate::start_up::StartUpPacket;
use crate::start_up::parse_start_up;
use crate::start_up::protocol_extensions;
use crate::start_up::start_up_setting;
use crate::statement::LocalRequest;
use crate::statement::StatementCollector;

/// A client requests each kind of encryption (SSL and GSS) at most once.
const ENCRYPTION_REQUEST_LIMIT: u8 = 2;

const ENCRYPTION_REFUSED_REPLY: &[u8] = b"N";

/// A protocol violation by the caller, after which its connection is closed.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum CallerError {
    /// A frame's length is invalid or over the limit.
    #[error(transparent)]
    Frame(#[from] FrameError),
    /// The start-up packet is malformed or has an unsupported protocol version.
    #[error("start-up packet is malformed or of an unsupported protocol version")]
    StartUp,
    /// A message of this kind is malformed, unknown or not expected at this point.
    #[error("message of kind {0:?} is malformed or out of place")]
    Malformed(char),
    /// An exchange is larger than [`EXCHANGE_LIMIT_BYTES`].
    #[error("exchange is larger than {EXCHANGE_LIMIT_BYTES} bytes")]
    ExchangeTooLarge,
}

/// The parameters of a caller's start-up packet and password message.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct StartUp {
    /// Name of the workspace, from the `user` parameter.
    pub workspace: String,
    /// Name of the route, from the `database` parameter, or the workspace's name when that is
    /// absent.
    pub route: String,
    /// Session token, or `None` when the caller sent none or an empty one.
    pub session_token: Option<String>,
    /// Idempotency key, or `None` when the caller sent none or an empty one.
    pub idempotency_key: Option<String>,
    /// Digest of the tenant key, or `None` when the password is empty.
    pub key: Option<KeyDigest>,
}

/// A decoded request of a caller.
#[derive(Clone, Debug)]
pub enum CallerInput {
    /// Cancel the statement of another connection. This connection then ends.
    Cancel {
        /// The process ID from the other connection's BackendKeyData.
        process_id: i32,
        /// The secret from the other connection's BackendKeyData.
        secret: i32,
    },
    /// Check the key and start a session.
    Started(StartUp),
    /// Run a statement on a target.
    Statement(Exchange),
    /// Answer a request without a target.
    Local(LocalRequest),
    /// Close the connection, as the caller sent Terminate.
    Terminated,
}

#[derive(Debug)]
enum Phase {
    StartUp { encryption_requests: u8 },
    Password(Box<Startup>),
    Statements(Box<StatementCollector>),
    Ended,
}

/// Decodes the bytes of one caller into requests.
#[derive(Debug)]
pub struct CallerSession {
    decoder: FrameDecoder,
    phase: Phase,
}

impl Default for CallerSession {
    fn default() -> Self {
        Self {
            decoder: FrameDecoder::new(START_UP_LIMIT_BYTES),
            phase: Phase::StartUp {
                encryption_requests: 0,
            },
        }
    }
}

impl CallerSession {
    /// Adds received bytes.
    pub fn extend(&mut self, bytes: &[u8]) {
        self.decoder.extend(bytes);
    }

    /// Returns the number of buffered bytes that have not been taken as frames.
    pub fn pending_bytes(&self) -> usize {
        self.decoder.pending_bytes()
    }

    /// Takes the next request, or `None` when more bytes are needed. Replies to start-up packets
    /// are appended to `out`.
    ///
    /// # Errors
    ///
    /// Returns an error when the caller has violated the protocol.
    pub fn next_input(
        &mut self,
        registry: &mut StatementRegistry,
        out: &mut BytesMut,
    ) -> Result<Option<CallerInput>, CallerError> {
        loop {
            let input = match &mut self.phase {
                Phase::StartUp { .. } => {
                    let Some(packet) = self.decoder.next_start_up()? else {
                        return Ok(None);
                    };
                    self.handle_start_up_packet(&packet, out)?
                }
                Phase::Ended => return Ok(None),
                Phase::Password(_) | Phase::Statements(_) => {
                    let Some(frame) = self.decoder.next_frame()? else {
                        return Ok(None);
                    };
                    self.handle_frame(frame, registry)?
                }
            };
            if input.is_some() {
                return Ok(input);
            }
        }
    }

    fn handle_start_up_packet(
        &mut self,
        packet: &[u8],
        out: &mut BytesMut,
    ) -> Result<Option<CallerInput>, CallerError> {
        match parse_start_up(packet)? {
            StartUpPacket::EncryptionRequest => {
                let Phase::StartUp {
                    encryption_requests,
                } = &mut self.phase
                else {
                    return Err(CallerError::StartUp);
                };
                *encryption_requests += 1;
                if *encryption_requests > ENCRYPTION_REQUEST_LIMIT {
                    return Err(CallerError::StartUp);
                }
                out.extend_from_slice(ENCRYPTION_REFUSED_REPLY);
                Ok(None)
            }
            StartUpPacket::Cancel { process_id, secret } => {
                self.phase = Phase::Ended;
                Ok(Some(CallerInput::Cancel { process_id, secret }))
            }
            StartUpPacket::Parameters(start_up) => {
                if !start_up.parameters.contains_key("user") {
                    return Err(CallerError::StartUp);
                }
                negotiate_version(&start_up, out);
                put_message(out, &Authentication::CleartextPassword);
                self.phase = Phase::Password(Box::new(start_up));
                Ok(None)
            }
        }
    }

    fn handle_frame(
        &mut self,
        frame: Frame,
        registry: &mut StatementRegistry,
    ) -> Result<Option<CallerInput>, CallerError> {
        if frame.kind() == b'X' {
            self.phase = Phase::Ended;
            return Ok(Some(CallerInput::Terminated));
        }
        match &mut self.phase {
            Phase::Statements(collector) => collector.handle_frame(&frame, registry),
            Phase::Password(start_up) => {
                let login = read_login(start_up, frame)?;
                self.decoder.set_limit(EXCHANGE_LIMIT_BYTES);
                self.phase = Phase::Statements(Box::default());
                Ok(Some(CallerInput::Started(login)))
            }
            Phase::StartUp { .. } | Phase::Ended => Ok(None),
        }
    }
}

/// Offers protocol 3.0 to a caller that requests a later version or protocol extensions.
fn negotiate_version(start_up: &Startup, out: &mut BytesMut) {
    let extensions = protocol_extensions(start_up);
    if start_up.protocol_number_minor > 0 || !extensions.is_empty() {
        put_message(
            out,
            &NegotiateProtocolVersion::new(Startup::PROTOCOL_VERSION_3_0, extensions),
        );
    }
}

fn read_login(start_up: &Startup, password: Frame) -> Result<StartUp, CallerError> {
    let key = digest_password(password)?;
    let parameter = |name: &str| start_up.parameters.get(name).cloned();
    let workspace = parameter("user").unwrap_or_default();
    Ok(StartUp {
        route: parameter("database").unwrap_or_else(|| workspace.clone()),
        workspace,
        session_token: start_up_setting(start_up, SESSION_PARAMETER)
            .filter(|token| !token.is_empty()),
        idempotency_key: start_up_setting(start_up, IDEMPOTENCY_KEY_PARAMETER)
            .filter(|key| !key.is_empty()),
        key,
    })
}

/// Returns the digest of the key in the password message, and zeroes the message's bytes unless
/// they share their buffer with later frames.
fn digest_password(password: Frame) -> Result<Option<KeyDigest>, CallerError> {
    let malformed = CallerError::Malformed(char::from(password.kind()));
    if password.kind() != b'p' {
        return Err(malformed);
    }
    let Some((0, key)) = password.body().split_last() else {
        return Err(malformed);
    };
    let digest = (!key.is_empty()).then(|| TenantKey::new(key).digest());
    if let Ok(mut bytes) = password.into_bytes().try_into_mut() {
        bytes.fill(0);
    }
    Ok(digest)
}
