//! How a process obtains the configuration, puts it in force and distributes it.
//!
//! - [`Installer`]: validates documents and puts them in force; nothing else does.
//! - [`Watcher`]: a balancer's watch of the configuration in the platform's store.
//! - [`Registrar`]: a balancer's registration under a lease, and the list of balancers.
//! - [`Puller`]: requests the configuration from a peer when a frame carries a higher version.
//! - [`Notifier`]: notifies other processes of a new version.
//! - [`Confirmer`]: confirms a plan.
//! - [`Balancer`] and [`Agent`] start the tasks that a role needs.

mod agent;
mod balancer;
mod confirmer;
mod installer;
mod jitter;
mod key;
mod notifier;
mod puller;
mod registrar;
mod watcher;

pub use self::{
    agent::Agent,
    balancer::Balancer,
    confirmer::Confirmer,
    installer::{Installer, Origin},
    notifier::Notifier,
    puller::Puller,
    registrar::Registrar,
    watcher::Watcher,
};
