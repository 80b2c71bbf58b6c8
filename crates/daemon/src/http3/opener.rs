//! Opens streams to a caller.

use std::task::{Context, Poll};

use bytes::Buf;
use h3::{
    error::Code,
    quic::{self, StreamErrorIncoming},
};

use super::Bidi;

/// Opens control streams. Request streams are refused, as an HTTP/3 server opens none.
pub struct Opener {
    pub(super) inner: h3_quinn::OpenStreams,
}

impl<B: Buf> quic::OpenStreams<B> for Opener {
    type BidiStream = Bidi<B>;
    type SendStream = h3_quinn::SendStream<B>;

    fn poll_open_bidi(
        &mut self,
        _cx: &mut Context<'_>,
    ) -> Poll<Result<Self::BidiStream, StreamErrorIncoming>> {
        let refused = std::io::Error::from(std::io::ErrorKind::Unsupported);
        Poll::Ready(Err(StreamErrorIncoming::Unknown(Box::new(refused))))
    }

    fn poll_open_send(
        &mut self,
        cx: &mut Context<'_>,
    ) -> Poll<Result<Self::SendStream, StreamErrorIncoming>> {
        quic::OpenStreams::<B>::poll_open_send(&mut self.inner, cx)
    }

    fn close(&mut self, code: Code, reason: &[u8]) {
        quic::OpenStreams::<B>::close(&mut self.inner, code, reason);
    }
}
