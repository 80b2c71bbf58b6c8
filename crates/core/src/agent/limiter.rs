//! How many requests may run at the upstream at once.

use std::time::{Duration, Instant};

use super::Weight;

/// Limit of an upstream about which nothing is known.
const COLD_LIMIT: u16 = 1;

/// Whole answers at the present limit, for each request it lets run, before it grows by one.
const GROWTH_ANSWERS: u32 = 4;

/// Factor on [`GROWTH_ANSWERS`] at and above the limit of the last collapse.
const CEILING_FACTOR: u32 = 4;

/// Time for which the limit of the last collapse is remembered.
const CEILING_MEMORY: Duration = Duration::from_secs(60);

/// An answer slower than the baseline by this factor is a sign of overload.
const SLOW_FACTOR: u32 = 4;

/// Differences below this are noise.
const SLOW_FLOOR: Duration = Duration::from_millis(20);

/// Slow answers in a row that count as a collapse.
const SLOW_ANSWERS: u32 = 2;

/// Share of a new latency in the baseline when it is higher.
const BASELINE_GAIN: f64 = 0.02;

/// What one finished request says about the upstream.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Sign {
    /// A whole answer after this time.
    Answer(Duration),
    /// The upstream refused the request.
    Refusal,
    /// An error or a cut connection.
    Failure,
    /// No answer after this time, when the deadline passed. A short deadline is the caller's
    /// doing and says nothing.
    Timeout(Duration),
}

/// A concurrency limit learnt from real answers alone: starts low, grows on answers in time, is
/// cut at once when answers show a collapse, and approaches the limit of the last collapse slowly.
#[derive(Debug, Clone)]
pub struct Limiter {
    slots: u16,
    limit: u16,
    /// Answers in time since the limit changed.
    progress: u32,
    slow: u32,
    baseline: [Option<Duration>; 2],
    ceiling: Option<(u16, Instant)>,
    /// Answers to requests started before say nothing new.
    cut: Option<Instant>,
}

impl Limiter {
    /// A cold upstream with so many slots.
    pub fn new(slots: u16) -> Self {
        Self {
            slots,
            limit: COLD_LIMIT.min(slots),
            progress: 0,
            slow: 0,
            baseline: [None; 2],
            ceiling: None,
            cut: None,
        }
    }

    /// Requests that may run at once.
    pub fn limit(&self) -> u16 {
        self.limit
    }

    /// Whether the limit is still far below the slots.
    pub fn cold(&self) -> bool {
        self.limit * 2 < self.slots
    }

    /// Takes over another number of slots.
    pub fn resize(&mut self, slots: u16) {
        self.slots = slots;
        self.limit = self
            .limit
            .clamp(COLD_LIMIT, slots.max(COLD_LIMIT))
            .min(slots);
    }

    /// Starts anew as with a cold upstream.
    pub fn restart(&mut self, now: Instant) {
        self.limit = COLD_LIMIT.min(self.slots);
        self.progress = 0;
        self.slow = 0;
        self.cut = Some(now);
    }

    /// Learns from a request that was handed over at `started` while `running` requests ran.
    /// Returns whether it shows a collapse.
    pub fn observe(
        &mut self,
        now: Instant,
        started: Instant,
        weight: Weight,
        running: u16,
        sign: Sign,
    ) -> bool {
        if self.cut.is_some_and(|cut| started <= cut) {
            return false;
        }
        match sign {
            Sign::Answer(latency) if self.is_slow(weight, latency) => self.slowed(now),
            Sign::Answer(latency) => {
                self.learn(weight, latency);
                self.grow(now, running);
                false
            }
            Sign::Timeout(elapsed) if !self.is_slow(weight, elapsed) => false,
            Sign::Refusal | Sign::Failure | Sign::Timeout(_) => {
                self.collapse(now);
                true
            }
        }
    }

    fn is_slow(&self, weight: Weight, latency: Duration) -> bool {
        self.baseline[weight as usize]
            .is_some_and(|baseline| latency > baseline * SLOW_FACTOR + SLOW_FLOOR)
    }

    fn slowed(&mut self, now: Instant) -> bool {
        self.slow += 1;
        let collapsed = self.slow >= SLOW_ANSWERS;
        if collapsed {
            self.collapse(now);
        }
        collapsed
    }

    fn learn(&mut self, weight: Weight, latency: Duration) {
        self.slow = 0;
        let baseline = &mut self.baseline[weight as usize];
        *baseline = Some(match *baseline {
            Some(old) if latency > old => old + (latency - old).mul_f64(BASELINE_GAIN),
            _ => latency,
        });
    }

    fn grow(&mut self, now: Instant, running: u16) {
        if self.limit >= self.slots || running < self.limit {
            return;
        }
        self.progress += 1;
        if self.progress >= self.growth_answers(now) {
            self.progress = 0;
            self.limit += 1;
        }
    }

    fn growth_answers(&self, now: Instant) -> u32 {
        let answers = GROWTH_ANSWERS * u32::from(self.limit);
        let near = self
            .ceiling
            .is_some_and(|(limit, until)| now < until && self.limit + 1 >= limit);
        if near {
            answers * CEILING_FACTOR
        } else {
            answers
        }
    }

    fn collapse(&mut self, now: Instant) {
        self.ceiling = Some((self.limit, now + CEILING_MEMORY));
        self.restart(now);
    }
}
