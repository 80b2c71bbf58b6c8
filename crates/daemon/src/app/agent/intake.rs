//! What a request is, before anything is decided about it.

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

/// Header with the whole time in milliseconds that a caller waits.
pub const DEADLINE: HeaderName = HeaderName::from_static("sassafrasmast-deadline-ms");

/// Header that makes a non-idempotent request recognisable.
pub const IDEMPOTENCY_KEY: HeaderName = HeaderName::from_static("idempotency-key");

/// Longest key of a caller, in bytes.
const MAX_KEY_BYTES: usize = 255;

/// What method and path allow (RFC 9110, section 9.2).
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
/// [`Kind::BadRequest`], [`Kind::TicketInvalid`], or [`Kind::TicketForgotten`] if the ticket's
/// key phase was rotated away.
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

/// The answer to a request that is refused before anything is decided about it. Under a key that
/// may be real, another copy may have run, here or elsewhere: "not run" would be a guess.
pub fn refusal(kind: Kind, headers: &HeaderMap) -> Answer {
    let keyed = headers.contains_key(IDEMPOTENCY_KEY) && kind != Kind::TicketInvalid;
    match kind.answer().outcome {
        Outcome::NotRun if keyed => Answer::error(kind, Outcome::Unknown),
        outcome => Answer::error(kind, outcome),
    }
}

/// How long the caller waits, at most as long as the service allows.
///
/// # Errors
///
/// [`Kind::BadRequest`].
pub fn time_limit(service: &Service, headers: &HeaderMap) -> Result<Duration, Kind> {
    let most = Duration::from_millis(service.deadline_ms);
    let Some(value) = headers.get(DEADLINE) else {
        return Ok(most);
    };
    let text = value.to_str().map_err(|_| Kind::BadRequest)?;
    let millis = text.parse().map_err(|_| Kind::BadRequest)?;
    Ok(Duration::from_millis(millis).min(most))
}

/// Tells requests under one key apart: method, path, length and the body, of a large one its
/// beginning.
pub fn digest(request: &Request<()>, source: &Source) -> Digest {
    let mut context = Context::new(&SHA256);
    let length = source.length().map_or(0, |length| length + 1);
    for part in [
        request.method().as_str().as_bytes(),
        b"\0",
        path(request).as_bytes(),
        b"\0",
        &length.to_be_bytes(),
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
