//! Where an agent is in its life.

use sassafrasmast_wire::State;

/// Decided by the configuration and by signals.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Phase {
    /// No configuration, or the upstream is not admitted.
    NotReady,
    /// Takes work.
    Serving,
    /// Takes no new work and finishes what runs.
    Draining,
    /// The availability zone is out: all flows are closed and packets dropped.
    Out,
}

impl Phase {
    /// The state told to balancers; `serving` is the decisions' own while work is taken.
    pub fn state(self, serving: State) -> State {
        match self {
            Self::Serving => serving,
            Self::NotReady | Self::Draining => State::Draining,
            Self::Out => State::Out,
        }
    }
}
