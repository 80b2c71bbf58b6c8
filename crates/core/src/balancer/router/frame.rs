//! What becomes of a frame from another process.

use std::time::Instant;

use sassafrasmast_wire::{
    Address, AgentId, Body, ConfigVersion, Frame, Incarnation, Load, ServiceId,
};

use crate::{
    Announcement,
    balancer::{
        Action, Counters, Reason,
        prober::HEADER_BYTES,
        table::{Entry, Table},
    },
};

use super::{MAX_DATAGRAM_BYTES, Router, lock};

/// How often one first datagram may be handed back.
const MAX_ATTEMPTS: u8 = 3;

/// A first datagram that an agent handed back.
struct Returned<'a> {
    service: ServiceId,
    refuser: AgentId,
    attempt: u8,
    caller: Address,
    payload: &'a [u8],
}

impl<'a> Returned<'a> {
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

/// The admitted agent that a frame came from.
struct Sender<'a> {
    agent: AgentId,
    entry: &'a Entry,
}

impl<'a> Sender<'a> {
    fn of(table: &'a Table, from: Address) -> Option<Self> {
        let &agent = table.addresses.get(&from)?;
        let entry = table.entries.get(&agent)?;
        Some(Self { agent, entry })
    }
}

impl Router {
    /// Takes one datagram that came to the address for frames and appends what to do.
    pub fn receive<'a>(
        &self,
        now: Instant,
        from: Address,
        datagram: &'a [u8],
        actions: &mut Vec<Action<'a>>,
    ) {
        let Ok(frame) = Frame::decode(datagram) else {
            return Counters::add(&self.counters.malformed_frames);
        };
        if self.gate.was_paused(now) {
            self.hold(now);
        }
        let table = self.table(now);
        let sender = table.as_deref().and_then(|table| Sender::of(table, from));
        match frame.body {
            Body::Outbound { .. } | Body::Handback { .. } | Body::Inbound { .. } => {}
            _ => {
                let bytes = datagram.len() as u64 + HEADER_BYTES;
                self.prober.charge(now, bytes);
            }
        }
        if sender.is_some() || self.trusts(from) {
            self.compare(now, from, frame.config, actions);
        }
        match (table.as_deref(), sender) {
            (Some(table), Some(sender)) => self.hear(now, table, &sender, frame.body, actions),
            _ => self.hear_stranger(now, from, frame, actions),
        }
    }

    /// Compares the sender's config version with ours.
    fn compare(
        &self,
        now: Instant,
        from: Address,
        theirs: ConfigVersion,
        actions: &mut Vec<Action<'_>>,
    ) {
        self.gate.heard(now, theirs);
        let ours = self.blackboard.version();
        if theirs > ours && lock(&self.pulls).greet(now, from) {
            actions.push(Action::PullConfig {
                from,
                version: theirs,
            });
        }
        if theirs < ours {
            self.prober.greet(now, from, actions);
        }
    }

    /// Takes a frame of an admitted agent.
    fn hear<'a>(
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
                if self.is_from(sender, agent, service) {
                    self.report(now, sender, incarnation, load);
                    Counters::add(&self.counters.delivered);
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
                if !self.is_from(sender, agent, service) {
                    return;
                }
                self.report(now, sender, incarnation, load);
                sender.entry.member().refuse(now);
                let returned = Returned {
                    service,
                    refuser: agent,
                    attempt,
                    caller,
                    payload,
                };
                self.place_again(now, table, &returned, actions);
            }
            control => self.hear_control(now, sender, control),
        }
    }

    /// Takes a frame of an admitted agent that carries no caller's datagram.
    fn hear_control(&self, now: Instant, sender: &Sender<'_>, body: Body<'_>) {
        match body {
            Body::Report {
                nonce,
                service,
                agent,
                incarnation,
                load,
            } => {
                self.gate.answered(now, nonce);
                let (Some(agent), Some(service)) = (agent, service) else {
                    return; // Admitted, but it does not know yet: it takes no flows.
                };
                if self.is_from(sender, agent, service) {
                    self.report(now, sender, incarnation, load);
                }
            }
            Body::Announce { .. } => self.blackboard.remove_announcement(sender.entry.address),
            Body::Hello => {}
            _ => Counters::add(&self.counters.foreign_frames),
        }
    }

    /// Takes a frame of a process that is no admitted agent.
    fn hear_stranger(
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
                if frame.config < self.blackboard.version() {
                    self.prober.greet(now, from, actions);
                }
            }
            Body::Hello if self.trusts(from) => {}
            _ => Counters::add(&self.counters.foreign_frames),
        }
    }

    /// Places a first datagram that was handed back on another agent.
    fn place_again<'a>(
        &self,
        now: Instant,
        table: &Table,
        returned: &Returned<'a>,
        actions: &mut Vec<Action<'a>>,
    ) {
        let placed = match returned {
            returned if returned.attempt >= MAX_ATTEMPTS => Err(Reason::Attempts),
            returned if returned.payload.len() > MAX_DATAGRAM_BYTES => Err(Reason::Oversize),
            returned => self.place(now, table, returned.service, Some(returned.refuser)),
        };
        match placed {
            Ok((agent, to)) => {
                Counters::add(&self.counters.replaced);
                actions.push(Action::Send {
                    to,
                    body: returned.inbound(agent),
                });
            }
            Err(reason) => self.counters.discard(reason),
        }
    }

    /// Whether a frame names its sender and the sender's service.
    fn is_from(&self, sender: &Sender<'_>, agent: AgentId, service: ServiceId) -> bool {
        let is_from = agent == sender.agent && service == sender.entry.service;
        if !is_from {
            Counters::add(&self.counters.foreign_frames);
        }
        is_from
    }

    fn report(&self, now: Instant, sender: &Sender<'_>, incarnation: Incarnation, load: Load) {
        let mut member = sender.entry.member();
        member.report(now, incarnation, load);
        let heat = member.changed && member.warm();
        drop(member);
        sender.entry.area.hear(self.micros(now));
        if heat {
            self.prober.heat(sender.agent);
        }
    }
}
