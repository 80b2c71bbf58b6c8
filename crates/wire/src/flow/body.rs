//! Message types of flow forwarding.

use serde::{Deserialize, Serialize};

use super::{Attempt, Key, Priority, Purpose, Question, Reason, Report};

/// Content of a [`super::Frame`].
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum Body<'a> {
    /// Balancer to agent: a client's packet.
    Deliver {
        /// Why the packet is sent to this agent.
        purpose: Purpose,
        /// Service that a SYN is meant for; empty otherwise.
        service: &'a str,
        /// The client's packet.
        packet: &'a [u8],
    },
    /// Balancer to agent: asks which of these flows are at the agent's upstream. At most
    /// [`Question::MAX_PER_FRAME`].
    Locate {
        /// The flows.
        questions: Vec<Question>,
    },
    /// Agent to balancer, answer to [`Body::Locate`]: these flows are not at the agent's upstream.
    Absent {
        /// The flows.
        flows: Vec<Key>,
        /// The agent's report.
        report: Report,
    },
    /// Agent to balancer, answer to [`Body::Locate`]: the agent does not know whether its upstream
    /// holds these flows. The balancer sends a packet of each as [`Purpose::Find`] to find out.
    Unconfirmed {
        /// The flows.
        flows: Vec<Key>,
        /// The agent's report.
        report: Report,
    },
    /// Agent to balancer: the upstream accepted a flow.
    Accepted {
        /// The flow.
        flow: Key,
        /// Sequence number of the upstream's SYN-ACK, which the client acknowledges if it chooses
        /// this upstream.
        sequence: u32,
        /// The agent's report.
        report: Report,
    },
    /// Agent to balancer: the SYN was not accepted and is to be placed on another upstream.
    Returned {
        /// Why.
        reason: Reason,
        /// The agent's report.
        report: Report,
        /// The client's packet, unchanged.
        packet: &'a [u8],
    },
    /// Agent to balancer: the flow is at this agent's upstream.
    Found {
        /// The flow.
        flow: Key,
        /// The agent's report.
        report: Report,
    },
    /// Agent to balancer: the flow is not at this agent's upstream.
    Missing {
        /// The flow.
        flow: Key,
        /// The agent's report.
        report: Report,
        /// The client's packet, unchanged.
        packet: &'a [u8],
    },
    /// Agent to balancers: announces the agent while the store does not list it.
    Hello {
        /// The service of its upstream.
        service: &'a str,
        /// Its availability zone.
        zone: &'a str,
        /// The agent's report.
        report: Report,
    },
    /// Agent to balancer: its state or load has changed.
    Report(Report),
    /// Balancer to agent: requests a report.
    Probe {
        /// When it was sent, in milliseconds since the balancer's start.
        sent: u64,
    },
    /// Agent to balancer, answer to [`Body::Probe`].
    Answer {
        /// Copied from the probe.
        sent: u64,
        /// The agent's report.
        report: Report,
    },
    /// Balancer to agent: SYNs for the agent's service wait for room. The agent answers with a
    /// report, and offers room as it becomes free. Agents of earlier builds do not know this message
    /// and drop it.
    Demand {
        /// Number of SYNs that are queued.
        waiting: u16,
    },
    /// Balancer to agent: as [`Body::Demand`], for a service whose routes differ in priority.
    /// Agents of earlier builds do not know this message and drop it; balancers then place SYNs by
    /// the agents' reports.
    ClassDemand {
        /// Number of queued SYNs by priority.
        waiting: Vec<(Priority, u16)>,
    },
    /// Agent to balancer: time that the upstream takes for a request in a slot. Balancers of earlier
    /// builds drop it and compare upstreams by their busy slots alone.
    Speed {
        /// The time in microseconds.
        service_time_micros: u32,
    },
    /// Balancer to agent: attempts that ended without an answer. At most
    /// [`Question::MAX_PER_FRAME`]. Dropped by agents of earlier builds: later attempts of these
    /// callers then count as first ones.
    Ended {
        /// The attempts.
        attempts: Vec<Attempt>,
    },
    /// Balancer to agent: asks for earlier attempts of the callers of these flows. At most
    /// [`Question::MAX_PER_FRAME`].
    Inquire {
        /// The flows.
        flows: Vec<Key>,
    },
    /// Agent to balancer, answer to [`Body::Inquire`]: callers of these flows had earlier attempts.
    Earlier {
        /// The flows, each with the age of its caller's first attempt in milliseconds.
        flows: Vec<(Key, u32)>,
    },
}

impl Body<'_> {
    /// The agent's report, if an agent that is known to its receiver sends one with the message.
    ///
    /// ```
    /// use sassafrasmast_wire::flow::{Body, Report};
    /// let report = Report::default();
    /// assert_eq!(Body::Report(report).report(), Some(report));
    /// assert_eq!(Body::Probe { sent: 0 }.report(), None);
    /// ```
    pub fn report(&self) -> Option<Report> {
        match self {
            Self::Absent { report, .. }
            | Self::Unconfirmed { report, .. }
            | Self::Accepted { report, .. }
            | Self::Returned { report, .. }
            | Self::Found { report, .. }
            | Self::Missing { report, .. }
            | Self::Report(report)
            | Self::Answer { report, .. } => Some(*report),
            Self::Deliver { .. }
            | Self::Locate { .. }
            | Self::Hello { .. }
            | Self::Probe { .. }
            | Self::Demand { .. }
            | Self::ClassDemand { .. }
            | Self::Speed { .. }
            | Self::Ended { .. }
            | Self::Inquire { .. }
            | Self::Earlier { .. } => None,
        }
    }
}
