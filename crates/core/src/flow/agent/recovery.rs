//! Recovery of flows that this process has not observed from their start, and loss of the flows of
//! an earlier incarnation of the upstream.

use std::{
    net::SocketAddrV4,
    time::{Duration, Instant},
};

use super::{Action, Agent, Flow, Phase};
use crate::flow::{Key, balancer::ResetCause};

/// Shortest time in which the platform restarts a killed process, 500 ms, less the error of clocks
/// and announcements. An upstream that started less than this before its agent has had no earlier
/// agent process.
const MIN_RESTART_TIME: Duration = Duration::from_millis(350);

/// Flows accepted within this time before the first announcement of a new incarnation of the
/// upstream may belong to that incarnation: one announcement interval and its delay.
const MAX_ANNOUNCEMENT_LAG: Duration = Duration::from_millis(1_500);

impl Agent {
    /// Answers a balancer that searches for the owner of a flow. `acknowledgement` is the client's
    /// last acknowledged sequence number.
    pub fn locate(
        &self,
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
            None if self.knows_all_flows() => Action::Absent { to, flow },
            None => Action::Unconfirmed { to, flow },
        });
    }

    /// Whether all open flows of the upstream are in the table.
    pub(super) fn knows_all_flows(&self) -> bool {
        self.upstream.is_gone() || self.is_observed_from_start()
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

    /// Handles a reset that the upstream sent for an unconfirmed flow: the flow is not here and may
    /// be open elsewhere, so the reset must not reach the client. Returns whether the flow was
    /// unconfirmed.
    pub(super) fn handle_unconfirmed_reset(
        &mut self,
        flow: Key,
        actions: &mut Vec<Action>,
    ) -> bool {
        let is_unconfirmed = |known: &Flow| known.phase() == Phase::Unconfirmed;
        if !self.flows.get(&flow).is_some_and(is_unconfirmed) {
            return false;
        }
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

    /// Resets the flows of an earlier incarnation of the upstream, which are lost. The present one
    /// announced itself first at `since`.
    pub(super) fn reset_flows(&mut self, now: Instant, since: Instant, actions: &mut Vec<Action>) {
        let kept = now.saturating_duration_since(since) + MAX_ANNOUNCEMENT_LAG;
        self.flows.retain(|&key, flow| {
            if flow.is_younger_than(now, kept) {
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
