//! Answers calls from peers and runs the requests that they relay.

use std::{net::SocketAddr, sync::Arc, time::Duration};

use async_trait::async_trait;
use http::Request;
use sassafrasmast_core::error::{Kind, Outcome};
use tokio::{
    net::TcpStream,
    sync::{mpsc, oneshot},
};

use super::{
    AbortOnDrop, Answer, Cut, Piece, RequestBody, SharedState, Sink,
    exchange::{self, Arrival},
    request_head,
    source::Origin,
};
use crate::{
    http3::StreamEnd,
    peer::{Call, CommonHandler, Handler, Reply},
    relay::{Chunk, Head, Receiver, Sender},
};

/// Handles calls from other processes.
#[derive(Debug)]
pub struct PeerHandler {
    common: CommonHandler,
    shared: Arc<SharedState>,
}

impl PeerHandler {
    /// A handler that answers for `shared`.
    pub fn new(shared: Arc<SharedState>) -> Self {
        Self {
            common: CommonHandler::agent(Arc::clone(&shared.blackboard)),
            shared,
        }
    }

    /// Whether a relayed request comes from an agent of this service and is addressed to this
    /// agent.
    fn accepts_relay(&self, from: SocketAddr, head: &Head) -> bool {
        let Some(identity) = self.shared.socket.identity() else {
            return false;
        };
        let addressed = identity.agent == head.to && identity.service == head.service;
        let Some(snapshot) = self.shared.blackboard.config() else {
            return false;
        };
        let mut peers = snapshot.document.upstreams.values();
        addressed && peers.any(|u| u.service == identity.service && u.agent.ip() == from.ip())
    }
}

#[async_trait]
impl Handler for PeerHandler {
    async fn answer(&self, from: SocketAddr, call: Call) -> Reply {
        self.common.answer(from, call).await
    }

    async fn relay(&self, from: SocketAddr, head: Head, stream: TcpStream) {
        let (read, write) = stream.into_split();
        let mut sink = Sink::Peer(Sender::new(write));
        let request = request(&head);
        let Some(request) = request.filter(|_| self.accepts_relay(from, &head)) else {
            log::debug!(
                "agent: refused a request relayed by {from} to agent {}",
                head.to
            );
            let answer = match head.headers.to_headers() {
                Some(headers) => request_head::refusal(Kind::NotReady, &headers),
                None => Answer::error(Kind::NotReady, Outcome::Unknown),
            };
            // If sending fails, the closed connection tells the peer as well.
            let _ = sink.send_head(&answer, None).await;
            return;
        };
        let (pieces, body) = RequestBody::stream(None);
        let (disconnected, cancel) = oneshot::channel();
        let _reader = AbortOnDrop::spawn(read_body(Receiver::new(read), pieces, disconnected));
        let arrival = Arrival {
            flow: None,
            request,
            origin: Origin::Peer(body),
            sink,
            cancel: Box::pin(async move {
                // A message and a dropped sender both mean that the peer disconnected.
                let _ = cancel.await;
                StreamEnd::Lost
            }),
            time_left: Some(Duration::from_millis(head.time_left_ms)),
        };
        exchange::serve(Arc::clone(&self.shared), arrival).await;
    }
}

/// The request that a head describes.
fn request(head: &Head) -> Option<Request<()>> {
    let mut request = Request::builder()
        .method(head.method.as_bytes())
        .uri(&head.path)
        .body(())
        .ok()?;
    *request.headers_mut() = head.headers.to_headers()?;
    Some(request)
}

/// Reads a body from a peer, then waits until the peer closes the connection.
async fn read_body(
    mut receiver: Receiver,
    pieces: mpsc::Sender<Piece>,
    disconnected: oneshot::Sender<()>,
) {
    loop {
        let piece = match receiver.receive_chunk().await {
            Ok(Chunk::Data(bytes)) => Piece::Data(bytes),
            Ok(Chunk::End) => Piece::End,
            Ok(Chunk::TooLarge) => Piece::Cut(Cut::TooLarge),
            Err(_) => break,
        };
        // Sending fails if the request was answered before its body was read.
        let _ = pieces.send(piece).await;
    }
    // The receiver is dropped once the request is answered.
    let _ = disconnected.send(());
}
