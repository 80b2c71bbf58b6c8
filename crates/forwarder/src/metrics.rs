//! Counters and histograms of the process, served beside its status.

use std::net::SocketAddrV4;

use ::http::StatusCode;
use metrics_exporter_prometheus::{PrometheusBuilder, PrometheusHandle};
use tokio::sync::{mpsc, oneshot};

use crate::{
    http::{self, Answer},
    status,
};

/// Questions for the status that may wait: operators ask by hand.
const STATUS_QUEUE_CAPACITY: usize = 4;

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

/// Serves what was handle and the status of the process, if an address is set. Questions for
/// the status go to the loop that owns it.
///
/// # Errors
///
/// When the address cannot be bound.
pub async fn serve(
    address: Option<SocketAddrV4>,
    handle: PrometheusHandle,
) -> anyhow::Result<mpsc::Receiver<status::Request>> {
    let (sender, requests) = mpsc::channel(STATUS_QUEUE_CAPACITY);
    if let Some(address) = address {
        http::serve(address, move |received| {
            let sender = sender.clone();
            let handle = handle.clone();
            async move {
                if received.path == status::PATH {
                    fetch_status(&sender).await
                } else {
                    Answer::new(StatusCode::OK, handle.render())
                }
            }
        })
        .await?;
    }
    Ok(requests)
}

/// Asks the process for its status.
async fn fetch_status(requests: &mpsc::Sender<status::Request>) -> Answer {
    let (sender, answer) = oneshot::channel();
    let text = match requests.try_send(sender) {
        Ok(()) => match answer.await {
            Ok(status) => serde_json::to_string(&status).map_err(|error| error.to_string()),
            Err(error) => Err(error.to_string()),
        },
        Err(error) => Err(error.to_string()),
    };
    match text {
        Ok(text) => Answer::new(StatusCode::OK, text),
        Err(reason) => Answer::new(StatusCode::SERVICE_UNAVAILABLE, reason),
    }
}
