//! What became of a confirm.

use sassafrasmast_wire::ConfigVersion;

use super::{Document, Error};

/// The truth about a confirm, as far as it can be known.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub enum Verdict {
    /// The plan is in force as this version.
    Confirmed {
        /// Version that the plan produced.
        version: ConfigVersion,
        /// The latest document seen, at least of that version.
        document: Box<Document>,
    },
    /// Another plan came first; this one is not and will not be in force.
    Conflict {
        /// Version the plan was made for.
        base: ConfigVersion,
        /// Version found.
        current: ConfigVersion,
    },
    /// The base is so old that the store no longer tells whether this operation was confirmed.
    Forgotten {
        /// Version the plan was made for.
        base: ConfigVersion,
        /// Version found.
        current: ConfigVersion,
    },
    /// The store holds a lower version than the plan was made for or than is in force here.
    /// Nothing is confirmed on it.
    StoreBehind {
        /// Version the store holds; 0 for none.
        stored: ConfigVersion,
        /// Version known to be in force.
        known: ConfigVersion,
    },
    /// The plan's digest is not the one of its base and changes.
    Altered,
    /// The changes break a rule of the configuration.
    Refused(Error),
    /// The store could not be reached and nothing was written.
    NotConfirmed,
    /// The store stopped answering after a write was sent. It may or may not be in force; the
    /// same operation id settles it later.
    Unsettled,
}
