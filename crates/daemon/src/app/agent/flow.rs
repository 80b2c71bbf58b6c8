//! Flows: QUIC connections of callers.

use std::{sync::Arc, time::Duration};

use bytes::Bytes;
use h3::server::RequestResolver;
use http::{HeaderValue, Request, header};
use quinn::{Incoming, VarInt};
use sassafrasmast_core::timeline::{self, FlowId, Kind};
use tokio::{task::JoinSet, time::sleep};

use super::{
    Phase, SharedState, Sink,
    exchange::{self, Arrival},
    source::Origin,
};
use crate::http3::{Cancels, Connection};

/// Requests still accepted, and answered with a refusal, after GOAWAY was sent on a flow.
const MAX_REQUESTS_AFTER_GOAWAY: usize = 64;

/// After GOAWAY, a flow is closed once it has had no requests for this long.
const GOAWAY_IDLE_TIME: Duration = Duration::from_secs(1);

/// Largest head of a request in bytes, as RFC 9114 counts them.
const MAX_REQUEST_HEAD_BYTES: u64 = 32 * 1_024;

/// Application close code: no error (RFC 9114, section 8.1).
const H3_NO_ERROR_CODE: VarInt = VarInt::from_u32(0x100);

/// Accepts flows until the endpoint is closed.
pub async fn accept(shared: Arc<SharedState>, endpoint: quinn::Endpoint) {
    while let Some(incoming) = endpoint.accept().await {
        if !incoming.remote_address_validated() {
            // The source connection id of a Retry names this agent, so the caller's next packets
            // carry the placement. An `Incoming` that cannot be retried is dropped.
            let _ = incoming.retry();
        } else if *shared.phase.borrow() != Phase::Serving
            || shared.flows() >= shared.role.connections
        {
            incoming.refuse();
        } else {
            tokio::spawn(serve_flow(Arc::clone(&shared), incoming));
        }
    }
}

/// Serves one flow until it ends.
async fn serve_flow(shared: Arc<SharedState>, incoming: Incoming) {
    let caller = incoming.remote_address();
    let id = timeline::flow_id::of_caller(caller);
    let Ok(connecting) = incoming.accept() else {
        return;
    };
    let Ok(connection) = connecting.await else {
        return;
    };
    let _guard = shared.count_flow();
    metrics::counter!("sassafrasmast_agent_flows_total").increment(1);
    shared
        .recorder
        .record_about(Some(id), None, Kind::FlowOpened);
    let reason = serve_requests(&shared, &connection, id).await;
    log::debug!("agent: flow of caller {caller} ended: {reason}");
    let closed = Kind::FlowClosed { reason };
    shared.recorder.record_about(Some(id), None, closed);
}

/// Accepts the requests of one flow until the caller or the agent closes it. Returns why it ended.
async fn serve_requests(
    shared: &Arc<SharedState>,
    connection: &quinn::Connection,
    flow: FlowId,
) -> String {
    let transport = Connection::new(connection.clone());
    let cancels = transport.cancels();
    let built = h3::server::builder()
        .send_grease(false)
        .max_field_section_size(MAX_REQUEST_HEAD_BYTES)
        .build::<_, Bytes>(transport)
        .await;
    let mut http = match built {
        Ok(http) => http,
        Err(error) => return error.to_string(),
    };
    let mut running = JoinSet::new();
    let mut goaway_sent = false;
    let reason = loop {
        tokio::select! {
            accepted = http.accept() => match accepted {
                Ok(Some(resolver)) => {
                    let cancels = cancels.clone();
                    running.spawn(serve_request(Arc::clone(shared), flow, resolver, cancels));
                }
                Ok(None) => break "the caller left".to_owned(),
                Err(error) => break close_reason(shared, &error),
            },
            () = shared.wait_for(|phase| phase != Phase::Serving), if !goaway_sent => {
                goaway_sent = true;
                if let Err(error) = http.shutdown(MAX_REQUESTS_AFTER_GOAWAY).await {
                    break close_reason(shared, &error);
                }
            }
            () = sleep(GOAWAY_IDLE_TIME),
                if goaway_sent && running.is_empty() && !shared.is_out() =>
            {
                connection.close(H3_NO_ERROR_CODE, b"draining");
                break "drained".to_owned();
            }
            Some(_) = running.join_next() => {}
        }
    };
    // Requests with a key may have to finish even though the flow ended.
    running.detach_all();
    reason
}

/// Copies the authority of an HTTP/3 request to the `Host` header that HTTP/1.1 uses.
fn set_host_header(request: &mut Request<()>) {
    let authority = request.uri().authority().map(|host| host.as_str());
    if let Some(Ok(host)) = authority.map(HeaderValue::from_str) {
        request.headers_mut().insert(header::HOST, host);
    }
}

/// Why a flow ended with an error.
fn close_reason(shared: &SharedState, error: &h3::error::ConnectionError) -> String {
    if shared.is_out() {
        return "availability zone out".to_owned();
    }
    error.to_string()
}

/// Serves one request.
async fn serve_request(
    shared: Arc<SharedState>,
    flow: FlowId,
    resolver: RequestResolver<Connection, Bytes>,
    cancels: Cancels,
) {
    match resolver.resolve_request().await {
        Ok((mut request, stream)) => {
            set_host_header(&mut request);
            let cancel = cancels.take(stream.id().into_inner());
            let (sender, receiver) = stream.split();
            let arrival = Arrival {
                flow: Some(flow),
                request,
                origin: Origin::Caller(receiver),
                sink: Sink::Caller(Box::new(sender)),
                cancel: cancel.unwrap_or_else(|| Box::pin(std::future::pending())),
                time_left: None,
            };
            exchange::serve(shared, arrival).await;
        }
        Err(error) => log::debug!("agent: cannot read the head of a request: {error}"),
    }
}
