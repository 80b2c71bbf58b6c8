//! Faults and planned changes, drawn from a seed.

use std::time::Duration;

use rand::{Rng, SeedableRng, rngs::StdRng, seq::IndexedRandom};
use sassafrasmast_platform_standins::kv::Mode;

use super::{
    Settings,
    fleet::{AGENTS, BALANCERS},
};

/// Time without faults at the start, in which the processes find each other, and at the end, in which
/// requests that are under way end.
const CALM: Duration = Duration::from_secs(2);

/// Time between an upstream's announcement that it drains and its end: a second longer than the bound
/// for new flows, so that a late one would be seen.
const DRAIN: Duration = Duration::from_secs(6);

/// A process.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Target {
    /// Balancer with this index.
    Balancer(usize),
    /// Agent with this index.
    Agent(usize),
}

/// One change to the fleet or the store.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Step {
    /// Kills a process.
    Kill(Target),
    /// Sends SIGTERM to a process, which goes on until it is killed.
    Terminate(Target),
    /// Starts a process, killing it first if it runs.
    Start(Target),
    /// Suspends a process.
    Pause(Target),
    /// Resumes a process.
    Resume(Target),
    /// The upstream beside this agent announces that it drains.
    Drain(usize),
    /// The upstream beside this agent ends, and another one starts.
    Replace(usize),
    /// The upstream beside this agent ends without a word, and another one starts whose clock was set by
    /// this many seconds.
    Crash(usize, i64),
    /// The last announcement of the upstream that crashed beside this agent arrives.
    LateAnnouncement(usize),
    /// The store handles calls in this way.
    Store(Mode),
    /// The store is copied.
    CopyStore,
    /// The store comes back from the copy.
    RestoreStore,
    /// The store drops its history.
    CompactStore,
    /// The store ends all leases.
    RevokeLeases,
}

impl Step {
    /// Whether the store loses something that it held.
    fn is_of_history(self) -> bool {
        matches!(
            self,
            Self::CopyStore | Self::RestoreStore | Self::CompactStore | Self::RevokeLeases
        )
    }
}

/// Largest step of a clock, in seconds.
const MAX_CLOCK_STEP_S: i64 = 10;

/// Marks the random numbers of crashes, so that other faults are the same with and without them.
const CRASH_SEED: u64 = 1 << 63;

/// Steps by the time since the start.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Plan {
    /// The steps in order.
    pub steps: Vec<(Duration, Step)>,
}

/// What a fault befalls.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Object {
    Process(Target),
    Upstream(usize),
    Store,
}

impl Plan {
    /// Draws the faults of a run. Faults overlap, except those of one object; each ends before the
    /// run does.
    pub fn draw(settings: &Settings) -> Self {
        let mut random = StdRng::seed_from_u64(settings.seed);
        let mut steps = Vec::new();
        let mut busy: Vec<(Object, Duration)> = Vec::new();
        let end = settings.duration.saturating_sub(CALM);
        let mut at = CALM;
        while at < end {
            let object = draw_object(&mut random);
            let fault = draw_fault(&mut random, object);
            let length = fault.last().map_or(Duration::ZERO, |(offset, _)| *offset);
            let is_busy = busy
                .iter()
                .any(|&(other, until)| other == object && at < until);
            let is_asked = settings.history || !fault.iter().any(|(_, step)| step.is_of_history());
            if is_asked && !is_busy && at + length < end {
                busy.push((object, at + length));
                steps.extend(fault.into_iter().map(|(offset, step)| (at + offset, step)));
            }
            at += Duration::from_millis(random.random_range(100..800));
        }
        if settings.crashes {
            let mut random = StdRng::seed_from_u64(settings.seed ^ CRASH_SEED);
            steps.extend(draw_crashes(&mut random, end));
        }
        steps.sort_by_key(|(at, _)| *at);
        Self { steps }
    }
}

/// Crashes of upstreams, which overlap with all other faults, and a late announcement of each.
fn draw_crashes(random: &mut StdRng, end: Duration) -> Vec<(Duration, Step)> {
    let mut steps = Vec::new();
    let mut at = CALM;
    while at < end {
        let index = random.random_range(0..AGENTS);
        let clock_step = random.random_range(-MAX_CLOCK_STEP_S..=MAX_CLOCK_STEP_S);
        let late = Duration::from_millis(random.random_range(0..6_000));
        steps.push((at, Step::Crash(index, clock_step)));
        steps.push((at + late, Step::LateAnnouncement(index)));
        at += Duration::from_millis(random.random_range(500..2_500));
    }
    steps
}

fn draw_object(random: &mut StdRng) -> Object {
    match random.random_range(0..10) {
        0..=2 => Object::Process(Target::Balancer(random.random_range(0..BALANCERS))),
        3..=5 => Object::Process(Target::Agent(random.random_range(0..AGENTS))),
        6..=7 => Object::Upstream(random.random_range(0..AGENTS)),
        _ => Object::Store,
    }
}

/// The steps of a fault, by the time since its start.
fn draw_fault(random: &mut StdRng, object: Object) -> Vec<(Duration, Step)> {
    let mut between = |low, high| Duration::from_millis(random.random_range(low..high));
    let start = Duration::ZERO;
    match object {
        Object::Process(target) => {
            let away = between(100, 1_500);
            match between(0, 3).as_millis() {
                0 => vec![(start, Step::Kill(target)), (away, Step::Start(target))],
                1 => vec![(start, Step::Pause(target)), (away, Step::Resume(target))],
                _ => vec![
                    (start, Step::Terminate(target)),
                    (away, Step::Start(target)),
                ],
            }
        }
        Object::Upstream(index) => vec![(start, Step::Drain(index)), (DRAIN, Step::Replace(index))],
        Object::Store => {
            let away = between(200, 3_000);
            let modes = [
                Mode::Unavailable,
                Mode::RateLimited,
                Mode::Unresponsive,
                Mode::LosesReplies,
            ];
            match between(0, 7).as_millis() {
                0 => vec![(start, Step::CompactStore)],
                1 => vec![(start, Step::RevokeLeases)],
                2 => vec![(start, Step::CopyStore), (away, Step::RestoreStore)],
                _ => {
                    let mode = modes.choose(random).copied().unwrap_or_default();
                    vec![(start, Step::Store(mode)), (away, Step::Store(Mode::Up))]
                }
            }
        }
    }
}
