//! The secrets that sign session tokens.

use std::fmt;

use hmac::Hmac;
use hmac::KeyInit;
use hmac::Mac;
use sha2::Sha256;
use subtle::Choice;
use subtle::ConstantTimeEq;

/// Separates the signatures of session tokens from any other use of the same secret.
const DOMAIN_SEPARATOR: &[u8] = b"lycheedoor session token\0";
const MIN_SECRET_BYTES: usize = 16;
const MAX_SECRETS: usize = 2;

pub(super) const SIGNATURE_BYTES: usize = 32;

/// One or two secrets: the first signs, all verify, so that they can be rotated. They cannot be
/// printed: `Debug` redacts them.
#[derive(Clone)]
pub struct SessionSecrets(Vec<Hmac<Sha256>>);

/// Why the configured secrets are not usable.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum ParseSecretError {
    /// There is no secret, or there are more than two.
    #[error("the configuration must contain one or two session secrets")]
    Count,
    /// A secret does not consist of an even number of hexadecimal digits.
    #[error("a session secret does not consist of an even number of hexadecimal digits")]
    NotHexadecimal,
    /// A secret is shorter than 16 bytes.
    #[error("a session secret is shorter than 16 bytes")]
    TooShort,
}

impl SessionSecrets {
    /// Parses the secrets of the configuration from hexadecimal.
    ///
    /// # Errors
    ///
    /// Returns an error if the number, the encoding or the length of the secrets is wrong.
    pub fn from_hex(secrets: &[String]) -> Result<Self, ParseSecretError> {
        if secrets.is_empty() || secrets.len() > MAX_SECRETS {
            return Err(ParseSecretError::Count);
        }
        let macs: Result<_, _> = secrets.iter().map(|secret| parse_secret(secret)).collect();
        Ok(Self(macs?))
    }

    /// Signs with the first secret.
    pub(super) fn sign(&self, payload: &[u8]) -> [u8; SIGNATURE_BYTES] {
        self.0
            .first()
            .map_or([0; SIGNATURE_BYTES], |mac| signature(mac, payload))
    }

    /// Compares `presented` with the signatures of all secrets, in a time that depends only on the
    /// lengths.
    pub(super) fn verify(&self, payload: &[u8], presented: &[u8]) -> bool {
        self.0
            .iter()
            .map(|mac| signature(mac, payload).ct_eq(presented))
            .fold(Choice::from(0), |any, equal| any | equal)
            .into()
    }
}

impl fmt::Debug for SessionSecrets {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("SessionSecrets(redacted)")
    }
}

fn signature(mac: &Hmac<Sha256>, payload: &[u8]) -> [u8; SIGNATURE_BYTES] {
    let mut mac = mac.clone();
    mac.update(DOMAIN_SEPARATOR);
    mac.update(payload);
    mac.finalize().into_bytes().into()
}

fn parse_secret(text: &str) -> Result<Hmac<Sha256>, ParseSecretError> {
    let pairs = text.as_bytes().chunks(2);
    let bytes: Option<Vec<u8>> = pairs
        .map(|pair| match pair {
            [high, low] => Some(hex_digit(*high)? << 4 | hex_digit(*low)?),
            _ => None,
        })
        .collect();
    let bytes = bytes.ok_or(ParseSecretError::NotHexadecimal)?;
    if bytes.len() < MIN_SECRET_BYTES {
        return Err(ParseSecretError::TooShort);
    }
    Hmac::new_from_slice(&bytes).map_err(|_| ParseSecretError::TooShort)
}

fn hex_digit(byte: u8) -> Option<u8> {
    char::from(byte)
        .to_digit(16)
        .and_then(|value| u8::try_from(value).ok())
}
