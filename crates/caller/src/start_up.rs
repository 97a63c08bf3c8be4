//! Decoding of start-up packets.

use bytes::BytesMut;
use pgwire::messages::DecodeContext;
use pgwire::messages::Message;
use pgwire::messages::startup::Startup;

use crate::session::CallerError;

const CANCEL_REQUEST_CODE: u32 = 80_877_102;
const SSL_REQUEST_CODE: u32 = 80_877_103;
const GSS_ENCRYPTION_REQUEST_CODE: u32 = 80_877_104;
const CANCEL_REQUEST_PACKET_BYTES: usize = 16;
const PROTOCOL_EXTENSION_PREFIX: &str = "_pq_.";

/// A packet that begins a connection; unlike later frames it has no kind byte.
pub(crate) enum StartUpPacket {
    EncryptionRequest,
    Cancel { process_id: i32, secret: i32 },
    Parameters(Startup),
}

/// Parses a whole start-up packet, including its length field.
pub(crate) fn parse_start_up(packet: &[u8]) -> Result<StartUpPacket, CallerError> {
    let malformed = || CallerError::StartUp;
    let code = read_u32(packet, 4).ok_or_else(malformed)?;
    match code {
        SSL_REQUEST_CODE | GSS_ENCRYPTION_REQUEST_CODE => Ok(StartUpPacket::EncryptionRequest),
        CANCEL_REQUEST_CODE if packet.len() == CANCEL_REQUEST_PACKET_BYTES => {
            Ok(StartUpPacket::Cancel {
                process_id: read_u32(packet, 8).ok_or_else(malformed)?.cast_signed(),
                secret: read_u32(packet, 12).ok_or_else(malformed)?.cast_signed(),
            })
        }
        CANCEL_REQUEST_CODE => Err(malformed()),
        _ => Startup::decode(&mut BytesMut::from(packet), &DecodeContext::default())
            .ok()
            .flatten()
            .map(StartUpPacket::Parameters)
            .ok_or_else(malformed),
    }
}

/// Returns the names of the protocol extensions that the caller requests. None is supported.
pub(crate) fn protocol_extensions(start_up: &Startup) -> Vec<String> {
    start_up
        .parameters
        .keys()
        .filter(|name| name.starts_with(PROTOCOL_EXTENSION_PREFIX))
        .cloned()
        .collect()
}

/// Returns a setting that is a start-up parameter of its own or is in `options`, as `-c name=value`
/// or `--name=value`.
pub(crate) fn start_up_setting(start_up: &Startup, name: &str) -> Option<String> {
    if let Some(value) = start_up.parameters.get(name) {
        return Some(value.clone());
    }
    let options = start_up.parameters.get("options")?;
    let mut words = options.split_ascii_whitespace();
    let mut found = None;
    while let Some(word) = words.next() {
        let setting = match word {
            "-c" => words.next(),
            _ => word.strip_prefix("-c").or(word.strip_prefix("--")),
        };
        if let Some((key, value)) = setting.and_then(|setting| setting.split_once('='))
            && key == name
        {
            found = Some(value.to_owned());
        }
    }
    found
}

fn read_u32(packet: &[u8], offset: usize) -> Option<u32> {
    Some(u32::from_be_bytes(
        packet.get(offset..offset + 4)?.try_into().ok()?,
    ))
}
