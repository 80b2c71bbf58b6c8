//! How many requests may run at the upstream at once.

use std::time::{Duration, Instant};

use super::Weight;

/// Limit of an upstream about which nothing is known.
const COLD_LIMIT: u16 = 1;

/// Whole answers after which the limit grows by one.
const PACE_ANSWERS: u32 = 10;

/// The pace is slowed down to at most so many answers.
const SLOWEST_PACE_ANSWERS: u32 = 160;

/// Signs of trouble in a row that count as a collapse. A cold upstream collapses at the first:
/// single failures of a warm one may be those of single requests.
const TROUBLES: u32 = 2;

/// Shortest and longest time without any start after a collapse.
const PAUSE: Duration = Duration::from_millis(100);
const LONGEST_PAUSE: Duration = Duration::from_secs(2);

/// Recent latencies above the usual ones by this factor are a sign of trouble.
const SLOW_FACTOR: f64 = 4.0;

/// Differences below this are noise.
const SLOW_FLOOR_S: f64 = 0.02;

/// Share of a new latency in the moving means.
const RECENT_GAIN: f64 = 0.3;
const USUAL_GAIN: f64 = 0.02;

/// What one finished request says about the upstream.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Sign {
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
    pace: u32,
    /// Whole answers since the limit changed.
    progress: u32,
    troubles: u32,
    latencies: [Option<Latency>; 2],
    pause: Duration,
    paused_until: Option<Instant>,
    /// Requests started before say nothing new.
    cut: Option<Instant>,
}

/// Moving means of the latencies of one weight, in seconds.
#[derive(Debug, Clone, Copy)]
struct Latency {
    recent: f64,
    usual: f64,
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
            pace: PACE_ANSWERS,
            progress: 0,
            troubles: 0,
            latencies: [None; 2],
            pause: PAUSE,
            paused_until: None,
            cut: None,
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
    pub fn resumes(&self) -> Option<Instant> {
        self.paused_until
    }

    /// Forgets a pause that is over.
    pub fn resume(&mut self, now: Instant) {
        self.paused_until = self.paused_until.filter(|until| now < *until);
    }

    /// Whether the limit is still far below the slots, or nothing is started at all.
    pub fn cold(&self, now: Instant) -> bool {
        u32::from(self.limit(now)) * 2 < u32::from(self.slots)
    }

    /// Takes over another number of slots.
    pub fn resize(&mut self, slots: u16) {
        self.slots = slots;
        self.limit = self.limit.max(COLD_LIMIT).min(slots);
    }

    /// Starts anew as with a cold upstream.
    pub fn restart(&mut self, now: Instant) {
        self.limit = COLD_LIMIT.min(self.slots);
        self.progress = 0;
        self.troubles = 0;
        self.cut = Some(now);
    }

    /// Learns from a request that was handed over at `started` and ended now, itself included
    /// among the `running` ones. Returns whether it shows a collapse.
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
            Sign::Answer(latency) if !self.is_slow(weight, latency) => {
                self.progress(running);
                false
            }
            Sign::Timeout(elapsed) if !self.is_slow(weight, elapsed) => false,
            Sign::Refusal => {
                self.refused(now);
                false
            }
            Sign::Unreachable => self.collapse(now),
            Sign::Answer(_) | Sign::Failure | Sign::Timeout(_) => self.trouble(now, weight),
        }
    }

    /// Learns a latency; whether the recent ones are far above the usual ones.
    fn is_slow(&mut self, weight: Weight, latency: Duration) -> bool {
        let new = latency.as_secs_f64();
        let known = self.latencies[weight as usize].get_or_insert(Latency {
            recent: new,
            usual: new,
        });
        known.recent += RECENT_GAIN * (new - known.recent);
        let slow = known.recent > known.usual * SLOW_FACTOR + SLOW_FLOOR_S;
        if !slow {
            known.usual += USUAL_GAIN * (new - known.usual);
        }
        slow
    }

    /// Grows on whole answers while at least half of the limit is used.
    fn progress(&mut self, running: u16) {
        self.troubles = 0;
        self.pause = PAUSE;
        if self.limit >= self.slots || running < self.limit.div_ceil(2) {
            return;
        }
        self.progress += 1;
        if self.progress >= self.pace {
            self.progress = 0;
            self.limit += 1;
        }
    }

    /// The upstream sheds: it is not harmed, but takes less than it is offered.
    fn refused(&mut self, now: Instant) {
        if self.limit > COLD_LIMIT {
            self.limit /= 2;
            self.progress = 0;
            self.cut = Some(now);
        } else {
            self.wait(now);
        }
    }

    fn trouble(&mut self, now: Instant, weight: Weight) -> bool {
        self.troubles += 1;
        if self.limit <= COLD_LIMIT {
            // Slow even alone: that is how the upstream is now.
            if let Some(latency) = &mut self.latencies[weight as usize] {
                latency.usual = latency.usual.max(latency.recent);
            }
            return self.collapse(now);
        }
        self.troubles >= TROUBLES && self.collapse(now)
    }

    fn collapse(&mut self, now: Instant) -> bool {
        let growing = (COLD_LIMIT + 1..self.slots).contains(&self.limit);
        if growing {
            self.pace = (self.pace * 2).min(SLOWEST_PACE_ANSWERS);
        }
        self.restart(now);
        for latency in self.latencies.iter_mut().flatten() {
            latency.recent = latency.usual;
        }
        self.wait(now);
        true
    }

    fn wait(&mut self, now: Instant) {
        self.cut = Some(now);
        self.paused_until = Some(now + self.pause);
        self.pause = (self.pause * 2).min(LONGEST_PAUSE);
    }
}
