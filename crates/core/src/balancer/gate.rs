//! Stops forwarding (a hold) while the configuration in force may be outdated.
//!
//! A balancer that was paused, or that received no frame for some time, may have missed that an
//! operator took a zone out of service. It forwards nothing until the answers of other processes
//! show that no newer configuration exists, or until a maximum time has passed.

use std::{
    sync::{
        Mutex, MutexGuard, PoisonError,
        atomic::{AtomicBool, AtomicU32, AtomicU64, Ordering},
    },
    time::{Duration, Instant},
};

use sassafrasmast_wire::ConfigVersion;

/// A longer time since the last tick counts as a pause of this process.
const MIN_PAUSE: Duration = Duration::from_secs(1);

/// Silence of all other processes, despite probes, after which this process counts as isolated.
const ISOLATION_SILENCE: Duration = Duration::from_secs(3);

/// Minimum number of unanswered probes for this process to count as isolated.
const ISOLATION_MIN_PROBES: u32 = 5;

/// Answers that verify the configuration without waiting for more.
const SUFFICIENT_ANSWERS: u32 = 3;

/// Time to wait for further answers after the first one, and between two rounds of probes.
const ANSWER_WINDOW: Duration = Duration::from_millis(200);

/// Maximum duration of a hold once any process has answered, so that a newer configuration that
/// cannot be fetched does not stop the service for ever.
const MAX_HOLD: Duration = Duration::from_secs(5);

/// Decides whether datagrams may be forwarded.
#[derive(Debug)]
pub(super) struct Gate {
    start: Instant,
    last_tick_us: AtomicU64,
    last_heard_us: AtomicU64,
    unanswered_probes: AtomicU32,
    is_held: AtomicBool,
    hold: Mutex<Hold>,
}

/// Start of a hold and the answers received since.
#[derive(Debug)]
struct Hold {
    started_at: Instant,
    first_nonce: u32,
    answers: u32,
    first_answer_at: Option<Instant>,
    newest_version: ConfigVersion,
    last_probes_at: Option<Instant>,
}

impl Gate {
    /// Creates a gate that does not hold forwarding.
    pub(super) fn new(now: Instant) -> Self {
        Self {
            start: now,
            last_tick_us: AtomicU64::new(0),
            last_heard_us: AtomicU64::new(0),
            unanswered_probes: AtomicU32::new(0),
            is_held: AtomicBool::new(false),
            hold: Mutex::new(Hold {
                started_at: now,
                first_nonce: 0,
                answers: 0,
                first_answer_at: None,
                newest_version: 0,
                last_probes_at: None,
            }),
        }
    }

    /// Whether forwarding is held.
    pub(super) fn is_held(&self) -> bool {
        self.is_held.load(Ordering::Acquire)
    }

    /// Whether the last tick is so long ago that this process must have been paused.
    pub(super) fn was_paused(&self, now: Instant) -> bool {
        self.time_since(now, &self.last_tick_us) > MIN_PAUSE
    }

    /// Whether probes go unanswered and no frame arrives any more.
    pub(super) fn is_isolated(&self, now: Instant) -> bool {
        self.unanswered_probes.load(Ordering::Relaxed) >= ISOLATION_MIN_PROBES
            && self.time_since(now, &self.last_heard_us) > ISOLATION_SILENCE
    }

    /// Records a tick.
    pub(super) fn record_tick(&self, now: Instant) {
        self.last_tick_us
            .fetch_max(self.elapsed_us(now), Ordering::AcqRel);
    }

    /// Records a probe that was sent.
    pub(super) fn record_probe(&self) {
        self.unanswered_probes.fetch_add(1, Ordering::Relaxed);
    }

    /// Starts a hold, or restarts the present one. Only answers to probes numbered `nonce` or later
    /// count towards its end. Returns `false` if forwarding was already held.
    pub(super) fn start_hold(&self, now: Instant, nonce: u32) -> bool {
        let mut hold = self.lock();
        hold.started_at = now;
        hold.first_nonce = nonce;
        hold.answers = 0;
        hold.first_answer_at = None;
        hold.last_probes_at = None;
        let started = !self.is_held.swap(true, Ordering::AcqRel);
        drop(hold);
        self.record_tick(now);
        started
    }

    /// Records a frame with config version `version` from an admitted agent or a trusted balancer.
    pub(super) fn record_frame(&self, now: Instant, version: ConfigVersion) {
        self.last_heard_us
            .fetch_max(self.elapsed_us(now), Ordering::Relaxed);
        self.unanswered_probes.store(0, Ordering::Relaxed);
        if self.is_held() {
            let mut hold = self.lock();
            hold.newest_version = hold.newest_version.max(version);
        }
    }

    /// Records the answer to probe `nonce`. Answers to probes from before the hold are ignored.
    pub(super) fn record_answer(&self, now: Instant, nonce: u32) {
        if !self.is_held() {
            return;
        }
        let mut hold = self.lock();
        if nonce.wrapping_sub(hold.first_nonce) <= u32::MAX / 2 {
            hold.answers += 1;
            hold.first_answer_at.get_or_insert(now);
        }
    }

    /// Starts the next round of probes for the config versions of other processes, if it is due.
    /// Returns whether it did; the probes must then be sent.
    pub(super) fn start_probe_round(&self, now: Instant) -> bool {
        let mut hold = self.lock();
        let due = |at| now.saturating_duration_since(at) >= ANSWER_WINDOW;
        let is_due = hold.last_probes_at.is_none_or(due);
        if is_due {
            hold.last_probes_at = Some(now);
        }
        is_due
    }

    /// Ends the hold if `local_version` was verified, or if the hold lasted [`MAX_HOLD`] and any
    /// process has answered. Returns whether this call ended it.
    pub(super) fn try_end_hold(&self, now: Instant, local_version: ConfigVersion) -> bool {
        if !self.is_held() {
            return false;
        }
        let hold = self.lock();
        let Some(first) = hold.first_answer_at else {
            return false;
        };
        let waited = now.saturating_duration_since(first) >= ANSWER_WINDOW;
        let verified =
            local_version >= hold.newest_version && (hold.answers >= SUFFICIENT_ANSWERS || waited);
        let expired = now.saturating_duration_since(hold.started_at) >= MAX_HOLD;
        if verified || expired {
            self.is_held.store(false, Ordering::Release);
        }
        verified || expired
    }

    fn lock(&self) -> MutexGuard<'_, Hold> {
        self.hold.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn elapsed_us(&self, now: Instant) -> u64 {
        now.saturating_duration_since(self.start).as_micros() as u64
    }

    fn time_since(&self, now: Instant, at: &AtomicU64) -> Duration {
        Duration::from_micros(
            self.elapsed_us(now)
                .saturating_sub(at.load(Ordering::Acquire)),
        )
    }
}
