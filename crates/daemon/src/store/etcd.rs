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
    message::{Fault, Granted, KeptAlive, Ranged, Streamed, TxnDone, Watched, encode},
    pool::Pool,
};
use super::{
    Compare, Error, LeaseId, Listing, Put, Range, Revision, Store, Txn, TxnResult, Update, Watch,
};

/// Longest time for connecting to one endpoint.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(300);

/// Longest time for one call on one endpoint.
const CALL_TIMEOUT: Duration = Duration::from_secs(1);

/// Longest silence of a watch before it is given up, so that a connection that something between
/// the two ends has forgotten does not hide changes for ever.
const WATCH_SILENCE: Duration = Duration::from_secs(60);

/// Updates buffered between a watch and its reader.
const WATCH_BUFFER: usize = 256;

/// Largest reply, and largest line of a watch, in bytes.
const MAX_REPLY: usize = 16 * 1024 * 1024;

/// A client of a store with one or more endpoints, which are tried in turn.
#[derive(Debug)]
pub struct Etcd {
    pool: Pool,
}

/// Whether a call that was sent may be sent again to another endpoint.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Repeat {
    Never,
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

    /// Calls `path` and parses the reply.
    async fn call<T: DeserializeOwned>(
        &self,
        path: &str,
        body: Value,
        repeat: Repeat,
    ) -> Result<T, Error> {
        let body = Bytes::from(body.to_string());
        let mut last = Error::Unreachable("no endpoint is set".to_owned());
        for endpoint in self.pool.order() {
            let mut sender = match timeout(CONNECT_TIMEOUT, self.pool.take(endpoint)).await {
                Ok(Ok(sender)) => sender,
                Ok(Err(error)) => {
                    last = Error::Unreachable(error.to_string());
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
                    .map_err(|error| Error::Unreachable(error.to_string()))?;
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
            if repeat == Repeat::Never || !matches!(last, Error::Unreachable(_)) {
                return Err(last);
            }
        }
        Err(last)
    }

    /// Opens the stream of a watch on the first endpoint that answers.
    async fn open(&self, body: Value) -> Result<Incoming, Error> {
        let body = Bytes::from(body.to_string());
        let mut last = Error::Unreachable("no endpoint is set".to_owned());
        for endpoint in self.pool.order() {
            let opening = async {
                // A watch never gives its connection back to the pool.
                let mut sender = self
                    .pool
                    .connect(endpoint)
                    .await
                    .map_err(|error| Error::Unreachable(error.to_string()))?;
                let response = sender
                    .send_request(self.pool.request(endpoint, "/v3/watch", body.clone())?)
                    .await
                    .map_err(|error| Error::Unreachable(error.to_string()))?;
                if response.status().is_success() {
                    return Ok(response.into_body());
                }
                Err(fault(response).await)
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
        let reply: Ranged = self
            .call("/v3/kv/range", span(&range), Repeat::Safe)
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
        let reply: TxnDone = self.call("/v3/kv/txn", body, Repeat::Never).await?;
        Ok(TxnResult {
            succeeded: reply.succeeded,
            revision: reply.header.revision,
        })
    }

    async fn grant(&self, ttl: Duration) -> Result<LeaseId, Error> {
        let seconds = ttl.as_secs() + u64::from(ttl.subsec_nanos() > 0);
        let body = json!({ "TTL": seconds.to_string() });
        // A grant whose reply is lost lapses unused, so another one does no harm.
        let reply: Granted = self.call("/v3/lease/grant", body, Repeat::Safe).await?;
        Ok(reply.id)
    }

    async fn keep_alive(&self, lease: LeaseId) -> Result<Duration, Error> {
        let body = json!({ "ID": lease.to_string() });
        let reply: Streamed<KeptAlive> =
            self.call("/v3/lease/keepalive", body, Repeat::Safe).await?;
        match u64::try_from(reply.result.ttl) {
            Ok(seconds) if seconds > 0 => Ok(Duration::from_secs(seconds)),
            _ => Err(Error::LeaseNotFound),
        }
    }

    async fn revoke(&self, lease: LeaseId) -> Result<(), Error> {
        let body = json!({ "ID": lease.to_string() });
        let _: Value = self.call("/v3/lease/revoke", body, Repeat::Safe).await?;
        Ok(())
    }

    async fn watch(&self, range: Range, from: Revision) -> Result<Watch, Error> {
        let mut create = span(&range);
        create["start_revision"] = json!(from.to_string());
        let body = self.open(json!({ "create_request": create })).await?;
        let (sender, receiver) = mpsc::channel(WATCH_BUFFER);
        tokio::spawn(async move {
            tokio::select! {
                error = follow(body, &sender) => {
                    // The reader may be gone already.
                    let _ = sender.send(Err(error)).await;
                }
                () = sender.closed() => {}
            }
        });
        Ok(receiver)
    }
}

/// Sends the updates of a watch's stream until it ends, and says why it did.
async fn follow(mut body: Incoming, updates: &mpsc::Sender<Result<Update, Error>>) -> Error {
    let mut buffer = BytesMut::new();
    let mut heard = Instant::now();
    loop {
        let frame = match timeout(WATCH_SILENCE.saturating_sub(heard.elapsed()), body.frame()).await
        {
            Ok(Some(Ok(frame))) => frame,
            Ok(Some(Err(error))) => return Error::Unreachable(error.to_string()),
            Ok(None) => return Error::Unreachable("the watch was ended".to_owned()),
            Err(_) => return Error::Unreachable("the watch was silent".to_owned()),
        };
        heard = Instant::now();
        buffer.extend_from_slice(frame.data_ref().map_or(&[], |data| data));
        if buffer.len() > MAX_REPLY {
            return Error::Malformed("a line of the watch is too long".to_owned());
        }
        while let Some(end) = buffer.iter().position(|&byte| byte == b'\n') {
            let line = buffer.split_to(end + 1);
            if let Err(error) = deliver(&line, updates).await {
                return error;
            }
        }
    }
}

/// Sends the updates of one line of a watch's stream.
async fn deliver(line: &[u8], updates: &mpsc::Sender<Result<Update, Error>>) -> Result<(), Error> {
    if line.trim_ascii().is_empty() {
        return Ok(());
    }
    let watched: Streamed<Watched> = decode(line)?;
    if watched.result.compact_revision > 0 {
        let oldest = watched.result.compact_revision;
        return Err(Error::Compacted { oldest });
    }
    if watched.result.canceled {
        return Err(Error::Unreachable("the store ended the watch".to_owned()));
    }
    for event in watched.result.events {
        if updates.send(Ok(event.try_into()?)).await.is_err() {
            break;
        }
    }
    Ok(())
}

/// Reads and parses a reply, or the fault it carries.
async fn parse<T: DeserializeOwned>(response: hyper::Response<Incoming>) -> Result<T, Error> {
    if !response.status().is_success() {
        return Err(fault(response).await);
    }
    decode(&collect(response).await?)
}

/// The error that a reply other than success stands for.
async fn fault(response: hyper::Response<Incoming>) -> Error {
    let status = response.status();
    match collect(response).await {
        Ok(body) => Fault::parse(status, &body),
        Err(error) => error,
    }
}

/// Reads a whole body of bounded size.
async fn collect(response: hyper::Response<Incoming>) -> Result<Bytes, Error> {
    let body = Limited::new(response.into_body(), MAX_REPLY);
    let collected = body
        .collect()
        .await
        .map_err(|error| Error::Unreachable(error.to_string()))?;
    Ok(collected.to_bytes())
}

/// Parses JSON of the store.
fn decode<T: DeserializeOwned>(json: &[u8]) -> Result<T, Error> {
    serde_json::from_slice(json).map_err(|error| Error::Malformed(error.to_string()))
}

/// Key and end of a range.
fn span(range: &Range) -> Value {
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
