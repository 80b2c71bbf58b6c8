//! Holding of requests on open flows while the upstream has no room for their class.

use std::{
    collections::BTreeMap,
    net::SocketAddrV4,
    time::{Duration, Instant},
};

use super::{Action, Agent, Counts, Delivery, HeldPacket};
use crate::flow::{Key, Priority, Purpose};

/// Time without a held request after which holding counts as ended. Shorter gaps are usual at a load
/// near the capacity.
const HOLDING_GAP: Duration = Duration::from_secs(1);

impl Agent {
    /// Whether requests are held, or were within the last second.
    pub fn is_holding(&self, now: Instant) -> bool {
        let is_recent = |at: Instant| now.saturating_duration_since(at) < HOLDING_GAP;
        !self.held.is_empty() || self.last_held_at.is_some_and(is_recent)
    }

    /// Number of held requests.
    pub fn held_count(&self) -> usize {
        self.held.len()
    }

    /// What was done with the SYNs and requests of each class; empty if the service has no classes.
    pub fn class_counts(&self) -> &BTreeMap<Priority, Counts> {
        self.classes.counts()
    }

    /// Holds a client's packet if it brings a further request of its flow, for whose class the
    /// upstream has no room, or if it belongs to a held request. Returns whether it did.
    pub(super) fn hold(
        &mut self,
        now: Instant,
        from: SocketAddrV4,
        flow: Key,
        delivery: &Delivery<'_>,
        actions: &mut Vec<Action>,
    ) -> bool {
        let head = delivery.head;
        let ends = head.flags.fin || head.flags.rst;
        let is_held = self.held.contains(&flow);
        let len = delivery.packet.len();
        if is_held && head.flags.rst {
            self.drop_held(&flow);
            return false;
        }
        if is_held && (ends || head.data_len > 0 && !self.held.has_space(len)) {
            // What comes after the held packets must not overtake them.
            self.deliver_held(now, &flow, actions);
            return false;
        }
        if ends || head.data_len == 0 || !is_held && !self.is_to_be_held(now, &flow, delivery) {
            return false;
        }
        let Some(known) = self.flows.get_mut(&flow) else {
            return false;
        };
        known.record_arrival(now, from, head);
        if delivery.purpose == Purpose::Find {
            actions.push(Action::Found { to: from, flow });
        }
        let packet = HeldPacket {
            head: *head,
            from,
            bytes: delivery.packet.into(),
        };
        if is_held {
            self.held.append(&flow, packet);
            return true;
        }
        let intent = self.intent.as_deref();
        let class = self.classes.of(intent, &flow);
        let route = intent.and_then(|intent| intent.policy.routes.get(&flow.route));
        let objective = route.and_then(|route| route.latency_objective);
        let timeout = route.and_then(|route| route.timeout);
        self.held.hold(now, flow, class, objective, timeout, packet);
        self.last_held_at = Some(now);
        self.classes.count(class, |counts| counts.held += 1);
        true
    }

    /// Whether a packet begins a further request of its flow for whose class there is no room.
    fn is_to_be_held(&mut self, now: Instant, flow: &Key, delivery: &Delivery<'_>) -> bool {
        if self.classes.is_empty() || !self.upstream.state(now).accepts_flows() {
            return false;
        }
        let class = self.classes.of(self.intent.as_deref(), flow);
        let begins_request = self
            .flows
            .get(flow)
            .is_some_and(|known| known.begins_further_request(delivery.head));
        begins_request
            && !self.classes.is_most_critical(class)
            && self.held.has_space(delivery.packet.len())
            && self.room_for(now, Some(class)) <= self.offers.offered()
    }

    /// Drops held requests whose clients have given up, and delivers others while some are due.
    ///
    /// Load answered: open flows bring more requests than their upstream bears, and critical SYNs wait
    /// for it. Requests that are delivered regardless fill the queue of the upstream, which then has
    /// no room for a critical SYN.
    pub(super) fn deliver_due(&mut self, now: Instant, actions: &mut Vec<Action>) {
        while let Some(flow) = self.held.first_expired(now) {
            self.drop_held(&flow);
        }
        let most_critical = self.offers.classes().flatten().min();
        while let Some(class) = self.held.due_class(now)
            && self.busy(now) < self.held_limit(most_critical.is_some_and(|other| other < class))
            && let Some(flow) = self.held.first_of(now, class)
        {
            self.deliver_held(now, &flow, actions);
        }
    }

    /// Busy flows up to which requests that are due are delivered. While a more critical SYN waits, half
    /// of the upstream's queue is left to it.
    fn held_limit(&self, yields: bool) -> usize {
        let bearable = self.upstream.bearable();
        if yields {
            bearable.midpoint(usize::from(self.upstream.slots()))
        } else {
            bearable
        }
    }

    /// Drops the held request of a flow, whose client has given up.
    fn drop_held(&mut self, flow: &Key) {
        if let Some((class, _)) = self.held.take(flow) {
            self.classes.count(class, |counts| counts.expired += 1);
        }
    }

    /// Delivers the held request of a flow.
    pub(super) fn deliver_held(&mut self, now: Instant, flow: &Key, actions: &mut Vec<Action>) {
        let Some((class, packets)) = self.held.take(flow) else {
            return;
        };
        let in_progress = self.requests_in_progress(now);
        self.classes.count(class, |counts| counts.passed += 1);
        for HeldPacket { head, from, bytes } in packets {
            actions.push(match self.flows.get_mut(flow) {
                Some(known) => {
                    known.record_delivery(now, &head, in_progress);
                    Action::HeldToUpstream { packet: bytes }
                }
                // The flow has ended at the upstream meanwhile.
                None => Action::MissingBuffered {
                    to: from,
                    flow: *flow,
                    packet: bytes,
                },
            });
        }
        self.update_busy(now, *flow);
    }
}
