//! QUIC over the frames of balancers.
//!
//! A balancer wraps each caller's datagram in a `wire::Frame`; [`Socket`] unwraps it and hands it
//! to quinn as if the caller had sent it here, and wraps quinn's answers again. Connection ids
//! are made by [`Generator`], so any balancer can route any later datagram by its id alone.

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
