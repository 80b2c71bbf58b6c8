//! A client's request and its attempts.

use std::time::Duration;

/// Attempts of a client: the first one and two retries.
pub const ATTEMPTS: u32 = 3;

/// A request of a client over all its attempts.
#[derive(Debug)]
pub struct Client {
    /// Its class, by its number in [`super::Scenario::classes`].
    pub class: usize,
    pub arrived_at: Duration,
    pub attempts_left: u32,
    /// Requests that follow this one on its flow.
    pub to_follow: u32,
    pub is_answered: bool,
}

/// An attempt, which has a flow of its own.
#[derive(Debug, Clone)]
pub struct Attempt {
    pub client: usize,
    pub balancer: usize,
    pub began_at: Duration,
    /// The upstream whose SYN-ACK the client acknowledges.
    pub upstream: Option<usize>,
    /// When its request arrived at the upstream.
    pub requested_at: Duration,
    /// Requests that were sent on the flow before the current one.
    pub sent: u32,
    pub is_over: bool,
}
