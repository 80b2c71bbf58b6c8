//! Decisions of flow forwarding, driven without a network.

mod agent;
mod balancer;
mod fixture;
mod world;
