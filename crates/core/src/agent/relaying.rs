//! Relaying of requests to peers.

use std::time::{Duration, Instant};

use sassafrasmast_wire::AgentId;

use crate::{
    error::{Kind, Outcome},
    timeline::RequestId,
};

use super::{
    Action, Agent, Class, Input, Key, Relay, Reply,
    in_flight::{InFlight, Stage},
};

/// Requests with a shorter predicted wait are not relayed.
const MIN_WAIT_TO_RELAY: Duration = Duration::from_millis(20);

/// Factor by which a peer's expected latency must be below that of this agent.
const MIN_SPEEDUP: u32 = 2;

/// Most queued requests considered for a relay in one call of [`Agent::rebalance`].
const MAX_REBALANCED: usize = 8;

impl Agent {
    /// Handles the result of a relay.
    pub fn relayed(&mut self, now: Instant, id: RequestId, result: Relay) {
        self.record_input(now, Some(id), || Input::Relayed { relay: result });
        let Some(in_flight) = self.requests.get(&id) else {
            return;
        };
        let Stage::Relaying(peer) = in_flight.stage else {
            return;
        };
        self.pending_relays -= 1;
        self.set_stage(id, Stage::New);
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
        self.dispatch_queued(now);
    }

    /// Admits a request here if it may run here, as nothing was sent to the peer.
    fn peer_unreachable(&mut self, now: Instant, id: RequestId) {
        let Some(in_flight) = self.requests.get(&id) else {
            return;
        };
        match in_flight.key() {
            Some(Key::Ticket(_)) => self.fail(now, id, Kind::HomeGone),
            _ if in_flight.handed_over => self.fail(now, id, Kind::UpstreamUnreachable),
            _ => self.admit(now, id),
        }
    }

    /// Handles a relay after which the peer may have run the request.
    fn peer_lost(&mut self, now: Instant, id: RequestId) {
        let Some(in_flight) = self.requests.get_mut(&id) else {
            return;
        };
        in_flight.may_have_run = true;
        let retryable = in_flight.request.class == Class::Idempotent && !in_flight.handed_over;
        if retryable && self.retry_budget.spend(now) {
            self.admit(now, id);
        } else {
            self.fail(now, id, Kind::UpstreamCut);
        }
    }

    /// Handles an error with which the peer itself answered.
    fn peer_refused(&mut self, now: Instant, id: RequestId, kind: Kind, outcome: Outcome) {
        let Some(in_flight) = self.requests.get_mut(&id) else {
            return;
        };
        if outcome != Outcome::NotRun {
            in_flight.may_have_run = true;
        }
        let offered_to_upstream = matches!(kind, Kind::UpstreamRefused | Kind::UpstreamUnreachable);
        let retryable =
            in_flight.key().is_none() && outcome == Outcome::NotRun && !in_flight.handed_over;
        if retryable && (!offered_to_upstream || self.retry_budget.spend(now)) {
            return self.admit(now, id);
        }
        let outcome = match (outcome, in_flight.may_have_run) {
            (Outcome::NotRun, true) => Outcome::Unknown,
            (outcome, _) => outcome,
        };
        self.answer_error(id, kind, outcome);
    }

    /// Relays a request that failed here to a peer, if it may run again and the retry budget
    /// allows.
    pub(super) fn retry_at_peer(&mut self, now: Instant, id: RequestId) -> bool {
        let Some(in_flight) = self.requests.get(&id) else {
            return false;
        };
        let allowed = match in_flight.request.class {
            Class::Feed => false,
            Class::Idempotent => true,
            Class::NonIdempotent => in_flight.key().is_none() && !in_flight.may_have_run,
        };
        let allowed = allowed && !self.relay_limit_reached();
        if !allowed || in_flight.answered || in_flight.relayed || now >= in_flight.request.deadline
        {
            return false;
        }
        let Some(peer) = self.peer_within_deadline(now, id) else {
            return false;
        };
        if !self.retry_budget.spend(now) {
            return false;
        }
        self.relay_to(id, peer);
        true
    }

    /// Relays a request that was not started if a peer is clearly faster. `wait` is its predicted
    /// wait here, or `None` if it should not run here (drain, full queue, or too late); then any
    /// peer that is expected to answer before the deadline is enough.
    pub(super) fn try_relay(
        &mut self,
        now: Instant,
        id: RequestId,
        wait: Option<Duration>,
    ) -> bool {
        let Some(in_flight) = self.requests.get(&id) else {
            return false;
        };
        if in_flight.relayed || in_flight.answered || !self.may_run_elsewhere(in_flight) {
            return false;
        }
        let peer = match wait {
            None => self.peer_within_deadline(now, id),
            Some(wait) if wait >= MIN_WAIT_TO_RELAY => {
                let own = self.expected_latency(now, in_flight.size);
                let service_time = self.predictor.service_time(in_flight.size);
                let best = self.peers.best(now, service_time);
                best.filter(|(_, expected)| *expected * MIN_SPEEDUP <= own)
                    .map(|(peer, _)| peer)
            }
            Some(_) => None,
        };
        if let Some(peer) = peer {
            self.relay_to(id, peer);
        }
        peer.is_some()
    }

    /// Whether a request may run at a peer. A key with an entry here binds it to this agent.
    fn may_run_elsewhere(&self, in_flight: &InFlight) -> bool {
        let not_feed = in_flight.request.class != Class::Feed;
        not_feed
            && in_flight
                .key()
                .is_none_or(|key| self.registry.get(key).is_none())
    }

    /// The fastest peer, if it is expected to answer before the deadline.
    fn peer_within_deadline(&self, now: Instant, id: RequestId) -> Option<AgentId> {
        let in_flight = self.requests.get(&id)?;
        let service_time = self.predictor.service_time(in_flight.size);
        let (peer, expected) = self.peers.best(now, service_time)?;
        let end = now.checked_add(expected)?;
        (end <= in_flight.request.deadline).then_some(peer)
    }

    /// Whether as many relays are pending as requests may be queued.
    pub(super) fn relay_limit_reached(&self) -> bool {
        self.pending_relays >= self.settings.max_queued
    }

    pub(super) fn relay_to(&mut self, id: RequestId, to: AgentId) {
        let Some(in_flight) = self.requests.get_mut(&id) else {
            return;
        };
        in_flight.relayed = true;
        let deadline = in_flight.request.deadline;
        self.set_stage(id, Stage::Relaying(to));
        self.set_timer(id, deadline);
        self.pending_relays += 1;
        self.peers.count_relay(to);
        self.actions.push_back(Action::Relay { id, to });
    }

    /// Relays queued requests to peers that are clearly faster: latest first, large ones before
    /// small ones.
    pub(super) fn rebalance(&mut self, now: Instant) {
        let mut ids = self.queue.ids();
        ids.reverse();
        for id in ids.into_iter().take(MAX_REBALANCED) {
            let Some(in_flight) = self.requests.get(&id) else {
                continue;
            };
            let size = in_flight.size;
            let wait = match self.draining_since {
                None => Some(self.expected_wait(now, size)),
                Some(_) => None,
            };
            if self.try_relay(now, id, wait) {
                self.queue.remove(id, size);
            }
        }
    }
}
