//! A packet that a balancer delivers.

use crate::flow::{Head, Purpose, Revision};

/// A packet that a balancer delivers.
#[derive(Debug, Clone, Copy)]
pub struct Delivery<'a> {
    /// Why it was sent here.
    pub purpose: Purpose,
    /// Service that a SYN is meant for; empty otherwise.
    pub service: &'a str,
    /// Revision in force at the balancer.
    pub sender_revision: Revision,
    /// The packet's head.
    pub head: &'a Head,
    /// The packet.
    pub packet: &'a [u8],
}
