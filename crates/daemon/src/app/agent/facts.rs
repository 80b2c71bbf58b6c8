//! What is known about a request before anything is decided about it.

use std::time::{Duration, Instant};

use http::{Method, Request};
use sassafrasmast_core::{
    agent::{Class, Key},
    error::Kind,
};
use tokio::time::timeout_at;

use super::{Server, Source, intake, source::Origin};

/// Class, key, body and deadline of a request.
pub struct Facts {
    /// What method and path allow.
    pub class: Class,
    /// Its idempotency key.
    pub key: Option<Key>,
    /// Its body, of which the beginning was read.
    pub source: Source,
    /// When the caller stops waiting.
    pub deadline: Instant,
}

impl Facts {
    /// Looks at a request and reads the beginning of its body. `left` is the time that a relaying
    /// peer leaves.
    ///
    /// # Errors
    ///
    /// Why the request is refused before anything is decided.
    pub async fn find(
        server: &Server,
        request: &Request<()>,
        origin: Origin,
        left: Option<Duration>,
    ) -> Result<Self, Kind> {
        let arrived = Instant::now();
        let _room = server.reading.try_acquire().map_err(|_| Kind::Overloaded)?;
        let (service, snapshot) = server.service().ok_or(Kind::NotReady)?;
        if request.method() == Method::CONNECT {
            return Err(Kind::BadRequest);
        }
        let headers = request.headers();
        let limit = match left {
            Some(left) => left.min(Duration::from_millis(service.deadline_ms)),
            None => intake::time_limit(&service, headers)?,
        };
        let deadline = arrived + limit;
        let key = intake::key(&snapshot.keys, headers)?;
        let reading = Source::read(origin, headers, service.max_body_bytes);
        let source = timeout_at(deadline.into(), reading).await;
        Ok(Self {
            class: intake::class(&service, request),
            key,
            source: source.map_err(|_| Kind::DeadlinePassed)??,
            deadline,
        })
    }
}
