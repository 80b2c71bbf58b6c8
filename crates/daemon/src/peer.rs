//! Calls between processes: one length-delimited postcard message each way over TCP. A peer is any
//! other process of the fleet, balancer or agent.
//!
//! [`call`] sends a [`Call`] to a peer. [`Server`] receives calls and answers them through a
//! [`Handler`]. [`CommonHandler`] answers the calls that both roles support.

mod call;
mod client;
pub mod codec;
mod common_handler;
mod error;
mod reply;
mod server;

pub(crate) use self::client::connect;
pub use self::{
    call::Call,
    client::call,
    common_handler::CommonHandler,
    error::Error,
    reply::Reply,
    server::{Handler, Server},
};
