//! Which agent a datagram goes to, and which go nowhere.

use std::time::Duration;

use sassafrasmast_core::balancer::{Reason, Route, Settings};
use sassafrasmast_wire::{Body, Keys, Load, State};

use super::fixture::{
    DISPATCH, Fleet, INCARNATION, MANIFESTS, address, caller, document, initial, ready,
};

#[test]
fn an_open_flow_is_routed_by_its_id_alone() {
    let (one, other) = (Fleet::ready(), Fleet::ready());
    for agent in 1..=7 {
        assert!(one.forwards(agent));
        assert!(other.forwards(agent));
    }
}

#[test]
fn an_id_of_another_service_is_dropped() {
    let fleet = Fleet::ready();
    let route = fleet.route(MANIFESTS, &fleet.short(1, DISPATCH));
    assert_eq!(route, Route::Drop(Reason::OtherService));
    // A sealed id that names the wrong service for its agent was not made by this fleet.
    let route = fleet.route(MANIFESTS, &fleet.short(1, MANIFESTS));
    assert_eq!(route, Route::Drop(Reason::Foreign));
}

#[test]
fn bad_input_is_counted_and_dropped() {
    let fleet = Fleet::ready();
    let mut negotiation = initial();
    negotiation[4] = 0;
    let mut long_id = initial();
    long_id[5] = 21;
    let cases: [(&[u8], Reason); 7] = [
        (&[], Reason::Truncated),
        (&[0x41; 17], Reason::Truncated),
        (&[0xc0, 0, 0, 0, 1, 20, 1], Reason::Truncated),
        (&[0x41; 1_901], Reason::Oversize),
        (&[0x41; 100], Reason::Foreign),
        (&negotiation, Reason::Foreign),
        (&long_id, Reason::Foreign),
    ];
    for (datagram, reason) in cases {
        let before = fleet.router.counters().dropped(reason);
        assert_eq!(fleet.route(DISPATCH, datagram), Route::Drop(reason));
        assert_eq!(fleet.router.counters().dropped(reason), before + 1);
    }
    assert_eq!(fleet.route(9, &initial()), Route::Drop(Reason::NotReady));
}

#[test]
fn a_short_first_datagram_opens_nothing() {
    let fleet = Fleet::ready();
    let route = fleet.route(DISPATCH, &initial()[..1_199]);
    assert_eq!(route, Route::Drop(Reason::Foreign));
}

#[test]
fn ids_of_an_older_key_phase_still_route() {
    let mut fleet = Fleet::ready();
    let old = fleet.short(3, DISPATCH);
    fleet.change(|document| document.secrets.sealing = 2);
    assert!(matches!(
        fleet.route(DISPATCH, &old),
        Route::Forward { agent: 3, .. }
    ));
    assert!(fleet.forwards(3));
}

#[test]
fn a_reused_address_gets_nothing_of_the_agent_before() {
    let mut fleet = Fleet::ready();
    let packet = fleet.short(1, DISPATCH);
    fleet.change(|document| {
        let mut successor = document.upstreams.remove(&1).unwrap();
        successor.service = MANIFESTS;
        document.upstreams.insert(document.next_agent, successor);
        document.next_agent += 1;
    });
    let Route::Reset { agent: 1, reset } = fleet.route(DISPATCH, &packet) else {
        panic!("a packet of a removed agent's flow is answered by a reset");
    };
    let keys: Keys = fleet.document.secrets.keys().unwrap();
    let token = keys.reset_token(1, &packet[1..18]);
    assert!(reset.bytes().ends_with(&token));
    assert!(reset.bytes().len() < packet.len() && reset.bytes().len() >= 21);
    assert_eq!(reset.bytes()[0] & 0xc0, 0x40);
    let route = fleet.route(DISPATCH, &packet[..21]);
    assert_eq!(route, Route::Drop(Reason::Removed));
}

#[test]
fn resets_are_sent_at_a_bounded_rate() {
    let mut fleet = Fleet::ready();
    let packet = fleet.short(1, DISPATCH);
    fleet.change(|document| drop(document.upstreams.remove(&1)));
    let routes = (0..5_000).map(|_| fleet.route(DISPATCH, &packet));
    let resets = routes
        .filter(|route| matches!(route, Route::Reset { .. }))
        .count();
    assert_eq!(resets, 1_000);
}

#[test]
fn an_out_zone_gets_nothing_and_its_flows_are_told() {
    let mut fleet = Fleet::ready();
    let packet = fleet.short(1, DISPATCH);
    fleet.change(|document| document.zones.get_mut("b").unwrap().out = true);
    assert!(
        fleet.forwards(1),
        "what is on its way gets its answer or refusal"
    );
    fleet.pass(Duration::from_secs(1), |_| Some(2));
    assert_eq!(fleet.route(DISPATCH, &packet), Route::Drop(Reason::ZoneOut));
    for _ in 0..500 {
        let agent = fleet.place(DISPATCH).unwrap();
        assert_ne!(agent % 3, 1, "agent {agent} is in the zone that is out");
    }
    fleet.pass(Duration::from_secs(3), |_| Some(2));
    let route = fleet.route(DISPATCH, &packet);
    assert!(matches!(route, Route::Reset { agent: 1, .. }), "{route:?}");
    fleet.change(|document| document.zones.get_mut("b").unwrap().out = false);
    assert!(fleet.forwards(1));
}

#[test]
fn a_zone_known_as_out_from_the_start_gets_nothing_at_all() {
    let mut known = document(7, 3);
    known.zones.get_mut("b").unwrap().out = true;
    let fleet = Fleet::new(known, Settings::default());
    let packet = fleet.short(1, DISPATCH);
    assert_eq!(fleet.route(DISPATCH, &packet), Route::Drop(Reason::ZoneOut));
}

#[test]
fn frames_of_others_do_not_change_an_agents_load() {
    let fleet = Fleet::ready();
    let lie = Load {
        state: State::Draining,
        ..ready()
    };
    let report = |agent| Body::Report {
        nonce: 0,
        service: Some(DISPATCH),
        agent: Some(agent),
        incarnation: INCARNATION + 1,
        load: lie,
    };
    fleet.receive(address(2), 1, report(1));
    fleet.receive(caller(), 1, report(1));
    assert_eq!(
        fleet.router.load(fleet.now, 1),
        Some((INCARNATION, ready()))
    );
    fleet.receive(address(1), 1, report(1));
    assert_eq!(
        fleet.router.load(fleet.now, 1),
        Some((INCARNATION + 1, lie))
    );
    fleet.report(1, INCARNATION, ready());
    assert_eq!(
        fleet.router.load(fleet.now, 1),
        Some((INCARNATION + 1, lie))
    );
}

#[test]
fn an_outbound_datagram_leaves_only_for_its_agents_service() {
    let fleet = Fleet::ready();
    let outbound = |service| Body::Outbound {
        service,
        agent: 1,
        incarnation: INCARNATION,
        caller: caller(),
        load: ready(),
        payload: b"x",
    };
    assert_eq!(fleet.receive(address(1), 1, outbound(DISPATCH)).len(), 1);
    assert!(fleet.receive(address(1), 1, outbound(MANIFESTS)).is_empty());
    assert!(fleet.receive(address(2), 1, outbound(DISPATCH)).is_empty());
}

#[test]
fn versions_spread_both_ways_at_a_bounded_rate() {
    let mut fleet = Fleet::ready();
    fleet.change(|_| {});
    fleet.now += Duration::from_secs(1); // The reports have spent the control bytes.
    let pull = fleet.receive(address(1), 3, Body::Hello);
    assert!(
        pull.len() == 1 && pull[0].starts_with("PullConfig"),
        "{pull:?}"
    );
    assert!(fleet.receive(address(1), 3, Body::Hello).is_empty());
    assert!(fleet.receive(caller(), 9, Body::Hello).is_empty());
    let hello = fleet.receive(address(2), 1, Body::Hello);
    assert!(hello.len() == 1 && hello[0].contains("Hello"), "{hello:?}");
    assert!(fleet.receive(address(2), 1, Body::Hello).is_empty());
    fleet.now += Duration::from_secs(1);
    assert_eq!(fleet.receive(address(2), 1, Body::Hello).len(), 1);
}

#[test]
fn announcements_wait_for_operators_within_bounds() {
    let mut fleet = Fleet::ready();
    let announce = |service: &'static str, incarnation| Body::Announce {
        service,
        zone: "a",
        upstream: caller(),
        incarnation,
        slots: 5,
        connections: 2_000,
    };
    fleet.receive(address(20), 0, announce("dispatch", 9));
    fleet.receive(address(20), 0, announce("dispatch", 8));
    fleet.receive(address(21), 0, announce("two\nlines", 9));
    fleet.receive(address(1), 0, announce("dispatch", 9));
    let waiting = fleet.blackboard.announcements(fleet.now);
    assert_eq!(waiting.len(), 1);
    assert_eq!((waiting[0].agent, waiting[0].incarnation), (address(20), 9));
    for agent in 100..10_000 {
        fleet.receive(address(agent), 0, announce("dispatch", 9));
    }
    assert_eq!(fleet.blackboard.announcements(fleet.now).len(), 8_192);
    fleet.now += Duration::from_secs(11);
    assert!(fleet.blackboard.announcements(fleet.now).is_empty());
    fleet.receive(address(9_999), 0, announce("dispatch", 9));
    assert_eq!(fleet.blackboard.announcements(fleet.now).len(), 1);
}

#[test]
fn an_admitted_agents_announcement_is_not_shown_again_after_its_removal() {
    let mut fleet = Fleet::ready();
    let announce = Body::Announce {
        service: "dispatch",
        zone: "a",
        upstream: caller(),
        incarnation: 9,
        slots: 5,
        connections: 2_000,
    };
    fleet.receive(address(11), 0, announce);
    let upstream = super::fixture::upstream(11, DISPATCH);
    fleet.change(|document| drop(document.upstreams.insert(11, upstream)));
    fleet.change(|document| drop(document.upstreams.remove(&11)));
    let waiting = fleet.blackboard.announcements(fleet.now);
    assert!(waiting.is_empty(), "{waiting:?}");
}
