//! Tests of an agent's decisions.

mod basics;
mod claims;
mod explore;
mod fuzz;
mod limits;
mod predictions;
mod queues;
mod relays;
mod rig;
mod tickets;
mod world;
