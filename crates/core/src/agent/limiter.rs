//! How many requests may run at the upstream at once.

use std::time::{Duration, Instant};

use super::SizeClass;

/// Limit of an upstream about which nothing is means.
const COLD_LIMIT: u16 = 1;

/// Whole answers after which the limit grows by one.
const MIN_GROWTH_INTERVAL_ANSWERS: u32 = 10;

/// The pace is slowed down to at most so many answers.
const MAX_GROWTH_INTERVAL_ANSWERS: u32 = 160;

/// Signs of trouble in a row that count as a collapse. A cold upstream collapses at the first:
/// single failures of a warm one may be those of single requests.
const COLLAPSE_FAILURES: u32 = 2;

/// Shortest and longest time without any start after a collapse.
const MIN_PAUSE: Duration = Duration::from_millis(100);
const MAX_PAUSE: Duration = Duration::from_secs(2);

/// Recent latencies above the usual ones by this factor are a signal of trouble.
const SLOW_FACTOR: f64 = 4.0;

/// Differences below this are noise.
const MIN_SLOWDOWN_S: f64 = 0.02;

/// Share of a new latency in the moving means.
const RECENT_GAIN: f64 = 0.3;
const BASELINE_GAIN: f64 = 0.02;

/// What one finished request says about the upstream.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Signal {
    /// A whole answer after this time.
    Answer(Duration),
    /// The upstream refused the request.
    Refusal,
    /// An error or a cut connection.
    Failure,
    /// No connection could be made.
    Unreachable,
    /// No answer after this time, when the deadline passed. A short deadline is the caller's
    /// doing and says nothing.
    Timeout(Duration),
}

/// A concurrency limit learnt from real answers alone.
///
/// It starts low and grows by one with each ten whole answers at first. When answers show a
/// collapse, it is cut to the start at once, nothing is started for a pause that doubles with
/// each collapse in a row, and if the collapse came while the limit was growing, it grows at half
/// the pace from then on.
#[derive(Debug, Clone)]
pub struct Limiter {
    slots: u16,
    limit: u16,
    growth_interval: u32,
    /// Whole answers since the limit changed.
    answers_since_growth: u32,
    consecutive_failures: u32,
    latencies: [Option<Latency>; 2],
    next_pause: Duration,
    paused_until: Option<Instant>,
    /// Requests started before say nothing new.
    cut_at: Option<Instant>,
}

/// Moving means of the latencies of one size, in seconds.
#[derive(Debug, Clone, Copy)]
struct Latency {
    recent_s: f64,
    baseline_s: f64,
}

impl Limiter {
    /// A cold upstream with so many slots.
    ///
    /// ```
    /// use std::time::Instant;
    /// use sassafrasmast_core::agent::Limiter;
    /// assert_eq!(Limiter::new(5).limit(Instant::now()), 1);
    /// assert_eq!(Limiter::new(0).limit(Instant::now()), 0);
    /// ```
    pub fn new(slots: u16) -> Self {
        Self {
            slots,
            limit: COLD_LIMIT.min(slots),
            growth_interval: MIN_GROWTH_INTERVAL_ANSWERS,
            answers_since_growth: 0,
            consecutive_failures: 0,
            latencies: [None; 2],
            next_pause: MIN_PAUSE,
            paused_until: None,
            cut_at: None,
        }
    }

    /// Requests that may run at once; none during the pause after a collapse.
    pub fn limit(&self, now: Instant) -> u16 {
        match self.paused_until {
            Some(until) if now < until => 0,
            _ => self.limit,
        }
    }

    /// When the pause after the last collapse ends.
    pub fn paused_until(&self) -> Option<Instant> {
        self.paused_until
    }

    /// Forgets a pause that is over.
    pub fn clear_expired_pause(&mut self, now: Instant) {
        self.paused_until = self.paused_until.filter(|until| now < *until);
    }

    /// Whether the limit is still far below the slots, or nothing is started at all.
    pub fn is_cold(&self, now: Instant) -> bool {
        u32::from(self.limit(now)) * 2 < u32::from(self.slots)
    }

    /// Takes over another number of slots.
    pub fn set_slots(&mut self, slots: u16) {
        self.slots = slots;
        self.limit = self.limit.max(COLD_LIMIT).min(slots);
    }

    /// Starts anew as with a cold upstream.
    pub fn restart(&mut self, now: Instant) {
        self.limit = COLD_LIMIT.min(self.slots);
        self.answers_since_growth = 0;
        self.consecutive_failures = 0;
        self.cut_at = Some(now);
    }

    /// Learns from a request that was handed over at `started` and ended now, itself included
    /// among the `running` ones. Returns whether it shows a collapse.
    pub fn observe(
        &mut self,
        now: Instant,
        started: Instant,
        size: SizeClass,
        running: u16,
        signal: Signal,
    ) -> bool {
        if self.cut_at.is_some_and(|cut| started <= cut) {
            return false;
        }
        match signal {
            Signal::Answer(latency) if !self.is_slow(size, latency) => {
                self.on_answer(running);
                false
            }
            Signal::Timeout(elapsed) if !self.is_slow(size, elapsed) => false,
            Signal::Refusal => {
                self.on_refusal(now);
                false
            }
            Signal::Unreachable => self.collapse(now),
            Signal::Answer(_) | Signal::Failure | Signal::Timeout(_) => self.on_failure(now, size),
        }
    }

    /// Learns a latency; whether the recent ones are far above the usual ones.
    fn is_slow(&mut self, size: SizeClass, latency: Duration) -> bool {
        let new = latency.as_secs_f64();
        let means = self.latencies[size as usize].get_or_insert(Latency {
            recent_s: new,
            baseline_s: new,
        });
        means.recent_s += RECENT_GAIN * (new - means.recent_s);
        let slow = means.recent_s > means.baseline_s * SLOW_FACTOR + MIN_SLOWDOWN_S;
        if !slow {
            means.baseline_s += BASELINE_GAIN * (new - means.baseline_s);
        }
        slow
    }

    /// Grows on whole answers while at least half of the limit is used.
    fn on_answer(&mut self, running: u16) {
        self.consecutive_failures = 0;
        self.next_pause = MIN_PAUSE;
        if self.limit >= self.slots || running < self.limit.div_ceil(2) {
            return;
        }
        self.answers_since_growth += 1;
        if self.answers_since_growth >= self.growth_interval {
            self.answers_since_growth = 0;
            self.limit += 1;
        }
    }

    /// The upstream sheds: it is not harmed, but takes less than it is offered.
    fn on_refusal(&mut self, now: Instant) {
        if self.limit > COLD_LIMIT {
            self.limit /= 2;
            self.answers_since_growth = 0;
            self.cut_at = Some(now);
        } else {
            self.pause_starts(now);
        }
    }

    fn on_failure(&mut self, now: Instant, size: SizeClass) -> bool {
        self.consecutive_failures += 1;
        if self.limit <= COLD_LIMIT {
            // Slow even alone: that is how the upstream is now.
            if let Some(latency) = &mut self.latencies[size as usize] {
                latency.baseline_s = latency.baseline_s.max(latency.recent_s);
            }
            return self.collapse(now);
        }
        self.consecutive_failures >= COLLAPSE_FAILURES && self.collapse(now)
    }

    fn collapse(&mut self, now: Instant) -> bool {
        let growing = (COLD_LIMIT + 1..self.slots).contains(&self.limit);
        if growing {
            self.growth_interval = (self.growth_interval * 2).min(MAX_GROWTH_INTERVAL_ANSWERS);
        }
        self.restart(now);
        for latency in self.latencies.iter_mut().flatten() {
            latency.recent_s = latency.baseline_s;
        }
        self.pause_starts(now);
        true
    }

    fn pause_starts(&mut self, now: Instant) {
        self.cut_at = Some(now);
        self.paused_until = Some(now + self.next_pause);
        self.next_pause = (self.next_pause * 2).min(MAX_PAUSE);
    }
}
