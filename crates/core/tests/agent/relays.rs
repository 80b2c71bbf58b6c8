//! Relays to peers, retries and drains.

use std::collections::BTreeMap;

use sassafrasmast_core::{
    agent::{Action, Claim, Class, Finish, Key, Relay, Reply, Settings},
    error::{Kind, Outcome},
};
use sassafrasmast_wire::AgentId;

use crate::fixture::Fixture;

/// Lets queries with these ids arrive.
fn arrive_queries(fixture: &mut Fixture, ids: std::ops::Range<u64>) {
    for id in ids {
        fixture.arrive(fixture.request(id, Class::Idempotent, None));
    }
}

/// A warm agent with a service time of 100 ms and all slots in use.
fn busy() -> Fixture {
    let mut fixture = Fixture::new(5);
    fixture.warm_up(100);
    arrive_queries(&mut fixture, 0..5);
    fixture
}

#[test]
fn a_request_is_relayed_to_a_clearly_faster_peer() {
    let mut fixture = busy();
    fixture.peer_load(2, 5, 1_000);
    arrive_queries(&mut fixture, 10..12);
    assert_eq!(
        (fixture.relay_target(10), fixture.relay_target(11)),
        (None, None)
    );
    fixture.peer_load(3, 5, 0);
    arrive_queries(&mut fixture, 12..13);
    assert_eq!(fixture.relay_target(12), Some(3));
}

#[test]
fn no_request_is_relayed_by_a_stale_report() {
    let mut fixture = busy();
    fixture.peer_load(3, 5, 0);
    fixture.advance(2_000);
    arrive_queries(&mut fixture, 10..30);
    assert!((10..30).all(|id| fixture.relay_target(id).is_none()));
}

#[test]
fn requests_relayed_since_a_report_count_as_load() {
    let mut fixture = busy();
    fixture.peer_load(3, 1, 0);
    arrive_queries(&mut fixture, 10..40);
    let relayed = (10..40)
        .filter(|id| fixture.relay_target(*id).is_some())
        .count();
    assert!((1..10).contains(&relayed), "relayed {relayed}");
}

#[test]
fn a_request_is_relayed_at_most_once() {
    let mut fixture = busy();
    fixture.peer_load(3, 5, 0);
    let mut request = fixture.request(10, Class::Idempotent, None);
    request.relayed = true;
    fixture.arrive(request);
    assert_eq!(fixture.relay_target(10), None);
}

#[test]
fn a_request_with_a_held_key_is_not_relayed() {
    let mut fixture = busy();
    fixture.peer_load(3, 5, 0);
    let ticket = fixture.ticket();
    fixture.arrive_booking(10, Some(ticket));
    fixture.arrive_booking(11, Some(Key::Minted("order-1".into())));
    fixture.agent.claimed(fixture.now, 11, Claim::Ours);
    fixture.tick(100);
    assert_eq!(
        (fixture.relay_target(10), fixture.relay_target(11)),
        (None, None)
    );
}

#[test]
fn the_outcome_of_a_broken_relay_is_unknown() {
    let mut fixture = busy();
    fixture.peer_load(3, 5, 0);
    arrive_queries(&mut fixture, 10..13);
    fixture.arrive_booking(20, None);
    assert_eq!(fixture.relay_target(20), Some(3));
    fixture.relayed(20, Relay::Lost);
    fixture.assert_error(20, Kind::UpstreamCut, Outcome::Unknown);
    assert!(!fixture.started(20));
}

#[test]
fn a_query_that_may_have_run_at_a_peer_is_never_answered_not_run() {
    let mut fixture = busy();
    fixture.peer_load(3, 5, 0);
    arrive_queries(&mut fixture, 10..13);
    assert_eq!(fixture.relay_target(12), Some(3));
    fixture.relayed(12, Relay::Lost);
    assert_eq!(fixture.replies(12), []);
    fixture.tick(5_000);
    fixture.assert_error(12, Kind::DeadlinePassed, Outcome::Unknown);
}

#[test]
fn an_unreachable_peer_is_avoided_and_the_request_waits_here() {
    let mut fixture = busy();
    fixture.peer_load(3, 5, 0);
    arrive_queries(&mut fixture, 10..13);
    assert_eq!(fixture.relay_target(12), Some(3));
    fixture.relayed(12, Relay::Unreachable);
    assert_eq!(fixture.replies(12), []);
    arrive_queries(&mut fixture, 13..14);
    assert_eq!(fixture.relay_target(13), None);
}

#[test]
fn a_drain_relays_queued_requests_and_finishes_running_ones() {
    let mut fixture = busy();
    let ticket = fixture.ticket();
    arrive_queries(&mut fixture, 10..12);
    fixture.arrive_booking(12, Some(ticket));
    fixture.peer_load(2, 5, 0);
    fixture.agent.drain(fixture.now);
    fixture.collect_actions();
    assert_eq!(
        (fixture.relay_target(10), fixture.relay_target(11)),
        (Some(2), Some(2))
    );
    assert!(fixture.agent.ticket(fixture.now).is_none());
    for id in 0..5 {
        fixture.run(id);
    }
    fixture.run(12);
    assert_eq!(fixture.replies(12), [Reply::Fresh]);
    fixture.arrive_booking(13, None);
    assert_eq!(fixture.relay_target(13), Some(2));
}

#[test]
fn after_its_grace_period_a_drain_refuses_queued_requests() {
    let mut fixture = busy();
    let ticket = fixture.ticket();
    fixture.arrive_booking(12, Some(ticket.clone()));
    fixture.agent.drain(fixture.now);
    let next_tick = fixture.agent.next_tick().expect("a timer is set");
    assert!(next_tick <= fixture.now + Settings::default().drain_grace);
    fixture.tick(3_000);
    fixture.assert_error(12, Kind::Draining, Outcome::NotRun);
    fixture.arrive_booking(13, Some(ticket));
    fixture.assert_error(13, Kind::Draining, Outcome::NotRun);
}

/// Sends one query to each of three agents every `ms` milliseconds, while their upstreams refuse
/// all requests. Returns the numbers of arrivals and of requests offered to the upstreams.
fn offered_while_upstreams_refuse(ms: u64) -> (u64, u64) {
    let agents = (1..=3).map(|agent| (agent, Fixture::for_agent(agent, 5, Settings::default())));
    let mut fixtures: BTreeMap<AgentId, Fixture> = agents.collect();
    let (mut arrivals, mut offered) = (0, 0);
    for round in 0..2_000 {
        for agent in 1..=3 {
            let fixture = fixtures.get_mut(&agent).expect("an agent");
            fixture.tick(ms);
            for peer in (1..=3).filter(|peer| *peer != agent) {
                fixture.peer_load(peer, 5, 0);
            }
            arrive_queries(fixture, round..round + 1);
            arrivals += 1;
            offered += refuse_started(fixture);
        }
        offered += deliver_relays(&mut fixtures, ms);
    }
    (arrivals, offered)
}

#[test]
fn retries_stay_within_a_tenth_when_every_upstream_sheds_load() {
    // Intervals above the longest pause after a refusal: each arrival is offered to an upstream,
    // and the retry budget lets a tenth be offered again.
    let (arrivals, offered) = offered_while_upstreams_refuse(2_001);
    assert!(
        offered > arrivals && offered * 10 <= arrivals * 11,
        "{offered} of {arrivals}"
    );
    // With frequent arrivals the limiter's pauses hold back more than the retry budget does.
    let (arrivals, offered) = offered_while_upstreams_refuse(10);
    assert!(offered * 10 <= arrivals, "{offered} of {arrivals}");
}

/// Lets the upstream refuse all started requests; returns their number.
fn refuse_started(fixture: &mut Fixture) -> u64 {
    let mut offered = 0;
    while let Some(at) = fixture
        .actions
        .iter()
        .position(|action| matches!(action, Action::Start { .. }))
    {
        let Action::Start { id } = fixture.actions.remove(at) else {
            continue;
        };
        assert!(fixture.hand_over(id));
        fixture.finish(id, Finish::Refused);
        offered += 1;
    }
    offered
}

/// Delivers relays to the peers `ms` milliseconds later, and the refusals back. Returns the number
/// of requests offered to upstreams.
fn deliver_relays(fixtures: &mut BTreeMap<AgentId, Fixture>, ms: u64) -> u64 {
    let mut offered = 0;
    for from in 1..=3 {
        let actions = std::mem::take(&mut fixtures.get_mut(&from).expect("an agent").actions);
        for action in actions {
            let Action::Relay { id, to } = action else {
                continue;
            };
            let peer = fixtures.get_mut(&to).expect("an agent");
            peer.tick(ms);
            let mut request = peer.request(id + (u64::from(from) << 32), Class::Idempotent, None);
            request.relayed = true;
            peer.arrive(request);
            offered += refuse_started(peer);
            let refused = Relay::Refused {
                kind: Kind::UpstreamRefused,
                outcome: Outcome::NotRun,
            };
            let fixture = fixtures.get_mut(&from).expect("an agent");
            fixture.relayed(id, refused);
            offered += refuse_started(fixture);
        }
    }
    offered
}

#[test]
fn a_query_whose_connection_broke_here_is_never_answered_not_run() {
    let mut fixture = busy();
    fixture.peer_load(3, 5, 0);
    assert!(fixture.hand_over(0));
    fixture.finish(0, Finish::Cut);
    assert_eq!(fixture.relay_target(0), Some(3));
    let refused = Relay::Refused {
        kind: Kind::Overloaded,
        outcome: Outcome::NotRun,
    };
    fixture.relayed(0, refused);
    fixture.assert_error(0, Kind::Overloaded, Outcome::Unknown);
}

#[test]
fn a_draining_agent_relays_a_minted_key_without_claiming_it() {
    let mut fixture = busy();
    fixture.peer_load(3, 5, 0);
    fixture.agent.drain(fixture.now);
    fixture.arrive_booking(10, Some(Key::Minted("order-1".into())));
    assert_eq!(fixture.relay_target(10), Some(3));
    let refused = Relay::Refused {
        kind: Kind::UpstreamRefused,
        outcome: Outcome::NotRun,
    };
    fixture.relayed(10, refused);
    fixture.assert_error(10, Kind::UpstreamRefused, Outcome::NotRun);
    assert!(
        fixture
            .actions
            .iter()
            .all(|action| !matches!(action, Action::Claim { .. }))
    );
}

#[test]
fn nothing_starts_after_the_grace_period_of_a_drain() {
    let mut fixture = Fixture::new(5);
    fixture.warm_up(10);
    let ticket = fixture.ticket();
    fixture.arrive_booking(1, Some(ticket.clone()));
    fixture.arrive_booking(2, Some(Key::Minted("order-1".into())));
    fixture.agent.drain(fixture.now);
    fixture.advance(3_000);
    assert!(!fixture.hand_over(1));
    fixture.agent.claimed(fixture.now, 2, Claim::Ours);
    fixture.collect_actions();
    assert!(!fixture.started(2));
    fixture.assert_error(1, Kind::Draining, Outcome::NotRun);
    fixture.assert_error(2, Kind::Draining, Outcome::NotRun);
    fixture.arrive_booking(3, Some(ticket));
    fixture.assert_error(3, Kind::Draining, Outcome::NotRun);
}
