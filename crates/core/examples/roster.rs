//! Memory and control traffic of a balancer by the number of agents.
//!
//! The roster is the router's state of all agents.
//!
//! `cargo run --release -p sassafrasmast-core --example roster` prints a Markdown table with the
//! slopes. Time is virtual; memory is this process's resident set.

use std::{
    fs,
    net::SocketAddr,
    sync::{Arc, atomic::Ordering},
    time::{Duration, Instant},
};

use sassafrasmast_core::{
    Blackboard,
    balancer::{Action, Router, Settings},
    config::{Document, Secrets, Service, Snapshot, Upstream, Zone},
};
use sassafrasmast_wire::{Body, Frame, Load, State};

/// Fleet sizes, in agents.
const FLEET_SIZES: [u32; 4] = [10, 100, 1_000, 4_200];

/// Routers created for each fleet size: the resident set grows in whole pages, which is too coarse
/// for a single router.
const COPIES: usize = 16;

/// Length of a run in virtual time.
const RUN: Duration = Duration::from_secs(120);

/// Size of a memory page.
const PAGE_BYTES: usize = 4_096;

/// Measurements for one fleet size.
struct Row {
    agents: u32,
    config_bytes: f64,
    roster_bytes: f64,
    probes_per_s: f64,
    control_bytes_per_s: f64,
    tick_us: f64,
    config_change_us: f64,
    heard: usize,
}

fn main() {
    println!(
        "| agents | config KB | roster KB | probes/s | control B/s | tick us | config change us | heard in {RUN:?} |"
    );
    println!("|---|---|---|---|---|---|---|---|");
    let rows: Vec<_> = FLEET_SIZES.into_iter().map(measure).collect();
    for row in &rows {
        println!(
            "| {} | {:.1} | {:.1} | {:.1} | {:.0} | {:.2} | {:.0} | {} |",
            row.agents,
            row.config_bytes / 1e3,
            row.roster_bytes / 1e3,
            row.probes_per_s,
            row.control_bytes_per_s,
            row.tick_us,
            row.config_change_us,
            row.heard,
        );
    }
    print_slope("config bytes", &rows, |row| row.config_bytes);
    print_slope("roster bytes", &rows, |row| row.roster_bytes);
    print_slope("config change us", &rows, |row| row.config_change_us);
}

/// Prints the least-squares line through the sizes and its largest residual.
fn print_slope(name: &str, rows: &[Row], value: impl Fn(&Row) -> f64) {
    let count = rows.len() as f64;
    let x = |row: &Row| f64::from(row.agents);
    let mean_x = rows.iter().map(x).sum::<f64>() / count;
    let mean_y = rows.iter().map(&value).sum::<f64>() / count;
    let covariance: f64 = rows
        .iter()
        .map(|r| (x(r) - mean_x) * (value(r) - mean_y))
        .sum();
    let variance: f64 = rows.iter().map(|r| (x(r) - mean_x).powi(2)).sum();
    let slope = covariance / variance;
    let start = mean_y - slope * mean_x;
    let residual = |row| (value(row) - start - slope * x(row)).abs();
    let residual = rows.iter().map(residual).fold(0.0, f64::max);
    println!("{name}: {start:.0} + {slope:.3} per agent, residual at most {residual:.0}");
}

fn measure(agents: u32) -> Row {
    let base_bytes = resident_bytes();
    let documents: Vec<_> = (0..COPIES).map(|_| document(agents)).collect();
    let blackboards: Vec<_> = documents.into_iter().map(blackboard).collect();
    let config_bytes = resident_bytes();
    let now = Instant::now();
    let routers: Vec<_> = blackboards
        .iter()
        .map(|blackboard| Router::new(now, Settings::default(), Arc::clone(blackboard)))
        .collect();
    for router in &routers {
        router.tick(now, &mut Vec::new());
    }
    let roster_bytes = resident_bytes();
    let config_change_us = change_config(&routers[0], &blackboards[0], now);
    let (tick_us, heard) = run(&routers[0], &blackboards[0], now);
    let counters = routers[0].counters();
    let per_second = |count: u64| count as f64 / RUN.as_secs_f64();
    Row {
        agents,
        config_bytes: per_copy(base_bytes, config_bytes),
        roster_bytes: per_copy(config_bytes, roster_bytes),
        probes_per_s: per_second(counters.probes.load(Ordering::Relaxed)),
        control_bytes_per_s: per_second(counters.control_bytes.load(Ordering::Relaxed)),
        tick_us,
        config_change_us,
        heard,
    }
}

/// Growth of the resident set per router, in bytes.
fn per_copy(before: usize, after: usize) -> f64 {
    after.saturating_sub(before) as f64 / COPIES as f64
}

/// Microseconds that the router takes to adopt a changed configuration.
fn change_config(router: &Router, blackboard: &Blackboard, now: Instant) -> f64 {
    let config = blackboard.config().expect("installed");
    let mut document = config.document.clone();
    document.version += 1;
    blackboard.install(
        Instant::now(),
        Snapshot::new(document).expect("consistent secrets"),
    );
    let start = Instant::now();
    router.tick(now, &mut Vec::new());
    start.elapsed().as_secs_f64() * 1e6
}

/// Ticks through a run in which every agent answers its probes. Returns the mean time of a tick in
/// microseconds and the number of agents that reported.
fn run(router: &Router, blackboard: &Blackboard, start: Instant) -> (f64, usize) {
    let mut spent = Duration::ZERO;
    let mut ticks = 0;
    let mut now = start;
    let config = blackboard.config().expect("installed");
    while now < start + RUN {
        now += Router::TICK;
        ticks += 1;
        let mut actions = Vec::new();
        let tick_start = Instant::now();
        router.tick(now, &mut actions);
        spent += tick_start.elapsed();
        for action in actions {
            if let Action::Send {
                to,
                body: Body::Probe { nonce, agent },
            } = action
            {
                let service = config.document.upstreams[&agent].service;
                let report = report(config.document.version, nonce, agent, service);
                router.receive(now, to, &report, &mut Vec::new());
            }
        }
    }
    let known = |agent: &&u32| router.load(now, **agent).is_some();
    let heard = config.document.upstreams.keys().filter(known).count();
    (spent.as_secs_f64() * 1e6 / f64::from(ticks), heard)
}

fn report(version: u64, nonce: u32, agent: u32, service: u16) -> Vec<u8> {
    let body = Body::Report {
        nonce,
        service: Some(service),
        agent: Some(agent),
        incarnation: 1_700_000_000_000,
        load: Load {
            state: State::Ready,
            limit: 5,
            flows: 1_500,
            ..Load::default()
        },
    };
    let mut bytes = Vec::new();
    let frame = Frame::new(version, body);
    frame.encode(&mut bytes).expect("a small frame");
    bytes
}

fn blackboard(document: Document) -> Arc<Blackboard> {
    let blackboard = Blackboard::new(0);
    blackboard.install(
        Instant::now(),
        Snapshot::new(document).expect("consistent secrets"),
    );
    Arc::new(blackboard)
}

fn document(agents: u32) -> Document {
    let mut document = Document::first(Secrets {
        sealing: 1,
        phases: [(1, [3; 32])].into(),
        reset: [5; 32],
    });
    for zone in ["a", "b", "c", "d"] {
        document.zones.insert(zone.to_owned(), Zone::default());
    }
    for agent in 1..=agents {
        // About 17 services for every 42 agents.
        let service = (agent * 17 / 42) as u16;
        document.services.entry(service).or_insert_with(|| Service {
            name: format!("service-{service}"),
            address: address(agent),
            feeds: Vec::new(),
            deadline_ms: 10_000,
            max_body_bytes: 1 << 20,
        });
        let upstream = Upstream {
            service,
            zone: ["a", "b", "c", "d"][agent as usize % 4].to_owned(),
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

fn address(agent: u32) -> SocketAddr {
    let [_, a, b, c] = agent.to_be_bytes();
    SocketAddr::from(([127, a, b, c], 7_000))
}

/// Resident set of this process in bytes.
fn resident_bytes() -> usize {
    let statm = fs::read_to_string("/proc/self/statm").unwrap_or_default();
    let pages = statm.split(' ').nth(1).and_then(|pages| pages.parse().ok());
    pages.unwrap_or(0_usize) * PAGE_BYTES
}
