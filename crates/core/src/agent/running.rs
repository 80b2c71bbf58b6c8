//! Start and end of runs at the upstream.

use std::{
    sync::Arc,
    time::{Duration, Instant},
};

use crate::{
    error::{Kind, Outcome},
    timeline::RequestId,
};

use super::{
    Action, Agent, Class, Finish, Input, Key, Record, Reply, Sign, StoredAnswer, Weight, claim,
    flight::{Flight, Stage},
};

/// Time after the last small request for which one slot stays free of heavy ones.
const SMALL_MEMORY: Duration = Duration::from_secs(1);

impl Agent {
    /// Whether a started request may be handed over now. Must be asked immediately before the
    /// first byte is written, as the process may have been paused. After `false` the request has
    /// its final answer and nothing may be sent.
    pub fn may_start(&mut self, now: Instant, id: RequestId) -> bool {
        self.note(now, Some(id), || Input::HandOver);
        let Some(flight) = self.flights.get(&id) else {
            return false;
        };
        if flight.stage != Stage::Starting {
            return false;
        }
        if flight.answered && flight.key().is_none() {
            self.vacate(id);
            self.remove(id);
            self.pump(now);
            return false;
        }
        if let Some(kind) = self.forbidden(now, flight) {
            self.vacate(id);
            self.stage(id, Stage::New);
            self.refuse(now, id, kind);
            self.pump(now);
            return false;
        }
        self.retime_slot(now, id);
        self.stage(id, Stage::Running(now));
        true
    }

    /// The head of a feed's answer arrived: the feed gives back its slot.
    pub fn opened(&mut self, now: Instant, id: RequestId, latency: Duration) {
        self.note(now, Some(id), || Input::Opened { latency });
        let Some(flight) = self.flights.get(&id) else {
            return;
        };
        let Stage::Running(since) = flight.stage else {
            return;
        };
        if flight.request.class != Class::Feed || !self.slots.holds(id) {
            return;
        }
        self.observe(now, since, id, Sign::Answer(latency));
        self.slots.free(id);
        self.undue(id);
        self.pump(now);
    }

    /// A started request came to its end.
    pub fn finished(&mut self, now: Instant, id: RequestId, finish: Finish) {
        self.note(now, Some(id), || Input::finished(&finish));
        let Some(flight) = self.flights.get(&id) else {
            return;
        };
        if !flight.started() {
            return;
        }
        let since = match flight.stage {
            Stage::Running(since) => since,
            _ => self.slots.since(id).unwrap_or(now),
        };
        let sign = sign(&finish, now - since);
        let collapsed = sign.is_some_and(|sign| self.observe(now, since, id, sign));
        self.vacate(id);
        self.stage(id, Stage::New);
        match finish {
            Finish::Whole { answer, .. } => self.ran(id, answer),
            Finish::Cut => self.broke(now, id, Kind::UpstreamCut),
            Finish::Timeout => self.broke(now, id, Kind::UpstreamTimeout),
            Finish::Refused => self.retry_or_refuse(now, id, Kind::UpstreamRefused),
            Finish::Unreachable | Finish::Unsent => {
                self.retry_or_refuse(now, id, Kind::UpstreamUnreachable)
            }
        }
        if collapsed {
            self.rebalance(now);
        }
        self.pump(now);
    }

    /// Starts waiting requests while there is room.
    pub(super) fn pump(&mut self, now: Instant) {
        while self.slots.used() < self.limiter.limit(now) {
            let heavy = self.heavy_allowed(now);
            let predictor = &self.predictor;
            let next = self.queue.pop(heavy, |weight| predictor.service(weight));
            let Some((id, weight)) = next else {
                break;
            };
            self.start(now, id, weight);
        }
        self.tell_limit(now);
    }

    fn start(&mut self, now: Instant, id: RequestId, weight: Weight) {
        let Some(flight) = self.flights.get(&id) else {
            return;
        };
        if now >= flight.due {
            self.stage(id, Stage::New);
            return self.refuse(now, id, Kind::DeadlinePassed);
        }
        let (feed, deadline) = (flight.request.class == Class::Feed, flight.request.deadline);
        self.slots.take(id, weight, now);
        if feed {
            self.slots.open(id);
        }
        self.stage(id, Stage::Starting);
        self.due(id, deadline);
        self.actions.push_back(Action::Start { id });
    }

    /// One slot stays free for small requests while such arrive.
    fn heavy_allowed(&self, now: Instant) -> bool {
        let recent = |at: Instant| now.saturating_duration_since(at) < SMALL_MEMORY;
        let limit = usize::from(self.limiter.limit(now));
        limit < 2 || !self.small.is_some_and(recent) || self.slots.heavy() + 1 < limit
    }

    /// Appends to the queue, where the request stays at most until its run could not end in time.
    pub(super) fn enqueue(&mut self, id: RequestId) {
        let margin = self.margin(id);
        let Some(flight) = self.flights.get(&id) else {
            return;
        };
        let deadline = flight.request.deadline;
        let latest = deadline.checked_sub(margin).unwrap_or(deadline);
        self.queue.push(id, flight.weight);
        self.stage(id, Stage::Queued);
        self.due(id, latest);
    }

    /// Why a request may not be handed over any more.
    fn forbidden(&self, now: Instant, flight: &Flight) -> Option<Kind> {
        if let Some(kind) = self.stopped(now) {
            return Some(kind);
        }
        if now >= flight.request.deadline {
            return Some(Kind::DeadlinePassed);
        }
        match flight.key() {
            Some(Key::Ticket(ticket)) if now >= self.started + ticket.expiry => {
                Some(Kind::TicketExpired)
            }
            Some(Key::Minted(_)) if !flight.claimed.is_some_and(|at| claim::holds(now, at)) => {
                Some(Kind::ClaimUnavailable)
            }
            _ => None,
        }
    }

    /// Learns from a run, once. Returns whether it shows a collapse.
    pub(super) fn observe(
        &mut self,
        now: Instant,
        since: Instant,
        id: RequestId,
        sign: Sign,
    ) -> bool {
        let Some(flight) = self.flights.get_mut(&id) else {
            return false;
        };
        let feed = flight.request.class == Class::Feed;
        // An opened feed is no finished work: it tells nothing of what the slots bear.
        let idle = feed && !self.slots.holds(id);
        let says_nothing = match sign {
            Sign::Answer(_) => feed,
            Sign::Timeout(_) => idle,
            _ => false,
        };
        if flight.judged || says_nothing {
            return false;
        }
        flight.judged = !feed;
        let weight = flight.weight;
        if let Sign::Answer(latency) = sign {
            self.predictor.observe(weight, latency);
        }
        let running = self.slots.used();
        let collapsed = self.limiter.observe(now, since, weight, running, sign);
        if collapsed {
            self.actions.push_back(Action::Collapsed);
        }
        collapsed
    }

    pub(super) fn tell_limit(&mut self, now: Instant) {
        let limit = self.limiter.limit(now);
        if limit != self.limit_told {
            self.limit_told = limit;
            self.actions.push_back(Action::LimitChanged { limit });
        }
    }

    /// Gives back slot and connection of a request.
    pub(super) fn vacate(&mut self, id: RequestId) {
        self.slots.free(id);
        self.slots.close(id);
    }

    fn retime_slot(&mut self, now: Instant, id: RequestId) {
        if let Some(flight) = self.flights.get(&id) {
            self.slots.take(id, flight.weight, now);
        }
    }

    fn ran(&mut self, id: RequestId, answer: Option<Arc<StoredAnswer>>) {
        let twins = match &answer {
            Some(kept) => Reply::Stored(kept.clone()),
            None => Reply::Error {
                kind: Kind::AnswerDropped,
                outcome: Outcome::Ran,
            },
        };
        self.record(id, Record::Ran(answer));
        self.answer_twins(id, &twins);
        self.answer(id, Reply::Fresh);
        self.remove(id);
    }

    /// The request may have run.
    fn broke(&mut self, now: Instant, id: RequestId, kind: Kind) {
        if let Some(flight) = self.flights.get_mut(&id) {
            flight.may_have_run = true;
        }
        self.retry_or_refuse(now, id, kind);
    }

    fn retry_or_refuse(&mut self, now: Instant, id: RequestId, kind: Kind) {
        if !self.retry(now, id) {
            self.refuse(now, id, kind);
        }
    }
}

/// What an end, so long after the start, says about the upstream.
fn sign(finish: &Finish, elapsed: Duration) -> Option<Sign> {
    match finish {
        Finish::Whole { failed: true, .. } | Finish::Cut => Some(Sign::Failure),
        Finish::Whole { latency, .. } => Some(Sign::Answer(*latency)),
        Finish::Refused => Some(Sign::Refusal),
        Finish::Timeout => Some(Sign::Timeout(elapsed)),
        Finish::Unreachable => Some(Sign::Unreachable),
        Finish::Unsent => None,
    }
}
