//! QUIC over the frames exchanged with balancers.
//!
//! A balancer wraps each caller's datagram in a `wire::Frame`. [`Socket`] unwraps it, passes it to
//! quinn as if it came directly from the caller, and wraps the datagrams that quinn sends.
//! [`CidGenerator`] creates connection ids by which any balancer can route later datagrams without
//! further state.

mod endpoint;
mod generator;
mod identity;
mod inbound;
mod poller;
mod queue;
mod return_paths;
mod socket;
mod status;

pub use self::{
    endpoint::{Certificate, endpoint},
    generator::CidGenerator,
    identity::Identity,
    queue::Queue,
    return_paths::ReturnPaths,
    socket::Socket,
};
