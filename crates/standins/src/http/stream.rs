//! A body that is sent piece by piece.

use std::{
    pin::Pin,
    task::{Context, Poll},
};

use bytes::Bytes;
use http_body_util::{BodyExt, combinators::BoxBody};
use hyper::body::{Body, Frame};
use tokio::sync::mpsc;

use super::Abort;

/// Pieces buffered between the producer and the connection.
const MAX_BUFFERED_CHUNKS: usize = 16;

/// The connection's end of a body that is sent piece by piece. An error breaks the connection.
#[derive(Debug)]
pub struct Stream {
    chunks: mpsc::Receiver<Result<Bytes, Abort>>,
}

impl Stream {
    /// A producer and the body that it feeds. The producer is closed when the caller leaves.
    pub fn channel() -> (mpsc::Sender<Result<Bytes, Abort>>, BoxBody<Bytes, Abort>) {
        let (sender, chunks) = mpsc::channel(MAX_BUFFERED_CHUNKS);
        (sender, Self { chunks }.boxed())
    }
}

impl Body for Stream {
    type Data = Bytes;
    type Error = Abort;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, Abort>>> {
        let chunk = self.chunks.poll_recv(context);
        chunk.map(|chunk| chunk.map(|bytes| bytes.map(Frame::data)))
    }
}
