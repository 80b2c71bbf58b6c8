//! A whole deployment as child processes on loopback addresses of its own.

mod harness;
mod network;
mod operator;
mod settings;

pub use self::{
    harness::{Deployment, wait_until},
    network::Network,
    operator::Operator,
    settings::{ServiceSettings, Settings},
};
