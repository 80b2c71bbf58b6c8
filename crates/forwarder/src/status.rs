//! Status of a process, as shown to operators.

use std::{collections::BTreeSet, net::SocketAddrV4, time::Instant};

use sassafrasmast_core::flow::{Intent, Member, Report, ZoneName};
use serde::{Deserialize, Serialize};
use tokio::sync::oneshot;

use crate::{
    position::position,
    settings::{Role, Settings},
    zone_status::ServicePlacement,
};

/// Path of the status on the metrics address.
pub const PATH: &str = "/status";

/// A request for the status: the channel that takes the answer.
pub type Request = oneshot::Sender<Status>;

/// Status of a process. All ages are in milliseconds.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Status {
    /// Name of the VM.
    pub name: String,
    /// `balancer` or `agent`.
    pub role: String,
    /// The VM's availability zone.
    pub zone: String,
    /// Version of the operators' policy that is in force, 0 before the first.
    pub version: u64,
    /// Revision of the intent in force, 0 before the first.
    pub revision: i64,
    /// Era of the store that the revision belongs to: how often the store had come back from an
    /// older copy. 0 for stores without eras, and from processes of earlier builds.
    #[serde(default)]
    pub era: u64,
    /// Zones that operators have excluded from new flows.
    pub zones_out: BTreeSet<ZoneName>,
    /// Number of open flows that the process knows.
    pub flows: u64,
    /// Reachability of the store.
    pub store: Store,
    /// Contact with other processes: results of recent pulls from peers, and for an agent also the
    /// balancers that sent it frames.
    pub peers: Vec<Peer>,
    /// Upstreams that the process knows: an agent knows its own, a balancer all.
    pub upstreams: Vec<Upstream>,
    /// Where a balancer places flows, by service. Empty from agents and from processes of earlier
    /// builds.
    #[serde(default)]
    pub placements: Vec<ServicePlacement>,
}

/// Reachability of the store.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Store {
    /// Whether the store answers.
    pub answers: bool,
    /// Time since `answers` last changed.
    pub since_ms: u64,
    /// Error of the last failed call; `None` if the store answers.
    pub reason: Option<String>,
}

/// Contact with another process.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Peer {
    /// Address at which it receives frames.
    pub address: SocketAddrV4,
    /// Time since its last frame or since the end of the last pull from it, failed ones included.
    pub heard_ms: u64,
    /// Error of the last pull from it, if that failed.
    pub failure: Option<String>,
}

/// An upstream as the process knows it.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Upstream {
    /// Address at which its agent receives frames.
    pub agent: SocketAddrV4,
    /// Its service.
    pub service: String,
    /// Its availability zone.
    pub zone: String,
    /// Whether the store lists it.
    pub listed: bool,
    /// Time since its agent's last frame; `None` before the first, and in the status of the agent.
    pub heard_ms: Option<u64>,
    /// Its agent's last report.
    pub report: Report,
}

impl Status {
    /// The part that is common to both roles. The caller sets `flows`, `peers` and `upstreams`.
    pub(crate) fn new(settings: &Settings, intent: Option<&Intent>, store: Store) -> Self {
        let role = match settings.role {
            Role::Balancer => "balancer",
            Role::Agent(_) => "agent",
        };
        let position = intent.map(position).unwrap_or_default();
        Self {
            name: settings.name.clone(),
            role: role.to_owned(),
            zone: settings.zone.to_string(),
            version: intent.map_or(0, |intent| intent.policy.version),
            revision: position.number,
            era: position.era,
            zones_out: intent
                .map(|intent| intent.zones_out.clone())
                .unwrap_or_default(),
            flows: 0,
            store,
            peers: Vec::new(),
            upstreams: Vec::new(),
            placements: Vec::new(),
        }
    }

    /// Sends the status as the answer to `request`.
    pub(crate) fn reply(self, request: Request) {
        if request.send(self).is_err() {
            // The requester has closed the connection.
            metrics::counter!("sassafrasmast_http_broken").increment(1);
        }
    }
}

impl Upstream {
    /// The status of a balancer's member.
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

/// Milliseconds from `at` to `now`, 0 if `at` is later.
pub(crate) fn age_ms(now: Instant, at: Instant) -> u64 {
    u64::try_from(now.saturating_duration_since(at).as_millis()).unwrap_or(u64::MAX)
}
