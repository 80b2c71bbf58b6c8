//! Relay of requests to peers.

use std::time::{Duration, Instant};

use sassafrasmast_wire::AgentId;

use crate::{
    error::{Kind, Outcome},
    timeline::RequestId,
};

use super::{
    Action, Agent, Class, Input, Key, Relay, Reply,
    flight::{Flight, Stage},
};

/// A predicted wait below this is not worth a relay.
const WORTH: Duration = Duration::from_millis(20);

/// The peer's predicted time must be shorter than ours by this factor.
const SHORTER: u32 = 2;

/// Waiting requests that are relayed in one go at most.
const BATCH: usize = 8;

impl Agent {
    /// The result of a relay.
    pub fn relayed(&mut self, now: Instant, id: RequestId, result: Relay) {
        self.note(now, Some(id), || Input::Relayed { relay: result });
        let Some(flight) = self.flights.get(&id) else {
            return;
        };
        let Stage::Relaying(peer) = flight.stage else {
            return;
        };
        self.relaying -= 1;
        self.stage(id, Stage::New);
        match result {
            Relay::Whole => self.conclude(id, Reply::Fresh),
            Relay::Refused { kind, outcome } => self.peer_refused(now, id, kind, outcome),
            Relay::Unreachable => {
                self.peers.avoid(now, peer);
                self.peer_unreachable(now, id);
            }
            Relay::Lost => {
                self.peers.avoid(now, peer);
                self.peer_lost(now, id);
            }
        }
        self.pump(now);
    }

    /// Nothing was sent to the peer.
    fn peer_unreachable(&mut self, now: Instant, id: RequestId) {
        let Some(flight) = self.flights.get(&id) else {
            return;
        };
        match flight.key() {
            Some(Key::Ticket(_)) => self.refuse(now, id, Kind::HomeGone),
            _ if flight.tried => self.refuse(now, id, Kind::UpstreamUnreachable),
            _ => self.admit(now, id),
        }
    }

    /// The peer may have run the request.
    fn peer_lost(&mut self, now: Instant, id: RequestId) {
        let Some(flight) = self.flights.get_mut(&id) else {
            return;
        };
        flight.may_have_run = true;
        let again = flight.request.class == Class::Idempotent && !flight.tried;
        if again && self.retries.spend(now) {
            self.admit(now, id);
        } else {
            self.refuse(now, id, Kind::UpstreamCut);
        }
    }

    /// The peer answered with an error of its own.
    fn peer_refused(&mut self, now: Instant, id: RequestId, kind: Kind, outcome: Outcome) {
        let Some(flight) = self.flights.get_mut(&id) else {
            return;
        };
        if outcome != Outcome::NotRun {
            flight.may_have_run = true;
        }
        let offered = matches!(kind, Kind::UpstreamRefused | Kind::UpstreamUnreachable);
        let again = flight.key().is_none() && outcome == Outcome::NotRun && !flight.tried;
        if again && (!offered || self.retries.spend(now)) {
            return self.admit(now, id);
        }
        let outcome = match (outcome, flight.may_have_run) {
            (Outcome::NotRun, true) => Outcome::Unknown,
            (outcome, _) => outcome,
        };
        self.error(id, kind, outcome);
    }

    /// Offers a request that failed here to a peer, if it may be offered twice.
    pub(super) fn retry(&mut self, now: Instant, id: RequestId) -> bool {
        let Some(flight) = self.flights.get(&id) else {
            return false;
        };
        let allowed = match flight.request.class {
            Class::Feed => false,
            Class::Idempotent => true,
            Class::NonIdempotent => flight.key().is_none() && !flight.may_have_run,
        };
        let allowed = allowed && !self.relays_full();
        if !allowed || flight.answered || flight.relayed || now >= flight.request.deadline {
            return false;
        }
        let Some(peer) = self.peer_in_time(now, id) else {
            return false;
        };
        if !self.retries.spend(now) {
            return false;
        }
        self.relay_to(id, peer);
        true
    }

    /// Relays a request that was not started if a peer serves it clearly sooner than here, where
    /// it would wait for `wait`; `None` if it can't be served here in time.
    pub(super) fn divert(&mut self, now: Instant, id: RequestId, wait: Option<Duration>) -> bool {
        let Some(flight) = self.flights.get(&id) else {
            return false;
        };
        if flight.relayed || flight.answered || !self.movable(flight) {
            return false;
        }
        let peer = match wait {
            None => self.peer_in_time(now, id),
            Some(wait) if wait >= WORTH => {
                let ours = self.expected(now, flight.weight);
                let service = self.predictor.service(flight.weight);
                let best = self.peers.best(now, service);
                best.filter(|(_, theirs)| *theirs * SHORTER <= ours)
                    .map(|(peer, _)| peer)
            }
            Some(_) => None,
        };
        if let Some(peer) = peer {
            self.relay_to(id, peer);
        }
        peer.is_some()
    }

    /// Whether a request may run elsewhere. A key that is held here binds it to this agent.
    fn movable(&self, flight: &Flight) -> bool {
        let class = flight.request.class != Class::Feed;
        class
            && flight
                .key()
                .is_none_or(|key| self.registry.get(key).is_none())
    }

    fn peer_in_time(&self, now: Instant, id: RequestId) -> Option<AgentId> {
        let flight = self.flights.get(&id)?;
        let service = self.predictor.service(flight.weight);
        let (peer, expected) = self.peers.best(now, service)?;
        let end = now.checked_add(expected)?;
        (end <= flight.request.deadline).then_some(peer)
    }

    /// Whether as many requests are relayed as may wait here.
    pub(super) fn relays_full(&self) -> bool {
        self.relaying >= self.settings.max_queued
    }

    pub(super) fn relay_to(&mut self, id: RequestId, to: AgentId) {
        let Some(flight) = self.flights.get_mut(&id) else {
            return;
        };
        flight.relayed = true;
        let deadline = flight.request.deadline;
        self.stage(id, Stage::Relaying(to));
        self.due(id, deadline);
        self.relaying += 1;
        self.peers.sent(to);
        self.actions.push_back(Action::Relay { id, to });
    }

    /// Relays waiting requests, the newest first, while peers serve them clearly sooner.
    pub(super) fn rebalance(&mut self, now: Instant) {
        let mut ids = self.queue.ids();
        ids.reverse();
        for id in ids.into_iter().take(BATCH) {
            let Some(flight) = self.flights.get(&id) else {
                continue;
            };
            let weight = flight.weight;
            let wait = match self.drained {
                None => Some(self.wait(now, weight)),
                Some(_) => None,
            };
            if self.divert(now, id, wait) {
                self.queue.remove(id, weight);
            }
        }
    }
}
