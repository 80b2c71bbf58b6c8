//! The agent role: ends flows beside one upstream and runs their requests there.

pub mod answer;
pub mod attempt;
pub mod claims;
pub mod dispatcher;
pub mod driver;
pub mod exchange;
pub mod facts;
pub mod flow;
pub mod host;
pub mod inflow;
pub mod intake;
pub mod lifecycle;
pub mod neighbours;
pub mod outflow;
pub mod phase;
pub mod server;
pub mod sink;
pub mod source;
pub mod upstream;

use std::{net::SocketAddr, sync::Arc};

use anyhow::Context;
use metrics_exporter_prometheus::PrometheusBuilder;
use sassafrasmast_core::Blackboard;

pub use self::{
    answer::Answer,
    claims::Claims,
    dispatcher::{Actions, Dispatcher},
    driver::Driver,
    facts::Facts,
    host::Host,
    inflow::{Cut, Inflow, Piece},
    lifecycle::Lifecycle,
    outflow::Outflow,
    phase::Phase,
    server::Server,
    sink::Sink,
    source::Source,
    upstream::Upstream,
};
use crate::{
    config,
    options::{Agent, Settings},
};

/// Runs an agent until it is told to stop.
///
/// # Errors
///
/// Names what could not be bound or started.
pub async fn run(settings: Settings, role: Agent) -> anyhow::Result<()> {
    if let Some(address) = settings.metrics {
        export(address)?;
    }
    let (listen, entries) = (settings.listen, role.entries.clone());
    let blackboard = Arc::new(Blackboard::new(settings.events));
    let lifecycle = Lifecycle::start(settings, role, blackboard)?;
    lifecycle.watch_signals()?;
    let server = lifecycle.server();
    let recorder = server.recorder.clone();
    let config = config::Agent::start(recorder, listen, entries, lifecycle.host()).await;
    let config = config.with_context(|| format!("listen: cannot bind {listen} for peer calls"))?;
    let mut newer = server.socket.newer();
    let puller = config.puller.clone();
    tokio::spawn(async move {
        while newer.changed().await.is_ok() {
            let shown = *newer.borrow_and_update();
            if let Some((from, _)) = shown {
                puller.request(from);
            }
        }
    });
    lifecycle.run().await
}

/// Starts the Prometheus exporter.
fn export(address: SocketAddr) -> anyhow::Result<()> {
    PrometheusBuilder::new()
        .with_http_listener(address)
        .install()
        .with_context(|| format!("metrics: cannot serve {address}"))
}
