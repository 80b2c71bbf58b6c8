//! Counters and histograms of the process.

use std::net::SocketAddrV4;

use ::http::StatusCode;
use metrics_exporter_prometheus::{PrometheusBuilder, PrometheusHandle};

use crate::http::{self, Answer};

/// Bounds of the histograms of times, in seconds.
const TIME_BUCKETS: [f64; 10] = [0.001, 0.002, 0.005, 0.01, 0.02, 0.05, 0.1, 0.25, 1.0, 5.0];

/// Installs the recorder of this process.
///
/// # Errors
///
/// When one is installed already.
pub fn install() -> anyhow::Result<PrometheusHandle> {
    let recorder = PrometheusBuilder::new()
        .set_buckets(&TIME_BUCKETS)?
        .build_recorder();
    let handle = recorder.handle();
    metrics::set_global_recorder(recorder)?;
    Ok(handle)
}

/// Serves what was recorded, if an address is set.
///
/// # Errors
///
/// When the address cannot be bound.
pub async fn serve(
    address: Option<SocketAddrV4>,
    recorded: PrometheusHandle,
) -> anyhow::Result<()> {
    let Some(address) = address else {
        return Ok(());
    };
    http::serve(address, move |_| {
        let text = recorded.render();
        async move { Answer::new(StatusCode::OK, text) }
    })
    .await
}
