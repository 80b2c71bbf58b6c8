//! Flow forwarding as processes: a balancer on each entry VM, an agent beside each upstream.
//!
//! All decisions are [`sassafrasmast_core::flow`]'s. This crate owns sockets, the store's watch,
//! the agent's registration, logs and metrics. The platform that it runs on is met at
//! [`Platform`]: heads of packets, operators' documents and announcements are decoded there.
//!
//! - [`balancer`], [`agent`]: the two roles.
//! - [`watcher`]: what the store holds, followed by a watch.
//! - [`registration`]: an agent's entry in the store.
//! - [`peer`]: what processes tell each other while the store does not answer.
//! - [`http`]: readiness, announcements and metrics.
//! - [`status`]: what a process tells operators of itself.
//! - [`log`]: structured log lines of bounded volume.

pub mod agent;
pub mod balancer;
mod fallback;
pub mod http;
mod inputs;
pub mod log;
pub mod metrics;
pub mod peer;
pub mod platform;
pub mod registration;
mod reload;
pub mod settings;
mod signals;
pub mod status;
mod tcp;
pub mod udp;
pub mod watcher;

use std::sync::Arc;

use anyhow::Context;

pub use self::{
    log::Log,
    platform::Platform,
    settings::{Role, Settings},
    status::Status,
};

/// Runs the role that the settings name until the process is told to stop.
///
/// # Errors
///
/// When an address of the settings cannot be bound.
pub fn run<P: Platform>(settings: Settings, platform: P) -> anyhow::Result<()> {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()
        .context("runtime: cannot start")?;
    runtime.block_on(async {
        let platform = Arc::new(platform);
        match settings.role.clone() {
            Role::Balancer => balancer::run(settings, platform).await,
            Role::Agent(upstream) => agent::run(settings, upstream, platform).await,
        }
    })
}
