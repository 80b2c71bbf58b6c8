//! Data about a request that is read before the agent state machine decides about it.

use std::time::{Duration, Instant};

use http::{Method, Request};
use sassafrasmast_core::{
    agent::{Class, Key},
    error::Kind,
};
use tokio::time::timeout_at;

use super::{SharedState, Source, request_head, source::Origin};

/// Class, key, body and deadline of a request.
pub struct RequestInfo {
    /// Request class.
    pub class: Class,
    /// Its idempotency key.
    pub key: Option<Key>,
    /// Its body, with the start buffered.
    pub source: Source,
    /// Time until which the caller waits.
    pub deadline: Instant,
}

impl RequestInfo {
    /// Parses the head of a request and buffers the start of its body. `time_left` is the time
    /// until the deadline according to a relaying peer.
    ///
    /// # Errors
    ///
    /// The reason for which the request is refused.
    pub async fn read(
        shared: &SharedState,
        request: &Request<()>,
        origin: Origin,
        time_left: Option<Duration>,
    ) -> Result<Self, Kind> {
        let arrived = Instant::now();
        let _permit = shared
            .read_permits
            .try_acquire()
            .map_err(|_| Kind::Overloaded)?;
        let (service, snapshot) = shared.service().ok_or(Kind::NotReady)?;
        if request.method() == Method::CONNECT {
            return Err(Kind::BadRequest);
        }
        let headers = request.headers();
        let time_limit = match time_left {
            Some(time_left) => time_left.min(Duration::from_millis(service.deadline_ms)),
            None => request_head::time_limit(&service, headers)?,
        };
        let deadline = arrived + time_limit;
        let key = request_head::key(&snapshot.keys, headers)?;
        let reading = Source::read(origin, headers, service.max_body_bytes);
        let source = timeout_at(deadline.into(), reading).await;
        Ok(Self {
            class: request_head::class(&service, request),
            key,
            source: source.map_err(|_| Kind::DeadlinePassed)??,
            deadline,
        })
    }
}
