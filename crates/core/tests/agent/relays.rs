//! Relay to peers, retries and drain.

use std::collections::BTreeMap;

use sassafrasmast_core::{
    agent::{Action, Claim, Class, Finish, Key, Relay, Reply, Settings},
    error::{Kind, Outcome},
};
use sassafrasmast_wire::AgentId;

use crate::rig::Rig;

/// Sends `count` queries.
fn queries(rig: &mut Rig, ids: std::ops::Range<u64>) {
    for id in ids {
        rig.arrive(rig.request(id, Class::Idempotent, None));
    }
}

/// A warm agent with 100 ms of service time and all slots busy.
fn busy() -> Rig {
    let mut rig = Rig::new(5);
    rig.warm(100);
    queries(&mut rig, 0..5);
    rig
}

#[test]
fn a_request_goes_to_a_clearly_quicker_peer() {
    let mut rig = busy();
    rig.peer(2, 5, 1_000);
    queries(&mut rig, 10..12);
    assert_eq!((rig.relay(10), rig.relay(11)), (None, None));
    rig.peer(3, 5, 0);
    queries(&mut rig, 12..13);
    assert_eq!(rig.relay(12), Some(3));
}

#[test]
fn a_stale_report_draws_nothing() {
    let mut rig = busy();
    rig.peer(3, 5, 0);
    rig.pass(2_000);
    queries(&mut rig, 10..30);
    assert!((10..30).all(|id| rig.relay(id).is_none()));
}

#[test]
fn what_was_sent_since_a_report_counts() {
    let mut rig = busy();
    rig.peer(3, 1, 0);
    queries(&mut rig, 10..40);
    let relayed = (10..40).filter(|id| rig.relay(*id).is_some()).count();
    assert!((1..10).contains(&relayed), "relayed {relayed}");
}

#[test]
fn a_request_is_relayed_at_most_once() {
    let mut rig = busy();
    rig.peer(3, 5, 0);
    let mut request = rig.request(10, Class::Idempotent, None);
    request.relayed = true;
    rig.arrive(request);
    assert_eq!(rig.relay(10), None);
}

#[test]
fn a_held_key_stays_here() {
    let mut rig = busy();
    rig.peer(3, 5, 0);
    let ticket = rig.ticket();
    rig.booking(10, Some(ticket));
    rig.booking(11, Some(Key::Minted("order-1".into())));
    rig.agent.claimed(rig.now, 11, Claim::Ours);
    rig.tick(100);
    assert_eq!((rig.relay(10), rig.relay(11)), (None, None));
}

#[test]
fn a_relay_that_breaks_is_unknown() {
    let mut rig = busy();
    rig.peer(3, 5, 0);
    queries(&mut rig, 10..13);
    rig.booking(20, None);
    assert_eq!(rig.relay(20), Some(3));
    rig.relayed(20, Relay::Lost);
    rig.assert_error(20, Kind::UpstreamCut, Outcome::Unknown);
    assert!(!rig.started(20));
}

#[test]
fn a_query_that_may_have_run_at_a_peer_is_never_called_not_run() {
    let mut rig = busy();
    rig.peer(3, 5, 0);
    queries(&mut rig, 10..13);
    assert_eq!(rig.relay(12), Some(3));
    rig.relayed(12, Relay::Lost);
    assert_eq!(rig.replies(12), []);
    rig.tick(5_000);
    rig.assert_error(12, Kind::DeadlinePassed, Outcome::Unknown);
}

#[test]
fn an_unreachable_peer_is_left_alone_and_the_request_waits_here() {
    let mut rig = busy();
    rig.peer(3, 5, 0);
    queries(&mut rig, 10..13);
    assert_eq!(rig.relay(12), Some(3));
    rig.relayed(12, Relay::Unreachable);
    assert_eq!(rig.replies(12), []);
    queries(&mut rig, 13..14);
    assert_eq!(rig.relay(13), None);
}

#[test]
fn a_drain_relays_what_waits_and_finishes_what_runs() {
    let mut rig = busy();
    let ticket = rig.ticket();
    queries(&mut rig, 10..12);
    rig.booking(12, Some(ticket));
    rig.peer(2, 5, 0);
    rig.agent.drain(rig.now);
    rig.take();
    assert_eq!((rig.relay(10), rig.relay(11)), (Some(2), Some(2)));
    assert!(rig.agent.ticket(rig.now).is_none());
    for id in 0..5 {
        rig.run(id);
    }
    rig.run(12);
    assert_eq!(rig.replies(12), [Reply::Fresh]);
    rig.booking(13, None);
    assert_eq!(rig.relay(13), Some(2));
}

#[test]
fn after_the_grace_a_drain_refuses_what_still_waits() {
    let mut rig = busy();
    let ticket = rig.ticket();
    rig.booking(12, Some(ticket.clone()));
    rig.agent.drain(rig.now);
    let wake = rig.agent.next_tick().expect("something to do");
    assert!(wake <= rig.now + Settings::default().drain_grace);
    rig.tick(3_000);
    rig.assert_error(12, Kind::Draining, Outcome::NotRun);
    rig.booking(13, Some(ticket));
    rig.assert_error(13, Kind::Draining, Outcome::NotRun);
}

/// Arrivals at three agents whose upstreams refuse everything, one each `ms` milliseconds, and
/// what the upstreams were offered.
fn storm(ms: u64) -> (u64, u64) {
    let agents = (1..=3).map(|agent| (agent, Rig::of(agent, 5, Settings::default())));
    let mut rigs: BTreeMap<AgentId, Rig> = agents.collect();
    let (mut arrivals, mut offered) = (0, 0);
    for round in 0..2_000 {
        for agent in 1..=3 {
            let rig = rigs.get_mut(&agent).expect("an agent");
            rig.tick(ms);
            for peer in (1..=3).filter(|peer| *peer != agent) {
                rig.peer(peer, 5, 0);
            }
            queries(rig, round..round + 1);
            arrivals += 1;
            offered += shed(rig);
        }
        offered += exchange(&mut rigs, ms);
    }
    (arrivals, offered)
}

#[test]
fn retries_stay_within_a_tenth_when_every_upstream_sheds() {
    // Longer than any pause after a refusal: each arrival is offered, and some again.
    let (arrivals, offered) = storm(2_001);
    assert!(
        offered > arrivals && offered * 10 <= arrivals * 11,
        "{offered} of {arrivals}"
    );
    // In a storm the limiter holds back more than the budget does.
    let (arrivals, offered) = storm(10);
    assert!(offered * 10 <= arrivals, "{offered} of {arrivals}");
}

/// Refuses everything that was started; returns how much that was.
fn shed(rig: &mut Rig) -> u64 {
    let mut offered = 0;
    while let Some(at) = rig
        .actions
        .iter()
        .position(|action| matches!(action, Action::Start { .. }))
    {
        let Action::Start { id } = rig.actions.remove(at) else {
            continue;
        };
        assert!(rig.hand_over(id));
        rig.finish(id, Finish::Refused);
        offered += 1;
    }
    offered
}

/// Carries relays to the peers, `ms` milliseconds later, and the refusals back.
fn exchange(rigs: &mut BTreeMap<AgentId, Rig>, ms: u64) -> u64 {
    let mut offered = 0;
    for from in 1..=3 {
        let actions = std::mem::take(&mut rigs.get_mut(&from).expect("an agent").actions);
        for action in actions {
            let Action::Relay { id, to } = action else {
                continue;
            };
            let peer = rigs.get_mut(&to).expect("an agent");
            peer.tick(ms);
            let mut request = peer.request(id + (u64::from(from) << 32), Class::Idempotent, None);
            request.relayed = true;
            peer.arrive(request);
            offered += shed(peer);
            let refused = Relay::Refused {
                kind: Kind::UpstreamRefused,
                outcome: Outcome::NotRun,
            };
            let rig = rigs.get_mut(&from).expect("an agent");
            rig.relayed(id, refused);
            offered += shed(rig);
        }
    }
    offered
}

#[test]
fn a_query_that_was_cut_here_is_never_called_not_run() {
    let mut rig = busy();
    rig.peer(3, 5, 0);
    assert!(rig.hand_over(0));
    rig.finish(0, Finish::Cut);
    assert_eq!(rig.relay(0), Some(3));
    let refused = Relay::Refused {
        kind: Kind::Overloaded,
        outcome: Outcome::NotRun,
    };
    rig.relayed(0, refused);
    rig.assert_error(0, Kind::Overloaded, Outcome::Unknown);
}

#[test]
fn a_minted_key_of_a_draining_agent_is_claimed_by_the_peer() {
    let mut rig = busy();
    rig.peer(3, 5, 0);
    rig.agent.drain(rig.now);
    rig.booking(10, Some(Key::Minted("order-1".into())));
    assert_eq!(rig.relay(10), Some(3));
    let refused = Relay::Refused {
        kind: Kind::UpstreamRefused,
        outcome: Outcome::NotRun,
    };
    rig.relayed(10, refused);
    rig.assert_error(10, Kind::UpstreamRefused, Outcome::NotRun);
    assert!(
        rig.actions
            .iter()
            .all(|action| !matches!(action, Action::Claim { .. }))
    );
}

#[test]
fn nothing_starts_after_the_grace_of_a_drain() {
    let mut rig = Rig::new(5);
    rig.warm(10);
    let ticket = rig.ticket();
    rig.booking(1, Some(ticket.clone()));
    rig.booking(2, Some(Key::Minted("order-1".into())));
    rig.agent.drain(rig.now);
    rig.pass(3_000);
    assert!(!rig.hand_over(1));
    rig.agent.claimed(rig.now, 2, Claim::Ours);
    rig.take();
    assert!(!rig.started(2));
    rig.assert_error(1, Kind::Draining, Outcome::NotRun);
    rig.assert_error(2, Kind::Draining, Outcome::NotRun);
    rig.booking(3, Some(ticket));
    rig.assert_error(3, Kind::Draining, Outcome::NotRun);
}
