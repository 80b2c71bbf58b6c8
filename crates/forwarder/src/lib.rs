//! The processes of flow forwarding: a balancer on each entry VM and an agent beside each upstream.
//!
//! Balancers and agents exchange frames: datagrams that hold a packet, questions or a report.
//!
//! All decisions are made in [`sassafrasmast_core::flow`], which does no I/O. This crate does the
//! I/O: sockets, the watch of the store, the agent's registration, logs and metrics. [`Platform`]
//! is the interface to the platform: its implementation decodes packet heads, operators' documents
//! and announcements.
//!
//! - [`balancer`], [`agent`]: the two roles.
//! - [`watcher`]: lists the keys of the store and then watches them.
//! - [`membership`]: decides whether a balancer watches agents' entries or lists them.
//! - [`registration`]: an agent's entry in the store.
//! - [`peer`]: exchange of state between processes while the store is unreachable or lags behind.
//! - [`http_server`]: HTTP server for readiness, announcements, status and metrics.
//! - [`status`]: status of a process as shown to operators.
//! - [`log`]: structured, rate-limited log lines.

pub mod agent;
pub mod balancer;
pub mod event;
mod fallback;
pub mod hints;
pub mod http_server;
mod inputs;
pub mod log;
pub mod membership;
pub mod metrics_server;
pub mod peer;
pub mod platform;
mod position;
mod puller;
pub mod registration;
mod reload;
pub mod settings;
mod signals;
pub mod status;
mod tcp;
pub mod udp;
pub mod watcher;
pub mod zone_status;

use std::sync::Arc;

use anyhow::Context;

use self::signals::Signals;
pub use self::{
    log::Log,
    platform::Platform,
    settings::{Role, Settings},
    status::Status,
};

/// Runs the role that the settings name until the process is killed. `prepare` reads the settings; signals
/// that arrive meanwhile are handled once the role runs, as the platform may reload or stop a process that
/// is starting.
///
/// # Errors
///
/// When `prepare` fails, or an address of the settings cannot be bound.
pub fn run<P: Platform>(
    prepare: impl FnOnce() -> anyhow::Result<(Settings, P)>,
) -> anyhow::Result<()> {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()
        .context("cannot start the tokio runtime")?;
    runtime.block_on(async {
        let signals = Signals::new()?;
        let (settings, platform) = prepare()?;
        let platform = Arc::new(platform);
        match settings.role.clone() {
            Role::Balancer => balancer::run(settings, platform, signals).await,
            Role::Agent(upstream) => agent::run(settings, upstream, platform, signals).await,
        }
    })
}
