//! Configuration changes and draining.

use std::time::Instant;

use crate::{config::Snapshot, error::Kind};

use super::{Agent, Input, Limiter, in_flight::Stage, member::Member};

impl Agent {
    /// Handles a new configuration.
    pub fn config(&mut self, now: Instant, snapshot: &Snapshot) {
        self.record_input(now, None, || Input::config(&snapshot.document));
        let member = Member::find(&snapshot.document, self.settings.listen);
        let was_out = self.member.as_ref().is_some_and(|member| member.zone_out);
        let newly_listed = self.member.is_none();
        self.member = member;
        let Some(member) = &self.member else {
            return self.refuse_waiting(now, Kind::NotReady);
        };
        let (out, draining, slots) = (member.zone_out, member.draining, member.slots);
        let rate = self.settings.fleet_claims_per_s / member.fleet_size.max(1) as f64;
        self.claim_budget.set_rate(now, rate);
        self.peers.retain(&member.peers);
        if newly_listed {
            self.limiter = Limiter::new(slots);
            self.claim_budget.earn(super::CLAIM_BURST);
        }
        self.limiter.set_slots(slots);
        if was_out && !out {
            self.limiter.restart(now);
        }
        self.set_draining(now, draining || self.stopping);
        if out {
            self.refuse_waiting(now, Kind::ZoneOut);
        }
        self.dispatch_queued(now);
    }

    /// Handles the process's order to stop: new requests are not started here, running ones are
    /// finished, and waiting ones are relayed, or started within the grace period, or refused.
    pub fn drain(&mut self, now: Instant) {
        self.record_input(now, None, || Input::Drain);
        self.stopping = true;
        self.set_draining(now, true);
        self.dispatch_queued(now);
    }

    fn set_draining(&mut self, now: Instant, draining: bool) {
        match (draining, self.draining_since) {
            (true, None) => {
                self.draining_since = Some(now);
                self.rebalance(now);
            }
            (false, Some(_)) => self.draining_since = None,
            _ => {}
        }
    }

    /// Refuses all requests that wait in the queue or for a claim.
    fn refuse_waiting(&mut self, now: Instant, kind: Kind) {
        let waiting = |stage| matches!(stage, Stage::Claiming | Stage::Queued);
        let requests = self.requests.iter();
        let ids: Vec<_> = requests
            .filter(|(_, in_flight)| waiting(in_flight.stage))
            .map(|(id, _)| *id)
            .collect();
        for id in ids {
            self.fail(now, id, kind);
        }
    }
}
