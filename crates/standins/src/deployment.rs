//! A whole deployment as child processes on loopback addresses of its own.

mod harness;
mod network;
mod operator;
mod process;
mod settings;

pub use self::{
    harness::{Deployment, until},
    network::Network,
    operator::Operator,
    process::Process,
    settings::{ServiceSettings, Settings},
};
