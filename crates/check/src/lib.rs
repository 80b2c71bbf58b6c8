//! Checks of configurations before they are written, and differences between two of them.
//!
//! No file format and no name of a platform is known here: a decoder fills in a [`Draft`] with
//! values and the places that they were read from, and adds what it could not decode as
//! [`Finding`]s of its own.
//!
//! - [`Draft`]: a document of routes, services and limits as far as it could be decoded.
//! - [`rules`]: what is checked in a draft.
//! - [`changes`]: what is checked in a list of changes.
//! - [`difference`]: what differs between two configurations, and what becomes of open flows.

pub mod changes;
pub mod difference;
pub mod draft;
mod entry;
mod finding;
mod lines;
pub mod rules;

pub use self::{
    difference::Difference,
    draft::Draft,
    entry::{Entry, Origin},
    finding::{Finding, Rule, Severity},
    lines::{Lines, Place},
};
