//! Rendezvous hashing: every process ranks the candidates for a flow in the same order.

use std::net::SocketAddrV4;

use xxhash_rust::xxh3::{Xxh3, xxh3_64};

use super::Key;

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
    Ranker::new(flow).rank(candidate)
}

/// Ranks many candidates for one flow.
#[derive(Debug, Clone, Copy)]
pub struct Ranker {
    /// The flow's addresses, then the candidate's. One hash without state for each candidate, since
    /// placement ranks all upstreams of a zone.
    bytes: [u8; 3 * ADDRESS_BYTES],
}

impl Ranker {
    /// Ranks candidates for `flow`.
    pub fn new(flow: &Key) -> Self {
        let mut ranker = Self {
            bytes: [0; 3 * ADDRESS_BYTES],
        };
        ranker.write(0, flow.client);
        ranker.write(ADDRESS_BYTES, flow.route);
        ranker
    }

    /// The same as [`rank`].
    #[inline]
    pub fn rank(&mut self, candidate: SocketAddrV4) -> u64 {
        self.write(2 * ADDRESS_BYTES, candidate);
        xxh3_64(&self.bytes)
    }

    /// Writes an address in network byte order.
    #[inline]
    fn write(&mut self, at: usize, address: SocketAddrV4) {
        let [a, b, c, d] = address.ip().octets();
        let [high, low] = address.port().to_be_bytes();
        if let Some(target) = self.bytes.get_mut(at..at + ADDRESS_BYTES) {
            target.copy_from_slice(&[a, b, c, d, high, low]);
        }
    }
}

/// Hashes an address in network byte order.
fn hash_address(hasher: &mut Xxh3, address: SocketAddrV4) {
    hasher.update(&address.ip().octets());
    hasher.update(&address.port().to_be_bytes());
}
