//! JSON representation of object values.

use serde::Deserialize;
use serde::Serialize;

use crate::error::PlatformError;

const MALFORMED: PlatformError = PlatformError::Malformed("value");

/// The JSON representation of a value: a string if possible, otherwise hexadecimal digits.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(untagged)]
pub enum Value {
    /// Printable UTF-8 text.
    Text(String),
    /// A value that is not printable UTF-8 text.
    Bytes {
        /// Two hexadecimal digits for each byte.
        hex: String,
    },
}

impl Value {
    /// Creates the representation of `bytes`: text if they are printable UTF-8.
    pub fn from_bytes(bytes: &[u8]) -> Self {
        match std::str::from_utf8(bytes) {
            Ok(text) if !text.chars().any(needs_long_escape) => Self::Text(text.into()),
            _ => Self::Bytes { hex: to_hex(bytes) },
        }
    }

    /// Decodes the representation to the bytes of the value.
    ///
    /// # Errors
    ///
    /// Returns an error if `hex` does not consist of pairs of hexadecimal digits.
    pub fn into_bytes(self) -> Result<Vec<u8>, PlatformError> {
        match self {
            Self::Text(text) => Ok(text.into_bytes()),
            Self::Bytes { hex } => from_hex(hex.as_bytes()).ok_or(MALFORMED),
        }
    }
}

/// Returns whether the JSON escape of a one-byte character is longer than two bytes.
fn needs_long_escape(character: char) -> bool {
    character < ' ' && !matches!(character, '\n' | '\r' | '\t')
}

fn to_hex(bytes: &[u8]) -> String {
    const DIGITS: &[u8; 16] = b"0123456789abcdef";
    bytes
        .iter()
        .flat_map(|byte| [byte >> 4, byte & 15])
        .map(|digit| char::from(DIGITS[usize::from(digit)]))
        .collect()
}

fn from_hex(digits: &[u8]) -> Option<Vec<u8>> {
    if !digits.len().is_multiple_of(2) {
        return None;
    }
    digits.chunks_exact(2).map(hex_byte).collect()
}

pub(crate) fn hex_byte(pair: &[u8]) -> Option<u8> {
    let digit = |byte: u8| char::from(byte).to_digit(16);
    let byte = digit(*pair.first()?)? << 4 | digit(*pair.get(1)?)?;
    u8::try_from(byte).ok()
}
