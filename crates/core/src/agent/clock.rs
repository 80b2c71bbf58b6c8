//! What happens by the passing of time.

use std::time::Instant;

use crate::{
    error::{Kind, Outcome},
    timeline::RequestId,
};

use super::{Action, Agent, Input, Reply, Sign, flight::Stage};

impl Agent {
    /// Lets time pass: ends what is due, gives up what a drain could not move, relays what waits
    /// too long.
    pub fn tick(&mut self, now: Instant) {
        let before = self.mark(now);
        self.pass(now);
        // Recorded only where it changed something: ticks are many.
        if self.mark(now) != before {
            self.note(now, None, || Input::Tick);
        }
    }

    /// What changes when a tick decides something.
    fn mark(&self, now: Instant) -> impl PartialEq + use<> {
        let waiting = (self.queue.len(), self.dues.len(), self.registry.len());
        (self.actions.len(), waiting, self.limiter.limit(now))
    }

    fn pass(&mut self, now: Instant) {
        while let Some(&(at, id)) = self.dues.first() {
            if at > now {
                break;
            }
            self.undue(id);
            self.overdue(now, id);
        }
        self.registry.expire(now);
        self.limiter.resume(now);
        self.end_drain(now);
        self.rebalance(now);
        self.pump(now);
    }

    fn overdue(&mut self, now: Instant, id: RequestId) {
        let Some(flight) = self.flights.get(&id) else {
            return;
        };
        match flight.stage {
            Stage::New | Stage::Claiming | Stage::Queued => {
                self.refuse(now, id, Kind::DeadlinePassed);
            }
            Stage::Running(since) => {
                self.observe(now, since, id, Sign::Timeout(now - since));
                self.answer(id, timeout());
                self.actions.push_back(Action::Abort { id });
            }
            Stage::Starting => {
                let since = self.slots.since(id).unwrap_or(now);
                self.observe(now, since, id, Sign::Timeout(now - since));
                self.vacate(id);
                self.stage(id, Stage::New);
                self.actions.push_back(Action::Abort { id });
                self.refuse(now, id, Kind::DeadlinePassed);
            }
            Stage::Relaying(_) | Stage::Attached(_) => self.conclude(id, timeout()),
        }
    }

    /// After the grace of a drain, what still waits is refused.
    fn end_drain(&mut self, now: Instant) {
        if self.stopped(now) != Some(Kind::Draining) {
            return;
        }
        for id in self.queue.ids() {
            self.refuse(now, id, Kind::Draining);
        }
    }

    /// Sets when something has to happen to a request.
    pub(super) fn due(&mut self, id: RequestId, at: Instant) {
        let Some(flight) = self.flights.get_mut(&id) else {
            return;
        };
        self.dues.remove(&(flight.due, id));
        flight.due = at;
        self.dues.insert((at, id));
    }

    /// Nothing has to happen to a request by time any more.
    pub(super) fn undue(&mut self, id: RequestId) {
        if let Some(flight) = self.flights.get(&id) {
            self.dues.remove(&(flight.due, id));
        }
    }
}

fn timeout() -> Reply {
    Reply::Error {
        kind: Kind::UpstreamTimeout,
        outcome: Outcome::Unknown,
    }
}
