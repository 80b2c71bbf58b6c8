//! What an upstream says of itself.

use std::time::Duration;

use sassafrasmast_wire::Incarnation;

/// What an upstream says of itself in one announcement.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Announcement {
    /// Its name.
    pub id: String,
    /// Its start, in milliseconds since the Unix epoch.
    pub started: Incarnation,
    /// Grows with each announcement of one start.
    pub sequence: u64,
    /// It is leaving.
    pub draining: bool,
    /// Requests that it handles at once.
    pub slots: u16,
    /// How long it stays cold.
    pub cold_left: Duration,
}
