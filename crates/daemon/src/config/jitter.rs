//! Pauses that differ between processes, so that they do not call all at once.

use std::time::Duration;

use rand::Rng;

/// Between half of `pause` and all of it.
pub(super) fn jittered(pause: Duration) -> Duration {
    pause.mul_f64(rand::rng().random_range(0.5..1.0))
}
