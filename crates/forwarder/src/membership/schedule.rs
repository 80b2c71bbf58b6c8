//! Decides how a balancer learns of agents.

use std::time::{Duration, Instant};

/// Time for which agents are watched after the store's first answer, after it answers again or has
/// come back from an older copy, and after the balancer needed a list that is complete at present:
/// agents write lost entries again within two seconds, and stale replies may be three seconds old.
pub const SETTLE_TIME: Duration = Duration::from_secs(5);

/// Interval between stale listings. An upstream that was started has to be in use within seconds.
pub const LISTING_INTERVAL: Duration = Duration::from_secs(2);

/// Listings may use one part in this many of the link's capacity.
const LINK_DIVISOR: u64 = 50;

/// Longest time for which agents are watched because a service has no upstream: operators may have
/// routed to a service long before they start its upstreams.
pub const MAX_STARVED_TIME: Duration = Duration::from_secs(60);

/// Requests for a complete list within [`SETTLE_TIME`] from which on agents are watched instead of
/// listed for each: a lost flow or two cost less by listings, those of a lost zone by a watch.
pub const WATCHED_REQUESTS: u32 = 3;

/// Delay before a failed stale listing is repeated.
pub const RETRY_DELAY: Duration = Duration::from_millis(300);

/// Failed stale listings in a row after which the store counts as lost. A single reply may be lost
/// while the link is busy.
const MAX_FAILURES: u32 = 2;

/// Part by which the interval of one process may differ from [`LISTING_INTERVAL`], so that processes
/// that started together do not list at the same time.
const SPREAD: f64 = 0.1;

/// From what a balancer learns of agents.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Source {
    /// A pending watch of all keys, which delivers each change.
    Watch,
    /// Listings of the agents' keys that may be some seconds old and cost less.
    StaleListings,
}

impl Source {
    /// Name in log lines.
    pub fn as_str(self) -> &'static str {
        match self {
            Self::Watch => "watch",
            Self::StaleListings => "stale_listings",
        }
    }
}

/// Decides whether a balancer watches agents or lists them, and when. Addresses the load of many
/// balancers while agents are replaced: each change ends each pending watch, which is a priced call.
#[derive(Debug, Clone)]
pub struct Schedule {
    link_bytes_per_s: u64,
    /// Factor on the interval, near 1.
    spread: f64,
    /// Whether the store has been lost, or has not answered yet.
    is_lost: bool,
    /// The list of agents has to become complete until then.
    settled_at: Option<Instant>,
    /// Since when a service has had no upstream.
    starved_since: Option<Instant>,
    /// When the next listing is due; at once if none was made.
    due_at: Option<Instant>,
    /// Listings that failed in a row.
    failures: u32,
    /// When a complete list was last requested, and how often since the last pause of
    /// [`SETTLE_TIME`].
    last_request: Option<(Instant, u32)>,
}

impl Schedule {
    /// The schedule of a process behind a link of this capacity that has not reached the store yet.
    /// `phase` from 0 to 1 differs between processes.
    pub fn new(link_bytes_per_s: u64, phase: f64) -> Self {
        Self {
            link_bytes_per_s,
            spread: 1.0 + SPREAD * (2.0 * phase.clamp(0.0, 1.0) - 1.0),
            is_lost: true,
            settled_at: None,
            starved_since: None,
            due_at: None,
            failures: 0,
            last_request: None,
        }
    }

    /// Records that the store does not answer.
    pub fn lose_store(&mut self) {
        self.is_lost = true;
        self.failures = 0;
    }

    /// Records that the store answers for the first time or again, or has come back from an older
    /// copy.
    pub fn regain_store(&mut self, now: Instant) {
        self.is_lost = false;
        self.failures = 0;
        self.settle(now);
    }

    /// Records whether a service has no upstream.
    pub fn set_starved(&mut self, now: Instant, is_starved: bool) {
        if is_starved {
            self.starved_since.get_or_insert(now);
        } else if self.starved_since.take().is_some() {
            // The service's other upstreams are likely to follow.
            self.settle(now);
        }
    }

    /// Records that the balancer needs a list of agents that is complete at present.
    pub fn record_request(&mut self, now: Instant) {
        let before = self
            .last_request
            .filter(|(at, _)| now.saturating_duration_since(*at) < SETTLE_TIME);
        let count = before.map_or(0, |(_, count)| count) + 1;
        self.last_request = Some((now, count));
        if count >= WATCHED_REQUESTS {
            self.settle(now);
        }
    }

    fn settle(&mut self, now: Instant) {
        self.settled_at = Some(now + SETTLE_TIME);
    }

    /// The source of the list of agents.
    pub fn source(&self, now: Instant) -> Source {
        if self.is_lost || self.watch_ends_at().is_some_and(|at| now < at) {
            Source::Watch
        } else {
            Source::StaleListings
        }
    }

    /// When the watch of agents ends if nothing happens until then.
    pub fn watch_ends_at(&self) -> Option<Instant> {
        let starved = self.starved_since.map(|since| since + MAX_STARVED_TIME);
        self.settled_at.max(starved)
    }

    /// When the next stale listing is due; `None` for at once.
    pub fn listing_due_at(&self) -> Option<Instant> {
        self.due_at
    }

    /// Records that a listing of about `bytes` has ended.
    pub fn record_listing(&mut self, now: Instant, bytes: u64) {
        self.failures = 0;
        let micros_per_byte =
            1_000_000.0 * LINK_DIVISOR as f64 / self.link_bytes_per_s.max(1) as f64;
        let on_link = Duration::from_micros((bytes as f64 * micros_per_byte) as u64);
        self.due_at = Some(now + on_link.max(LISTING_INTERVAL.mul_f64(self.spread)));
    }

    /// Records that a stale listing has failed. Returns whether the store counts as lost.
    pub fn record_failure(&mut self, now: Instant) -> bool {
        self.failures += 1;
        self.due_at = Some(now + RETRY_DELAY);
        self.failures >= MAX_FAILURES
    }
}
