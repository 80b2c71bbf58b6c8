//! The closed set of things a frame of flow forwarding can carry.

use serde::{Deserialize, Serialize};

use super::{Key, Purpose, Question, Reason, Report};

/// Content of a [`super::Frame`].
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum Body<'a> {
    /// Balancer to agent: a client's packet.
    Deliver {
        /// Why it is sent there.
        purpose: Purpose,
        /// Service that an opening packet is meant for; empty otherwise.
        service: &'a str,
        /// The client's packet.
        packet: &'a [u8],
    },
    /// Balancer to agent: are these flows at your upstream? At most
    /// [`Question::MAX_PER_FRAME`].
    Locate {
        /// The flows.
        questions: Vec<Question>,
    },
    /// Agent to balancer, to [`Body::Locate`]: these flows are not here.
    Absent {
        /// The flows.
        flows: Vec<Key>,
        /// The agent's report.
        report: Report,
    },
    /// Agent to balancer, to [`Body::Locate`]: only the upstream can tell; show it a packet of
    /// each.
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
        /// Sequence number of the upstream's first packet, which the client acknowledges if it
        /// chooses this upstream.
        sequence: u32,
        /// The agent's report.
        report: Report,
    },
    /// Agent to balancer: place this opening packet elsewhere.
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
    /// Agent to balancers, while its entry does not stand in the store: it exists.
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
    /// Balancer to agent: report.
    Probe {
        /// When it was sent, in milliseconds since the balancer's start.
        sent: u64,
    },
    /// Agent to balancer, to [`Body::Probe`].
    Answer {
        /// As in the probe.
        sent: u64,
        /// The agent's report.
        report: Report,
    },
}
