//! Final answers.

use std::time::Instant;

use crate::{
    error::{Kind, Outcome},
    timeline::RequestId,
};

use super::{
    Action, Agent, Input, Key, Record, Reply, claim,
    flight::{Flight, Stage},
};

impl Agent {
    /// The caller gave up. A run under a key goes on, so that a repeat gets its answer.
    pub fn cancelled(&mut self, now: Instant, id: RequestId) {
        self.note(now, Some(id), || Input::Cancelled);
        let Some(flight) = self.flights.get_mut(&id) else {
            return;
        };
        if flight.answered {
            return;
        }
        let reply = Reply::Error {
            kind: Kind::Cancelled,
            outcome: Kind::Cancelled.answer().outcome,
        };
        let keyless = flight.key().is_none();
        let wanted = !flight.twins.is_empty();
        flight.judged |= keyless;
        match flight.stage {
            Stage::Starting | Stage::Running(_) => {
                self.answer(id, reply);
                if keyless {
                    self.actions.push_back(Action::Abort { id });
                }
            }
            Stage::Queued | Stage::Claiming if wanted => self.answer(id, reply),
            _ => self.conclude(id, reply),
        }
        self.pump(now);
    }

    /// Answers with an error, as truthfully as this agent can vouch for it.
    pub(super) fn refuse(&mut self, now: Instant, id: RequestId, kind: Kind) {
        let table = kind.answer().outcome;
        let vouched = self
            .flights
            .get(&id)
            .is_some_and(|flight| self.never_runs(now, flight));
        let outcome = match table {
            Outcome::NotRun if !vouched => Outcome::Unknown,
            other => other,
        };
        self.error(id, kind, outcome);
    }

    /// Answers with an error and this outcome.
    pub(super) fn error(&mut self, id: RequestId, kind: Kind, outcome: Outcome) {
        self.conclude(id, Reply::Error { kind, outcome });
    }

    /// Whether a request that ends now without a run can never run, here or elsewhere.
    fn never_runs(&self, now: Instant, flight: &Flight) -> bool {
        if flight.may_have_run {
            return false;
        }
        match flight.key() {
            None => true,
            Some(key @ Key::Ticket(_)) => self.holder(key) == Some(flight.request.id),
            Some(key @ Key::Minted(_)) => {
                let holds = flight.claimed.is_some_and(|at| claim::holds(now, at));
                holds && self.holder(key) == Some(flight.request.id)
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

    /// Gives the final answer to a request that is not running, and to its twins.
    pub(super) fn conclude(&mut self, id: RequestId, reply: Reply) {
        let Some(flight) = self.flights.get(&id) else {
            return;
        };
        match flight.stage {
            Stage::Queued => self.queue.remove(id, flight.weight),
            Stage::Claiming => self.claiming -= 1,
            Stage::Relaying(_) => self.relaying -= 1,
            Stage::Attached(run) => self.detach(id, run),
            _ => {}
        }
        self.settle(id, &reply);
        self.answer_twins(id, &reply);
        self.answer(id, reply);
        self.remove(id);
    }

    /// Records what a refusal says about the key that the request holds.
    fn settle(&mut self, id: RequestId, reply: &Reply) {
        let Reply::Error { kind, outcome } = *reply else {
            return;
        };
        let Some(flight) = self.flights.get(&id) else {
            return;
        };
        let Some(key) = flight.key().cloned() else {
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
            _ if flight.may_have_run => self.registry.set(&key, Record::Unknown(kind)),
            _ if kind == Kind::ClaimedElsewhere => {
                self.registry.set(&key, Record::Unknown(kind));
            }
            _ if claimed => self.registry.set(&key, Record::Unsettled),
            _ => self.registry.give_back(&key, kind),
        }
    }

    /// Records what became of the key that the request holds.
    pub(super) fn record(&mut self, id: RequestId, record: Record) {
        let key = self
            .flights
            .get(&id)
            .and_then(|flight| flight.key().cloned());
        if let Some(key) = key.filter(|key| self.holder(key) == Some(id)) {
            self.registry.set(&key, record);
        }
    }

    pub(super) fn answer_twins(&mut self, id: RequestId, reply: &Reply) {
        let twins = match self.flights.get_mut(&id) {
            Some(flight) => std::mem::take(&mut flight.twins),
            None => return,
        };
        for twin in twins {
            self.answer(twin, reply.clone());
            self.remove(twin);
        }
    }

    /// Gives the final answer, once.
    pub(super) fn answer(&mut self, id: RequestId, reply: Reply) {
        let Some(flight) = self.flights.get_mut(&id) else {
            return;
        };
        if !flight.answered {
            flight.answered = true;
            self.actions.push_back(Action::Answer { id, reply });
        }
    }

    fn detach(&mut self, id: RequestId, run: RequestId) {
        if let Some(flight) = self.flights.get_mut(&run) {
            flight.twins.retain(|twin| *twin != id);
        }
    }

    pub(super) fn remove(&mut self, id: RequestId) {
        if let Some(flight) = self.flights.remove(&id) {
            self.dues.remove(&(flight.due, id));
        }
    }

    pub(super) fn stage(&mut self, id: RequestId, stage: Stage) {
        if let Some(flight) = self.flights.get_mut(&id) {
            flight.stage = stage;
            flight.tried |= matches!(stage, Stage::Running(_));
        }
    }
}
