//! What an upstream bears: slots, the cold start and the collapse.

use std::time::{Duration, Instant};

use super::{Counts, Settings};

/// Verdict on a request that wants to run.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Admission {
    /// It runs.
    Run,
    /// It is refused before it runs.
    Shed,
    /// The upstream has collapsed and fails it.
    Fail,
}

/// Running requests against what the upstream bears now.
#[derive(Debug, Clone)]
pub struct Capacity {
    slots: usize,
    cold_limit: usize,
    cold_step: u64,
    collapse_time: Duration,
    /// Requests borne at once; `slots` when warm.
    concurrency_limit: usize,
    finished: u64,
    collapsed_until: Option<Instant>,
    /// Counts collapses and falls, so that requests of an earlier life know that theirs is over.
    generation: u64,
    /// What the upstream saw and did.
    pub counts: Counts,
}

impl Capacity {
    /// A cold upstream.
    pub fn new(settings: &Settings) -> Self {
        Self {
            slots: settings.slots,
            cold_limit: settings.cold_limit.min(settings.slots),
            cold_step: settings.cold_step.max(1),
            collapse_time: settings.collapse_time,
            concurrency_limit: settings.cold_limit.min(settings.slots),
            finished: 0,
            collapsed_until: None,
            generation: 0,
            counts: Counts::default(),
        }
    }

    /// Number of the present life; it grows with each collapse.
    pub fn generation(&self) -> u64 {
        self.generation
    }

    /// Requests borne at once.
    pub fn concurrency_limit(&self) -> usize {
        self.concurrency_limit
    }

    /// Whether a collapse is going on.
    pub fn is_collapsed(&self, now: Instant) -> bool {
        self.collapsed_until.is_some_and(|until| now < until)
    }

    /// Falls back into a cold start; what runs beyond its limit collapses it at once.
    pub fn reset_to_cold(&mut self, now: Instant) {
        self.concurrency_limit = self.cold_limit;
        self.finished = 0;
        if self.counts.running > self.concurrency_limit {
            self.collapse(now);
        }
    }

    /// A request wants to run. A warm upstream sheds what is too much; a cold one collapses.
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

    /// A running request ended. `whole`: with a whole answer.
    pub fn finish(&mut self, complete: bool) {
        self.counts.running -= 1;
        if !complete {
            return;
        }
        self.counts.finished += 1;
        self.finished += 1;
        if self.concurrency_limit < self.slots && self.finished.is_multiple_of(self.cold_step) {
            self.concurrency_limit += 1;
        }
    }

    fn collapse(&mut self, now: Instant) {
        self.counts.collapses += 1;
        self.generation += 1;
        self.concurrency_limit = self.cold_limit;
        self.finished = 0;
        self.collapsed_until = Some(now + self.collapse_time);
    }
}
