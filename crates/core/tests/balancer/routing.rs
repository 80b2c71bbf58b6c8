//! Routing of datagrams and handling of frames.

use std::time::Duration;

use sassafrasmast_core::balancer::{Reason, Route, Settings};
use sassafrasmast_wire::{Body, Keys, Load, State};

use super::fixture::{
    DISPATCH, Harness, INCARNATION, MANIFESTS, address, caller, document, initial, ready_load,
};

#[test]
fn an_open_flow_is_routed_by_its_connection_id_alone() {
    let (one, other) = (Harness::ready(), Harness::ready());
    for agent in 1..=7 {
        assert!(one.forwards(agent));
        assert!(other.forwards(agent));
    }
}

#[test]
fn a_connection_id_of_another_service_is_dropped() {
    let harness = Harness::ready();
    let route = harness.route(MANIFESTS, &harness.short_packet(1, DISPATCH));
    assert_eq!(route, Route::Drop(Reason::OtherService));
    // An id whose service differs from its agent's service was not sealed by this fleet.
    let route = harness.route(MANIFESTS, &harness.short_packet(1, MANIFESTS));
    assert_eq!(route, Route::Drop(Reason::Foreign));
}

#[test]
fn invalid_datagrams_are_counted_and_dropped() {
    let harness = Harness::ready();
    let mut negotiation = initial();
    negotiation[4] = 0;
    let mut long_cid = initial();
    long_cid[5] = 21;
    let cases: [(&[u8], Reason); 7] = [
        (&[], Reason::Truncated),
        (&[0x41; 17], Reason::Truncated),
        (&[0xc0, 0, 0, 0, 1, 20, 1], Reason::Truncated),
        (&[0x41; 1_901], Reason::Oversize),
        (&[0x41; 100], Reason::Foreign),
        (&negotiation, Reason::Foreign),
        (&long_cid, Reason::Foreign),
    ];
    for (datagram, reason) in cases {
        let before = harness.router.counters().dropped(reason);
        assert_eq!(harness.route(DISPATCH, datagram), Route::Drop(reason));
        assert_eq!(harness.router.counters().dropped(reason), before + 1);
    }
    assert_eq!(harness.route(9, &initial()), Route::Drop(Reason::NotReady));
}

#[test]
fn a_first_datagram_below_the_minimum_size_opens_no_flow() {
    let harness = Harness::ready();
    let route = harness.route(DISPATCH, &initial()[..1_199]);
    assert_eq!(route, Route::Drop(Reason::Foreign));
}

#[test]
fn connection_ids_of_an_older_key_phase_are_still_routed() {
    let mut harness = Harness::ready();
    let old = harness.short_packet(3, DISPATCH);
    harness.update_config(|document| document.secrets.sealing = 2);
    assert!(matches!(
        harness.route(DISPATCH, &old),
        Route::Forward { agent: 3, .. }
    ));
    assert!(harness.forwards(3));
}

#[test]
fn packets_for_a_removed_agent_do_not_reach_the_agent_that_reuses_its_address() {
    let mut harness = Harness::ready();
    let packet = harness.short_packet(1, DISPATCH);
    harness.update_config(|document| {
        let mut successor = document.upstreams.remove(&1).unwrap();
        successor.service = MANIFESTS;
        document.upstreams.insert(document.next_agent, successor);
        document.next_agent += 1;
    });
    let Route::Reset { agent: 1, reset } = harness.route(DISPATCH, &packet) else {
        panic!("a packet of a removed agent's flow was not answered by a reset");
    };
    let keys: Keys = harness.document.secrets.keys().unwrap();
    let token = keys.reset_token(1, &packet[1..18]);
    assert!(reset.bytes().ends_with(&token));
    assert!(reset.bytes().len() < packet.len() && reset.bytes().len() >= 21);
    assert_eq!(reset.bytes()[0] & 0xc0, 0x40);
    let route = harness.route(DISPATCH, &packet[..21]);
    assert_eq!(route, Route::Drop(Reason::Removed));
}

#[test]
fn stateless_resets_are_rate_limited() {
    let mut harness = Harness::ready();
    let packet = harness.short_packet(1, DISPATCH);
    harness.update_config(|document| drop(document.upstreams.remove(&1)));
    let routes = (0..5_000).map(|_| harness.route(DISPATCH, &packet));
    let resets = routes
        .filter(|route| matches!(route, Route::Reset { .. }))
        .count();
    assert_eq!(resets, 1_000);
}

#[test]
fn flows_of_a_zone_taken_out_of_service_are_forwarded_briefly_then_reset() {
    let mut harness = Harness::ready();
    let packet = harness.short_packet(1, DISPATCH);
    harness.update_config(|document| document.zones.get_mut("b").unwrap().out = true);
    assert!(
        harness.forwards(1),
        "packets in flight are still forwarded for a short time"
    );
    harness.advance(Duration::from_secs(1), |_| Some(2));
    assert_eq!(
        harness.route(DISPATCH, &packet),
        Route::Drop(Reason::ZoneOut)
    );
    for _ in 0..500 {
        let agent = harness.place(DISPATCH).unwrap();
        assert_ne!(agent % 3, 1, "agent {agent} is in the zone that is out");
    }
    harness.advance(Duration::from_secs(3), |_| Some(2));
    let route = harness.route(DISPATCH, &packet);
    assert!(matches!(route, Route::Reset { agent: 1, .. }), "{route:?}");
    harness.update_config(|document| document.zones.get_mut("b").unwrap().out = false);
    assert!(harness.forwards(1));
}

#[test]
fn a_zone_out_of_service_from_the_start_receives_nothing() {
    let mut known = document(7, 3);
    known.zones.get_mut("b").unwrap().out = true;
    let harness = Harness::new(known, Settings::default());
    let packet = harness.short_packet(1, DISPATCH);
    assert_eq!(
        harness.route(DISPATCH, &packet),
        Route::Drop(Reason::ZoneOut)
    );
}

#[test]
fn frames_from_other_senders_do_not_change_the_load_of_an_agent() {
    let harness = Harness::ready();
    let false_load = Load {
        state: State::Draining,
        ..ready_load()
    };
    let report = |agent| Body::Report {
        nonce: 0,
        service: Some(DISPATCH),
        agent: Some(agent),
        incarnation: INCARNATION + 1,
        load: false_load,
    };
    harness.receive(address(2), 1, report(1));
    harness.receive(caller(), 1, report(1));
    assert_eq!(
        harness.router.load(harness.now, 1),
        Some((INCARNATION, ready_load()))
    );
    harness.receive(address(1), 1, report(1));
    assert_eq!(
        harness.router.load(harness.now, 1),
        Some((INCARNATION + 1, false_load))
    );
    harness.report(1, INCARNATION, ready_load());
    assert_eq!(
        harness.router.load(harness.now, 1),
        Some((INCARNATION + 1, false_load))
    );
}

#[test]
fn an_agent_can_send_datagrams_only_for_its_own_service() {
    let harness = Harness::ready();
    let outbound = |service| Body::Outbound {
        service,
        agent: 1,
        incarnation: INCARNATION,
        caller: caller(),
        load: ready_load(),
        payload: b"x",
    };
    assert_eq!(harness.receive(address(1), 1, outbound(DISPATCH)).len(), 1);
    assert!(
        harness
            .receive(address(1), 1, outbound(MANIFESTS))
            .is_empty()
    );
    assert!(
        harness
            .receive(address(2), 1, outbound(DISPATCH))
            .is_empty()
    );
}

#[test]
fn config_versions_are_exchanged_in_both_directions_at_a_limited_rate() {
    let mut harness = Harness::ready();
    harness.update_config(|_| {});
    harness.now += Duration::from_secs(1); // The reports have used up the budget of control bytes.
    let pull = harness.receive(address(1), 3, Body::Hello);
    assert!(
        pull.len() == 1 && pull[0].starts_with("PullConfig"),
        "{pull:?}"
    );
    assert!(harness.receive(address(1), 3, Body::Hello).is_empty());
    assert!(harness.receive(caller(), 9, Body::Hello).is_empty());
    let hello = harness.receive(address(2), 1, Body::Hello);
    assert!(hello.len() == 1 && hello[0].contains("Hello"), "{hello:?}");
    assert!(harness.receive(address(2), 1, Body::Hello).is_empty());
    harness.now += Duration::from_secs(1);
    assert_eq!(harness.receive(address(2), 1, Body::Hello).len(), 1);
}

#[test]
fn waiting_announcements_are_limited_in_number_and_age() {
    let mut harness = Harness::ready();
    let announce = |service: &'static str, incarnation| Body::Announce {
        service,
        zone: "a",
        upstream: caller(),
        incarnation,
        slots: 5,
        connections: 2_000,
    };
    harness.receive(address(20), 0, announce("dispatch", 9));
    harness.receive(address(20), 0, announce("dispatch", 8));
    harness.receive(address(21), 0, announce("two\nlines", 9));
    harness.receive(address(1), 0, announce("dispatch", 9));
    let waiting = harness.blackboard.announcements(harness.now);
    assert_eq!(waiting.len(), 1);
    assert_eq!((waiting[0].agent, waiting[0].incarnation), (address(20), 9));
    for agent in 100..10_000 {
        harness.receive(address(agent), 0, announce("dispatch", 9));
    }
    assert_eq!(harness.blackboard.announcements(harness.now).len(), 8_192);
    harness.now += Duration::from_secs(11);
    assert!(harness.blackboard.announcements(harness.now).is_empty());
    harness.receive(address(9_999), 0, announce("dispatch", 9));
    assert_eq!(harness.blackboard.announcements(harness.now).len(), 1);
}

#[test]
fn an_announcement_is_not_shown_again_after_its_agent_was_admitted_and_removed() {
    let mut harness = Harness::ready();
    let announce = Body::Announce {
        service: "dispatch",
        zone: "a",
        upstream: caller(),
        incarnation: 9,
        slots: 5,
        connections: 2_000,
    };
    harness.receive(address(11), 0, announce);
    let upstream = super::fixture::upstream(11, DISPATCH);
    harness.update_config(|document| drop(document.upstreams.insert(11, upstream)));
    harness.update_config(|document| drop(document.upstreams.remove(&11)));
    let waiting = harness.blackboard.announcements(harness.now);
    assert!(waiting.is_empty(), "{waiting:?}");
}
