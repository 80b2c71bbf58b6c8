//! Counts of what became of SYNs.

use std::collections::BTreeMap;

use crate::flow::{Priority, ServiceName};

/// What became of a SYN.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Event {
    /// It was queued.
    Queued,
    /// It was sent to an agent.
    Placed,
    /// Its client was refused: by the forecast, no upstream has room for it in time.
    Unservable,
    /// Its client was refused, since a new attempt would be answered sooner.
    Overdue,
    /// Its client was refused since the queue is full.
    QueueFull,
    /// It was evicted from the full queue for a SYN of a more critical class.
    Evicted,
    /// It was dropped, since its client gives up before an answer can arrive.
    Expired,
    /// Its client was recognised as returning from an earlier attempt.
    Recognized,
}

impl Event {
    /// The name in logs and metrics.
    ///
    /// ```
    /// use sassafrasmast_core::flow::balancer::admission::Event;
    /// assert_eq!(Event::QueueFull.as_str(), "queue_full");
    /// ```
    pub fn as_str(self) -> &'static str {
        match self {
            Self::Queued => "queued",
            Self::Placed => "placed",
            Self::Unservable => "unservable",
            Self::Overdue => "overdue",
            Self::QueueFull => "queue_full",
            Self::Evicted => "evicted",
            Self::Expired => "expired",
            Self::Recognized => "recognized",
        }
    }
}

/// A count of SYNs.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Count {
    /// The service.
    pub service: ServiceName,
    /// The class.
    pub class: Priority,
    /// What became of the SYNs.
    pub event: Event,
    /// How many SYNs.
    pub count: u64,
}

/// Counts of SYNs by service, class and event since the start of the process.
#[derive(Debug, Default)]
pub struct Statistics {
    counts: BTreeMap<ServiceName, BTreeMap<(Priority, Event), u64>>,
}

impl Statistics {
    /// Counts a SYN.
    pub fn record(&mut self, service: &ServiceName, class: Priority, event: Event) {
        let counts = match self.counts.get_mut(service) {
            Some(counts) => counts,
            None => self.counts.entry(service.clone()).or_default(),
        };
        *counts.entry((class, event)).or_default() += 1;
    }

    /// All counts.
    pub fn iter(&self) -> impl Iterator<Item = Count> {
        self.counts.iter().flat_map(|(service, counts)| {
            counts.iter().map(|(&(class, event), &count)| Count {
                service: service.clone(),
                class,
                event,
                count,
            })
        })
    }
}
