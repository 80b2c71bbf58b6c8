//! Settings of a process.

use std::{
    net::{Ipv4Addr, SocketAddrV4},
    time::Duration,
};

use sassafrasmast_core::flow::{ServiceName, ZoneName};

/// Bytes of a search's question on the link, with its part of the datagram's head.
const QUESTION_BYTES: u64 = 32;

/// Part of the link that questions of searches may take: requests need the other half.
const SEARCH_LINK_DIVISOR: u64 = 2;

/// What the process does.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Role {
    /// Takes clients' packets.
    Balancer,
    /// Stands beside an upstream.
    Agent(Upstream),
}

/// The upstream beside an agent.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Upstream {
    /// Its service.
    pub service: ServiceName,
    /// Where it takes packets.
    pub address: SocketAddrV4,
    /// Where it sends packets to.
    pub outbound: SocketAddrV4,
    /// Where it sends its announcements to.
    pub announcements: SocketAddrV4,
}

/// Settings of a process.
#[derive(Debug, Clone, PartialEq)]
pub struct Settings {
    /// Name of the VM, for logs.
    pub name: String,
    /// What the process does.
    pub role: Role,
    /// The VM's availability zone.
    pub zone: ZoneName,
    /// Where clients' packets arrive. Clients take theirs at the same port.
    pub packets: SocketAddrV4,
    /// Where frames of other processes arrive.
    pub frames: SocketAddrV4,
    /// Where some other processes take frames. They may be down.
    pub peers: Vec<SocketAddrV4>,
    /// Where readiness is asked for.
    pub ready: SocketAddrV4,
    /// Where metrics are served.
    pub metrics: Option<SocketAddrV4>,
    /// Part of its cold rate up to which an upstream may be loaded.
    pub cold_coverage: f64,
    /// New flows a second that a cold upstream bears beyond its rate.
    pub cold_slack: f64,
    /// Age at which a flow may be forgotten.
    pub max_flow_age: Duration,
    /// Time to live of an agent's entry in the store.
    pub lease: Duration,
    /// Bytes a second that the VM's link carries.
    pub link_bytes_per_s: u64,
}

impl Settings {
    /// Questions of searches a second that leave room on the link for the traffic itself.
    pub fn questions_per_second(&self) -> u32 {
        u32::try_from(self.link_bytes_per_s / QUESTION_BYTES / SEARCH_LINK_DIVISOR)
            .unwrap_or(u32::MAX)
    }

    /// Takes from `new` what may change while the process runs. Names what differs besides, which
    /// only a new start puts in force.
    ///
    /// ```
    /// use sassafrasmast_forwarder::Settings;
    /// let mut settings = Settings::default();
    /// let new = Settings { cold_slack: 5.0, zone: "b".into(), ..Settings::default() };
    /// assert_eq!(settings.reload(new), ["zone"]);
    /// assert_eq!(settings.cold_slack, 5.0);
    /// ```
    pub fn reload(&mut self, new: Self) -> Vec<&'static str> {
        let fixed = [
            ("name", self.name != new.name),
            ("role", self.role != new.role),
            ("zone", self.zone != new.zone),
            ("packets", self.packets != new.packets),
            ("frames", self.frames != new.frames),
            ("ready", self.ready != new.ready),
            ("metrics", self.metrics != new.metrics),
            ("lease", self.lease != new.lease),
            ("link", self.link_bytes_per_s != new.link_bytes_per_s),
            ("max_flow_age", self.max_flow_age != new.max_flow_age),
        ];
        self.peers = new.peers;
        self.cold_coverage = new.cold_coverage;
        self.cold_slack = new.cold_slack;
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
            max_flow_age: Duration::from_secs(60),
            lease: Duration::from_secs(9),
            link_bytes_per_s: 1_250_000,
        }
    }
}
