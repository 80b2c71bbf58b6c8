//! Packets, intents and an agent harness shared by the tests.

use std::{
    collections::HashMap,
    net::SocketAddrV4,
    ops::RangeInclusive,
    sync::Arc,
    time::{Duration, Instant},
};

use sassafrasmast_core::flow::{
    Agent, Head, Intent, Key, Purpose, Reason, Report, State,
    agent::{self, Action, Announcement, Delivery},
    intent::{Backend, Policy, Route, Service},
    packet::Flags,
};

pub const SERVICE: &str = "booking";
pub const OTHER_SERVICE: &str = "manifests";
pub const ZONE: &str = "zone-a";
pub const OTHER_ZONE: &str = "zone-b";

pub const fn ms(millis: u64) -> Duration {
    Duration::from_millis(millis)
}

pub fn address(text: &str) -> SocketAddrV4 {
    text.parse().unwrap()
}

pub fn route_address() -> SocketAddrV4 {
    address("198.18.0.1:443")
}

pub fn flow(client_port: u16) -> Key {
    Key {
        client: SocketAddrV4::new([100, 64, 0, 1].into(), client_port),
        route: route_address(),
    }
}

/// Head of a client's packet.
pub fn client_head(flow: Key, flags: Flags, acknowledgement: u32, data_len: u16) -> Head {
    Head {
        source: flow.client,
        destination: flow.route,
        flags,
        sequence: 100,
        acknowledgement,
        data_len,
    }
}

pub fn syn(flow: Key) -> Head {
    let flags = Flags {
        syn: true,
        ..Flags::default()
    };
    client_head(flow, flags, 0, 0)
}

pub fn data(flow: Key, acknowledgement: u32) -> Head {
    let flags = Flags {
        ack: true,
        ..Flags::default()
    };
    client_head(flow, flags, acknowledgement, 500)
}

/// Head of an upstream's packet.
pub fn upstream_head(flow: Key, flags: Flags, sequence: u32, data_len: u16) -> Head {
    Head {
        source: flow.route,
        destination: flow.client,
        flags,
        sequence,
        acknowledgement: 0,
        data_len,
    }
}

pub fn syn_ack(flow: Key, sequence: u32) -> Head {
    let flags = Flags {
        syn: true,
        ack: true,
        ..Flags::default()
    };
    upstream_head(flow, flags, sequence, 0)
}

pub fn bounced(head: Head) -> Head {
    Head {
        flags: Flags {
            bounced: true,
            ..head.flags
        },
        ..head
    }
}

/// An intent with a single route to `backends`.
pub fn intent(revision: u64, backends: &[(&str, u32)], cold_rate: f64) -> Arc<Intent> {
    let route = Route {
        backends: backends
            .iter()
            .map(|&(service, weight)| Backend {
                service: service.into(),
                weight,
            })
            .collect(),
        ..Route::default()
    };
    let service = Service {
        cold_rate,
        cold_for: ms(2_000),
    };
    Arc::new(Intent {
        revision,
        policy: Policy {
            version: revision,
            routes: HashMap::from([(route_address(), route)]),
            services: [SERVICE, OTHER_SERVICE]
                .into_iter()
                .map(|name| (name.into(), service))
                .collect(),
            idle_timeout: Duration::from_secs(15),
        },
        ..Intent::default()
    })
}

pub fn simple_intent() -> Arc<Intent> {
    intent(1, &[(SERVICE, 1)], 0.0)
}

pub fn announcement(incarnation: u64, sequence: u64) -> Announcement {
    Announcement {
        id: format!("i-{incarnation}"),
        incarnation,
        sequence,
        draining: false,
        slots: 5,
        cold_left: Duration::ZERO,
    }
}

pub fn ready_report() -> Report {
    Report {
        agent: 1,
        upstream: 1,
        state: State::Ready,
        slots: 5,
        headroom: u16::MAX,
        ..Report::default()
    }
}

/// An agent with an intent, and methods that return its resulting actions.
pub struct AgentRig {
    pub agent: Agent,
    pub now: Instant,
    pub balancer: SocketAddrV4,
}

impl AgentRig {
    /// An agent whose upstream has not announced itself yet.
    pub fn unannounced() -> Self {
        Self::started_at(1)
    }

    /// As [`Self::unannounced`], with its start time in milliseconds.
    pub fn started_at(incarnation: u64) -> Self {
        Self::with(agent::Settings {
            incarnation,
            ..agent::Settings::default()
        })
    }

    fn with(settings: agent::Settings) -> Self {
        let now = Instant::now();
        let mut agent = Agent::new(
            now,
            agent::Settings {
                service: SERVICE.into(),
                zone: ZONE.into(),
                cold_coverage: 1.5,
                cold_slack: 5.0,
                ..settings
            },
        );
        assert!(agent.set_intent(simple_intent()));
        Self {
            agent,
            now,
            balancer: address("10.0.0.1:7000"),
        }
    }

    /// An agent that received its upstream's first announcement.
    pub fn ready() -> Self {
        Self::ready_with(agent::Settings::default())
    }

    /// As [`Self::ready`], with some settings.
    pub fn ready_with(settings: agent::Settings) -> Self {
        let mut rig = Self::with(agent::Settings {
            incarnation: 1,
            ..settings
        });
        rig.announce(&announcement(1, 1));
        rig
    }

    /// An agent that received its upstream's first announcements, 600 ms apart, which prove that it runs.
    pub fn confirmed() -> Self {
        let mut rig = Self::ready();
        rig.announce_each(600, 1, 2..=3);
        rig
    }

    /// Announces an incarnation with each sequence number after a pause, and returns the actions.
    pub fn announce_each(
        &mut self,
        pause: u64,
        incarnation: u64,
        sequences: RangeInclusive<u64>,
    ) -> Vec<Action> {
        let announce = |sequence| {
            self.now += ms(pause);
            self.announce(&announcement(incarnation, sequence))
        };
        sequences.flat_map(announce).collect()
    }

    /// Delivers a packet of a flow, which the upstream bounces.
    pub fn deliver_bounced(&mut self, flow: Key) -> Vec<Action> {
        let packet = data(flow, 8);
        self.deliver(Purpose::Known, &packet);
        self.handle_upstream_packet(&bounced(packet))
    }

    pub fn announce(&mut self, announcement: &Announcement) -> Vec<Action> {
        let mut actions = Vec::new();
        self.agent
            .handle_announcement(self.now, announcement, &mut actions);
        actions
    }

    pub fn deliver(&mut self, purpose: Purpose, head: &Head) -> Vec<Action> {
        self.deliver_at(1, purpose, head)
    }

    pub fn deliver_at(&mut self, revision: u64, purpose: Purpose, head: &Head) -> Vec<Action> {
        let mut actions = Vec::new();
        let delivery = Delivery {
            purpose,
            service: SERVICE,
            sender_revision: revision,
            head,
            packet: b"packet",
        };
        self.agent
            .deliver(self.now, self.balancer, &delivery, &mut actions);
        actions
    }

    pub fn handle_upstream_packet(&mut self, head: &Head) -> Vec<Action> {
        let mut actions = Vec::new();
        self.agent
            .handle_upstream_packet(self.now, head, &mut actions);
        actions
    }

    pub fn locate(&mut self, flow: Key) -> Vec<Action> {
        let mut actions = Vec::new();
        self.agent
            .locate(self.now, self.balancer, flow, 8, &mut actions);
        actions
    }

    pub fn tick(&mut self, after: Duration) -> Vec<Action> {
        self.now += after;
        let mut actions = Vec::new();
        self.agent.tick(self.now, &mut actions);
        actions
    }

    /// Opens a flow whose upstream sends a SYN-ACK with `sequence`.
    pub fn open(&mut self, flow: Key, sequence: u32) {
        assert_eq!(
            self.deliver(Purpose::Open, &syn(flow)),
            [Action::ToUpstream]
        );
        self.handle_upstream_packet(&syn_ack(flow, sequence));
        assert_eq!(
            self.deliver(Purpose::Known, &data(flow, sequence + 1)),
            [Action::ToUpstream]
        );
    }

    pub fn return_actions(&self, reason: Reason) -> Vec<Action> {
        vec![Action::Return {
            to: self.balancer,
            reason,
        }]
    }
}
