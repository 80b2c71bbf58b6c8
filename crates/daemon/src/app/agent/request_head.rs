//! Class, key, deadline and digest of a request, and refusals of requests for which one of them is
//! invalid.

use std::{sync::Arc, time::Duration};

use http::{HeaderMap, Method, Request, header::HeaderName};
use ring::digest::{Context, SHA256};
use sassafrasmast_core::{
    agent::{Class, Digest, Key},
    config::Service,
    error::{Kind, Outcome},
};
use sassafrasmast_wire::{Error, Keys, Ticket};

use super::{Answer, Source};

/// Header with the total time that a caller waits, in milliseconds.
pub const DEADLINE: HeaderName = HeaderName::from_static("sassafrasmast-deadline-ms");

/// Header with the key by which repeats of a non-idempotent request are recognised.
pub const IDEMPOTENCY_KEY: HeaderName = HeaderName::from_static("idempotency-key");

/// Longest key of a caller, in bytes.
const MAX_KEY_BYTES: usize = 255;

/// Class of a request, from its method (RFC 9110, section 9.2) and path.
pub fn class(service: &Service, request: &Request<()>) -> Class {
    let path = request.uri().path();
    let feed = service.feeds.iter().any(|feed| path.starts_with(feed));
    match *request.method() {
        Method::GET | Method::HEAD if feed => Class::Feed,
        Method::GET
        | Method::HEAD
        | Method::OPTIONS
        | Method::TRACE
        | Method::PUT
        | Method::DELETE => Class::Idempotent,
        _ => Class::NonIdempotent,
    }
}

/// The key of a request, if it carries one.
///
/// # Errors
///
/// [`Kind::BadRequest`], [`Kind::TicketInvalid`], or [`Kind::TicketForgotten`] if the key phase
/// that sealed the ticket was removed by a rotation.
pub fn key(keys: &Keys, headers: &HeaderMap) -> Result<Option<Key>, Kind> {
    let Some(value) = headers.get(IDEMPOTENCY_KEY) else {
        return Ok(None);
    };
    let text = value.to_str().map_err(|_| Kind::BadRequest)?;
    if text.is_empty() || text.len() > MAX_KEY_BYTES {
        return Err(Kind::BadRequest);
    }
    if !Ticket::has_ticket_prefix(text) {
        return Ok(Some(Key::Minted(Arc::from(text))));
    }
    match Ticket::open(keys, text) {
        Ok(ticket) => Ok(Some(Key::Ticket(ticket))),
        Err(Error::Phase(_)) => Err(Kind::TicketForgotten),
        Err(_) => Err(Kind::TicketInvalid),
    }
}

/// The answer to a request that is refused before it reaches [`sassafrasmast_core::agent::Agent`].
/// If it has a key that may be valid, another copy of it may have run, here or at another agent, so
/// the outcome "not run" can't be given.
pub fn refusal(kind: Kind, headers: &HeaderMap) -> Answer {
    let keyed = headers.contains_key(IDEMPOTENCY_KEY) && kind != Kind::TicketInvalid;
    match kind.answer().outcome {
        Outcome::NotRun if keyed => Answer::error(kind, Outcome::Unknown),
        outcome => Answer::error(kind, outcome),
    }
}

/// Time that the caller waits, at most the service's limit.
///
/// # Errors
///
/// [`Kind::BadRequest`].
pub fn time_limit(service: &Service, headers: &HeaderMap) -> Result<Duration, Kind> {
    let max = Duration::from_millis(service.deadline_ms);
    let Some(value) = headers.get(DEADLINE) else {
        return Ok(max);
    };
    let text = value.to_str().map_err(|_| Kind::BadRequest)?;
    let millis = text.parse().map_err(|_| Kind::BadRequest)?;
    Ok(Duration::from_millis(millis).min(max))
}

/// Digest that distinguishes requests with the same key: of method, path, length and the body, or
/// the start of a large body.
pub fn digest(request: &Request<()>, source: &Source) -> Digest {
    let mut context = Context::new(&SHA256);
    // 0 if unknown, otherwise length + 1.
    let encoded_length = source.length().map_or(0, |length| length + 1);
    for part in [
        request.method().as_str().as_bytes(),
        b"\0",
        path(request).as_bytes(),
        b"\0",
        &encoded_length.to_be_bytes(),
        source.start(),
    ] {
        context.update(part);
    }
    let mut digest = Digest::default();
    digest.copy_from_slice(context.finish().as_ref());
    digest
}

/// Path and query of a request.
pub fn path(request: &Request<()>) -> &str {
    let path = request.uri().path_and_query();
    path.map_or("/", |path| path.as_str())
}
