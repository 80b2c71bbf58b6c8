//! Actions that a balancer's decisions result in.

use std::net::SocketAddrV4;

use sassafrasmast_wire::flow::Attempt;

use crate::flow::{Key, Priority, Purpose, ServiceName};

/// An action that the caller carries out.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Action {
    /// Send the packet that was just handled to an agent.
    Forward {
        /// The agent.
        to: SocketAddrV4,
        /// Why.
        purpose: Purpose,
        /// Service of a SYN.
        service: Option<ServiceName>,
    },
    /// Send a packet to an agent that was buffered here, or returned by another agent.
    Send {
        /// The agent.
        to: SocketAddrV4,
        /// Why.
        purpose: Purpose,
        /// Service of a SYN.
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
        /// The client's last acknowledged sequence number.
        acknowledgement: u32,
    },
    /// Ask an agent for a report.
    Probe(SocketAddrV4),
    /// Ask the store for the list of agents, and confirm it with
    /// [`Balancer::confirm_members`](super::Balancer::confirm_members).
    List,
    /// Tell an agent that SYNs for its service wait for room.
    Demand {
        /// The agent.
        to: SocketAddrV4,
        /// Number of SYNs that wait.
        waiting: u16,
    },
    /// As [`Self::Demand`], for a service with classes.
    ClassDemand {
        /// The agent.
        to: SocketAddrV4,
        /// Number of SYNs that wait, by class.
        waiting: Vec<(Priority, u16)>,
    },
    /// Tell an agent which attempts have ended without an answer.
    Ended {
        /// The agent.
        to: SocketAddrV4,
        /// The attempts.
        attempts: Vec<Attempt>,
    },
    /// Ask an agent for earlier attempts of the callers of these flows.
    Inquire {
        /// The agent.
        to: SocketAddrV4,
        /// The flows.
        flows: Vec<Key>,
    },
    /// Reset a flow towards its client.
    Reset {
        /// The flow.
        flow: Key,
        /// The client's last acknowledged sequence number, 0 if the flow never opened.
        sequence: u32,
        /// Why.
        cause: ResetCause,
    },
    /// Drop the packet, or after a search all buffered packets, of the flow; the client retransmits
    /// them.
    Drop(Key, DropCause),
}

/// Why a flow is reset.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum ResetCause {
    /// There is no route for the address that the client connects to.
    NoRoute,
    /// The service has no upstreams.
    NoUpstream,
    /// No upstream had capacity while the client could still use the flow, or the queue is full.
    Overloaded,
    /// By the forecast no upstream will have capacity while the client can still use the flow.
    Unservable,
    /// The queue is full, and SYNs of a more critical class wait.
    Evicted,
    /// No upstream holds the flow, except possibly unreachable ones if its requests are idempotent.
    Lost,
    /// The flow's upstream has restarted or deregistered.
    Restarted,
    /// The flow's agent does not answer, and its requests may be retried on another upstream.
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
            Self::Unservable => "unservable",
            Self::Evicted => "evicted",
            Self::Lost => "lost",
            Self::Restarted => "restarted",
            Self::Unreachable => "unreachable",
        }
    }
}

/// Why packets of a flow are dropped.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum DropCause {
    /// An agent that was sent the SYN may still accept it, and there is no other one.
    Outstanding,
    /// The SYN cannot be placed here, but another balancer may have opened the flow.
    Unsure,
    /// The owner of the flow was not found within the time limit, but may exist.
    NotFound,
    /// The flow table is full.
    TableFull,
    /// The limit of running searches is reached.
    TooManySearches,
}

impl DropCause {
    /// The name in logs and metrics.
    ///
    /// ```
    /// use sassafrasmast_core::flow::balancer::DropCause;
    /// assert_eq!(DropCause::TableFull.as_str(), "table_full");
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
