//! What becomes of a caller's datagram.

use std::time::{Duration, Instant};

use sassafrasmast_wire::{AgentId, Cid, ServiceId, cid};

use crate::balancer::{
    Counters, Form, Header, Reason, Reset, Route,
    table::{Entry, Table},
};

use super::{MAX_DATAGRAM_BYTES, Router, lock};

/// Time in which packets that are on their way still reach a zone that was taken out, so that
/// their callers get an answer or a refusal instead of silence.
const ZONE_OUT_FORWARD_PERIOD: Duration = Duration::from_secs(1);

/// Time in which agents of a zone that was taken out close their flows themselves.
const ZONE_OUT_CLOSE_PERIOD: Duration = Duration::from_secs(2);

/// Age of a zone's last sign of life up to which its silent agents count as dead, not cut off.
const ZONE_ALIVE_AGE: Duration = Duration::from_secs(2);

/// What is needed of a packet after its header was read.
struct Packet<'a> {
    service: ServiceId,
    header: Header<'a>,
    bytes: usize,
}

impl Router {
    /// Decides on a datagram that came to the address of `service`.
    pub fn route(&self, now: Instant, service: ServiceId, datagram: &[u8]) -> Route {
        let route = self.decide(now, service, datagram);
        let route = route.unwrap_or_else(Route::Drop);
        match &route {
            Route::Forward { .. } => Counters::increment(&self.counters.forwarded),
            Route::Place { .. } => Counters::increment(&self.counters.placed),
            Route::Reset { .. } => Counters::increment(&self.counters.reset),
            Route::Drop(reason) => self.counters.count_dropped(*reason),
        }
        route
    }

    fn decide(&self, now: Instant, service: ServiceId, datagram: &[u8]) -> Result<Route, Reason> {
        if datagram.len() > MAX_DATAGRAM_BYTES {
            return Err(Reason::Oversize);
        }
        let header = Header::parse(datagram)?;
        if self.gate.was_paused(now) {
            self.hold(now);
        }
        let table = self.table(now).ok_or(Reason::NotReady)?;
        if !table.snapshot.document.services.contains_key(&service) {
            return Err(Reason::NotReady);
        }
        let packet = Packet {
            service,
            header,
            bytes: datagram.len(),
        };
        let cid = match header.dcid.len() {
            cid::BYTES => Cid::open(&table.snapshot.keys, header.dcid).ok(),
            _ => None,
        };
        match cid.map(|cid| (cid, table.entries.get(&cid.agent))) {
            Some((cid, Some(entry))) if entry.service == cid.service => {
                self.forward(now, &table, entry, cid, &packet)
            }
            Some((cid, None)) if table.was_removed(cid.agent) && cid.service == service => {
                self.reset(now, &table, cid.agent, &packet, Reason::Removed)
            }
            _ if header.form == Form::Initial => {
                let (agent, address) = self.place(now, &table, service, None)?;
                Ok(Route::Place { agent, address })
            }
            _ => Err(Reason::Foreign),
        }
    }

    fn forward(
        &self,
        now: Instant,
        table: &Table,
        entry: &Entry,
        cid: Cid,
        packet: &Packet<'_>,
    ) -> Result<Route, Reason> {
        if entry.service != packet.service {
            return Err(Reason::OtherService);
        }
        if self.gate.is_held() {
            return Err(Reason::Held);
        }
        if let Some(out) = entry.zone_state.out_since {
            let since_out = now.saturating_duration_since(out);
            if since_out >= ZONE_OUT_CLOSE_PERIOD {
                return self.reset(now, table, cid.agent, packet, Reason::ZoneOut);
            }
            if since_out >= ZONE_OUT_FORWARD_PERIOD || !entry.zone_state.learned_while_forwarding {
                return Err(Reason::ZoneOut);
            }
        }
        let mut member = entry.member();
        let dead = member.is_dead(now, self.settings.idle_timeout);
        member.record_packet();
        let newly_prioritized = member.prioritize();
        drop(member);
        if newly_prioritized {
            self.prober.prioritize(cid.agent);
        }
        if dead && self.is_zone_alive(now, entry) {
            return self.reset(now, table, cid.agent, packet, Reason::Dead);
        }
        Ok(Route::Forward {
            agent: cid.agent,
            address: entry.address,
            incarnation: cid.incarnation,
        })
    }

    /// Resets a flow, or gives `reason` for dropping the packet when that cannot be done.
    fn reset(
        &self,
        now: Instant,
        table: &Table,
        agent: AgentId,
        packet: &Packet<'_>,
        reason: Reason,
    ) -> Result<Route, Reason> {
        if packet.header.form != Form::Short {
            return Err(reason);
        }
        if !lock(&self.reset_budget).take(now, 1) {
            return Err(Reason::ResetLimit);
        }
        let token = table.snapshot.keys.reset_token(agent, packet.header.dcid);
        let reset = Reset::new(&mut *lock(&self.rng), token, packet.bytes).ok_or(reason)?;
        Ok(Route::Reset { agent, reset })
    }

    /// Whether the zone of a silent agent shows life, so that the agent is gone rather than cut
    /// off from here.
    fn is_zone_alive(&self, now: Instant, entry: &Entry) -> bool {
        let age = self
            .elapsed_us(now)
            .saturating_sub(entry.zone_state.last_heard_us());
        entry.zone_state.last_heard_us() > 0 && Duration::from_micros(age) <= ZONE_ALIVE_AGE
    }
}
