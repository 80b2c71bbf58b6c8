//! How long the upstreams of each service take for a request.

use std::{
    collections::HashMap,
    time::{Duration, Instant},
};

use crate::flow::{Member, ServiceName};

/// Interval at which the figures are compared.
const REFRESH_INTERVAL: Duration = Duration::from_millis(200);

/// Upstreams of a service whose times differ from the median by at most one part in this many count
/// as equally fast: the figures have noise of a few percent.
const EVEN_DIVISOR: u32 = 4;

/// How long the upstreams of one service take for a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Speed {
    /// The median of the known times, which is taken for the others.
    pub median: Duration,
    /// Whether all known times are about the same.
    pub is_even: bool,
}

impl Speed {
    /// The speed that follows from known times, `None` if there are none.
    ///
    /// ```
    /// use std::time::Duration;
    /// use sassafrasmast_core::flow::balancer::Speed;
    /// let ms = Duration::from_millis;
    /// let speed = Speed::of(vec![ms(24), ms(58), ms(24)]).unwrap();
    /// assert_eq!((speed.median, speed.is_even), (ms(24), false));
    /// assert!(Speed::of(vec![ms(24), ms(28)]).unwrap().is_even);
    /// ```
    pub fn of(mut times: Vec<Duration>) -> Option<Self> {
        times.sort_unstable();
        let median = *times.get(times.len() / 2)?;
        let is_close = |time: &Duration| time.abs_diff(median) <= median / EVEN_DIVISOR;
        Some(Self {
            median,
            is_even: times.iter().all(is_close),
        })
    }
}

/// How long the upstreams of each service take for a request.
#[derive(Debug, Default)]
pub struct Speeds {
    by_service: HashMap<ServiceName, Speed>,
    refreshed_at: Option<Instant>,
}

impl Speeds {
    /// Compares the figures of `members` again, unless this was done just now.
    pub fn refresh<'a>(&mut self, now: Instant, members: impl Iterator<Item = &'a Member>) {
        let is_recent = |at: Instant| now.saturating_duration_since(at) < REFRESH_INTERVAL;
        if self.refreshed_at.is_some_and(is_recent) {
            return;
        }
        self.refreshed_at = Some(now);
        let mut times: HashMap<&ServiceName, Vec<Duration>> = HashMap::new();
        for member in members {
            if let Some(time) = member.service_time(now) {
                times.entry(&member.service).or_default().push(time);
            }
        }
        self.by_service = times
            .into_iter()
            .filter_map(|(service, times)| Some((service.clone(), Speed::of(times)?)))
            .collect();
    }

    /// The speed of a service's upstreams, `None` if no time is known.
    pub fn get(&self, service: &str) -> Option<Speed> {
        self.by_service.get(service).copied()
    }
}
