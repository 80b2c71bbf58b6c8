//! Calls between processes: one length-delimited postcard message each way over TCP.
//!
//! [`call`] sends a [`Call`] to a peer; [`Server`] passes calls that arrive to a [`Handler`]. [`Common`]
//! is the part of the handler that both roles share.

mod call;
mod client;
pub mod codec;
mod common;
mod error;
mod reply;
mod server;

pub(crate) use self::client::connect;
pub use self::{
    call::Call,
    client::call,
    common::Common,
    error::Error,
    reply::Reply,
    server::{Handler, Server},
};
