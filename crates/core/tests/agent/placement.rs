//! Placement of requests by the agents' expected latency, compared with placement by the number of
//! requests.

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

use crate::fixture::{INCARNATION, address, document};

/// Agents of the service.
const AGENTS: usize = 7;

/// Slots of each agent.
const SLOTS: u16 = 5;

/// Time between two load reports of an agent.
const REPORT_INTERVAL_MS: u64 = 50;

/// Length of a simulation.
const SIMULATION_MS: u64 = 30_000;

/// Time at the start of a simulation whose requests are not counted.
const WARM_UP_MS: u64 = 10_000;

/// Factor by which the service times of the slow upstream are longer.
const SLOW_FACTOR: u64 = 4;

/// Value by which two randomly chosen agents are compared.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Measure {
    /// Number of running and waiting requests.
    Count,
    /// The agent's expected latency.
    Expected,
}

/// Load and upstreams of a simulation.
#[derive(Debug, Clone, Copy)]
struct Scenario {
    name: &'static str,
    /// Mean number of arrivals per millisecond.
    arrivals_per_ms: f64,
    /// Share of large requests.
    large_share: f64,
    /// Mean service time of large requests.
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
    /// Last reported value of each agent.
    reports: Vec<u64>,
    /// Ends of running requests: (time in ms, request) to (agent, service time in ms).
    ends: BTreeMap<(u64, RequestId), (usize, u64)>,
    /// Arrival in ms and size class of each request.
    sent: BTreeMap<RequestId, (u64, SizeClass)>,
    /// Latencies of small requests in ms.
    latencies: Vec<u64>,
    refused: usize,
}

impl Simulation {
    fn new(scenario: Scenario, measure: Measure, seed: u64) -> Self {
        let base = Instant::now();
        let snapshot = Snapshot::new(document(AGENTS as u32, SLOTS)).expect("consistent secrets");
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
        for at_ms in 0..SIMULATION_MS {
            while let Some(entry) = self
                .ends
                .first_entry()
                .filter(|entry| entry.key().0 <= at_ms)
            {
                let ((_, id), (agent, service_ms)) = entry.remove_entry();
                self.end(at_ms, agent, id, service_ms);
            }
            for agent in 0..AGENTS {
                if (at_ms + agent as u64 * 7).is_multiple_of(REPORT_INTERVAL_MS) {
                    self.reports[agent] = self.report(at_ms, agent);
                }
            }
            for _ in 0..4 {
                if self.random.random_bool(self.scenario.arrivals_per_ms / 4.0) {
                    self.arrive(at_ms);
                }
            }
        }
        self.latencies.sort_unstable();
        (self.latencies, self.refused)
    }

    fn now(&self, at_ms: u64) -> Instant {
        self.base + Duration::from_millis(at_ms)
    }

    fn report(&self, at_ms: u64, agent: usize) -> u64 {
        let (now, agent) = (self.now(at_ms), &self.agents[agent]);
        let load = agent.load(now);
        match self.measure {
            Measure::Count => u64::from(load.running + load.queued),
            Measure::Expected => u64::from(load.wait_us),
        }
    }

    fn arrive(&mut self, at_ms: u64) {
        let first = self.random.random_range(0..AGENTS);
        let second = (first + self.random.random_range(1..AGENTS)) % AGENTS;
        let agent = if self.reports[second] < self.reports[first] {
            second
        } else {
            first
        };
        let large = self.random.random_bool(self.scenario.large_share);
        let id = self.sent.len() as u64;
        let size = if large {
            SizeClass::Large
        } else {
            SizeClass::Small
        };
        self.sent.insert(id, (at_ms, size));
        let request = Request {
            id,
            class: Class::Idempotent,
            key: None,
            digest: [0; 32],
            body_bytes: Some(if large { 1 << 20 } else { 100 }),
            deadline: self.now(at_ms + 10_000),
            relayed: false,
        };
        let now = self.now(at_ms);
        self.agents[agent].arrive(now, request);
        self.apply_actions(at_ms, agent);
    }

    fn end(&mut self, at_ms: u64, agent: usize, id: RequestId, service_ms: u64) {
        let finish = Finish::Whole {
            answer: None,
            latency: Duration::from_millis(service_ms),
            failed: false,
        };
        let now = self.now(at_ms);
        self.agents[agent].finished(now, id, finish);
        let (since, size) = self.sent[&id];
        if since >= WARM_UP_MS && size == SizeClass::Small {
            self.latencies.push(at_ms - since);
        }
        self.apply_actions(at_ms, agent);
    }

    fn apply_actions(&mut self, at_ms: u64, agent: usize) {
        let now = self.now(at_ms);
        while let Some(action) = self.agents[agent].poll() {
            match action {
                Action::Start { id } if self.agents[agent].begin_hand_over(now, id) => {
                    let service_ms = self.sample_service_ms(agent, self.sent[&id].1);
                    self.ends
                        .insert((at_ms + service_ms, id), (agent, service_ms));
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

    fn sample_service_ms(&mut self, agent: usize, size: SizeClass) -> u64 {
        let mean = match size {
            SizeClass::Small => 20,
            SizeClass::Large => self.scenario.large_ms,
        };
        let slow = if self.scenario.slow && agent == 0 {
            SLOW_FACTOR
        } else {
            1
        };
        self.random.random_range(mean / 2..=mean * 3 / 2) * slow
    }
}

/// Mean in microseconds and 99th percentile in milliseconds of the latency of small requests, over
/// five seeds.
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
fn placement_by_expected_latency_beats_request_counts() {
    let even = Scenario {
        name: "bookings alone at 80% of the capacity",
        arrivals_per_ms: 1.4,
        large_share: 0.0,
        large_ms: 400,
        slow: false,
    };
    let mixed = Scenario {
        name: "manifests beside bookings",
        arrivals_per_ms: 0.7,
        large_share: 0.05,
        ..even
    };
    let slow = Scenario {
        name: "one slow upstream",
        arrivals_per_ms: 1.1,
        slow: true,
        ..even
    };
    for scenario in [even, mixed, slow] {
        let (count, count_tail) = latency(scenario, Measure::Count);
        let (expected, tail) = latency(scenario, Measure::Expected);
        let worse = expected * 20 > count * 21 || tail * 10 > count_tail * 11;
        assert!(
            !worse,
            "{}: mean {expected} of {count} us (limit 105%), p99 {tail} of {count_tail} ms (110%)",
            scenario.name
        );
        if scenario.slow {
            assert!(expected * 10 < count * 9 && tail * 2 < count_tail);
        }
    }
}
