//! Ending and answering of requests.

use std::time::Instant;

use crate::{
    error::{Kind, Outcome},
    timeline::RequestId,
};

use super::{
    Action, Agent, Input, Key, Record, Reply, claim,
    in_flight::{InFlight, Stage},
};

impl Agent {
    /// Handles the caller's cancellation. A run with a key goes on, so that a repeat gets its
    /// answer.
    pub fn cancelled(&mut self, now: Instant, id: RequestId) {
        self.record_input(now, Some(id), || Input::Cancelled);
        let Some(in_flight) = self.requests.get_mut(&id) else {
            return;
        };
        if in_flight.answered {
            return;
        }
        let reply = Reply::Error {
            kind: Kind::Cancelled,
            outcome: Kind::Cancelled.answer().outcome,
        };
        let without_key = in_flight.key().is_none();
        let has_repeats = !in_flight.waiting_repeats.is_empty();
        in_flight.observed |= without_key;
        match in_flight.stage {
            Stage::Starting | Stage::Running(_) => {
                self.answer(id, reply);
                if without_key {
                    self.actions.push_back(Action::Abort { id });
                }
            }
            Stage::Queued | Stage::Claiming if has_repeats => self.answer(id, reply),
            _ => self.conclude(id, reply),
        }
        self.dispatch_queued(now);
    }

    /// Answers with an error. The outcome is that of [`Kind::answer`], but "unknown" in place of
    /// "not run" if this agent can't guarantee that the request never runs.
    pub(super) fn fail(&mut self, now: Instant, id: RequestId, kind: Kind) {
        let strongest = kind.answer().outcome;
        let never_runs = self
            .requests
            .get(&id)
            .is_some_and(|in_flight| self.can_never_run(now, in_flight));
        let outcome = match strongest {
            Outcome::NotRun if !never_runs => Outcome::Unknown,
            other => other,
        };
        self.answer_error(id, kind, outcome);
    }

    /// Answers with an error and the given outcome.
    pub(super) fn answer_error(&mut self, id: RequestId, kind: Kind, outcome: Outcome) {
        self.conclude(id, Reply::Error { kind, outcome });
    }

    /// Whether a request that ends now can't have run and never runs, here or elsewhere.
    fn can_never_run(&self, now: Instant, in_flight: &InFlight) -> bool {
        if in_flight.may_have_run {
            return false;
        }
        match in_flight.key() {
            None => true,
            Some(key @ Key::Ticket(_)) => self.holder(key) == Some(in_flight.request.id),
            Some(key @ Key::Minted(_)) => {
                let holds = in_flight
                    .claim_requested_at
                    .is_some_and(|at| claim::holds(now, at));
                holds && self.holder(key) == Some(in_flight.request.id)
            }
        }
    }

    /// The unfinished request that holds a key.
    fn holder(&self, key: &Key) -> Option<RequestId> {
        match self.registry.get(key)?.record {
            Record::Live(id) => Some(id),
            _ => None,
        }
    }

    /// Ends a request that is not running: records its result, answers it and the repeats that wait
    /// for it, and removes it.
    pub(super) fn conclude(&mut self, id: RequestId, reply: Reply) {
        let Some(in_flight) = self.requests.get(&id) else {
            return;
        };
        match in_flight.stage {
            Stage::Queued => self.queue.remove(id, in_flight.size),
            Stage::Claiming => self.pending_claims -= 1,
            Stage::Relaying(_) => self.pending_relays -= 1,
            Stage::Attached(holder) => self.detach(id, holder),
            _ => {}
        }
        self.record_error(id, &reply);
        self.answer_waiting_repeats(id, &reply);
        self.answer(id, reply);
        self.remove(id);
    }

    /// Records the state in which an error leaves the key that the request holds.
    fn record_error(&mut self, id: RequestId, reply: &Reply) {
        let Reply::Error { kind, outcome } = *reply else {
            return;
        };
        let Some(in_flight) = self.requests.get(&id) else {
            return;
        };
        let Some(key) = in_flight.key().cloned() else {
            return;
        };
        if self.holder(&key) != Some(id) {
            return;
        }
        let claimed = self
            .registry
            .get(&key)
            .is_some_and(|entry| entry.claim.is_some());
        match outcome {
            Outcome::NotRun => self.registry.set(&key, Record::NotRun(kind)),
            _ if in_flight.may_have_run => self.registry.set(&key, Record::Unknown(kind)),
            _ if kind == Kind::ClaimedElsewhere => {
                self.registry.set(&key, Record::Unknown(kind));
            }
            _ if claimed => self.registry.set(&key, Record::Unsettled),
            _ => self.registry.release(&key, kind),
        }
    }

    /// Records the result of a run for the key that the request holds.
    pub(super) fn record_result(&mut self, id: RequestId, record: Record) {
        let key = self
            .requests
            .get(&id)
            .and_then(|in_flight| in_flight.key().cloned());
        if let Some(key) = key.filter(|key| self.holder(key) == Some(id)) {
            self.registry.set(&key, record);
        }
    }

    /// Answers the repeats that wait for a request.
    pub(super) fn answer_waiting_repeats(&mut self, id: RequestId, reply: &Reply) {
        let repeats = match self.requests.get_mut(&id) {
            Some(in_flight) => std::mem::take(&mut in_flight.waiting_repeats),
            None => return,
        };
        for repeat in repeats {
            self.answer(repeat, reply.clone());
            self.remove(repeat);
        }
    }

    /// Answers a request, unless it was answered before.
    pub(super) fn answer(&mut self, id: RequestId, reply: Reply) {
        let Some(in_flight) = self.requests.get_mut(&id) else {
            return;
        };
        if !in_flight.answered {
            in_flight.answered = true;
            self.actions.push_back(Action::Answer { id, reply });
        }
    }

    fn detach(&mut self, id: RequestId, holder: RequestId) {
        if let Some(in_flight) = self.requests.get_mut(&holder) {
            in_flight.waiting_repeats.retain(|repeat| *repeat != id);
        }
    }

    pub(super) fn remove(&mut self, id: RequestId) {
        if let Some(in_flight) = self.requests.remove(&id) {
            self.timers.remove(&(in_flight.timer, id));
        }
    }

    pub(super) fn set_stage(&mut self, id: RequestId, stage: Stage) {
        if let Some(in_flight) = self.requests.get_mut(&id) {
            in_flight.stage = stage;
            in_flight.handed_over |= matches!(stage, Stage::Running(_));
        }
    }
}
