//! Announcements of upstreams that operators have not admitted yet.

use std::time::{Duration, Instant};

use sassafrasmast_wire::{Address, Incarnation};

use crate::config::{ServiceName, ZoneName};

/// Announcements kept at once; further ones are refused until older ones expire.
pub const MAX_ANNOUNCEMENTS: usize = 8_192;

/// Time since its last arrival after which an announcement expires.
pub const ANNOUNCEMENT_TTL: Duration = Duration::from_secs(10);

/// Longest service or zone name accepted in an announcement, in bytes. When the upstream is
/// admitted, the configuration also restricts the characters.
pub const MAX_ANNOUNCED_NAME_BYTES: usize = 64;

/// What an agent reports about its upstream before operators admit it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Announcement {
    /// Name of the service the upstream belongs to.
    pub service: ServiceName,
    /// Availability zone of the upstream.
    pub zone: ZoneName,
    /// Address of the agent.
    pub agent: Address,
    /// Address of the upstream itself.
    pub upstream: Address,
    /// Largest number of requests the upstream runs concurrently.
    pub slots: u16,
    /// Largest number of connections the upstream holds concurrently.
    pub connections: u32,
    /// The agent's incarnation.
    pub incarnation: Incarnation,
    /// When the latest announcement arrived.
    pub last_seen: Instant,
}

impl Announcement {
    /// Whether the announcement has not expired at `now`.
    pub fn is_live(&self, now: Instant) -> bool {
        now.saturating_duration_since(self.last_seen) <= ANNOUNCEMENT_TTL
    }

    /// Whether a name from the network is acceptable: 1 to [`MAX_ANNOUNCED_NAME_BYTES`] bytes
    /// without control characters.
    ///
    /// ```
    /// use sassafrasmast_core::Announcement;
    /// assert!(Announcement::is_valid_name("dispatch"));
    /// assert!(!Announcement::is_valid_name("two\nlines"));
    /// ```
    pub fn is_valid_name(text: &str) -> bool {
        !text.is_empty()
            && text.len() <= MAX_ANNOUNCED_NAME_BYTES
            && !text.contains(char::is_control)
    }
}
