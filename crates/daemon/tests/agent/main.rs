//! Tests of the agent role in one process, with a fake balancer that forwards frames, a fake
//! upstream and HTTP/3 callers.

#![allow(
    clippy::unwrap_used,
    reason = "a failed step has to fail its test, in helpers too"
)]

mod answers;
mod balancer;
mod caller;
mod document;
mod flows;
mod harness;
mod once;
mod relay;
mod stress;
mod upstream;
