//! Reasons for dropping a datagram.

/// Reason for dropping a datagram.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Reason {
    /// The datagram ends within the QUIC header.
    Truncated,
    /// The datagram is too large to be forwarded in one frame.
    Oversize,
    /// The packet is not one that a caller may send, or it does not open a flow and its connection
    /// id was not sealed by this fleet.
    Foreign,
    /// The connection id belongs to another service than the address that received the packet.
    OtherService,
    /// There is no configuration yet, or it does not contain the service.
    NotReady,
    /// Forwarding is held until the configuration is verified.
    Held,
    /// The agent's availability zone is out of service.
    ZoneOut,
    /// The agent was removed, and a stateless reset cannot answer the packet.
    Removed,
    /// The agent is dead, and a stateless reset cannot answer the packet.
    Dead,
    /// No agent accepts new flows.
    NoAgent,
    /// The first datagram of a flow was handed back too often.
    Attempts,
    /// The rate limit for stateless resets is exhausted.
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

    /// Value of the metric label `reason`.
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
