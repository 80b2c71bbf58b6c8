//! What a process tells operators of itself.

use std::{collections::BTreeSet, net::SocketAddrV4, time::Instant};

use sassafrasmast_core::flow::{Intent, Member, Report, ZoneName};
use serde::{Deserialize, Serialize};
use tokio::sync::oneshot;

use crate::{
    fallback::Fallback,
    settings::{Role, Settings},
};

/// Path of the status at the metrics address.
pub const PATH: &str = "/status";

/// A question for the status: where the answer goes.
pub type Request = oneshot::Sender<Status>;

/// What a process tells operators of itself. All ages are in milliseconds.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Status {
    /// Name of the VM.
    pub name: String,
    /// `balancer` or `agent`.
    pub role: String,
    /// The VM's availability zone.
    pub zone: String,
    /// Version of the operators' intent that is in force, 0 before the first.
    pub version: u64,
    /// Revision of the store at which the intent last changed.
    pub revision: u64,
    /// Zones that get no new flows.
    pub zones_out: BTreeSet<ZoneName>,
    /// Open flows that the process knows.
    pub flows: u64,
    /// Fallback with the store.
    pub store: Store,
    /// Fallback with other processes: those that answered while the store did not, and for an agent
    /// the balancers.
    pub peers: Vec<Peer>,
    /// Upstreams that the process knows: an agent's own, or all of a balancer.
    pub upstreams: Vec<Upstream>,
}

/// Fallback with the store.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Store {
    /// Whether it answers.
    pub answers: bool,
    /// Time since that last changed.
    pub since_ms: u64,
    /// Why it does not answer.
    pub reason: Option<String>,
}

/// Fallback with another process.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Peer {
    /// Where it takes frames.
    pub address: SocketAddrV4,
    /// Time since it was last heard, or since it last failed to answer.
    pub heard_ms: u64,
    /// Why it did not answer the last question.
    pub failure: Option<String>,
}

/// An upstream as the process knows it.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Upstream {
    /// Where its agent takes frames.
    pub agent: SocketAddrV4,
    /// Its service.
    pub service: String,
    /// Its availability zone.
    pub zone: String,
    /// Whether the store lists it.
    pub listed: bool,
    /// Time since its agent was last heard; nothing if it never was.
    pub heard_ms: Option<u64>,
    /// What its agent last told.
    pub report: Report,
}

impl Status {
    /// What both roles tell alike; flows and upstreams are the role's to add.
    pub(crate) fn new(
        now: Instant,
        settings: &Settings,
        intent: Option<&Intent>,
        fallback: &Fallback,
    ) -> Self {
        let role = match settings.role {
            Role::Balancer => "balancer",
            Role::Agent(_) => "agent",
        };
        Self {
            name: settings.name.clone(),
            role: role.to_owned(),
            zone: settings.zone.to_string(),
            version: intent.map_or(0, |intent| intent.policy.version),
            revision: intent.map_or(0, |intent| intent.revision),
            zones_out: intent
                .map(|intent| intent.zones_out.clone())
                .unwrap_or_default(),
            flows: 0,
            store: fallback.store_status(now),
            peers: fallback.peer_statuses(now),
            upstreams: Vec::new(),
        }
    }

    /// Answers a question.
    pub(crate) fn reply(self, request: Request) {
        if request.send(self).is_err() {
            // Whoever asked has closed the connection.
            metrics::counter!("sassafrasmast_http_broken").increment(1);
        }
    }
}

impl Upstream {
    /// What a balancer knows of a member.
    pub fn of(now: Instant, member: &Member) -> Self {
        Self {
            agent: member.address,
            service: member.service.to_string(),
            zone: member.zone.to_string(),
            listed: member.listed,
            heard_ms: member.last_frame_at.map(|at| age_ms(now, at)),
            report: member.report,
        }
    }
}

/// Age in milliseconds of what happened at `at`.
pub(crate) fn age_ms(now: Instant, at: Instant) -> u64 {
    u64::try_from(now.saturating_duration_since(at).as_millis()).unwrap_or(u64::MAX)
}
