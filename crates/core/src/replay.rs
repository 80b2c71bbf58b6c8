//! Replay of a recorded run through the same decisions under a virtual clock.
//!
//! A trace is the time line in its file format, one JSON object a line, together with the outcomes
//! that it has to have. Inputs are fed to the decisions of the process that recorded them. What
//! the recording tells of hand-overs and answers is compared with the replay; other events are
//! skipped. Two more things are checked of every trace, whatever it states: a key starts at most
//! once, and what was answered "not run" neither ran nor will.

mod balancer;
mod checker;
mod decision;
mod error;
mod outcome;
mod player;
mod report;
mod trace;

pub use self::{
    decision::Decision, error::Error, outcome::Outcome, player::Player, report::Report,
    trace::Trace,
};
