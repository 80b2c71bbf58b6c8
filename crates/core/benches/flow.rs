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

/// Upstreams of the service, as in a large deployment.
const UPSTREAMS: u8 = 47;

/// Flows in the table, as on a busy entry VM.
const FLOWS: u16 = 10_000;

fn agent(number: u8) -> SocketAddrV4 {
    SocketAddrV4::new([10, 0, 0, number].into(), 7000)
}

fn report() -> Report {
    Report {
        state: State::Ready,
        slots: 1_000,
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

fn balancer(now: Instant) -> Balancer {
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
    let members = (0..UPSTREAMS)
        .map(|number| Member::listed(agent(number), "booking".into(), "".into(), report()));
    balancer.set_members(now, members.collect());
    balancer
}

fn route_known_flow(bench: &mut Criterion) {
    let now = Instant::now();
    let mut balancer = balancer(now);
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
    bench.bench_function("packet of a known flow", |bencher| {
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

fn place_new_flow(bench: &mut Criterion) {
    let now = Instant::now();
    let mut balancer = balancer(now);
    let mut actions = Vec::new();
    let mut port = 0_u16;
    bench.bench_function("SYN of a new flow", |bencher| {
        bencher.iter(|| {
            port = port.wrapping_add(1);
            balancer.handle_client_packet(
                now,
                black_box(&head(port, true)),
                b"packet",
                &mut actions,
            );
            if let Some(Action::Forward { to, .. }) = actions.pop() {
                balancer.handle_agent_frame(now, to, &Body::Report(report()), None, &mut actions);
            }
            actions.clear();
        });
    });
}

criterion_group!(benches, route_known_flow, place_new_flow);
criterion_main!(benches);
