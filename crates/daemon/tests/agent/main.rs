//! The agent role over small fakes in one process: a balancer that forwards frames, an upstream
//! and callers.

#![allow(
    clippy::unwrap_used,
    reason = "a step that fails has to fail its test, in helpers too"
)]

mod answers;
mod balancer;
mod caller;
mod document;
mod flows;
mod once;
mod relay;
mod site;
mod storm;
mod upstream;
