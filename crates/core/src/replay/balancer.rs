//! Replay of a balancer's flow placements.

use std::{net::SocketAddr, sync::Arc, time::Instant};

use sassafrasmast_wire::{Body, Frame};

use crate::{
    Blackboard,
    balancer::{Input, Route, Router, Settings},
    config::{Document, Snapshot},
};

use super::decision::DecisionKind;

/// Start of a QUIC Initial packet: long header, version 1, and a connection id whose length differs
/// from that of the fleet's ids.
const INITIAL_HEADER: [u8; 6] = [0xc0, 0, 0, 0, 1, 8];

/// Smallest QUIC Initial datagram in bytes.
const MIN_INITIAL_BYTES: usize = 1_200;

/// The decision logic of one balancer.
#[derive(Debug)]
pub(super) struct Balancer {
    blackboard: Arc<Blackboard>,
    router: Router,
    last_tick: Instant,
}

impl Balancer {
    /// A balancer started at `now`.
    pub(super) fn new(now: Instant, zone: String, seed: u64) -> Self {
        let blackboard = Arc::new(Blackboard::new(0));
        let settings = Settings {
            zone,
            seed,
            ..Settings::default()
        };
        let router = Router::new(now, settings, blackboard.clone());
        Self {
            blackboard,
            router,
            last_tick: now,
        }
    }

    /// Runs the router's ticks up to `now`. Its probes are discarded: the trace has the reports.
    pub(super) fn advance(&mut self, now: Instant) {
        while self.last_tick + Router::TICK <= now {
            self.last_tick += Router::TICK;
            self.router.tick(self.last_tick, &mut Vec::new());
        }
    }

    /// Applies one input. `None` if it cannot be applied.
    pub(super) fn handle(&mut self, now: Instant, input: &Input) -> Option<Vec<DecisionKind>> {
        match input {
            Input::Config { document } => self.install(now, document)?,
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
                let mut datagram = INITIAL_HEADER.to_vec();
                datagram.resize(MIN_INITIAL_BYTES, 0);
                return Some(vec![match self.router.route(now, *service, &datagram) {
                    Route::Place { agent, .. } => DecisionKind::Placed(agent),
                    _ => DecisionKind::Unplaced(*service),
                }]);
            }
        }
        Some(Vec::new())
    }

    fn install(&self, now: Instant, document: &Document) -> Option<()> {
        self.blackboard
            .install(now, Snapshot::new(document.clone())?);
        Some(())
    }

    fn receive(&self, now: Instant, from: SocketAddr, body: Body<'_>) -> Option<()> {
        let mut datagram = Vec::new();
        Frame::new(self.blackboard.version(), body)
            .encode(&mut datagram)
            .ok()?;
        self.router.receive(now, from, &datagram, &mut Vec::new());
        Some(())
    }
}
