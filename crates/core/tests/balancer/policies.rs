//! Placement policies against each other in one run: seven agents of five slots, four balancers,
//! loads that are as stale as frames and probes leave them.

use std::{
    cmp::Reverse,
    collections::{BinaryHeap, VecDeque},
    time::{Duration, Instant},
};

use rand::{Rng, SeedableRng, rngs::StdRng};
use sassafrasmast_core::balancer::{Action, Policy, Route, Router, Settings};
use sassafrasmast_wire::{AgentId, Body, Load, State};

use super::fixture::{DISPATCH, Fleet, INCARNATION, ZONES, caller, document, initial};

const AGENTS: u32 = 7;
const BALANCERS: usize = 4;
const SLOTS: usize = 5;
const SERVICE_TIME: Duration = Duration::from_millis(100);
const ONE_WAY: Duration = Duration::from_micros(500);
const HANDSHAKE: Duration = Duration::from_millis(10);
const RUN: Duration = Duration::from_secs(60);
const WINDOW: Duration = Duration::from_secs(10);
const SEED: u64 = 7;

/// Target of the imbalance, max over mean of running work, in a window of ten seconds.
const TARGET: f64 = 1.15;

#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
enum Step {
    Arrive,
    Request(AgentId, Instant),
    Finish(AgentId, Duration),
    Frame(usize, AgentId),
    Tick,
}

#[derive(Debug, Default)]
struct Node {
    running: usize,
    queue: VecDeque<Instant>,
    flows: u32,
    mean: Duration,
    slow: u32,
    busy: Duration,
    changed: Option<Instant>,
}

impl Node {
    fn load(&self) -> Load {
        let ahead = (self.running + self.queue.len() + 1).saturating_sub(SLOTS);
        Load {
            state: State::Ready,
            running: self.running as u16,
            queued: self.queue.len() as u16,
            limit: SLOTS as u16,
            flows: self.flows,
            wait_us: (self.mean.as_micros() as usize * ahead / SLOTS) as u32,
        }
    }

    fn account(&mut self, now: Instant) {
        let since = self.changed.replace(now).unwrap_or(now);
        self.busy += (now - since) * self.running as u32;
    }
}

struct Bench {
    balancers: Vec<Fleet>,
    nodes: Vec<Node>,
    steps: BinaryHeap<Reverse<(Instant, u64, Step)>>,
    sequence: u64,
    rng: StdRng,
    rate: f64,
    now: Instant,
    waits: Vec<Duration>,
}

/// What one run showed.
#[derive(Debug)]
struct Outcome {
    worst: f64,
    mean: f64,
    wait_ms: f64,
    p99_ms: f64,
}

impl Bench {
    fn new(settings: &Settings, slow: u32, share: f64, feeds: u32) -> Self {
        let balancers: Vec<_> = (0..BALANCERS)
            .map(|at| {
                let zone = ZONES[at % ZONES.len()].to_owned();
                let seed = at as u64;
                let settings = settings.clone();
                Fleet::new(
                    document(AGENTS, 0),
                    Settings {
                        zone,
                        seed,
                        ..settings
                    },
                )
            })
            .collect();
        let nodes = (0..AGENTS).map(|agent| Node {
            mean: SERVICE_TIME,
            slow: if agent == 3 { slow } else { 1 },
            flows: agent * feeds,
            ..Node::default()
        });
        // A slow upstream takes its share off the capacity.
        let capacity = f64::from(AGENTS - 1) + 1.0 / f64::from(slow);
        let mut bench = Self {
            now: balancers
                .iter()
                .map(|fleet| fleet.now)
                .max()
                .expect("some balancers"),
            balancers,
            nodes: nodes.collect(),
            steps: BinaryHeap::new(),
            sequence: 0,
            rng: StdRng::seed_from_u64(SEED),
            rate: share * capacity * SLOTS as f64 / SERVICE_TIME.as_secs_f64(),
            waits: Vec::new(),
        };
        bench.at(Duration::ZERO, Step::Tick);
        bench.at(Duration::from_millis(300), Step::Arrive);
        bench
    }

    fn at(&mut self, after: Duration, step: Step) {
        self.sequence += 1;
        let entry = (self.now + after, self.sequence, step);
        self.steps.push(Reverse(entry));
    }

    fn exponential(&mut self, mean: Duration) -> Duration {
        let uniform: f64 = self.rng.random_range(1e-9..1.0);
        mean.mul_f64(-uniform.ln())
    }

    fn run(&mut self) -> Outcome {
        let warm = self.now + WINDOW;
        self.until(warm);
        self.waits.clear();
        let mut ratios = Vec::new();
        let windows = (RUN.as_secs() / WINDOW.as_secs()) as u32;
        for window in 1..=windows {
            self.nodes
                .iter_mut()
                .for_each(|node| node.busy = Duration::ZERO);
            self.until(warm + WINDOW * window);
            let busy: Vec<_> = self
                .nodes
                .iter()
                .map(|node| node.busy.as_secs_f64())
                .collect();
            let mean = busy.iter().sum::<f64>() / busy.len() as f64;
            ratios.push(busy.iter().copied().fold(0.0, f64::max) / mean);
        }
        self.waits.sort();
        let wait = self.waits.iter().sum::<Duration>() / self.waits.len() as u32;
        Outcome {
            worst: ratios.iter().copied().fold(0.0, f64::max),
            mean: ratios.iter().sum::<f64>() / ratios.len() as f64,
            wait_ms: wait.as_secs_f64() * 1e3,
            p99_ms: self.waits[self.waits.len() * 99 / 100].as_secs_f64() * 1e3,
        }
    }

    /// Lets time pass without arrivals.
    fn quiet(&mut self, end: Instant) {
        while let Some(Reverse((at, _, step))) = self.steps.pop() {
            self.now = at;
            match step {
                Step::Arrive => self.at(WINDOW * 100, Step::Arrive),
                step => self.step(step),
            }
            if at >= end {
                break;
            }
        }
        self.now = self.now.max(end);
    }

    fn until(&mut self, end: Instant) {
        while let Some(Reverse((at, _, step))) = self.steps.pop() {
            self.now = at;
            self.step(step);
            if at >= end {
                break;
            }
        }
        let now = self.now;
        self.nodes.iter_mut().for_each(|node| node.account(now));
    }

    fn step(&mut self, step: Step) {
        match step {
            Step::Tick => {
                self.tick();
                self.at(Router::TICK, Step::Tick);
            }
            Step::Arrive => {
                self.arrive();
                let gap = self.exponential(Duration::from_secs_f64(1.0 / self.rate));
                self.at(gap, Step::Arrive);
            }
            Step::Request(agent, _) => {
                let now = self.now;
                self.node(agent).queue.push_back(now);
                self.serve(agent);
                self.answer(agent);
            }
            Step::Finish(agent, took) => {
                let now = self.now;
                let node = self.node(agent);
                node.account(now);
                node.running -= 1;
                node.flows -= 1;
                node.mean = (node.mean * 9 + took) / 10;
                self.serve(agent);
                self.answer(agent);
            }
            Step::Frame(balancer, agent) => {
                let load = self.node(agent).load();
                let body = Body::Outbound {
                    service: DISPATCH,
                    agent,
                    incarnation: INCARNATION,
                    caller: caller(),
                    load,
                    payload: b"",
                };
                self.balancers[balancer].now = self.now;
                let from = super::fixture::address(agent);
                self.balancers[balancer].receive(from, 1, body);
            }
        }
    }

    fn node(&mut self, agent: AgentId) -> &mut Node {
        &mut self.nodes[agent as usize - 1]
    }

    /// A caller's first datagram reaches some balancer, the Retry goes back through it.
    fn arrive(&mut self) {
        let at = self.rng.random_range(0..BALANCERS);
        let route = self.balancers[at]
            .router
            .route(self.now, DISPATCH, &initial());
        let Route::Place { agent, .. } = route else {
            panic!("every flow is placed, not {route:?}");
        };
        self.node(agent).flows += 1;
        self.at(ONE_WAY * 2, Step::Frame(at, agent));
        let now = self.now;
        self.at(HANDSHAKE, Step::Request(agent, now));
    }

    /// A packet of the agent leaves through some balancer.
    fn answer(&mut self, agent: AgentId) {
        let at = self.rng.random_range(0..BALANCERS);
        self.at(ONE_WAY, Step::Frame(at, agent));
    }

    fn serve(&mut self, agent: AgentId) {
        let now = self.now;
        while self.node(agent).running < SLOTS {
            let node = self.node(agent);
            let Some(arrived) = node.queue.pop_front() else {
                return;
            };
            node.account(now);
            node.running += 1;
            let mean = SERVICE_TIME * node.slow;
            self.waits.push(now - arrived);
            let took = self.exponential(mean);
            self.at(took, Step::Finish(agent, took));
        }
    }

    fn tick(&mut self) {
        for at in 0..BALANCERS {
            let mut actions = Vec::new();
            self.balancers[at].router.tick(self.now, &mut actions);
            for action in actions {
                if let Action::Send {
                    body: Body::Probe { agent, .. },
                    ..
                } = action
                {
                    self.at(ONE_WAY * 2, Step::Frame(at, agent));
                }
            }
        }
    }
}

fn measure(policy: Policy, slow: u32, share: f64, feeds: u32) -> Outcome {
    let settings = Settings {
        policy,
        ..Settings::default()
    };
    let outcome = Bench::new(&settings, slow, share, feeds).run();
    println!(
        "{share:.2} of capacity, one {slow}x slower, {feeds} feeds apart, {policy:?}: max/mean {:.3} worst {:.3}, \
         wait {:.2} ms, p99 {:.1} ms",
        outcome.mean, outcome.worst, outcome.wait_ms, outcome.p99_ms
    );
    outcome
}

/// The default against the others; `cargo test --test balancer policies -- --nocapture` prints
/// the figures. Open feeds differ between agents and say nothing about running work.
#[test]
fn the_default_policy_is_balanced_and_waits_less_than_blind_ones() {
    for (slow, share, feeds) in [(1, 0.8, 0), (1, 0.8, 20), (1, 0.95, 0), (2, 0.8, 0)] {
        let run = |policy| measure(policy, slow, share, feeds);
        let ours = run(Policy::default());
        let [random, robin] = [Policy::Random, Policy::RoundRobin].map(run);
        let [connections, _two] = [Policy::LeastConnections, Policy::PredictedWait].map(run);
        assert!(ours.worst <= TARGET, "{ours:?}");
        for blind in [random, robin] {
            assert!(ours.wait_ms <= blind.wait_ms, "{ours:?} against {blind:?}");
        }
        let misled = feeds > 0;
        assert!(
            !misled || ours.wait_ms <= connections.wait_ms,
            "{connections:?}"
        );
    }
}

/// Feeds that stay open leave no running work, and still have to be spread.
#[test]
fn feeds_are_spread_while_nothing_else_runs() {
    const FEEDS: u32 = 700;
    let mut bench = Bench::new(&Settings::default(), 1, 0.5, 0);
    bench.until(bench.now + Duration::from_millis(200));
    for _ in 0..FEEDS {
        let at = bench.rng.random_range(0..BALANCERS);
        let router = &bench.balancers[at].router;
        let Route::Place { agent, .. } = router.route(bench.now, DISPATCH, &initial()) else {
            panic!("every flow is placed");
        };
        bench.node(agent).flows += 1;
        bench.at(ONE_WAY * 2, Step::Frame(at, agent));
        let gap = bench.exponential(Duration::from_millis(20));
        bench.quiet(bench.now + gap);
    }
    let most = bench.nodes.iter().map(|node| node.flows).max().unwrap_or(0);
    let share = f64::from(most * AGENTS) / f64::from(FEEDS);
    println!("feeds max/mean {share:.3}");
    assert!(share <= TARGET, "{share:.3}");
}
