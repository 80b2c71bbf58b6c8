//! Bounded exhaustive exploration: all orders of events of small clusters.

use std::{
    collections::HashSet,
    hash::{DefaultHasher, Hash, Hasher},
    time::Duration,
};

use sassafrasmast_core::agent::claim;

use crate::cluster::{Cluster, EventLimits};

/// A pause after which no claim allows a start.
const PAUSE: Duration = claim::START_WINDOW;

/// Visits all reachable states, which must be fewer than `max_states`; returns their number.
fn explore(cluster: Cluster, max_states: usize) -> usize {
    let mut seen = HashSet::new();
    let mut unvisited = vec![cluster];
    while let Some(cluster) = unvisited.pop() {
        for event in cluster.events() {
            let mut next = cluster.clone();
            next.apply(&event);
            if seen.insert(hash(&next)) {
                unvisited.push(next);
            }
        }
        assert!(seen.len() < max_states, "{max_states} states or more");
    }
    seen.len()
}

fn hash(cluster: &Cluster) -> u64 {
    let mut hasher = DefaultHasher::new();
    cluster.fingerprint().hash(&mut hasher);
    hasher.finish()
}

#[test]
fn one_minted_key_at_two_agents() {
    let mut cluster = Cluster::new(EventLimits {
        sends: 3,
        ..EventLimits::default()
    });
    cluster.add_minted();
    let states = explore(cluster, 100_000);
    println!("states: {states}");
}

#[test]
fn one_minted_key_with_a_pause_and_a_restart() {
    let mut cluster = Cluster::new(EventLimits {
        sends: 2,
        restarts: 1,
        advances: vec![PAUSE],
        ..EventLimits::default()
    });
    cluster.add_minted();
    let states = explore(cluster, 100_000);
    println!("states: {states}");
}

#[test]
fn one_ticket_at_two_agents() {
    let mut cluster = Cluster::new(EventLimits {
        sends: 3,
        ..EventLimits::default()
    });
    cluster.add_with_ticket(1);
    let states = explore(cluster, 100_000);
    println!("states: {states}");
}

#[test]
fn one_ticket_with_a_pause_and_a_restart() {
    let mut cluster = Cluster::new(EventLimits {
        sends: 2,
        restarts: 1,
        advances: vec![Duration::from_secs(60)],
        ..EventLimits::default()
    });
    cluster.add_with_ticket(1);
    let states = explore(cluster, 100_000);
    println!("states: {states}");
}

#[test]
fn two_bookings_under_one_minted_key() {
    let mut cluster = Cluster::new(EventLimits {
        sends: 3,
        cancels: 1,
        ..EventLimits::default()
    });
    cluster.add_minted();
    cluster.add_reuse();
    let states = explore(cluster, 100_000);
    println!("states: {states}");
}

#[test]
fn two_bookings_under_one_ticket() {
    let mut cluster = Cluster::new(EventLimits {
        sends: 3,
        cancels: 1,
        ..EventLimits::default()
    });
    cluster.add_with_ticket(1);
    cluster.add_reuse();
    let states = explore(cluster, 100_000);
    println!("states: {states}");
}
