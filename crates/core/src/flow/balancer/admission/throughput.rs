//! Rates of arrivals and placements of a service.

use std::{
    collections::BTreeMap,
    time::{Duration, Instant},
};

use crate::flow::Priority;

/// Length of a bucket of the history.
const BUCKET: Duration = Duration::from_millis(100);

/// Number of buckets, which hold a second of history: long enough for the rates of a class with a
/// few requests a second, short enough to follow a burst.
const BUCKETS: usize = 10;

/// Shortest time with SYNs in the queue from which a rate is taken: some ten requests of an upstream
/// end within it.
const MIN_BACKLOG: Duration = Duration::from_millis(100);

/// Time with SYNs in the queue after which an overload begins.
const OVERLOAD_BEGINS_AFTER: Duration = Duration::from_millis(200);

/// Time without SYNs in the queue after which an overload ends.
const OVERLOAD_ENDS_AFTER: Duration = Duration::from_secs(1);

/// What happened in [`BUCKET`].
#[derive(Debug, Clone, Default)]
struct Bucket {
    /// First SYNs of flows, by class.
    arrived: BTreeMap<Priority, u32>,
    /// SYNs that were refused by the forecast, by class.
    refused: BTreeMap<Priority, usize>,
    /// Placements while SYNs were queued, less those that agents returned.
    placed: i32,
    /// Time in which SYNs were queued.
    backlogged: Duration,
}

/// Rates of arrivals and placements of a service in the last second. The rate of placements counts
/// only the time in which SYNs were queued: only then it is the rate that upstreams bear.
#[derive(Debug)]
pub struct Throughput {
    buckets: [Bucket; BUCKETS],
    /// Number of the current bucket since `started_at`.
    current: u64,
    started_at: Instant,
    observed_at: Instant,
    is_backlogged: bool,
    /// Since when SYNs have, or have not, been queued.
    unchanged_since: Instant,
    overload_since: Option<Instant>,
}

impl Throughput {
    /// Without history.
    pub fn new(now: Instant) -> Self {
        Self {
            buckets: Default::default(),
            current: 0,
            started_at: now,
            observed_at: now,
            is_backlogged: false,
            unchanged_since: now,
            overload_since: None,
        }
    }

    /// The current bucket. Empties those that were not used in between.
    fn bucket(&mut self, now: Instant) -> &mut Bucket {
        let age = now.saturating_duration_since(self.started_at).as_millis();
        let number = u64::try_from(age / BUCKET.as_millis()).unwrap_or(u64::MAX);
        let skipped = number.saturating_sub(self.current).min(BUCKETS as u64);
        for offset in 0..skipped {
            let index = (number - offset) % BUCKETS as u64;
            self.buckets[index as usize] = Bucket::default();
        }
        self.current = self.current.max(number);
        &mut self.buckets[(self.current % BUCKETS as u64) as usize]
    }

    /// Records whether SYNs are queued from now on.
    pub fn observe(&mut self, now: Instant, is_backlogged: bool) {
        let passed = now.saturating_duration_since(self.observed_at);
        self.observed_at = now;
        let was_backlogged = self.is_backlogged;
        let bucket = self.bucket(now);
        // Ticks are much shorter than a bucket while SYNs are queued. After a longer time the process
        // itself was held up, which says nothing about upstreams.
        if was_backlogged && passed < BUCKET {
            bucket.backlogged += passed;
        }
        if is_backlogged != was_backlogged {
            self.is_backlogged = is_backlogged;
            self.unchanged_since = now;
        }
    }

    /// Whether SYNs are queued, as of the last observation.
    pub fn is_backlogged(&self) -> bool {
        self.is_backlogged
    }

    /// Records the first SYN of a flow.
    pub fn record_arrival(&mut self, now: Instant, class: Priority) {
        *self.bucket(now).arrived.entry(class).or_default() += 1;
    }

    /// Records that a SYN was refused by the forecast.
    pub fn record_refusal(&mut self, now: Instant, class: Priority) {
        *self.bucket(now).refused.entry(class).or_default() += 1;
    }

    /// SYNs that were refused by the forecast within the last second, by class.
    pub fn refused_lately(&mut self, now: Instant) -> BTreeMap<Priority, usize> {
        self.bucket(now);
        let mut refused = BTreeMap::new();
        for (&class, &count) in self.buckets.iter().flat_map(|bucket| &bucket.refused) {
            *refused.entry(class).or_default() += count;
        }
        refused
    }

    /// Records that a SYN was sent to an agent.
    pub fn record_placement(&mut self, now: Instant) {
        if self.is_backlogged {
            self.bucket(now).placed += 1;
        }
    }

    /// Records that an agent returned a SYN.
    pub fn record_return(&mut self, now: Instant) {
        if self.is_backlogged {
            self.bucket(now).placed -= 1;
        }
    }

    /// Placements a second while SYNs were queued; `None` if they were not for long enough within
    /// the last second.
    pub fn placements_per_s(&mut self, now: Instant) -> Option<f64> {
        self.bucket(now);
        let backlogged: Duration = self.buckets.iter().map(|bucket| bucket.backlogged).sum();
        let placed: i32 = self.buckets.iter().map(|bucket| bucket.placed).sum();
        (backlogged >= MIN_BACKLOG && placed > 0)
            .then(|| f64::from(placed) / backlogged.as_secs_f64())
    }

    /// Arrivals a second of the classes for which `is_counted` holds.
    pub fn arrivals_per_s(&mut self, now: Instant, is_counted: impl Fn(Priority) -> bool) -> f64 {
        self.bucket(now);
        let arrived = self.buckets.iter().flat_map(|bucket| &bucket.arrived);
        let counted = arrived.filter(|&(&class, _)| is_counted(class));
        let history = BUCKET * BUCKETS as u32;
        let elapsed = now.saturating_duration_since(self.started_at);
        let arrived: u32 = counted.map(|(_, count)| count).sum();
        f64::from(arrived) / elapsed.clamp(BUCKET, history).as_secs_f64()
    }

    /// Begins or ends the overload, and returns whether it has begun or ended now. Its duration goes
    /// with its end.
    pub fn update_overload(&mut self, now: Instant) -> Option<Overload> {
        let unchanged_for = now.saturating_duration_since(self.unchanged_since);
        match self.overload_since {
            None if self.is_backlogged && unchanged_for >= OVERLOAD_BEGINS_AFTER => {
                self.overload_since = Some(now);
                Some(Overload::Began)
            }
            Some(since) if !self.is_backlogged && unchanged_for >= OVERLOAD_ENDS_AFTER => {
                self.overload_since = None;
                Some(Overload::Ended(now.saturating_duration_since(since)))
            }
            _ => None,
        }
    }

    /// Whether the history is empty and no overload lasts, so that this may be removed.
    pub fn is_idle(&mut self, now: Instant) -> bool {
        self.bucket(now);
        let is_empty = |bucket: &Bucket| bucket.arrived.is_empty() && bucket.backlogged.is_zero();
        !self.is_backlogged && self.overload_since.is_none() && self.buckets.iter().all(is_empty)
    }
}

/// Begin or end of an overload of a service at this balancer.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Overload {
    /// SYNs have been queued without a break for 200 ms.
    Began,
    /// No SYN has been queued for a second. The overload lasted this long.
    Ended(Duration),
}
