//! Replay of a balancer's placements.

use std::{net::SocketAddr, sync::Arc, time::Instant};

use sassafrasmast_wire::{Body, Frame};

use crate::{
    SharedState,
    balancer::{Input, Route, Router, Settings},
    config::{Document, Snapshot},
};

use super::decision::What;

/// A first datagram: long header, version 1, an id of another length than the fleet's, padded.
const FIRST_HEADER: [u8; 6] = [0xc0, 0, 0, 0, 1, 8];

/// Least length of a first datagram in bytes.
const FIRST_BYTES: usize = 1_200;

/// The decisions of one balancer.
#[derive(Debug)]
pub(super) struct Balancer {
    shared: Arc<SharedState>,
    router: Router,
    ticked: Instant,
}

impl Balancer {
    /// A balancer that starts at `now`.
    pub(super) fn new(now: Instant, zone: String, seed: u64) -> Self {
        let shared = Arc::new(SharedState::new(0));
        let settings = Settings {
            zone,
            seed,
            ..Settings::default()
        };
        let router = Router::new(now, settings, shared.clone());
        Self {
            shared,
            router,
            ticked: now,
        }
    }

    /// Lets the router tick until `now`. Probes are not sent: the trace has the reports.
    pub(super) fn advance(&mut self, now: Instant) {
        while self.ticked + Router::TICK <= now {
            self.ticked += Router::TICK;
            self.router.tick(self.ticked, &mut Vec::new());
        }
    }

    /// Feeds one input. `None` if it cannot be applied.
    pub(super) fn handle(&mut self, now: Instant, input: &Input) -> Option<Vec<What>> {
        match input {
            Input::Config { document } => self.install(document)?,
            Input::Report {
                from,
                service,
                agent,
                incarnation,
                load,
            } => {
                let body = Body::Report {
                    nonce: 0,
                    service: Some(*service),
                    agent: Some(*agent),
                    incarnation: *incarnation,
                    load: *load,
                };
                self.receive(now, *from, body)?;
            }
            Input::First { service } => {
                let mut datagram = FIRST_HEADER.to_vec();
                datagram.resize(FIRST_BYTES, 0);
                return Some(vec![match self.router.route(now, *service, &datagram) {
                    Route::Place { agent, .. } => What::Placed(agent),
                    _ => What::Unplaced(*service),
                }]);
            }
        }
        Some(Vec::new())
    }

    fn install(&self, document: &Document) -> Option<()> {
        self.shared.install(Snapshot::new(document.clone())?);
        Some(())
    }

    fn receive(&self, now: Instant, from: SocketAddr, body: Body<'_>) -> Option<()> {
        let mut datagram = Vec::new();
        Frame::new(self.shared.version(), body)
            .encode(&mut datagram)
            .ok()?;
        self.router.receive(now, from, &datagram, &mut Vec::new());
        Some(())
    }
}
