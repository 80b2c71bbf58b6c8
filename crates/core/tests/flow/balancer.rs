//! Tests of the balancer: which agents it sends packets to, and which flows it resets.

use std::{
    collections::{HashSet, VecDeque},
    net::SocketAddrV4,
    sync::Arc,
    time::{Duration, Instant},
};

use sassafrasmast_core::flow::{
    Balancer, Head, Intent, Key, Member, Purpose, Reason, Report, State,
    balancer::{self, Action, DropCause, ResetCause},
    intent::{Kind, Route},
};
use sassafrasmast_wire::flow::Body;

use crate::fixture::{
    OTHER_ZONE, SERVICE, ZONE, address, data, flow, intent, ms, ready_report, simple_intent, syn,
};

struct Rig {
    balancer: Balancer,
    now: Instant,
    /// Agents that answer probes at once.
    answering: Vec<SocketAddrV4>,
    /// Whether the store confirms the list of agents at once when it is asked.
    store_answers: bool,
}

impl Rig {
    /// A balancer that has known `agents` (port and zone) for longer than its settle time.
    fn new(agents: &[(u16, &str)]) -> Self {
        let now = Instant::now();
        let mut balancer = Balancer::new(
            now,
            balancer::Settings {
                zone: ZONE.into(),
                ..balancer::Settings::default()
            },
        );
        assert!(balancer.set_intent(simple_intent()));
        let members = agents
            .iter()
            .map(|&(port, zone)| member(port, zone))
            .collect();
        balancer.set_members(now, members);
        Self {
            balancer,
            now: now + ms(5_000),
            answering: Vec::new(),
            store_answers: true,
        }
    }

    /// Confirms the list of agents if an action asks for that.
    fn answer_list(&mut self, actions: &mut Vec<Action>) {
        if self.store_answers && actions.contains(&Action::List) {
            actions.retain(|action| *action != Action::List);
            self.balancer.confirm_members(self.now, self.now, actions);
        }
    }

    /// As [`Self::new`], with this number of agents in one zone, at ports from 1 on.
    fn with(agents: u16) -> Self {
        let agents: Vec<_> = (1..=agents).map(|port| (port, ZONE)).collect();
        Self::new(&agents)
    }

    fn packet(&mut self, head: &Head) -> Vec<Action> {
        self.packet_with(head, b"packet")
    }

    fn packet_with(&mut self, head: &Head, bytes: &[u8]) -> Vec<Action> {
        let mut actions = Vec::new();
        self.balancer
            .handle_client_packet(self.now, head, bytes, &mut actions);
        self.answer_list(&mut actions);
        actions
    }

    /// Makes the first agent report as many requests in progress as it admits, less `room`.
    fn report_room(&mut self, room: u16) -> Vec<Action> {
        let report = Report {
            busy: 10 - room,
            ..ready_report()
        };
        self.report_from(agent(1), report)
    }

    fn fill(&mut self) {
        self.report_room(0);
    }

    fn fill_but_one(&mut self) -> Vec<Action> {
        self.report_room(1)
    }

    fn frame(&mut self, from: SocketAddrV4, body: &Body<'_>, head: Option<&Head>) -> Vec<Action> {
        let mut actions = Vec::new();
        self.balancer
            .handle_agent_frame(self.now, from, body, head, &mut actions);
        self.answer_list(&mut actions);
        actions
    }

    fn tick(&mut self, millis: u64) -> Vec<Action> {
        self.now += ms(millis);
        let mut actions = Vec::new();
        self.balancer.tick(self.now, &mut actions);
        self.answer_list(&mut actions);
        for action in &actions {
            if let Action::Probe(to) = action
                && self.answering.contains(to)
            {
                let sent = self.balancer.members().probe_timestamp(self.now);
                let report = ready_report();
                self.frame(*to, &Body::Answer { sent, report }, None);
            }
        }
        actions
    }

    /// Puts an intent in force whose requests may be executed more than once.
    fn make_requests_safe(&mut self) {
        let mut safe = (*simple_intent()).clone();
        safe.revision = 2;
        for route in safe.policy.routes.values_mut() {
            route.kind = Kind::Safe;
        }
        assert!(self.balancer.set_intent(safe.into()));
    }

    /// Lists the agent at `address` with what its entry says of a restart, and confirms the list.
    fn confirm(&mut self, address: SocketAddrV4, restarting: Option<bool>) -> Vec<Action> {
        let member = Member {
            listed_restarting: restarting,
            ..member(address.port(), ZONE)
        };
        self.balancer.add_listed_member(self.now, member);
        let (at, mut actions) = (self.now, Vec::new());
        self.balancer.confirm_members(at, at, &mut actions);
        actions
    }

    /// Ticks every 20 ms for `millis` and counts the resets.
    fn resets_within(&mut self, millis: u64) -> usize {
        (0..millis / 20)
            .flat_map(|_| self.tick(20))
            .filter(|action| matches!(action, Action::Reset { .. }))
            .count()
    }

    /// Handles a SYN and returns the agent that it is forwarded to.
    fn open(&mut self, flow: Key) -> SocketAddrV4 {
        target(&self.packet(&syn(flow)))
    }

    fn report_from(&mut self, from: SocketAddrV4, report: Report) -> Vec<Action> {
        self.frame(from, &Body::Report(report), None)
    }

    fn accept(&mut self, from: SocketAddrV4, flow: Key, sequence: u32) {
        let body = Body::Accepted {
            flow,
            sequence,
            report: ready_report(),
        };
        self.frame(from, &body, None);
    }

    fn return_syn(&mut self, from: SocketAddrV4, flow: Key, reason: Reason) -> Vec<Action> {
        let body = Body::Returned {
            reason,
            report: ready_report(),
            packet: b"packet",
        };
        self.frame(from, &body, Some(&syn(flow)))
    }

    fn answer_absent(&mut self, from: SocketAddrV4, flow: Key) -> Vec<Action> {
        let report = ready_report();
        let flows = vec![flow];
        self.frame(from, &Body::Absent { flows, report }, None)
    }
}

fn agent(port: u16) -> SocketAddrV4 {
    SocketAddrV4::new([10, 0, 0, 9].into(), port)
}

fn member(port: u16, zone: &str) -> Member {
    Member::listed(agent(port), SERVICE.into(), zone.into(), ready_report())
}

/// The other one of the agents 1 and 2.
fn other_than(address: SocketAddrV4) -> SocketAddrV4 {
    if address == agent(1) {
        agent(2)
    } else {
        agent(1)
    }
}

/// A retransmitted SYN.
fn syn_copy(flow: Key, copy: u32) -> Head {
    Head {
        acknowledgement: copy,
        ..syn(flow)
    }
}

/// The agent that the only packet is sent to.
fn target(actions: &[Action]) -> SocketAddrV4 {
    match actions {
        [Action::Forward { to, .. } | Action::Send { to, .. } | Action::Locate { to, .. }] => *to,
        other => panic!("expected one packet, got {other:?}"),
    }
}

#[test]
fn new_flows_stay_in_the_zone_while_it_has_room() {
    let mut rig = Rig::new(&[(1, ZONE), (2, OTHER_ZONE)]);
    for port in 0..3 {
        assert_eq!(rig.open(flow(port)), agent(1));
    }
}

#[test]
fn new_flows_go_to_another_zone_if_the_own_one_is_busy() {
    let mut rig = Rig::new(&[(1, ZONE), (2, OTHER_ZONE)]);
    let busy = Report {
        busy: 6,
        ..ready_report()
    };
    rig.report_from(agent(1), busy);
    assert_eq!(rig.open(flow(1)), agent(2));
}

#[test]
fn a_retransmitted_syn_goes_to_another_agent() {
    let mut rig = Rig::new(&[(1, ZONE), (2, ZONE)]);
    let first = rig.open(flow(1));
    assert_ne!(rig.open(flow(1)), first);
}

#[test]
fn a_returned_syn_goes_to_another_agent_at_once() {
    let mut rig = Rig::new(&[(1, ZONE), (2, ZONE)]);
    let first = rig.open(flow(1));
    let second = target(&rig.return_syn(first, flow(1), Reason::Shed));
    assert_ne!(second, first);
}

#[test]
fn a_syn_that_all_upstreams_return_is_queued_and_then_reset() {
    let mut rig = Rig::new(&[(1, ZONE), (2, ZONE)]);
    let first = rig.open(flow(1));
    let second = target(&rig.return_syn(first, flow(1), Reason::Shed));
    assert_eq!(rig.return_syn(second, flow(1), Reason::Shed), []);
    let full = Report {
        busy: 12,
        ..ready_report()
    };
    let mut actions = Vec::new();
    // The client gives up 1.4 s after its first SYN.
    for step in 0..139 {
        rig.report_from(agent(1), full);
        rig.report_from(agent(2), full);
        actions.extend(rig.tick(10));
        match step {
            20 => assert_eq!(rig.packet(&syn_copy(flow(1), 1)), []),
            60 => assert_eq!(rig.packet(&syn_copy(flow(1), 2)), []),
            _ => {}
        }
    }
    let reset = Action::Reset {
        flow: flow(1),
        sequence: 0,
        cause: ResetCause::Overloaded,
    };
    actions.retain(|action| !matches!(action, Action::Probe(_)));
    assert_eq!(actions, [reset]);
}

#[test]
fn a_flow_whose_other_syns_went_to_another_balancer_is_not_reset() {
    let mut rig = Rig::new(&[(1, ZONE)]);
    let full = Report {
        busy: 12,
        ..ready_report()
    };
    rig.report_from(agent(1), full);
    assert_eq!(rig.packet(&syn_copy(flow(1), 1)), []);
    let mut actions = Vec::new();
    for _ in 0..130 {
        rig.report_from(agent(1), full);
        actions.extend(rig.tick(10));
    }
    actions.retain(|action| !matches!(action, Action::Probe(_)));
    assert_eq!(actions, [Action::Drop(flow(1), DropCause::Unsure)]);
}

/// An intent whose requests have a time limit and a latency objective, in milliseconds.
fn limited_intent(timeout: u64, objective: u64) -> Arc<Intent> {
    let mut limited = (*simple_intent()).clone();
    limited.revision = 2;
    for route in limited.policy.routes.values_mut() {
        route.timeout = Some(ms(timeout));
        route.latency_objective = Some(ms(objective));
    }
    limited.into()
}

/// A balancer whose only upstream is full, with a time limit of 1 s and an objective of 200 ms.
fn full_rig() -> Rig {
    let mut rig = Rig::with(1);
    assert!(rig.balancer.set_intent(limited_intent(1_000, 200)));
    rig.fill();
    rig
}

#[test]
fn a_returned_syn_is_not_placed_after_its_client_has_given_up() {
    let mut rig = Rig::new(&[(1, ZONE), (2, ZONE)]);
    let first = rig.open(flow(1));
    rig.now += ms(1_400);
    assert_eq!(
        rig.return_syn(first, flow(1), Reason::Busy),
        [Action::Drop(flow(1), DropCause::Unsure)]
    );
}

#[test]
fn the_age_of_a_syn_counts_from_the_first_copy() {
    let mut rig = full_rig();
    assert_eq!(rig.packet(&syn_copy(flow(1), 2)), []);
    rig.now += ms(400);
    assert_eq!(
        rig.report_from(agent(1), ready_report()),
        [Action::Drop(flow(1), DropCause::Unsure)],
        "the first copy was sent 1,000 ms ago"
    );
}

#[test]
fn syns_that_can_meet_their_objective_go_first_and_late_ones_last_in_first_out() {
    let mut rig = full_rig();
    for (number, pause) in [(1, 20), (2, 150), (3, 20), (4, 20)] {
        rig.fill();
        let head = syn(flow(number.into()));
        assert_eq!(rig.packet_with(&head, &[number]), []);
        rig.now += ms(pause);
    }
    let mut order = Vec::new();
    for _ in 0..4 {
        let mut actions = rig.fill_but_one();
        actions.extend(rig.tick(1));
        for action in actions {
            if let Action::Send { packet, .. } = action {
                order.extend_from_slice(&packet);
            }
        }
    }
    assert_eq!(order, [3, 4, 2, 1]);
}

#[test]
fn an_overdue_syn_is_reset_when_all_its_copies_arrived_so_that_the_client_tries_again() {
    let mut rig = full_rig();
    let mut actions = Vec::new();
    for copy in 0..3 {
        assert_eq!(rig.packet(&syn_copy(flow(1), copy)), []);
        for _ in 0..if copy == 0 { 20 } else { 40 } {
            rig.fill();
            actions.extend(rig.tick(10));
        }
    }
    actions.retain(|action| !matches!(action, Action::Probe(_)));
    let reset = Action::Reset {
        flow: flow(1),
        sequence: 0,
        cause: ResetCause::Overloaded,
    };
    assert_eq!(actions, [reset]);
}

#[test]
fn a_new_syn_is_placed_whatever_the_time_limit() {
    for timeout in [0, 1, 50, 99] {
        let mut rig = Rig::with(1);
        assert!(rig.balancer.set_intent(limited_intent(timeout, 0)));
        assert_eq!(rig.open(flow(1)), agent(1), "time limit {timeout} ms");
    }
}

#[test]
fn a_queued_syn_is_not_placed_after_an_upstream_has_accepted_it_late() {
    let mut rig = Rig::with(1);
    assert_eq!(rig.open(flow(1)), agent(1));
    let full = Report {
        busy: 10,
        ..ready_report()
    };
    let body = Body::Returned {
        reason: Reason::Silent,
        report: full,
        packet: b"packet",
    };
    assert_eq!(rig.frame(agent(1), &body, Some(&syn(flow(1)))), []);
    rig.accept(agent(1), flow(1), 7);
    assert_eq!(rig.tick(5), []);
    assert!(!rig.balancer.has_pending_work());
}

#[test]
fn an_overdue_syn_waits_while_another_balancer_may_have_a_copy() {
    let mut rig = full_rig();
    assert_eq!(rig.packet(&syn(flow(1))), []);
    for _ in 0..80 {
        rig.fill();
        let mut actions = rig.tick(10);
        actions.retain(|action| !matches!(action, Action::Probe(_)));
        assert_eq!(actions, []);
    }
    assert_eq!(target(&rig.report_from(agent(1), ready_report())), agent(1));
}

#[test]
fn a_retransmitted_syn_without_a_route_is_dropped_and_not_reset() {
    let mut rig = Rig::new(&[(1, ZONE)]);
    let unrouted = Key {
        route: address("198.18.9.9:443"),
        ..flow(1)
    };
    assert_eq!(
        rig.packet(&syn_copy(unrouted, 1)),
        [Action::Drop(unrouted, DropCause::Unsure)]
    );
}

#[test]
fn a_queued_syn_goes_to_the_first_upstream_with_room() {
    let mut rig = Rig::new(&[(1, ZONE), (2, ZONE)]);
    let full = Report {
        busy: 12,
        ..ready_report()
    };
    rig.report_from(agent(1), full);
    rig.report_from(agent(2), full);
    assert_eq!(rig.packet(&syn(flow(1))), []);
    assert_eq!(target(&rig.report_from(agent(2), ready_report())), agent(2));
    assert!(!rig.balancer.has_pending_work());
}

#[test]
fn a_flow_to_a_service_without_upstreams_is_reset_at_once() {
    let mut rig = Rig::new(&[]);
    let other = Member::listed(agent(1), "other".into(), ZONE.into(), ready_report());
    rig.balancer.add_listed_member(rig.now, other);
    let reset = Action::Reset {
        flow: flow(1),
        sequence: 0,
        cause: ResetCause::NoUpstream,
    };
    assert_eq!(rig.packet(&syn(flow(1))), [reset]);
}

#[test]
fn an_upstream_that_shed_a_flow_is_avoided_for_a_while() {
    let mut rig = Rig::new(&[(1, ZONE), (2, OTHER_ZONE)]);
    assert_eq!(rig.open(flow(1)), agent(1));
    rig.return_syn(agent(1), flow(1), Reason::Shed);
    rig.accept(agent(2), flow(1), 7);
    assert_eq!(rig.open(flow(2)), agent(2));
    rig.now += ms(1_000);
    assert_eq!(rig.open(flow(3)), agent(1));
}

#[test]
fn an_upstream_in_unknown_state_is_the_last_choice() {
    let mut rig = Rig::new(&[(1, ZONE), (2, OTHER_ZONE)]);
    let unknown = Report {
        state: State::Unknown,
        ..ready_report()
    };
    rig.report_from(agent(1), unknown);
    assert_eq!(rig.open(flow(1)), agent(2));
}

#[test]
fn the_acknowledged_syn_ack_determines_the_owner() {
    let mut rig = Rig::new(&[(1, ZONE), (2, ZONE)]);
    let first = rig.open(flow(1));
    let second = rig.open(flow(1));
    rig.accept(first, flow(1), 7_000);
    rig.accept(second, flow(1), 90_000);
    assert_eq!(target(&rig.packet(&data(flow(1), 90_001))), second);
    assert_eq!(target(&rig.packet(&data(flow(1), 95_000))), second);
}

#[test]
fn an_open_flow_keeps_its_owner_when_its_route_changes() {
    let mut rig = Rig::new(&[(1, ZONE)]);
    let owner = rig.open(flow(1));
    rig.accept(owner, flow(1), 7);
    assert!(rig.balancer.set_intent(intent(2, &[("other", 1)], 0.0)));
    rig.balancer.unlist_member(rig.now, owner);
    assert_eq!(target(&rig.packet(&data(flow(1), 8))), owner);
}

#[test]
fn an_unknown_flow_is_reset_after_every_agent_answered_absent() {
    let mut rig = Rig::new(&[(1, ZONE), (2, ZONE), (3, OTHER_ZONE)]);
    let mut asked = rig.packet(&data(flow(1), 8)).len();
    let mut reset = Vec::new();
    for port in 1..=3 {
        for action in rig.answer_absent(agent(port), flow(1)) {
            match action {
                Action::Locate { .. } => asked += 1,
                other => reset.push(other),
            }
        }
    }
    let expected = Action::Reset {
        flow: flow(1),
        sequence: 8,
        cause: ResetCause::Lost,
    };
    assert_eq!(asked, 3);
    assert_eq!(reset, [expected]);
}

/// A balancer whose only known agent denies a flow, while the list of agents is older.
fn rig_with_old_list() -> Rig {
    let mut rig = Rig::new(&[(1, ZONE)]);
    rig.store_answers = false;
    let listed_at = rig.now;
    rig.balancer
        .confirm_members(rig.now, listed_at, &mut Vec::new());
    rig.now += ms(100);
    rig.packet(&data(flow(1), 8));
    assert_eq!(rig.answer_absent(agent(1), flow(1)), [Action::List]);
    rig
}

#[test]
fn a_flow_at_an_agent_that_was_listed_meanwhile_is_not_reset() {
    let mut rig = rig_with_old_list();
    rig.balancer
        .set_members(rig.now, vec![member(1, ZONE), member(2, ZONE)]);
    let mut actions = Vec::new();
    rig.balancer.confirm_members(rig.now, rig.now, &mut actions);
    actions.extend(rig.tick(20));
    let located = |action: &Action| matches!(action, Action::Locate { to, .. } if *to == agent(2));
    assert!(actions.iter().any(located), "{actions:?}");
    let found = Body::Found {
        flow: flow(1),
        report: ready_report(),
    };
    rig.frame(agent(2), &found, None);
    assert_eq!(target(&rig.packet(&data(flow(1), 8))), agent(2));
    assert_eq!(rig.resets_within(3_000), 0);
}

#[test]
fn a_lost_flow_is_reset_as_soon_as_the_list_of_agents_is_confirmed() {
    let mut rig = rig_with_old_list();
    rig.now += ms(8);
    let mut actions = Vec::new();
    rig.balancer.confirm_members(rig.now, rig.now, &mut actions);
    let reset = Action::Reset {
        flow: flow(1),
        sequence: 8,
        cause: ResetCause::Lost,
    };
    assert_eq!(actions, [reset]);
}

/// Guards against the conclusion from the store's silence that the known agents are all: a balancer that got no
/// answer for some seconds reset open flows at a new agent.
#[test]
fn a_flow_is_not_reset_while_the_store_does_not_answer() {
    let mut rig = rig_with_old_list();
    for _ in 0..50 {
        assert_eq!(rig.resets_within(200), 0);
        rig.packet(&data(flow(1), 8));
        let actions = rig.answer_absent(agent(1), flow(1));
        assert!(
            !actions
                .iter()
                .any(|action| matches!(action, Action::Reset { .. }))
        );
    }
    rig.store_answers = true;
    assert_eq!(rig.resets_within(100), 1);
}

/// Guards against searches that are kept for good while the store does not answer.
#[test]
fn a_search_ends_after_its_time_limit_while_the_store_does_not_answer() {
    let mut rig = rig_with_old_list();
    let mut dropped = 0;
    for _ in 0..150 {
        let actions = rig.tick(20);
        let is_drop = |action: &&Action| matches!(action, Action::Drop(_, DropCause::NotFound));
        dropped += actions.iter().filter(is_drop).count();
    }
    assert_eq!(dropped, 1);
    assert_eq!(rig.balancer.search_count(), 0);
}

#[test]
fn a_flow_is_not_reset_while_one_agent_has_not_answered() {
    let mut rig = Rig::new(&[(1, ZONE), (2, ZONE)]);
    rig.packet(&data(flow(1), 8));
    rig.answer_absent(agent(1), flow(1));
    let actions = rig.tick(500);
    assert!(
        !actions
            .iter()
            .any(|action| matches!(action, Action::Reset { .. })),
        "{actions:?}"
    );
}

#[test]
fn an_unlisted_agent_is_still_asked_in_searches() {
    let mut rig = Rig::new(&[(1, ZONE), (2, ZONE)]);
    rig.balancer.unlist_member(rig.now, agent(2));
    let asked: Vec<_> = rig
        .packet(&data(flow(1), 8))
        .iter()
        .map(|action| target(std::slice::from_ref(action)))
        .collect();
    assert!(asked.contains(&agent(2)), "{asked:?}");
}

#[test]
fn packets_buffered_during_a_search_are_sent_to_the_owner() {
    let mut rig = Rig::new(&[(1, ZONE), (2, ZONE)]);
    rig.packet(&data(flow(1), 8));
    let mut actions = Vec::new();
    rig.balancer
        .handle_client_packet(rig.now, &data(flow(1), 8), b"second", &mut actions);
    assert_eq!(actions, []);
    let body = Body::Found {
        flow: flow(1),
        report: ready_report(),
    };
    let released = |packet: &[u8]| Action::Send {
        to: agent(2),
        purpose: Purpose::Known,
        service: None,
        packet: packet.into(),
    };
    let expected = [released(b"packet"), released(b"second")];
    assert_eq!(rig.frame(agent(2), &body, None), expected);
    assert_eq!(target(&rig.packet(&data(flow(1), 8))), agent(2));
}

#[test]
fn a_buffered_packet_is_sent_only_to_agents_that_answer_unconfirmed() {
    let mut rig = Rig::new(&[(1, ZONE), (2, ZONE)]);
    rig.packet(&data(flow(1), 8));
    let report = ready_report();
    let flow = flow(1);
    let expected = Action::Send {
        to: agent(1),
        purpose: Purpose::Find,
        service: None,
        packet: b"packet".as_slice().into(),
    };
    assert_eq!(
        rig.frame(
            agent(1),
            &Body::Unconfirmed {
                flows: vec![flow],
                report
            },
            None
        ),
        [expected]
    );
    // The upstream has received the packet, which is not sent again.
    assert_eq!(rig.frame(agent(1), &Body::Found { flow, report }, None), []);
}

#[test]
fn a_balancer_without_agents_resets_no_flows() {
    let mut rig = Rig::new(&[]);
    rig.make_requests_safe();
    rig.packet(&data(flow(1), 8));
    assert_eq!(rig.resets_within(3_000), 0);
    assert_eq!(rig.packet(&syn(flow(2))), []);
}

#[test]
fn a_silent_agent_gets_no_new_flows_and_is_probed() {
    let mut rig = Rig::new(&[(1, ZONE), (2, OTHER_ZONE)]);
    assert_eq!(rig.open(flow(1)), agent(1));
    rig.now += ms(200);
    assert_eq!(rig.open(flow(2)), agent(2));
    rig.accept(agent(2), flow(2), 7);
    let probes = rig.tick(0);
    assert_eq!(probes, [Action::Probe(agent(1))]);
    rig.report_from(agent(1), ready_report());
    assert_eq!(rig.open(flow(3)), agent(1));
}

#[test]
fn an_agent_that_did_not_answer_a_search_is_asked_again() {
    let mut rig = Rig::new(&[(1, ZONE), (2, ZONE)]);
    rig.packet(&data(flow(1), 8));
    rig.answer_absent(agent(1), flow(1));
    let asked_again = rig
        .tick(100)
        .iter()
        .any(|action| matches!(action, Action::Locate { to, .. } if *to == agent(2)));
    assert!(asked_again);
    let reset = Action::Reset {
        flow: flow(1),
        sequence: 8,
        cause: ResetCause::Lost,
    };
    assert_eq!(rig.answer_absent(agent(2), flow(1)), [reset]);
}

#[test]
fn searches_do_not_flood_silent_agents() {
    const AGENTS: u16 = 50;
    const FLOWS: u16 = 100;
    let mut rig = Rig::with(AGENTS);
    let mut questions = 0;
    let mut count = |actions: &[Action]| {
        let asked = |action: &&Action| matches!(action, Action::Locate { .. });
        questions += actions.iter().filter(asked).count();
    };
    for client in 1..=FLOWS {
        count(&rig.packet(&data(flow(client), 8)));
    }
    for _ in 0..1_900 / 5 {
        count(&rig.tick(5));
    }
    // One question each, and one repetition since the first may have been lost.
    let most = usize::from(AGENTS) * usize::from(FLOWS) * 2;
    assert!(questions <= most, "{questions} questions");

    // An agent that answers again is asked the unanswered questions again.
    rig.report_from(agent(7), ready_report());
    let asked: Vec<_> = rig.tick(100);
    let again = |action: &&Action| matches!(action, Action::Locate { to, .. } if *to == agent(7));
    assert_eq!(asked.iter().filter(again).count(), usize::from(FLOWS));
}

#[test]
fn questions_of_searches_are_rate_limited() {
    const AGENTS: u16 = 60;
    const FLOWS: u16 = 300;
    let mut rig = Rig::with(AGENTS);
    let rate = balancer::Settings::default().questions_per_second as usize;
    let mut asked = Vec::new();
    let mut ended = Vec::new();
    for client in 1..=FLOWS {
        asked.extend(rig.packet(&data(flow(client), 8)));
    }
    for elapsed in (0..2_000).step_by(5) {
        let mut answers = Vec::new();
        let mut questions = 0;
        for action in std::mem::take(&mut asked) {
            match action {
                Action::Locate { to, flow, .. } => {
                    questions += 1;
                    answers.extend(rig.answer_absent(to, flow));
                }
                Action::Reset { flow, .. } => ended.push((elapsed, flow)),
                _ => {}
            }
        }
        // Twice the burst of a tenth of the rate, well above a burst and the refill of one step.
        assert!(questions <= rate / 5, "{questions} questions in one step");
        asked = answers;
        asked.extend(rig.tick(5));
    }
    // 18,000 questions at 10,000 per second; the first flows end long before the last.
    assert_eq!(ended.len(), usize::from(FLOWS));
    assert!(ended[ended.len() / 4].0 < 900, "{ended:?}");
}

#[test]
fn questions_of_many_searches_share_frames() {
    const AGENTS: u16 = 60;
    const FLOWS: u16 = 40;
    let mut rig = Rig::with(AGENTS);
    let mut frames = 0;
    let mut lost = 0;
    let mut actions = Vec::new();
    for client in 1..=FLOWS {
        actions.extend(rig.packet(&data(flow(client), 8)));
    }
    for _ in 0..200 / 5 {
        let mut answers = Vec::new();
        let mut asked = HashSet::new();
        for action in std::mem::take(&mut actions) {
            match action {
                Action::Locate { to, flow, .. } => {
                    asked.insert(to);
                    answers.extend(rig.answer_absent(to, flow));
                }
                Action::Reset { .. } => lost += 1,
                _ => {}
            }
        }
        // Questions of one step to one agent share a frame.
        frames += asked.len();
        actions = answers;
        actions.extend(rig.tick(5));
    }
    assert_eq!(
        lost, FLOWS,
        "lost flows were not all detected before their clients retransmit a packet"
    );
    // With one frame per question there would be 2,400 frames.
    assert!(frames * 4 <= usize::from(AGENTS * FLOWS), "{frames} frames");
}

#[test]
fn a_safe_flow_is_reset_once_the_last_unanswering_agent_is_unreachable() {
    let mut rig = Rig::new(&[(1, ZONE), (2, ZONE)]);
    rig.answering = vec![agent(1)];
    rig.make_requests_safe();
    rig.confirm(agent(2), Some(false));
    rig.packet(&data(flow(1), 8));
    rig.answer_absent(agent(1), flow(1));
    // The same time as for a flow whose owner is known, see
    // `a_safe_flow_is_reset_when_its_agent_is_unreachable`.
    assert_eq!(rig.resets_within(500), 0);
    assert_eq!(rig.resets_within(300), 1);
}

#[test]
fn an_unreachable_agent_prevents_the_reset_of_an_at_most_once_flow() {
    let mut rig = Rig::new(&[(1, ZONE), (2, ZONE)]);
    rig.packet(&data(flow(1), 8));
    rig.answer_absent(agent(1), flow(1));
    assert_eq!(rig.resets_within(3_000), 0);
}

#[test]
fn a_safe_flow_is_reset_when_its_agent_is_unreachable() {
    let mut rig = Rig::new(&[(1, ZONE), (2, ZONE)]);
    rig.make_requests_safe();
    let owner = rig.open(flow(1));
    rig.accept(owner, flow(1), 7);
    assert_eq!(target(&rig.packet(&data(flow(1), 8))), owner);
    let other = other_than(owner);
    rig.report_from(other, ready_report());
    rig.answering = vec![other];
    rig.now += ms(1_000);
    let probed = rig.packet(&data(flow(1), 8));
    assert!(probed.contains(&Action::Probe(owner)), "{probed:?}");
    assert_eq!(rig.resets_within(200), 0);
    assert_eq!(target(&rig.packet(&data(flow(1), 8))), owner);
    assert_eq!(rig.resets_within(500), 0);
    let reset = Action::Reset {
        flow: flow(1),
        sequence: 8,
        cause: ResetCause::Unreachable,
    };
    assert_eq!(rig.packet(&data(flow(1), 8)), [reset]);
}

#[test]
fn a_balancer_cut_off_from_all_agents_resets_no_flows_and_is_not_ready() {
    let mut rig = Rig::new(&[(1, ZONE), (2, ZONE)]);
    rig.make_requests_safe();
    let owner = rig.open(flow(1));
    rig.accept(owner, flow(1), 7);
    assert!(rig.balancer.is_ready(rig.now));
    // The balancer's own link is down, so that no frame arrives.
    for _ in 0..100 {
        let known = rig.packet(&data(flow(1), 8));
        let unknown = rig.packet(&data(flow(2), 8));
        let due = rig.tick(20);
        let mut actions = known.iter().chain(&unknown).chain(&due);
        assert!(!actions.any(|action| matches!(action, Action::Reset { .. })));
    }
    assert!(!rig.balancer.is_ready(rig.now));
    rig.report_from(owner, ready_report());
    assert!(rig.balancer.is_ready(rig.now));
}

#[test]
fn flows_are_not_reset_while_all_agents_answer_late() {
    let mut rig = Rig::new(&[(1, ZONE), (2, ZONE)]);
    rig.make_requests_safe();
    let owner = rig.open(flow(1));
    rig.accept(owner, flow(1), 7);
    let other = other_than(owner);
    rig.report_from(other, ready_report());
    // Frames arrive in order with a delay of 800 ms.
    let mut in_flight = VecDeque::new();
    let delay = ms(800);
    for _ in 0..200 {
        let mut actions = rig.packet(&data(flow(1), 8));
        actions.extend(rig.tick(20));
        let sent = rig.balancer.members().probe_timestamp(rig.now);
        for action in actions {
            match action {
                Action::Probe(to) => in_flight.push_back((rig.now + delay, to, sent)),
                Action::Reset { .. } => panic!("reset at {sent} ms"),
                _ => {}
            }
        }
        while let Some((_, to, sent)) = in_flight.pop_front_if(|(at, ..)| *at <= rig.now) {
            let report = ready_report();
            rig.frame(to, &Body::Answer { sent, report }, None);
        }
    }
}

#[test]
fn flows_are_not_reset_while_probes_to_other_agents_are_lost_too() {
    let mut rig = Rig::new(&[(1, ZONE), (2, ZONE), (3, ZONE)]);
    rig.make_requests_safe();
    let owner = rig.open(flow(1));
    rig.accept(owner, flow(1), 7);
    for other in (1..=3).map(agent).filter(|other| *other != owner) {
        rig.report_from(other, ready_report());
        rig.answering.push(other);
    }
    let all = rig.answering.clone();
    // One of three rounds of probes is lost.
    for step in 0..300 {
        rig.answering = if step % 15 < 5 {
            Vec::new()
        } else {
            all.clone()
        };
        let mut actions = rig.packet(&data(flow(1), 8));
        actions.extend(rig.tick(20));
        let is_reset = |action: &Action| matches!(action, Action::Reset { .. });
        assert!(!actions.iter().any(is_reset), "reset in step {step}");
    }
    rig.answering = all;
    let resets = (0..50).flat_map(|_| {
        let mut actions = rig.packet(&data(flow(1), 8));
        actions.extend(rig.tick(20));
        actions
    });
    let mut resets = resets.filter(|action| matches!(action, Action::Reset { .. }));
    assert!(
        resets.next().is_some(),
        "flow not reset although its agent is gone and the path to others works"
    );
}

#[test]
fn flows_are_not_reset_while_their_agent_is_restarted_as_planned() {
    let mut rig = Rig::new(&[(1, ZONE), (2, ZONE)]);
    rig.make_requests_safe();
    let owner = rig.open(flow(1));
    rig.accept(owner, flow(1), 7);
    let stopping = Report {
        stopping: true,
        ..ready_report()
    };
    rig.report_from(owner, stopping);
    rig.now += ms(1_000);
    rig.packet(&data(flow(1), 8));
    rig.now += ms(2_000);
    assert_eq!(target(&rig.packet(&data(flow(1), 8))), owner);
}

#[test]
fn an_unlisted_agent_is_used_while_it_answers_probes() {
    let mut rig = Rig::new(&[(1, ZONE)]);
    rig.report_from(agent(1), ready_report());
    rig.balancer.unlist_member(rig.now, agent(1));
    for _ in 0..10 {
        let probes = rig.tick(1_000);
        assert_eq!(probes, [Action::Probe(agent(1))]);
        rig.report_from(agent(1), ready_report());
    }
    assert_eq!(rig.open(flow(1)), agent(1));
}

#[test]
fn a_new_agent_is_probed_once() {
    let mut rig = Rig::new(&[(1, ZONE)]);
    assert_eq!(rig.tick(5), [Action::Probe(agent(1))]);
    rig.report_from(agent(1), ready_report());
    assert_eq!(rig.tick(5_000), []);
}

#[test]
fn a_flow_without_a_route_is_reset_at_once() {
    let mut rig = Rig::new(&[(1, ZONE)]);
    let unrouted = Key {
        route: address("198.18.9.9:443"),
        ..flow(1)
    };
    let reset = Action::Reset {
        flow: unrouted,
        sequence: 0,
        cause: ResetCause::NoRoute,
    };
    assert_eq!(rig.packet(&syn(unrouted)), [reset]);
}

#[test]
fn a_zone_out_of_service_gets_no_new_flows_and_keeps_open_ones() {
    let mut rig = Rig::new(&[(1, ZONE), (2, OTHER_ZONE)]);
    let owner = rig.open(flow(1));
    assert_eq!(owner, agent(1));
    rig.accept(owner, flow(1), 7);
    let mut out = (*simple_intent()).clone();
    out.revision = 2;
    out.zones_out.insert(ZONE.into());
    assert!(rig.balancer.set_intent(out.into()));
    assert_eq!(rig.open(flow(2)), agent(2));
    assert_eq!(target(&rig.packet(&data(flow(1), 8))), owner);
}

#[test]
fn an_upstream_that_was_leaving_is_not_used_again_when_its_agent_is_restarted() {
    for state in [State::Draining, State::Gone] {
        let mut rig = Rig::new(&[(1, ZONE)]);
        let leaving = Report {
            state,
            ..ready_report()
        };
        rig.report_from(agent(1), leaving);
        let restarted = Report {
            agent: 2,
            upstream: 0,
            state: State::Unknown,
            ..ready_report()
        };
        rig.report_from(agent(1), restarted);
        let sent = rig.packet(&syn(flow(1)));
        let is_sent = |action: &Action| matches!(action, Action::Forward { .. });
        assert!(!sent.iter().any(is_sent), "{state:?}: {sent:?}");

        // Its next upstream announces itself.
        rig.report_from(agent(1), ready_report());
        assert_eq!(rig.open(flow(2)), agent(1));
    }
}

#[test]
fn a_flow_to_a_service_whose_zones_are_all_out_is_reset_at_once() {
    let mut rig = Rig::new(&[(1, OTHER_ZONE)]);
    let mut out = (*simple_intent()).clone();
    out.revision = 2;
    out.zones_out.insert(OTHER_ZONE.into());
    assert!(rig.balancer.set_intent(out.into()));
    let reset = Action::Reset {
        flow: flow(1),
        sequence: 0,
        cause: ResetCause::NoUpstream,
    };
    assert_eq!(rig.packet(&syn(flow(1))), [reset]);
}

/// Guards against balancers that hear only of agents of their own zone, which may all miss the same
/// change of operators' intent.
#[test]
fn quiet_agents_of_other_zones_are_probed_in_turn() {
    let zones = [ZONE, OTHER_ZONE, "zone-c"];
    let mut rig = Rig::new(&[(1, zones[0]), (2, zones[1]), (3, zones[1]), (4, zones[2])]);
    rig.answering.extend((1..=4).map(agent));
    rig.tick(5);
    let mut probed: Vec<SocketAddrV4> = Vec::new();
    for _ in 0..200 {
        for action in rig.tick(20) {
            if let Action::Probe(to) = action {
                probed.push(to);
            }
        }
    }
    // Each is probed again a second after its answer, at most one in 250 ms.
    assert_eq!(probed[..3], [agent(2), agent(4), agent(3)]);
    assert!((9..=12).contains(&probed.len()), "{probed:?}");
    assert!(!probed.contains(&agent(1)), "{probed:?}");
}

/// Guards against resets of open flows by a balancer that starts while their agent is restarted as
/// planned, and so has not heard from it that it stops.
#[test]
fn a_flow_is_not_reset_while_the_agent_that_may_own_it_may_be_restarting() {
    // The entry says that the agent is restarting; or it is of an earlier build and does not tell.
    for restarting in [Some(true), None] {
        let mut rig = Rig::new(&[(1, ZONE), (2, ZONE)]);
        rig.answering = vec![agent(1)];
        rig.make_requests_safe();
        for _ in 0..3 {
            rig.confirm(agent(2), restarting);
            rig.packet(&data(flow(1), 8));
            rig.answer_absent(agent(1), flow(1));
            assert_eq!(rig.resets_within(1_000), 0, "{restarting:?}");
        }
        rig.frame(
            agent(2),
            &Body::Found {
                flow: flow(1),
                report: ready_report(),
            },
            None,
        );
        assert_eq!(target(&rig.packet(&data(flow(1), 8))), agent(2));
    }
}

/// Guards against lost flows that wait for an agent that is not restarted as planned: the list tells so,
/// also of one that this balancer never heard from.
#[test]
fn the_list_of_agents_tells_that_a_silent_agent_has_failed() {
    let mut rig = Rig::new(&[(1, ZONE), (2, ZONE)]);
    rig.store_answers = false;
    rig.answering = vec![agent(1)];
    rig.make_requests_safe();
    rig.confirm(agent(1), Some(false));
    rig.now += ms(1_000);
    rig.packet(&data(flow(1), 8));
    rig.answer_absent(agent(1), flow(1));
    let asked = |actions: Vec<Action>| actions.contains(&Action::List);
    assert!((0..40).any(|_| asked(rig.tick(20))));
    assert_eq!(rig.resets_within(500), 0);
    let reset = Action::Reset {
        flow: flow(1),
        sequence: 8,
        cause: ResetCause::Lost,
    };
    assert_eq!(rig.confirm(agent(2), Some(false)), [reset]);
}

/// Guards against resets by a balancer that has not heard for long from an agent that is restarted as
/// planned: the agent tells only balancers that sent it a frame lately.
#[test]
fn an_owner_that_was_not_heard_of_within_its_grace_period_may_be_restarting() {
    let mut rig = Rig::new(&[(1, ZONE), (2, ZONE)]);
    rig.store_answers = false;
    rig.make_requests_safe();
    let owner = rig.open(flow(1));
    rig.accept(owner, flow(1), 7);
    rig.packet(&data(flow(1), 8));
    let other = other_than(owner);
    rig.report_from(other, ready_report());
    rig.answering = vec![other];
    rig.confirm(owner, None);
    rig.now += ms(7_000);
    rig.packet(&data(flow(1), 8));
    assert_eq!(rig.resets_within(700), 0);
    let packet = rig.packet(&data(flow(1), 8));
    assert!(packet.contains(&Action::List), "{packet:?}");
    rig.resets_within(60);
    rig.confirm(owner, Some(true));
    assert_eq!(target(&rig.packet(&data(flow(1), 8))), owner);
    rig.resets_within(60);
    rig.confirm(owner, Some(false));
    let reset = Action::Reset {
        flow: flow(1),
        sequence: 8,
        cause: ResetCause::Unreachable,
    };
    assert_eq!(rig.packet(&data(flow(1), 8)), [reset]);
}

/// Guards against resets of open flows just after their agent has started again: its entry is new, and
/// what was silent until now is the process before it.
#[test]
fn the_entry_of_a_process_that_has_just_started_is_no_proof_of_a_failure() {
    let mut rig = Rig::new(&[(1, ZONE), (2, ZONE)]);
    rig.answering = vec![agent(1)];
    rig.make_requests_safe();
    rig.confirm(agent(2), Some(true));
    rig.packet(&data(flow(1), 8));
    rig.answer_absent(agent(1), flow(1));
    assert_eq!(rig.resets_within(1_000), 0);
    let started = Member {
        listed_restarting: Some(false),
        ..Member::listed(
            agent(2),
            SERVICE.into(),
            ZONE.into(),
            Report {
                agent: 2,
                ..ready_report()
            },
        )
    };
    rig.balancer.add_listed_member(rig.now, started);
    let mut actions = Vec::new();
    rig.balancer.confirm_members(rig.now, rig.now, &mut actions);
    assert!(
        !actions
            .iter()
            .any(|action| matches!(action, Action::Reset { .. }))
    );
    assert_eq!(rig.resets_within(400), 0);
    let probes = rig.tick(20);
    assert!(
        probes.contains(&Action::Probe(agent(2)))
            || rig.tick(100).contains(&Action::Probe(agent(2)))
    );
}

/// A balancer that was sent a late copy of the SYN of a flow, and the other agent than the one that it
/// placed the copy on, which says nothing more.
fn rig_with_late_copy(accepted: bool) -> (Rig, SocketAddrV4) {
    let mut rig = Rig::new(&[(1, ZONE), (2, ZONE)]);
    rig.make_requests_safe();
    let placed = target(&rig.packet(&syn_copy(flow(1), 1)));
    let owner = other_than(placed);
    if accepted {
        rig.accept(placed, flow(1), 7);
    }
    rig.report_from(placed, ready_report());
    rig.report_from(owner, ready_report());
    rig.answering = vec![owner];
    (rig, owner)
}

/// Guards against resets of open flows because of an agent that never held them: it was sent a late copy
/// of the SYN, and fails later.
#[test]
fn a_flow_is_not_reset_because_the_agent_of_a_late_copy_fails() {
    for accepted in [false, true] {
        let (mut rig, owner) = rig_with_late_copy(accepted);
        // The client acknowledges a SYN-ACK that this balancer has not heard of.
        let mut actions = rig.packet(&data(flow(1), 90_001));
        let found = Body::Found {
            flow: flow(1),
            report: ready_report(),
        };
        let mut is_found = false;
        for _ in 0..50 {
            let asked = actions
                .iter()
                .any(|action| matches!(action, Action::Locate { to, .. } if *to == owner));
            if asked && !is_found {
                is_found = true;
                actions = rig.frame(owner, &found, None);
                continue;
            }
            actions = rig.tick(20);
            actions.extend(rig.packet(&data(flow(1), 90_001)));
            assert!(
                !actions
                    .iter()
                    .any(|action| matches!(action, Action::Reset { .. })),
                "accepted: {accepted}"
            );
        }
        assert!(is_found, "accepted: {accepted}");
        assert_eq!(target(&rig.packet(&data(flow(1), 90_001))), owner);
    }
}

/// Guards against lost flows that wait because their owner is only assumed: once all others deny the
/// flow, it can only have been at the agent that failed.
#[test]
fn a_flow_whose_assumed_owner_fails_is_reset_once_all_others_deny_it() {
    let (mut rig, other) = rig_with_late_copy(false);
    let mut resets = 0;
    for _ in 0..100 {
        let mut actions = rig.packet(&data(flow(1), 90_001));
        actions.extend(rig.tick(20));
        let asked = actions
            .iter()
            .any(|action| matches!(action, Action::Locate { to, .. } if *to == other));
        if asked {
            actions.extend(rig.answer_absent(other, flow(1)));
        }
        let is_reset = |action: &&Action| matches!(action, Action::Reset { .. });
        resets = actions.iter().filter(is_reset).count();
        if resets > 0 {
            break;
        }
    }
    assert_eq!(resets, 1);
}

/// Guards against a balancer that ends because a configured time, added to another one or to the present,
/// exceeds what can be represented.
#[test]
fn configured_times_may_be_of_any_length() {
    let mut rig = Rig::new(&[(1, ZONE), (2, ZONE)]);
    let settings = balancer::Settings {
        zone: ZONE.into(),
        max_flow_age: Duration::MAX,
        stop_grace: Duration::MAX,
        ..balancer::Settings::default()
    };
    rig.balancer = Balancer::new(rig.now, settings);
    let mut endless = (*simple_intent()).clone();
    endless.policy.idle_timeout = Duration::MAX;
    for route in endless.policy.routes.values_mut() {
        route.kind = Kind::Safe;
        route.timeout = Some(Duration::MAX);
        route.latency_objective = Some(Duration::MAX);
    }
    assert!(rig.balancer.set_intent(endless.into()));
    rig.balancer
        .set_members(rig.now, vec![member(1, ZONE), member(2, ZONE)]);
    let owner = rig.open(flow(1));
    rig.accept(owner, flow(1), 7);
    assert_eq!(target(&rig.packet(&data(flow(1), 8))), owner);
    rig.confirm(owner, Some(false));
    for _ in 0..100 {
        rig.packet(&syn(flow(2)));
        rig.packet(&data(flow(1), 8));
        rig.tick(100);
    }
    assert!(rig.balancer.flow_count() > 0);
}

/// Guards against resets of the open flows of a route that cannot be read in a later configuration: it has no
/// backends then, and takes no new flows.
#[test]
fn open_flows_of_a_route_without_backends_go_on() {
    let mut rig = Rig::new(&[(1, ZONE), (2, ZONE)]);
    let owner = rig.open(flow(1));
    rig.accept(owner, flow(1), 7);
    assert_eq!(target(&rig.packet(&data(flow(1), 8))), owner);
    let mut unreadable = (*simple_intent()).clone();
    unreadable.revision = 2;
    for route in unreadable.policy.routes.values_mut() {
        *route = Route::default();
    }
    assert!(rig.balancer.set_intent(unreadable.into()));
    assert_eq!(target(&rig.packet(&data(flow(1), 8))), owner);
    // A flow that this balancer does not know is searched.
    let asked = rig.packet(&data(flow(3), 8));
    let is_search = |action: &Action| matches!(action, Action::Locate { .. });
    assert!(asked.iter().any(is_search), "{asked:?}");
    let opened = rig.packet(&syn(flow(2)));
    let is_placed = |action: &Action| matches!(action, Action::Forward { .. });
    assert!(!opened.iter().any(is_placed), "{opened:?}");
    assert_eq!(rig.resets_within(1_000), 0);
}
