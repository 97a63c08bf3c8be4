//! The API keys of tenants, and the digests under which they are stored.

use std::fmt;

use serde::Deserialize;
use serde::Serialize;
use sha2::Digest;
use sha2::Sha256;
use subtle::ConstantTimeEq;

const DIGEST_BYTES: usize = 32;
const HEX_PREFIX: &str = "sha256:";

/// An API key as a caller presents it. It cannot be printed or serialized: `Debug` redacts it, and
/// its bytes are overwritten when it is dropped.
pub struct TenantKey(Vec<u8>);

impl TenantKey {
    /// Creates a key from its bytes.
    pub fn new(bytes: impl Into<Vec<u8>>) -> Self {
        Self(bytes.into())
    }

    /// Returns the digest under which the configuration lists the key.
    pub fn digest(&self) -> KeyDigest {
        KeyDigest(Sha256::digest(&self.0).into())
    }
}

impl fmt::Debug for TenantKey {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("TenantKey(redacted)")
    }
}

impl Drop for TenantKey {
    fn drop(&mut self) {
        self.0.fill(0);
    }
}

/// The SHA-256 digest of a key. Digests are compared in constant time.
#[derive(Clone, Copy, Serialize, Deserialize)]
#[serde(try_from = "String", into = "String")]
pub struct KeyDigest([u8; DIGEST_BYTES]);

impl PartialEq for KeyDigest {
    fn eq(&self, other: &Self) -> bool {
        self.0.ct_eq(&other.0).into()
    }
}

impl Eq for KeyDigest {}

impl fmt::Debug for KeyDigest {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("KeyDigest(redacted)")
    }
}

impl From<KeyDigest> for String {
    fn from(digest: KeyDigest) -> Self {
        let mut text = Self::from(HEX_PREFIX);
        for byte in digest.0 {
            text.push_str(&format!("{byte:02x}"));
        }
        text
    }
}

/// The text is not `sha256:` followed by 64 hexadecimal digits.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
#[error("key digest is not \"sha256:\" followed by 64 hexadecimal digits")]
pub struct ParseKeyDigestError;

impl TryFrom<String> for KeyDigest {
    type Error = ParseKeyDigestError;

    fn try_from(text: String) -> Result<Self, Self::Error> {
        let hex = text
            .strip_prefix(HEX_PREFIX)
            .ok_or(ParseKeyDigestError)?
            .as_bytes();
        if hex.len() != DIGEST_BYTES * 2 {
            return Err(ParseKeyDigestError);
        }
        let mut digest = [0; DIGEST_BYTES];
        for (byte, pair) in digest.iter_mut().zip(hex.chunks_exact(2)) {
            *byte = hex_digit(pair[0])? << 4 | hex_digit(pair[1])?;
        }
        Ok(Self(digest))
    }
}

fn hex_digit(digit: u8) -> Result<u8, ParseKeyDigestError> {
    match digit {
        b'0'..=b'9' => Ok(digit - b'0'),
        b'a'..=b'f' => Ok(digit - b'a' + 10),
        _ => Err(ParseKeyDigestError),
    }
}
