//! Tests of the announcements that a process keeps.

use std::time::{Duration, Instant};

use sassafrasmast_core::{Announcement, Blackboard, announcement::ANNOUNCEMENT_TTL};

/// Guards against an agent that is ignored for as long as the process runs, since the clock of its VM
/// was set back before it started.
#[test]
fn an_agent_that_started_earlier_by_the_clock_is_kept_once_its_predecessor_has_expired() {
    let blackboard = Blackboard::new(16);
    let now = Instant::now();
    let announcement = |incarnation, last_seen| Announcement {
        service: "booking".into(),
        zone: "zone-a".into(),
        agent: "10.0.0.1:7000".parse().unwrap(),
        upstream: "10.0.0.1:8080".parse().unwrap(),
        slots: 1,
        connections: 1,
        incarnation,
        last_seen,
    };
    assert!(blackboard.insert_announcement(now, announcement(5_000, now)));
    assert!(!blackboard.insert_announcement(now, announcement(2_600, now)));
    let later = now + ANNOUNCEMENT_TTL + Duration::from_millis(1);
    assert!(blackboard.insert_announcement(later, announcement(2_600, later)));
}
