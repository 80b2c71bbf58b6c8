//! Proof that an incarnation of the upstream runs.

use std::time::{Duration, Instant};

/// Announcements that prove that an incarnation runs, if no other one sent any between them: two
/// intervals, in which an upstream that runs announces itself.
const CONFIRMING_ANNOUNCEMENTS: u32 = 3;

/// Shortest time between announcements that count. Those that were held up on the way arrive together.
const MIN_SPACING: Duration = Duration::from_millis(500);

/// Announcements of one incarnation of the upstream since another one was heard of.
#[derive(Debug, Clone, Copy)]
pub struct Confirmation {
    counted_at: Instant,
    counted: u32,
}

impl Confirmation {
    /// The first announcement.
    pub fn new(now: Instant) -> Self {
        Self {
            counted_at: now,
            counted: 1,
        }
    }

    /// Records a further announcement.
    pub fn record(&mut self, now: Instant) {
        if now.saturating_duration_since(self.counted_at) >= MIN_SPACING {
            self.counted_at = now;
            self.counted += 1;
        }
    }

    /// Whether the announcements prove that the incarnation runs.
    ///
    /// ```
    /// use std::time::{Duration, Instant};
    /// use sassafrasmast_core::flow::agent::Confirmation;
    /// let now = Instant::now();
    /// let mut confirmation = Confirmation::new(now);
    /// confirmation.record(now);
    /// confirmation.record(now + Duration::from_secs(1));
    /// assert!(!confirmation.is_complete());
    /// confirmation.record(now + Duration::from_secs(2));
    /// assert!(confirmation.is_complete());
    /// ```
    pub fn is_complete(&self) -> bool {
        self.counted >= CONFIRMING_ANNOUNCEMENTS
    }
}
