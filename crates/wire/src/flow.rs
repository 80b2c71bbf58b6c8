//! Frames of flow forwarding. They carry packets whose payload the system does not interpret.

mod attempt;
mod body;
mod frame;
mod key;
mod priority;
mod purpose;
mod question;
mod reason;
mod report;
mod state;

pub use self::{
    attempt::Attempt,
    body::Body,
    frame::{Frame, MAX_BYTES, VERSION},
    key::Key,
    priority::Priority,
    purpose::Purpose,
    question::Question,
    reason::Reason,
    report::Report,
    state::State,
};

/// Store revision that an intent reflects: the one of the complete listing that it was read from,
/// or of the last change applied since. An intent is never replaced by one with a lower revision.
pub type Revision = u64;
