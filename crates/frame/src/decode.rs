//! Incremental splitting of a byte stream into frames.

use bytes::Bytes;
use bytes::BytesMut;

use crate::HEADER_BYTES;

const LENGTH_BYTES: usize = 4;

/// An invalid frame length; the stream cannot be decoded any further, so its connection must be
/// closed.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum FrameError {
    /// The length, which includes the length field, is smaller than that field.
    #[error("length of a frame is smaller than its length field")]
    TooShort,
    /// The frame is larger than the limit, given in bytes.
    #[error("frame is larger than {0} bytes")]
    TooLarge(usize),
}

/// A whole frame, including its kind byte and length field.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Frame {
    bytes: Bytes,
}

impl Frame {
    /// Returns the byte that identifies the kind of the message.
    pub fn kind(&self) -> u8 {
        self.bytes.first().copied().unwrap_or_default()
    }

    /// Returns the body, without the kind byte and the length field.
    pub fn body(&self) -> &[u8] {
        self.bytes.get(HEADER_BYTES..).unwrap_or_default()
    }

    /// Returns the whole frame as received.
    pub fn bytes(&self) -> &Bytes {
        &self.bytes
    }

    /// Consumes the frame and returns it as received.
    pub fn into_bytes(self) -> Bytes {
        self.bytes
    }
}

/// Splits a byte stream into frames. It holds no buffer while no partial frame is pending.
#[derive(Debug)]
pub struct FrameDecoder {
    buffer: BytesMut,
    limit_bytes: usize,
}

impl FrameDecoder {
    /// Creates a decoder that accepts frames of up to `limit_bytes` bytes.
    pub fn new(limit_bytes: usize) -> Self {
        Self {
            buffer: BytesMut::new(),
            limit_bytes,
        }
    }

    /// Changes the size limit, in bytes, for the frames that follow.
    pub fn set_limit(&mut self, limit_bytes: usize) {
        self.limit_bytes = limit_bytes;
    }

    /// Adds received bytes.
    pub fn extend(&mut self, bytes: &[u8]) {
        self.buffer.extend_from_slice(bytes);
    }

    /// Returns the number of buffered bytes that have not been taken as frames.
    pub fn pending_bytes(&self) -> usize {
        self.buffer.len()
    }

    /// Takes the next frame, or `None` when more bytes are needed.
    ///
    /// # Errors
    ///
    /// Returns an error when the length field is invalid or over the limit.
    pub fn next_frame(&mut self) -> Result<Option<Frame>, FrameError> {
        let bytes = self.take_packet(1)?;
        Ok(bytes.map(|bytes| Frame { bytes }))
    }

    /// Takes the next start-up packet, which has no kind byte, or `None` when more bytes are
    /// needed.
    ///
    /// # Errors
    ///
    /// Returns an error when the length field is invalid or over the limit.
    pub fn next_start_up(&mut self) -> Result<Option<Bytes>, FrameError> {
        self.take_packet(0)
    }

    fn take_packet(&mut self, kind_bytes: usize) -> Result<Option<Bytes>, FrameError> {
        let Some(field) = self.buffer.get(kind_bytes..kind_bytes + LENGTH_BYTES) else {
            self.release_if_empty();
            return Ok(None);
        };
        let length = field
            .iter()
            .fold(0_usize, |length, byte| length << 8 | usize::from(*byte));
        if length < LENGTH_BYTES {
            return Err(FrameError::TooShort);
        }
        let total = kind_bytes + length;
        if total > self.limit_bytes {
            return Err(FrameError::TooLarge(self.limit_bytes));
        }
        if self.buffer.len() < total {
            return Ok(None);
        }
        Ok(Some(self.buffer.split_to(total).freeze()))
    }

    /// Drops the buffer between frames, so that an idle connection holds no memory.
    fn release_if_empty(&mut self) {
        if self.buffer.is_empty() {
            self.buffer = BytesMut::new();
        }
    }
}
