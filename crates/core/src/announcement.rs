//! An upstream that announced itself and waits to be admitted.

use std::time::{Duration, Instant};

use sassafrasmast_wire::{Address, Incarnation};

use crate::config::{ServiceName, ZoneName};

/// Upstreams remembered at once; more are refused until some fall silent.
pub const MAX_ANNOUNCEMENTS: usize = 8_192;

/// Silence after which an announcement no longer counts.
pub const ANNOUNCEMENT_LIFETIME: Duration = Duration::from_secs(10);

/// Bytes of a service's or zone's name that are accepted from the network.
pub const MAX_NAME_BYTES: usize = 64;

/// What an agent tells about its upstream before operators admit it.
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
    /// Requests the upstream runs at once.
    pub slots: u16,
    /// Connections the upstream holds at once.
    pub connections: u32,
    /// The agent's incarnation.
    pub incarnation: Incarnation,
    /// When it was last heard.
    pub heard: Instant,
}

impl Announcement {
    /// Whether the announcement still counts.
    pub fn is_live(&self, now: Instant) -> bool {
        now.saturating_duration_since(self.heard) <= ANNOUNCEMENT_LIFETIME
    }

    /// Whether a name from the network is acceptable: short, not empty and without control
    /// characters.
    ///
    /// ```
    /// use sassafrasmast_core::Announcement;
    /// assert!(Announcement::is_name("dispatch"));
    /// assert!(!Announcement::is_name("two\nlines"));
    /// ```
    pub fn is_name(text: &str) -> bool {
        !text.is_empty() && text.len() <= MAX_NAME_BYTES && !text.contains(char::is_control)
    }
}
