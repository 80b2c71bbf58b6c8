//! What the frame socket knows about its agent.

use sassafrasmast_wire::{Incarnation, Load, State};

use super::{
    Identity,
    inbound::{Inbound, Verdict},
};

/// Identity, load and limit of the agent.
#[derive(Debug, Clone, Copy, Default)]
pub(super) struct Status {
    /// Who the agent is, once it is admitted.
    pub identity: Option<Identity>,
    /// The load told on every frame.
    pub load: Load,
    /// Flows held at most.
    pub max_flows: u32,
}

impl Status {
    /// Decides what becomes of a datagram; `mine` is the agent's incarnation.
    pub fn judge(&self, mine: Incarnation, inbound: &Inbound<'_>) -> Verdict {
        let first = inbound.incarnation.is_none();
        // Open flows of a zone that was taken out are heard until they are closed: what is on its
        // way gets its answer or refusal.
        if self.load.state == State::Out && (first || self.identity.is_none()) {
            return Verdict::Drop("zone-out");
        }
        let Some(identity) = self.identity else {
            return match first {
                true => Verdict::HandBack,
                false => Verdict::Drop("not-ready"),
            };
        };
        if inbound.service != identity.service || inbound.agent != identity.agent {
            return Verdict::Drop("foreign");
        }
        match (first, inbound.is_long()) {
            (true, false) => Verdict::Drop("not-initial"),
            (true, true) if !self.takes_flows() => Verdict::HandBack,
            // Only a datagram of an established flow makes quinn send a stateless reset.
            (false, true) if inbound.is_stale(mine) => Verdict::Drop("stale"),
            _ => Verdict::Deliver,
        }
    }

    fn takes_flows(&self) -> bool {
        self.load.state.takes_work() && self.load.flows < self.max_flows
    }
}
