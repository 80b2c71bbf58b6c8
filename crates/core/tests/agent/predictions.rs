//! Placement by the serving agent's own prediction, beside plain counts.

use std::{
    collections::BTreeMap,
    time::{Duration, Instant},
};

use rand::{Rng, SeedableRng, rngs::StdRng};
use sassafrasmast_core::{
    agent::{Action, Agent, Class, Finish, Request, Settings, SizeClass},
    config::Snapshot,
    timeline::RequestId,
};

use crate::rig::{INCARNATION, address, document};

/// Agents of the service and slots of each.
const AGENTS: usize = 7;
const SLOTS: u16 = 5;

/// Age of the load reports at most.
const REPORT_MS: u64 = 50;

/// Length of a run, and of its start that is not counted.
const LENGTH_MS: u64 = 30_000;
const WARM_MS: u64 = 10_000;

/// Factor of the service times of the slow upstream.
const SLOW: u64 = 4;

/// By what two randomly chosen agents are compared.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Measure {
    /// Requests that run or wait.
    Count,
    /// The agent's own prediction of the time until the answer.
    Expected,
}

/// Load and upstreams of a run.
#[derive(Debug, Clone, Copy)]
struct Scenario {
    name: &'static str,
    /// Chance of an arrival in a millisecond.
    arrival: f64,
    /// Share of manifests, and their mean service time.
    large: f64,
    large_ms: u64,
    /// Whether one upstream is slow.
    slow: bool,
}

struct Simulation {
    base: Instant,
    random: StdRng,
    scenario: Scenario,
    measure: Measure,
    agents: Vec<Agent>,
    reports: Vec<u64>,
    /// Ends of the runs: time, agent, request, service time.
    ends: BTreeMap<(u64, RequestId), (usize, u64)>,
    /// Arrival and size of each request.
    sent: BTreeMap<RequestId, (u64, SizeClass)>,
    latencies: Vec<u64>,
    refused: usize,
}

impl Simulation {
    fn new(scenario: Scenario, measure: Measure, seed: u64) -> Self {
        let base = Instant::now();
        let snapshot = Snapshot::new(document(AGENTS as u32, SLOTS)).expect("whole secrets");
        let agents = (1..=AGENTS as u32).map(|agent| {
            let settings = Settings {
                listen: address(agent),
                incarnation: INCARNATION,
                ..Settings::default()
            };
            let mut agent = Agent::new(settings, base);
            agent.config(base, &snapshot);
            agent
        });
        Self {
            base,
            random: StdRng::seed_from_u64(seed),
            scenario,
            measure,
            agents: agents.collect(),
            reports: vec![0; AGENTS],
            ends: BTreeMap::new(),
            sent: BTreeMap::new(),
            latencies: Vec::new(),
            refused: 0,
        }
    }

    fn run(mut self) -> (Vec<u64>, usize) {
        for at in 0..LENGTH_MS {
            while let Some(entry) = self.ends.first_entry().filter(|entry| entry.key().0 <= at) {
                let ((_, id), (agent, took)) = entry.remove_entry();
                self.end(at, agent, id, took);
            }
            for agent in 0..AGENTS {
                if (at + agent as u64 * 7).is_multiple_of(REPORT_MS) {
                    self.reports[agent] = self.report(at, agent);
                }
            }
            for _ in 0..4 {
                if self.random.random_bool(self.scenario.arrival / 4.0) {
                    self.arrive(at);
                }
            }
        }
        self.latencies.sort_unstable();
        (self.latencies, self.refused)
    }

    fn now(&self, at: u64) -> Instant {
        self.base + Duration::from_millis(at)
    }

    fn report(&self, at: u64, agent: usize) -> u64 {
        let (now, agent) = (self.now(at), &self.agents[agent]);
        let load = agent.load(now);
        match self.measure {
            Measure::Count => u64::from(load.running + load.queued),
            Measure::Expected => u64::from(load.wait_us),
        }
    }

    fn arrive(&mut self, at: u64) {
        let first = self.random.random_range(0..AGENTS);
        let second = (first + self.random.random_range(1..AGENTS)) % AGENTS;
        let agent = if self.reports[second] < self.reports[first] {
            second
        } else {
            first
        };
        let large = self.random.random_bool(self.scenario.large);
        let id = self.sent.len() as u64;
        let size = if large {
            SizeClass::Large
        } else {
            SizeClass::Small
        };
        self.sent.insert(id, (at, size));
        let request = Request {
            id,
            class: Class::Idempotent,
            key: None,
            digest: [0; 32],
            body_bytes: Some(if large { 1 << 20 } else { 100 }),
            deadline: self.now(at + 10_000),
            relayed: false,
        };
        let now = self.now(at);
        self.agents[agent].arrive(now, request);
        self.take(at, agent);
    }

    fn end(&mut self, at: u64, agent: usize, id: RequestId, took: u64) {
        let finish = Finish::Whole {
            answer: None,
            latency: Duration::from_millis(took),
            failed: false,
        };
        let now = self.now(at);
        self.agents[agent].finished(now, id, finish);
        let (since, size) = self.sent[&id];
        if since >= WARM_MS && size == SizeClass::Small {
            self.latencies.push(at - since);
        }
        self.take(at, agent);
    }

    fn take(&mut self, at: u64, agent: usize) {
        let now = self.now(at);
        while let Some(action) = self.agents[agent].poll() {
            match action {
                Action::Start { id } if self.agents[agent].may_start(now, id) => {
                    let took = self.service(agent, self.sent[&id].1);
                    self.ends.insert((at + took, id), (agent, took));
                }
                Action::Answer { reply, .. }
                    if reply != sassafrasmast_core::agent::Reply::Fresh =>
                {
                    self.refused += 1;
                }
                _ => {}
            }
        }
    }

    fn service(&mut self, agent: usize, size: SizeClass) -> u64 {
        let mean = match size {
            SizeClass::Small => 20,
            SizeClass::Large => self.scenario.large_ms,
        };
        let slow = if self.scenario.slow && agent == 0 {
            SLOW
        } else {
            1
        };
        self.random.random_range(mean / 2..=mean * 3 / 2) * slow
    }
}

/// Mean and 99th percentile of the latency of small requests in microseconds and milliseconds,
/// over five seeds.
fn latency(scenario: Scenario, measure: Measure) -> (u64, u64) {
    let mut all = Vec::new();
    let mut refused = 0;
    for seed in 0..5 {
        let (latencies, more) = Simulation::new(scenario, measure, seed).run();
        all.extend(latencies);
        refused += more;
    }
    all.sort_unstable();
    let mean = all.iter().sum::<u64>() * 1_000 / all.len() as u64;
    let tail = all[all.len() * 99 / 100];
    println!(
        "{} {measure:?}: mean {mean} us, p99 {tail} ms, refused {refused}",
        scenario.name
    );
    (mean, tail)
}

#[test]
fn the_agents_own_prediction_beats_plain_counts() {
    let even = Scenario {
        name: "bookings alone, 80%",
        arrival: 1.4,
        large: 0.0,
        large_ms: 400,
        slow: false,
    };
    let mixed = Scenario {
        name: "manifests beside bookings",
        arrival: 0.7,
        large: 0.05,
        ..even
    };
    let slow = Scenario {
        name: "one slow upstream",
        arrival: 1.1,
        slow: true,
        ..even
    };
    for scenario in [even, mixed, slow] {
        let (count, count_tail) = latency(scenario, Measure::Count);
        let (expected, tail) = latency(scenario, Measure::Expected);
        let worse = expected * 20 > count * 21 || tail * 10 > count_tail * 11;
        assert!(
            !worse,
            "{}: mean above 105%, or tail above 110%",
            scenario.name
        );
        if scenario.slow {
            assert!(expected * 10 < count * 9 && tail * 2 < count_tail);
        }
    }
}
