//! Ids of flows in the timeline.

use std::net::{IpAddr, SocketAddr};

use super::FlowId;

/// Offset basis of the 64-bit FNV-1a hash.
const OFFSET_BASIS: u64 = 0xcbf2_9ce4_8422_2325;

/// Prime of the 64-bit FNV-1a hash.
const PRIME: u64 = 0x0000_0100_0000_01b3;

/// Id of the flow of `caller`, the same in all processes.
///
/// ```
/// use sassafrasmast_core::timeline::flow_id;
/// let caller = "127.0.0.1:9".parse().unwrap();
/// assert_eq!(flow_id::of_caller(caller), flow_id::of_caller(caller));
/// ```
pub fn of_caller(caller: SocketAddr) -> FlowId {
    let hash = |hash: u64, byte: &u8| (hash ^ u64::from(*byte)).wrapping_mul(PRIME);
    let hashed = match caller.ip() {
        IpAddr::V4(ip) => ip.octets().iter().fold(OFFSET_BASIS, hash),
        IpAddr::V6(ip) => ip.octets().iter().fold(OFFSET_BASIS, hash),
    };
    caller.port().to_be_bytes().iter().fold(hashed, hash)
}
