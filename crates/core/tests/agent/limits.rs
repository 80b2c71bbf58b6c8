//! The limiter against an upstream with a cold start, beside simpler policies.

use std::{
    collections::VecDeque,
    time::{Duration, Instant},
};

use rand::{Rng, SeedableRng, rngs::StdRng};
use sassafrasmast_core::agent::{Limiter, Signal, SizeClass};

/// Slots of the upstream.
const SLOTS: u16 = 5;

/// Time for which a collapsed upstream fails everything.
const COLLAPSE_MS: u64 = 500;

/// Time for which a request waits.
const WAIT_MS: u64 = 2_000;

/// Length of a run. At a third the upstream falls cold without warning; at two thirds it comes
/// back with its availability zone, which the policies are told.
const LENGTH_MS: u64 = 60_000;

/// How the limit is found.
#[derive(Debug, Clone)]
enum Policy {
    /// Ours.
    Learnt(Limiter),
    /// As many as there are slots.
    Fixed,
    /// One more with each round of answers, half after a failure.
    Aimd(f64),
}

/// An upstream that bears little when cold, more with finished work, and collapses beyond.
#[derive(Debug, Clone)]
struct Upstream {
    bears: u16,
    step: u32,
    finished: u32,
    down_until: u64,
    life: u32,
}

/// What came of a run.
#[derive(Debug, Clone, Default)]
struct Tally {
    arrived: u32,
    answered: u32,
    failed: u32,
    expired: u32,
    /// Collapses after the first answers showed the fall.
    collapses: u32,
}

/// A running request: its end, its start, the life of the upstream, whether it is failed.
type Run = (u64, u64, u32, bool);

struct Simulation {
    base: Instant,
    random: StdRng,
    upstream: Upstream,
    policy: Policy,
    queue: VecDeque<u64>,
    runs: Vec<Run>,
    tally: Tally,
}

impl Policy {
    fn limit(&self, now: Instant) -> u16 {
        match self {
            Self::Learnt(limiter) => limiter.limit(now),
            Self::Fixed => SLOTS,
            Self::Aimd(limit) => (*limit as u16).clamp(1, SLOTS),
        }
    }

    fn restart(&mut self, now: Instant) {
        match self {
            Self::Learnt(limiter) => limiter.restart(now),
            Self::Fixed => {}
            Self::Aimd(limit) => *limit = 1.0,
        }
    }

    fn observe(&mut self, now: Instant, started: Instant, running: u16, signal: Signal) {
        match (self, signal) {
            (Self::Learnt(limiter), _) => {
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
    fn fall(&mut self, at: u64) {
        self.restart();
        self.down_until = at + COLLAPSE_MS;
    }

    fn restart(&mut self) {
        self.bears = 1;
        self.finished = 0;
        self.life += 1;
    }

    fn finish(&mut self) {
        self.finished += 1;
        if self.bears < SLOTS && self.finished.is_multiple_of(self.step) {
            self.bears += 1;
        }
    }
}

impl Simulation {
    fn new(policy: Policy, step: u32, seed: u64) -> Self {
        Self {
            base: Instant::now(),
            random: StdRng::seed_from_u64(seed),
            upstream: Upstream {
                bears: 1,
                step,
                finished: 0,
                down_until: 0,
                life: 0,
            },
            policy,
            queue: VecDeque::new(),
            runs: Vec::new(),
            tally: Tally::default(),
        }
    }

    /// Arrivals at four fifths of what the warm upstream carries: 200 of 250 a second.
    fn run(mut self) -> Tally {
        for at in 0..LENGTH_MS {
            if at == LENGTH_MS / 3 && self.runs.len() > 1 {
                self.upstream.fall(at);
            } else if at == LENGTH_MS / 3 * 2 {
                self.runs.clear();
                self.upstream.restart();
                self.queue.clear();
                self.policy.restart(self.at(at));
            }
            self.end(at);
            if self.random.random_bool(0.2) {
                self.tally.arrived += 1;
                self.queue.push_back(at);
            }
            self.start(at);
        }
        self.tally
    }

    fn at(&self, ms: u64) -> Instant {
        self.base + Duration::from_millis(ms)
    }

    fn end(&mut self, at: u64) {
        let life = self.upstream.life;
        let done = |run: &Run| run.0 <= at || run.2 != life;
        while let Some(index) = self.runs.iter().position(done) {
            let running = self.runs.len() as u16;
            let (_, started, begun, failed) = self.runs.swap_remove(index);
            let failed = failed || begun != life;
            let signal = if failed {
                self.tally.failed += 1;
                Signal::Failure
            } else {
                self.tally.answered += 1;
                self.upstream.finish();
                Signal::Answer(Duration::from_millis(at - started))
            };
            let (now, started) = (self.at(at), self.at(started));
            self.policy.observe(now, started, running, signal);
        }
    }

    fn start(&mut self, at: u64) {
        while self
            .queue
            .front()
            .is_some_and(|since| since + WAIT_MS <= at)
        {
            self.queue.pop_front();
            self.tally.expired += 1;
        }
        while self.runs.len() < usize::from(self.policy.limit(self.at(at))) {
            if self.queue.pop_front().is_none() {
                return;
            }
            let time = self.random.random_range(10..=30);
            let down = at < self.upstream.down_until;
            let over = self.runs.len() >= usize::from(self.upstream.bears);
            if over && !down {
                self.tally.collapses += 1;
                self.upstream.fall(at);
            }
            let end = if over || down { at + 1 } else { at + time };
            self.runs.push((end, at, self.upstream.life, over || down));
        }
    }
}

/// Sums the runs of ten seeds.
fn tally(policy: &Policy, step: u32) -> Tally {
    let mut sum = Tally::default();
    for seed in 0..10 {
        let tally = Simulation::new(policy.clone(), step, seed).run();
        sum.arrived += tally.arrived;
        sum.answered += tally.answered;
        sum.failed += tally.failed;
        sum.expired += tally.expired;
        sum.collapses += tally.collapses;
    }
    println!("step {step}: {sum:?} {policy:?}");
    sum
}

#[test]
fn a_cold_upstream_is_never_given_more_than_it_bears() {
    let ours = tally(&Policy::Learnt(Limiter::new(SLOTS)), 5);
    let fixed = tally(&Policy::Fixed, 5);
    let aimd = tally(&Policy::Aimd(1.0), 5);
    // Starts, falls under full load and returns, ten times each: no collapse but the falls.
    assert_eq!(ours.collapses, 0);
    assert!(fixed.collapses > 0 && aimd.collapses > 0);
    assert!(ours.failed < aimd.failed && ours.failed < fixed.failed);
    assert!(ours.answered > aimd.answered && ours.answered > fixed.answered);
}

#[test]
fn an_upstream_that_warms_slowly_teaches_the_pace() {
    let ours = tally(&Policy::Learnt(Limiter::new(SLOTS)), 30);
    let aimd = tally(&Policy::Aimd(1.0), 30);
    // At most two collapses (paces 10 and 20) in each of ten runs until the pace is learnt.
    assert!(ours.collapses <= 20, "{ours:?}");
    assert!(ours.collapses < aimd.collapses && ours.failed < aimd.failed);
    assert!(ours.answered > aimd.answered);
}
