//! Routing of datagrams from callers.

use std::time::{Duration, Instant};

use sassafrasmast_wire::{AgentId, Cid, ServiceId, cid};

use crate::balancer::{
    Counters, Form, Header, Reason, Reset, Route,
    table::{Entry, Table},
};

use super::{MAX_DATAGRAM_BYTES, Router, lock};

/// Time for which packets are still forwarded to a zone that was taken out of service, so that
/// callers with requests in flight receive an answer or a refusal instead of nothing.
const ZONE_OUT_FORWARD_PERIOD: Duration = Duration::from_secs(1);

/// Time in which the agents of a zone that was taken out of service close their flows themselves.
/// After it the balancer resets the flows.
const ZONE_OUT_CLOSE_PERIOD: Duration = Duration::from_secs(2);

/// Maximum age of the last load report from a zone for its silent agents to count as dead. If the
/// whole zone is silent, the network may be partitioned.
const ZONE_ALIVE_AGE: Duration = Duration::from_secs(2);

/// The parts of a datagram that later routing steps use.
struct Packet<'a> {
    service: ServiceId,
    header: Header<'a>,
    datagram_bytes: usize,
}

impl Router {
    /// Routes a datagram that arrived at the address of `service`, and counts the decision.
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
            datagram_bytes: datagram.len(),
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
        let mut health = entry.health();
        let dead = health.is_dead(now, self.settings.dead_after);
        health.record_datagram();
        let newly_prioritized = health.prioritize();
        drop(health);
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

    /// Answers a packet with a stateless reset. Fails with `reason` if no reset can answer the
    /// packet, and with [`Reason::ResetLimit`] above the rate limit.
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
        let reset =
            Reset::new(&mut *lock(&self.rng), token, packet.datagram_bytes).ok_or(reason)?;
        Ok(Route::Reset { agent, reset })
    }

    /// Whether a load report from the agent's zone arrived recently. If so, a silent agent of the
    /// zone is gone; otherwise the zone may only be unreachable from this balancer.
    fn is_zone_alive(&self, now: Instant, entry: &Entry) -> bool {
        let age = self
            .elapsed_us(now)
            .saturating_sub(entry.zone_state.last_report_us());
        entry.zone_state.last_report_us() > 0 && Duration::from_micros(age) <= ZONE_ALIVE_AGE
    }
}
