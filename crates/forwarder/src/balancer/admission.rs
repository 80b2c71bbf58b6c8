//! Logs and metrics of what became of SYNs, by service and class.

use std::{
    collections::BTreeMap,
    time::{Duration, Instant},
};

use sassafrasmast_core::flow::{
    Balancer, Priority, ServiceName,
    balancer::admission::{Count, Event, Overload},
};
use serde_json::Value;

use crate::log::Log;

/// Interval of log lines while SYNs are queued or refused.
const INTERVAL: Duration = Duration::from_secs(1);

/// What was last logged and counted.
#[derive(Debug)]
pub struct Admission {
    reported_at: Instant,
    counts: BTreeMap<(ServiceName, Priority, Event), u64>,
}

impl Admission {
    /// Nothing was logged yet.
    pub fn new(now: Instant) -> Self {
        Self {
            reported_at: now,
            counts: BTreeMap::new(),
        }
    }

    /// Logs begins and ends of overloads. Once each [`INTERVAL`] updates counters, and logs for each
    /// service and class what became of its SYNs if any were queued or refused.
    pub fn report(&mut self, now: Instant, core: &mut Balancer, log: &mut Log) {
        for (service, overload) in core.take_overload_changes() {
            log_overload(now, &service, overload, log);
        }
        if now.saturating_duration_since(self.reported_at) < INTERVAL {
            return;
        }
        self.reported_at = now;
        let mut lines: BTreeMap<(ServiceName, Priority), Vec<(Event, u64)>> = BTreeMap::new();
        for count in core.admission_statistics().iter() {
            let added = self.update(&count);
            if added > 0 {
                let line = lines.entry((count.service, count.class)).or_default();
                line.push((count.event, added));
            }
        }
        for ((service, class), events) in lines {
            if events.iter().any(|&(event, _)| event != Event::Placed) {
                log.line(now, "admission", || line(&service, class, &events));
            }
        }
    }

    /// Updates the counter of a count, and returns by how much it has grown.
    fn update(&mut self, count: &Count) -> u64 {
        let key = (count.service.clone(), count.class, count.event);
        let known = self.counts.entry(key).or_default();
        let added = count.count.saturating_sub(*known);
        *known = count.count;
        if added > 0 {
            metrics::counter!(
                "sassafrasmast_admission",
                "service" => count.service.to_string(),
                "class" => count.class.to_string(),
                "event" => count.event.as_str(),
            )
            .increment(added);
        }
        added
    }
}

/// The fields of a log line about what became of SYNs of one class.
fn line(
    service: &ServiceName,
    class: Priority,
    events: &[(Event, u64)],
) -> Vec<(&'static str, Value)> {
    let head = [("service", (&**service).into()), ("class", class.into())];
    let events = events.iter();
    let events = events.map(|&(event, count)| (event.as_str(), count.into()));
    head.into_iter().chain(events).collect()
}

/// Logs that an overload of a service has begun or ended.
fn log_overload(now: Instant, service: &ServiceName, overload: Overload, log: &mut Log) {
    let (kind, lasted) = match overload {
        Overload::Began => ("overload_began", None),
        Overload::Ended(lasted) => ("overload_ended", Some(lasted)),
    };
    metrics::gauge!("sassafrasmast_overloaded", "service" => service.to_string())
        .set(f64::from(u8::from(lasted.is_none())));
    log.line(now, kind, || {
        let service = ("service", (&**service).into());
        let lasted = lasted.map(|lasted| u64::try_from(lasted.as_millis()).unwrap_or(u64::MAX));
        [service, ("lasted_ms", lasted.into())]
    });
}
