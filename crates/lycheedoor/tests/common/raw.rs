//! A caller that writes frames directly, for input that drivers do not send.

use std::io::Read;
use std::io::Write;
use std::net::SocketAddr;
use std::net::TcpStream;
use std::time::Duration;

use bytes::BufMut;
use bytes::BytesMut;
use lycheedoor_frame::Frame;
use lycheedoor_frame::FrameDecoder;
use lycheedoor_frame::error_field;
use lycheedoor_frame::put_frame;
use lycheedoor_frame::take_cstring;

const READ_TIMEOUT: Duration = Duration::from_secs(20);

pub(crate) struct RawCaller {
    pub(crate) stream: TcpStream,
    decoder: FrameDecoder,
}

impl RawCaller {
    pub(crate) fn connect(address: SocketAddr) -> Self {
        let stream = TcpStream::connect(address).unwrap();
        stream.set_read_timeout(Some(READ_TIMEOUT)).unwrap();
        let decoder = FrameDecoder::new(32 * 1024 * 1024);
        Self { stream, decoder }
    }

    /// Connects and logs in; also returns the frames of the start-up answer.
    pub(crate) fn log_in(address: SocketAddr) -> (Self, Vec<Frame>) {
        let mut caller = Self::connect(address);
        let body = b"\0\x03\0\0user\0shop\0database\0invoices\0\0";
        let mut out = BytesMut::new();
        out.put_u32(u32::try_from(body.len() + 4).unwrap());
        out.put_slice(body);
        put_frame(&mut out, b'p', &[super::KEY.as_bytes(), b"\0"]);
        caller.write(&out);
        let frames = caller.answer();
        (caller, frames)
    }

    pub(crate) fn write(&mut self, bytes: &[u8]) {
        self.stream.write_all(bytes).unwrap();
    }

    pub(crate) fn send(&mut self, frames: &[(u8, &[u8])]) {
        let mut out = BytesMut::new();
        for (kind, body) in frames {
            put_frame(&mut out, *kind, &[body]);
        }
        self.write(&out);
    }

    /// Returns the next frame, or `None` when the connection has ended.
    pub(crate) fn frame(&mut self) -> Option<Frame> {
        let mut buffer = [0; 4096];
        loop {
            if let Some(frame) = self.decoder.next_frame().unwrap() {
                return Some(frame);
            }
            match self.stream.read(&mut buffer) {
                Ok(0) => return None,
                Ok(count) => self.decoder.extend(&buffer[..count]),
                Err(error) => panic!("no answer: {error}"),
            }
        }
    }

    /// Returns all frames up to ReadyForQuery or the end of the connection.
    pub(crate) fn answer(&mut self) -> Vec<Frame> {
        let mut frames = Vec::new();
        while let Some(frame) = self.frame() {
            let last = frame.kind() == b'Z';
            frames.push(frame);
            if last {
                break;
            }
        }
        frames
    }
}

/// Returns the type bytes of frames as text.
pub(crate) fn frame_kinds(frames: &[Frame]) -> String {
    frames
        .iter()
        .map(|frame| char::from(frame.kind()))
        .collect()
}

/// Returns the first column of the first row.
pub(crate) fn first_value(frames: &[Frame]) -> Option<String> {
    let row = frames.iter().find(|frame| frame.kind() == b'D')?;
    Some(String::from_utf8_lossy(&row.body()[6..]).into_owned())
}

/// Returns the SQLSTATE and the detail of the first error.
pub(crate) fn first_error(frames: &[Frame]) -> Option<(String, String)> {
    let frame = frames.iter().find(|frame| frame.kind() == b'E')?;
    let field = |kind| {
        error_field(frame.body(), kind)
            .unwrap_or_default()
            .to_owned()
    };
    Some((field(b'C'), field(b'D')))
}

/// Returns the value of a ParameterStatus message, if one for this parameter was sent.
pub(crate) fn parameter_status(frames: &[Frame], name: &str) -> Option<String> {
    frames
        .iter()
        .filter(|frame| frame.kind() == b'S')
        .find_map(|frame| {
            let mut body = frame.body();
            (take_cstring(&mut body)? == name)
                .then(|| take_cstring(&mut body).map(str::to_owned))?
        })
}
