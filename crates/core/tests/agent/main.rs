//! Tests of an agent's decisions.

mod basics;
mod rig;
mod tickets;
