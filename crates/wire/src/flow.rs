//! Frames of flow forwarding. They carry packets whose payload the system does not interpret.

mod body;
mod frame;
mod key;
mod purpose;
mod question;
mod reason;
mod report;
mod state;

pub use self::{
    body::Body,
    frame::{Frame, MAX_BYTES, VERSION},
    key::Key,
    purpose::Purpose,
    question::Question,
    reason::Reason,
    report::Report,
    state::State,
};

/// Revision of the operators' intent: the store's revision of its last change. Strictly increasing.
pub type Revision = u64;
