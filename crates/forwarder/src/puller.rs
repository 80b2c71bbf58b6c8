//! Executes pulls from peers.

use std::net::SocketAddrV4;

use tokio::sync::mpsc;

use crate::{
    event::Event,
    peer::{self, Request},
};

/// An order to pull from a peer.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Pull {
    /// Address of the peer.
    pub from: SocketAddrV4,
    /// Request to send.
    pub request: Request,
}

/// Starts the task that executes pulls, one at a time, and sends their results to `events`. While
/// one runs, one more can wait in the returned channel.
pub fn start_puller(events: mpsc::Sender<Event>) -> mpsc::Sender<Pull> {
    let (sender, mut pulls) = mpsc::channel::<Pull>(1);
    tokio::spawn(async move {
        while let Some(pull) = pulls.recv().await {
            let event = match peer::fetch(pull.from, pull.request).await {
                Ok(snapshot) => Event::Snapshot(pull.from, Box::new(snapshot)),
                Err(error) => Event::PullFailed(pull.from, format!("{error:#}")),
            };
            if events.send(event).await.is_err() {
                return;
            }
        }
    });
    sender
}
