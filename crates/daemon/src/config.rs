//! How a process gets, keeps and passes on the configuration.
//!
//! - [`Installer`]: the one way a document comes in force in a process.
//! - [`Watcher`]: a balancer's waiting call to the platform's store.
//! - [`Registrar`]: a balancer's registration under a lease, and the list of balancers.
//! - [`Puller`]: asks peers for a newer configuration when a frame shows that there is one.
//! - [`Spread`]: tells other processes about a new version.
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
