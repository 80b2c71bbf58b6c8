//! Which processes a balancer notifies of a new configuration version.

use std::collections::BTreeSet;

use rand::{Rng, seq::IndexedRandom};
use sassafrasmast_wire::Address;

use super::Document;

/// Largest number of frames sent without a pause. If there are no more agents (affected or other)
/// or other balancers than this, each balancer notifies all of them.
pub const MAX_BURST_FRAMES: usize = 64;

/// Balancers that notify each agent when there are more agents than [`MAX_BURST_FRAMES`].
const BALANCERS_PER_AGENT: usize = 3;

/// Other balancers that one balancer notifies when there are more than [`MAX_BURST_FRAMES`]; those
/// notify others in turn.
const PEER_FANOUT: usize = 16;

/// Processes that one balancer notifies of a new version, most urgent first.
///
/// In a small fleet each balancer notifies every process. In a large fleet the number of frames
/// that one balancer sends hardly grows: agents are divided among the balancers, and each
/// balancer notifies some randomly chosen balancers, which do the same (gossip).
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Dissemination {
    /// Addresses in sending order.
    pub targets: Vec<Address>,
}

impl Dissemination {
    /// Targets of the balancer `own`, one of `balancers`, for the change from `before` to `after`.
    /// Agents affected by the change come first, then balancers, then other agents.
    pub fn new(
        before: Option<&Document>,
        after: &Document,
        balancers: &[Address],
        own: Address,
        rng: &mut impl Rng,
    ) -> Self {
        let index = balancers.iter().position(|&b| b == own).unwrap_or(0);
        let affected = before.map_or_else(BTreeSet::new, |before| affected_agents(before, after));
        let agents = after.upstreams.values().map(|u| u.agent);
        let others: Vec<_> = agents.filter(|agent| !affected.contains(agent)).collect();
        let affected: Vec<_> = affected.into_iter().collect();
        let peers: Vec<_> = balancers.iter().copied().filter(|&b| b != own).collect();
        let mut targets = assigned(&affected, index, balancers.len());
        if peers.len() <= MAX_BURST_FRAMES {
            targets.extend(peers);
        } else {
            targets.extend(peers.choose_multiple(rng, PEER_FANOUT));
        }
        targets.extend(assigned(&others, index, balancers.len()));
        Self { targets }
    }
}

/// Agents whose own upstream or zone differs between the two documents.
fn affected_agents(before: &Document, after: &Document) -> BTreeSet<Address> {
    let upstreams = before.upstreams.iter().chain(&after.upstreams);
    let changed = upstreams.filter(|(agent, upstream)| {
        before.upstreams.get(agent) != after.upstreams.get(agent)
            || before.zones.get(&upstream.zone) != after.zones.get(&upstream.zone)
    });
    changed.map(|(_, upstream)| upstream.agent).collect()
}

/// The part of `list` that balancer number `balancer` of `count` notifies: all of a short list,
/// else a part such that [`BALANCERS_PER_AGENT`] balancers notify each member.
fn assigned(list: &[Address], balancer: usize, count: usize) -> Vec<Address> {
    if list.len() <= MAX_BURST_FRAMES || count <= BALANCERS_PER_AGENT {
        return list.to_vec();
    }
    let is_assigned = |index: &usize| (index + balancer) % count < BALANCERS_PER_AGENT;
    let chosen = list
        .iter()
        .enumerate()
        .filter(|(index, _)| is_assigned(index));
    chosen.map(|(_, &address)| address).collect()
}
