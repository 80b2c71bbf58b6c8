//! Load that an agent reports in its frames.

use std::time::Duration;

use serde::{Deserialize, Serialize};

use crate::State;

/// Load of one agent at one time. Small enough to be part of every frame from an agent to a
/// balancer.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Load {
    /// State of the agent, which decides whether it accepts new work.
    pub state: State,
    /// Requests running at the upstream.
    pub running: u16,
    /// Requests waiting in the agent's queue.
    pub queued: u16,
    /// Current limit on the requests that the agent lets run concurrently.
    pub limit: u16,
    /// Open flows (QUIC connections).
    pub flows: u32,
    /// The agent's prediction, in microseconds, of how long the caller of a small request that
    /// arrives now waits for the answer.
    pub wait_us: u32,
}

impl Load {
    /// The predicted wait as a [`Duration`].
    ///
    /// ```
    /// use std::time::Duration;
    /// use sassafrasmast_wire::Load;
    /// let load = Load { wait_us: 1500, ..Load::default() };
    /// assert_eq!(load.wait(), Duration::from_micros(1500));
    /// ```
    pub fn wait(&self) -> Duration {
        Duration::from_micros(u64::from(self.wait_us))
    }
}
