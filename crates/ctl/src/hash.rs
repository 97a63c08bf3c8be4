//! Reads keys from standard input. A key is never an argument, because other users of a machine can
//! see the arguments of a process.

use std::io::Read;

use lycheedoor_core::config::KeyDigest;
use lycheedoor_core::config::TenantKey;

use crate::error::CtlError;

/// The longest key, in bytes. Limits how much is read when the input is not a key.
const MAX_KEY_BYTES: u64 = 4_096;

/// Reads a key, removes line ends after it, and returns its digest.
pub(crate) fn read_key(input: &mut dyn Read) -> Result<KeyDigest, CtlError> {
    let mut bytes = Vec::new();
    input
        .take(MAX_KEY_BYTES + 1)
        .read_to_end(&mut bytes)
        .map_err(|error| CtlError::Usage(format!("standard input cannot be read: {error}")))?;
    while matches!(bytes.last(), Some(b'\n' | b'\r')) {
        bytes.pop();
    }
    let length = bytes.len();
    let key = TenantKey::new(bytes);
    if length == 0 {
        return Err(CtlError::Usage("no key on standard input".into()));
    }
    if length as u64 > MAX_KEY_BYTES {
        let message = format!("key on standard input is longer than {MAX_KEY_BYTES} bytes");
        return Err(CtlError::Usage(message));
    }
    Ok(key.digest())
}

pub(crate) fn render(digest: KeyDigest) -> String {
    format!("{}\n", String::from(digest))
}
