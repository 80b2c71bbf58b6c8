//! Timers and ticks.

use std::time::Instant;

use crate::{
    error::{Kind, Outcome},
    timeline::RequestId,
};

use super::{Action, Agent, Input, Reply, Signal, in_flight::Stage};

impl Agent {
    /// Handles expired timers, refuses requests that wait past the grace period of a drain, relays
    /// queued requests to faster peers, and starts requests after a pause.
    pub fn tick(&mut self, now: Instant) {
        let before = self.change_marker(now);
        self.advance(now);
        // Only ticks that changed something are recorded, as ticks are frequent.
        if self.change_marker(now) != before {
            self.record_input(now, None, || Input::Tick);
        }
    }

    /// A value that differs before and after a tick that changed something.
    fn change_marker(&self, now: Instant) -> impl PartialEq + use<> {
        let waiting = (self.queue.len(), self.timers.len(), self.registry.len());
        (self.actions.len(), waiting, self.limiter.limit(now))
    }

    fn advance(&mut self, now: Instant) {
        while let Some(&(at, id)) = self.timers.first() {
            if at > now {
                break;
            }
            self.clear_timer(id);
            self.timer_expired(now, id);
        }
        self.registry.remove_expired(now);
        self.limiter.clear_expired_pause(now);
        self.refuse_after_drain_grace(now);
        self.rebalance(now);
        self.dispatch_queued(now);
    }

    /// Answers a request whose timer expired, and aborts it if it was started.
    fn timer_expired(&mut self, now: Instant, id: RequestId) {
        let Some(in_flight) = self.requests.get(&id) else {
            return;
        };
        match in_flight.stage {
            Stage::New | Stage::Claiming | Stage::Queued => {
                self.fail(now, id, Kind::DeadlinePassed);
            }
            Stage::Running(since) => {
                self.observe(now, since, id, Signal::Timeout(now - since));
                self.answer(id, timeout_reply());
                self.actions.push_back(Action::Abort { id });
            }
            Stage::Starting => {
                let since = self.slots.acquired_at(id).unwrap_or(now);
                self.observe(now, since, id, Signal::Timeout(now - since));
                self.release_capacity(id);
                self.set_stage(id, Stage::New);
                self.actions.push_back(Action::Abort { id });
                self.fail(now, id, Kind::DeadlinePassed);
            }
            Stage::Relaying(_) | Stage::Attached(_) => self.conclude(id, timeout_reply()),
        }
    }

    /// Refuses queued requests after the grace period of a drain.
    fn refuse_after_drain_grace(&mut self, now: Instant) {
        if self.start_refusal(now) != Some(Kind::Draining) {
            return;
        }
        for id in self.queue.ids() {
            self.fail(now, id, Kind::Draining);
        }
    }

    /// Sets the timer of a request.
    pub(super) fn set_timer(&mut self, id: RequestId, at: Instant) {
        let Some(in_flight) = self.requests.get_mut(&id) else {
            return;
        };
        self.timers.remove(&(in_flight.timer, id));
        in_flight.timer = at;
        self.timers.insert((at, id));
    }

    /// Clears the timer of a request.
    pub(super) fn clear_timer(&mut self, id: RequestId) {
        if let Some(in_flight) = self.requests.get(&id) {
            self.timers.remove(&(in_flight.timer, id));
        }
    }
}

fn timeout_reply() -> Reply {
    Reply::Error {
        kind: Kind::UpstreamTimeout,
        outcome: Outcome::Unknown,
    }
}
