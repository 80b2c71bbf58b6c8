//! Memory and processor time of an agent's decisions by the number of keys it remembers.
//!
//! `cargo run --release -p sassafrasmast-core --example requests` prints a Markdown table. Time is
//! virtual but for the measured one; memory is this process's resident set.

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

/// Keys that are remembered.
const KEYS: [u64; 4] = [1_000, 10_000, 50_000, 130_000];

/// Requests over which the processor time is taken.
const REQUESTS: u64 = 100_000;

/// Bytes of a page.
const PAGE_BYTES: u64 = 4_096;

fn main() {
    println!("| keys | bytes a key | us a booking with a ticket | us a query |");
    println!("|---|---|---|---|");
    for keys in KEYS {
        let before = resident();
        let mut load = Bench::new();
        load.bookings(keys);
        let bytes = resident().saturating_sub(before) / keys;
        let booking = load.bookings(1_000) / 1_000.0;
        let query = load.run(REQUESTS, |_| None) / REQUESTS as f64;
        println!("| {keys} | {bytes} | {booking:.2} | {query:.2} |");
    }
}

/// One agent and the next request.
struct Bench {
    agent: Agent,
    now: Instant,
    next: u64,
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
        let snapshot = Snapshot::new(document()).expect("the secrets are whole");
        agent.config(now, &snapshot);
        Self {
            agent,
            now,
            next: 0,
        }
    }

    /// Runs bookings with tickets; returns the microseconds it took.
    fn bookings(&mut self, count: u64) -> f64 {
        let now = self.now;
        self.run(count, |agent| agent.ticket(now).map(Key::Ticket))
    }

    fn run(&mut self, count: u64, key: impl Fn(&mut Agent) -> Option<Key>) -> f64 {
        let begun = Instant::now();
        for _ in 0..count {
            self.next += 1;
            let request = Request {
                id: self.next,
                class: Class::NonIdempotent,
                key: key(&mut self.agent),
                digest: [0; 32],
                body_bytes: Some(200),
                deadline: self.now + Duration::from_secs(5),
                relayed: false,
            };
            self.agent.arrive(self.now, request);
            self.agent.may_start(self.now, self.next);
            let finish = Finish::Whole {
                answer: None,
                latency: Duration::from_millis(20),
                failed: false,
            };
            self.agent.finished(self.now, self.next, finish);
            while self.agent.poll().is_some() {}
        }
        begun.elapsed().as_secs_f64() * 1e6
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

/// Resident bytes of this process.
fn resident() -> u64 {
    let statm = fs::read_to_string("/proc/self/statm").unwrap_or_default();
    let pages = statm.split_whitespace().nth(1);
    pages
        .and_then(|pages| pages.parse::<u64>().ok())
        .unwrap_or(0)
        * PAGE_BYTES
}
