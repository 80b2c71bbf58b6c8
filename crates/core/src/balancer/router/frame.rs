//! Handling of frames from other processes.

use std::time::Instant;

use sassafrasmast_wire::{
    Address, AgentId, Body, ConfigVersion, Frame, Incarnation, Load, ServiceId,
};

use crate::{
    Announcement,
    balancer::{
        Action, Counters, Reason,
        prober::IPV4_UDP_HEADER_BYTES,
        table::{Entry, Table},
    },
};

use super::{MAX_DATAGRAM_BYTES, Router, lock};

/// Number of handbacks at which the first datagram of a flow is dropped.
const HANDBACKS_UNTIL_DROP: u8 = 3;

/// The first datagram of a flow that an agent handed back.
struct Handback<'a> {
    service: ServiceId,
    sender: AgentId,
    attempt: u8,
    caller: Address,
    payload: &'a [u8],
}

impl<'a> Handback<'a> {
    fn inbound(&self, agent: AgentId) -> Body<'a> {
        Body::Inbound {
            service: self.service,
            agent,
            incarnation: None,
            attempt: self.attempt,
            caller: self.caller,
            payload: self.payload,
        }
    }
}

/// The admitted agent that sent a frame.
struct Sender<'a> {
    agent: AgentId,
    entry: &'a Entry,
}

impl<'a> Sender<'a> {
    fn find(table: &'a Table, from: Address) -> Option<Self> {
        let &agent = table.addresses.get(&from)?;
        let entry = table.entries.get(&agent)?;
        Some(Self { agent, entry })
    }
}

impl Router {
    /// Handles one datagram that arrived at the address for frames, and appends the resulting
    /// actions to `actions`.
    pub fn receive<'a>(
        &self,
        now: Instant,
        from: Address,
        datagram: &'a [u8],
        actions: &mut Vec<Action<'a>>,
    ) {
        let Ok(frame) = Frame::decode(datagram) else {
            return Counters::increment(&self.counters.malformed_frames);
        };
        if self.gate.was_paused(now) {
            self.hold(now);
        }
        let table = self.table(now);
        let sender = table.as_deref().and_then(|table| Sender::find(table, from));
        match frame.body {
            Body::Outbound { .. } | Body::Handback { .. } | Body::Inbound { .. } => {}
            _ => {
                let bytes = datagram.len() as u64 + IPV4_UDP_HEADER_BYTES;
                self.prober.charge(now, bytes);
            }
        }
        if sender.is_some() || self.is_trusted_balancer(from) {
            self.compare_versions(now, from, frame.config_version, actions);
        }
        match (table.as_deref(), sender) {
            (Some(table), Some(sender)) => self.on_agent(now, table, &sender, frame.body, actions),
            _ => self.on_unadmitted(now, from, frame, actions),
        }
    }

    /// Records the frame at the gate, then compares the sender's config version with the local one:
    /// requests the configuration from a sender that is ahead, and sends a `Hello` to one that is
    /// behind.
    fn compare_versions(
        &self,
        now: Instant,
        from: Address,
        remote_version: ConfigVersion,
        actions: &mut Vec<Action<'_>>,
    ) {
        self.gate.record_frame(now, remote_version);
        let local_version = self.blackboard.version();
        if remote_version > local_version && lock(&self.pull_throttle).allow(now, from) {
            actions.push(Action::PullConfig {
                from,
                version: remote_version,
            });
        }
        if remote_version < local_version {
            self.prober.send_hello(now, from, actions);
        }
    }

    /// Handles a frame from an admitted agent.
    fn on_agent<'a>(
        &self,
        now: Instant,
        table: &Table,
        sender: &Sender<'_>,
        body: Body<'a>,
        actions: &mut Vec<Action<'a>>,
    ) {
        match body {
            Body::Outbound {
                service,
                agent,
                incarnation,
                caller,
                load,
                payload,
            } => {
                if self.check_sender(sender, agent, service) {
                    self.record_report(now, sender, incarnation, load);
                    Counters::increment(&self.counters.delivered);
                    actions.push(Action::Deliver {
                        service,
                        agent,
                        caller,
                        payload,
                    });
                }
            }
            Body::Handback {
                service,
                agent,
                incarnation,
                attempt,
                caller,
                load,
                payload,
            } => {
                if !self.check_sender(sender, agent, service) {
                    return;
                }
                self.record_report(now, sender, incarnation, load);
                sender.entry.health().record_handback(now);
                let handback = Handback {
                    service,
                    sender: agent,
                    attempt,
                    caller,
                    payload,
                };
                self.place_again(now, table, &handback, actions);
            }
            control => self.on_control(now, sender, control),
        }
    }

    /// Handles any other frame from an admitted agent.
    fn on_control(&self, now: Instant, sender: &Sender<'_>, body: Body<'_>) {
        match body {
            Body::Report {
                nonce,
                service,
                agent,
                incarnation,
                load,
            } => {
                self.gate.record_answer(now, nonce);
                let (Some(agent), Some(service)) = (agent, service) else {
                    return; // The agent does not know of its admission yet and accepts no flows.
                };
                if self.check_sender(sender, agent, service) {
                    self.record_report(now, sender, incarnation, load);
                }
            }
            Body::Announce { .. } => self.blackboard.remove_announcement(sender.entry.address),
            Body::Hello => {}
            _ => Counters::increment(&self.counters.foreign_frames),
        }
    }

    /// Handles a frame from a process that is not an admitted agent.
    fn on_unadmitted(
        &self,
        now: Instant,
        from: Address,
        frame: Frame<'_>,
        actions: &mut Vec<Action<'_>>,
    ) {
        match frame.body {
            Body::Announce {
                service,
                zone,
                upstream,
                incarnation,
                slots,
                connections,
            } if Announcement::is_valid_name(service) && Announcement::is_valid_name(zone) => {
                let announcement = Announcement {
                    service: service.to_owned(),
                    zone: zone.to_owned(),
                    agent: from,
                    upstream,
                    slots,
                    connections,
                    incarnation,
                    last_seen: now,
                };
                self.blackboard.insert_announcement(now, announcement);
                if frame.config_version < self.blackboard.version() {
                    self.prober.send_hello(now, from, actions);
                }
            }
            Body::Hello if self.is_trusted_balancer(from) => {}
            _ => Counters::increment(&self.counters.foreign_frames),
        }
    }

    /// Places the first datagram of a flow on another agent after a handback.
    fn place_again<'a>(
        &self,
        now: Instant,
        table: &Table,
        handback: &Handback<'a>,
        actions: &mut Vec<Action<'a>>,
    ) {
        let placed = match handback {
            handback if handback.attempt >= HANDBACKS_UNTIL_DROP => Err(Reason::Attempts),
            handback if handback.payload.len() > MAX_DATAGRAM_BYTES => Err(Reason::Oversize),
            handback => self.place(now, table, handback.service, Some(handback.sender)),
        };
        match placed {
            Ok((agent, to)) => {
                Counters::increment(&self.counters.placed_again);
                actions.push(Action::Send {
                    to,
                    body: handback.inbound(agent),
                });
            }
            Err(reason) => self.counters.count_dropped(reason),
        }
    }

    /// Whether a frame names its sender and the sender's service. Counts the frame if it does not.
    fn check_sender(&self, sender: &Sender<'_>, agent: AgentId, service: ServiceId) -> bool {
        let matches = agent == sender.agent && service == sender.entry.service;
        if !matches {
            Counters::increment(&self.counters.foreign_frames);
        }
        matches
    }

    fn record_report(
        &self,
        now: Instant,
        sender: &Sender<'_>,
        incarnation: Incarnation,
        load: Load,
    ) {
        let mut health = sender.entry.health();
        health.record_report(now, incarnation, load);
        let newly_prioritized = health.state_or_limit_changed && health.prioritize();
        drop(health);
        sender
            .entry
            .zone_state
            .record_report_time(self.elapsed_us(now));
        if newly_prioritized {
            self.prober.prioritize(sender.agent);
        }
    }
}
