//! Start and end of requests at the upstream.

use std::{
    sync::Arc,
    time::{Duration, Instant},
};

use crate::{
    error::{Kind, Outcome},
    timeline::RequestId,
};

use super::{
    Action, Agent, Class, Finish, Input, Key, Record, Reply, Signal, SizeClass, StoredAnswer,
    claim,
    in_flight::{InFlight, Stage},
};

/// Time after the last small request during which one slot is reserved for small requests.
const SMALL_ARRIVAL_WINDOW: Duration = Duration::from_secs(1);

impl Agent {
    /// Marks a started request as handed over, or answers it and returns `false` if it may not be
    /// handed over any more; then nothing may be sent. Must be called immediately before the first
    /// byte is written, as the process may have been paused since [`Action::Start`].
    pub fn begin_hand_over(&mut self, now: Instant, id: RequestId) -> bool {
        self.record_input(now, Some(id), || Input::HandOver);
        let Some(in_flight) = self.requests.get(&id) else {
            return false;
        };
        if in_flight.stage != Stage::Starting {
            return false;
        }
        if in_flight.answered && in_flight.key().is_none() {
            self.release_capacity(id);
            self.remove(id);
            self.dispatch_queued(now);
            return false;
        }
        if let Some(kind) = self.hand_over_refusal(now, in_flight) {
            self.release_capacity(id);
            self.set_stage(id, Stage::New);
            self.fail(now, id, kind);
            self.dispatch_queued(now);
            return false;
        }
        self.restart_slot_time(now, id);
        self.set_stage(id, Stage::Running(now));
        true
    }

    /// Handles the head of a feed's answer: releases the feed's slot.
    pub fn opened(&mut self, now: Instant, id: RequestId, latency: Duration) {
        self.record_input(now, Some(id), || Input::Opened { latency });
        let Some(in_flight) = self.requests.get(&id) else {
            return;
        };
        let Stage::Running(since) = in_flight.stage else {
            return;
        };
        if in_flight.request.class != Class::Feed || !self.slots.holds(id) {
            return;
        }
        self.observe(now, since, id, Signal::Answer(latency));
        self.slots.release(id);
        self.clear_timer(id);
        self.dispatch_queued(now);
    }

    /// Handles the end of a started request.
    pub fn finished(&mut self, now: Instant, id: RequestId, finish: Finish) {
        self.record_input(now, Some(id), || Input::finished(&finish));
        let Some(in_flight) = self.requests.get(&id) else {
            return;
        };
        if !in_flight.is_started() {
            return;
        }
        let since = match in_flight.stage {
            Stage::Running(since) => since,
            _ => self.slots.acquired_at(id).unwrap_or(now),
        };
        let signal = signal(&finish, now - since);
        let collapsed = signal.is_some_and(|signal| self.observe(now, since, id, signal));
        self.release_capacity(id);
        self.set_stage(id, Stage::New);
        match finish {
            Finish::Whole { answer, .. } => self.complete(id, answer),
            Finish::Cut => self.fail_after_send(now, id, Kind::UpstreamCut),
            Finish::Timeout => self.fail_after_send(now, id, Kind::UpstreamTimeout),
            Finish::Refused => self.retry_or_fail(now, id, Kind::UpstreamRefused),
            Finish::Unreachable | Finish::Unsent => {
                self.retry_or_fail(now, id, Kind::UpstreamUnreachable)
            }
        }
        if collapsed {
            self.rebalance(now);
        }
        self.dispatch_queued(now);
    }

    /// Starts queued requests while fewer run than the limit.
    pub(super) fn dispatch_queued(&mut self, now: Instant) {
        while self.slots.used() < self.limiter.limit(now) {
            let large = self.large_allowed(now);
            let predictor = &self.predictor;
            let next = self.queue.pop(large, |size| predictor.service_time(size));
            let Some((id, size)) = next else {
                break;
            };
            self.start(now, id, size);
        }
        self.report_limit(now);
    }

    fn start(&mut self, now: Instant, id: RequestId, size: SizeClass) {
        let Some(in_flight) = self.requests.get(&id) else {
            return;
        };
        if now >= in_flight.timer {
            self.set_stage(id, Stage::New);
            return self.fail(now, id, Kind::DeadlinePassed);
        }
        let (feed, deadline) = (
            in_flight.request.class == Class::Feed,
            in_flight.request.deadline,
        );
        self.slots.acquire(id, size, now);
        if feed {
            self.slots.acquire_connection(id);
        }
        self.set_stage(id, Stage::Starting);
        self.set_timer(id, deadline);
        self.actions.push_back(Action::Start { id });
    }

    /// Whether a large request may start: while small requests arrive, one slot of the limit is
    /// reserved for them.
    fn large_allowed(&self, now: Instant) -> bool {
        let recent = |at: Instant| now.saturating_duration_since(at) < SMALL_ARRIVAL_WINDOW;
        let limit = usize::from(self.limiter.limit(now));
        limit < 2 || !self.last_small_arrival.is_some_and(recent) || self.slots.large() + 1 < limit
    }

    /// Appends a request to the queue, with a timer at the latest start for which its run is
    /// expected to end before the deadline.
    pub(super) fn enqueue(&mut self, id: RequestId) {
        let reserve = self.run_reserve(id);
        let Some(in_flight) = self.requests.get(&id) else {
            return;
        };
        let deadline = in_flight.request.deadline;
        let latest = deadline.checked_sub(reserve).unwrap_or(deadline);
        self.queue.push(id, in_flight.size);
        self.set_stage(id, Stage::Queued);
        self.set_timer(id, latest);
    }

    /// Why a started request may not be handed over, if so.
    fn hand_over_refusal(&self, now: Instant, in_flight: &InFlight) -> Option<Kind> {
        if let Some(kind) = self.start_refusal(now) {
            return Some(kind);
        }
        if now >= in_flight.request.deadline {
            return Some(Kind::DeadlinePassed);
        }
        match in_flight.key() {
            Some(Key::Ticket(ticket)) if now >= self.started + ticket.expiry => {
                Some(Kind::TicketExpired)
            }
            Some(Key::Minted(_))
                if !in_flight
                    .claim_requested_at
                    .is_some_and(|at| claim::holds(now, at)) =>
            {
                Some(Kind::ClaimUnavailable)
            }
            _ => None,
        }
    }

    /// Passes the result of a run to the predictor and the limiter, at most once for each request
    /// other than feeds. Returns whether it shows a collapse.
    pub(super) fn observe(
        &mut self,
        now: Instant,
        since: Instant,
        id: RequestId,
        signal: Signal,
    ) -> bool {
        let Some(in_flight) = self.requests.get_mut(&id) else {
            return false;
        };
        let feed = in_flight.request.class == Class::Feed;
        // The timeout of an open feed says nothing about the load of the slots, as the feed holds
        // none. A broken connection still counts.
        let open_feed = feed && !self.slots.holds(id);
        let uninformative = match signal {
            Signal::Answer(_) => feed,
            Signal::Timeout(_) => open_feed,
            _ => false,
        };
        if in_flight.observed || uninformative {
            return false;
        }
        in_flight.observed = !feed;
        let size = in_flight.size;
        if let Signal::Answer(latency) = signal {
            self.predictor.observe(size, latency);
        }
        let running = self.slots.used();
        let collapsed = self.limiter.observe(now, since, size, running, signal);
        if collapsed {
            self.actions.push_back(Action::Collapsed);
        }
        collapsed
    }

    /// Reports the limit if it changed since the last report.
    pub(super) fn report_limit(&mut self, now: Instant) {
        let limit = self.limiter.limit(now);
        if limit != self.reported_limit {
            self.reported_limit = limit;
            self.actions.push_back(Action::LimitChanged { limit });
        }
    }

    /// Releases the slot and the connection of a request.
    pub(super) fn release_capacity(&mut self, id: RequestId) {
        self.slots.release(id);
        self.slots.release_connection(id);
    }

    /// Counts the slot's time from `now`, as the hand-over starts only now.
    fn restart_slot_time(&mut self, now: Instant, id: RequestId) {
        if let Some(in_flight) = self.requests.get(&id) {
            self.slots.acquire(id, in_flight.size, now);
        }
    }

    /// Answers a request that ran, and the repeats that wait for it.
    fn complete(&mut self, id: RequestId, answer: Option<Arc<StoredAnswer>>) {
        let repeat = match &answer {
            Some(stored) => Reply::Stored(stored.clone()),
            None => Reply::Error {
                kind: Kind::AnswerDropped,
                outcome: Outcome::Ran,
            },
        };
        self.record_result(id, Record::Ran(answer));
        self.answer_waiting_repeats(id, &repeat);
        self.answer(id, Reply::Fresh);
        self.remove(id);
    }

    /// Handles a failure after part of the request was sent, so that it may have run.
    fn fail_after_send(&mut self, now: Instant, id: RequestId, kind: Kind) {
        if let Some(in_flight) = self.requests.get_mut(&id) {
            in_flight.may_have_run = true;
        }
        self.retry_or_fail(now, id, kind);
    }

    fn retry_or_fail(&mut self, now: Instant, id: RequestId, kind: Kind) {
        if !self.retry_at_peer(now, id) {
            self.fail(now, id, kind);
        }
    }
}

/// What the end of a request, `elapsed` after its start, says about the upstream.
fn signal(finish: &Finish, elapsed: Duration) -> Option<Signal> {
    match finish {
        Finish::Whole { failed: true, .. } | Finish::Cut => Some(Signal::Failure),
        Finish::Whole { latency, .. } => Some(Signal::Answer(*latency)),
        Finish::Refused => Some(Signal::Refusal),
        Finish::Timeout => Some(Signal::Timeout(elapsed)),
        Finish::Unreachable => Some(Signal::Unreachable),
        Finish::Unsent => None,
    }
}
