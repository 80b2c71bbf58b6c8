//! Metrics and log lines of admission by class.

use std::time::Instant;

use sassafrasmast_core::flow::agent::Counts;

use super::Process;
use crate::{platform::Platform, status};

/// A time in which requests were held.
#[derive(Debug, Clone, Copy)]
pub(super) struct Holding {
    since: Instant,
    /// Requests that had been held before.
    held_before: u64,
}

impl<P: Platform> Process<P> {
    /// Publishes what was done with the SYNs and requests of each class, and logs when holding
    /// begins and ends.
    pub(super) fn report_classes(&mut self, now: Instant) {
        let mut held_total = 0;
        for (priority, counts) in self.core.class_counts() {
            held_total += counts.held;
            let Counts {
                offered,
                admitted,
                held,
                passed,
                expired,
                returned,
            } = *counts;
            let events = [
                ("offered", offered),
                ("admitted", admitted),
                ("held", held),
                ("passed", passed),
                ("expired", expired),
                ("returned", returned),
            ];
            for (event, count) in events {
                let labels = [("priority", priority.to_string()), ("event", event.into())];
                metrics::counter!("sassafrasmast_admission", &labels).absolute(count);
            }
        }
        metrics::gauge!("sassafrasmast_requests_held").set(self.core.held_count() as f64);
        match (self.holding, self.core.is_holding(now)) {
            (None, true) => {
                self.holding = Some(Holding {
                    since: now,
                    held_before: self.held_before,
                });
                let report = self.core.report(now);
                self.log.line(now, "holding_began", || {
                    [
                        ("busy", report.busy.into()),
                        ("slots", report.slots.into()),
                        ("flows", report.flows.into()),
                    ]
                });
            }
            (Some(holding), false) => {
                self.holding = None;
                self.log.line(now, "holding_ended", || {
                    [
                        ("took_ms", status::age_ms(now, holding.since).into()),
                        ("held", (held_total - holding.held_before).into()),
                    ]
                });
            }
            _ => {}
        }
        self.held_before = held_total;
    }
}
