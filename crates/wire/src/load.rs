//! The load an agent reports on its frames.

use std::time::Duration;

use serde::{Deserialize, Serialize};

use crate::State;

/// A point-in-time report of one agent's load, small enough to ride on every frame.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Load {
    /// Willingness to take new work.
    pub state: State,
    /// Requests running at the upstream.
    pub running: u16,
    /// Requests waiting in the agent's queue.
    pub queued: u16,
    /// Requests the agent currently lets run at once.
    pub limit: u16,
    /// Open flows (QUIC connections).
    pub flows: u32,
    /// The agent's own prediction of how long the caller of a small request that arrives now waits
    /// for the answer, in microseconds.
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
