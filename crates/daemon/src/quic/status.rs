//! State of the agent that its frame socket needs.

use sassafrasmast_wire::{Incarnation, Load, State};

use super::{
    Identity,
    inbound::{Inbound, Verdict},
};

/// Identity, load and flow limit of the agent.
#[derive(Debug, Clone, Copy, Default)]
pub(super) struct Status {
    /// The agent's identity, once it is admitted.
    pub identity: Option<Identity>,
    /// The load that outgoing frames carry.
    pub load: Load,
    /// Largest number of open flows.
    pub max_flows: u32,
}

impl Status {
    /// Decides how a datagram is handled. `own` is the agent's incarnation.
    pub fn classify(&self, own: Incarnation, inbound: &Inbound<'_>) -> Verdict {
        let first = inbound.incarnation.is_none();
        // Datagrams of open flows are still delivered after the zone was taken out, until the flows
        // are closed, so that requests already sent get their answer or refusal.
        if self.load.state == State::Out && (first || self.identity.is_none()) {
            return Verdict::Drop("zone-out");
        }
        let Some(identity) = self.identity else {
            return match first {
                true => Verdict::Handback,
                false => Verdict::Drop("not-ready"),
            };
        };
        if inbound.service != identity.service || inbound.agent != identity.agent {
            return Verdict::Drop("foreign");
        }
        match (first, inbound.has_long_header()) {
            (true, false) => Verdict::Drop("not-initial"),
            (true, true) if !self.accepts_flows() => Verdict::Handback,
            // Short headers are delivered even from flows of another incarnation, because quinn
            // answers them with a stateless reset.
            (false, true) if inbound.is_for_other_incarnation(own) => Verdict::Drop("stale"),
            _ => Verdict::Deliver,
        }
    }

    fn accepts_flows(&self) -> bool {
        self.load.state.takes_work() && self.load.flows < self.max_flows
    }
}
