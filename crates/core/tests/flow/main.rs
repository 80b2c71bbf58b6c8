//! Tests of the decision logic of flow forwarding, without a network.

#![allow(
    clippy::unwrap_used,
    reason = "a failed step must fail its test, in helper functions too"
)]

mod admission;
mod agent;
mod attempts;
mod balancer;
mod classes;
mod classless;
mod competition;
mod fixture;
mod holding;
mod intents;
mod load;
mod overload;
mod placement;
mod recovery;
mod simulation;
mod trace;
