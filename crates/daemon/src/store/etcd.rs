//! A client of the etcd v3 API through its HTTP/JSON gateway.

mod message;
mod pool;

use std::{net::SocketAddr, time::Duration};

use async_trait::async_trait;
use bytes::{Bytes, BytesMut};
use http_body_util::{BodyExt, Limited};
use hyper::body::Incoming;
use serde::de::DeserializeOwned;
use serde_json::{Value, json};
use tokio::{
    sync::mpsc,
    time::{Instant, timeout},
};

use self::{
    message::{
        ErrorResponse, GrantResponse, KeepAliveResponse, RangeResponse, StreamResult, TxnResponse,
        WatchResponse, encode,
    },
    pool::Pool,
};
use super::{
    Compare, Error, LeaseId, Listing, Put, Range, Revision, Store, Txn, TxnResult, Update, Watch,
};

/// Time-out of connecting to one endpoint.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(300);

/// Time-out of one call to one endpoint, after connecting; for a watch, of connecting and of the
/// head of the reply.
const CALL_TIMEOUT: Duration = Duration::from_secs(1);

/// Time without data after which a watch ends. Without it, a connection whose state a middlebox has
/// dropped would hide changes for ever.
const WATCH_IDLE_TIMEOUT: Duration = Duration::from_secs(60);

/// Updates buffered between a watch and its reader.
const WATCH_BUFFER: usize = 256;

/// Largest reply, and largest line of a watch, in bytes.
const MAX_REPLY_BYTES: usize = 16 * 1024 * 1024;

/// A client of a store with one or more endpoints, which are tried in order.
#[derive(Debug)]
pub struct Etcd {
    pool: Pool,
}

/// Whether a call that may have reached one endpoint may be sent again to another.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Retry {
    /// The call is not idempotent.
    Never,
    /// Repeating the call is harmless.
    Safe,
}

impl Etcd {
    /// A client of the given endpoints. Connects when first used.
    ///
    /// ```
    /// use sassafrasmastd::store::Etcd;
    /// let store = Etcd::new(vec!["127.0.0.1:2379".parse().unwrap()]);
    /// ```
    pub fn new(endpoints: Vec<SocketAddr>) -> Self {
        Self {
            pool: Pool::new(endpoints),
        }
    }

    /// Calls `path` on one endpoint after another and parses the reply.
    async fn call<T: DeserializeOwned>(
        &self,
        path: &str,
        body: Value,
        retry: Retry,
    ) -> Result<T, Error> {
        let body = Bytes::from(body.to_string());
        let mut last = Error::Unreachable("no endpoint is configured".to_owned());
        for endpoint in self.pool.order() {
            let mut sender = match timeout(CONNECT_TIMEOUT, self.pool.take(endpoint)).await {
                Ok(Ok(sender)) => sender,
                Ok(Err(error)) => {
                    last = Error::Unreachable(format!("{endpoint}: {error}"));
                    continue;
                }
                Err(_) => {
                    last = Error::Unreachable(format!("{endpoint}: connect timeout"));
                    continue;
                }
            };
            let exchange = async {
                let response = sender
                    .send_request(self.pool.request(endpoint, path, body.clone())?)
                    .await
                    .map_err(|error| Error::Unreachable(format!("{endpoint}: {error}")))?;
                let parsed = parse(response).await;
                self.pool.put(endpoint, sender);
                parsed
            };
            last = match timeout(CALL_TIMEOUT, exchange).await {
                Ok(Ok(reply)) => {
                    self.pool.prefer(endpoint);
                    return Ok(reply);
                }
                Ok(Err(error)) => error,
                Err(_) => Error::Unreachable(format!("{endpoint}: timeout")),
            };
            if retry == Retry::Never || !matches!(last, Error::Unreachable(_)) {
                return Err(last);
            }
        }
        Err(last)
    }

    /// Opens the stream of a watch on the first endpoint that answers.
    async fn open_watch(&self, body: Value) -> Result<Incoming, Error> {
        let body = Bytes::from(body.to_string());
        let mut last = Error::Unreachable("no endpoint is configured".to_owned());
        for endpoint in self.pool.order() {
            let opening = async {
                // The connection of a watch is not returned to the pool.
                let mut sender = self
                    .pool
                    .connect(endpoint)
                    .await
                    .map_err(|error| Error::Unreachable(format!("{endpoint}: {error}")))?;
                let response = sender
                    .send_request(self.pool.request(endpoint, "/v3/watch", body.clone())?)
                    .await
                    .map_err(|error| Error::Unreachable(format!("{endpoint}: {error}")))?;
                if response.status().is_success() {
                    return Ok(response.into_body());
                }
                Err(error_from(response).await)
            };
            match timeout(CALL_TIMEOUT, opening).await {
                Ok(Ok(body)) => return Ok(body),
                Ok(Err(error)) => last = error,
                Err(_) => last = Error::Unreachable(format!("{endpoint}: timeout")),
            }
        }
        Err(last)
    }
}

#[async_trait]
impl Store for Etcd {
    async fn range(&self, range: Range) -> Result<Listing, Error> {
        let reply: RangeResponse = self
            .call("/v3/kv/range", range_fields(&range), Retry::Safe)
            .await?;
        let entries = reply.kvs.into_iter().map(TryInto::try_into);
        Ok(Listing {
            revision: reply.header.revision,
            entries: entries.collect::<Result<_, _>>()?,
        })
    }

    async fn txn(&self, txn: Txn) -> Result<TxnResult, Error> {
        let puts = txn.puts.iter().map(put);
        let deletes = txn.deletes.iter().map(delete);
        let body = json!({
            "compare": txn.compares.iter().map(compare).collect::<Vec<_>>(),
            "success": puts.chain(deletes).collect::<Vec<_>>(),
        });
        let reply: TxnResponse = self.call("/v3/kv/txn", body, Retry::Never).await?;
        Ok(TxnResult {
            succeeded: reply.succeeded,
            revision: reply.header.revision,
        })
    }

    async fn grant(&self, ttl: Duration) -> Result<LeaseId, Error> {
        let seconds = ttl.as_secs() + u64::from(ttl.subsec_nanos() > 0);
        let body = json!({ "TTL": seconds.to_string() });
        // If a reply is lost, its lease expires unused, so a second grant is harmless.
        let reply: GrantResponse = self.call("/v3/lease/grant", body, Retry::Safe).await?;
        Ok(reply.id)
    }

    async fn keep_alive(&self, lease: LeaseId) -> Result<Duration, Error> {
        let body = json!({ "ID": lease.to_string() });
        let reply: StreamResult<KeepAliveResponse> =
            self.call("/v3/lease/keepalive", body, Retry::Safe).await?;
        match u64::try_from(reply.result.ttl) {
            Ok(seconds) if seconds > 0 => Ok(Duration::from_secs(seconds)),
            _ => Err(Error::LeaseNotFound),
        }
    }

    async fn revoke(&self, lease: LeaseId) -> Result<(), Error> {
        let body = json!({ "ID": lease.to_string() });
        let _: Value = self.call("/v3/lease/revoke", body, Retry::Safe).await?;
        Ok(())
    }

    async fn watch(&self, range: Range, from: Revision) -> Result<Watch, Error> {
        let mut create = range_fields(&range);
        create["start_revision"] = json!(from.to_string());
        let body = self.open_watch(json!({ "create_request": create })).await?;
        let (sender, receiver) = mpsc::channel(WATCH_BUFFER);
        tokio::spawn(async move {
            tokio::select! {
                error = forward_updates(body, &sender) => {
                    // Fails if the reader has dropped the watch already.
                    let _ = sender.send(Err(error)).await;
                }
                () = sender.closed() => {}
            }
        });
        Ok(receiver)
    }
}

/// Sends the updates from a watch's stream to its reader until the stream ends; returns why it did.
async fn forward_updates(
    mut body: Incoming,
    updates: &mpsc::Sender<Result<Update, Error>>,
) -> Error {
    let mut buffer = BytesMut::new();
    let mut last_data = Instant::now();
    loop {
        let frame = match timeout(
            WATCH_IDLE_TIMEOUT.saturating_sub(last_data.elapsed()),
            body.frame(),
        )
        .await
        {
            Ok(Some(Ok(frame))) => frame,
            Ok(Some(Err(error))) => return Error::Unreachable(error.to_string()),
            Ok(None) => return Error::Unreachable("the watch stream ended".to_owned()),
            Err(_) => {
                return Error::Unreachable(format!(
                    "no data on the watch for {} s",
                    WATCH_IDLE_TIMEOUT.as_secs()
                ));
            }
        };
        last_data = Instant::now();
        buffer.extend_from_slice(frame.data_ref().map_or(&[], |data| data));
        if buffer.len() > MAX_REPLY_BYTES {
            return Error::Malformed(format!(
                "a line of the watch is longer than {MAX_REPLY_BYTES} bytes"
            ));
        }
        while let Some(end) = buffer.iter().position(|&byte| byte == b'\n') {
            let line = buffer.split_to(end + 1);
            if let Err(error) = forward_line(&line, updates).await {
                return error;
            }
        }
    }
}

/// Sends the updates of one line of a watch's stream.
async fn forward_line(
    line: &[u8],
    updates: &mpsc::Sender<Result<Update, Error>>,
) -> Result<(), Error> {
    if line.trim_ascii().is_empty() {
        return Ok(());
    }
    let reply: StreamResult<WatchResponse> = decode(line)?;
    if reply.result.compact_revision > 0 {
        let oldest = reply.result.compact_revision;
        return Err(Error::Compacted { oldest });
    }
    if reply.result.canceled {
        return Err(Error::Unreachable("the store ended the watch".to_owned()));
    }
    for event in reply.result.events {
        if updates.send(Ok(event.try_into()?)).await.is_err() {
            break;
        }
    }
    Ok(())
}

/// Reads and parses a reply; an error status gives the error that the reply describes.
async fn parse<T: DeserializeOwned>(response: hyper::Response<Incoming>) -> Result<T, Error> {
    if !response.status().is_success() {
        return Err(error_from(response).await);
    }
    decode(&collect(response).await?)
}

/// The error that a reply with an error status describes.
async fn error_from(response: hyper::Response<Incoming>) -> Error {
    let status = response.status();
    match collect(response).await {
        Ok(body) => ErrorResponse::parse(status, &body),
        Err(error) => error,
    }
}

/// Reads a whole body of at most [`MAX_REPLY_BYTES`].
async fn collect(response: hyper::Response<Incoming>) -> Result<Bytes, Error> {
    let body = Limited::new(response.into_body(), MAX_REPLY_BYTES);
    let collected = body
        .collect()
        .await
        .map_err(|error| Error::Unreachable(error.to_string()))?;
    Ok(collected.to_bytes())
}

/// Parses JSON from the store.
fn decode<T: DeserializeOwned>(json: &[u8]) -> Result<T, Error> {
    serde_json::from_slice(json).map_err(|error| Error::Malformed(error.to_string()))
}

/// Start and end of a range in the gateway's form.
fn range_fields(range: &Range) -> Value {
    match range.end() {
        Some(end) => json!({ "key": encode(range.start()), "range_end": encode(end) }),
        None => json!({ "key": encode(range.start()) }),
    }
}

/// A comparison in the gateway's form.
fn compare(compare: &Compare) -> Value {
    let (key, target, field, value) = match compare {
        Compare::Absent(key) => (key, "VERSION", "version", 0),
        Compare::ModRevision(key, revision) => (key, "MOD", "mod_revision", *revision),
        Compare::CreateRevision(key, revision) => (key, "CREATE", "create_revision", *revision),
    };
    json!({
        "key": encode(key),
        "result": "EQUAL",
        "target": target,
        field: value.to_string(),
    })
}

/// A put in the gateway's form.
fn put(put: &Put) -> Value {
    json!({ "request_put": {
        "key": encode(&put.key),
        "value": encode(&put.value),
        "lease": put.lease.unwrap_or(0).to_string(),
    } })
}

/// A deletion in the gateway's form.
fn delete(key: &String) -> Value {
    json!({ "request_delete_range": { "key": encode(key) } })
}
