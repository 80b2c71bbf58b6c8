//! Random schedules of faults and traffic, with the invariants of routing checked at every step.

use std::{
    collections::BTreeMap,
    sync::atomic::Ordering,
    time::{Duration, Instant},
};

use proptest::prelude::*;
use sassafrasmast_core::{
    balancer::{Action, Route, Router, Settings},
    config::Document,
};
use sassafrasmast_wire::{AgentId, Body, Load, ServiceId, State};

use super::fixture::{
    DISPATCH, Harness, INCARNATION, MANIFESTS, ZONES, address, caller, document, initial,
    ready_load,
};

const BALANCERS: usize = 2;
const AGENTS: u32 = 10;
const FLOWS_PER_STEP: usize = 30;
/// Limit on all control traffic of one balancer, calls between processes included.
const MAX_CONTROL_BYTES_PER_S: u64 = 3_000;
const CONTROL_BURST_BYTES: u64 = 600;
const MAX_HOLD: Duration = Duration::from_secs(5);
/// Time for which packets are still forwarded to a zone that was taken out of service.
const ZONE_OUT_FORWARD_PERIOD: Duration = Duration::from_secs(1);

const DEAD_AFTER: Duration = Duration::from_secs(20);

/// One step of a schedule. Balancers and zones are given by index; agents by a number that
/// [`Simulation::agent_id`] maps to an id.
#[derive(Debug, Clone)]
enum Step {
    /// Time passes, in milliseconds.
    Pass(u64),
    /// The latest configuration takes a zone out of service or back in.
    ZoneOut(usize, bool),
    /// The latest configuration starts or stops draining an agent.
    Drain(u32, bool),
    /// The latest configuration replaces an agent by one of the other service at its address.
    Replace(u32),
    /// A balancer installs the latest configuration.
    Install(usize),
    /// A balancer is paused, in milliseconds.
    Pause(usize, u64),
    /// An agent stops or resumes answering probes.
    Silence(u32, bool),
    /// An agent starts or stops reporting that it drains.
    ReportDraining(u32, bool),
    /// An agent learns the latest config version.
    LearnConfig(u32),
    /// An agent restarts.
    Restart(u32),
    /// A balancer receives a packet of an open flow, at its own or the other service's address.
    Packet(usize, u32, bool),
    /// A balancer receives first datagrams of flows of one of the services.
    Initial(usize, bool),
    /// A balancer receives a handback from an agent, with its number of attempts.
    Handback(usize, u32, u8),
    /// A balancer receives random bytes as a datagram and as a frame.
    Garbage(usize, Vec<u8>),
}

fn schedule() -> impl Strategy<Value = Vec<Step>> {
    let agent = 0..AGENTS * 2;
    let balancer = 0..BALANCERS;
    let one = prop_oneof![
        4 => (1_u64..5_000).prop_map(Step::Pass),
        1 => (0..ZONES.len(), any::<bool>()).prop_map(|(zone, out)| Step::ZoneOut(zone, out)),
        1 => (agent.clone(), any::<bool>()).prop_map(|(agent, on)| Step::Drain(agent, on)),
        1 => agent.clone().prop_map(Step::Replace),
        2 => balancer.clone().prop_map(Step::Install),
        1 => (balancer.clone(), 1_100_u64..40_000).prop_map(|(index, ms)| Step::Pause(index, ms)),
        2 => (agent.clone(), any::<bool>()).prop_map(|(agent, on)| Step::Silence(agent, on)),
        1 => (agent.clone(), any::<bool>()).prop_map(|(agent, on)| Step::ReportDraining(agent, on)),
        2 => agent.clone().prop_map(Step::LearnConfig),
        1 => agent.clone().prop_map(Step::Restart),
        8 => (balancer.clone(), agent.clone(), any::<bool>())
            .prop_map(|(index, agent, other)| Step::Packet(index, agent, other)),
        4 => (balancer.clone(), any::<bool>())
            .prop_map(|(index, manifests)| Step::Initial(index, manifests)),
        2 => (balancer.clone(), agent, any::<u8>())
            .prop_map(|(index, agent, attempt)| Step::Handback(index, agent, attempt)),
        1 => (balancer, prop::collection::vec(any::<u8>(), 0..2_000))
            .prop_map(|(index, bytes)| Step::Garbage(index, bytes)),
    ];
    prop::collection::vec(one, 1..60)
}

/// Actual state of an agent, which may differ from what the balancers know.
#[derive(Debug, Clone)]
struct Agent {
    silent: bool,
    draining: bool,
    incarnation: u64,
    version: u64,
}

/// One balancer and the information it has received.
struct Balancer {
    harness: Harness,
    /// Time and state of the last report of each agent.
    last_report: BTreeMap<AgentId, (Instant, State)>,
    /// Zones out of service according to its configuration, and when it learned that; `None` if it
    /// was not forwarding then.
    zones_out: BTreeMap<String, Option<Instant>>,
    /// When it last resumed from a pause; `None` once its configuration can be verified.
    unverified_since: Option<Instant>,
    /// Whether an agent has answered a probe since then.
    answered_since_resume: bool,
    /// Newest config version in the answers since then.
    newest_version_heard: u64,
}

struct Simulation {
    balancers: Vec<Balancer>,
    agents: BTreeMap<AgentId, Agent>,
    latest: Document,
    start: Instant,
    now: Instant,
}

impl Balancer {
    fn install(&mut self, latest: &Document, now: Instant) {
        self.harness.document = latest.clone();
        if !self.harness.install() {
            return;
        }
        let learned = self.unverified_since.is_none().then_some(now);
        self.zones_out.retain(|zone, _| latest.zones[zone].out);
        for (zone, _) in latest.zones.iter().filter(|(_, zone)| zone.out) {
            self.zones_out.entry(zone.clone()).or_insert(learned);
        }
    }
}

impl Simulation {
    fn new() -> Self {
        let latest = document(7, 3);
        let now = Instant::now();
        let balancers = (0..BALANCERS).map(|_| {
            let mut harness = Harness::new(latest.clone(), Settings::default());
            harness.now = now;
            Balancer {
                harness,
                last_report: BTreeMap::new(),
                zones_out: BTreeMap::new(),
                unverified_since: None,
                answered_since_resume: false,
                newest_version_heard: 0,
            }
        });
        let state = |agent| {
            let state = Agent {
                silent: false,
                draining: false,
                incarnation: INCARNATION,
                version: 1,
            };
            (agent, state)
        };
        let mut simulation = Self {
            balancers: balancers.collect(),
            agents: (1..=AGENTS).map(state).collect(),
            latest,
            start: now,
            now,
        };
        simulation.advance(Duration::from_secs(1), None);
        simulation
    }

    fn agent_id(&self, pick: u32) -> AgentId {
        1 + pick % (self.latest.next_agent - 1)
    }

    fn apply(&mut self, step: Step) {
        match step {
            Step::Pass(ms) => self.advance(Duration::from_millis(ms), None),
            Step::Pause(index, ms) => self.pause(index, Duration::from_millis(ms)),
            Step::ZoneOut(zone, out) => {
                let zone = self.latest.zones.get_mut(ZONES[zone]);
                zone.expect("the zone is in the configuration").out = out;
                self.latest.version += 1;
            }
            Step::Drain(pick, draining) => {
                let agent = self.agent_id(pick);
                if let Some(upstream) = self.latest.upstreams.get_mut(&agent) {
                    upstream.draining = draining;
                    self.latest.version += 1;
                }
            }
            Step::Replace(pick) => self.replace(self.agent_id(pick)),
            Step::Install(index) => self.balancers[index].install(&self.latest, self.now),
            Step::Silence(pick, silent) => self.agent_mut(pick).silent = silent,
            Step::ReportDraining(pick, draining) => self.agent_mut(pick).draining = draining,
            Step::LearnConfig(pick) => {
                let version = self.latest.version;
                self.agent_mut(pick).version = version;
            }
            Step::Restart(pick) => self.agent_mut(pick).incarnation += 1,
            Step::Packet(index, pick, other) => self.packet(index, self.agent_id(pick), other),
            Step::Initial(index, manifests) => self.place_flows(index, manifests_if(manifests)),
            Step::Handback(index, pick, tries) => self.handback(index, self.agent_id(pick), tries),
            Step::Garbage(index, bytes) => self.garbage(index, &bytes),
        }
        self.check_control_bytes();
    }

    fn agent_mut(&mut self, pick: u32) -> &mut Agent {
        let agent = self.agent_id(pick);
        self.agents.get_mut(&agent).expect("every agent is tracked")
    }

    /// Replaces an agent by a new one of the other service at the same address.
    fn replace(&mut self, agent: AgentId) {
        let Some(mut upstream) = self.latest.upstreams.remove(&agent) else {
            return;
        };
        upstream.service = manifests_if(upstream.service == DISPATCH);
        let successor = self.latest.next_agent;
        self.latest.upstreams.insert(successor, upstream);
        self.latest.next_agent += 1;
        self.latest.version += 1;
        let state = Agent {
            version: self.latest.version,
            ..self.agents[&agent].clone()
        };
        self.agents.insert(successor, state);
    }

    /// Advances time by `time` with ticks of all balancers but `except`.
    fn advance(&mut self, time: Duration, except: Option<usize>) {
        let end = self.now + time;
        while self.now < end {
            self.now += Router::TICK;
            for index in 0..BALANCERS {
                if Some(index) != except {
                    self.tick(index);
                }
            }
        }
    }

    fn pause(&mut self, index: usize, time: Duration) {
        self.advance(time, Some(index));
        let balancer = &mut self.balancers[index];
        balancer.harness.now = self.now;
        balancer.unverified_since = Some(self.now);
        balancer.answered_since_resume = false;
        balancer.newest_version_heard = 0;
    }

    fn tick(&mut self, index: usize) {
        let balancer = &mut self.balancers[index];
        balancer.harness.now = self.now;
        let mut actions = Vec::new();
        balancer.harness.router.tick(self.now, &mut actions);
        for action in actions {
            if let Action::Send {
                to,
                body: Body::Probe { nonce, .. },
            } = action
            {
                self.answer(index, to, nonce);
            }
        }
        let balancer = &mut self.balancers[index];
        let is_current = balancer.harness.document.version >= balancer.newest_version_heard;
        let waited = |resumed| self.now - resumed >= MAX_HOLD;
        if balancer.answered_since_resume
            && (is_current || balancer.unverified_since.is_some_and(waited))
        {
            balancer.unverified_since = None;
        }
    }

    /// Answers a probe with the actual state of the agent at the probed address.
    fn answer(&mut self, index: usize, address: std::net::SocketAddr, nonce: u32) {
        let at_address =
            |(_, upstream): &(_, &sassafrasmast_core::config::Upstream)| upstream.agent == address;
        let Some((&agent, upstream)) = self.latest.upstreams.iter().find(at_address) else {
            return;
        };
        let state = &self.agents[&agent];
        if state.silent {
            return;
        }
        let load = Load {
            state: if state.draining {
                State::Draining
            } else {
                State::Ready
            },
            ..ready_load()
        };
        let body = Body::Report {
            nonce,
            service: Some(upstream.service),
            agent: Some(agent),
            incarnation: state.incarnation,
            load,
        };
        let balancer = &mut self.balancers[index];
        balancer.harness.receive(address, state.version, body);
        balancer.answered_since_resume = true;
        balancer.newest_version_heard = balancer.newest_version_heard.max(state.version);
        if balancer.harness.document.upstreams.contains_key(&agent) {
            balancer.last_report.insert(agent, (self.now, load.state));
        }
    }

    fn packet(&mut self, index: usize, agent: AgentId, other: bool) {
        let balancer = &self.balancers[index];
        let owner = self.service_of(agent);
        let service = if other {
            manifests_if(owner == DISPATCH)
        } else {
            owner
        };
        let route = balancer
            .harness
            .route(service, &balancer.harness.short_packet(agent, owner));
        let config = &balancer.harness.document;
        let admitted = config.upstreams.get(&agent);
        match route {
            Route::Forward {
                agent: chosen,
                address: chosen_address,
                ..
            } => {
                let upstream =
                    admitted.expect("the packet was forwarded to an agent that is not admitted");
                assert_eq!((chosen, chosen_address), (agent, upstream.agent));
                assert_eq!(
                    upstream.service, service,
                    "forwarded to agent {agent} of another service"
                );
                if config.zones[&upstream.zone].out {
                    let learned = balancer.zones_out[&upstream.zone]
                        .expect("forwarded to a zone that went out of service during a hold");
                    let time_since_learned = self.now - learned;
                    assert!(
                        time_since_learned < ZONE_OUT_FORWARD_PERIOD,
                        "forwarded to agent {agent} in an out zone after {time_since_learned:?}"
                    );
                }
                self.check_verified(index);
            }
            Route::Reset { agent: gone, .. } => {
                assert_eq!(gone, agent);
                if let Some(upstream) = admitted {
                    let silent = match balancer.last_report.get(&agent) {
                        Some((heard, _)) => self.now - *heard,
                        None => self.now - self.start,
                    };
                    let out = config.zones[&upstream.zone].out;
                    assert!(
                        out || silent > DEAD_AFTER,
                        "flow of agent {agent} reset after {silent:?}"
                    );
                }
            }
            Route::Place { .. } => panic!("an open flow of agent {agent} was placed anew"),
            Route::Drop(_) => {}
        }
    }

    /// Service of a present or former agent.
    fn service_of(&self, agent: AgentId) -> ServiceId {
        let service_in_config = |balancer: &Balancer| {
            balancer
                .harness
                .document
                .upstreams
                .get(&agent)
                .map(|u| u.service)
        };
        let latest = self.latest.upstreams.get(&agent).map(|u| u.service);
        let installed = self.balancers.iter().find_map(service_in_config);
        latest.or(installed).unwrap_or(DISPATCH)
    }

    fn place_flows(&mut self, index: usize, service: ServiceId) {
        for _ in 0..FLOWS_PER_STEP {
            if let Route::Place { agent, address } =
                self.balancers[index].harness.route(service, &initial())
            {
                self.check_placed(index, service, agent, address);
            }
        }
    }

    fn check_placed(
        &self,
        index: usize,
        service: ServiceId,
        agent: AgentId,
        address: std::net::SocketAddr,
    ) {
        let balancer = &self.balancers[index];
        let config = &balancer.harness.document;
        let upstream = &config.upstreams[&agent];
        assert_eq!((upstream.service, upstream.agent), (service, address));
        assert!(
            !upstream.draining,
            "placed on agent {agent}, whose upstream drains"
        );
        assert!(
            !config.zones[&upstream.zone].out,
            "placed on agent {agent} in an out zone"
        );
        let last_report = balancer.last_report.get(&agent).map(|(_, state)| *state);
        assert_ne!(
            last_report,
            Some(State::Draining),
            "placed on agent {agent}, which reported that it drains"
        );
        self.check_verified(index);
    }

    /// A resumed balancer sends nothing before an agent has answered, nor while it knows of a newer
    /// version and the maximum hold has not passed.
    fn check_verified(&self, index: usize) {
        let balancer = &self.balancers[index];
        assert!(
            balancer.unverified_since.is_none(),
            "balancer {index} sent without a verified configuration"
        );
    }

    fn handback(&mut self, index: usize, agent: AgentId, attempt: u8) {
        let Some(upstream) = self.balancers[index].harness.document.upstreams.get(&agent) else {
            return;
        };
        let (service, from) = (upstream.service, upstream.agent);
        let payload = initial();
        let body = Body::Handback {
            service,
            agent,
            incarnation: self.agents[&agent].incarnation,
            attempt,
            caller: caller(),
            load: ready_load(),
            payload: &payload,
        };
        let mut bytes = Vec::new();
        sassafrasmast_wire::Frame::new(1, body)
            .encode(&mut bytes)
            .expect("the frame fits the size limit");
        let mut actions = Vec::new();
        let router = &self.balancers[index].harness.router;
        router.receive(self.now, from, &bytes, &mut actions);
        self.balancers[index]
            .last_report
            .insert(agent, (self.now, State::Ready));
        for action in actions {
            if let Action::Send {
                to: address,
                body: Body::Inbound { agent: next, .. },
            } = action
            {
                assert!(attempt < 3 && next != agent);
                self.check_placed(index, service, next, address);
            }
        }
    }

    fn garbage(&self, index: usize, bytes: &[u8]) {
        let harness = &self.balancers[index].harness;
        let route = harness.route(DISPATCH, bytes);
        assert!(!matches!(
            route,
            Route::Forward { .. } | Route::Reset { .. }
        ));
        harness
            .router
            .receive(self.now, caller(), bytes, &mut Vec::new());
    }

    fn check_control_bytes(&self) {
        let seconds = (self.now - self.start).as_secs() + 1;
        for balancer in &self.balancers {
            let bytes = balancer
                .harness
                .router
                .counters()
                .control_bytes
                .load(Ordering::Relaxed);
            assert!(
                bytes <= MAX_CONTROL_BYTES_PER_S * seconds + CONTROL_BURST_BYTES,
                "{bytes} control bytes in {seconds} s"
            );
        }
    }
}

/// The manifests service if `manifests`, otherwise dispatch.
fn manifests_if(manifests: bool) -> ServiceId {
    if manifests { MANIFESTS } else { DISPATCH }
}

proptest! {
    #![proptest_config(ProptestConfig::with_cases(256))]

    #[test]
    fn invariants_hold_under_random_faults(steps in schedule()) {
        let mut simulation = Simulation::new();
        for step in steps {
            simulation.apply(step);
        }
    }

    #[test]
    fn routing_any_datagram_does_not_panic(
        mut datagram in prop::collection::vec(any::<u8>(), 0..2_100),
        with_sealed_cid: bool,
    ) {
        let harness = Harness::ready();
        harness.route(DISPATCH, &datagram);
        if with_sealed_cid && datagram.len() > 18 {
            datagram[1..18].copy_from_slice(&harness.cid(2, DISPATCH));
            harness.route(DISPATCH, &datagram);
        }
        let mut actions = Vec::new();
        harness.router.receive(harness.now, address(1), &datagram, &mut actions);
        if let Some(first) = datagram.first_mut() {
            *first = 1; // Protocol version 1, so that decoding proceeds past the first byte.
        }
        let mut actions = Vec::new();
        harness.router.receive(harness.now, address(1), &datagram, &mut actions);
    }
}
