//! Test harness: a router with a small configuration, and datagrams and frames for it.

use std::{
    net::SocketAddr,
    sync::Arc,
    time::{Duration, Instant},
};

use sassafrasmast_core::{
    Blackboard,
    balancer::{Action, Route, Router, Settings},
    config::{Document, Secrets, Service, Snapshot, Upstream, Zone},
};
use sassafrasmast_wire::{AgentId, Body, Cid, Frame, Incarnation, Load, ServiceId, State};

pub const INCARNATION: Incarnation = 1_700_000_000_000;
pub const DISPATCH: ServiceId = 1;
pub const MANIFESTS: ServiceId = 2;
pub const ZONES: [&str; 3] = ["a", "b", "c"];

pub fn caller() -> SocketAddr {
    "127.0.0.9:4000".parse().expect("the text is an address")
}

pub fn address(agent: AgentId) -> SocketAddr {
    let [_, a, b, c] = agent.to_be_bytes();
    SocketAddr::from(([127, a, b, c], 7_000))
}

/// Configuration in which the first `dispatch_agents` agents serve dispatch and the next
/// `manifests_agents` serve manifests. Ids modulo 3 of 0, 1 and 2 stand for zones a, b and c.
pub fn document(dispatch_agents: u32, manifests_agents: u32) -> Document {
    let secrets = Secrets {
        sealing: 1,
        phases: [(1, [3; 32]), (2, [4; 32])].into(),
        reset: [5; 32],
    };
    let mut document = Document::first(secrets);
    for zone in ZONES {
        document.zones.insert(zone.to_owned(), Zone::default());
    }
    for (id, name) in [(DISPATCH, "dispatch"), (MANIFESTS, "manifests")] {
        let service = Service {
            name: name.to_owned(),
            address: SocketAddr::from(([127, 0, 1, id as u8], 443)),
            feeds: vec!["/feed".to_owned()],
            deadline_ms: 10_000,
            max_body_bytes: 1 << 20,
        };
        document.services.insert(id, service);
    }
    for agent in 1..=dispatch_agents + manifests_agents {
        let service = if agent <= dispatch_agents {
            DISPATCH
        } else {
            MANIFESTS
        };
        document.upstreams.insert(agent, upstream(agent, service));
    }
    document.next_service = 3;
    document.next_agent = dispatch_agents + manifests_agents + 1;
    document
}

pub fn upstream(agent: AgentId, service: ServiceId) -> Upstream {
    Upstream {
        service,
        zone: ZONES[agent as usize % ZONES.len()].to_owned(),
        agent: address(agent),
        upstream: SocketAddr::from(([127, 0, 0, 1], 8_000)),
        slots: 5,
        connections: 2_000,
        draining: false,
    }
}

pub fn ready_load() -> Load {
    Load {
        state: State::Ready,
        limit: 5,
        ..Load::default()
    }
}

/// First datagram of a flow, with a connection id chosen by the caller.
pub fn initial() -> Vec<u8> {
    let mut datagram = vec![0; 1_200];
    datagram[..14].copy_from_slice(&[0xc0, 0, 0, 0, 1, 8, 9, 9, 9, 9, 9, 9, 9, 9]);
    datagram
}

/// A router, its configuration and its clock.
pub struct Harness {
    pub now: Instant,
    pub document: Document,
    pub blackboard: Arc<Blackboard>,
    pub router: Router,
}

impl Harness {
    pub fn new(document: Document, settings: Settings) -> Self {
        let now = Instant::now();
        let blackboard = Arc::new(Blackboard::new(16));
        let router = Router::new(now, settings, Arc::clone(&blackboard));
        let harness = Self {
            now,
            document,
            blackboard,
            router,
        };
        harness.install();
        harness
    }

    /// A router whose 7 agents of dispatch and 3 of manifests have all reported to be ready.
    pub fn ready() -> Self {
        let harness = Self::new(document(7, 3), Settings::default());
        harness.report_all();
        harness
    }

    pub fn install(&self) -> bool {
        let snapshot =
            Snapshot::new(self.document.clone()).expect("the sealing phase has a secret");
        self.blackboard.install(self.now, snapshot)
    }

    /// Installs a changed configuration as the next version.
    pub fn update_config(&mut self, change: impl FnOnce(&mut Document)) {
        change(&mut self.document);
        self.document.version += 1;
        assert!(self.install());
    }

    pub fn report_all(&self) {
        for &agent in self.document.upstreams.keys() {
            self.report(agent, INCARNATION, ready_load());
        }
    }

    pub fn report(&self, agent: AgentId, incarnation: Incarnation, load: Load) {
        let body = Body::Report {
            nonce: 0,
            service: self.document.upstreams.get(&agent).map(|u| u.service),
            agent: Some(agent),
            incarnation,
            load,
        };
        self.receive(address(agent), self.document.version, body);
    }

    /// Passes a frame to the router and returns the resulting actions as text.
    pub fn receive(&self, from: SocketAddr, version: u64, body: Body<'_>) -> Vec<String> {
        let mut bytes = Vec::new();
        Frame::new(version, body)
            .encode(&mut bytes)
            .expect("the frame fits the size limit");
        let mut actions = Vec::new();
        self.router.receive(self.now, from, &bytes, &mut actions);
        actions.iter().map(|action| format!("{action:?}")).collect()
    }

    /// Advances the clock by `time` in ticks and returns the number of probes. `answers` gives the
    /// config version with which an agent answers probes, or `None` if it does not answer.
    pub fn advance(&mut self, time: Duration, answers: impl Fn(AgentId) -> Option<u64>) -> u64 {
        let end = self.now + time;
        let mut probes = 0;
        while self.now < end {
            self.now += Router::TICK;
            let mut actions = Vec::new();
            self.router.tick(self.now, &mut actions);
            for action in actions {
                let Action::Send {
                    body: Body::Probe { nonce, agent },
                    ..
                } = action
                else {
                    continue;
                };
                probes += 1;
                if let Some(version) = answers(agent) {
                    self.answer(nonce, agent, version);
                }
            }
        }
        probes
    }

    fn answer(&self, nonce: u32, agent: AgentId, version: u64) {
        let body = Body::Report {
            nonce,
            service: self.document.upstreams.get(&agent).map(|u| u.service),
            agent: Some(agent),
            incarnation: INCARNATION,
            load: ready_load(),
        };
        self.receive(address(agent), version, body);
    }

    pub fn cid(&self, agent: AgentId, service: ServiceId) -> [u8; 17] {
        let cid = Cid {
            agent,
            incarnation: INCARNATION,
            service,
            nonce: 7,
        };
        cid.seal(
            &self
                .document
                .secrets
                .keys()
                .expect("the sealing phase has a secret"),
        )
    }

    pub fn short_packet(&self, agent: AgentId, service: ServiceId) -> Vec<u8> {
        let mut datagram = vec![0x41; 60];
        datagram[1..18].copy_from_slice(&self.cid(agent, service));
        datagram
    }

    pub fn route(&self, service: ServiceId, datagram: &[u8]) -> Route {
        self.router.route(self.now, service, datagram)
    }

    pub fn place(&self, service: ServiceId) -> Option<AgentId> {
        match self.route(service, &initial()) {
            Route::Place { agent, .. } => Some(agent),
            _ => None,
        }
    }

    /// Whether a packet of an open flow is forwarded to its agent.
    pub fn forwards(&self, agent: AgentId) -> bool {
        let service = self.document.upstreams[&agent].service;
        let route = self.route(service, &self.short_packet(agent, service));
        matches!(route, Route::Forward { agent: to, address: at, .. }
            if to == agent && at == address(agent))
    }
}
