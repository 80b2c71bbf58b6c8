//! Bidirectional request streams.

use std::task::{Context, Poll};

use bytes::{Buf, Bytes};
use h3::quic::{self, StreamErrorIncoming, StreamId, WriteBuf};

use super::{Receiver, Sender};

/// Both halves of a request stream.
pub struct Bidi<B: Buf> {
    pub(super) sender: Sender<B>,
    pub(super) receiver: Receiver,
}

impl<B: Buf> quic::BidiStream<B> for Bidi<B> {
    type SendStream = Sender<B>;
    type RecvStream = Receiver;

    fn split(self) -> (Sender<B>, Receiver) {
        (self.sender, self.receiver)
    }
}

impl<B: Buf> quic::RecvStream for Bidi<B> {
    type Buf = Bytes;

    fn poll_data(
        &mut self,
        cx: &mut Context<'_>,
    ) -> Poll<Result<Option<Bytes>, StreamErrorIncoming>> {
        self.receiver.poll_data(cx)
    }

    fn stop_sending(&mut self, error_code: u64) {
        self.receiver.stop_sending(error_code);
    }

    fn recv_id(&self) -> StreamId {
        self.receiver.recv_id()
    }
}

impl<B: Buf> quic::SendStream<B> for Bidi<B> {
    fn poll_ready(&mut self, cx: &mut Context<'_>) -> Poll<Result<(), StreamErrorIncoming>> {
        self.sender.poll_ready(cx)
    }

    fn send_data<T: Into<WriteBuf<B>>>(&mut self, data: T) -> Result<(), StreamErrorIncoming> {
        self.sender.send_data(data)
    }

    fn poll_finish(&mut self, cx: &mut Context<'_>) -> Poll<Result<(), StreamErrorIncoming>> {
        self.sender.poll_finish(cx)
    }

    fn reset(&mut self, reset_code: u64) {
        self.sender.reset(reset_code);
    }

    fn send_id(&self) -> StreamId {
        self.sender.send_id()
    }
}
