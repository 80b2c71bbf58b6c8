//! Time that an upstream takes for a request in a slot.

use std::{collections::VecDeque, time::Duration};

/// Number of the latest requests that are averaged.
const OBSERVED: usize = 32;

/// The longest of the times are left out, one in this many: a few requests take many times as long
/// as others and say nothing about the upstream.
const TRIMMED: usize = 8;

/// Number of requests before there is a figure, and of those that show a change of the upstream.
const RECENT: usize = 8;

/// Time that an upstream takes for a request in a slot: a trimmed mean of its latest requests.
///
/// Load answered: upstreams of one service that differ in speed, and a few requests that take many
/// times as long as the others.
///
/// ```
/// use std::time::Duration;
/// use sassafrasmast_core::flow::agent::ServiceTime;
/// let mut time = ServiceTime::default();
/// for millis in [10, 10, 10, 10, 10, 10, 10] {
///     time.record(Duration::from_millis(millis));
/// }
/// assert_eq!(time.get(), None);
/// time.record(Duration::from_millis(70));
/// assert_eq!(time.get(), Some(Duration::from_millis(10)));
/// ```
#[derive(Debug, Default)]
pub struct ServiceTime {
    times: VecDeque<Duration>,
    mean: Option<Duration>,
}

impl ServiceTime {
    /// Adds the time of a request. Earlier ones are dropped if the latest show that the upstream has
    /// become faster or slower by half.
    pub fn record(&mut self, time: Duration) {
        if self.times.len() == OBSERVED {
            self.times.pop_front();
        }
        self.times.push_back(time);
        self.mean = self.trimmed_mean();
        if let (Some(mean), Some(recent)) = (self.mean, self.recent_median())
            && recent.abs_diff(mean) > mean / 2
        {
            self.times.drain(..self.times.len() - RECENT);
            self.mean = self.trimmed_mean();
        }
    }

    /// The time, `None` until some requests were observed.
    pub fn get(&self) -> Option<Duration> {
        self.mean
    }

    fn trimmed_mean(&self) -> Option<Duration> {
        if self.times.len() < RECENT {
            return None;
        }
        let mut times: Vec<Duration> = self.times.iter().copied().collect();
        times.sort_unstable();
        times.truncate(times.len() - times.len() / TRIMMED);
        let count = u32::try_from(times.len()).ok()?;
        times.iter().sum::<Duration>().checked_div(count)
    }

    /// The median of the latest times, which a few long requests do not move.
    fn recent_median(&self) -> Option<Duration> {
        let earlier = self.times.len().checked_sub(RECENT)?;
        let mut recent: Vec<Duration> = self.times.range(earlier..).copied().collect();
        recent.sort_unstable();
        recent.get(RECENT / 2).copied()
    }
}
