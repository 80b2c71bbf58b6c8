//! Delivery of packets: a client's to the upstream, the upstream's to the client.

use std::{net::SocketAddrV4, time::Instant};

use super::{Action, Agent, Flow, Phase};
use crate::flow::{Head, Key, Purpose, Reason, Revision};

/// A packet that a balancer delivers.
#[derive(Debug, Clone, Copy)]
pub struct Delivery<'a> {
    /// Why it was sent here.
    pub purpose: Purpose,
    /// Service that a SYN is meant for; empty otherwise.
    pub service: &'a str,
    /// Revision in force at the balancer.
    pub sender_revision: Revision,
    /// The packet's head.
    pub head: &'a Head,
    /// The packet.
    pub packet: &'a [u8],
}

impl Agent {
    /// Handles a client's packet that a balancer sent.
    pub fn deliver(
        &mut self,
        now: Instant,
        from: SocketAddrV4,
        delivery: &Delivery<'_>,
        actions: &mut Vec<Action>,
    ) {
        let flow = delivery.head.client_flow();
        if self.settings.reports_speed {
            self.work.record_sender(now, from, delivery.head.opens());
        }
        if delivery.head.opens() {
            self.open(now, from, flow, delivery, actions);
        } else {
            self.forward(now, from, flow, delivery, actions);
        }
        self.update_busy(now, flow);
        self.make_offers(now, actions);
    }

    /// Handles a client's packet other than a SYN.
    fn forward(
        &mut self,
        now: Instant,
        from: SocketAddrV4,
        flow: Key,
        delivery: &Delivery<'_>,
        actions: &mut Vec<Action>,
    ) {
        if self.hold(now, from, flow, delivery, actions) {
            return;
        }
        let is_absent = self.is_absent(now, &flow);
        let has_room = self.flows.len() < self.settings.max_flows;
        // Counted for packets that may bring a request, not for acknowledgements.
        let in_progress = match delivery.head.data_len {
            0 => 0,
            _ => self.requests_in_progress(now),
        };
        match self.flows.get_mut(&flow) {
            Some(known) if known.is_held_elsewhere(delivery.head.acknowledgement) => {
                actions.push(Action::Missing { to: from, flow });
            }
            Some(known) => {
                if let Some(took) = known.opening_time(now, delivery.head) {
                    self.work.record_opening(took);
                }
                known.record_client_packet(now, from, delivery.head, in_progress);
                if delivery.purpose == Purpose::Find {
                    if known.phase() == Phase::Unconfirmed {
                        known.set_requester(from);
                    } else {
                        actions.push(Action::Found { to: from, flow });
                    }
                }
                actions.push(Action::ToUpstream);
            }
            None if is_absent => {
                actions.push(Action::Missing { to: from, flow });
            }
            None if !has_room => actions.push(Action::ToUpstream),
            None => {
                // The upstream is older than this agent, so only the upstream knows its flows.
                let mut unconfirmed = Flow::unconfirmed(now, from, delivery.packet);
                unconfirmed.record_client_packet(now, from, delivery.head, in_progress);
                if delivery.purpose == Purpose::Find {
                    unconfirmed.set_requester(from);
                }
                self.flows.insert(flow, unconfirmed);
                actions.push(Action::ToUpstream);
            }
        }
    }

    /// Handles a packet that the upstream sent or bounced.
    pub fn handle_upstream_packet(&mut self, now: Instant, head: &Head, actions: &mut Vec<Action>) {
        self.upstream.record_packet(now);
        if head.flags.bounced {
            self.handle_bounced(now, head, actions);
            self.update_busy(now, head.client_flow());
        } else {
            self.forward_to_client(now, head, actions);
            self.update_busy(now, head.upstream_flow());
        }
        self.make_offers(now, actions);
    }

    /// Forwards a packet of the upstream to its client and updates the flow.
    fn forward_to_client(&mut self, now: Instant, head: &Head, actions: &mut Vec<Action>) {
        let flow = head.upstream_flow();
        if head.flags.rst && self.handle_unconfirmed_reset(now, flow, actions) {
            return;
        }
        actions.push(Action::ToClient);
        let Some(known) = self.flows.get_mut(&flow) else {
            // The flow is older than this agent process.
            self.flows
                .insert(flow, Flow::from_upstream_packet(now, head));
            return;
        };
        let was_opening = known.phase() == Phase::Opening;
        if let Some((took, in_progress)) = known.record_upstream_packet(now, head) {
            let slots = self.upstream.slots();
            self.work.record_answer(took, in_progress, slots);
        }
        if let Some(requester) = known.take_requester() {
            actions.push(Action::Found {
                to: requester,
                flow,
            });
        }
        if head.flags.syn {
            self.upstream.record_acceptance();
        }
        if head.flags.syn
            && let Some(syn_sender) = known.syn_sender()
        {
            actions.push(Action::Accepted {
                to: syn_sender,
                flow,
                sequence: head.sequence,
                took: known.age(now),
            });
        }
        if was_opening {
            self.pending_syns.retain(|key| *key != flow);
        }
    }

    /// Handles a client's packet that the upstream bounced.
    fn handle_bounced(&mut self, now: Instant, head: &Head, actions: &mut Vec<Action>) {
        let flow = head.client_flow();
        let Some(known) = self.flows.get_mut(&flow) else {
            return;
        };
        if head.opens() {
            if known.phase() != Phase::Opening {
                return;
            }
            if let Some(to) = known.syn_sender() {
                let reason = Reason::Shed;
                actions.push(Action::Return { to, reason });
            }
            known.record_bounce(now);
            let busy = self.busy(now);
            self.upstream.record_full(busy);
            self.upstream.record_bounce(now);
            self.pending_syns.retain(|key| *key != flow);
            return;
        }
        let was_held = known.phase() == Phase::Open && !known.is_closing();
        let to = known.last_sender();
        let requester = known.take_requester();
        self.flows.remove(&flow);
        self.record_absent(now, flow);
        actions.push(match requester {
            Some(to) => Action::Absent { to, flow },
            None => Action::Missing { to, flow },
        });
        if was_held && self.upstream.record_lost_flow() {
            self.handle_restart(actions);
        }
    }
}
