//! Random schedules of faults: the invariants hold after every step, whatever comes together.

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
    DISPATCH, Fleet, INCARNATION, MANIFESTS, ZONES, address, caller, document, initial, ready,
};

const BALANCERS: usize = 2;
const AGENTS: u32 = 10;
const FLOWS: usize = 30;
const CONTROL_RATE: u64 = 3_000;
const BURST: u64 = 600;
const MAX_HOLD: Duration = Duration::from_secs(5);
/// Time in which packets that are on their way still reach a zone that was taken out.
const ZONE_FORWARD: Duration = Duration::from_secs(1);

const IDLE_TIMEOUT: Duration = Duration::from_secs(20);

#[derive(Debug, Clone)]
enum Fault {
    Pass(u64),
    ZoneOut(usize, bool),
    Drain(u32, bool),
    Replace(u32),
    Install(usize),
    Pause(usize, u64),
    Mute(u32, bool),
    Leave(u32, bool),
    Learn(u32),
    Restart(u32),
    Packet(usize, u32, bool),
    First(usize, bool),
    Handback(usize, u32, u8),
    Noise(usize, Vec<u8>),
}

fn faults() -> impl Strategy<Value = Vec<Fault>> {
    let agent = 0..AGENTS * 2;
    let balancer = 0..BALANCERS;
    let one = prop_oneof![
        4 => (1_u64..5_000).prop_map(Fault::Pass),
        1 => (0..ZONES.len(), any::<bool>()).prop_map(|(zone, out)| Fault::ZoneOut(zone, out)),
        1 => (agent.clone(), any::<bool>()).prop_map(|(agent, on)| Fault::Drain(agent, on)),
        1 => agent.clone().prop_map(Fault::Replace),
        2 => balancer.clone().prop_map(Fault::Install),
        1 => (balancer.clone(), 1_100_u64..40_000).prop_map(|(at, ms)| Fault::Pause(at, ms)),
        2 => (agent.clone(), any::<bool>()).prop_map(|(agent, mute)| Fault::Mute(agent, mute)),
        1 => (agent.clone(), any::<bool>()).prop_map(|(agent, on)| Fault::Leave(agent, on)),
        2 => agent.clone().prop_map(Fault::Learn),
        1 => agent.clone().prop_map(Fault::Restart),
        8 => (balancer.clone(), agent.clone(), any::<bool>())
            .prop_map(|(at, agent, other)| Fault::Packet(at, agent, other)),
        4 => (balancer.clone(), any::<bool>()).prop_map(|(at, other)| Fault::First(at, other)),
        2 => (balancer.clone(), agent, any::<u8>())
            .prop_map(|(at, agent, attempt)| Fault::Handback(at, agent, attempt)),
        1 => (balancer, prop::collection::vec(any::<u8>(), 0..2_000))
            .prop_map(|(at, bytes)| Fault::Noise(at, bytes)),
    ];
    prop::collection::vec(one, 1..60)
}

/// An agent as it is, whatever balancers believe.
#[derive(Debug, Clone)]
struct Truth {
    mute: bool,
    leaving: bool,
    incarnation: u64,
    version: u64,
}

/// One balancer and what it was told.
struct Seat {
    fleet: Fleet,
    told: BTreeMap<AgentId, (Instant, State)>,
    /// Zones that it knows to be out, and when it learnt that, if it was forwarding then.
    out: BTreeMap<String, Option<Instant>>,
    /// When it last resumed from a pause, until its configuration can be verified.
    resumed: Option<Instant>,
    answered: bool,
    newest: u64,
}

struct World {
    seats: Vec<Seat>,
    truths: BTreeMap<AgentId, Truth>,
    latest: Document,
    start: Instant,
    now: Instant,
}

impl Seat {
    fn install(&mut self, latest: &Document, now: Instant) {
        self.fleet.document = latest.clone();
        if !self.fleet.install() {
            return;
        }
        let learnt = self.resumed.is_none().then_some(now);
        self.out.retain(|zone, _| latest.zones[zone].out);
        for (zone, _) in latest.zones.iter().filter(|(_, zone)| zone.out) {
            self.out.entry(zone.clone()).or_insert(learnt);
        }
    }
}

impl World {
    fn new() -> Self {
        let latest = document(7, 3);
        let now = Instant::now();
        let seats = (0..BALANCERS).map(|_| {
            let mut fleet = Fleet::new(latest.clone(), Settings::default());
            fleet.now = now;
            Seat {
                fleet,
                told: BTreeMap::new(),
                out: BTreeMap::new(),
                resumed: None,
                answered: false,
                newest: 0,
            }
        });
        let truth = |agent| {
            let truth = Truth {
                mute: false,
                leaving: false,
                incarnation: INCARNATION,
                version: 1,
            };
            (agent, truth)
        };
        let mut world = Self {
            seats: seats.collect(),
            truths: (1..=AGENTS).map(truth).collect(),
            latest,
            start: now,
            now,
        };
        world.pass(Duration::from_secs(1), None);
        world
    }

    fn agent(&self, pick: u32) -> AgentId {
        1 + pick % (self.latest.next_agent - 1)
    }

    fn apply(&mut self, fault: Fault) {
        match fault {
            Fault::Pass(ms) => self.pass(Duration::from_millis(ms), None),
            Fault::Pause(at, ms) => self.pause(at, Duration::from_millis(ms)),
            Fault::ZoneOut(zone, out) => {
                let zone = self.latest.zones.get_mut(ZONES[zone]);
                zone.expect("a known zone").out = out;
                self.latest.version += 1;
            }
            Fault::Drain(pick, draining) => {
                let agent = self.agent(pick);
                if let Some(upstream) = self.latest.upstreams.get_mut(&agent) {
                    upstream.draining = draining;
                    self.latest.version += 1;
                }
            }
            Fault::Replace(pick) => self.replace(self.agent(pick)),
            Fault::Install(at) => self.seats[at].install(&self.latest, self.now),
            Fault::Mute(pick, mute) => self.truth(pick).mute = mute,
            Fault::Leave(pick, leaving) => self.truth(pick).leaving = leaving,
            Fault::Learn(pick) => {
                let version = self.latest.version;
                self.truth(pick).version = version;
            }
            Fault::Restart(pick) => self.truth(pick).incarnation += 1,
            Fault::Packet(at, pick, other) => self.packet(at, self.agent(pick), other),
            Fault::First(at, other) => self.first(at, service(other)),
            Fault::Handback(at, pick, attempt) => self.handback(at, self.agent(pick), attempt),
            Fault::Noise(at, bytes) => self.noise(at, &bytes),
        }
        self.check_control_bytes();
    }

    fn truth(&mut self, pick: u32) -> &mut Truth {
        let agent = self.agent(pick);
        self.truths.get_mut(&agent).expect("every agent is tracked")
    }

    /// A new agent of the other service takes over the address.
    fn replace(&mut self, agent: AgentId) {
        let Some(mut upstream) = self.latest.upstreams.remove(&agent) else {
            return;
        };
        upstream.service = service(upstream.service == DISPATCH);
        let successor = self.latest.next_agent;
        self.latest.upstreams.insert(successor, upstream);
        self.latest.next_agent += 1;
        self.latest.version += 1;
        let truth = Truth {
            version: self.latest.version,
            ..self.truths[&agent].clone()
        };
        self.truths.insert(successor, truth);
    }

    /// Lets time pass for all but one balancer.
    fn pass(&mut self, time: Duration, except: Option<usize>) {
        let end = self.now + time;
        while self.now < end {
            self.now += Router::TICK;
            for at in 0..BALANCERS {
                if Some(at) != except {
                    self.tick(at);
                }
            }
        }
    }

    fn pause(&mut self, at: usize, time: Duration) {
        self.pass(time, Some(at));
        let seat = &mut self.seats[at];
        seat.fleet.now = self.now;
        seat.resumed = Some(self.now);
        seat.answered = false;
        seat.newest = 0;
    }

    fn tick(&mut self, at: usize) {
        let seat = &mut self.seats[at];
        seat.fleet.now = self.now;
        let mut actions = Vec::new();
        seat.fleet.router.tick(self.now, &mut actions);
        for action in actions {
            if let Action::Send {
                to,
                body: Body::Probe { nonce, .. },
            } = action
            {
                self.answer(at, to, nonce);
            }
        }
        let seat = &mut self.seats[at];
        let present = seat.fleet.document.version >= seat.newest;
        let waited = |resumed| self.now - resumed >= MAX_HOLD;
        if seat.answered && (present || seat.resumed.is_some_and(waited)) {
            seat.resumed = None;
        }
    }

    /// Whoever lives at the probed address answers as what it is.
    fn answer(&mut self, at: usize, to: std::net::SocketAddr, nonce: u32) {
        let at_address =
            |(_, upstream): &(_, &sassafrasmast_core::config::Upstream)| upstream.agent == to;
        let Some((&agent, upstream)) = self.latest.upstreams.iter().find(at_address) else {
            return;
        };
        let truth = &self.truths[&agent];
        if truth.mute {
            return;
        }
        let load = Load {
            state: if truth.leaving {
                State::Draining
            } else {
                State::Ready
            },
            ..ready()
        };
        let body = Body::Report {
            nonce,
            service: Some(upstream.service),
            agent: Some(agent),
            incarnation: truth.incarnation,
            load,
        };
        let seat = &mut self.seats[at];
        seat.fleet.receive(to, truth.version, body);
        seat.answered = true;
        seat.newest = seat.newest.max(truth.version);
        if seat.fleet.document.upstreams.contains_key(&agent) {
            seat.told.insert(agent, (self.now, load.state));
        }
    }

    fn packet(&mut self, at: usize, agent: AgentId, other: bool) {
        let seat = &self.seats[at];
        let owner = self.service_of(agent);
        let to = if other {
            service(owner == DISPATCH)
        } else {
            owner
        };
        let route = seat.fleet.route(to, &seat.fleet.short(agent, owner));
        let config = &seat.fleet.document;
        let known = config.upstreams.get(&agent);
        match route {
            Route::Forward {
                agent: chosen,
                address: chosen_address,
                ..
            } => {
                let upstream = known.expect("forwarded to an admitted agent");
                assert_eq!((chosen, chosen_address), (agent, upstream.agent));
                assert_eq!(upstream.service, to, "another service");
                if config.zones[&upstream.zone].out {
                    let learnt = seat.out[&upstream.zone].expect("it was forwarding then");
                    let known = self.now - learnt;
                    assert!(known < ZONE_FORWARD, "an out zone after {known:?}");
                }
                self.check_verified(at);
            }
            Route::Reset { agent: gone, .. } => {
                assert_eq!(gone, agent);
                if let Some(upstream) = known {
                    let silent = match seat.told.get(&agent) {
                        Some((heard, _)) => self.now - *heard,
                        None => self.now - self.start,
                    };
                    let out = config.zones[&upstream.zone].out;
                    assert!(out || silent > IDLE_TIMEOUT, "reset after {silent:?}");
                }
            }
            Route::Place { .. } => panic!("a packet of an open flow is never placed"),
            Route::Drop(_) => {}
        }
    }

    /// Service of an agent that lives or lived.
    fn service_of(&self, agent: AgentId) -> ServiceId {
        let known = |seat: &Seat| seat.fleet.document.upstreams.get(&agent).map(|u| u.service);
        let latest = self.latest.upstreams.get(&agent).map(|u| u.service);
        let held = self.seats.iter().find_map(known);
        latest.or(held).unwrap_or(DISPATCH)
    }

    fn first(&mut self, at: usize, to: ServiceId) {
        for _ in 0..FLOWS {
            if let Route::Place { agent, address } = self.seats[at].fleet.route(to, &initial()) {
                self.check_placed(at, to, agent, address);
            }
        }
    }

    fn check_placed(&self, at: usize, to: ServiceId, agent: AgentId, on: std::net::SocketAddr) {
        let seat = &self.seats[at];
        let config = &seat.fleet.document;
        let upstream = &config.upstreams[&agent];
        assert_eq!((upstream.service, upstream.agent), (to, on));
        assert!(!upstream.draining, "placed on a draining upstream");
        assert!(!config.zones[&upstream.zone].out, "placed in an out zone");
        let told = seat.told.get(&agent).map(|(_, state)| *state);
        assert_ne!(told, Some(State::Draining), "placed on a leaving agent");
        self.check_verified(at);
    }

    /// A resumed balancer sends nothing before somebody answered, nor while a newer version was
    /// heard of and can still be waited for.
    fn check_verified(&self, at: usize) {
        let seat = &self.seats[at];
        assert!(
            seat.resumed.is_none(),
            "sent without a verified configuration"
        );
    }

    fn handback(&mut self, at: usize, agent: AgentId, attempt: u8) {
        let Some(upstream) = self.seats[at].fleet.document.upstreams.get(&agent) else {
            return;
        };
        let (to, from) = (upstream.service, upstream.agent);
        let payload = initial();
        let body = Body::Handback {
            service: to,
            agent,
            incarnation: self.truths[&agent].incarnation,
            attempt,
            caller: caller(),
            load: ready(),
            payload: &payload,
        };
        let mut bytes = Vec::new();
        sassafrasmast_wire::Frame::new(1, body)
            .encode(&mut bytes)
            .expect("a first datagram fits");
        let mut actions = Vec::new();
        let router = &self.seats[at].fleet.router;
        router.receive(self.now, from, &bytes, &mut actions);
        self.seats[at].told.insert(agent, (self.now, State::Ready));
        for action in actions {
            if let Action::Send {
                to: on,
                body: Body::Inbound { agent: next, .. },
            } = action
            {
                assert!(attempt < 3 && next != agent);
                self.check_placed(at, to, next, on);
            }
        }
    }

    fn noise(&self, at: usize, bytes: &[u8]) {
        let fleet = &self.seats[at].fleet;
        let route = fleet.route(DISPATCH, bytes);
        assert!(!matches!(
            route,
            Route::Forward { .. } | Route::Reset { .. }
        ));
        fleet
            .router
            .receive(self.now, caller(), bytes, &mut Vec::new());
    }

    fn check_control_bytes(&self) {
        let seconds = (self.now - self.start).as_secs() + 1;
        for seat in &self.seats {
            let bytes = seat
                .fleet
                .router
                .counters()
                .control_bytes
                .load(Ordering::Relaxed);
            assert!(
                bytes <= CONTROL_RATE * seconds + BURST,
                "{bytes} in {seconds} s"
            );
        }
    }
}

fn service(other: bool) -> ServiceId {
    if other { MANIFESTS } else { DISPATCH }
}

proptest! {
    #![proptest_config(ProptestConfig::with_cases(256))]

    #[test]
    fn invariants_hold_under_random_faults(faults in faults()) {
        let mut world = World::new();
        for fault in faults {
            world.apply(fault);
        }
    }

    #[test]
    fn any_datagram_is_routed_or_dropped(
        mut datagram in prop::collection::vec(any::<u8>(), 0..2_100),
        opens: bool,
    ) {
        let fleet = Fleet::ready();
        fleet.route(DISPATCH, &datagram);
        if opens && datagram.len() > 18 {
            datagram[1..18].copy_from_slice(&fleet.cid(2, DISPATCH));
            fleet.route(DISPATCH, &datagram);
        }
        let mut actions = Vec::new();
        fleet.router.receive(fleet.now, address(1), &datagram, &mut actions);
        if let Some(first) = datagram.first_mut() {
            *first = 1;
        }
        let mut actions = Vec::new();
        fleet.router.receive(fleet.now, address(1), &datagram, &mut actions);
    }
}
