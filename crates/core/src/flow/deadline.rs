//! Deadlines from durations that another process states.

use std::time::{Duration, Instant};

/// Longest distance of a deadline. One further away makes no difference to a process, and an [`Instant`]
/// may not be able to hold it.
const MAX_DISTANCE: Duration = Duration::from_secs(365 * 24 * 3_600);

/// The point in time `after` from `now`, or a year from `now` if that is earlier.
///
/// ```
/// use std::time::{Duration, Instant};
/// use sassafrasmast_core::flow::deadline;
/// let now = Instant::now();
/// assert_eq!(deadline(now, Duration::from_secs(2)), now + Duration::from_secs(2));
/// assert!(deadline(now, Duration::MAX) > now);
/// ```
pub fn deadline(now: Instant, after: Duration) -> Instant {
    now + after.min(MAX_DISTANCE)
}
