//! Answers the calls of peers and runs the requests that they relay.

use std::{net::SocketAddr, sync::Arc, time::Duration};

use async_trait::async_trait;
use http::Request;
use sassafrasmast_core::error::{Kind, Outcome};
use tokio::{
    net::TcpStream,
    sync::{mpsc, oneshot},
};

use super::{
    Answer, Cut, Driver, Inflow, Piece, Server, Sink,
    exchange::{self, Arrival},
    intake,
    source::Origin,
};
use crate::{
    http3::Stop,
    peer::{Call, Common, Handler, Reply},
    relay::{Chunk, Head, Receiver, Sender},
};

/// The agent as its peers see it.
#[derive(Debug)]
pub struct Host {
    common: Common,
    server: Arc<Server>,
}

impl Host {
    /// Answers for `server`.
    pub fn new(server: Arc<Server>) -> Self {
        Self {
            common: Common::agent(Arc::clone(&server.blackboard)),
            server,
        }
    }

    /// Whether a call comes from an agent of this service, and is meant for this one.
    fn accepts(&self, from: SocketAddr, head: &Head) -> bool {
        let Some(identity) = self.server.socket.identity() else {
            return false;
        };
        let meant = identity.agent == head.to && identity.service == head.service;
        let Some(snapshot) = self.server.blackboard.config() else {
            return false;
        };
        let mut peers = snapshot.document.upstreams.values();
        meant && peers.any(|u| u.service == identity.service && u.agent.ip() == from.ip())
    }
}

#[async_trait]
impl Handler for Host {
    async fn answer(&self, from: SocketAddr, call: Call) -> Reply {
        self.common.answer(from, call).await
    }

    async fn relay(&self, from: SocketAddr, head: Head, stream: TcpStream) {
        let (read, write) = stream.into_split();
        let mut sink = Sink::Peer(Sender::new(write));
        let request = request(&head);
        let Some(request) = request.filter(|_| self.accepts(from, &head)) else {
            log::debug!("agent: a relayed request from {from} is refused.");
            let answer = match head.headers.to_headers() {
                Some(headers) => intake::refusal(Kind::NotReady, &headers),
                None => Answer::error(Kind::NotReady, Outcome::Unknown),
            };
            // The peer learns it from the closed connection as well.
            let _ = sink.head(&answer, None).await;
            return;
        };
        let (pieces, body) = Inflow::stream(None);
        let (gone, cancel) = oneshot::channel();
        let _reader = Driver::spawn(read_body(Receiver::new(read), pieces, gone));
        let arrival = Arrival {
            flow: None,
            request,
            origin: Origin::Peer(body),
            sink,
            cancel: Box::pin(async move {
                // Both a message and a dropped sender say that the peer is gone.
                let _ = cancel.await;
                Stop::Lost
            }),
            left: Some(Duration::from_millis(head.left_ms)),
        };
        exchange::serve(Arc::clone(&self.server), arrival).await;
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
async fn read_body(mut receiver: Receiver, pieces: mpsc::Sender<Piece>, gone: oneshot::Sender<()>) {
    loop {
        let piece = match receiver.chunk().await {
            Ok(Chunk::Data(bytes)) => Piece::Data(bytes),
            Ok(Chunk::End) => Piece::End,
            Ok(Chunk::TooLarge) => Piece::Cut(Cut::TooLarge),
            Err(_) => break,
        };
        // A request that was answered early needs no more of its body.
        let _ = pieces.send(piece).await;
    }
    // Nobody listens once the answer was given.
    let _ = gone.send(());
}
