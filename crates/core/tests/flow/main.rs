//! Decisions of flow forwarding, driven without a network.

#![allow(
    clippy::unwrap_used,
    reason = "a step that fails has to fail its test, in helpers too"
)]

mod agent;
mod balancer;
mod fixture;
mod world;
