//! Life-cycle state of an agent.

use serde::{Deserialize, Serialize};

/// Life-cycle state of an agent and its upstream, which decides whether it accepts new work.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
pub enum State {
    /// The upstream recently started or collapsed and can handle only little load.
    #[default]
    Cold,
    /// The upstream accepts work up to its limit.
    Ready,
    /// The agent accepts no new work and finishes the work in progress.
    Draining,
    /// The availability zone is out of service, and the agent closes all flows.
    Out,
}

impl State {
    /// Whether an agent in this state accepts new work, that is, flows and requests.
    ///
    /// ```
    /// use sassafrasmast_wire::State;
    /// assert!(State::Cold.takes_work());
    /// assert!(!State::Draining.takes_work());
    /// ```
    pub fn takes_work(self) -> bool {
        matches!(self, Self::Cold | Self::Ready)
    }
}
