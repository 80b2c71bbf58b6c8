//! Loads of peers of the same service, probed only while requests are queued, all slots are busy or
//! the agent drains.

use std::{net::SocketAddr, sync::Arc, time::Duration};

use rand::seq::IteratorRandom;
use sassafrasmast_core::agent;
use sassafrasmast_wire::{AgentId, Body, State};

use super::SharedState;

/// Time between two rounds of probes. With `PEERS_PER_ROUND` probes and about 110 bytes for probe
/// and report, headers included, this costs less than 1 KB/s under load and nothing otherwise.
pub const PROBE_INTERVAL: Duration = Duration::from_millis(250);

/// Peers probed in one round.
const PEERS_PER_ROUND: usize = 2;

/// Probes the load of some peers if requests are queued, the concurrency limit is reached or the
/// agent is draining with running requests. Returns whether it did.
pub fn probe(shared: &SharedState) -> bool {
    let load = shared.dispatcher.inspect(agent::Agent::load);
    let draining = load.state == State::Draining && load.running > 0;
    if load.queued == 0 && load.running < load.limit && !draining {
        return false;
    }
    for (agent, address) in choose_peers(shared) {
        let nonce = rand::random();
        shared.socket.send(address, Body::Probe { nonce, agent });
    }
    true
}

/// Passes the loads that peers report on to [`agent::Agent`] until the future is dropped.
pub async fn receive_reports(shared: &Arc<SharedState>) {
    let Some(mut reports) = shared.socket.reports() else {
        return std::future::pending().await;
    };
    while let Some((from, agent, load)) = reports.recv().await {
        let known = shared.blackboard.config().is_some_and(|snapshot| {
            let peer = snapshot.document.upstreams.get(&agent);
            peer.is_some_and(|peer| peer.agent == from)
        });
        if known {
            shared
                .dispatcher
                .decide(|core, now| core.peer_load(now, agent, load));
        }
    }
}

/// A random choice of the peers that may accept requests.
fn choose_peers(shared: &SharedState) -> Vec<(AgentId, SocketAddr)> {
    let (Some(snapshot), Some(identity)) = (shared.blackboard.config(), shared.socket.identity())
    else {
        return Vec::new();
    };
    let document = &snapshot.document;
    let others = document.upstreams.iter().filter(|(id, upstream)| {
        **id != identity.agent
            && upstream.service == identity.service
            && !upstream.draining
            && document.is_routable(**id)
    });
    others
        .map(|(id, upstream)| (*id, upstream.agent))
        .choose_multiple(&mut rand::rng(), PEERS_PER_ROUND)
}
