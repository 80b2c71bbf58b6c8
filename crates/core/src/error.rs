//! The closed list of error kinds and the table from kind to answer.

mod answer;
mod kind;
mod outcome;

pub use self::{answer::Answer, kind::Kind, outcome::Outcome};
