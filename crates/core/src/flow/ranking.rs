//! Rendezvous hashing: every process ranks the candidates for a flow in the same order.

use std::net::SocketAddrV4;

use xxhash_rust::xxh3::{Xxh3, xxh3_64};

use super::Key;

/// Bytes of an IP address.
const IP_BYTES: usize = 4;

/// Bytes of an IP address and a port.
const ADDRESS_BYTES: usize = 6;

/// Hash of a flow that is the same in each process and build. `salt` makes the hashes of different
/// uses independent.
pub fn hash(flow: &Key, salt: &str) -> u64 {
    let mut hasher = Xxh3::new();
    hash_address(&mut hasher, flow.client);
    hash_address(&mut hasher, flow.route);
    hasher.update(salt.as_bytes());
    hasher.digest()
}

/// Rendezvous hash of a candidate for a flow; the candidate with the highest value is preferred.
///
/// ```
/// use sassafrasmast_core::flow::{Key, ranking};
/// let flow = Key {
///     client: "10.0.0.1:40000".parse().unwrap(),
///     route: "10.0.0.2:443".parse().unwrap(),
/// };
/// let candidate = "10.0.0.3:7000".parse().unwrap();
/// assert_eq!(ranking::rank(&flow, candidate), ranking::rank(&flow, candidate));
/// ```
pub fn rank(flow: &Key, candidate: SocketAddrV4) -> u64 {
    // Without a hasher's state, since placement ranks all upstreams of a zone.
    let mut bytes = [0; 3 * ADDRESS_BYTES];
    let addresses = [flow.client, flow.route, candidate];
    for (target, address) in bytes.chunks_exact_mut(ADDRESS_BYTES).zip(addresses) {
        let (ip, port) = target.split_at_mut(IP_BYTES);
        ip.copy_from_slice(&address.ip().octets());
        port.copy_from_slice(&address.port().to_be_bytes());
    }
    xxh3_64(&bytes)
}

/// Hashes an address in network byte order.
fn hash_address(hasher: &mut Xxh3, address: SocketAddrV4) {
    hasher.update(&address.ip().octets());
    hasher.update(&address.port().to_be_bytes());
}
