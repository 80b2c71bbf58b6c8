//! What clients got.

use std::{collections::BTreeMap, fmt, time::Duration};

use super::scenario::Period;

/// What clients got that sent their requests in one period.
#[derive(Debug, Clone, Default)]
pub struct Service {
    pub arrived: usize,
    pub answered: usize,
    /// Answered within the latency objective.
    pub in_time: usize,
    pub resets: usize,
    /// SYNs that balancers sent to agents.
    pub forwarded_syns: usize,
}

impl Service {
    fn share(part: usize, whole: usize) -> f64 {
        part as f64 / whole.max(1) as f64
    }

    /// Share of the requests that were answered.
    pub fn answered(&self) -> f64 {
        Self::share(self.answered, self.arrived)
    }

    /// Share of the requests that were answered within the latency objective.
    pub fn in_time(&self) -> f64 {
        Self::share(self.in_time, self.arrived)
    }

    /// SYNs that balancers sent to agents for each answer.
    pub fn syns_per_answer(&self) -> f64 {
        Self::share(self.forwarded_syns, self.answered)
    }
}

impl fmt::Display for Service {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(
            formatter,
            "answered {:.3} in time {:.3} resets {:.3} SYNs per answer {:.2}",
            self.answered(),
            self.in_time(),
            Self::share(self.resets, self.arrived),
            self.syns_per_answer(),
        )
    }
}

/// Times that requests waited.
#[derive(Debug, Clone, Copy, Default)]
pub struct Waits {
    pub count: u32,
    pub total: Duration,
}

impl Waits {
    fn add(&mut self, wait: Duration) {
        self.count += 1;
        self.total += wait;
    }

    pub fn mean(&self) -> Duration {
        self.total / self.count.max(1)
    }
}

/// What clients got before, during and after the disturbance.
#[derive(Debug, Clone, Default)]
pub struct Outcome {
    pub before: Service,
    pub during: Service,
    pub after: Service,
    outside: Service,
    /// What clients of each class got during the disturbance and from the time for recovery on.
    during_by_class: BTreeMap<usize, Service>,
    after_by_class: BTreeMap<usize, Service>,
    /// Waits in the queue of each upstream, from the time for recovery on.
    pub queue_waits: BTreeMap<usize, Waits>,
    /// Waits from a client's first SYN until its request begins, by the zone of the balancer and
    /// that of the upstream, from the time for recovery on.
    pub zone_waits: BTreeMap<(&'static str, &'static str), Waits>,
    /// Share that the first balancer sent to other zones, by time.
    pub shares: Vec<(Duration, f64)>,
    /// SYNs that upstreams bounced.
    pub shed: usize,
    /// SYNs that reached an upstream after their client's attempt was over.
    pub opened_too_late: usize,
    /// Requests that reached an upstream before an earlier one of their flow, or after its end.
    pub out_of_order: usize,
    /// Times from the start of an attempt until a balancer refused it by its forecast, of requests
    /// from the time for recovery on.
    refused_after: Vec<Duration>,
    /// Refused attempts that an upstream had accepted, of all requests.
    pub untrue_refusals: usize,
}

impl Outcome {
    fn record(&mut self, period: Period, class: usize, apply: impl Fn(&mut Service)) {
        apply(match period {
            Period::Before => &mut self.before,
            Period::During => &mut self.during,
            Period::After => &mut self.after,
            Period::Outside => &mut self.outside,
        });
        match period {
            Period::During => apply(self.during_by_class.entry(class).or_default()),
            Period::After => apply(self.after_by_class.entry(class).or_default()),
            Period::Before | Period::Outside => {}
        }
    }

    /// What clients of a class got that sent their requests during the disturbance.
    pub fn during_of(&self, class: usize) -> Service {
        self.during_by_class
            .get(&class)
            .cloned()
            .unwrap_or_default()
    }

    /// What clients of a class got from the time for recovery on.
    pub fn after_of(&self, class: usize) -> Service {
        self.after_by_class.get(&class).cloned().unwrap_or_default()
    }

    /// Records that an upstream begins a request, which waited for `queued` in its queue and for
    /// `waited` in all.
    pub fn record_begin(
        &mut self,
        period: Period,
        upstream: usize,
        zones: (&'static str, &'static str),
        queued: Duration,
        waited: Duration,
    ) {
        if period == Period::After {
            self.queue_waits.entry(upstream).or_default().add(queued);
            self.zone_waits.entry(zones).or_default().add(waited);
        }
    }

    /// Mean wait in the queues of all upstreams.
    pub fn mean_queue_wait(&self) -> Duration {
        let mut all = Waits::default();
        for waits in self.queue_waits.values() {
            all.count += waits.count;
            all.total += waits.total;
        }
        all.mean()
    }

    /// Mean wait of the requests that arrive at the balancers of a zone.
    pub fn wait_in(&self, zone: &str) -> Duration {
        let mut all = Waits::default();
        for (_, waits) in self
            .zone_waits
            .iter()
            .filter(|((from, _), _)| *from == zone)
        {
            all.count += waits.count;
            all.total += waits.total;
        }
        all.mean()
    }

    /// How often the share sent to other zones changed its direction, by `least` or more.
    pub fn share_turns(&self, least: f64) -> usize {
        let mut turns = 0;
        let (mut is_rising, mut extreme) = (true, 0.0);
        for &(_, share) in &self.shares {
            if (share >= extreme) == is_rising {
                extreme = share;
            } else if f64::abs(share - extreme) >= least {
                turns += 1;
                is_rising = !is_rising;
                extreme = share;
            }
        }
        turns
    }

    /// Requests that balancers of a zone placed in another one.
    pub fn sent_away(&self, zone: &str) -> u32 {
        let away = self
            .zone_waits
            .iter()
            .filter(|((from, to), _)| *from == zone && to != from);
        away.map(|(_, waits)| waits.count).sum()
    }

    /// Requests that balancers of a zone placed.
    pub fn placed(&self, zone: &str) -> u32 {
        let placed = self
            .zone_waits
            .iter()
            .filter(|((from, _), _)| *from == zone);
        placed.map(|(_, waits)| waits.count).sum()
    }

    pub fn record_arrival(&mut self, period: Period, class: usize) {
        self.record(period, class, |service| service.arrived += 1);
    }

    pub fn record_answer(&mut self, period: Period, class: usize, is_in_time: bool) {
        self.record(period, class, |service| {
            service.answered += 1;
            service.in_time += usize::from(is_in_time);
        });
    }

    pub fn record_reset(&mut self, period: Period, class: usize) {
        self.record(period, class, |service| service.resets += 1);
    }

    /// Records that an attempt was refused at this time after its start, whether by the forecast, and
    /// whether an upstream had accepted it.
    pub fn record_refusal(
        &mut self,
        period: Period,
        after: Duration,
        by_forecast: bool,
        is_untrue: bool,
    ) {
        if period == Period::After && by_forecast {
            self.refused_after.push(after);
        }
        self.untrue_refusals += usize::from(is_untrue);
    }

    /// Share of the refusals by the forecast, from the time for recovery on, that came within `limit`.
    pub fn refused_within(&self, limit: Duration) -> f64 {
        let within = self.refused_after.iter().filter(|&&after| after <= limit);
        Service::share(within.count(), self.refused_after.len())
    }

    pub fn record_forwarded_syn(&mut self, period: Period, class: usize) {
        self.record(period, class, |service| service.forwarded_syns += 1);
    }
}

impl fmt::Display for Outcome {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(
            formatter,
            "before: {}; during: {}; after: {}; shed {}, opened too late {}",
            self.before, self.during, self.after, self.shed, self.opened_too_late
        )
    }
}
