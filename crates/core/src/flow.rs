//! Flow forwarding: packets of flows are carried between clients and upstreams, unchanged.
//!
//! - [`Balancer`] decides on entry VMs which agent gets a packet.
//! - [`Agent`] decides beside an upstream whether a packet goes to it. It has the last word on
//!   each limit, since it knows its upstream first hand.
//! - [`Intent`] is what operators have set: routes, services, limits, zones taken out.

pub mod agent;
pub mod balancer;
pub mod gate;
pub mod intent;
pub mod member;
pub mod packet;
pub mod ranking;

pub use sassafrasmast_wire::flow::{Key, Purpose, Reason, Report, Revision, State};

pub use self::{
    agent::Agent, balancer::Balancer, gate::Gate, intent::Intent, member::Member, packet::Head,
};

/// Name of a service.
pub type ServiceName = std::sync::Arc<str>;

/// Name of an availability zone.
pub type ZoneName = std::sync::Arc<str>;
