//! Requests on open flows that wait at the agent until their upstream has room.

use std::{
    collections::{BTreeMap, HashMap},
    net::SocketAddrV4,
    time::{Duration, Instant},
};

use crate::flow::{Head, Key, Priority, deadline};

/// Time after which a request without a latency objective is due: a client sends a packet again after
/// 200 ms, and a process ticks every 20 ms.
const MAX_TIME: Duration = Duration::from_millis(180);

/// A held request is due after its latency objective divided by this: it has yet to wait behind a few
/// others at the upstream, to run, and to be answered in time.
const DUE_DIVISOR: u32 = 4;

/// A request that was held for its latency objective divided by this will be late.
const LATE_DIVISOR: u32 = 2;

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
    due_at: Instant,
    /// When the client gives up, if its route has a time limit.
    expires_at: Option<Instant>,
    packets: Vec<HeldPacket>,
}

/// Held requests, at most one of a flow.
///
/// Load answered: requests of a less critical class on open flows, which need no SYN, in front of
/// critical ones that do. Each operation costs O(log n).
#[derive(Debug, Default)]
pub struct Held {
    requests: HashMap<Key, Request>,
    /// Held requests by the time at which they become late.
    order: BTreeMap<Priority, BTreeMap<(Instant, u64), Key>>,
    /// Held requests by the time at which they are due.
    by_due_time: BTreeMap<(Instant, u64), Key>,
    by_expiry: BTreeMap<(Instant, u64), Key>,
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

    /// Holds the first packet of a request, which has a latency objective and a time limit if operators
    /// configured these.
    pub fn hold(
        &mut self,
        now: Instant,
        flow: Key,
        class: Priority,
        objective: Option<Duration>,
        timeout: Option<Duration>,
        packet: HeldPacket,
    ) {
        let until_late = objective.map_or(MAX_TIME, |objective| objective / LATE_DIVISOR);
        let until_due = objective.map_or(MAX_TIME, |objective| objective / DUE_DIVISOR);
        let late_at = deadline(now, until_late);
        let due_at = now + until_due.min(MAX_TIME);
        let expires_at = timeout.map(|timeout| deadline(now, timeout));
        self.numbered += 1;
        self.bytes += packet.bytes.len();
        let of_class = self.order.entry(class).or_default();
        of_class.insert((late_at, self.numbered), flow);
        self.by_due_time.insert((due_at, self.numbered), flow);
        if let Some(expires_at) = expires_at {
            self.by_expiry.insert((expires_at, self.numbered), flow);
        }
        let request = Request {
            class,
            late_at,
            number: self.numbered,
            due_at,
            expires_at,
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

    /// The flow of the request of a class that is to be delivered next: the first that becomes late, and
    /// if all are, the one that became late last, since its client waits for the longest time yet.
    pub fn first_of(&self, now: Instant, class: Priority) -> Option<Key> {
        let of_class = self.order.get(&class)?;
        let on_time = of_class.range((now, 0)..).next();
        on_time.or(of_class.last_key_value()).map(|(_, flow)| *flow)
    }

    /// The class of a request that is due.
    pub fn due_class(&self, now: Instant) -> Option<Priority> {
        let ((due_at, _), flow) = self.by_due_time.first_key_value()?;
        let request = self.requests.get(flow)?;
        (*due_at <= now).then_some(request.class)
    }

    /// The flow of a request whose client has given up.
    pub fn first_expired(&self, now: Instant) -> Option<Key> {
        let ((expires_at, _), flow) = self.by_expiry.first_key_value()?;
        (*expires_at <= now).then_some(*flow)
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
        self.by_due_time.remove(&(request.due_at, request.number));
        if let Some(expires_at) = request.expires_at {
            self.by_expiry.remove(&(expires_at, request.number));
        }
        let bytes = request.packets.iter().map(|packet| packet.bytes.len());
        self.bytes -= bytes.sum::<usize>();
        Some((request.class, request.packets))
    }

    /// Removes the requests of flows that `is_kept` does not hold for.
    pub fn retain(&mut self, is_kept: impl Fn(&Key) -> bool) {
        let flows: Vec<Key> = self.by_due_time.values().copied().collect();
        for flow in flows.iter().filter(|flow| !is_kept(flow)) {
            self.take(flow);
        }
    }
}
