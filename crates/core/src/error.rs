//! Error kinds of requests and the answer for each kind.

mod answer;
mod kind;
mod outcome;

pub use self::{answer::Answer, kind::Kind, outcome::Outcome};
