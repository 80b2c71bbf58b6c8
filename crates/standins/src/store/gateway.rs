//! The etcd v3 HTTP/JSON gateway.

use std::{
    net::SocketAddr,
    sync::{Arc, Mutex, MutexGuard, PoisonError},
    time::{Duration, Instant},
};

use base64::{Engine, engine::general_purpose::STANDARD};
use bytes::Bytes;
use hyper::{Method, Request, Response, StatusCode, body::Incoming};
use serde_json::{Value, json};
use tokio::{
    net::TcpListener,
    sync::{mpsc, watch},
};

use super::{Counts, Fault, Table, table::Key};
use crate::http::{self, Abort, ChunkedBody, Reply};

/// Connections that may be open at once.
const MAX_CONNECTIONS: usize = 4_096;

/// Time between two checks for expired leases.
const LEASE_CHECK_INTERVAL: Duration = Duration::from_millis(50);

/// gRPC status code: a malformed call.
const INVALID_ARGUMENT: i32 = 3;
/// gRPC status code: not found.
const NOT_FOUND: i32 = 5;

/// An in-memory store behind the etcd v3 HTTP/JSON gateway.
#[derive(Debug)]
pub struct Gateway {
    state: Mutex<State>,
    /// Incremented at each change of the table or of the fault; wakes the watches.
    changed: watch::Sender<u64>,
}

#[derive(Debug, Default)]
struct State {
    table: Table,
    counts: Counts,
    fault: Fault,
}

/// An error reply in the gateway's format.
#[derive(Debug)]
struct ErrorReply {
    status: StatusCode,
    code: i32,
    message: &'static str,
}

const MALFORMED_CALL: ErrorReply = ErrorReply {
    status: StatusCode::BAD_REQUEST,
    code: INVALID_ARGUMENT,
    message: "malformed call",
};

const LEASE_NOT_FOUND: ErrorReply = ErrorReply {
    status: StatusCode::NOT_FOUND,
    code: NOT_FOUND,
    message: "etcdserver: requested lease not found",
};

/// Base64 of `bytes`.
pub(super) fn encode_base64(bytes: &[u8]) -> String {
    STANDARD.encode(bytes)
}

impl Gateway {
    /// Serves an empty store on `address` until the process ends.
    ///
    /// # Errors
    ///
    /// If the address cannot be bound.
    pub async fn run(address: SocketAddr) -> anyhow::Result<()> {
        let listener = TcpListener::bind(address).await?;
        let gateway = Arc::new(Self {
            state: Mutex::default(),
            changed: watch::Sender::new(0),
        });
        tokio::spawn(Arc::clone(&gateway).run_lease_expiry());
        http::serve(listener, MAX_CONNECTIONS, move |request| {
            Arc::clone(&gateway).handle(request)
        })
        .await;
        Ok(())
    }

    async fn run_lease_expiry(self: Arc<Self>) {
        loop {
            tokio::time::sleep(LEASE_CHECK_INTERVAL).await;
            self.update(|state| state.table.expire_leases(Instant::now()));
        }
    }

    async fn handle(self: Arc<Self>, request: Request<Incoming>) -> Result<Reply, Abort> {
        let path = request.uri().path().to_owned();
        match (request.method(), path.as_str()) {
            (&Method::GET, "/standin/counts") => {
                return Ok(http::json(StatusCode::OK, &self.state().counts));
            }
            (&Method::POST, "/standin/fault") => return Ok(self.set_fault(request).await),
            _ => {}
        }
        let fault = self.state().fault;
        if fault.down {
            return Err(Abort);
        }
        let body = http::read_body(request).await?;
        let call: Value = serde_json::from_slice(&body).unwrap_or(Value::Null);
        if path == "/v3/watch" {
            return Ok(self.watch(&call));
        }
        let reply = match path.as_str() {
            "/v3/kv/range" => self.range(&call),
            "/v3/kv/txn" => self.write(|state| state.txn(&call)),
            "/v3/kv/put" => self.write(|state| state.put(&call)),
            "/v3/lease/grant" => self.write(|state| state.grant(&call)),
            "/v3/lease/keepalive" => self.write(|state| state.keep_alive(&call)),
            "/v3/lease/revoke" => self.write(|state| state.revoke(&call)),
            _ => Err(MALFORMED_CALL),
        };
        tokio::time::sleep(Duration::from_millis(fault.delay_ms)).await;
        if self.state().fault.down || (path != "/v3/kv/range" && self.take_lost_reply()) {
            return Err(Abort);
        }
        Ok(match reply {
            Ok(reply) => http::json(StatusCode::OK, &reply),
            Err(error) => http::json(
                error.status,
                &json!({ "code": error.code, "message": error.message }),
            ),
        })
    }

    async fn set_fault(&self, request: Request<Incoming>) -> Reply {
        match http::parse(request).await {
            Ok(fault) => {
                self.state().fault = fault;
                self.changed.send_modify(|count| *count += 1);
                http::json(StatusCode::OK, &fault)
            }
            Err(reply) => *reply,
        }
    }

    fn take_lost_reply(&self) -> bool {
        let fault = &mut self.state().fault;
        let lose = fault.lose_replies > 0;
        fault.lose_replies = fault.lose_replies.saturating_sub(1);
        lose
    }

    fn range(&self, call: &Value) -> Result<Value, ErrorReply> {
        let mut state = self.state();
        state.counts.reads += 1;
        let (start, end) = key_range(call)?;
        let kvs = state.table.range(&start, end.as_ref());
        Ok(json!({ "header": state.header(), "count": kvs.len().to_string(), "kvs": kvs }))
    }

    fn write(
        &self,
        effect: impl FnOnce(&mut State) -> Result<Value, ErrorReply>,
    ) -> Result<Value, ErrorReply> {
        self.update(|state| {
            state.counts.writes += 1;
            effect(state)
        })
    }

    /// Changes the state and wakes the watches if the revision advanced.
    fn update<T>(&self, effect: impl FnOnce(&mut State) -> T) -> T {
        let mut state = self.state();
        let before = state.table.revision();
        let result = effect(&mut state);
        let advanced = state.table.revision() != before;
        drop(state);
        if advanced {
            self.changed.send_modify(|count| *count += 1);
        }
        result
    }

    fn watch(self: &Arc<Self>, call: &Value) -> Reply {
        let create = &call["create_request"];
        let Ok((start, end)) = key_range(create) else {
            return http::json(StatusCode::BAD_REQUEST, &json!({ "code": 3 }));
        };
        let (sender, body) = ChunkedBody::channel();
        let gateway = Arc::clone(self);
        let from = integer(&create["start_revision"]);
        tokio::spawn(async move {
            gateway.count_watch(1);
            tokio::select! {
                () = gateway.stream_events(from, &start, end.as_ref(), &sender) => {}
                () = sender.closed() => {}
            }
            gateway.count_watch(-1);
        });
        Response::new(body)
    }

    fn count_watch(&self, change: i64) {
        let counts = &mut self.state().counts;
        counts.watches = counts.watches.saturating_add_signed(change);
        counts.watches_opened += u64::from(change > 0);
    }

    async fn stream_events(
        &self,
        from: i64,
        start: &Key,
        end: Option<&Key>,
        sender: &mpsc::Sender<Result<Bytes, Abort>>,
    ) {
        let mut changed = self.changed.subscribe();
        let mut next = from;
        if next == 0 {
            next = self.state().table.revision() + 1;
        }
        let mut line = json!({ "created": true });
        loop {
            if line != Value::Null && sender.send(Ok(result_line(&line))).await.is_err() {
                return;
            }
            changed.borrow_and_update();
            let fault = self.state().fault;
            if fault.down {
                let _ = sender.send(Err(Abort)).await;
                return;
            }
            tokio::time::sleep(Duration::from_millis(fault.delay_ms)).await;
            let (changes, header) = {
                let state = self.state();
                (state.table.changes(next, start, end), state.header())
            };
            match changes {
                Err(oldest) => {
                    let line = json!({ "canceled": true, "compact_revision": oldest.to_string() });
                    let _ = sender.send(Ok(result_line(&line))).await;
                    return;
                }
                Ok(changes) if changes.is_empty() => {
                    line = Value::Null;
                    if changed.changed().await.is_err() {
                        return;
                    }
                }
                Ok(changes) => {
                    next = changes.last().map_or(next, |change| change.revision + 1);
                    let events: Vec<_> = changes.into_iter().map(|change| change.event).collect();
                    line = json!({ "header": header, "events": events });
                }
            }
        }
    }

    fn state(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl State {
    fn header(&self) -> Value {
        json!({ "revision": self.table.revision().to_string() })
    }

    fn txn(&mut self, call: &Value) -> Result<Value, ErrorReply> {
        let mut succeeded = true;
        for compare in elements(&call["compare"]) {
            succeeded &= self.compare_holds(compare)?;
        }
        let branch = if succeeded { "success" } else { "failure" };
        let writes = elements(&call[branch]);
        for write in writes {
            let lease = integer(&write["request_put"]["lease"]);
            if lease != 0 && !self.table.has_lease(lease) {
                return Err(LEASE_NOT_FOUND);
            }
        }
        if !writes.is_empty() {
            self.table.advance_revision();
        }
        for write in writes {
            self.apply(write)?;
        }
        Ok(json!({ "header": self.header(), "succeeded": succeeded }))
    }

    fn compare_holds(&self, compare: &Value) -> Result<bool, ErrorReply> {
        let key = decode_key(&compare["key"])?;
        let (version, created, modified) = self.table.versions(&key);
        let (actual, expected) = match compare["target"].as_str() {
            Some("VERSION") => (version, &compare["version"]),
            Some("CREATE") => (created, &compare["create_revision"]),
            Some("MOD") => (modified, &compare["mod_revision"]),
            _ => return Err(MALFORMED_CALL),
        };
        Ok(actual == integer(expected))
    }

    fn apply(&mut self, write: &Value) -> Result<(), ErrorReply> {
        if let Some(put) = write.get("request_put") {
            let value = put["value"].as_str().unwrap_or_default().to_owned();
            self.table
                .put(decode_key(&put["key"])?, value, integer(&put["lease"]));
        } else if let Some(delete) = write.get("request_delete_range") {
            self.table.delete(&decode_key(&delete["key"])?);
        } else {
            return Err(MALFORMED_CALL);
        }
        Ok(())
    }

    fn put(&mut self, call: &Value) -> Result<Value, ErrorReply> {
        self.txn(&json!({ "success": [{ "request_put": call }] }))
    }

    fn grant(&mut self, call: &Value) -> Result<Value, ErrorReply> {
        let seconds = u64::try_from(integer(&call["TTL"])).map_err(|_| MALFORMED_CALL)?;
        let id = self
            .table
            .grant(Duration::from_secs(seconds), Instant::now());
        Ok(json!({ "header": self.header(), "ID": id.to_string(), "TTL": seconds.to_string() }))
    }

    fn keep_alive(&mut self, call: &Value) -> Result<Value, ErrorReply> {
        let id = integer(&call["ID"]);
        let mut result = json!({ "header": self.header(), "ID": id.to_string() });
        if let Some(ttl) = self.table.keep_alive(id, Instant::now()) {
            result["TTL"] = json!(ttl.as_secs().to_string());
        }
        Ok(json!({ "result": result }))
    }

    fn revoke(&mut self, call: &Value) -> Result<Value, ErrorReply> {
        if !self.table.revoke(integer(&call["ID"])) {
            return Err(LEASE_NOT_FOUND);
        }
        Ok(json!({ "header": self.header() }))
    }
}

/// One line of a watch stream.
fn result_line(line: &Value) -> Bytes {
    Bytes::from(format!("{}\n", json!({ "result": line })))
}

/// Elements of an array; none if the value is not an array.
fn elements(value: &Value) -> &[Value] {
    value.as_array().map_or(&[], Vec::as_slice)
}

/// A 64-bit integer given as a JSON string or number; 0 otherwise.
fn integer(value: &Value) -> i64 {
    match value {
        Value::String(text) => text.parse().unwrap_or(0),
        other => other.as_i64().unwrap_or(0),
    }
}

/// Decodes a base64 key.
fn decode_key(value: &Value) -> Result<Key, ErrorReply> {
    let text = value.as_str().ok_or(MALFORMED_CALL)?;
    STANDARD.decode(text).map_err(|_| MALFORMED_CALL)
}

/// Start and end of the key range of a call. Without an end, it is a single key.
fn key_range(call: &Value) -> Result<(Key, Option<Key>), ErrorReply> {
    let end = match &call["range_end"] {
        Value::Null => None,
        end => Some(decode_key(end)?),
    };
    Ok((decode_key(&call["key"])?, end))
}
