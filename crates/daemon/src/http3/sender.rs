//! The sending half of a request stream.

use std::{
    pin::Pin,
    task::{Context, Poll, ready},
};

use bytes::Buf;
use h3::{
    error::Code,
    quic::{self, StreamErrorIncoming, StreamId, WriteBuf},
};
use quinn::VarInt;

use super::errors;

/// Sends an answer. Dropping it before [`quic::SendStream::poll_finish`] resets the stream.
pub struct Sender<B: Buf> {
    stream: quinn::SendStream,
    writing: Option<WriteBuf<B>>,
    ended: bool,
}

impl<B: Buf> Sender<B> {
    pub(super) fn new(stream: quinn::SendStream) -> Self {
        Self {
            stream,
            writing: None,
            ended: false,
        }
    }
}

impl<B: Buf> quic::SendStream<B> for Sender<B> {
    fn poll_ready(&mut self, cx: &mut Context<'_>) -> Poll<Result<(), StreamErrorIncoming>> {
        if let Some(data) = &mut self.writing {
            while data.has_remaining() {
                let stream = Pin::new(&mut self.stream);
                let written = ready!(stream.poll_write(cx, data.chunk())).map_err(errors::write)?;
                data.advance(written);
            }
        }
        self.writing = None;
        Poll::Ready(Ok(()))
    }

    fn send_data<T: Into<WriteBuf<B>>>(&mut self, data: T) -> Result<(), StreamErrorIncoming> {
        if self.writing.is_some() {
            let busy = std::io::Error::from(std::io::ErrorKind::WouldBlock);
            return Err(StreamErrorIncoming::Unknown(Box::new(busy)));
        }
        self.writing = Some(data.into());
        Ok(())
    }

    fn poll_finish(&mut self, _cx: &mut Context<'_>) -> Poll<Result<(), StreamErrorIncoming>> {
        self.ended = true;
        let finished = self.stream.finish();
        Poll::Ready(finished.map_err(|error| StreamErrorIncoming::Unknown(Box::new(error))))
    }

    fn reset(&mut self, reset_code: u64) {
        self.ended = true;
        let code = VarInt::from_u64(reset_code).unwrap_or(VarInt::MAX);
        // Fails only if the stream is already closed.
        let _ = self.stream.reset(code);
    }

    fn send_id(&self) -> StreamId {
        let id = u64::from(self.stream.id());
        StreamId::try_from(id).expect("stream ids have 62 bits")
    }
}

impl<B: Buf> Drop for Sender<B> {
    fn drop(&mut self) {
        if !self.ended {
            quic::SendStream::reset(self, Code::H3_INTERNAL_ERROR.value());
        }
    }
}
