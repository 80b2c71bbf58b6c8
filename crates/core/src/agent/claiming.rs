//! Claims of minted keys.

use std::time::Instant;

use crate::{error::Kind, timeline::RequestId};

use super::{Action, Agent, Claim, Input, Key, Nonce, claim, flight::Stage};

impl Agent {
    /// The result of a claim.
    pub fn claimed(&mut self, now: Instant, id: RequestId, result: Claim) {
        self.note(now, Some(id), || Input::Claimed { claim: result });
        if self
            .flights
            .get(&id)
            .is_none_or(|flight| flight.stage != Stage::Claiming)
        {
            return;
        }
        self.claiming -= 1;
        self.stage(id, Stage::New);
        match result {
            Claim::Ours => self.own(now, id),
            Claim::Elsewhere => self.refuse(now, id, Kind::ClaimedElsewhere),
            Claim::Unsettled => self.refuse(now, id, Kind::ClaimUnavailable),
        }
        self.pump(now);
    }

    /// Asks for the claim of a minted key; other requests go to the queue directly.
    pub(super) fn claim_or_queue(&mut self, now: Instant, id: RequestId) {
        let key = self
            .flights
            .get(&id)
            .and_then(|flight| flight.key().cloned());
        match key {
            Some(key @ Key::Minted(_)) => self.claim(now, id, key),
            _ => self.enqueue(id),
        }
    }

    fn claim(&mut self, now: Instant, id: RequestId, key: Key) {
        let earlier = self.registry.get(&key).and_then(|entry| entry.claim);
        let stale = earlier.is_some_and(|(_, at)| !claim::holds(now, at));
        if stale || !self.claims.spend(now) {
            return self.refuse(now, id, Kind::ClaimUnavailable);
        }
        let nonce = earlier.map_or_else(|| self.nonce(), |(nonce, _)| nonce);
        self.registry.claim(&key, nonce, now);
        self.claiming += 1;
        self.stage(id, Stage::Claiming);
        self.actions.push_back(Action::Claim { id, key, nonce });
    }

    fn nonce(&mut self) -> Nonce {
        self.claim_count += 1;
        Nonce {
            agent: self.member.as_ref().map_or(0, |member| member.agent),
            incarnation: self.settings.incarnation,
            count: self.claim_count,
        }
    }

    /// The claim is ours: the request may run here and nowhere else.
    fn own(&mut self, now: Instant, id: RequestId) {
        let Some(flight) = self.flights.get_mut(&id) else {
            return;
        };
        let Some(key) = flight.key().cloned() else {
            return;
        };
        self.registry.own(&key);
        let entry = self.registry.get(&key);
        flight.claimed = entry.and_then(|entry| entry.claim).map(|(_, at)| at);
        match self.stopped(now) {
            Some(kind) => self.refuse(now, id, kind),
            None => self.enqueue(id),
        }
    }
}
