//! The HTTP/JSON gateway of a store.

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
use crate::http::{self, Cut, Reply, Stream};

/// Connections held at once.
const MAX_CONNECTIONS: usize = 4_096;

/// Time between two looks for lapsed leases.
const LAPSE_INTERVAL: Duration = Duration::from_millis(50);

/// gRPC status code: a malformed call.
const INVALID_ARGUMENT: i32 = 3;
/// gRPC status code: not found.
const NOT_FOUND: i32 = 5;

/// A store behind the etcd v3 HTTP/JSON gateway.
#[derive(Debug)]
pub struct Gateway {
    state: Mutex<State>,
    /// Counts changes of the table and of the fault; watches wait for it.
    changed: watch::Sender<u64>,
}

#[derive(Debug, Default)]
struct State {
    table: Table,
    counts: Counts,
    fault: Fault,
}

/// An error reply in the gateway's form.
#[derive(Debug)]
struct Refusal {
    status: StatusCode,
    code: i32,
    message: &'static str,
}

const MALFORMED: Refusal = Refusal {
    status: StatusCode::BAD_REQUEST,
    code: INVALID_ARGUMENT,
    message: "malformed call",
};

const NO_LEASE: Refusal = Refusal {
    status: StatusCode::NOT_FOUND,
    code: NOT_FOUND,
    message: "etcdserver: requested lease not found",
};

/// Base64 of `bytes`.
pub(super) fn encode(bytes: &[u8]) -> String {
    STANDARD.encode(bytes)
}

impl Gateway {
    /// Serves a new store on `address` for ever.
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
        tokio::spawn(Arc::clone(&gateway).lapse());
        http::serve(listener, MAX_CONNECTIONS, move |request| {
            Arc::clone(&gateway).handle(request)
        })
        .await;
        Ok(())
    }

    async fn lapse(self: Arc<Self>) {
        loop {
            tokio::time::sleep(LAPSE_INTERVAL).await;
            self.change(|state| state.table.lapse(Instant::now()));
        }
    }

    async fn handle(self: Arc<Self>, request: Request<Incoming>) -> Result<Reply, Cut> {
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
            return Err(Cut);
        }
        let body = http::read(request).await?;
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
            _ => Err(MALFORMED),
        };
        tokio::time::sleep(Duration::from_millis(fault.delay_ms)).await;
        if self.state().fault.down || (path != "/v3/kv/range" && self.loses_reply()) {
            return Err(Cut);
        }
        Ok(match reply {
            Ok(reply) => http::json(StatusCode::OK, &reply),
            Err(refusal) => http::json(
                refusal.status,
                &json!({ "code": refusal.code, "message": refusal.message }),
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

    fn loses_reply(&self) -> bool {
        let fault = &mut self.state().fault;
        let lose = fault.lose_replies > 0;
        fault.lose_replies = fault.lose_replies.saturating_sub(1);
        lose
    }

    fn range(&self, call: &Value) -> Result<Value, Refusal> {
        let mut state = self.state();
        state.counts.reads += 1;
        let (start, end) = span(call)?;
        let kvs = state.table.range(&start, end.as_ref());
        Ok(json!({ "header": state.header(), "count": kvs.len().to_string(), "kvs": kvs }))
    }

    fn write(
        &self,
        effect: impl FnOnce(&mut State) -> Result<Value, Refusal>,
    ) -> Result<Value, Refusal> {
        self.change(|state| {
            state.counts.writes += 1;
            effect(state)
        })
    }

    /// Changes the state and wakes the watches if the revision moved.
    fn change<T>(&self, effect: impl FnOnce(&mut State) -> T) -> T {
        let mut state = self.state();
        let before = state.table.revision();
        let result = effect(&mut state);
        let moved = state.table.revision() != before;
        drop(state);
        if moved {
            self.changed.send_modify(|count| *count += 1);
        }
        result
    }

    fn watch(self: &Arc<Self>, call: &Value) -> Reply {
        let create = &call["create_request"];
        let Ok((start, end)) = span(create) else {
            return http::json(StatusCode::BAD_REQUEST, &json!({ "code": 3 }));
        };
        let (sender, body) = Stream::open();
        let gateway = Arc::clone(self);
        let from = number(&create["start_revision"]);
        tokio::spawn(async move {
            gateway.count_watch(1);
            tokio::select! {
                () = gateway.follow(from, &start, end.as_ref(), &sender) => {}
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

    async fn follow(
        &self,
        from: i64,
        start: &Key,
        end: Option<&Key>,
        sender: &mpsc::Sender<Result<Bytes, Cut>>,
    ) {
        let mut changed = self.changed.subscribe();
        let mut next = from;
        if next == 0 {
            next = self.state().table.revision() + 1;
        }
        let mut line = json!({ "created": true });
        loop {
            if line != Value::Null && sender.send(Ok(result(&line))).await.is_err() {
                return;
            }
            changed.borrow_and_update();
            let fault = self.state().fault;
            if fault.down {
                let _ = sender.send(Err(Cut)).await;
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
                    let _ = sender.send(Ok(result(&line))).await;
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

    fn txn(&mut self, call: &Value) -> Result<Value, Refusal> {
        let mut succeeded = true;
        for compare in list(&call["compare"]) {
            succeeded &= self.holds(compare)?;
        }
        let branch = if succeeded { "success" } else { "failure" };
        let writes = list(&call[branch]);
        for write in writes {
            let lease = number(&write["request_put"]["lease"]);
            if lease != 0 && !self.table.has_lease(lease) {
                return Err(NO_LEASE);
            }
        }
        if !writes.is_empty() {
            self.table.advance();
        }
        for write in writes {
            self.apply(write)?;
        }
        Ok(json!({ "header": self.header(), "succeeded": succeeded }))
    }

    fn holds(&self, compare: &Value) -> Result<bool, Refusal> {
        let key = bytes(&compare["key"])?;
        let (version, created, modified) = self.table.versions(&key);
        let (held, wanted) = match compare["target"].as_str() {
            Some("VERSION") => (version, &compare["version"]),
            Some("CREATE") => (created, &compare["create_revision"]),
            Some("MOD") => (modified, &compare["mod_revision"]),
            _ => return Err(MALFORMED),
        };
        Ok(held == number(wanted))
    }

    fn apply(&mut self, write: &Value) -> Result<(), Refusal> {
        if let Some(put) = write.get("request_put") {
            let value = put["value"].as_str().unwrap_or_default().to_owned();
            self.table
                .put(bytes(&put["key"])?, value, number(&put["lease"]));
        } else if let Some(delete) = write.get("request_delete_range") {
            self.table.delete(&bytes(&delete["key"])?);
        } else {
            return Err(MALFORMED);
        }
        Ok(())
    }

    fn put(&mut self, call: &Value) -> Result<Value, Refusal> {
        self.txn(&json!({ "success": [{ "request_put": call }] }))
    }

    fn grant(&mut self, call: &Value) -> Result<Value, Refusal> {
        let seconds = u64::try_from(number(&call["TTL"])).map_err(|_| MALFORMED)?;
        let id = self
            .table
            .grant(Duration::from_secs(seconds), Instant::now());
        Ok(json!({ "header": self.header(), "ID": id.to_string(), "TTL": seconds.to_string() }))
    }

    fn keep_alive(&mut self, call: &Value) -> Result<Value, Refusal> {
        let id = number(&call["ID"]);
        let mut result = json!({ "header": self.header(), "ID": id.to_string() });
        if let Some(ttl) = self.table.keep_alive(id, Instant::now()) {
            result["TTL"] = json!(ttl.as_secs().to_string());
        }
        Ok(json!({ "result": result }))
    }

    fn revoke(&mut self, call: &Value) -> Result<Value, Refusal> {
        if !self.table.revoke(number(&call["ID"])) {
            return Err(NO_LEASE);
        }
        Ok(json!({ "header": self.header() }))
    }
}

/// One line of a stream.
fn result(line: &Value) -> Bytes {
    Bytes::from(format!("{}\n", json!({ "result": line })))
}

/// Elements of a list, none if there is no list.
fn list(value: &Value) -> &[Value] {
    value.as_array().map_or(&[], Vec::as_slice)
}

/// A 64-bit number given as text or number; 0 without one.
fn number(value: &Value) -> i64 {
    match value {
        Value::String(text) => text.parse().unwrap_or(0),
        other => other.as_i64().unwrap_or(0),
    }
}

/// Bytes of base64 text.
fn bytes(value: &Value) -> Result<Key, Refusal> {
    let text = value.as_str().ok_or(MALFORMED)?;
    STANDARD.decode(text).map_err(|_| MALFORMED)
}

/// Start and end of a range.
fn span(call: &Value) -> Result<(Key, Option<Key>), Refusal> {
    let end = match &call["range_end"] {
        Value::Null => None,
        end => Some(bytes(end)?),
    };
    Ok((bytes(&call["key"])?, end))
}
