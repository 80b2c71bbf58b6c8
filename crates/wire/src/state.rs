//! What an agent says about its willingness to take new work.

use serde::{Deserialize, Serialize};

/// Life-cycle state of an agent and its upstream.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
pub enum State {
    /// The upstream recently started or collapsed and bears little load.
    #[default]
    Cold,
    /// The upstream takes work up to its limit.
    Ready,
    /// No new work; open work is finished.
    Draining,
    /// The availability zone is out: all flows are given up.
    Out,
}

impl State {
    /// Whether new flows may be placed here.
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
