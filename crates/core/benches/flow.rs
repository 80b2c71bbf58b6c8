//! Cost of routing one packet of a known flow, and of placing a new one.

use std::{collections::HashMap, hint::black_box, net::SocketAddrV4, sync::Arc, time::Instant};

use criterion::{Criterion, criterion_group, criterion_main};
use sassafrasmast_core::flow::{
    Balancer, Head, Intent, Key, Member, Report, State,
    balancer::{self, Action},
    intent::{Backend, Policy, Route},
    packet::Flags,
};
use sassafrasmast_wire::flow::Body;

/// Upstreams of the service: as in the grown deployments, in the large one, and beyond.
const UPSTREAMS: [u16; 3] = [47, 109, 1_000];

/// Room of each upstream. Without it SYNs are queued, and no choice is measured.
const ROOM: u16 = 1_000;

/// Flows in the table, as on a busy entry VM.
const FLOWS: u16 = 10_000;

/// New flows before the table of flows is emptied: below its limit, at which SYNs are dropped.
const NEW_FLOWS: u16 = 40_000;

fn agent(number: u16) -> SocketAddrV4 {
    let [high, low] = number.to_be_bytes();
    SocketAddrV4::new([10, 0, high, low].into(), 7000)
}

fn report() -> Report {
    Report {
        state: State::Ready,
        slots: 1_000,
        headroom: ROOM,
        ..Report::default()
    }
}

fn head(port: u16, syn: bool) -> Head {
    Head {
        source: SocketAddrV4::new([100, 64, 0, 1].into(), port),
        destination: SocketAddrV4::new([198, 18, 0, 1].into(), 443),
        flags: Flags {
            syn,
            ack: !syn,
            ..Flags::default()
        },
        sequence: 1,
        acknowledgement: u32::from(!syn),
        data_len: 0,
    }
}

fn balancer(now: Instant, upstreams: u16) -> Balancer {
    let mut balancer = Balancer::new(now, balancer::Settings::default());
    let route = Route {
        backends: vec![Backend {
            service: "booking".into(),
            weight: 1,
        }],
        ..Route::default()
    };
    let routes = HashMap::from([(head(0, true).destination, route)]);
    balancer.set_intent(Arc::new(Intent {
        revision: 1,
        policy: Policy {
            routes,
            ..Policy::default()
        },
        ..Intent::default()
    }));
    let members = (0..upstreams)
        .map(|number| Member::listed(agent(number), "booking".into(), "".into(), report()));
    balancer.set_members(now, members.collect());
    balancer
}

fn route_known_flows(bench: &mut Criterion) {
    for upstreams in UPSTREAMS {
        route_known_flow(bench, upstreams);
    }
}

fn route_known_flow(bench: &mut Criterion, upstreams: u16) {
    let now = Instant::now();
    let mut balancer = balancer(now, upstreams);
    let mut actions = Vec::new();
    for port in 0..FLOWS {
        balancer.handle_client_packet(now, &head(port, true), b"packet", &mut actions);
        if let Some(Action::Forward { to, .. }) = actions.pop() {
            let flow: Key = head(port, true).client_flow();
            let body = Body::Accepted {
                flow,
                sequence: 0,
                report: report(),
            };
            balancer.handle_agent_frame(now, to, &body, None, &mut actions);
        }
    }
    let mut port = 0;
    let name = format!("packet of a known flow, {upstreams} upstreams");
    bench.bench_function(&name, |bencher| {
        bencher.iter(|| {
            port = (port + 7) % FLOWS;
            balancer.handle_client_packet(
                now,
                black_box(&head(port, false)),
                b"packet",
                &mut actions,
            );
            black_box(&actions);
            actions.clear();
        });
    });
}

fn place_new_flows(bench: &mut Criterion) {
    for upstreams in UPSTREAMS {
        place_new_flow(bench, upstreams);
    }
}

fn place_new_flow(bench: &mut Criterion, upstreams: u16) {
    let now = Instant::now();
    let mut table = balancer(now, upstreams);
    let mut actions = Vec::new();
    let mut port = 0_u16;
    let name = format!("SYN of a new flow, {upstreams} upstreams");
    bench.bench_function(&name, |bencher| {
        bencher.iter(|| {
            port += 1;
            if port == NEW_FLOWS {
                table = balancer(now, upstreams);
                port = 0;
            }
            table.handle_client_packet(now, black_box(&head(port, true)), b"packet", &mut actions);
            if let Some(Action::Forward { to, .. }) = actions.pop() {
                table.handle_agent_frame(now, to, &Body::Report(report()), None, &mut actions);
            }
            actions.clear();
        });
    });
}

criterion_group!(benches, route_known_flows, place_new_flows);
criterion_main!(benches);
