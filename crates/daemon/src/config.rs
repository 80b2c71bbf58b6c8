//! Receives, keeps and distributes the configuration.
//!
//! - [`Installer`]: puts documents in force; the only way to do so in a process.
//! - [`Watcher`]: follows the configuration in the platform's store, on a balancer.
//! - [`Registrar`]: a balancer's registration under a lease, and the list of balancers.
//! - [`Puller`]: fetches a newer configuration from peers when a frame shows that there is one.
//! - [`Spread`]: notifies other processes of a new version.
//! - [`Executor`]: confirms a plan.
//! - [`Balancer`] and [`Agent`] start the parts that a role needs.

mod agent;
mod balancer;
mod executor;
mod installer;
mod jitter;
mod key;
mod puller;
mod registrar;
mod spread;
mod watcher;

pub use self::{
    agent::Agent,
    balancer::Balancer,
    executor::Executor,
    installer::{Installer, Origin},
    puller::Puller,
    registrar::Registrar,
    spread::Spread,
    watcher::Watcher,
};
