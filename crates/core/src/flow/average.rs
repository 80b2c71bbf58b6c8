//! Moving average of durations.

use std::time::Duration;

/// A new duration's weight is the reciprocal of this: the average follows a change within some ten
/// requests.
const AVERAGED: u32 = 8;

/// Moving average of durations.
///
/// ```
/// use std::time::Duration;
/// use sassafrasmast_core::flow::average::Average;
/// let mut average = Average::default();
/// assert_eq!(average.get(), None);
/// average.add(Duration::from_millis(8));
/// average.add(Duration::from_millis(16));
/// assert_eq!(average.get(), Some(Duration::from_millis(9)));
/// ```
#[derive(Debug, Default)]
pub struct Average {
    value: Option<Duration>,
}

impl Average {
    /// Adds a duration.
    pub fn add(&mut self, duration: Duration) {
        self.value = Some(match self.value {
            None => duration,
            Some(before) => (before * (AVERAGED - 1) + duration) / AVERAGED,
        });
    }

    /// The average, `None` if nothing was added.
    pub fn get(&self) -> Option<Duration> {
        self.value
    }
}
