//! Claiming of minted keys.

use std::time::Instant;

use crate::{error::Kind, timeline::RequestId};

use super::{Action, Agent, Claim, Input, Key, Nonce, claim, in_flight::Stage};

impl Agent {
    /// Handles the result of a claim.
    pub fn claimed(&mut self, now: Instant, id: RequestId, result: Claim) {
        self.record_input(now, Some(id), || Input::Claimed { claim: result });
        if self
            .requests
            .get(&id)
            .is_none_or(|in_flight| in_flight.stage != Stage::Claiming)
        {
            return;
        }
        self.pending_claims -= 1;
        self.set_stage(id, Stage::New);
        match result {
            Claim::Ours => self.claim_granted(now, id),
            Claim::Elsewhere => self.fail(now, id, Kind::ClaimedElsewhere),
            Claim::Unsettled => self.fail(now, id, Kind::ClaimUnavailable),
        }
        self.dispatch_queued(now);
    }

    /// Requests the claim of a minted key; a request without one goes to the queue directly.
    pub(super) fn claim_or_queue(&mut self, now: Instant, id: RequestId) {
        let key = self
            .requests
            .get(&id)
            .and_then(|in_flight| in_flight.key().cloned());
        match key {
            Some(key @ Key::Minted(_)) => self.claim(now, id, key),
            _ => self.enqueue(id),
        }
    }

    fn claim(&mut self, now: Instant, id: RequestId, key: Key) {
        let earlier = self.registry.get(&key).and_then(|entry| entry.claim);
        let stale = earlier.is_some_and(|(_, at)| !claim::holds(now, at));
        if stale || !self.claim_budget.spend(now) {
            return self.fail(now, id, Kind::ClaimUnavailable);
        }
        let nonce = earlier.map_or_else(|| self.next_nonce(), |(nonce, _)| nonce);
        self.registry.record_claim(&key, nonce, now);
        self.pending_claims += 1;
        self.set_stage(id, Stage::Claiming);
        self.actions.push_back(Action::Claim { id, key, nonce });
    }

    fn next_nonce(&mut self) -> Nonce {
        self.claim_count += 1;
        Nonce {
            agent: self.member.as_ref().map_or(0, |member| member.agent),
            incarnation: self.settings.incarnation,
            count: self.claim_count,
        }
    }

    /// Queues a request whose claim this agent holds, so that no other agent may run it.
    fn claim_granted(&mut self, now: Instant, id: RequestId) {
        let Some(in_flight) = self.requests.get_mut(&id) else {
            return;
        };
        let Some(key) = in_flight.key().cloned() else {
            return;
        };
        self.registry.mark_ours(&key);
        let entry = self.registry.get(&key);
        in_flight.claim_requested_at = entry.and_then(|entry| entry.claim).map(|(_, at)| at);
        match self.start_refusal(now) {
            Some(kind) => self.fail(now, id, kind),
            None => self.enqueue(id),
        }
    }
}
