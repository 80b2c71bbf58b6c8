//! Flows: connections of callers.

use std::{sync::Arc, time::Duration};

use bytes::Bytes;
use h3::server::RequestResolver;
use http::{HeaderValue, Request, header};
use quinn::{Incoming, VarInt};
use sassafrasmast_core::timeline::{self, FlowId, Kind};
use tokio::{task::JoinSet, time::sleep};

use super::{
    Phase, Server, Sink,
    exchange::{self, Arrival},
    source::Origin,
};
use crate::http3::{Cancels, Connection};

/// Requests still accepted, and answered with a refusal, after a flow was told to go away.
const GRACE_REQUESTS: usize = 64;

/// A flow without requests is closed this long after it was told to go away.
const GRACE: Duration = Duration::from_secs(1);

/// Largest head of a request in bytes, as RFC 9114 counts them.
const MAX_HEAD_BYTES: u64 = 32 * 1_024;

/// Application close code: no error (RFC 9114, section 8.1).
const NO_ERROR: VarInt = VarInt::from_u32(0x100);

/// Accepts flows until the endpoint is closed.
pub async fn accept(server: Arc<Server>, endpoint: quinn::Endpoint) {
    while let Some(incoming) = endpoint.accept().await {
        if !incoming.remote_address_validated() {
            // The source id of a Retry names this agent: from here on the placement lies in the
            // caller's packets. An Incoming that cannot be retried is dropped.
            let _ = incoming.retry();
        } else if *server.phase.borrow() != Phase::Serving
            || server.flows() >= server.role.connections
        {
            incoming.refuse();
        } else {
            tokio::spawn(flow(Arc::clone(&server), incoming));
        }
    }
}

/// Serves one flow to its end.
async fn flow(server: Arc<Server>, incoming: Incoming) {
    let caller = incoming.remote_address();
    let id = timeline::flow_id::of_caller(caller);
    let Ok(connecting) = incoming.accept() else {
        return;
    };
    let Ok(connection) = connecting.await else {
        return;
    };
    let _entry = server.enter();
    metrics::counter!("sassafrasmast_agent_flows_total").increment(1);
    server
        .recorder
        .record_about(Some(id), None, Kind::FlowOpened);
    let reason = requests(&server, &connection, id).await;
    log::debug!("agent: flow of {caller} ended: {reason}");
    let closed = Kind::FlowClosed { reason };
    server.recorder.record_about(Some(id), None, closed);
}

/// Accepts the requests of one flow until the caller or the agent leaves. Returns why it ended.
async fn requests(server: &Arc<Server>, connection: &quinn::Connection, flow: FlowId) -> String {
    let transport = Connection::new(connection.clone());
    let cancels = transport.cancels();
    let built = h3::server::builder()
        .send_grease(false)
        .max_field_section_size(MAX_HEAD_BYTES)
        .build::<_, Bytes>(transport)
        .await;
    let mut http = match built {
        Ok(http) => http,
        Err(error) => return error.to_string(),
    };
    let mut running = JoinSet::new();
    let mut told = false;
    let reason = loop {
        tokio::select! {
            accepted = http.accept() => match accepted {
                Ok(Some(resolver)) => {
                    let cancels = cancels.clone();
                    running.spawn(request(Arc::clone(server), flow, resolver, cancels));
                }
                Ok(None) => break "the caller left".to_owned(),
                Err(error) => break reason(server, &error),
            },
            () = server.wait_for(|phase| phase != Phase::Serving), if !told => {
                told = true;
                if let Err(error) = http.shutdown(GRACE_REQUESTS).await {
                    break reason(server, &error);
                }
            }
            () = sleep(GRACE), if told && running.is_empty() && !server.is_out() => {
                connection.close(NO_ERROR, b"draining");
                break "drained".to_owned();
            }
            Some(_) = running.join_next() => {}
        }
    };
    // The caller is gone; requests with a key may still have to finish.
    running.detach_all();
    reason
}

/// Puts the authority of an HTTP/3 request where HTTP/1.1 has it.
fn name_host(request: &mut Request<()>) {
    let authority = request.uri().authority().map(|host| host.as_str());
    if let Some(Ok(host)) = authority.map(HeaderValue::from_str) {
        request.headers_mut().insert(header::HOST, host);
    }
}

/// Why a flow ended with an error.
fn reason(server: &Server, error: &h3::error::ConnectionError) -> String {
    if server.is_out() {
        return "availability zone out".to_owned();
    }
    error.to_string()
}

/// Serves one request.
async fn request(
    server: Arc<Server>,
    flow: FlowId,
    resolver: RequestResolver<Connection, Bytes>,
    cancels: Cancels,
) {
    match resolver.resolve_request().await {
        Ok((mut request, stream)) => {
            name_host(&mut request);
            let cancel = cancels.take(stream.id().into_inner());
            let (sender, receiver) = stream.split();
            let arrival = Arrival {
                flow: Some(flow),
                request,
                origin: Origin::Caller(receiver),
                sink: Sink::Caller(Box::new(sender)),
                cancel: cancel.unwrap_or_else(|| Box::pin(std::future::pending())),
                left: None,
            };
            exchange::serve(server, arrival).await;
        }
        Err(error) => log::debug!("agent: request not readable: {error}"),
    }
}
