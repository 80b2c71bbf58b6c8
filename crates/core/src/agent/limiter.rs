//! Adaptive concurrency limit of the upstream.

use std::time::{Duration, Instant};

use super::SizeClass;

/// Requests at once at the start and after a collapse.
const INITIAL_LIMIT: u16 = 1;

/// Growth interval at the start: complete answers after which the limit grows by one.
const MIN_GROWTH_INTERVAL_ANSWERS: u32 = 10;

/// Upper bound of the growth interval, in complete answers.
const MAX_GROWTH_INTERVAL_ANSWERS: u32 = 160;

/// Consecutive failures that count as a collapse while the limit is above [`INITIAL_LIMIT`], as a
/// single failure may be due to the request. At [`INITIAL_LIMIT`] the first failure counts.
const COLLAPSE_FAILURES: u32 = 2;

/// Time without any start after the first collapse, or after the first refusal at
/// [`INITIAL_LIMIT`]. It doubles with each further one in a row.
const MIN_PAUSE: Duration = Duration::from_millis(100);

/// Longest time without any start after a collapse, or after a refusal at [`INITIAL_LIMIT`].
const MAX_PAUSE: Duration = Duration::from_secs(2);

/// Answers count as failures while the recent mean latency exceeds the baseline by this factor.
const SLOW_FACTOR: f64 = 4.0;

/// Seconds added to the threshold of slow answers, as smaller differences are noise.
const MIN_SLOWDOWN_S: f64 = 0.02;

/// Weight of a new latency in the recent mean.
const RECENT_GAIN: f64 = 0.3;

/// Weight of a new latency in the baseline.
const BASELINE_GAIN: f64 = 0.02;

/// What one finished request says about the upstream.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Signal {
    /// A complete answer after this time.
    Answer(Duration),
    /// The upstream refused the request.
    Refusal,
    /// An answer with status 500 or above, or a broken connection.
    Failure,
    /// No connection could be made; counts as a collapse at once.
    Unreachable,
    /// No answer after this time, when the deadline passed. It counts as a failure only if the time
    /// is slow for the upstream, as the caller may have set a short deadline.
    Timeout(Duration),
}

/// A concurrency limit learnt from the results of real requests, without probes.
///
/// It starts at 1 and at first grows by one after each ten complete answers. On a collapse it drops
/// to 1 at once, and no request is started for a pause that doubles with each collapse in a row. If
/// the limit was still growing, the collapse also doubles the number of answers that further growth
/// takes. A refusal halves the limit; at limit 1 it causes a pause.
#[derive(Debug, Clone)]
pub struct Limiter {
    slots: u16,
    limit: u16,
    /// Complete answers after which the limit grows by one.
    growth_interval_answers: u32,
    answers_since_growth: u32,
    consecutive_failures: u32,
    /// Mean latencies of each size class.
    latencies: [Option<Latency>; 2],
    next_pause: Duration,
    paused_until: Option<Instant>,
    /// When the limit was last cut. Results of requests started before are ignored.
    cut_at: Option<Instant>,
}

/// Moving means of the latencies of one size class.
#[derive(Debug, Clone, Copy)]
struct Latency {
    recent_s: f64,
    baseline_s: f64,
}

impl Limiter {
    /// The limiter of a cold upstream with `slots` slots.
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
            limit: INITIAL_LIMIT.min(slots),
            growth_interval_answers: MIN_GROWTH_INTERVAL_ANSWERS,
            answers_since_growth: 0,
            consecutive_failures: 0,
            latencies: [None; 2],
            next_pause: MIN_PAUSE,
            paused_until: None,
            cut_at: None,
        }
    }

    /// Requests that may run at once; 0 during a pause.
    pub fn limit(&self, now: Instant) -> u16 {
        match self.paused_until {
            Some(until) if now < until => 0,
            _ => self.limit,
        }
    }

    /// When the current pause ends.
    pub fn paused_until(&self) -> Option<Instant> {
        self.paused_until
    }

    /// Clears a pause that is over.
    pub fn clear_expired_pause(&mut self, now: Instant) {
        self.paused_until = self.paused_until.filter(|until| now < *until);
    }

    /// Whether the limit is below half of the slots, as it is during a pause.
    pub fn is_cold(&self, now: Instant) -> bool {
        u32::from(self.limit(now)) * 2 < u32::from(self.slots)
    }

    /// Changes the number of slots and clamps the limit to it.
    pub fn set_slots(&mut self, slots: u16) {
        self.slots = slots;
        self.limit = self.limit.max(INITIAL_LIMIT).min(slots);
    }

    /// Resets the limit to 1, as for a cold upstream.
    pub fn restart(&mut self, now: Instant) {
        self.limit = INITIAL_LIMIT.min(self.slots);
        self.answers_since_growth = 0;
        self.consecutive_failures = 0;
        self.cut_at = Some(now);
    }

    /// Updates the limit with the result of a request that was handed over at `started` and ended
    /// now. `running` counts the requests that ran, this one included. Returns whether the result
    /// shows a collapse.
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

    /// Adds a latency to the means. Returns whether the recent mean is far above the baseline.
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

    /// Counts a complete answer towards the next increase if at least half of the limit was in use.
    fn on_answer(&mut self, running: u16) {
        self.consecutive_failures = 0;
        self.next_pause = MIN_PAUSE;
        if self.limit >= self.slots || running < self.limit.div_ceil(2) {
            return;
        }
        self.answers_since_growth += 1;
        if self.answers_since_growth >= self.growth_interval_answers {
            self.answers_since_growth = 0;
            self.limit += 1;
        }
    }

    /// Halves the limit. The upstream sheds load without harm, so this is no collapse; at
    /// [`INITIAL_LIMIT`] it gets a pause.
    fn on_refusal(&mut self, now: Instant) {
        if self.limit > INITIAL_LIMIT {
            self.limit /= 2;
            self.answers_since_growth = 0;
            self.cut_at = Some(now);
        } else {
            self.pause(now);
        }
    }

    fn on_failure(&mut self, now: Instant, size: SizeClass) -> bool {
        self.consecutive_failures += 1;
        if self.limit <= INITIAL_LIMIT {
            // With one request at a time a higher latency is not due to load, so it becomes the
            // baseline.
            if let Some(latency) = &mut self.latencies[size as usize] {
                latency.baseline_s = latency.baseline_s.max(latency.recent_s);
            }
            return self.collapse(now);
        }
        self.consecutive_failures >= COLLAPSE_FAILURES && self.collapse(now)
    }

    fn collapse(&mut self, now: Instant) -> bool {
        let growing = (INITIAL_LIMIT + 1..self.slots).contains(&self.limit);
        if growing {
            self.growth_interval_answers =
                (self.growth_interval_answers * 2).min(MAX_GROWTH_INTERVAL_ANSWERS);
        }
        self.restart(now);
        for latency in self.latencies.iter_mut().flatten() {
            latency.recent_s = latency.baseline_s;
        }
        self.pause(now);
        true
    }

    fn pause(&mut self, now: Instant) {
        self.cut_at = Some(now);
        self.paused_until = Some(now + self.next_pause);
        self.next_pause = (self.next_pause * 2).min(MAX_PAUSE);
    }
}
