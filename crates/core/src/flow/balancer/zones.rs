//! Flows that leave the own zone: how far other zones are, and which part must leave.

use std::{
    collections::{HashMap, VecDeque},
    time::{Duration, Instant},
};

use crate::flow::{ServiceName, ZoneName};

/// Interval at which placements are counted and the share sent away is adjusted.
const INTERVAL: Duration = Duration::from_millis(200);

/// Intervals over which placements are counted: one second.
const INTERVALS: usize = 5;

/// The share sent away follows what was observed by this part of the difference in each interval.
const ADJUSTMENT: f64 = 0.25;

/// Differences within this many standard errors of the observed share are taken for noise.
const NOISE_ERRORS: f64 = 3.0;

/// Share below which nothing counts as sent away.
const MIN_SHARE: f64 = 0.01;

/// Time after which a path is observed anew.
const PATH_PERIOD: Duration = Duration::from_secs(10);

/// Round trips to the agents of a zone: the shortest within this period and within the last one.
#[derive(Debug)]
struct Path {
    shortest: Duration,
    earlier: Duration,
    since: Instant,
}

/// Flows of an interval that were accepted in the own zone and in others.
#[derive(Debug, Clone, Copy, Default)]
struct Accepted {
    own: u32,
    away: u32,
}

/// Where flows of a service go.
#[derive(Debug, Default)]
struct Departure {
    current: Accepted,
    past: VecDeque<Accepted>,
    /// SYNs that wait for a place.
    waiting: usize,
    /// Smoothed share of the flows that were accepted in other zones.
    share: f64,
}

impl Departure {
    /// Flows that were accepted in the last second, with its length.
    fn last_second(&self) -> (Accepted, Duration) {
        let mut sum = Accepted::default();
        for accepted in &self.past {
            sum.own += accepted.own;
            sum.away += accepted.away;
        }
        let intervals = u32::try_from(self.past.len()).unwrap_or_default();
        (sum, INTERVAL * intervals)
    }

    /// Begins a new interval and adjusts the share.
    fn advance(&mut self) {
        self.past.push_back(std::mem::take(&mut self.current));
        if self.past.len() > INTERVALS {
            self.past.pop_front();
        }
        let (Accepted { own, away }, _) = self.last_second();
        let count = f64::from(own + away).max(1.0);
        let observed = f64::from(away) / count;
        let difference = observed - self.share;
        let noise = NOISE_ERRORS * (observed * (1.0 - observed) / count).sqrt();
        if difference.abs() > noise {
            self.share += ADJUSTMENT * difference;
        }
        if away == 0 && self.share < MIN_SHARE {
            self.share = 0.0;
        }
    }
}

/// Where flows of a service go, for operators.
#[derive(Debug, Clone, PartialEq)]
pub struct ZoneShare {
    /// The service.
    pub service: ServiceName,
    /// Flows accepted within the last second, anywhere.
    pub accepted: u32,
    /// Those of them in other zones.
    pub away: u32,
    /// SYNs that wait for a place.
    pub waiting: usize,
    /// Share of the flows that is sent to other zones.
    pub share: f64,
}

/// How far other zones are, and which part of the flows must leave the own zone.
///
/// Load answered: callers that move, so that a zone has more load than its upstreams bear while
/// another one has room.
#[derive(Debug)]
pub struct Zones {
    own: ZoneName,
    remote_cost: Duration,
    paths: HashMap<ZoneName, Path>,
    departures: HashMap<ServiceName, Departure>,
    advanced_at: Instant,
}

impl Zones {
    /// The state of a balancer in the zone `own`, for which a flow that leaves it costs
    /// `remote_cost`.
    pub fn new(now: Instant, own: ZoneName, remote_cost: Duration) -> Self {
        Self {
            own,
            remote_cost,
            paths: HashMap::new(),
            departures: HashMap::new(),
            advanced_at: now,
        }
    }

    /// The zone of this balancer.
    pub fn own(&self) -> &ZoneName {
        &self.own
    }

    /// What a flow that leaves the zone costs beside the path.
    pub fn remote_cost(&self) -> Duration {
        self.remote_cost
    }

    /// Changes what a flow that leaves the zone costs.
    pub fn set_remote_cost(&mut self, remote_cost: Duration) {
        self.remote_cost = remote_cost;
    }

    /// Records that an upstream of `zone` accepted a flow, `took` after its SYN was sent there.
    pub fn record_acceptance(
        &mut self,
        now: Instant,
        service: &ServiceName,
        zone: &ZoneName,
        took: Duration,
    ) {
        let current = &mut self.departures.entry(service.clone()).or_default().current;
        if *zone == self.own {
            current.own += 1;
        } else {
            current.away += 1;
        }
        let path = self.paths.entry(zone.clone()).or_insert_with(|| Path {
            shortest: took,
            earlier: took,
            since: now,
        });
        if now.saturating_duration_since(path.since) >= PATH_PERIOD {
            path.earlier = path.shortest;
            path.shortest = took;
            path.since = now;
        }
        path.shortest = path.shortest.min(took);
    }

    /// Records that `waiting` SYNs for a service are queued.
    pub fn record_waiting(&mut self, service: &ServiceName, waiting: usize) {
        match self.departures.get_mut(service) {
            Some(departure) => departure.waiting = waiting,
            None => {
                let departure = Departure {
                    waiting,
                    ..Departure::default()
                };
                self.departures.insert(service.clone(), departure);
            }
        }
    }

    /// The shortest time between sending a SYN to a zone and its acceptance there, `None` if nothing
    /// was accepted there.
    pub fn path(&self, zone: &str) -> Option<Duration> {
        let path = self.paths.get(zone)?;
        Some(path.shortest.min(path.earlier))
    }

    /// What a flow loses by going to `zone` instead of the own one: the longer path, and what
    /// operators say that a flow between zones costs.
    pub fn cost(&self, zone: &ZoneName) -> Duration {
        if *zone == self.own {
            return Duration::ZERO;
        }
        let own = self.path(&self.own).unwrap_or_default();
        let path = self.path(zone).unwrap_or_default();
        path.saturating_sub(own) + self.remote_cost
    }

    /// Time until the own zone has had a place for each SYN of a service that waits before a new one,
    /// by the flows that it accepted in the last second. `None` if it accepted none.
    pub fn own_wait(&self, service: &str) -> Option<Duration> {
        let departure = self.departures.get(service)?;
        let (accepted, length) = departure.last_second();
        let waiting = u32::try_from(departure.waiting).unwrap_or(u32::MAX);
        length.saturating_mul(waiting).checked_div(accepted.own)
    }

    /// Counts anew, and adjusts the shares sent away, every 200 ms.
    pub fn tick(&mut self, now: Instant) {
        let passed = now.saturating_duration_since(self.advanced_at);
        if passed < INTERVAL {
            return;
        }
        self.advanced_at = if passed < INTERVAL * 2 {
            self.advanced_at + INTERVAL
        } else {
            now
        };
        for departure in self.departures.values_mut() {
            departure.advance();
        }
    }

    /// Where flows of each service go, by service.
    pub fn shares(&self) -> Vec<ZoneShare> {
        let mut shares: Vec<_> = self
            .departures
            .iter()
            .map(|(service, departure)| {
                let (accepted, _) = departure.last_second();
                ZoneShare {
                    service: service.clone(),
                    accepted: accepted.own + accepted.away,
                    away: accepted.away,
                    waiting: departure.waiting,
                    share: departure.share,
                }
            })
            .collect();
        shares.sort_by(|a, b| a.service.cmp(&b.service));
        shares
    }
}
