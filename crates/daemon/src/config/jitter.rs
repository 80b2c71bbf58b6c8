//! Random pauses, so that processes don't make their calls at the same time.

use std::time::Duration;

use rand::Rng;

/// A random duration between half of `pause` and `pause`.
pub(super) fn jittered(pause: Duration) -> Duration {
    pause.mul_f64(rand::rng().random_range(0.5..1.0))
}
