//! The status of flow-forwarding processes as text.

use std::collections::BTreeSet;

use expect_test::expect;
use sassafrasmast::processes;
use sassafrasmast_core::flow::{Report, State};
use sassafrasmast_forwarder::{
    Status,
    status::{Peer, Store, Upstream},
    zone_status::{ServicePlacement, ZoneRoom},
};

fn upstream(state: State, listed: bool) -> Upstream {
    Upstream {
        agent: "10.1.0.20:7720".parse().expect("an address"),
        service: "bookings".to_owned(),
        zone: "a".to_owned(),
        listed,
        heard_ms: listed.then_some(30),
        report: Report {
            state,
            slots: 5,
            busy: 2,
            flows: 12,
            stopping: !listed,
            ..Report::default()
        },
    }
}

#[test]
fn status_text_shows_store_peers_and_upstreams() {
    let status = Status {
        name: "entry-1".to_owned(),
        role: "balancer".to_owned(),
        zone: "a".to_owned(),
        version: 7,
        revision: 120,
        era: 2,
        zones_out: BTreeSet::from(["b".into()]),
        flows: 34,
        store: Store {
            answers: false,
            since_ms: 1_200,
            reason: Some("timed out".to_owned()),
        },
        peers: vec![
            Peer {
                address: "10.1.0.11:7720".parse().unwrap(),
                heard_ms: 100,
                failure: None,
            },
            Peer {
                address: "10.1.0.12:7720".parse().unwrap(),
                heard_ms: 400,
                failure: Some("connection refused".to_owned()),
            },
        ],
        upstreams: vec![
            upstream(State::Ready, true),
            upstream(State::Draining, false),
        ],
        placements: vec![ServicePlacement {
            service: "bookings".to_owned(),
            accepted: 120,
            away: 30,
            waiting: 2,
            share_permille: 240,
            reason: "own zone has no room".to_owned(),
            zones: vec![ZoneRoom {
                zone: "a".to_owned(),
                room: 0,
                path_us: Some(310),
            }],
        }],
    };
    expect![[r#"
        balancer entry-1 in zone a: version 7 at revision 120 of era 2, 34 flows
        zone b is out
        store has been silent for 1200 ms: timed out
        peer 10.1.0.11:7720 answered 100 ms ago
        peer 10.1.0.12:7720 failed (connection refused) 400 ms ago
        placement of bookings: 120 accepted a second, 30 in other zones, 2 SYNs wait, 240 of 1000 sent away (own zone has no room); zone a: room 0, path 310 us
        upstream at agent 10.1.0.20:7720 of bookings in a: ready, 2 of 5 slots busy, 12 flows, heard 30 ms ago
        upstream at agent 10.1.0.20:7720 of bookings in a: draining (agent stops), 2 of 5 slots busy, 12 flows, not listed
    "#]].assert_eq(&processes::table(&status));
}
