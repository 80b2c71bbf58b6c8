//! Announcement of an upstream.

use std::time::Duration;

use sassafrasmast_wire::Incarnation;

/// An announcement by which an upstream states its identity and state.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Announcement {
    /// Name of the upstream.
    pub id: String,
    /// Start time of the upstream, in milliseconds since the Unix epoch.
    pub incarnation: Incarnation,
    /// Increases with each announcement of one incarnation.
    pub sequence: u64,
    /// Whether the upstream is draining.
    pub draining: bool,
    /// Requests that the upstream processes concurrently.
    pub slots: u16,
    /// Remaining time of the cold period.
    pub cold_left: Duration,
}

impl Announcement {
    /// Whether another announcement is of the same incarnation of the same upstream.
    ///
    /// ```
    /// use std::time::Duration;
    /// use sassafrasmast_core::flow::agent::Announcement;
    /// let first = Announcement {
    ///     id: "i-1".into(),
    ///     incarnation: 2_600,
    ///     sequence: 1,
    ///     draining: false,
    ///     slots: 5,
    ///     cold_left: Duration::ZERO,
    /// };
    /// let next = Announcement { sequence: 2, ..first.clone() };
    /// assert!(first.is_same_upstream(&next));
    /// ```
    pub fn is_same_upstream(&self, other: &Self) -> bool {
        self.incarnation == other.incarnation && self.id == other.id
    }
}
