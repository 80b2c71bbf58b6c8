//! A body that is sent in chunks.

use std::{
    pin::Pin,
    task::{Context, Poll},
};

use bytes::Bytes;
use http_body_util::{BodyExt, combinators::BoxBody};
use hyper::body::{Body, Frame};
use tokio::sync::mpsc;

use super::Abort;

/// Chunks buffered between the producer and the connection.
const MAX_BUFFERED_CHUNKS: usize = 16;

/// Receiving end of a body that is sent in chunks. An error closes the connection.
#[derive(Debug)]
pub struct ChunkedBody {
    chunks: mpsc::Receiver<Result<Bytes, Abort>>,
}

impl ChunkedBody {
    /// A sender of chunks and the body made of them. The sender is closed when the caller
    /// disconnects.
    pub fn channel() -> (mpsc::Sender<Result<Bytes, Abort>>, BoxBody<Bytes, Abort>) {
        let (sender, chunks) = mpsc::channel(MAX_BUFFERED_CHUNKS);
        (sender, Self { chunks }.boxed())
    }
}

impl Body for ChunkedBody {
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
