//! A complete deployment as child processes on its own loopback network.

mod harness;
mod network;
mod operator;
mod settings;

pub use self::{
    harness::{Deployment, wait_until},
    network::Network,
    operator::OperatorClient,
    settings::{ServiceSettings, Settings},
};
