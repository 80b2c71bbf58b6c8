//! Callers' connections for the h3 library.

use std::{
    pin::Pin,
    task::{Context, Poll, ready},
};

use bytes::Buf;
use h3::{
    error::Code,
    quic::{self, ConnectionErrorIncoming, StreamErrorIncoming},
};
use quinn::StoppedError;

use super::{Bidi, Cancels, Opener, Receiver, Sender, cancels::StreamEnd, errors};

/// Future that accepts the next request stream.
type Accept = Pin<
    Box<
        dyn Future<Output = Result<(quinn::SendStream, quinn::RecvStream), quinn::ConnectionError>>
            + Send
            + Sync,
    >,
>;

/// Accepts request streams of one flow.
pub struct Connection {
    inner: h3_quinn::Connection,
    quinn: quinn::Connection,
    accept: Accept,
    cancels: Cancels,
}

impl Connection {
    /// Wraps a quinn connection.
    pub fn new(quinn: quinn::Connection) -> Self {
        Self {
            inner: h3_quinn::Connection::new(quinn.clone()),
            accept: accept(quinn.clone()),
            quinn,
            cancels: Cancels::default(),
        }
    }

    /// The futures of the ends of this connection's request streams.
    pub fn cancels(&self) -> Cancels {
        self.cancels.clone()
    }
}

fn accept(connection: quinn::Connection) -> Accept {
    Box::pin(async move { connection.accept_bi().await })
}

/// Completes when the caller stops reading, the connection is lost or the complete answer was
/// acknowledged.
async fn stopped(
    stopped: impl Future<Output = Result<Option<quinn::VarInt>, StoppedError>>,
) -> StreamEnd {
    match stopped.await {
        Ok(Some(_)) => StreamEnd::Cancelled,
        Ok(None) => StreamEnd::Delivered,
        Err(_) => StreamEnd::Lost,
    }
}

impl<B: Buf> quic::Connection<B> for Connection {
    type RecvStream = h3_quinn::RecvStream;
    type OpenStreams = Opener;

    fn poll_accept_recv(
        &mut self,
        cx: &mut Context<'_>,
    ) -> Poll<Result<Self::RecvStream, ConnectionErrorIncoming>> {
        quic::Connection::<B>::poll_accept_recv(&mut self.inner, cx)
    }

    fn poll_accept_bidi(
        &mut self,
        cx: &mut Context<'_>,
    ) -> Poll<Result<Bidi<B>, ConnectionErrorIncoming>> {
        let accepted = ready!(self.accept.as_mut().poll(cx));
        self.accept = accept(self.quinn.clone());
        let (send, recv) = accepted.map_err(errors::connection)?;
        let id = u64::from(send.id());
        self.cancels.insert(id, Box::pin(stopped(send.stopped())));
        Poll::Ready(Ok(Bidi {
            sender: Sender::new(send),
            receiver: Receiver::new(recv),
        }))
    }

    fn opener(&self) -> Opener {
        Opener {
            inner: quic::Connection::<B>::opener(&self.inner),
        }
    }
}

impl<B: Buf> quic::OpenStreams<B> for Connection {
    type BidiStream = Bidi<B>;
    type SendStream = h3_quinn::SendStream<B>;

    fn poll_open_bidi(
        &mut self,
        cx: &mut Context<'_>,
    ) -> Poll<Result<Bidi<B>, StreamErrorIncoming>> {
        let mut opener = quic::Connection::<B>::opener(self);
        quic::OpenStreams::<B>::poll_open_bidi(&mut opener, cx)
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
