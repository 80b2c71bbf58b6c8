//! Tests of an agent's decisions.

mod basics;
mod explore;
mod fuzz;
mod rig;
mod tickets;
mod world;
