//! Tests of admission at one balancer: who gets a free place, who is refused at once, and callers that
//! return.

use std::{net::SocketAddrV4, time::Instant};

use sassafrasmast_core::flow::{
    Balancer, Head, Intent, Key, Member, Reason, Report,
    balancer::{self, Action, DropCause, ResetCause},
};
use sassafrasmast_wire::flow::{Attempt, Body};

use crate::fixture::{SERVICE, ZONE, address, ms, ready_report, route_address, simple_intent, syn};

/// Priorities of the routes, whose ports follow each other.
const CRITICAL: u16 = 0;
const LOWER: u16 = 1;
const LOWEST: u16 = 2;

/// Limit of queued SYNs.
const MAX_QUEUED: usize = 40;

fn agent(port: u16) -> SocketAddrV4 {
    SocketAddrV4::new([10, 0, 1, 1].into(), port)
}

/// A flow of a client with an address of its own, to the route of a priority.
fn flow(priority: u16, client: u16) -> Key {
    let [high, low] = client.to_be_bytes();
    let route = route_address();
    Key {
        client: SocketAddrV4::new([100, 64, high, low].into(), 40_000),
        route: SocketAddrV4::new(*route.ip(), route.port() + priority),
    }
}

/// An intent with routes of three priorities to one service.
fn classes() -> Intent {
    let mut intent = (*simple_intent()).clone();
    let template = intent.policy.routes[&route_address()].clone();
    for priority in [CRITICAL, LOWER, LOWEST] {
        let mut route = template.clone();
        route.priority = u8::try_from(priority).unwrap();
        route.timeout = Some(ms(1_500));
        route.latency_objective = Some(ms(300));
        let address = flow(priority, 0).route;
        intent.policy.routes.insert(address, route);
    }
    intent
}

fn room(headroom: u16) -> Report {
    Report {
        headroom,
        busy: 5,
        ..ready_report()
    }
}

/// What a balancer's actions do to flows.
#[derive(Debug, Default, PartialEq, Eq)]
struct Decisions {
    placed: Vec<Key>,
    reset: Vec<(Key, ResetCause)>,
    dropped: Vec<(Key, DropCause)>,
}

/// A balancer with classes and full upstreams.
struct Rig {
    balancer: Balancer,
    agents: u16,
    now: Instant,
    decisions: Decisions,
    /// Messages to agents about admission.
    messages: Vec<Action>,
}

impl Rig {
    fn new(agents: u16) -> Self {
        Self::with_intent(agents, classes())
    }

    fn with_intent(agents: u16, intent: Intent) -> Self {
        Self::with_settings(agents, intent, false)
    }

    fn with_settings(agents: u16, intent: Intent, fair_shares: bool) -> Self {
        let now = Instant::now();
        let settings = balancer::Settings {
            zone: ZONE.into(),
            max_queued: MAX_QUEUED,
            fair_shares,
            ..balancer::Settings::default()
        };
        let mut balancer = Balancer::new(now, settings);
        assert!(balancer.set_intent(intent.into()));
        let members = (1..=agents)
            .map(|port| Member::listed(agent(port), SERVICE.into(), ZONE.into(), room(0)));
        balancer.set_members(now, members.collect());
        let mut rig = Self {
            balancer,
            agents,
            now: now + ms(5_000),
            decisions: Decisions::default(),
            messages: Vec::new(),
        };
        for port in 1..=agents {
            rig.report(port, 0);
        }
        rig
    }

    fn note(&mut self, actions: Vec<Action>, current: Option<Key>) {
        for action in actions {
            match action {
                Action::Forward { .. } => self.decisions.placed.push(current.unwrap()),
                Action::Send { packet, .. } => self.decisions.placed.push(decode(&packet)),
                Action::Reset { flow, cause, .. } => self.decisions.reset.push((flow, cause)),
                Action::Drop(flow, cause) => self.decisions.dropped.push((flow, cause)),
                Action::Probe(_) => {}
                message => self.messages.push(message),
            }
        }
    }

    fn syn_copy(&mut self, flow: Key, copy: u32) {
        let head = Head {
            acknowledgement: copy,
            ..syn(flow)
        };
        let mut actions = Vec::new();
        self.balancer
            .handle_client_packet(self.now, &head, &encode(flow), &mut actions);
        self.note(actions, Some(flow));
    }

    fn syn(&mut self, flow: Key) {
        self.syn_copy(flow, 0);
    }

    fn frame(&mut self, port: u16, body: &Body<'_>, head: Option<&Head>) {
        let mut actions = Vec::new();
        self.balancer
            .handle_agent_frame(self.now, agent(port), body, head, &mut actions);
        self.note(actions, None);
    }

    fn report(&mut self, port: u16, headroom: u16) {
        self.frame(port, &Body::Report(room(headroom)), None);
    }

    /// An agent's upstream accepts a flow, and has no more room.
    fn accept(&mut self, port: u16, flow: Key) {
        let accepted = Body::Accepted {
            flow,
            sequence: 1_000,
            report: room(0),
        };
        self.frame(port, &accepted, None);
    }

    fn return_syn(&mut self, port: u16, flow: Key, reason: Reason) {
        let packet = encode(flow);
        let returned = Body::Returned {
            reason,
            report: room(0),
            packet: &packet,
        };
        self.frame(port, &returned, Some(&syn(flow)));
    }

    /// States an agent's room with a return, after which it is left for the next tick.
    fn state_room_unused(&mut self, port: u16, headroom: u16) {
        let unknown = flow(LOWEST, 9_999);
        let packet = encode(unknown);
        let returned = Body::Returned {
            reason: Reason::Busy,
            report: room(headroom),
            packet: &packet,
        };
        self.frame(port, &returned, Some(&syn(unknown)));
    }

    fn tick(&mut self, millis: u64) {
        for _ in 0..millis / 5 {
            self.now += ms(5);
            let mut actions = Vec::new();
            self.balancer.tick(self.now, &mut actions);
            self.note(actions, None);
            // Reports stay fresh, so that no room is assumed.
            for port in 1..=self.agents {
                self.report(port, 0);
            }
        }
    }

    /// Gives one place at the first agent, and returns the flow that got it.
    fn give_place(&mut self) -> Key {
        let before = self.decisions.placed.len();
        self.report(1, 1);
        let placed = &self.decisions.placed[before..];
        assert_eq!(placed.len(), 1, "one place, one SYN: {placed:?}");
        let flow = placed[0];
        self.accept(1, flow);
        flow
    }

    /// An overload of 200 ms in which seven SYNs of the lower class arrive for each that is placed.
    fn overload(&mut self) {
        for round in 0..4 {
            for client in 0..7 {
                self.syn(flow(LOWER, 1_000 + 100 * round + client));
            }
            self.tick(50);
            self.give_place();
        }
        self.decisions = Decisions::default();
    }
}

/// The bytes of a client's packet, which name its flow.
fn encode(flow: Key) -> Vec<u8> {
    format!("{}>{}", flow.client, flow.route).into_bytes()
}

fn decode(packet: &[u8]) -> Key {
    let text = std::str::from_utf8(packet).unwrap();
    let (client, route) = text.split_once('>').unwrap();
    Key {
        client: address(client),
        route: address(route),
    }
}

/// Guards against a free place for a SYN that came first while a more critical one waits.
#[test]
fn free_place_goes_to_the_most_critical_class() {
    let mut rig = Rig::new(1);
    for (priority, client) in [(LOWEST, 1), (LOWER, 2), (CRITICAL, 3), (LOWER, 4)] {
        rig.syn(flow(priority, client));
        rig.now += ms(1);
    }
    let places: Vec<_> = (0..4).map(|_| rig.give_place()).collect();
    let expected = [(CRITICAL, 3), (LOWER, 2), (LOWER, 4), (LOWEST, 1)];
    assert_eq!(
        places,
        expected.map(|(priority, client)| flow(priority, client))
    );
}

/// Guards against a new SYN that passes a more critical one in the queue.
#[test]
fn new_syn_waits_behind_a_more_critical_one() {
    let mut rig = Rig::new(2);
    rig.syn(flow(CRITICAL, 1));
    rig.state_room_unused(2, 1);
    rig.syn(flow(LOWER, 2));
    assert_eq!(rig.decisions.placed, []);
    rig.tick(5);
    assert_eq!(rig.decisions.placed, [flow(CRITICAL, 1)]);
}

/// Guards against a class that is starved while a more critical one always waits.
#[test]
fn each_lower_class_gets_one_of_twenty_places() {
    let mut rig = Rig::new(1);
    let mut client = 0;
    let mut refill = |rig: &mut Rig, priority: u16| {
        client += 1;
        rig.syn(flow(priority, client));
    };
    for priority in [CRITICAL, LOWER, LOWEST] {
        refill(&mut rig, priority);
    }
    let mut places = [0; 3];
    for _ in 0..210 {
        let placed = rig.give_place();
        let priority = placed.route.port() - route_address().port();
        places[usize::from(priority)] += 1;
        refill(&mut rig, priority);
        rig.now += ms(1);
    }
    let [_, lower, lowest] = places;
    assert!(
        (10..=11).contains(&lower) && (10..=11).contains(&lowest),
        "{places:?}"
    );
}

/// Guards against critical SYNs that are refused since the queue is full of less critical ones.
#[test]
fn full_queue_evicts_the_newest_of_the_least_critical_class() {
    let mut rig = Rig::new(1);
    rig.syn(flow(LOWEST, 1));
    rig.now += ms(1);
    rig.syn(flow(LOWEST, 2));
    for client in 3..=MAX_QUEUED {
        rig.syn(flow(LOWER, u16::try_from(client).unwrap()));
    }
    assert_eq!(rig.balancer.queued_count(), MAX_QUEUED);
    rig.syn(flow(CRITICAL, 1));
    rig.syn(flow(CRITICAL, 2));
    let evicted = |client| (flow(LOWEST, client), ResetCause::Evicted);
    assert_eq!(rig.decisions.reset, [evicted(2), evicted(1)]);
    // None is less critical than one of the lowest class.
    rig.syn(flow(LOWEST, 3));
    assert_eq!(
        rig.decisions.reset.last(),
        Some(&(flow(LOWEST, 3), ResetCause::Overloaded))
    );
    assert_eq!(rig.balancer.queued_count(), MAX_QUEUED);
}

/// Guards against an untrue reset: another balancer may have opened the evicted flow.
#[test]
fn evicted_syn_is_dropped_if_a_copy_went_elsewhere() {
    let mut rig = Rig::new(1);
    rig.syn_copy(flow(LOWEST, 1), 1);
    for client in 2..=MAX_QUEUED {
        rig.syn(flow(LOWER, u16::try_from(client).unwrap()));
    }
    rig.syn(flow(CRITICAL, 1));
    assert_eq!(
        rig.decisions.dropped,
        [(flow(LOWEST, 1), DropCause::Unsure)]
    );
    assert_eq!(rig.decisions.reset, []);
}

/// Guards against clients that wait half of their limit for a refusal that is certain at once.
#[test]
fn first_copy_is_refused_if_it_cannot_be_served() {
    let mut rig = Rig::new(1);
    rig.overload();
    rig.syn(flow(LOWER, 1));
    assert_eq!(
        rig.decisions.reset,
        [(flow(LOWER, 1), ResetCause::Unservable)]
    );
    // More critical ones are not behind those that wait.
    rig.syn(flow(CRITICAL, 1));
    assert_eq!(rig.decisions.reset.len(), 1);
    assert_eq!(rig.give_place(), flow(CRITICAL, 1));
}

/// Guards against an untrue refusal: the first copy may have been placed by another balancer.
#[test]
fn later_copy_is_not_refused_by_the_forecast() {
    let mut rig = Rig::new(1);
    rig.overload();
    rig.syn_copy(flow(LOWER, 1), 1);
    assert_eq!(rig.decisions.reset, []);
}

/// Guards against an untrue refusal: an upstream that did not answer may still accept.
#[test]
fn syn_that_a_silent_upstream_may_accept_is_not_refused() {
    for (reason, refused) in [(Reason::Busy, 1), (Reason::Silent, 0)] {
        let mut rig = Rig::new(2);
        rig.overload();
        rig.state_room_unused(2, 1);
        rig.syn(flow(LOWER, 1));
        assert_eq!(rig.decisions.placed, [flow(LOWER, 1)]);
        rig.return_syn(2, flow(LOWER, 1), reason);
        assert_eq!(rig.decisions.reset.len(), refused, "{reason:?}");
    }
}

/// Guards against refusals while an upstream has room: a client has three attempts only.
#[test]
fn nothing_is_refused_while_an_upstream_has_room() {
    let mut rig = Rig::new(2);
    rig.overload();
    rig.state_room_unused(2, 50);
    rig.syn(flow(LOWER, 1));
    assert_eq!(rig.decisions.reset, []);
    assert_eq!(rig.decisions.placed.last(), Some(&flow(LOWER, 1)));
}

/// Guards against refusals in an outage, after which room returns at once.
#[test]
fn nothing_is_refused_without_placements_in_the_last_second() {
    let mut rig = Rig::new(1);
    for client in 0..30 {
        rig.syn(flow(LOWER, 1_000 + client));
    }
    rig.tick(300);
    rig.syn(flow(LOWER, 1));
    assert_eq!(rig.decisions.reset, []);
    let mut rig = Rig::new(1);
    rig.overload();
    rig.tick(300);
    let placed = rig.decisions.placed.len();
    for step in 0..8 {
        rig.tick(100);
        // Others come, so that SYNs are queued all the time.
        rig.syn(flow(CRITICAL, 10 + step));
    }
    let refused = rig.decisions.reset.len();
    rig.syn(flow(LOWER, 1));
    assert_eq!(rig.decisions.placed.len(), placed);
    assert_eq!(rig.decisions.reset.len(), refused);
}

/// Guards against a SYN that is sent on the strength of a place that another one is about to take.
#[test]
fn reports_before_the_answer_to_a_syn_do_not_state_another_place() {
    let mut rig = Rig::new(1);
    rig.syn(flow(LOWER, 1));
    rig.syn(flow(LOWER, 2));
    rig.report(1, 1);
    rig.report(1, 1);
    assert_eq!(rig.decisions.placed, [flow(LOWER, 1)]);
    rig.accept(1, flow(LOWER, 1));
    rig.report(1, 1);
    assert_eq!(rig.decisions.placed, [flow(LOWER, 1), flow(LOWER, 2)]);
}

/// Guards against a place that stays unused after the loss of a SYN or of its answer.
#[test]
fn lost_syn_does_not_take_a_place_for_long() {
    let mut rig = Rig::new(1);
    rig.syn(flow(LOWER, 1));
    rig.syn(flow(LOWER, 2));
    rig.report(1, 1);
    rig.tick(25);
    rig.report(1, 1);
    assert_eq!(rig.decisions.placed, [flow(LOWER, 1), flow(LOWER, 2)]);
}

/// Guards against agents that offer places without knowing the classes that wait.
#[test]
fn demand_names_the_classes_that_wait() {
    let mut rig = Rig::new(1);
    rig.syn(flow(LOWER, 1));
    rig.syn(flow(CRITICAL, 1));
    rig.syn(flow(LOWER, 2));
    rig.tick(5);
    let demand = Action::ClassDemand {
        to: agent(1),
        waiting: vec![(0, 1), (1, 2)],
    };
    assert!(rig.messages.contains(&demand), "{:?}", rig.messages);
    let is_plain = |message: &Action| matches!(message, Action::Demand { .. });
    assert!(!rig.messages.iter().any(is_plain));
}

/// Guards against a balancer that asks for less the more it refuses, and so gets ever fewer places.
#[test]
fn demand_counts_refused_syns() {
    let mut rig = Rig::new(1);
    rig.overload();
    for client in 1..=10 {
        rig.syn(flow(LOWER, client));
    }
    assert_eq!(rig.decisions.reset.len(), 10);
    rig.messages.clear();
    rig.tick(20);
    let queued = rig.balancer.queued_count();
    let demanded = rig.messages.iter().find_map(|message| match message {
        Action::ClassDemand { waiting, .. } => Some(usize::from(waiting[0].1)),
        _ => None,
    });
    assert!(
        demanded >= Some(queued + 10),
        "{demanded:?}, {queued} queued"
    );
}

/// Makes a balancer refuse an attempt after half of the time limit, while another SYN waits.
fn refuse_overdue(rig: &mut Rig, flow: Key) {
    rig.syn(flow);
    rig.tick(200);
    rig.syn_copy(flow, 1);
    rig.tick(400);
    rig.syn_copy(flow, 2);
    rig.syn(self::flow(LOWER, 700));
    rig.tick(200);
    assert_eq!(rig.decisions.reset, [(flow, ResetCause::Overloaded)]);
}

/// Guards against callers that return and look like new ones to another balancer.
#[test]
fn returning_caller_is_ordered_by_the_age_of_its_first_attempt() {
    let caller = flow(LOWER, 7);
    let mut first = Rig::new(5);
    refuse_overdue(&mut first, caller);
    let ended = first.messages.iter().find_map(|message| match message {
        Action::Ended { to, attempts } => Some((*to, attempts.clone())),
        _ => None,
    });
    let (directory, attempts) = ended.unwrap();
    let [
        Attempt {
            client,
            route,
            age_ms,
        },
    ] = attempts[..]
    else {
        panic!("{attempts:?}");
    };
    assert_eq!((client, route), (*caller.client.ip(), caller.route));
    assert!((750..800).contains(&age_ms), "{age_ms}");

    let mut other = Rig::new(5);
    let retry = Key {
        client: SocketAddrV4::new(*caller.client.ip(), 40_001),
        ..caller
    };
    other.syn(retry);
    other.syn(flow(LOWER, 8));
    other.tick(25);
    let asked = |message: &Action| matches!(message, Action::Inquire { to, flows } if *to == directory && flows.contains(&retry));
    assert!(other.messages.iter().any(asked), "{:?}", other.messages);
    let earlier = Body::Earlier {
        flows: vec![(retry, age_ms)],
    };
    other.frame(directory.port(), &earlier, None);
    // It is late already, so the new caller goes first.
    assert_eq!(other.give_place(), flow(LOWER, 8));
    assert_eq!(other.give_place(), retry);
}

/// Guards against a returning caller that waits in vain for its second attempt, too.
#[test]
fn returning_caller_is_refused_if_it_cannot_be_served() {
    let mut rig = Rig::new(1);
    for client in 0..8 {
        rig.syn(flow(LOWER, 1_000 + client));
    }
    for _ in 0..4 {
        rig.tick(50);
        rig.give_place();
    }
    let retry = flow(LOWER, 1);
    rig.syn(retry);
    assert_eq!(rig.decisions.reset, [], "it could be served if it were new");
    for client in 2..10 {
        rig.syn(flow(LOWER, client));
    }
    let earlier = Body::Earlier {
        flows: vec![(retry, 800)],
    };
    rig.frame(1, &earlier, None);
    assert!(
        rig.decisions
            .reset
            .contains(&(retry, ResetCause::Unservable)),
        "{:?}",
        rig.decisions.reset
    );
}

/// Guards against an answer that moves flows that no longer wait, or are not known.
#[test]
fn late_answer_about_earlier_attempts_changes_nothing() {
    let mut rig = Rig::new(1);
    rig.syn(flow(LOWER, 1));
    assert_eq!(rig.give_place(), flow(LOWER, 1));
    let earlier = Body::Earlier {
        flows: vec![(flow(LOWER, 1), 800), (flow(LOWER, 2), u32::MAX)],
    };
    rig.frame(1, &earlier, None);
    assert_eq!(rig.balancer.queued_count(), 0);
    assert_eq!(rig.decisions.reset, []);
    assert_eq!(rig.decisions.dropped, []);
}

/// Guards against messages about callers of services without classes.
#[test]
fn callers_are_not_reported_without_classes() {
    let mut intent = classes();
    for route in intent.policy.routes.values_mut() {
        route.priority = 3;
    }
    let mut rig = Rig::with_intent(1, intent);
    refuse_overdue(&mut rig, flow(LOWER, 7));
    let is_demand = |message: &Action| matches!(message, Action::Demand { .. });
    assert!(rig.messages.iter().all(is_demand), "{:?}", rig.messages);
}

/// Another flow of the client that has this one.
fn sibling(flow: Key, port: u16) -> Key {
    Key {
        client: SocketAddrV4::new(*flow.client.ip(), port),
        ..flow
    }
}

/// Guards against an address whose attempts take all places while others wait.
#[test]
fn addresses_take_turns_with_fair_shares() {
    let play = |fair_shares| {
        let mut rig = Rig::with_settings(1, classes(), fair_shares);
        for port in 0..20 {
            rig.syn(sibling(flow(LOWER, 1), 30_000 + port));
            rig.now += ms(1);
        }
        for client in 2..=4 {
            rig.syn(flow(LOWER, client));
            rig.now += ms(1);
        }
        let places: Vec<_> = (0..6).map(|_| *rig.give_place().client.ip()).collect();
        let of = |client| *flow(LOWER, client).client.ip();
        places.iter().filter(|&&address| address != of(1)).count()
    };
    assert_eq!(play(false), 0);
    assert_eq!(play(true), 3);
}

/// Guards against turns that are lost or gained by SYNs that are taken out and queued again.
#[test]
fn turns_outlast_ticks_without_room() {
    let mut rig = Rig::with_settings(1, classes(), true);
    for port in 0..3 {
        rig.syn(sibling(flow(LOWER, 1), 30_000 + port));
        rig.now += ms(1);
    }
    rig.syn(flow(LOWER, 2));
    rig.tick(50);
    let places: Vec<_> = (0..4).map(|_| rig.give_place()).collect();
    let first = sibling(flow(LOWER, 1), 30_000);
    assert_eq!(places[..2], [first, flow(LOWER, 2)]);
}

/// Guards against an address that fills the queue, so that others are refused.
#[test]
fn address_that_fills_the_queue_makes_room_for_others() {
    let mut rig = Rig::with_settings(1, classes(), true);
    for port in 0..MAX_QUEUED {
        let port = 30_000 + u16::try_from(port).unwrap();
        rig.syn(sibling(flow(LOWER, 1), port));
        rig.now += ms(1);
    }
    rig.syn(flow(LOWER, 2));
    let newest = sibling(
        flow(LOWER, 1),
        30_000 + u16::try_from(MAX_QUEUED).unwrap() - 1,
    );
    assert_eq!(rig.decisions.reset, [(newest, ResetCause::Evicted)]);
    rig.syn(sibling(flow(LOWER, 1), 29_999));
    let refused = (sibling(flow(LOWER, 1), 29_999), ResetCause::Overloaded);
    assert_eq!(rig.decisions.reset.last(), Some(&refused));
}

/// Guards against an address with one attempt that is refused since another one's SYNs are queued.
#[test]
fn forecast_counts_turns() {
    for (fair_shares, refused) in [(false, 1), (true, 0)] {
        let mut rig = Rig::with_settings(1, classes(), fair_shares);
        for round in 0..4 {
            for client in 0..7 {
                let port = 30_000 + 10 * round + client;
                rig.syn(sibling(flow(LOWER, 1), port));
            }
            rig.tick(50);
            rig.give_place();
        }
        rig.decisions = Decisions::default();
        rig.syn(flow(LOWER, 2));
        assert_eq!(rig.decisions.reset.len(), refused, "{fair_shares}");
    }
}

/// Guards against an untrue reset: an upstream that did not answer may still accept.
#[test]
fn full_queue_drops_a_syn_that_a_silent_upstream_may_accept() {
    let mut rig = Rig::new(2);
    rig.state_room_unused(2, 1);
    rig.syn(flow(LOWEST, 1));
    assert_eq!(rig.decisions.placed, [flow(LOWEST, 1)]);
    for client in 0..MAX_QUEUED {
        rig.syn(flow(CRITICAL, 100 + u16::try_from(client).unwrap()));
    }
    rig.return_syn(2, flow(LOWEST, 1), Reason::Silent);
    assert_eq!(rig.decisions.reset, []);
    let dropped = (flow(LOWEST, 1), DropCause::Unsure);
    assert_eq!(rig.decisions.dropped, [dropped]);
}
