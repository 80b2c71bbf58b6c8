//! Flow forwarding: packets of flows are forwarded unchanged between clients and upstreams.
//!
//! - [`Balancer`] runs on entry VMs and selects the agent that a packet is forwarded to.
//! - [`Agent`] runs beside an upstream and decides whether a packet is passed to it. The agent
//!   enforces each limit, since it observes its upstream directly.
//! - [`Intent`] is the operators' configuration: routes, services, limits, zones taken out.

pub mod agent;
pub mod average;
pub mod balancer;
mod deadline;
pub mod intent;
pub mod limiter;
pub mod member;
pub mod packet;
pub mod ranking;

pub use sassafrasmast_wire::flow::{Key, Priority, Purpose, Reason, Report, Revision, State};

pub use self::{
    agent::Agent, balancer::Balancer, deadline::deadline, intent::Intent, limiter::Limiter,
    member::Member, packet::Head,
};

/// Name of a service.
pub type ServiceName = std::sync::Arc<str>;

/// Name of an availability zone.
pub type ZoneName = std::sync::Arc<str>;
