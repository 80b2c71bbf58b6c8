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
fn one_minted_key_at_two_agents_runs_at_most_once() {
    let mut cluster = Cluster::new(EventLimits {
        sends: 3,
        ..EventLimits::default()
    });
    cluster.add_minted();
    let states = explore(cluster, 100_000);
    println!("one minted key at two agents: {states} states explored");
}

#[test]
fn one_minted_key_runs_at_most_once_despite_a_pause_and_a_restart() {
    let mut cluster = Cluster::new(EventLimits {
        sends: 2,
        restarts: 1,
        advances: vec![PAUSE],
        ..EventLimits::default()
    });
    cluster.add_minted();
    let states = explore(cluster, 100_000);
    println!("one minted key with a pause and a restart: {states} states explored");
}

#[test]
fn one_ticket_at_two_agents_runs_at_most_once() {
    let mut cluster = Cluster::new(EventLimits {
        sends: 3,
        ..EventLimits::default()
    });
    cluster.add_with_ticket(1);
    let states = explore(cluster, 100_000);
    println!("one ticket at two agents: {states} states explored");
}

#[test]
fn one_ticket_runs_at_most_once_despite_a_pause_and_a_restart() {
    let mut cluster = Cluster::new(EventLimits {
        sends: 2,
        restarts: 1,
        // The lifetime of a ticket.
        advances: vec![Duration::from_secs(60)],
        ..EventLimits::default()
    });
    cluster.add_with_ticket(1);
    let states = explore(cluster, 100_000);
    println!("one ticket with a pause and a restart: {states} states explored");
}

#[test]
fn two_bookings_with_one_minted_key_run_at_most_once() {
    let mut cluster = Cluster::new(EventLimits {
        sends: 3,
        cancels: 1,
        ..EventLimits::default()
    });
    cluster.add_minted();
    cluster.add_reuse();
    let states = explore(cluster, 100_000);
    println!("two bookings with one minted key: {states} states explored");
}

#[test]
fn two_bookings_with_one_ticket_run_at_most_once() {
    let mut cluster = Cluster::new(EventLimits {
        sends: 3,
        cancels: 1,
        ..EventLimits::default()
    });
    cluster.add_with_ticket(1);
    cluster.add_reuse();
    let states = explore(cluster, 100_000);
    println!("two bookings with one ticket: {states} states explored");
}
