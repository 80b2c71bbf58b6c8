//! How current the list of agents is.

use std::time::{Duration, Instant};

/// Interval at which the list is requested again while searches wait for it: one request for all
/// searches that ended meanwhile, and short beside a client's pauses between retransmissions.
const REQUEST_INTERVAL: Duration = Duration::from_millis(40);

/// How current the list of agents is.
///
/// Load answered: upstreams are replaced while routers move flows to other balancers. Another
/// balancer may have opened a flow at an agent that this one has not heard of yet, so that all agents
/// known here deny the flow. An agent is listed before it gets flows, so a list from after the flow's
/// packet names its owner. Only an answer of the store proves that a list is complete: a reply that does
/// not come may be late or lost, and may be the one that names the owner.
#[derive(Debug, Default)]
pub struct Listing {
    /// The list is complete as of this time.
    confirmed_at: Option<Instant>,
    last_request_at: Option<Instant>,
    /// Whether a search waits for a list for which no request was made since.
    is_wanted: bool,
}

impl Listing {
    /// Records that the list is complete as of `at`.
    pub fn confirm(&mut self, at: Instant) {
        self.confirmed_at = self.confirmed_at.max(Some(at));
    }

    /// Whether the list is known to be complete as of `at`.
    ///
    /// ```
    /// use std::time::{Duration, Instant};
    /// use sassafrasmast_core::flow::balancer::Listing;
    /// let now = Instant::now();
    /// let mut listing = Listing::default();
    /// assert!(!listing.covers(now));
    /// listing.confirm(now);
    /// assert!(listing.covers(now));
    /// assert!(!listing.covers(now + Duration::from_millis(1)));
    /// ```
    pub fn covers(&self, at: Instant) -> bool {
        self.confirmed_at >= Some(at)
    }

    /// Records that a search waits for the list.
    pub fn want(&mut self) {
        self.is_wanted = true;
    }

    /// Whether the store is to be asked for the list now.
    pub fn take_request(&mut self, now: Instant) -> bool {
        let is_due = self
            .last_request_at
            .is_none_or(|at| now.saturating_duration_since(at) >= REQUEST_INTERVAL);
        let is_taken = is_due && self.is_wanted;
        if is_taken {
            self.last_request_at = Some(now);
            self.is_wanted = false;
        }
        is_taken
    }
}
