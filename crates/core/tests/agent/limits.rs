//! The limiter compared with a fixed limit and AIMD on a simulated upstream with a cold start.

use std::{
    collections::VecDeque,
    time::{Duration, Instant},
};

use rand::{Rng, SeedableRng, rngs::StdRng};
use sassafrasmast_core::agent::{Limiter, Signal, SizeClass};

/// Slots of the upstream.
const SLOTS: u16 = 5;

/// Time for which a collapsed upstream fails all requests.
const DOWN_MS: u64 = 500;

/// Time after which a request leaves the queue unanswered.
const QUEUE_TIMEOUT_MS: u64 = 2_000;

/// Length of a simulation. After a third of it the upstream collapses under load and becomes cold.
/// After two thirds it comes back cold with its availability zone, and the policies are restarted.
const SIMULATION_MS: u64 = 60_000;

/// How the concurrency limit is set.
#[derive(Debug, Clone)]
enum Policy {
    /// By the limiter under test.
    Adaptive(Limiter),
    /// Always the number of slots.
    Fixed,
    /// Additive increase, multiplicative decrease: one more after each round of answers, half after
    /// a failure.
    Aimd(f64),
}

/// An upstream whose capacity starts at one request when cold and grows with finished ones. It
/// collapses when more requests run than its capacity.
#[derive(Debug, Clone)]
struct Upstream {
    capacity: u16,
    /// Finished requests after which the capacity grows by one.
    answers_per_slot: u32,
    finished: u32,
    down_until_ms: u64,
    incarnation: u32,
}

/// Counts of a simulation.
#[derive(Debug, Clone, Default)]
struct Tally {
    arrived: u32,
    answered: u32,
    failed: u32,
    expired: u32,
    /// Collapses caused by more running requests than the capacity.
    collapses: u32,
}

/// A running request: its end and start in ms, the upstream's incarnation, whether it fails.
type Run = (u64, u64, u32, bool);

struct Simulation {
    base: Instant,
    random: StdRng,
    upstream: Upstream,
    policy: Policy,
    /// Arrival times of waiting requests in ms.
    queue: VecDeque<u64>,
    runs: Vec<Run>,
    tally: Tally,
}

impl Policy {
    fn limit(&self, now: Instant) -> u16 {
        match self {
            Self::Adaptive(limiter) => limiter.limit(now),
            Self::Fixed => SLOTS,
            Self::Aimd(limit) => (*limit as u16).clamp(1, SLOTS),
        }
    }

    fn restart(&mut self, now: Instant) {
        match self {
            Self::Adaptive(limiter) => limiter.restart(now),
            Self::Fixed => {}
            Self::Aimd(limit) => *limit = 1.0,
        }
    }

    fn observe(&mut self, now: Instant, started: Instant, running: u16, signal: Signal) {
        match (self, signal) {
            (Self::Adaptive(limiter), _) => {
                limiter.observe(now, started, SizeClass::Small, running, signal);
            }
            (Self::Fixed, _) => {}
            (Self::Aimd(limit), Signal::Answer(_)) => {
                *limit = (*limit + 1.0 / *limit).min(f64::from(SLOTS));
            }
            (Self::Aimd(limit), _) => *limit = (*limit / 2.0).max(1.0),
        }
    }
}

impl Upstream {
    fn collapse(&mut self, at_ms: u64) {
        self.restart();
        self.down_until_ms = at_ms + DOWN_MS;
    }

    fn restart(&mut self) {
        self.capacity = 1;
        self.finished = 0;
        self.incarnation += 1;
    }

    fn finish(&mut self) {
        self.finished += 1;
        if self.capacity < SLOTS && self.finished.is_multiple_of(self.answers_per_slot) {
            self.capacity += 1;
        }
    }
}

impl Simulation {
    fn new(policy: Policy, answers_per_slot: u32, seed: u64) -> Self {
        Self {
            base: Instant::now(),
            random: StdRng::seed_from_u64(seed),
            upstream: Upstream {
                capacity: 1,
                answers_per_slot,
                finished: 0,
                down_until_ms: 0,
                incarnation: 0,
            },
            policy,
            queue: VecDeque::new(),
            runs: Vec::new(),
            tally: Tally::default(),
        }
    }

    /// Simulates 200 arrivals per second, four fifths of the warm upstream's 250.
    fn run(mut self) -> Tally {
        for at_ms in 0..SIMULATION_MS {
            if at_ms == SIMULATION_MS / 3 && self.runs.len() > 1 {
                self.upstream.collapse(at_ms);
            } else if at_ms == SIMULATION_MS / 3 * 2 {
                self.runs.clear();
                self.upstream.restart();
                self.queue.clear();
                self.policy.restart(self.instant(at_ms));
            }
            self.end(at_ms);
            if self.random.random_bool(0.2) {
                self.tally.arrived += 1;
                self.queue.push_back(at_ms);
            }
            self.start(at_ms);
        }
        self.tally
    }

    fn instant(&self, ms: u64) -> Instant {
        self.base + Duration::from_millis(ms)
    }

    fn end(&mut self, at_ms: u64) {
        let incarnation = self.upstream.incarnation;
        let done = |run: &Run| run.0 <= at_ms || run.2 != incarnation;
        while let Some(index) = self.runs.iter().position(done) {
            let running = self.runs.len() as u16;
            let (_, started_ms, started_in, failed) = self.runs.swap_remove(index);
            let failed = failed || started_in != incarnation;
            let signal = if failed {
                self.tally.failed += 1;
                Signal::Failure
            } else {
                self.tally.answered += 1;
                self.upstream.finish();
                Signal::Answer(Duration::from_millis(at_ms - started_ms))
            };
            let (now, started) = (self.instant(at_ms), self.instant(started_ms));
            self.policy.observe(now, started, running, signal);
        }
    }

    fn start(&mut self, at_ms: u64) {
        while self
            .queue
            .front()
            .is_some_and(|since_ms| since_ms + QUEUE_TIMEOUT_MS <= at_ms)
        {
            self.queue.pop_front();
            self.tally.expired += 1;
        }
        while self.runs.len() < usize::from(self.policy.limit(self.instant(at_ms))) {
            if self.queue.pop_front().is_none() {
                return;
            }
            let service_ms = self.random.random_range(10..=30);
            let down = at_ms < self.upstream.down_until_ms;
            let exceeded = self.runs.len() >= usize::from(self.upstream.capacity);
            if exceeded && !down {
                self.tally.collapses += 1;
                self.upstream.collapse(at_ms);
            }
            let end_ms = if exceeded || down {
                at_ms + 1
            } else {
                at_ms + service_ms
            };
            self.runs
                .push((end_ms, at_ms, self.upstream.incarnation, exceeded || down));
        }
    }
}

/// Sums the simulations of ten seeds.
fn tally(policy: &Policy, answers_per_slot: u32) -> Tally {
    let mut sum = Tally::default();
    for seed in 0..10 {
        let tally = Simulation::new(policy.clone(), answers_per_slot, seed).run();
        sum.arrived += tally.arrived;
        sum.answered += tally.answered;
        sum.failed += tally.failed;
        sum.expired += tally.expired;
        sum.collapses += tally.collapses;
    }
    println!("{answers_per_slot} answers per slot: {sum:?} {policy:?}");
    sum
}

#[test]
fn a_cold_upstream_never_gets_more_than_its_capacity() {
    let adaptive = tally(&Policy::Adaptive(Limiter::new(SLOTS)), 5);
    let fixed = tally(&Policy::Fixed, 5);
    let aimd = tally(&Policy::Aimd(1.0), 5);
    // Ten simulations, each with a cold start, a forced collapse and a return: the limiter causes
    // no collapse of its own.
    assert_eq!(adaptive.collapses, 0);
    assert!(fixed.collapses > 0 && aimd.collapses > 0);
    assert!(adaptive.failed < aimd.failed && adaptive.failed < fixed.failed);
    assert!(adaptive.answered > aimd.answered && adaptive.answered > fixed.answered);
}

#[test]
fn growth_slows_down_for_an_upstream_that_warms_up_slowly() {
    let adaptive = tally(&Policy::Adaptive(Limiter::new(SLOTS)), 30);
    let aimd = tally(&Policy::Aimd(1.0), 30);
    // At most two collapses in each of ten simulations, at growth intervals of 10 and 20 answers,
    // until the interval is long enough.
    assert!(adaptive.collapses <= 20, "{adaptive:?}");
    assert!(adaptive.collapses < aimd.collapses && adaptive.failed < aimd.failed);
    assert!(adaptive.answered > aimd.answered);
}
