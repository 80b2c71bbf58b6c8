//! Memory and wall time per request of an agent, by the number of idempotency keys in its registry.
//!
//! `cargo run --release -p sassafrasmast-core --example requests` prints a Markdown table. The
//! agent's clock is virtual; memory is this process's resident set.

use std::{
    collections::BTreeMap,
    fs,
    net::SocketAddr,
    time::{Duration, Instant},
};

use sassafrasmast_core::{
    agent::{Agent, Class, Finish, Key, Request, Settings},
    config::{Document, Secrets, Snapshot, Upstream, Zone},
};

/// Numbers of keys with which the agent is measured.
const KEY_COUNTS: [u64; 4] = [1_000, 10_000, 50_000, 130_000];

/// Number of bookings without a key over which the time is measured.
const BOOKINGS_WITHOUT_KEY: u64 = 100_000;

/// Size of a memory page in bytes.
const PAGE_BYTES: u64 = 4_096;

fn main() {
    println!(
        "| keys | bytes per key | µs per booking with a ticket | µs per booking without a key |"
    );
    println!("|---|---|---|---|");
    for keys in KEY_COUNTS {
        let before = resident_bytes();
        let mut bench = Bench::new();
        bench.run_bookings(keys);
        let bytes = resident_bytes().saturating_sub(before) / keys;
        let with_ticket = bench.run_bookings(1_000) / 1_000.0;
        let without_key = bench.run(BOOKINGS_WITHOUT_KEY, |_| None) / BOOKINGS_WITHOUT_KEY as f64;
        println!("| {keys} | {bytes} | {with_ticket:.2} | {without_key:.2} |");
    }
}

/// One agent with a virtual clock.
struct Bench {
    agent: Agent,
    now: Instant,
    last_id: u64,
}

impl Bench {
    fn new() -> Self {
        let now = Instant::now();
        let settings = Settings {
            listen: address(),
            incarnation: 1,
            ..Settings::default()
        };
        let mut agent = Agent::new(settings, now);
        let snapshot = Snapshot::new(document()).expect("consistent secrets");
        agent.config(now, &snapshot);
        Self {
            agent,
            now,
            last_id: 0,
        }
    }

    /// Runs bookings with tickets; returns the elapsed time in microseconds.
    fn run_bookings(&mut self, count: u64) -> f64 {
        let now = self.now;
        self.run(count, |agent| agent.ticket(now).map(Key::Ticket))
    }

    /// Runs requests, each with the key from `key`; returns the elapsed time in microseconds.
    fn run(&mut self, count: u64, key: impl Fn(&mut Agent) -> Option<Key>) -> f64 {
        let started = Instant::now();
        for _ in 0..count {
            self.last_id += 1;
            let request = Request {
                id: self.last_id,
                class: Class::NonIdempotent,
                key: key(&mut self.agent),
                digest: [0; 32],
                body_bytes: Some(200),
                deadline: self.now + Duration::from_secs(5),
                relayed: false,
            };
            self.agent.arrive(self.now, request);
            self.agent.begin_hand_over(self.now, self.last_id);
            let finish = Finish::Whole {
                answer: None,
                latency: Duration::from_millis(20),
                failed: false,
            };
            self.agent.finished(self.now, self.last_id, finish);
            while self.agent.poll().is_some() {}
        }
        started.elapsed().as_secs_f64() * 1e6
    }
}

fn address() -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], 7_000))
}

fn document() -> Document {
    let mut document = Document::first(Secrets {
        sealing: 0,
        phases: BTreeMap::from([(0, [1; 32])]),
        reset: [2; 32],
    });
    document.zones.insert("a".to_owned(), Zone::default());
    let upstream = Upstream {
        service: 1,
        zone: "a".to_owned(),
        agent: address(),
        upstream: address(),
        slots: 5,
        connections: 2_000,
        draining: false,
    };
    document.upstreams.insert(1, upstream);
    document
}

/// Resident set of this process in bytes.
fn resident_bytes() -> u64 {
    let statm = fs::read_to_string("/proc/self/statm").unwrap_or_default();
    let pages = statm.split_whitespace().nth(1);
    pages
        .and_then(|pages| pages.parse::<u64>().ok())
        .unwrap_or(0)
        * PAGE_BYTES
}
