//! Benchmarks of routing, placement and ticks for several fleet sizes.

use std::{hint::black_box, net::SocketAddr, sync::Arc, time::Instant};

use criterion::{Criterion, Throughput, criterion_group, criterion_main};
use sassafrasmast_core::{
    Blackboard,
    balancer::{Route, Router, Settings},
    config::{Document, Secrets, Service, Snapshot, Upstream, Zone},
};
use sassafrasmast_wire::{Body, Cid, Frame, Load, State};

/// Fleet sizes to measure, in agents.
const FLEET_SIZES: [u32; 4] = [10, 100, 1_000, 4_200];

/// Number of open flows; one packet of each is routed per iteration.
const FLOWS: u32 = 1_024;

/// Number of agents per service.
const AGENTS_PER_SERVICE: u32 = 5;

fn address(agent: u32) -> SocketAddr {
    let [_, a, b, c] = agent.to_be_bytes();
    SocketAddr::from(([127, a, b, c], 7_000))
}

fn document(agents: u32) -> Document {
    let mut document = Document::first(Secrets {
        sealing: 1,
        phases: [(1, [3; 32])].into(),
        reset: [5; 32],
    });
    document.zones.insert("a".to_owned(), Zone::default());
    for agent in 1..=agents {
        let service = (agent / AGENTS_PER_SERVICE) as u16;
        document.services.entry(service).or_insert_with(|| Service {
            name: format!("service-{service}"),
            address: address(agent),
            feeds: Vec::new(),
            deadline_ms: 10_000,
            max_body_bytes: 1 << 20,
        });
        let upstream = Upstream {
            service,
            zone: "a".to_owned(),
            agent: address(agent),
            upstream: address(agent),
            slots: 5,
            connections: 2_000,
            draining: false,
        };
        document.upstreams.insert(agent, upstream);
    }
    document.next_agent = agents + 1;
    document
}

fn router(agents: u32, now: Instant) -> (Router, Document) {
    let document = document(agents);
    let blackboard = Arc::new(Blackboard::new(16));
    let snapshot = Snapshot::new(document.clone()).expect("the sealing phase has a secret");
    blackboard.install(Instant::now(), snapshot);
    let router = Router::new(now, Settings::default(), blackboard);
    for agent in 1..=agents {
        let load = Load {
            state: State::Ready,
            limit: 5,
            ..Load::default()
        };
        let mut bytes = Vec::new();
        let body = Body::Report {
            nonce: 0,
            service: Some(document.upstreams[&agent].service),
            agent: Some(agent),
            incarnation: 1,
            load,
        };
        let frame = Frame::new(1, body);
        frame
            .encode(&mut bytes)
            .expect("the frame fits the size limit");
        router.receive(now, address(agent), &bytes, &mut Vec::new());
    }
    (router, document)
}

fn packets(document: &Document, agents: u32) -> Vec<(u16, Vec<u8>)> {
    let keys = document
        .secrets
        .keys()
        .expect("the sealing phase has a secret");
    (0..FLOWS)
        .map(|flow| {
            let agent = 1 + flow % agents;
            let service = document.upstreams[&agent].service;
            let cid = Cid {
                agent,
                incarnation: 1,
                service,
                nonce: flow,
            };
            let mut datagram = vec![0x41; 1_200];
            datagram[1..18].copy_from_slice(&cid.seal(&keys));
            (service, datagram)
        })
        .collect()
}

fn route(criterion: &mut Criterion) {
    let mut group = criterion.benchmark_group("route");
    group.throughput(Throughput::Elements(u64::from(FLOWS)));
    for agents in FLEET_SIZES {
        let now = Instant::now();
        let (router, document) = router(agents, now);
        let packets = packets(&document, agents);
        for (service, datagram) in &packets {
            let route = router.route(now, *service, datagram);
            assert!(matches!(route, Route::Forward { .. }), "{route:?}");
        }
        group.bench_function(format!("open flows, {agents} agents"), |bencher| {
            bencher.iter(|| {
                for (service, datagram) in &packets {
                    black_box(router.route(now, *service, datagram));
                }
            });
        });
    }
    group.finish();
}

fn place(criterion: &mut Criterion) {
    let mut group = criterion.benchmark_group("place");
    group.throughput(Throughput::Elements(1));
    for agents in FLEET_SIZES {
        let now = Instant::now();
        let (router, _) = router(agents, now);
        let mut initial = vec![0; 1_200];
        initial[..7].copy_from_slice(&[0xc0, 0, 0, 0, 1, 8, 9]);
        let route = router.route(now, 1, &initial);
        assert!(matches!(route, Route::Place { .. }), "{route:?}");
        group.bench_function(format!("new flow, {agents} agents"), |bencher| {
            bencher.iter(|| black_box(router.route(now, 1, &initial)));
        });
    }
    group.finish();
}

fn tick(criterion: &mut Criterion) {
    let mut group = criterion.benchmark_group("tick");
    for agents in FLEET_SIZES {
        let mut now = Instant::now();
        let (router, _) = router(agents, now);
        let mut actions = Vec::new();
        group.bench_function(format!("{agents} agents"), |bencher| {
            bencher.iter(|| {
                now += Router::TICK;
                actions.clear();
                router.tick(now, &mut actions);
            });
        });
    }
    group.finish();
}

criterion_group!(benches, route, place, tick);
criterion_main!(benches);
