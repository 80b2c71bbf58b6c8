//! Recovery of flows that this process has not observed from their start, and loss of the flows of
//! an earlier incarnation of the upstream.

use std::{
    collections::HashSet,
    net::SocketAddrV4,
    time::{Duration, Instant},
};

use super::{Action, Agent, Flow, Phase};
use crate::flow::{Key, balancer::ResetCause};

/// Shortest time in which the platform restarts a killed process, 500 ms, less the error of clocks
/// and announcements. An upstream that started less than this before its agent has had no earlier
/// agent process.
const MIN_RESTART_TIME: Duration = Duration::from_millis(350);

impl Agent {
    /// Answers a balancer that searches for the owner of a flow. `acknowledgement` is the client's
    /// last acknowledged sequence number.
    pub fn locate(
        &self,
        now: Instant,
        from: SocketAddrV4,
        flow: Key,
        acknowledgement: u32,
        actions: &mut Vec<Action>,
    ) {
        let to = from;
        actions.push(match self.flows.get(&flow) {
            Some(known) if known.is_held_elsewhere(acknowledgement) => Action::Absent { to, flow },
            Some(known) if known.phase() == Phase::Unconfirmed => Action::Unconfirmed { to, flow },
            Some(_) => Action::Found { to, flow },
            None if self.is_absent(now, &flow) => Action::Absent { to, flow },
            None => Action::Unconfirmed { to, flow },
        });
    }

    /// Whether a flow that is not in the table is known not to be open at the upstream. One whose packet
    /// the upstream bounced can only be opened there by a SYN.
    pub(super) fn is_absent(&self, now: Instant, flow: &Key) -> bool {
        self.knows_all_flows(now) || self.absent.contains(flow)
    }

    /// Whether all open flows of the upstream are in the table.
    fn knows_all_flows(&self, now: Instant) -> bool {
        self.upstream.is_gone() || self.is_observed_from_start() || self.has_observed_each_flow(now)
    }

    /// Whether this process has observed all packets to its upstream since the upstream's start.
    pub(super) fn is_observed_from_start(&self) -> bool {
        self.upstream.is_announced_from_start()
            || self
                .upstream_age_at_start()
                .is_some_and(|age| age <= MIN_RESTART_TIME)
    }

    /// The upstream's age when this process started. This is the larger one of two estimates: the
    /// difference of their start times, which is wrong if the clock was set in between, and the
    /// elapsed part of the cold period, which is wrong if that has begun anew, as when the zone was
    /// taken out of service. `None` if one of them is not available.
    fn upstream_age_at_start(&self) -> Option<Duration> {
        let (announced_at, cold_left) = self.first_announcement?;
        let services = &self.intent.as_ref()?.policy.services;
        let cold_for = services.get(&self.settings.service)?.cold_for;
        if cold_for.is_zero() || cold_left.is_zero() {
            return None;
        }
        let own_age = announced_at.saturating_duration_since(self.started_at);
        let age_by_cold_period = cold_for.saturating_sub(cold_left).saturating_sub(own_age);
        let age_by_clock = self
            .settings
            .incarnation
            .saturating_sub(self.upstream.incarnation());
        Some(age_by_cold_period.max(Duration::from_millis(age_by_clock)))
    }

    /// Whether this process has run for so long that a packet of each open flow has passed: a client sends
    /// one within the idle timeout, and gives up when its time limit is over.
    fn has_observed_each_flow(&self, now: Instant) -> bool {
        self.observation_time
            .is_some_and(|time| now.saturating_duration_since(self.started_at) >= time)
    }

    /// Records that a flow is not open at the upstream, which has returned or reset a packet of it.
    pub(super) fn record_absent(&mut self, now: Instant, flow: Key) {
        if !self.knows_all_flows(now) && self.absent.len() < self.settings.max_flows {
            self.absent.insert(flow);
        }
    }

    /// Forgets which flows are absent once all that are open are known.
    pub(super) fn sweep_absent(&mut self, now: Instant) {
        if !self.absent.is_empty() && self.knows_all_flows(now) {
            self.absent = HashSet::new();
        }
    }

    /// Handles a reset that the upstream sent for an unconfirmed flow: the flow is not here and may
    /// be open elsewhere, so the reset must not reach the client. Returns whether the flow was
    /// unconfirmed.
    pub(super) fn handle_unconfirmed_reset(
        &mut self,
        now: Instant,
        flow: Key,
        actions: &mut Vec<Action>,
    ) -> bool {
        let is_unconfirmed = |known: &Flow| known.phase() == Phase::Unconfirmed;
        if !self.flows.get(&flow).is_some_and(is_unconfirmed) {
            return false;
        }
        self.record_absent(now, flow);
        if let Some(mut known) = self.flows.remove(&flow) {
            let to = known.last_sender();
            match (known.take_requester(), known.take_buffered()) {
                (Some(to), _) => actions.push(Action::Absent { to, flow }),
                (None, Some(packet)) => actions.push(Action::MissingBuffered { to, flow, packet }),
                (None, None) => {}
            }
        }
        true
    }

    /// Handles a restart of the upstream. What is not proven to be lost stays in the table: the upstream
    /// bounces the next packet of a flow that it does not hold.
    pub(super) fn handle_restart(&mut self, actions: &mut Vec<Action>) {
        self.work.reset();
        if let Some(lost_before) = self.upstream.lost_before() {
            self.reset_flows(lost_before, actions);
        }
    }

    /// Resets the flows that were opened before the given time, which are lost.
    pub(super) fn reset_flows(&mut self, opened_before: Instant, actions: &mut Vec<Action>) {
        self.flows.retain(|&key, flow| {
            if !flow.is_older_than(opened_before) {
                return true;
            }
            if flow.phase() == Phase::Open && !flow.is_closing() {
                actions.push(Action::Reset {
                    flow: key,
                    sequence: flow.acknowledgement(),
                    cause: ResetCause::Restarted,
                });
            }
            false
        });
        let flows = &self.flows;
        self.pending_syns.retain(|key| flows.contains_key(key));
        self.held.retain(|key| flows.contains_key(key));
    }
}
