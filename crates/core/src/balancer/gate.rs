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
const PAUSE: Duration = Duration::from_secs(1);

/// Silence of everyone, despite probes, that counts as having lost touch.
const LOST_TOUCH: Duration = Duration::from_secs(3);

/// Unanswered probes needed to have lost touch.
const LOST_TOUCH_PROBES: u32 = 5;

/// Answers that verify the configuration at once.
const ENOUGH_ANSWERS: u32 = 3;

/// Time after the first answer in which more answers are awaited.
const ANSWER_WAIT: Duration = Duration::from_millis(200);

/// Longest hold once somebody answered: a newer configuration that cannot be fetched does not
/// stop the service for ever.
const MAX_HOLD: Duration = Duration::from_secs(5);

/// Decides whether datagrams may be forwarded.
#[derive(Debug)]
pub(super) struct Gate {
    start: Instant,
    ticked: AtomicU64,
    heard: AtomicU64,
    unanswered: AtomicU32,
    held: AtomicBool,
    hold: Mutex<Hold>,
}

/// What was learned during a hold.
#[derive(Debug)]
struct Hold {
    since: Instant,
    nonce: u32,
    answers: u32,
    first_answer: Option<Instant>,
    newest: ConfigVersion,
    asked: Option<Instant>,
}

impl Gate {
    /// An open gate.
    pub(super) fn new(now: Instant) -> Self {
        Self {
            start: now,
            ticked: AtomicU64::new(0),
            heard: AtomicU64::new(0),
            unanswered: AtomicU32::new(0),
            held: AtomicBool::new(false),
            hold: Mutex::new(Hold {
                since: now,
                nonce: 0,
                answers: 0,
                first_answer: None,
                newest: 0,
                asked: None,
            }),
        }
    }

    /// Whether forwarding is held, as last decided.
    pub(super) fn is_held(&self) -> bool {
        self.held.load(Ordering::Acquire)
    }

    /// Whether this process was paused since the last tick.
    pub(super) fn was_paused(&self, now: Instant) -> bool {
        self.since(now, &self.ticked) > PAUSE
    }

    /// Whether nobody answers any more.
    pub(super) fn lost_touch(&self, now: Instant) -> bool {
        self.unanswered.load(Ordering::Relaxed) >= LOST_TOUCH_PROBES
            && self.since(now, &self.heard) > LOST_TOUCH
    }

    /// Notes a tick.
    pub(super) fn tick(&self, now: Instant) {
        self.ticked.fetch_max(self.micros(now), Ordering::AcqRel);
    }

    /// Notes a probe that was sent.
    pub(super) fn probed(&self) {
        self.unanswered.fetch_add(1, Ordering::Relaxed);
    }

    /// Starts a hold that ends with answers to probes numbered `nonce` or later. Returns `false`
    /// if forwarding was already held; a pause then starts the hold anew.
    pub(super) fn hold(&self, now: Instant, nonce: u32) -> bool {
        let mut hold = self.lock();
        hold.since = now;
        hold.nonce = nonce;
        hold.answers = 0;
        hold.first_answer = None;
        hold.asked = None;
        let started = !self.held.swap(true, Ordering::AcqRel);
        drop(hold);
        self.tick(now);
        started
    }

    /// Notes a frame of a known process with its config version.
    pub(super) fn heard(&self, now: Instant, version: ConfigVersion) {
        self.heard.fetch_max(self.micros(now), Ordering::Relaxed);
        self.unanswered.store(0, Ordering::Relaxed);
        if self.is_held() {
            let mut hold = self.lock();
            hold.newest = hold.newest.max(version);
        }
    }

    /// Notes the answer to a probe.
    pub(super) fn answered(&self, now: Instant, nonce: u32) {
        if !self.is_held() {
            return;
        }
        let mut hold = self.lock();
        if nonce.wrapping_sub(hold.nonce) <= u32::MAX / 2 {
            hold.answers += 1;
            hold.first_answer.get_or_insert(now);
        }
    }

    /// Whether it is time to ask other processes for their version.
    pub(super) fn asks(&self, now: Instant) -> bool {
        let mut hold = self.lock();
        let due = |at| now.saturating_duration_since(at) >= ANSWER_WAIT;
        let asks = hold.asked.is_none_or(due);
        if asks {
            hold.asked = Some(now);
        }
        asks
    }

    /// Ends the hold if version `ours` was verified or enough time passed. Returns whether it
    /// ended now.
    pub(super) fn release(&self, now: Instant, ours: ConfigVersion) -> bool {
        if !self.is_held() {
            return false;
        }
        let hold = self.lock();
        let Some(first) = hold.first_answer else {
            return false;
        };
        let waited = now.saturating_duration_since(first) >= ANSWER_WAIT;
        let verified = ours >= hold.newest && (hold.answers >= ENOUGH_ANSWERS || waited);
        let expired = now.saturating_duration_since(hold.since) >= MAX_HOLD;
        if verified || expired {
            self.held.store(false, Ordering::Release);
        }
        verified || expired
    }

    fn lock(&self) -> MutexGuard<'_, Hold> {
        self.hold.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn micros(&self, now: Instant) -> u64 {
        now.saturating_duration_since(self.start).as_micros() as u64
    }

    fn since(&self, now: Instant, at: &AtomicU64) -> Duration {
        Duration::from_micros(self.micros(now).saturating_sub(at.load(Ordering::Acquire)))
    }
}
