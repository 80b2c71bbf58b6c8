//! Holds forwarding while the configuration in force may be outdated.
//!
//! A process that was paused, or that heard nothing from anyone for a while, cannot know whether
//! operators took a zone out meanwhile. It forwards nothing until others confirm its version.

use std::{
    sync::{
        Mutex, MutexGuard, PoisonError,
        atomic::{AtomicBool, AtomicU32, AtomicU64, Ordering},
    },
    time::{Duration, Instant},
};

use sassafrasmast_wire::ConfigVersion;

/// Time between two ticks that counts as a pause of this process.
const MIN_PAUSE: Duration = Duration::from_secs(1);

/// Silence of everyone, despite probes, that counts as having lost touch.
const ISOLATED_SILENCE: Duration = Duration::from_secs(3);

/// Unanswered probes needed to have lost touch.
const ISOLATED_PROBES: u32 = 5;

/// Answers that verify the configuration at once.
const SUFFICIENT_ANSWERS: u32 = 3;

/// Time after the first answer in which more answers are awaited.
const ANSWER_WINDOW: Duration = Duration::from_millis(200);

/// Longest hold once somebody answered: a newer configuration that cannot be fetched does not
/// stop the service for ever.
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

/// What was learned during a hold.
#[derive(Debug)]
struct Hold {
    started: Instant,
    first_nonce: u32,
    answers: u32,
    first_answer: Option<Instant>,
    newest_version: ConfigVersion,
    last_probes: Option<Instant>,
}

impl Gate {
    /// An open gate.
    pub(super) fn new(now: Instant) -> Self {
        Self {
            start: now,
            last_tick_us: AtomicU64::new(0),
            last_heard_us: AtomicU64::new(0),
            unanswered_probes: AtomicU32::new(0),
            is_held: AtomicBool::new(false),
            hold: Mutex::new(Hold {
                started: now,
                first_nonce: 0,
                answers: 0,
                first_answer: None,
                newest_version: 0,
                last_probes: None,
            }),
        }
    }

    /// Whether forwarding is held, as last decided.
    pub(super) fn is_held(&self) -> bool {
        self.is_held.load(Ordering::Acquire)
    }

    /// Whether this process was paused since the last tick.
    pub(super) fn was_paused(&self, now: Instant) -> bool {
        self.time_since(now, &self.last_tick_us) > MIN_PAUSE
    }

    /// Whether nobody answers any more.
    pub(super) fn is_isolated(&self, now: Instant) -> bool {
        self.unanswered_probes.load(Ordering::Relaxed) >= ISOLATED_PROBES
            && self.time_since(now, &self.last_heard_us) > ISOLATED_SILENCE
    }

    /// Notes a tick.
    pub(super) fn record_tick(&self, now: Instant) {
        self.last_tick_us
            .fetch_max(self.elapsed_us(now), Ordering::AcqRel);
    }

    /// Notes a probe that was sent.
    pub(super) fn record_probe(&self) {
        self.unanswered_probes.fetch_add(1, Ordering::Relaxed);
    }

    /// Starts a hold that ends with answers to probes numbered `nonce` or later. Returns `false`
    /// if forwarding was already held; a pause then starts the hold anew.
    pub(super) fn start_hold(&self, now: Instant, nonce: u32) -> bool {
        let mut hold = self.lock();
        hold.started = now;
        hold.first_nonce = nonce;
        hold.answers = 0;
        hold.first_answer = None;
        hold.last_probes = None;
        let started = !self.is_held.swap(true, Ordering::AcqRel);
        drop(hold);
        self.record_tick(now);
        started
    }

    /// Notes a frame of a known process with its config version.
    pub(super) fn record_frame(&self, now: Instant, version: ConfigVersion) {
        self.last_heard_us
            .fetch_max(self.elapsed_us(now), Ordering::Relaxed);
        self.unanswered_probes.store(0, Ordering::Relaxed);
        if self.is_held() {
            let mut hold = self.lock();
            hold.newest_version = hold.newest_version.max(version);
        }
    }

    /// Notes the answer to a probe.
    pub(super) fn record_answer(&self, now: Instant, nonce: u32) {
        if !self.is_held() {
            return;
        }
        let mut hold = self.lock();
        if nonce.wrapping_sub(hold.first_nonce) <= u32::MAX / 2 {
            hold.answers += 1;
            hold.first_answer.get_or_insert(now);
        }
    }

    /// Whether it is time to ask other processes for their version.
    pub(super) fn probes_due(&self, now: Instant) -> bool {
        let mut hold = self.lock();
        let due = |at| now.saturating_duration_since(at) >= ANSWER_WINDOW;
        let probes_due = hold.last_probes.is_none_or(due);
        if probes_due {
            hold.last_probes = Some(now);
        }
        probes_due
    }

    /// Ends the hold if version `local_version` was verified or enough time passed. Returns whether it
    /// ended now.
    pub(super) fn release(&self, now: Instant, local_version: ConfigVersion) -> bool {
        if !self.is_held() {
            return false;
        }
        let hold = self.lock();
        let Some(first) = hold.first_answer else {
            return false;
        };
        let waited = now.saturating_duration_since(first) >= ANSWER_WINDOW;
        let verified =
            local_version >= hold.newest_version && (hold.answers >= SUFFICIENT_ANSWERS || waited);
        let expired = now.saturating_duration_since(hold.started) >= MAX_HOLD;
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
