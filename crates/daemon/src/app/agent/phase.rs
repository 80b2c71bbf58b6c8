//! Phases of an agent's life cycle.

use sassafrasmast_wire::State;

/// Phase of an agent, determined by the configuration and by signals.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Phase {
    /// There is no configuration, or the upstream is not admitted.
    NotReady,
    /// Accepts requests.
    Serving,
    /// Accepts no new requests and finishes those that run.
    Draining,
    /// The availability zone is taken out: all flows are closed and packets are dropped.
    Out,
}

impl Phase {
    /// The state reported to balancers: while [`Phase::Serving`], `core_state`, which is that of
    /// the agent state machine. [`Phase::NotReady`] is reported as draining, so that balancers
    /// place no flows here.
    pub fn state(self, core_state: State) -> State {
        match self {
            Self::Serving => core_state,
            Self::NotReady | Self::Draining => State::Draining,
            Self::Out => State::Out,
        }
    }
}
