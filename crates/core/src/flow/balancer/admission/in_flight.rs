//! SYNs that agents were sent and have not answered.

use std::{
    collections::HashMap,
    net::SocketAddrV4,
    time::{Duration, Instant},
};

use crate::flow::Key;

/// Time after which a SYN counts as lost: agents keep offered room for as long.
const LOST_AFTER: Duration = Duration::from_millis(20);

/// SYNs that agents were sent and have not answered.
///
/// Load answered: SYNs wait, and agents offer each free place to one balancer. Any report that an agent
/// sends before a SYN reaches it still states the place that the SYN will take; a balancer that
/// took it for another one sent 1.3 SYNs for each answer.
#[derive(Debug, Default)]
pub struct InFlight {
    by_agent: HashMap<SocketAddrV4, Vec<(Key, Instant)>>,
}

impl InFlight {
    /// Records that an agent is sent a SYN.
    pub fn record_sent(&mut self, now: Instant, agent: SocketAddrV4, flow: Key) {
        self.by_agent.entry(agent).or_default().push((flow, now));
    }

    /// Records that an agent has answered a SYN.
    pub fn record_answered(&mut self, agent: SocketAddrV4, flow: &Key) {
        if let Some(flows) = self.by_agent.get_mut(&agent) {
            flows.retain(|(other, _)| other != flow);
            if flows.is_empty() {
                self.by_agent.remove(&agent);
            }
        }
    }

    /// Removes SYNs that count as lost.
    pub fn expire(&mut self, now: Instant) {
        self.by_agent.retain(|_, flows| {
            flows.retain(|&(_, sent_at)| now.saturating_duration_since(sent_at) < LOST_AFTER);
            !flows.is_empty()
        });
    }

    /// Agents with SYNs in flight, and how many.
    pub fn iter(&self) -> impl Iterator<Item = (SocketAddrV4, usize)> {
        self.by_agent
            .iter()
            .map(|(&agent, flows)| (agent, flows.len()))
    }
}
