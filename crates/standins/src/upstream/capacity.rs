//! Concurrency limit of an upstream: its slots, the cold start and the collapse.

use std::time::{Duration, Instant};

use super::{Counts, Settings};

/// Decision on an incoming request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Admission {
    /// The request runs.
    Run,
    /// The request is refused before it runs.
    Shed,
    /// The upstream has collapsed and the request fails.
    Fail,
}

/// Running requests and the current concurrency limit of an upstream.
#[derive(Debug, Clone)]
pub struct Capacity {
    slots: usize,
    cold_limit: usize,
    cold_step: u64,
    collapse_time: Duration,
    /// Requests that may run at once; equals `slots` when warm.
    concurrency_limit: usize,
    /// Requests finished since the cold start or the last collapse.
    finished_since_cold: u64,
    collapsed_until: Option<Instant>,
    /// Number of collapses. A running request fails when the number differs from the one at its
    /// start.
    generation: u64,
    /// Counters reported at `/standin/counts`.
    pub counts: Counts,
}

impl Capacity {
    /// The capacity of a cold upstream.
    pub fn new(settings: &Settings) -> Self {
        Self {
            slots: settings.slots,
            cold_limit: settings.cold_limit.min(settings.slots),
            cold_step: settings.cold_step.max(1),
            collapse_time: settings.collapse_time,
            concurrency_limit: settings.cold_limit.min(settings.slots),
            finished_since_cold: 0,
            collapsed_until: None,
            generation: 0,
            counts: Counts::default(),
        }
    }

    /// Current generation; it grows with each collapse.
    pub fn generation(&self) -> u64 {
        self.generation
    }

    /// Requests that may run at once now.
    pub fn concurrency_limit(&self) -> usize {
        self.concurrency_limit
    }

    /// Whether the upstream is still collapsed at `now`.
    pub fn is_collapsed(&self, now: Instant) -> bool {
        self.collapsed_until.is_some_and(|until| now < until)
    }

    /// Returns to a cold start. Collapses at once if more requests run than the cold limit allows.
    pub fn reset_to_cold(&mut self, now: Instant) {
        self.concurrency_limit = self.cold_limit;
        self.finished_since_cold = 0;
        if self.counts.running > self.concurrency_limit {
            self.collapse(now);
        }
    }

    /// Decides on an incoming request. Over its limit, a warm upstream sheds the request and a cold
    /// one collapses.
    pub fn admit(&mut self, draining: bool, now: Instant) -> Admission {
        self.counts.offered += 1;
        if self.is_collapsed(now) {
            self.counts.failed += 1;
            return Admission::Fail;
        }
        let full = self.counts.running >= self.concurrency_limit;
        if draining || (full && self.concurrency_limit >= self.slots) {
            self.counts.shed += 1;
            return Admission::Shed;
        }
        if full {
            self.collapse(now);
            self.counts.failed += 1;
            return Admission::Fail;
        }
        self.counts.running += 1;
        self.counts.peak = self.counts.peak.max(self.counts.running);
        Admission::Run
    }

    /// Ends a running request. Only one with a complete answer counts towards warming up.
    pub fn finish(&mut self, complete: bool) {
        self.counts.running -= 1;
        if !complete {
            return;
        }
        self.counts.finished += 1;
        self.finished_since_cold += 1;
        if self.concurrency_limit < self.slots
            && self.finished_since_cold.is_multiple_of(self.cold_step)
        {
            self.concurrency_limit += 1;
        }
    }

    fn collapse(&mut self, now: Instant) {
        self.counts.collapses += 1;
        self.generation += 1;
        self.concurrency_limit = self.cold_limit;
        self.finished_since_cold = 0;
        self.collapsed_until = Some(now + self.collapse_time);
    }
}
