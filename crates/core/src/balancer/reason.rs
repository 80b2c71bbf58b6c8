//! Why a datagram was dropped.

/// The closed list of reasons.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Reason {
    /// Shorter than its header says, or than any QUIC packet.
    Truncated,
    /// Larger than fits into a frame.
    Oversize,
    /// Not a QUIC packet a caller may send, or its id was not sealed by this fleet.
    Foreign,
    /// The id belongs to another service than the address.
    OtherService,
    /// No configuration yet, or the service is not in it.
    NotReady,
    /// Forwarding is held until the configuration is verified.
    Held,
    /// The agent's availability zone is out.
    ZoneOut,
    /// The agent was removed and the packet cannot be reset.
    Removed,
    /// The agent is dead and the packet cannot be reset.
    Dead,
    /// No agent takes new flows.
    NoAgent,
    /// Handed back too often.
    Attempts,
    /// Resets are sent at a bounded rate.
    ResetLimit,
}

impl Reason {
    /// All reasons.
    pub const ALL: [Self; 12] = [
        Self::Truncated,
        Self::Oversize,
        Self::Foreign,
        Self::OtherService,
        Self::NotReady,
        Self::Held,
        Self::ZoneOut,
        Self::Removed,
        Self::Dead,
        Self::NoAgent,
        Self::Attempts,
        Self::ResetLimit,
    ];

    /// Name used as a metric's label.
    ///
    /// ```
    /// use sassafrasmast_core::balancer::Reason;
    /// assert_eq!(Reason::ZoneOut.name(), "zone-out");
    /// ```
    pub fn name(self) -> &'static str {
        match self {
            Self::Truncated => "truncated",
            Self::Oversize => "oversize",
            Self::Foreign => "foreign",
            Self::OtherService => "other-service",
            Self::NotReady => "not-ready",
            Self::Held => "held",
            Self::ZoneOut => "zone-out",
            Self::Removed => "removed",
            Self::Dead => "dead",
            Self::NoAgent => "no-agent",
            Self::Attempts => "attempts",
            Self::ResetLimit => "reset-limit",
        }
    }
}
