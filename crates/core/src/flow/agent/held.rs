//! Requests on open flows that wait at the agent until their upstream has room.

use std::{
    collections::{BTreeMap, HashMap},
    net::SocketAddrV4,
    time::{Duration, Instant},
};

use crate::flow::{Head, Key, Priority};

/// Time after which a held packet is delivered at the next tick: a client sends it again after 200 ms,
/// and a process ticks every 20 ms.
const MAX_TIME: Duration = Duration::from_millis(180);

/// Limit of the bytes held, some forty full packets: a process has a few megabytes.
const MAX_BYTES: usize = 65_536;

/// A held packet.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct HeldPacket {
    /// The packet's head.
    pub head: Head,
    /// The balancer that sent it.
    pub from: SocketAddrV4,
    /// The packet.
    pub bytes: Box<[u8]>,
}

/// A held request: the packets of a flow since the first held one, in the order of their arrival.
#[derive(Debug)]
struct Request {
    class: Priority,
    late_at: Instant,
    /// Number of the request, in the order of arrival.
    number: u64,
    held_at: Instant,
    packets: Vec<HeldPacket>,
}

/// Held requests, at most one of a flow.
///
/// Load answered: requests of a less critical class on open flows, which need no SYN, in front of
/// critical ones that do. Each operation costs O(log n).
#[derive(Debug, Default)]
pub struct Held {
    requests: HashMap<Key, Request>,
    /// The order in which requests are delivered.
    order: BTreeMap<Priority, BTreeMap<(Instant, u64), Key>>,
    by_arrival: BTreeMap<u64, Key>,
    bytes: usize,
    numbered: u64,
}

impl Held {
    /// Whether nothing is held.
    pub fn is_empty(&self) -> bool {
        self.requests.is_empty()
    }

    /// Number of held requests.
    pub fn len(&self) -> usize {
        self.requests.len()
    }

    /// Bytes of all held packets.
    pub fn bytes(&self) -> usize {
        self.bytes
    }

    /// Whether a packet of `len` bytes may be held too.
    pub fn has_space(&self, len: usize) -> bool {
        self.bytes + len <= MAX_BYTES
    }

    /// Whether a request of the flow is held.
    pub fn contains(&self, flow: &Key) -> bool {
        self.requests.contains_key(flow)
    }

    /// Classes with held requests.
    pub fn classes(&self) -> impl Iterator<Item = Priority> {
        self.order.keys().copied()
    }

    /// Holds the first packet of a request.
    pub fn hold(
        &mut self,
        now: Instant,
        flow: Key,
        class: Priority,
        late_at: Instant,
        packet: HeldPacket,
    ) {
        self.numbered += 1;
        self.bytes += packet.bytes.len();
        let of_class = self.order.entry(class).or_default();
        of_class.insert((late_at, self.numbered), flow);
        self.by_arrival.insert(self.numbered, flow);
        let request = Request {
            class,
            late_at,
            number: self.numbered,
            held_at: now,
            packets: vec![packet],
        };
        self.requests.insert(flow, request);
    }

    /// Holds a further packet of a held request, unless it is a copy of one.
    pub fn append(&mut self, flow: &Key, packet: HeldPacket) {
        let Some(request) = self.requests.get_mut(flow) else {
            return;
        };
        let is_copy = |held: &HeldPacket| {
            held.head.sequence == packet.head.sequence && held.head.data_len == packet.head.data_len
        };
        if !request.packets.iter().any(is_copy) {
            self.bytes += packet.bytes.len();
            request.packets.push(packet);
        }
    }

    /// The flow of the request of a class that is to be delivered next.
    pub fn first_of(&self, class: Priority) -> Option<Key> {
        let (_, flow) = self.order.get(&class)?.first_key_value()?;
        Some(*flow)
    }

    /// The flow of a request that was held for the longest time allowed.
    pub fn first_due(&self, now: Instant) -> Option<Key> {
        let (_, flow) = self.by_arrival.first_key_value()?;
        let request = self.requests.get(flow)?;
        let held_for = now.saturating_duration_since(request.held_at);
        (held_for >= MAX_TIME).then_some(*flow)
    }

    /// Takes out the class and the packets of a flow's held request.
    pub fn take(&mut self, flow: &Key) -> Option<(Priority, Vec<HeldPacket>)> {
        let request = self.requests.remove(flow)?;
        if let Some(of_class) = self.order.get_mut(&request.class) {
            of_class.remove(&(request.late_at, request.number));
            if of_class.is_empty() {
                self.order.remove(&request.class);
            }
        }
        self.by_arrival.remove(&request.number);
        let bytes = request.packets.iter().map(|packet| packet.bytes.len());
        self.bytes -= bytes.sum::<usize>();
        Some((request.class, request.packets))
    }

    /// Removes the requests of flows that `is_kept` does not hold for.
    pub fn retain(&mut self, is_kept: impl Fn(&Key) -> bool) {
        let flows: Vec<Key> = self.by_arrival.values().copied().collect();
        for flow in flows.iter().filter(|flow| !is_kept(flow)) {
            self.take(flow);
        }
    }
}
