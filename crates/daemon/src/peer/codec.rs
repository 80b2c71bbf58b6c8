//! Length-delimited postcard messages on a byte stream.

use serde::{Serialize, de::DeserializeOwned};
use tokio::io::{AsyncRead, AsyncReadExt, AsyncWrite, AsyncWriteExt};

use super::Error;

/// Largest call in bytes.
pub(crate) const MAX_CALL_BYTES: usize = 64 * 1024;

/// Largest reply in bytes; the full document of a large fleet fits.
pub(super) const MAX_REPLY_BYTES: usize = 4 * 1024 * 1024;

/// Bytes read into memory at a time, so that a length prefix alone allocates no memory.
const CHUNK_BYTES: u64 = 64 * 1024;

/// Writes one message of at most `limit` bytes.
///
/// # Errors
///
/// [`Error::Io`] from the stream, [`Error::TooLarge`], and [`Error::Malformed`] if the message
/// cannot be encoded.
pub async fn write<T: Serialize>(
    stream: &mut (impl AsyncWrite + Unpin),
    message: &T,
    limit: usize,
) -> Result<(), Error> {
    let body = postcard::to_stdvec(message).map_err(|_| Error::Malformed)?;
    let bytes = body.len();
    let length = u32::try_from(bytes)
        .ok()
        .filter(|_| bytes <= limit)
        .ok_or(Error::TooLarge { bytes, limit })?;
    let mut framed = length.to_be_bytes().to_vec();
    framed.extend_from_slice(&body);
    stream.write_all(&framed).await?;
    stream.flush().await?;
    Ok(())
}

/// Reads one message of at most `limit` bytes.
///
/// # Errors
///
/// [`Error::Io`] from the stream, [`Error::TooLarge`] before memory is allocated, and
/// [`Error::Malformed`] for bytes that do not parse or are left over.
pub async fn read<T: DeserializeOwned>(
    stream: &mut (impl AsyncRead + Unpin),
    limit: usize,
) -> Result<T, Error> {
    let bytes = stream.read_u32().await? as usize;
    if bytes > limit {
        return Err(Error::TooLarge { bytes, limit });
    }
    let mut body = Vec::new();
    while body.len() < bytes {
        let wanted = CHUNK_BYTES.min((bytes - body.len()) as u64);
        let read = stream.take(wanted).read_to_end(&mut body).await?;
        if read == 0 {
            return Err(Error::Malformed);
        }
    }
    match postcard::take_from_bytes(&body) {
        Ok((message, [])) => Ok(message),
        _ => Err(Error::Malformed),
    }
}
