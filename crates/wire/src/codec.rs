//! Encoding shared by all frames: postcard, with the protocol version as the first byte.

use serde::{Deserialize, Serialize};

use crate::Error;

/// Encodes `frame` into `buffer`, replacing the previous content.
pub(crate) fn encode(
    frame: &impl Serialize,
    buffer: &mut Vec<u8>,
    max_bytes: usize,
) -> Result<(), Error> {
    buffer.clear();
    postcard::to_io(frame, &mut *buffer).map_err(|_| Error::Malformed)?;
    if buffer.len() > max_bytes {
        return Err(Error::TooLarge);
    }
    Ok(())
}

/// Decodes a frame that is one whole datagram and whose first byte is `version`.
pub(crate) fn decode<'a, T: Deserialize<'a>>(
    bytes: &'a [u8],
    version: u8,
    max_bytes: usize,
) -> Result<T, Error> {
    if bytes.len() > max_bytes {
        return Err(Error::TooLarge);
    }
    match bytes.first() {
        Some(&first) if first == version => {}
        Some(&other) => return Err(Error::Version(other)),
        None => return Err(Error::Malformed),
    }
    match postcard::take_from_bytes(bytes) {
        Ok((frame, [])) => Ok(frame),
        _ => Err(Error::Malformed),
    }
}
