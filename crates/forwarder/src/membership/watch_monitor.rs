//! Decides when a watch that delivers nothing is checked by a listing.

use std::time::{Duration, Instant};

use sassafrasmast_store::Revision;

/// Time that a watch has to deliver a change that was seen elsewhere: it polls again within 1.6 s, and
/// a slow store replies within 0.3 s.
pub const DELIVERY_TIME: Duration = Duration::from_secs(2);

/// Largest factor on [`DELIVERY_TIME`] after checks that found nothing: keys that the watch does not
/// cover may change all the time.
const MAX_BACKOFF: u32 = 8;

/// Compares what a watch has delivered with revisions that replies on other connections and frames of
/// other processes show.
///
/// Failure answered: the store's reply to a pending watch is lost. The connection stays open and
/// silent, which looks as if nothing had changed.
#[derive(Debug, Default)]
pub struct WatchMonitor {
    /// Position up to which all changes of the watched keys are known.
    known: Revision,
    /// When the watch is checked, unless it delivers a change before.
    check_at: Option<Instant>,
    /// Checks in a row that found nothing.
    idle_checks: u32,
}

impl WatchMonitor {
    /// Position up to which all changes are known.
    pub fn known(&self) -> Revision {
        self.known
    }

    /// When the watch is to be checked.
    pub fn check_at(&self) -> Option<Instant> {
        self.check_at
    }

    /// Records a listing of the watched keys that is not stale, and whether it showed changes.
    pub fn record_listing(&mut self, revision: Revision, has_changes: bool) {
        let is_idle = self.check_at.take().is_some() && !has_changes;
        self.idle_checks = if is_idle { self.idle_checks + 1 } else { 0 };
        self.known = self.known.max(revision);
    }

    /// Records that the watch has delivered a change. It delivers all up to the store's position at
    /// its reply, so that it is not silent.
    pub fn record_update(&mut self, revision: Revision) {
        self.known = self.known.max(revision);
        self.check_at = None;
        self.idle_checks = 0;
    }

    /// Records that the store is at `revision`, although keys that are read by other means have not
    /// changed. Keys outside the watch may have changed instead, so that checks become rarer while
    /// they find nothing.
    ///
    /// ```
    /// use std::time::Instant;
    /// use sassafrasmast_forwarder::membership::WatchMonitor;
    /// let now = Instant::now();
    /// let mut monitor = WatchMonitor::default();
    /// monitor.record_listing(7, true);
    /// monitor.record_position(now, 7);
    /// assert_eq!(monitor.check_at(), None);
    /// monitor.record_position(now, 8);
    /// assert!(monitor.check_at().is_some());
    /// ```
    pub fn record_position(&mut self, now: Instant, revision: Revision) {
        let factor = 2_u32.saturating_pow(self.idle_checks).min(MAX_BACKOFF);
        self.suspect(now + DELIVERY_TIME * factor, revision);
    }

    /// Records that a peer knows a change up to `revision` that the watch has not delivered.
    pub fn record_peer_change(&mut self, now: Instant, revision: Revision) {
        self.suspect(now + DELIVERY_TIME, revision);
    }

    fn suspect(&mut self, check_at: Instant, revision: Revision) {
        if revision > self.known {
            self.check_at = Some(self.check_at.map_or(check_at, |at| at.min(check_at)));
        }
    }
}
