//! How long an upstream takes for requests, and how many it should have at a time.

use std::{
    net::SocketAddrV4,
    time::{Duration, Instant},
};

use super::{Action, ServiceTime, SpeedReports};
use crate::flow::average::Average;

/// Requests in progress per slot while the duration of requests is not known: one that runs and one
/// that waits.
const INITIAL_REQUESTS_PER_SLOT: f64 = 2.0;

/// Shortest time for which an upstream is given work ahead: a balancer needs about this to hear of
/// room and to send the next SYN, so less would leave slots idle.
const MIN_WORK_AHEAD: Duration = Duration::from_millis(10);

/// How long an upstream takes for requests, averaged over the latest ones.
///
/// Load answered: more requests than the upstream has slots for. What it cannot start at once waits
/// at the balancers, which know what is urgent, and not in the upstream's own queue. By Little's
/// law the slots are busy with as many flows as there are slots and flows whose clients still
/// complete the opening; on top of these comes the work for a short time ahead.
#[derive(Debug, Default)]
pub struct Work {
    /// Time that the upstream takes for a request in a slot.
    service_time: Average,
    /// Time from a SYN until the flow's first request arrives.
    opening_time: Average,
    /// Time from an offer of room until the SYN arrives that uses it.
    offer_time: Average,
    /// What balancers are told of the time in a slot.
    reported_time: ServiceTime,
    speed_reports: SpeedReports,
    /// Whether the upstream was cold when speeds were last reported.
    was_cold: bool,
}

impl Work {
    /// Forgets what was observed, since the upstream has started anew.
    pub fn reset(&mut self) {
        *self = Self {
            speed_reports: std::mem::take(&mut self.speed_reports),
            ..Self::default()
        };
    }

    /// The time in a slot that balancers are told, `None` until some requests were observed.
    pub fn reported_time(&self) -> Option<Duration> {
        self.reported_time.get()
    }

    /// Records a client's packet that a balancer sent, which opens a flow or not.
    pub fn record_sender(&mut self, now: Instant, balancer: SocketAddrV4, opens: bool) {
        self.speed_reports.record_packet(now, balancer, opens);
    }

    /// Tells balancers that place flows here the time that the upstream takes for a request. What a
    /// cold upstream took is forgotten once it is no longer cold.
    pub fn report_speed(&mut self, now: Instant, is_cold: bool, actions: &mut Vec<Action>) {
        if self.was_cold && !is_cold {
            self.reported_time = ServiceTime::default();
        }
        self.was_cold = is_cold;
        let Some(time) = self.reported_time.get() else {
            return;
        };
        let service_time_micros = u32::try_from(time.as_micros()).unwrap_or(u32::MAX);
        let due = self.speed_reports.take_due(now, time);
        actions.extend(due.into_iter().map(|to| Action::Speed {
            to,
            service_time_micros,
        }));
    }

    /// Records that a request was answered after `took`. When it arrived, `in_progress` requests
    /// including itself were in progress at an upstream with `slots`.
    pub fn record_answer(&mut self, took: Duration, in_progress: usize, slots: u16) {
        let slots = usize::from(slots).max(1);
        let in_slot = if in_progress > slots {
            // It has waited for its share of those before it.
            took.mul_f64(slots as f64 / in_progress as f64)
        } else {
            took
        };
        self.service_time.add(in_slot);
        self.reported_time.record(in_slot);
    }

    /// Records that the first request of a flow arrived `took` after the flow's SYN.
    pub fn record_opening(&mut self, took: Duration) {
        self.opening_time.add(took);
    }

    /// Records that a SYN arrived `took` after it was offered room.
    pub fn record_offer(&mut self, took: Duration) {
        self.offer_time.add(took);
    }

    /// Number of SYNs that the upstream should get now, while `busy` flows have a request in progress
    /// or are about to bring their first one. `objective` is the latency objective of the upstream's
    /// requests.
    ///
    /// ```
    /// use std::time::Duration;
    /// use sassafrasmast_core::flow::agent::Work;
    /// let mut work = Work::default();
    /// assert_eq!(work.room(5, None, 7), 3);
    /// work.record_answer(Duration::from_millis(7), 1, 1);
    /// work.record_opening(Duration::from_millis(7));
    /// let objective = Some(Duration::from_millis(70));
    /// // One runs, one opens, and 10 ms of work wait.
    /// assert_eq!(work.room(1, objective, 0), 4);
    /// ```
    pub fn room(&self, slots: u16, objective: Option<Duration>, busy: usize) -> usize {
        let slots = f64::from(slots);
        // Far below the range of the type.
        let count = |flows: f64| flows.ceil() as usize;
        let Some(service_time) = self.service_time.get().filter(|time| !time.is_zero()) else {
            return count(slots * INITIAL_REQUESTS_PER_SLOT).saturating_sub(busy);
        };
        // A request that takes twice the average still meets its objective after the wait.
        let spare = objective.map_or(service_time, |objective| {
            objective.saturating_sub(service_time * 2) / 2
        });
        let ahead = spare.min(service_time / 2).max(MIN_WORK_AHEAD);
        let to_come = self.offer_time.get().unwrap_or_default()
            + self
                .opening_time
                .get()
                .unwrap_or_default()
                .min(service_time);
        let flows_in = |time: Duration| slots * time.as_secs_f64() / service_time.as_secs_f64();
        count(slots + flows_in(ahead) + flows_in(to_come)).saturating_sub(busy)
    }
}
