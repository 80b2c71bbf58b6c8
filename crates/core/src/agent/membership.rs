//! Configuration and drain.

use std::time::Instant;

use crate::{config::Snapshot, error::Kind};

use super::{Agent, Input, Limiter, flight::Stage, member::Member};

impl Agent {
    /// A configuration came in force.
    pub fn config(&mut self, now: Instant, snapshot: &Snapshot) {
        self.note(now, None, || Input::config(&snapshot.document));
        let member = Member::find(&snapshot.document, self.settings.listen);
        let was_out = self.member.as_ref().is_some_and(|member| member.out);
        let fresh = self.member.is_none();
        self.member = member;
        let Some(member) = &self.member else {
            return self.give_up(now, Kind::NotReady);
        };
        let (out, draining, slots) = (member.out, member.draining, member.slots);
        let rate = self.settings.fleet_claims_per_s / member.fleet.max(1) as f64;
        self.claims.rate(now, rate);
        self.peers.retain(&member.peers);
        if fresh {
            self.limiter = Limiter::new(slots);
            self.claims.earn(super::CLAIM_BURST);
        }
        self.limiter.resize(slots);
        if was_out && !out {
            self.limiter.restart(now);
        }
        self.set_draining(now, draining || self.stopping);
        if out {
            self.give_up(now, Kind::ZoneOut);
        }
        self.pump(now);
    }

    /// The process was told to stop: nothing new is taken, what runs is finished, what waits is
    /// relayed, or started within the grace, or refused.
    pub fn drain(&mut self, now: Instant) {
        self.note(now, None, || Input::Drain);
        self.stopping = true;
        self.set_draining(now, true);
        self.pump(now);
    }

    fn set_draining(&mut self, now: Instant, draining: bool) {
        match (draining, self.drained) {
            (true, None) => {
                self.drained = Some(now);
                self.rebalance(now);
            }
            (false, Some(_)) => self.drained = None,
            _ => {}
        }
    }

    /// Refuses all that has not been started.
    fn give_up(&mut self, now: Instant, kind: Kind) {
        let waiting = |stage| matches!(stage, Stage::Claiming | Stage::Queued);
        let flights = self.flights.iter();
        let ids: Vec<_> = flights
            .filter(|(_, flight)| waiting(flight.stage))
            .map(|(id, _)| *id)
            .collect();
        for id in ids {
            self.refuse(now, id, kind);
        }
    }
}
