//! Metrics of the process in Prometheus text format, served at the same address as its status and the
//! intent in force.

use std::{net::SocketAddrV4, sync::Arc};

use ::http::StatusCode;
use metrics_exporter_prometheus::{PrometheusBuilder, PrometheusHandle};
use tokio::sync::{mpsc, oneshot, watch};

use crate::{
    http_server::{self, Answer},
    peer::View,
    status,
};

/// Path of the intent in force.
pub const INTENT_PATH: &str = "/intent";

/// Status requests that may wait. Operators send them by hand, so few are enough.
const STATUS_QUEUE_CAPACITY: usize = 4;

/// Bucket bounds of the histograms of durations, in seconds.
const TIME_BUCKETS_S: [f64; 10] = [0.001, 0.002, 0.005, 0.01, 0.02, 0.05, 0.1, 0.25, 1.0, 5.0];

/// Installs the global metrics recorder.
///
/// # Errors
///
/// When a recorder is already installed.
pub fn install() -> anyhow::Result<PrometheusHandle> {
    let recorder = PrometheusBuilder::new()
        .set_buckets(&TIME_BUCKETS_S)?
        .build_recorder();
    let handle = recorder.handle();
    metrics::set_global_recorder(recorder)?;
    Ok(handle)
}

/// Serves metrics, the status and the intent of `view` if an address is set. The returned channel
/// yields the status requests, which the event loop has to answer.
///
/// # Errors
///
/// When the address cannot be bound.
pub async fn serve(
    address: Option<SocketAddrV4>,
    handle: PrometheusHandle,
    view: watch::Receiver<Arc<View>>,
) -> anyhow::Result<mpsc::Receiver<status::Request>> {
    let (sender, requests) = mpsc::channel(STATUS_QUEUE_CAPACITY);
    if let Some(address) = address {
        http_server::serve(address, move |received| {
            let sender = sender.clone();
            let handle = handle.clone();
            let view = Arc::clone(&view.borrow());
            async move {
                match received.path.as_str() {
                    status::PATH => fetch_status(&sender).await,
                    INTENT_PATH => intent(&view),
                    _ => Answer::new(StatusCode::OK, handle.render()),
                }
            }
        })
        .await?;
    }
    Ok(requests)
}

/// The intent in force.
fn intent(view: &View) -> Answer {
    let Some(intent) = view.intent() else {
        return Answer::new(StatusCode::SERVICE_UNAVAILABLE, "no intent is in force");
    };
    match serde_json::to_string(&**intent) {
        Ok(text) => Answer::new(StatusCode::OK, text),
        Err(error) => Answer::new(StatusCode::INTERNAL_SERVER_ERROR, error.to_string()),
    }
}

/// Requests the status from the event loop.
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
