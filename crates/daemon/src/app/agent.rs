//! The agent role: terminates callers' QUIC flows next to one upstream and forwards their requests
//! to it.

pub mod abort_on_drop;
pub mod answer;
pub mod attempt;
pub mod claims;
pub mod dispatcher;
pub mod exchange;
pub mod flow;
pub mod lifecycle;
pub mod peer_handler;
pub mod peer_loads;
pub mod phase;
pub mod request_body;
pub mod request_head;
pub mod request_info;
pub mod response_body;
pub mod shared_state;
pub mod sink;
pub mod source;
pub mod upstream;

use std::{net::SocketAddr, sync::Arc};

use anyhow::Context;
use metrics_exporter_prometheus::PrometheusBuilder;
use sassafrasmast_core::Blackboard;

pub use self::{
    abort_on_drop::AbortOnDrop,
    answer::Answer,
    claims::Claims,
    dispatcher::{Actions, Dispatcher},
    lifecycle::Lifecycle,
    peer_handler::PeerHandler,
    phase::Phase,
    request_body::{Cut, Piece, RequestBody},
    request_info::RequestInfo,
    response_body::ResponseBody,
    shared_state::SharedState,
    sink::Sink,
    source::Source,
    upstream::Upstream,
};
use crate::{
    config,
    options::{Agent, Settings},
};

/// Runs an agent until a signal stops it.
///
/// # Errors
///
/// If an address cannot be bound or a part cannot be started; the error names it.
pub async fn run(settings: Settings, role: Agent) -> anyhow::Result<()> {
    if let Some(address) = settings.metrics {
        export(address)?;
    }
    let (listen, entries) = (settings.listen, role.entries.clone());
    let blackboard = Arc::new(Blackboard::new(settings.events));
    let lifecycle = Lifecycle::start(settings, role, blackboard)?;
    lifecycle.watch_signals()?;
    let shared = lifecycle.shared();
    let recorder = shared.recorder.clone();
    let config = config::Agent::start(recorder, listen, entries, lifecycle.peer_handler()).await;
    let config = config.with_context(|| format!("listen: cannot bind {listen} for peer calls"))?;
    let mut newer_version = shared.socket.newer_version();
    let puller = config.puller.clone();
    tokio::spawn(async move {
        while newer_version.changed().await.is_ok() {
            let newest = *newer_version.borrow_and_update();
            if let Some((from, _)) = newest {
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
        .with_context(|| format!("metrics: cannot listen on {address}"))
}
