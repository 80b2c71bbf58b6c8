//! Positions in the store's history that intents reflect.

use sassafrasmast_core::flow::{self, Intent};
use sassafrasmast_store::{Position, Revision};
use serde_json::Value;

/// Position in the store's history that an intent reflects.
pub(crate) fn position(intent: &Intent) -> Position {
    position_of(intent.revision)
}

/// Position in the store's history of an intent's revision.
pub(crate) fn position_of(revision: flow::Revision) -> Position {
    Position::unpack(Revision::try_from(revision).unwrap_or(Revision::MAX))
}

/// The revision of an intent in a log line.
pub(crate) fn revision_field(revision: flow::Revision) -> Value {
    position_field(position_of(revision))
}

/// A position in a log line: the store's number, and the era before it if the store has come back
/// from an older copy.
pub(crate) fn position_field(position: Position) -> Value {
    match position.era {
        0 => position.number.into(),
        era => format!("{era}/{}", position.number).into(),
    }
}
