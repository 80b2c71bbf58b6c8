//! The balancer through which a caller is answered.

use std::{
    net::SocketAddr,
    time::{Duration, Instant},
};

use sassafrasmastd::quic::ReturnPaths;

fn address(port: u16) -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], port))
}

#[test]
fn caller_is_answered_through_balancer_of_its_last_datagram() {
    let mut return_paths = ReturnPaths::new(10);
    let now = Instant::now();
    assert_eq!(return_paths.balancer_for(address(1), now), None);
    assert!(return_paths.record_caller(address(1), address(100), now));
    assert!(return_paths.record_caller(address(1), address(200), now));
    assert_eq!(
        return_paths.balancer_for(address(1), now),
        Some(address(200))
    );
}

#[test]
fn silent_balancer_is_replaced_by_live_balancer() {
    let mut return_paths = ReturnPaths::new(10);
    let start = Instant::now();
    return_paths.record_caller(address(1), address(100), start);
    let later = start + Duration::from_secs(5);
    assert_eq!(
        return_paths.balancer_for(address(1), later),
        Some(address(100))
    );
    return_paths.record_balancer(address(200), later);
    assert_eq!(
        return_paths.balancer_for(address(1), later),
        Some(address(200))
    );
    return_paths.record_caller(address(1), address(100), later);
    assert_eq!(
        return_paths.balancer_for(address(1), later),
        Some(address(100))
    );
}

#[test]
fn table_is_bounded_and_removes_expired_callers() {
    let mut return_paths = ReturnPaths::new(2);
    let start = Instant::now();
    assert!(return_paths.record_caller(address(1), address(100), start));
    assert!(return_paths.record_caller(address(2), address(100), start));
    assert!(!return_paths.record_caller(address(3), address(100), start));
    assert!(return_paths.record_caller(address(2), address(100), start));
    let later = start + Duration::from_secs(40);
    return_paths.record_caller(address(2), address(100), later);
    return_paths.expire(start + Duration::from_secs(61));
    assert_eq!(return_paths.len(), 1);
    assert!(return_paths.record_caller(address(3), address(100), later));
}
