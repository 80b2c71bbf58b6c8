//! Which balancers are to be told the time that the upstream takes for a request.

use std::{
    collections::BTreeMap,
    net::SocketAddrV4,
    time::{Duration, Instant},
};

/// Shortest interval between two figures to a balancer.
const MIN_INTERVAL: Duration = Duration::from_millis(200);

/// A figure that has not changed is repeated to a balancer that sends frames after this time, in case
/// the last one was lost.
const REPEAT_INTERVAL: Duration = Duration::from_secs(2);

/// A figure counts as changed if it differs by one part in this many from the one last sent.
const CHANGE_DIVISOR: u32 = 8;

/// A balancer that has placed no flow for this long gets no figures any more.
const EXPIRY: Duration = Duration::from_secs(20);

/// What a balancer was told.
#[derive(Debug)]
struct Recipient {
    placed_at: Instant,
    last_frame_at: Instant,
    sent: Option<(Duration, Instant)>,
}

impl Recipient {
    /// Whether the balancer is to be told `time`.
    fn is_due(&self, now: Instant, time: Duration) -> bool {
        let Some((sent, at)) = self.sent else {
            return true;
        };
        let since = now.saturating_duration_since(at);
        let is_changed = sent.abs_diff(time) >= sent / CHANGE_DIVISOR;
        let is_repeated = since >= REPEAT_INTERVAL && self.last_frame_at > at;
        since >= MIN_INTERVAL && (is_changed || is_repeated)
    }
}

/// Balancers that place flows at the upstream, and what each was told.
#[derive(Debug, Default)]
pub struct SpeedReports {
    recipients: BTreeMap<SocketAddrV4, Recipient>,
}

impl SpeedReports {
    /// Records a packet from a balancer, which brings a new flow or not.
    pub fn record_packet(&mut self, now: Instant, balancer: SocketAddrV4, opens: bool) {
        if let Some(recipient) = self.recipients.get_mut(&balancer) {
            recipient.last_frame_at = now;
            if opens {
                recipient.placed_at = now;
            }
        } else if opens {
            let recipient = Recipient {
                placed_at: now,
                last_frame_at: now,
                sent: None,
            };
            self.recipients.insert(balancer, recipient);
        }
    }

    /// The balancers to which `time` is to be sent now, which are taken to have been sent it.
    ///
    /// ```
    /// use std::time::{Duration, Instant};
    /// use sassafrasmast_core::flow::agent::SpeedReports;
    /// let (now, balancer) = (Instant::now(), "10.0.0.1:7000".parse().unwrap());
    /// let mut reports = SpeedReports::default();
    /// reports.record_packet(now, balancer, true);
    /// assert_eq!(reports.take_due(now, Duration::from_millis(8)), [balancer]);
    /// let now = now + Duration::from_secs(1);
    /// assert_eq!(reports.take_due(now, Duration::from_micros(8_900)), []);
    /// assert_eq!(reports.take_due(now, Duration::from_millis(9)), [balancer]);
    /// ```
    pub fn take_due(&mut self, now: Instant, time: Duration) -> Vec<SocketAddrV4> {
        self.recipients
            .retain(|_, recipient| now.saturating_duration_since(recipient.placed_at) < EXPIRY);
        let mut due = Vec::new();
        for (balancer, recipient) in &mut self.recipients {
            if recipient.is_due(now, time) {
                recipient.sent = Some((time, now));
                due.push(*balancer);
            }
        }
        due
    }
}
