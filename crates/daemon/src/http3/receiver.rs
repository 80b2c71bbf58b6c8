//! The receiving half of a request stream.

use std::task::{Context, Poll, ready};

use bytes::Bytes;
use h3::{
    error::Code,
    quic::{self, StreamErrorIncoming, StreamId},
};
use quinn::VarInt;

use super::errors;

/// Largest piece read at once.
const CHUNK_BYTES: usize = 64 * 1_024;

/// Receives a request. Dropping it before the end asks the caller to stop sending.
pub struct Receiver {
    stream: quinn::RecvStream,
}

impl Receiver {
    pub(super) fn new(stream: quinn::RecvStream) -> Self {
        Self { stream }
    }
}

impl quic::RecvStream for Receiver {
    type Buf = Bytes;

    fn poll_data(
        &mut self,
        cx: &mut Context<'_>,
    ) -> Poll<Result<Option<Bytes>, StreamErrorIncoming>> {
        // The future keeps its state in the stream, so that a new one may be created for each poll.
        let read = std::pin::pin!(self.stream.read_chunk(CHUNK_BYTES, true));
        let chunk = ready!(read.poll(cx)).map_err(errors::read)?;
        Poll::Ready(Ok(chunk.map(|chunk| chunk.bytes)))
    }

    fn stop_sending(&mut self, error_code: u64) {
        // Fails only if the stream is already closed.
        let _ = self
            .stream
            .stop(VarInt::from_u64(error_code).unwrap_or(VarInt::MAX));
    }

    fn recv_id(&self) -> StreamId {
        let id = u64::from(self.stream.id());
        StreamId::try_from(id).expect("stream ids have 62 bits")
    }
}

impl Drop for Receiver {
    fn drop(&mut self) {
        quic::RecvStream::stop_sending(self, Code::H3_NO_ERROR.value());
    }
}
