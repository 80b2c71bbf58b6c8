//! Tests of the agent's state machine.

mod basics;
mod claims;
mod cluster;
mod explore;
mod fixture;
mod fuzz;
mod limits;
mod placement;
mod queues;
mod relays;
mod tickets;
