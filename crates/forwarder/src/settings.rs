//! Settings of a process.

use std::{
    net::{Ipv4Addr, SocketAddrV4},
    time::Duration,
};

use sassafrasmast_core::flow::{ServiceName, ZoneName, balancer};

/// Bytes that one question of a search takes on the link, including its share of the datagram's
/// header.
const QUESTION_BYTES: u64 = 32;

/// Searches may use one part in this many of the link's capacity: traffic needs the other half.
const SEARCH_LINK_DIVISOR: u64 = 2;

/// Role of the process.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Role {
    /// Receives clients' packets and places their flows.
    Balancer,
    /// Runs beside an upstream and passes packets to it.
    Agent(Upstream),
}

/// The upstream beside an agent.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Upstream {
    /// Its service.
    pub service: ServiceName,
    /// Address at which it receives packets.
    pub address: SocketAddrV4,
    /// Address of the agent to which it sends packets.
    pub outbound: SocketAddrV4,
    /// Address of the agent to which it sends announcements.
    pub announcements: SocketAddrV4,
}

/// Settings of a process.
#[derive(Debug, Clone, PartialEq)]
pub struct Settings {
    /// Name of the VM, for logs.
    pub name: String,
    /// Role of the process.
    pub role: Role,
    /// The VM's availability zone.
    pub zone: ZoneName,
    /// Address at which clients' packets arrive. Clients receive packets on the same port number.
    pub packets: SocketAddrV4,
    /// Address at which frames of other processes arrive.
    pub frames: SocketAddrV4,
    /// Addresses at which some other processes receive frames. They may be down.
    pub peers: Vec<SocketAddrV4>,
    /// Address of the readiness endpoint.
    pub ready: SocketAddrV4,
    /// Address of the metrics and status endpoint, if it is to be served.
    pub metrics: Option<SocketAddrV4>,
    /// Multiple of its cold rate up to which a cold upstream gets new flows.
    pub cold_coverage: f64,
    /// New flows per second that a cold upstream may get in addition.
    pub cold_slack: f64,
    /// Share of the places at upstreams that each less critical class of requests gets while more
    /// critical ones wait.
    pub lower_class_share: f64,
    /// Whether flows are placed by the times that upstreams take for requests.
    pub places_by_speed: bool,
    /// Whether client addresses take turns while flows wait for upstreams.
    pub fair_shares: bool,
    /// Age from which a flow may be discarded.
    pub max_flow_age: Duration,
    /// Time from the platform's order to stop until it ends the process; zero if it is not known.
    pub stop_grace: Duration,
    /// Time to live of an agent's entry in the store. The entry of a VM that is gone keeps lost flows
    /// waiting for that long: searches wait for listed agents.
    pub lease_ttl: Duration,
    /// Capacity of the VM's link.
    pub link_bytes_per_s: u64,
    /// What a flow that leaves a balancer's zone costs beside the longer path.
    pub remote_cost: Duration,
}

impl Settings {
    /// Limit on questions of searches, so that they leave room on the link for traffic.
    pub fn questions_per_second(&self) -> u32 {
        u32::try_from(self.link_bytes_per_s / QUESTION_BYTES / SEARCH_LINK_DIVISOR)
            .unwrap_or(u32::MAX)
    }

    /// Applies those settings of `new` that may change at run time. Returns the names of the others
    /// that differ, which need a restart.
    ///
    /// ```
    /// use sassafrasmast_forwarder::Settings;
    /// let mut settings = Settings::default();
    /// let new = Settings { cold_slack: 5.0, zone: "b".into(), ..Settings::default() };
    /// assert_eq!(settings.apply(new), ["zone"]);
    /// assert_eq!(settings.cold_slack, 5.0);
    /// ```
    pub fn apply(&mut self, new: Self) -> Vec<&'static str> {
        let fixed = [
            ("name", self.name != new.name),
            ("role", self.role != new.role),
            ("zone", self.zone != new.zone),
            ("packets", self.packets != new.packets),
            ("frames", self.frames != new.frames),
            ("ready", self.ready != new.ready),
            ("metrics", self.metrics != new.metrics),
            ("lease", self.lease_ttl != new.lease_ttl),
            ("link", self.link_bytes_per_s != new.link_bytes_per_s),
            ("fair_shares", self.fair_shares != new.fair_shares),
            (
                "places_by_speed",
                self.places_by_speed != new.places_by_speed,
            ),
            ("max_flow_age", self.max_flow_age != new.max_flow_age),
            ("stop_grace", self.stop_grace != new.stop_grace),
        ];
        self.peers = new.peers;
        self.cold_coverage = new.cold_coverage;
        self.cold_slack = new.cold_slack;
        self.lower_class_share = new.lower_class_share;
        self.remote_cost = new.remote_cost;
        let differing = fixed.into_iter().filter(|(_, differs)| *differs);
        differing.map(|(name, _)| name).collect()
    }
}

impl Default for Settings {
    fn default() -> Self {
        let unset = SocketAddrV4::new(Ipv4Addr::LOCALHOST, 0);
        Self {
            name: String::new(),
            role: Role::Balancer,
            zone: "".into(),
            packets: unset,
            frames: unset,
            peers: Vec::new(),
            ready: unset,
            metrics: None,
            cold_coverage: 1.0,
            cold_slack: 0.0,
            lower_class_share: 0.05,
            places_by_speed: false,
            fair_shares: false,
            max_flow_age: Duration::from_secs(60),
            stop_grace: Duration::ZERO,
            lease_ttl: Duration::from_secs(9),
            link_bytes_per_s: 1_250_000,
            remote_cost: balancer::Settings::default().remote_cost,
        }
    }
}
