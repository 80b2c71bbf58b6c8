//! Cost of one configuration change by the size of the fleet.
//!
//! `cargo bench -p sassafrasmast-core --bench config` also prints the sizes of the document, of the
//! record and of the partial document that an agent gets, for capacity planning.

use std::{collections::BTreeMap, hint::black_box};

use criterion::{BenchmarkId, Criterion, criterion_group, criterion_main};
use sassafrasmast_core::config::{
    Change, Document, Plan, Record, Secrets, Service, Upstream, Zone,
};

/// Upstreams in the measured fleets.
const UPSTREAMS: [u32; 4] = [525, 1_050, 2_100, 4_200];

/// Upstreams per service, as in the largest planned fleet.
const UPSTREAMS_PER_SERVICE: f64 = 4_200.0 / 1_700.0;

/// Availability zones.
const ZONES: [&str; 4] = ["norte-a", "norte-b", "sur-a", "sur-b"];

fn document(upstreams: u32) -> Document {
    let mut document = Document::first(Secrets {
        sealing: 0,
        phases: BTreeMap::from([(0, [1; 32])]),
        reset: [2; 32],
    });
    let services = (f64::from(upstreams) / UPSTREAMS_PER_SERVICE).ceil() as u16;
    for zone in ZONES {
        document.zones.insert(zone.to_owned(), Zone::default());
    }
    for id in 1..=services {
        let [high, low] = id.to_be_bytes();
        let service = Service {
            name: format!("service-{id}"),
            address: ([10, 200, high, low], 443).into(),
            feeds: vec!["/feed".to_owned()],
            deadline_ms: 5_000,
            max_body_bytes: 1 << 20,
        };
        document.services.insert(id, service);
    }
    for id in 1..=upstreams {
        let [_, _, high, low] = id.to_be_bytes();
        let upstream = Upstream {
            service: (id % u32::from(services)) as u16 + 1,
            zone: ZONES[id as usize % ZONES.len()].to_owned(),
            agent: ([10, 100, high, low], 7000).into(),
            upstream: ([10, 100, high, low], 8080).into(),
            slots: 5,
            connections: 2_000,
            draining: false,
        };
        document.upstreams.insert(id, upstream);
    }
    document.next_service = services + 1;
    document.next_agent = upstreams + 1;
    document
}

fn record(base: &Document, changes: &[Change]) -> Record {
    let mut next = base.apply(changes, &[4; 32]).expect("the zone is in");
    next.record_operation("operation".to_owned());
    Record {
        version: next.version,
        operation: "operation".to_owned(),
        changes: changes.to_vec(),
        fresh: [4; 32],
        digest: next.digest(),
    }
}

fn bench_changes(criterion: &mut Criterion) {
    let changes = [Change::ZoneOut {
        zone: ZONES[0].to_owned(),
    }];
    let mut group = criterion.benchmark_group("config");
    for upstreams in UPSTREAMS {
        let base = document(upstreams);
        let record = record(&base, &changes);
        let agent = base.upstreams[&1].agent;
        let bytes = |value: &Document| serde_json::to_vec(value).map_or(0, |text| text.len());
        let partial = base.for_agent(agent).expect("agent 1 is admitted");
        println!(
            "{upstreams} upstreams: document {} bytes, record {} bytes, partial document {} bytes",
            bytes(&base),
            serde_json::to_vec(&record).map_or(0, |text| text.len()),
            bytes(&partial),
        );
        let id = |name: &str| BenchmarkId::new(name, upstreams);
        group.bench_function(id("follow"), |b| {
            b.iter(|| record.apply_to(black_box(&base)))
        });
        group.bench_function(id("plan"), |b| {
            b.iter(|| Plan::new(black_box(&base), changes.to_vec()));
        });
        group.bench_function(id("part"), |b| b.iter(|| black_box(&base).for_agent(agent)));
    }
    group.finish();
}

criterion_group!(benches, bench_changes);
criterion_main!(benches);
