//! A deployment, its load and a disturbance.

use std::{ops::RangeInclusive, time::Duration};

use rand::{Rng, rngs::StdRng};
use sassafrasmast_core::flow::Priority;

use crate::fixture::ms;

/// Time after the end of a disturbance in which service must be as before it.
const RECOVERY_TIME: Duration = ms(2_000);

/// Time after the start of the load before requests count.
const WARM_UP: Duration = ms(1_000);

/// What happens between [`Scenario::begin`] and [`Scenario::end`].
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum Disturbance {
    None,
    /// All processes and upstreams are lost; upstreams are cold afterwards.
    PowerLost,
    /// All balancers and agents are lost.
    ProcessesKilled,
    /// The load is multiplied.
    Burst {
        factor: f64,
    },
    /// A share of the upstreams takes longer for each request.
    Slow {
        share: f64,
        factor: f64,
    },
    /// A share of the upstreams is lost with its agents, and cold afterwards.
    Lost {
        share: f64,
    },
}

/// When a request was sent.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Period {
    Before,
    /// From the beginning of the disturbance until the time for recovery is over.
    During,
    After,
    /// So early or late that it does not count.
    Outside,
}

/// Requests of one route.
#[derive(Debug, Clone)]
pub struct Class {
    pub priority: Priority,
    /// Share of the requests.
    pub share: f64,
    /// Requests that a client sends on a flow, and the time between an answer and the next request.
    pub requests: u32,
    pub pause: Duration,
    /// Time limit and latency objective of a request.
    pub time_limit: Duration,
    pub objective: Duration,
}

impl Default for Class {
    fn default() -> Self {
        Self {
            priority: 0,
            share: 1.0,
            requests: 1,
            pause: ms(150),
            time_limit: ms(1_500),
            objective: ms(150),
        }
    }
}

impl Class {
    /// Share of the flows that are opened, relative to other classes.
    fn flow_share(&self) -> f64 {
        self.share / f64::from(self.requests)
    }
}

/// Requests that take longer than others.
#[derive(Debug, Clone, Copy)]
pub struct Tail {
    /// Share of the requests.
    pub share: f64,
    pub factor: f64,
}

/// A deployment, its load and a disturbance.
#[derive(Debug, Clone)]
pub struct Scenario {
    pub balancers: usize,
    pub upstreams: usize,
    pub zones: usize,
    pub slots: usize,
    /// Requests that an upstream queues beside those in its slots; it bounces SYNs beyond.
    pub upstream_queue: usize,
    /// Range of the times that requests take, in microseconds.
    pub work_micros: RangeInclusive<u64>,
    pub cold_for: Duration,
    /// Factor of the time that requests take at a cold upstream.
    pub cold_slowdown: f64,
    /// One-way delay between clients and processes.
    pub client_delay: Duration,
    /// One-way delay between processes of one zone.
    pub near_delay: Duration,
    /// One-way delay between processes of two zones.
    pub far_delay: Duration,
    /// Requests by route; the shares add up to 1.
    pub classes: Vec<Class>,
    /// Factors of the time that requests take, which upstreams have in turn.
    pub speeds: Vec<f64>,
    pub tail: Option<Tail>,
    /// Relative loads of the zones; equal if empty.
    pub zone_loads: Vec<f64>,
    /// Whether agents tell balancers the times that their upstreams take.
    pub places_by_speed: bool,
    /// Agents from this one on are of an earlier build, which sends no speeds.
    pub earlier_builds_from: usize,
    /// Time that frames of agents take longer which bring nothing but a report.
    pub report_delay: Duration,
    /// Whether agents drop messages that were added with admission by class.
    pub agents_of_earlier_build: bool,
    /// The load as a share of what the upstreams bear.
    pub load: f64,
    pub disturbance: Disturbance,
    pub begin: Duration,
    pub end: Duration,
    pub length: Duration,
}

impl Default for Scenario {
    fn default() -> Self {
        Self {
            balancers: 6,
            upstreams: 7,
            zones: 3,
            slots: 5,
            upstream_queue: 20,
            work_micros: 15_000..=52_000,
            cold_for: ms(2_000),
            cold_slowdown: 1.6,
            client_delay: ms(1),
            near_delay: Duration::from_micros(400),
            far_delay: Duration::from_micros(1_700),
            classes: vec![Class::default()],
            speeds: vec![1.0],
            tail: None,
            zone_loads: Vec::new(),
            places_by_speed: false,
            earlier_builds_from: usize::MAX,
            report_delay: ms(0),
            agents_of_earlier_build: false,
            load: 0.5,
            disturbance: Disturbance::None,
            begin: ms(4_100),
            end: ms(6_000),
            length: ms(13_000),
        }
    }
}

/// The number of an entry, by their weights. Draws nothing if there is one entry only.
fn draw(weights: impl ExactSizeIterator<Item = f64> + Clone, rng: &mut StdRng) -> usize {
    let last = weights.len() - 1;
    if last == 0 {
        return 0;
    }
    let total: f64 = weights.clone().sum();
    let mut point = rng.random::<f64>() * total;
    for (index, weight) in weights.enumerate() {
        if point < weight {
            return index;
        }
        point -= weight;
    }
    last
}

impl Scenario {
    /// Zone of the balancer or agent with this index.
    pub fn zone_of(&self, index: usize) -> &'static str {
        ["zone-a", "zone-b", "zone-c", "zone-d"][index % self.zones]
    }

    /// One-way delay of frames between a balancer and an agent.
    pub fn frame_delay(&self, balancer: usize, agent: usize) -> Duration {
        if self.zone_of(balancer) == self.zone_of(agent) {
            self.near_delay
        } else {
            self.far_delay
        }
    }

    /// Mean time that a request takes at an upstream of speed 1, in seconds.
    fn mean_work(&self) -> f64 {
        let tail = self
            .tail
            .map_or(1.0, |tail| 1.0 + tail.share * (tail.factor - 1.0));
        (self.work_micros.start() + self.work_micros.end()) as f64 / 2e6 * tail
    }

    /// Factor of the time that requests take at an upstream.
    fn speed(&self, upstream: usize) -> f64 {
        self.speeds[upstream % self.speeds.len()]
    }

    /// Requests a second that the upstreams bear.
    pub fn capacity(&self) -> f64 {
        let speeds = (0..self.upstreams).map(|upstream| self.speed(upstream).recip());
        speeds.sum::<f64>() * self.slots as f64 / self.mean_work()
    }

    /// Time limit of the requests with the longest one.
    fn time_limit(&self) -> Duration {
        let limits = self.classes.iter().map(|class| class.time_limit);
        limits.max().unwrap_or_default()
    }

    /// The class of a new flow, by its number.
    pub fn draw_class(&self, rng: &mut StdRng) -> usize {
        draw(self.classes.iter().map(Class::flow_share), rng)
    }

    /// The balancer that the router selects for an attempt.
    pub fn draw_balancer(&self, rng: &mut StdRng) -> usize {
        if self.zone_loads.is_empty() {
            return rng.random_range(0..self.balancers);
        }
        let zone = draw(self.zone_loads.iter().copied(), rng);
        let count = (self.balancers - zone).div_ceil(self.zones);
        zone + self.zones * rng.random_range(0..count)
    }

    /// The time that a request takes at an upstream that is neither cold nor disturbed.
    pub fn draw_work(&self, rng: &mut StdRng, upstream: usize) -> Duration {
        let work = Duration::from_micros(rng.random_range(self.work_micros.clone()));
        let tail = match self.tail {
            Some(tail) if rng.random::<f64>() < tail.share => tail.factor,
            _ => 1.0,
        };
        work.mul_f64(self.speed(upstream) * tail)
    }

    /// Flows a second that clients open.
    pub fn rate(&self) -> f64 {
        let flow_shares = self.classes.iter().map(Class::flow_share);
        self.load * self.capacity() * flow_shares.sum::<f64>()
    }

    /// Length of the period after the disturbance in which requests count.
    pub fn counted_after(&self) -> Duration {
        self.length - self.time_limit() - self.end - RECOVERY_TIME
    }

    /// The period in which a request counts that was sent at `at`. Its client's time limit ends
    /// before the disturbance begins or before the scenario does.
    pub fn period(&self, at: Duration) -> Period {
        let is_within = |from: Duration, to: Duration| at >= from && at + self.time_limit() < to;
        if is_within(WARM_UP, self.begin) {
            Period::Before
        } else if is_within(self.end + RECOVERY_TIME, self.length) {
            Period::After
        } else if (self.begin..self.end + RECOVERY_TIME).contains(&at) {
            Period::During
        } else {
            Period::Outside
        }
    }
}
