//! Conversion between the fence and the value that the platform stores.

use std::sync::Arc;

use crate::membership::Fence;
use crate::membership::FenceAnswer;
use crate::vm::PlatformAnswer;

/// The name of the platform object that holds the roster, the terms and the open promotions of a
/// cell.
pub const FENCE_OBJECT: &str = "fence";

/// Encodes a fence as the platform stores it.
///
/// # Errors
///
/// Returns an error if the fence cannot be written as JSON.
pub(super) fn encode_fence(fence: &Fence) -> Result<Vec<u8>, serde_json::Error> {
    serde_json::to_vec(fence)
}

/// Decodes the platform's answer to a request for the fence. A value that cannot be parsed is
/// treated as a missing answer, because it allows no conclusion about the fence.
pub(super) fn decode_fence_answer(answer: PlatformAnswer) -> FenceAnswer {
    match answer {
        PlatformAnswer::Object { version: 0, .. } => FenceAnswer::Object(Arc::default()),
        PlatformAnswer::Object { version, value } => match serde_json::from_slice(&value) {
            Ok(fence) => FenceAnswer::Object(Arc::new(Fence { version, ..fence })),
            Err(_) => FenceAnswer::Unreachable,
        },
        PlatformAnswer::Unchanged { version } => FenceAnswer::Unchanged { version },
        PlatformAnswer::Updated { version } => FenceAnswer::Updated { version },
        PlatformAnswer::Conflict { version } => FenceAnswer::Conflict { version },
        PlatformAnswer::Unreachable => FenceAnswer::Unreachable,
    }
}
