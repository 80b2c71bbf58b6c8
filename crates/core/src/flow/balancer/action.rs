//! What a balancer wants done.

use std::net::SocketAddrV4;

use crate::flow::{Key, Purpose, ServiceName};

/// What a balancer wants done.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Action {
    /// Send the packet that was just handled to an agent.
    Forward {
        /// The agent.
        to: SocketAddrV4,
        /// Why.
        purpose: Purpose,
        /// Service of an opening packet.
        service: Option<ServiceName>,
    },
    /// Send a packet that was held back or returned to an agent.
    Send {
        /// The agent.
        to: SocketAddrV4,
        /// Why.
        purpose: Purpose,
        /// Service of an opening packet.
        service: Option<ServiceName>,
        /// The packet.
        packet: Box<[u8]>,
    },
    /// Ask an agent whether a flow is at its upstream.
    Locate {
        /// The agent.
        to: SocketAddrV4,
        /// The flow.
        flow: Key,
        /// Number that the client acknowledged last.
        acknowledgement: u32,
    },
    /// Ask an agent for a report.
    Probe(SocketAddrV4),
    /// Reset a flow towards its client.
    Reset {
        /// The flow.
        flow: Key,
        /// The client's last acknowledged number, 0 if the flow never opened.
        sequence: u32,
        /// Why.
        cause: ResetCause,
    },
    /// The packet is dropped; its client repeats it.
    Drop(Key, Drop),
}

/// Why a flow is reset.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum ResetCause {
    /// No route leads from the address that the client asked for.
    NoRoute,
    /// The service has no upstream.
    NoUpstream,
    /// No upstream had room while the client waited.
    Overloaded,
    /// No upstream holds the flow.
    Lost,
    /// The flow's upstream has started anew.
    Restarted,
    /// The flow's agent answers nothing, and its requests may be repeated elsewhere.
    Unreachable,
}

impl ResetCause {
    /// The name in logs and metrics.
    ///
    /// ```
    /// use sassafrasmast_core::flow::balancer::ResetCause;
    /// assert_eq!(ResetCause::Lost.as_str(), "lost");
    /// ```
    pub fn as_str(self) -> &'static str {
        match self {
            Self::NoRoute => "no_route",
            Self::NoUpstream => "no_upstream",
            Self::Overloaded => "overloaded",
            Self::Lost => "lost",
            Self::Restarted => "restarted",
            Self::Unreachable => "unreachable",
        }
    }
}

/// Why a packet is dropped.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum Drop {
    /// An agent that got the opening packet may still accept it, and there is no other one.
    Outstanding,
    /// The opening packet cannot be placed here, but another balancer may have opened the flow.
    Unsure,
    /// The home of the flow was not found, and it is not sure that there is none.
    NotFound,
    /// The table of flows is full.
    TableFull,
    /// Too many searches run.
    TooManySearches,
}

impl Drop {
    /// The name in logs and metrics.
    ///
    /// ```
    /// use sassafrasmast_core::flow::balancer::Drop;
    /// assert_eq!(Drop::TableFull.as_str(), "table_full");
    /// ```
    pub fn as_str(self) -> &'static str {
        match self {
            Self::Outstanding => "outstanding",
            Self::Unsure => "unsure",
            Self::NotFound => "not_found",
            Self::TableFull => "table_full",
            Self::TooManySearches => "too_many_searches",
        }
    }
}
