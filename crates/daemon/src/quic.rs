//! QUIC over the frames of balancers.
//!
//! A balancer wraps each caller's datagram in a `wire::Frame`; [`Socket`] unwraps it, passes
//! it to quinn with the caller's address as its source, and wraps the datagrams that quinn sends.
//! Connection ids come from [`Generator`] and name the agent, so any balancer can route any later
//! datagram by its id alone.

mod endpoint;
mod generator;
mod identity;
mod inbound;
mod link;
mod poller;
mod queue;
mod socket;
mod status;

pub use self::{
    endpoint::{Certificate, endpoint},
    generator::Generator,
    identity::Identity,
    link::Link,
    queue::Queue,
    socket::Socket,
};
