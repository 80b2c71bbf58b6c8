//! HTTP endpoint for the upstream's announcements.

use std::{net::SocketAddrV4, sync::Arc};

use ::http::StatusCode;
use sassafrasmast_core::flow::agent::Announcement;
use sassafrasmast_wire::Incarnation;
use tokio::sync::{mpsc, oneshot};

use crate::{
    http_server::{self, Answer},
    platform::{Call, Platform},
};

/// A call of the upstream, passed from the HTTP server to the event loop. The sender is notified
/// once the call was handled.
pub(super) enum UpstreamCall {
    Announcement(Announcement, oneshot::Sender<()>),
    Deregistration(String, Option<Incarnation>, oneshot::Sender<()>),
    /// It cannot be read, for this reason.
    Invalid(String),
}

/// Serves the upstream's announcements, and readiness of the agent.
pub(super) async fn serve<P: Platform>(
    address: SocketAddrV4,
    platform: &Arc<P>,
    sender: mpsc::Sender<UpstreamCall>,
) -> anyhow::Result<()> {
    let platform = Arc::clone(platform);
    http_server::serve(address, move |received| {
        let call = platform.call(&received.method, &received.path, &received.body);
        let sender = sender.clone();
        async move {
            let (done, handled) = oneshot::channel();
            let upstream_call = match call {
                Call::Ready => return Answer::new(StatusCode::OK, ""),
                Call::Announce(announcement) => UpstreamCall::Announcement(announcement, done),
                Call::Deregister(id, incarnation) => {
                    UpstreamCall::Deregistration(id, incarnation, done)
                }
                Call::Invalid(reason) => {
                    // The answer does not depend on whether the refusal is logged.
                    let _ = sender.try_send(UpstreamCall::Invalid(reason.clone()));
                    return Answer::new(StatusCode::BAD_REQUEST, reason);
                }
                Call::Unknown => return Answer::new(StatusCode::NOT_FOUND, ""),
            };
            // The upstream gets its acknowledgement only after the event loop has applied the call.
            let is_sent = sender.send(upstream_call).await.is_ok();
            if is_sent && handled.await.is_ok() {
                Answer::new(StatusCode::OK, "{}")
            } else {
                Answer::new(StatusCode::SERVICE_UNAVAILABLE, "")
            }
        }
    })
    .await
}
