//! Outcome of a confirm.

use sassafrasmast_wire::ConfigVersion;

use super::{Document, Error};

/// Outcome of a confirm, as far as the store's replies tell.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub enum Outcome {
    /// The plan is in force as this version.
    Confirmed {
        /// Version that the plan produced.
        version: ConfigVersion,
        /// The latest document seen, at least of that version.
        document: Box<Document>,
    },
    /// Another plan was confirmed on the same base first; this one is not and will not be in force.
    Conflict {
        /// Version the plan is based on.
        base: ConfigVersion,
        /// Version found in the store.
        current: ConfigVersion,
    },
    /// The base is so old that the store no longer records whether this operation was confirmed.
    Forgotten {
        /// Version the plan is based on.
        base: ConfigVersion,
        /// Version found in the store.
        current: ConfigVersion,
    },
    /// The store holds a lower version than the plan's base or than the version in force in this
    /// process. Nothing was written.
    StoreBehind {
        /// Version in the store; 0 if it has no document.
        stored: ConfigVersion,
        /// Version known to be in force.
        known: ConfigVersion,
    },
    /// The plan's digest does not match its base and changes.
    Altered,
    /// The changes violate a rule of the configuration.
    Refused(Error),
    /// The store did not reply and this attempt wrote nothing; an earlier attempt with the same
    /// operation id may have.
    NotConfirmed,
    /// The store stopped replying after a write was sent, so the plan may or may not be in force.
    /// Confirming again with the same operation id returns the actual outcome.
    Unsettled,
}
