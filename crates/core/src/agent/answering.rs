//! Final answers.

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
    /// The caller gave up. A run under a key goes on, so that a repeat gets its answer.
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
        let keyless = in_flight.key().is_none();
        let wanted = !in_flight.duplicates.is_empty();
        in_flight.observed |= keyless;
        match in_flight.stage {
            Stage::Starting | Stage::Running(_) => {
                self.answer(id, reply);
                if keyless {
                    self.actions.push_back(Action::Abort { id });
                }
            }
            Stage::Queued | Stage::Claiming if wanted => self.answer(id, reply),
            _ => self.conclude(id, reply),
        }
        self.dispatch_queued(now);
    }

    /// Answers with an error, as truthfully as this agent can vouch for it.
    pub(super) fn refuse(&mut self, now: Instant, id: RequestId, kind: Kind) {
        let table = kind.answer().outcome;
        let never_runs = self
            .requests
            .get(&id)
            .is_some_and(|in_flight| self.can_never_run(now, in_flight));
        let outcome = match table {
            Outcome::NotRun if !never_runs => Outcome::Unknown,
            other => other,
        };
        self.answer_error(id, kind, outcome);
    }

    /// Answers with an error and this outcome.
    pub(super) fn answer_error(&mut self, id: RequestId, kind: Kind, outcome: Outcome) {
        self.conclude(id, Reply::Error { kind, outcome });
    }

    /// Whether a request that ends now without a run can never run, here or elsewhere.
    fn can_never_run(&self, now: Instant, in_flight: &InFlight) -> bool {
        if in_flight.may_have_run {
            return false;
        }
        match in_flight.key() {
            None => true,
            Some(key @ Key::Ticket(_)) => self.holder(key) == Some(in_flight.request.id),
            Some(key @ Key::Minted(_)) => {
                let holds = in_flight.claimed_at.is_some_and(|at| claim::holds(now, at));
                holds && self.holder(key) == Some(in_flight.request.id)
            }
        }
    }

    /// The request that holds a key.
    fn holder(&self, key: &Key) -> Option<RequestId> {
        match self.registry.get(key)?.record {
            Record::Live(id) => Some(id),
            _ => None,
        }
    }

    /// Gives the final answer to a request that is not running, and to its duplicates.
    pub(super) fn conclude(&mut self, id: RequestId, reply: Reply) {
        let Some(in_flight) = self.requests.get(&id) else {
            return;
        };
        match in_flight.stage {
            Stage::Queued => self.queue.remove(id, in_flight.size),
            Stage::Claiming => self.pending_claims -= 1,
            Stage::Relaying(_) => self.pending_relays -= 1,
            Stage::Attached(run) => self.detach(id, run),
            _ => {}
        }
        self.record_refusal(id, &reply);
        self.answer_duplicates(id, &reply);
        self.answer(id, reply);
        self.remove(id);
    }

    /// Records what a refusal says about the key that the request holds.
    fn record_refusal(&mut self, id: RequestId, reply: &Reply) {
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

    /// Records what became of the key that the request holds.
    pub(super) fn record_outcome(&mut self, id: RequestId, record: Record) {
        let key = self
            .requests
            .get(&id)
            .and_then(|in_flight| in_flight.key().cloned());
        if let Some(key) = key.filter(|key| self.holder(key) == Some(id)) {
            self.registry.set(&key, record);
        }
    }

    pub(super) fn answer_duplicates(&mut self, id: RequestId, reply: &Reply) {
        let duplicates = match self.requests.get_mut(&id) {
            Some(in_flight) => std::mem::take(&mut in_flight.duplicates),
            None => return,
        };
        for duplicate in duplicates {
            self.answer(duplicate, reply.clone());
            self.remove(duplicate);
        }
    }

    /// Gives the final answer, once.
    pub(super) fn answer(&mut self, id: RequestId, reply: Reply) {
        let Some(in_flight) = self.requests.get_mut(&id) else {
            return;
        };
        if !in_flight.answered {
            in_flight.answered = true;
            self.actions.push_back(Action::Answer { id, reply });
        }
    }

    fn detach(&mut self, id: RequestId, run: RequestId) {
        if let Some(in_flight) = self.requests.get_mut(&run) {
            in_flight.duplicates.retain(|duplicate| *duplicate != id);
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
