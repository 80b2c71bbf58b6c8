//! Whom a balancer tells of a new version.

use std::collections::BTreeSet;

use rand::{Rng, seq::IndexedRandom};
use sassafrasmast_wire::Address;

use super::Document;

/// Lists up to this length are told whole, and so many frames may go out without a pause.
pub const BURST: usize = 64;

/// Balancers that tell the same agent when there are more agents than [`BURST`].
const SHARE: usize = 3;

/// Balancers told by one balancer when there are more than [`BURST`]; those tell others in turn.
const FANOUT: usize = 16;

/// Who is told of a new version, most urgent first.
///
/// In a small fleet each balancer tells everyone. In a large one each tells a part, so that the
/// frames of one balancer hardly grow with the fleet: agents are divided among the balancers, and
/// balancers tell some others, chosen at random, each of which does the same.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Audience {
    /// Addresses in the order of telling.
    pub targets: Vec<Address>,
}

impl Audience {
    /// The audience of the balancer `own`, one of `balancers`, for the change from `before` to
    /// `after`. Agents that the change is about come first, then balancers, then other agents.
    pub fn new(
        before: Option<&Document>,
        after: &Document,
        balancers: &[Address],
        own: Address,
        rng: &mut impl Rng,
    ) -> Self {
        let rank = balancers.iter().position(|&b| b == own).unwrap_or(0);
        let urgent = before.map_or_else(BTreeSet::new, |before| concerned(before, after));
        let agents = after.upstreams.values().map(|u| u.agent);
        let others: Vec<_> = agents.filter(|agent| !urgent.contains(agent)).collect();
        let urgent: Vec<_> = urgent.into_iter().collect();
        let peers: Vec<_> = balancers.iter().copied().filter(|&b| b != own).collect();
        let mut targets = share(&urgent, rank, balancers.len());
        if peers.len() <= BURST {
            targets.extend(peers);
        } else {
            targets.extend(peers.choose_multiple(rng, FANOUT));
        }
        targets.extend(share(&others, rank, balancers.len()));
        Self { targets }
    }
}

/// Agents whose own upstream or zone differs between the two documents.
fn concerned(before: &Document, after: &Document) -> BTreeSet<Address> {
    let both = before.upstreams.iter().chain(&after.upstreams);
    let changed = both.filter(|(agent, upstream)| {
        before.upstreams.get(agent) != after.upstreams.get(agent)
            || before.zones.get(&upstream.zone) != after.zones.get(&upstream.zone)
    });
    changed.map(|(_, upstream)| upstream.agent).collect()
}

/// The part of `list` that the balancer with `rank` of `count` tells: all of a short list, else
/// so much that each member is told by [`SHARE`] balancers.
fn share(list: &[Address], rank: usize, count: usize) -> Vec<Address> {
    if list.len() <= BURST || count <= SHARE {
        return list.to_vec();
    }
    let mine = |index: &usize| (index + rank) % count < SHARE;
    let chosen = list.iter().enumerate().filter(|(index, _)| mine(index));
    chosen.map(|(_, &address)| address).collect()
}
