//! Replay of a recorded run through the decision logic under a virtual clock.
//!
//! A trace is a timeline in its file format, one JSON object per line, together with the
//! expectations that the replay has to meet. Each recorded input is fed to the decision logic of
//! the process that recorded it. Recorded hand-overs and answers are compared with those of the
//! replay; other events are skipped. Two invariants are checked for every trace, whatever its
//! expectations: requests with the same key are handed over at most once (not counting hand-overs
//! that the upstream refused or that did not reach it), and a request answered "not run" neither
//! ran nor runs later.

mod balancer;
mod checker;
mod decision;
mod error;
mod expectation;
mod player;
mod report;
mod trace;

pub use self::{
    decision::Decision, error::Error, expectation::Expectation, player::Player, report::Report,
    trace::Trace,
};
