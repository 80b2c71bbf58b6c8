//! Reports to balancers on the agent and its upstream.

use std::{net::SocketAddrV4, time::Instant};

use sassafrasmast_wire::Incarnation;

use super::Agent;
use crate::flow::{Report, State};

/// Largest headroom that is reported. The next number says that no limit is known, as agents of
/// earlier builds do.
const MAX_HEADROOM: u16 = u16::MAX - 1;

impl Agent {
    /// The agent's current report to balancers, apart from room that is kept for some of them.
    pub fn report(&mut self, now: Instant) -> Report {
        let headroom = self.room(now).saturating_sub(self.offers.offered());
        let busy = self.busy(now);
        Report {
            agent: self.settings.incarnation,
            upstream: self.upstream.incarnation(),
            state: self.upstream.state(now),
            slots: self.upstream.slots(),
            busy: u16::try_from(busy).unwrap_or(u16::MAX),
            flows: u32::try_from(self.flows.len()).unwrap_or(u32::MAX),
            stopping: self.is_restarting(now),
            headroom: u16::try_from(headroom)
                .unwrap_or(u16::MAX)
                .min(MAX_HEADROOM),
        }
    }

    /// The agent's current report to one balancer.
    pub fn report_to(&mut self, now: Instant, balancer: SocketAddrV4) -> Report {
        let report = self.report(now);
        let offered = self.offers.offered_to(balancer);
        let offered = u16::try_from(offered).unwrap_or(u16::MAX);
        Report {
            headroom: report.headroom.saturating_add(offered).min(MAX_HEADROOM),
            ..report
        }
    }

    /// Whether the state has changed since the last [`Self::mark_reported`].
    pub fn has_unreported_change(&self, now: Instant) -> bool {
        self.last_reported != Some(self.reportable_state(now))
    }

    /// Records that the current state was reported to all balancers.
    pub fn mark_reported(&mut self, now: Instant) {
        self.last_reported = Some(self.reportable_state(now));
    }

    fn reportable_state(&self, now: Instant) -> (State, Incarnation, bool) {
        let upstream = &self.upstream;
        (
            upstream.state(now),
            upstream.incarnation(),
            self.is_restarting(now),
        )
    }

    /// Marks the agent as stopping.
    pub fn stop(&mut self) {
        self.stopping = true;
    }

    /// Whether the agent is stopping while its upstream runs on, so that it is expected back.
    /// Otherwise the VM is being removed, and balancers need not wait for it.
    fn is_restarting(&self, now: Instant) -> bool {
        let upstream = &self.upstream;
        self.stopping
            && !upstream.is_gone()
            && !upstream.has_stopped_announcing(now, self.started_at)
    }
}
