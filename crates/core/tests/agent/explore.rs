//! Bounded exhaustive exploration: every order of events of small worlds.

use std::{
    collections::HashSet,
    hash::{DefaultHasher, Hash, Hasher},
    time::Duration,
};

use sassafrasmast_core::agent::claim;

use crate::world::{Limits, World};

/// Longer than any claim lets a request start.
const LONG: Duration = claim::START_WINDOW;

/// Visits all states that can be reached, at most `most`; returns how many there are.
fn explore(world: World, most: usize) -> usize {
    let mut seen = HashSet::new();
    let mut open = vec![world];
    while let Some(world) = open.pop() {
        for event in world.events() {
            let mut next = world.clone();
            next.apply(&event);
            if seen.insert(hash(&next)) {
                open.push(next);
            }
        }
        assert!(seen.len() < most, "more states than expected");
    }
    seen.len()
}

fn hash(world: &World) -> u64 {
    let mut hasher = DefaultHasher::new();
    world.fingerprint().hash(&mut hasher);
    hasher.finish()
}

#[test]
fn one_minted_key_at_two_agents() {
    let mut world = World::new(Limits {
        copies: 3,
        ..Limits::default()
    });
    world.mint();
    let states = explore(world, 100_000);
    println!("states: {states}");
}

#[test]
fn one_minted_key_with_a_pause_and_a_restart() {
    let mut world = World::new(Limits {
        copies: 2,
        restarts: 1,
        passes: vec![LONG],
        ..Limits::default()
    });
    world.mint();
    let states = explore(world, 100_000);
    println!("states: {states}");
}

#[test]
fn one_ticket_at_two_agents() {
    let mut world = World::new(Limits {
        copies: 3,
        ..Limits::default()
    });
    world.ticket(1);
    let states = explore(world, 100_000);
    println!("states: {states}");
}

#[test]
fn one_ticket_with_a_pause_and_a_restart() {
    let mut world = World::new(Limits {
        copies: 2,
        restarts: 1,
        passes: vec![Duration::from_secs(60)],
        ..Limits::default()
    });
    world.ticket(1);
    let states = explore(world, 100_000);
    println!("states: {states}");
}

#[test]
fn two_bookings_under_one_minted_key() {
    let mut world = World::new(Limits {
        copies: 3,
        cancels: 1,
        ..Limits::default()
    });
    world.mint();
    world.reuse();
    let states = explore(world, 100_000);
    println!("states: {states}");
}

#[test]
fn two_bookings_under_one_ticket() {
    let mut world = World::new(Limits {
        copies: 3,
        cancels: 1,
        ..Limits::default()
    });
    world.ticket(1);
    world.reuse();
    let states = explore(world, 100_000);
    println!("states: {states}");
}
