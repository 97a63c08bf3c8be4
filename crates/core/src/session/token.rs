//! The signed text form of a session, which callers carry from one VM to another.

use crate::session::SessionMark;
use crate::session::SessionSecrets;
use crate::session::SessionVector;
use crate::session::Trust;
use crate::session::base64url;
use crate::session::secret::SIGNATURE_BYTES;
use crate::timeline::HybridTime;
use crate::timeline::SessionId;
use crate::timeline::WallTime;
use crate::types::GroupId;
use crate::types::Position;
use crate::types::Term;
use crate::types::WorkspaceId;

/// The maximum length of a token's text. Database drivers send the token in the startup packet of
/// each connection, which PostgreSQL limits to 10,000 bytes.
pub const MAX_TOKEN_BYTES: usize = 4096;

const MAX_PAYLOAD_BYTES: usize = MAX_TOKEN_BYTES / 4 * 3 - SIGNATURE_BYTES;
/// The version of the token's layout. Version 1 had neither a session number nor a timestamp.
const TOKEN_VERSION: u8 = 2;
/// The bit in the flags of a mark that is set if a position follows; the lower bits encode the
/// trust.
const HAS_POSITION: u8 = 0x80;
const MAX_VARINT_BYTES: u32 = 10;

/// Why a token is not usable.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum TokenError {
    /// The text is longer than [`MAX_TOKEN_BYTES`], or a name is too long to encode.
    #[error("session token is too large")]
    TooLarge,
    /// The text is not the canonical encoding of a token.
    #[error("session token is malformed")]
    Malformed,
    /// The layout of the token has a version that this build cannot read.
    #[error("session token has an unknown version")]
    UnknownVersion,
    /// The signature matches none of the configured secrets.
    #[error("session token is not signed with a current secret")]
    BadSignature,
    /// The token was issued to a caller of another workspace.
    #[error("session token belongs to another workspace")]
    OtherWorkspace,
}

/// The state of a session that a caller carries from one VM to another.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct SessionToken {
    /// The number that identifies the session in the timeline.
    pub session: SessionId,
    /// The hybrid time at which a VM wrote the token; the records of the next VM are ordered after
    /// it.
    pub stamp: HybridTime,
    /// The positions that the session has seen.
    pub vector: SessionVector,
}

impl SessionToken {
    /// Encodes and signs the token for a workspace.
    ///
    /// Groups that do not fit into the size limit are left out. All reads on groups that the token
    /// does not list then go to the primary, so that a large session loses speed but not
    /// consistency.
    ///
    /// # Errors
    ///
    /// Returns [`TokenError::TooLarge`] if the name of the workspace is longer than 255 bytes.
    pub fn encode(
        &self,
        secrets: &SessionSecrets,
        workspace: &WorkspaceId,
    ) -> Result<String, TokenError> {
        let mut head = vec![TOKEN_VERSION];
        encode_name(&mut head, workspace.as_str()).ok_or(TokenError::TooLarge)?;
        encode_varint(&mut head, self.session.0);
        encode_varint(&mut head, self.stamp.physical.0);
        encode_varint(&mut head, self.stamp.logical.into());
        let mut body = Vec::new();
        let mut unlisted_trust = self.vector.unlisted_trust();
        for (group, mark) in self.vector.iter() {
            let length = body.len();
            let encoded = encode_mark(&mut body, group, mark);
            if encoded.is_none() || head.len() + 1 + body.len() > MAX_PAYLOAD_BYTES {
                body.truncate(length);
                unlisted_trust = Trust::PrimaryOnly;
            }
        }
        head.push(encode_trust(unlisted_trust));
        head.extend_from_slice(&body);
        let signature = secrets.sign(&head);
        head.extend_from_slice(&signature);
        Ok(base64url::encode(&head))
    }

    /// Verifies and decodes a token that a caller of a workspace presented.
    ///
    /// # Errors
    ///
    /// Returns why the token is not usable; it then proves nothing about the session.
    pub fn verify(
        secrets: &SessionSecrets,
        workspace: &WorkspaceId,
        text: &str,
    ) -> Result<Self, TokenError> {
        if text.len() > MAX_TOKEN_BYTES {
            return Err(TokenError::TooLarge);
        }
        let bytes = base64url::decode(text).ok_or(TokenError::Malformed)?;
        let (payload, signature) = bytes
            .split_last_chunk::<SIGNATURE_BYTES>()
            .ok_or(TokenError::Malformed)?;
        if !secrets.verify(payload, signature) {
            return Err(TokenError::BadSignature);
        }
        parse(payload, workspace)
    }
}

fn parse(payload: &[u8], workspace: &WorkspaceId) -> Result<SessionToken, TokenError> {
    let mut reader = Reader(payload);
    if reader.byte().ok_or(TokenError::Malformed)? != TOKEN_VERSION {
        return Err(TokenError::UnknownVersion);
    }
    if reader.name().ok_or(TokenError::Malformed)? != workspace.as_str() {
        return Err(TokenError::OtherWorkspace);
    }
    parse_session(reader).ok_or(TokenError::Malformed)
}

fn parse_session(mut reader: Reader<'_>) -> Option<SessionToken> {
    let session = SessionId(reader.varint()?);
    let stamp = HybridTime {
        physical: WallTime(reader.varint()?),
        logical: u32::try_from(reader.varint()?).ok()?,
    };
    let vector = parse_marks(reader)?;
    Some(SessionToken {
        session,
        stamp,
        vector,
    })
}

fn parse_marks(mut reader: Reader<'_>) -> Option<SessionVector> {
    let mut vector = SessionVector::with_unlisted_trust(decode_trust(reader.byte()?)?);
    let mut previous = None;
    while !reader.0.is_empty() {
        let name = reader.name()?;
        if previous >= Some(name) {
            return None;
        }
        previous = Some(name);
        let flags = reader.byte()?;
        let position = match flags & HAS_POSITION {
            0 => None,
            _ => Some(Position::new(Term(reader.varint()?), reader.varint()?)),
        };
        let trust = decode_trust(flags & !HAS_POSITION)?;
        vector.set(&GroupId::from(name), SessionMark { position, trust });
    }
    Some(vector)
}

fn encode_mark(bytes: &mut Vec<u8>, group: &GroupId, mark: &SessionMark) -> Option<()> {
    encode_name(bytes, group.as_str())?;
    let code = encode_trust(mark.trust);
    let Some(position) = mark.position else {
        bytes.push(code);
        return Some(());
    };
    bytes.push(code | HAS_POSITION);
    encode_varint(bytes, position.term.0);
    encode_varint(bytes, position.log_position);
    Some(())
}

fn encode_name(bytes: &mut Vec<u8>, name: &str) -> Option<()> {
    bytes.push(u8::try_from(name.len()).ok()?);
    bytes.extend_from_slice(name.as_bytes());
    Some(())
}

fn encode_varint(bytes: &mut Vec<u8>, mut value: u64) {
    while value >= 0x80 {
        bytes.push((value & 0x7f) as u8 | 0x80);
        value >>= 7;
    }
    bytes.push(value as u8);
}

fn encode_trust(trust: Trust) -> u8 {
    match trust {
        Trust::Proven => 0,
        Trust::Unproven => 1,
        Trust::PrimaryOnly => 2,
    }
}

fn decode_trust(code: u8) -> Option<Trust> {
    match code {
        0 => Some(Trust::Proven),
        1 => Some(Trust::Unproven),
        2 => Some(Trust::PrimaryOnly),
        _ => None,
    }
}

struct Reader<'a>(&'a [u8]);

impl<'a> Reader<'a> {
    fn byte(&mut self) -> Option<u8> {
        let (first, rest) = self.0.split_first()?;
        self.0 = rest;
        Some(*first)
    }

    fn name(&mut self) -> Option<&'a str> {
        let length = usize::from(self.byte()?);
        let (name, rest) = self.0.split_at_checked(length)?;
        self.0 = rest;
        std::str::from_utf8(name).ok()
    }

    fn varint(&mut self) -> Option<u64> {
        let mut value = 0u64;
        for index in 0..MAX_VARINT_BYTES {
            let byte = self.byte()?;
            let bits = u64::from(byte & 0x7f);
            let shifted = bits << (7 * index);
            if shifted >> (7 * index) != bits {
                return None;
            }
            value |= shifted;
            if byte & 0x80 == 0 {
                return Some(value);
            }
        }
        None
    }
}
