//! Loads of the peers of the same service, asked for only under pressure.

use std::{net::SocketAddr, sync::Arc, time::Duration};

use rand::seq::IteratorRandom;
use sassafrasmast_core::agent;
use sassafrasmast_wire::{AgentId, Body, State};

use super::Server;

/// Time between two rounds of questions. With `PEERS` a round and about 110 bytes for question
/// and answer, headers included, this costs below 1 KB/s under pressure and nothing without.
pub const INTERVAL: Duration = Duration::from_millis(250);

/// Peers asked in one round.
const PEERS: usize = 2;

/// Asks some peers for their load if requests wait here or the agent is draining. Returns
/// whether it did.
pub fn probe(server: &Server) -> bool {
    let load = server.dispatcher.look(agent::Agent::load);
    let draining = load.state == State::Draining && load.running > 0;
    if load.queued == 0 && load.running < load.limit && !draining {
        return false;
    }
    for (agent, address) in peers(server) {
        let nonce = rand::random();
        server.socket.send(address, Body::Probe { nonce, agent });
    }
    true
}

/// Hands the loads that peers report to the decisions until the task is dropped.
pub async fn listen(server: &Arc<Server>) {
    let Some(mut reports) = server.socket.reports() else {
        return std::future::pending().await;
    };
    while let Some((from, agent, load)) = reports.recv().await {
        let known = server.blackboard.config().is_some_and(|snapshot| {
            let peer = snapshot.document.upstreams.get(&agent);
            peer.is_some_and(|peer| peer.agent == from)
        });
        if known {
            server
                .dispatcher
                .decide(|core, now| core.peer_load(now, agent, load));
        }
    }
}

/// A random choice of the peers that may take work.
fn peers(server: &Server) -> Vec<(AgentId, SocketAddr)> {
    let (Some(snapshot), Some(identity)) = (server.blackboard.config(), server.socket.identity())
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
        .choose_multiple(&mut rand::rng(), PEERS)
}
