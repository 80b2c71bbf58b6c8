//! The body of an answer that is still arriving.

use bytes::Bytes;
use http_body_util::BodyExt;
use hyper::body::Incoming;
use sassafrasmast_core::error::Kind;

use super::Driver;

/// Reads a body piece by piece. Dropped before its end, it closes the connection to the upstream.
#[derive(Debug)]
pub struct Outflow {
    buffered: std::vec::IntoIter<Bytes>,
    body: Incoming,
    _driver: Driver,
}

impl Outflow {
    /// The pieces already `buffered`, then the rest of `body`.
    pub fn new(buffered: Vec<Bytes>, body: Incoming, driver: Driver) -> Self {
        Self {
            buffered: buffered.into_iter(),
            body,
            _driver: driver,
        }
    }

    /// The next piece; `None` after the last one.
    ///
    /// # Errors
    ///
    /// [`Kind::UpstreamCut`] if the body broke off.
    pub async fn next(&mut self) -> Result<Option<Bytes>, Kind> {
        if let Some(piece) = self.buffered.next() {
            return Ok(Some(piece));
        }
        piece(&mut self.body).await
    }
}

/// Reads the next piece of a body, passing over trailers.
pub(super) async fn piece(body: &mut Incoming) -> Result<Option<Bytes>, Kind> {
    loop {
        match body.frame().await {
            None => return Ok(None),
            Some(Err(_)) => return Err(Kind::UpstreamCut),
            Some(Ok(frame)) => {
                if let Ok(data) = frame.into_data() {
                    return Ok(Some(data));
                }
            }
        }
    }
}
