//! The way back to callers.

use std::{
    net::SocketAddr,
    time::{Duration, Instant},
};

use sassafrasmastd::quic::Link;

fn address(port: u16) -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], port))
}

#[test]
fn a_caller_is_answered_through_the_balancer_last_heard_from() {
    let mut link = Link::new(10);
    let now = Instant::now();
    assert_eq!(link.route(address(1), now), None);
    assert!(link.arrived(address(1), address(100), now));
    assert!(link.arrived(address(1), address(200), now));
    assert_eq!(link.route(address(1), now), Some(address(200)));
}

#[test]
fn a_silent_balancer_is_left_for_one_that_was_heard() {
    let mut link = Link::new(10);
    let start = Instant::now();
    link.arrived(address(1), address(100), start);
    let later = start + Duration::from_secs(5);
    assert_eq!(link.route(address(1), later), Some(address(100)));
    link.heard(address(200), later);
    assert_eq!(link.route(address(1), later), Some(address(200)));
    link.arrived(address(1), address(100), later);
    assert_eq!(link.route(address(1), later), Some(address(100)));
}

#[test]
fn the_table_is_bounded_and_forgets() {
    let mut link = Link::new(2);
    let start = Instant::now();
    assert!(link.arrived(address(1), address(100), start));
    assert!(link.arrived(address(2), address(100), start));
    assert!(!link.arrived(address(3), address(100), start));
    assert!(link.arrived(address(2), address(100), start));
    let later = start + Duration::from_secs(40);
    link.arrived(address(2), address(100), later);
    link.expire(start + Duration::from_secs(61));
    assert_eq!(link.len(), 1);
    assert!(link.arrived(address(3), address(100), later));
}
