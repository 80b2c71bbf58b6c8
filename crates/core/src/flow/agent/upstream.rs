//! What an agent knows of its upstream.

use std::time::{Duration, Instant};

use sassafrasmast_wire::Incarnation;

use super::Announcement;
use crate::flow::State;

/// How often a silent upstream gets one opening packet to show whether it answers again.
const TRY_EVERY: Duration = Duration::from_millis(300);

/// Opening packets without an answer in a row before the upstream counts as silent: one may be
/// lost on the way.
const LOST_IN_A_ROW: u32 = 2;

/// What an announcement changed.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Change {
    /// Nothing that others need to know at once.
    Nothing,
    /// It was late or of an earlier start, and is passed over.
    Stale,
    /// The first one that this agent hears.
    First,
    /// The upstream has started anew.
    Restarted,
    /// The upstream leaves.
    Draining,
    /// The upstream has left.
    Left,
}

/// What an agent knows of its upstream.
#[derive(Debug, Default)]
pub struct Upstream {
    id: String,
    started: Incarnation,
    sequence: u64,
    slots: u16,
    draining: bool,
    gone: bool,
    cold_until: Option<Instant>,
    known_from_start: bool,
    lost_in_a_row: u32,
    tried_at: Option<Instant>,
    heard_at: Option<Instant>,
}

impl Upstream {
    /// The upstream's start, 0 while it was not heard.
    pub fn started(&self) -> Incarnation {
        self.started
    }

    /// Its name, empty while it was not heard.
    pub fn id(&self) -> &str {
        &self.id
    }

    /// Requests that it handles at once.
    pub fn slots(&self) -> u16 {
        self.slots
    }

    /// Whether it has left or was never there.
    pub fn is_gone(&self) -> bool {
        self.gone
    }

    /// Whether this agent has seen all flows of this start.
    pub fn is_known_from_start(&self) -> bool {
        self.known_from_start
    }

    /// Whether it takes new flows.
    pub fn state(&self, now: Instant) -> State {
        if self.gone {
            State::Gone
        } else if self.draining {
            State::Draining
        } else if self.lost_in_a_row >= LOST_IN_A_ROW {
            State::Silent
        } else if self.started == 0 {
            State::Unknown
        } else if self.cold_until.is_some_and(|until| now < until) {
            State::Cold
        } else {
            State::Ready
        }
    }

    /// Takes an announcement.
    pub fn announce(&mut self, now: Instant, announcement: &Announcement) -> Change {
        let first = self.started == 0;
        let is_earlier = announcement.started < self.started
            || (announcement.started == self.started && announcement.sequence <= self.sequence);
        if !first && is_earlier {
            return Change::Stale;
        }
        self.heard_at = Some(now);
        self.lost_in_a_row = 0;
        let restarted = !first && announcement.started > self.started;
        if first || restarted {
            self.known_from_start = restarted || announcement.sequence <= 1;
            self.gone = false;
            self.draining = false;
        }
        let starts_draining = announcement.draining && !self.draining;
        self.id.clone_from(&announcement.id);
        self.started = announcement.started;
        self.sequence = announcement.sequence;
        self.slots = announcement.slots;
        self.draining = announcement.draining;
        self.cold_until = (!announcement.cold_left.is_zero()).then(|| now + announcement.cold_left);
        match (first, restarted, starts_draining) {
            (_, true, _) => Change::Restarted,
            (true, ..) => Change::First,
            (.., true) => Change::Draining,
            _ => Change::Nothing,
        }
    }

    /// Takes a farewell.
    pub fn deregister(&mut self, id: &str) -> Change {
        if self.id != id {
            return Change::Stale;
        }
        self.gone = true;
        Change::Left
    }

    /// A packet came from it.
    pub fn heard(&mut self, now: Instant) {
        self.heard_at = Some(now);
        self.lost_in_a_row = 0;
    }

    /// An opening packet went to it.
    pub fn opening_sent(&mut self, now: Instant) {
        self.tried_at = Some(now);
    }

    /// An opening packet was neither answered nor given back.
    pub fn opening_lost(&mut self, now: Instant) {
        let heard_since = self
            .heard_at
            .is_some_and(|at| now.saturating_duration_since(at) < super::OPENING_TIMEOUT);
        if !heard_since {
            self.lost_in_a_row = self.lost_in_a_row.saturating_add(1);
        }
    }

    /// Whether a silent upstream may be tried with one opening packet.
    pub fn may_try(&self, now: Instant) -> bool {
        self.tried_at
            .is_none_or(|at| now.saturating_duration_since(at) >= TRY_EVERY)
    }
}
