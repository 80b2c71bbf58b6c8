//! Arrival of requests.

use std::time::{Duration, Instant};

use sassafrasmast_wire::Ticket;

use crate::{
    error::{Kind, Outcome},
    timeline::RequestId,
};

use super::{
    Agent, Class, Entry, Input, Key, Record, Reply, Request, Weight, claim,
    flight::{Flight, Stage},
};

/// Share of callers' requests that may be offered to an upstream a second time.
const RETRY_SHARE: f64 = 0.1;

/// Time after its expiry for which it stays known what became of a ticket.
const TICKET_MEMORY: Duration = Duration::from_secs(120);

/// Repeats that wait for the same run at most.
const TWINS: usize = 16;

impl Agent {
    /// A request arrived. An id that is already in use is ignored. The deadline of a request with
    /// a minted key is cut to [`claim::START_WINDOW`], so that its run ends while its claim holds.
    pub fn arrive(&mut self, now: Instant, mut request: Request) {
        let id = request.id;
        self.note(now, Some(id), || Input::arrived(now, &request));
        if self.flights.contains_key(&id) {
            return;
        }
        if !request.relayed {
            self.retries.earn(RETRY_SHARE);
        }
        if matches!(request.key, Some(Key::Minted(_))) {
            request.deadline = request.deadline.min(now + claim::START_WINDOW);
        }
        let flight = Flight::new(now, request);
        if flight.weight == Weight::Small {
            self.small = Some(now);
        }
        let key = flight.key().cloned();
        self.dues.insert((flight.due, id));
        self.flights.insert(id, flight);
        match key {
            Some(Key::Ticket(ticket)) => self.ticketed(now, id, ticket),
            Some(Key::Minted(_)) => self.minted(now, id),
            None => self.admit(now, id),
        }
        self.pump(now);
    }

    /// Why no new work is taken, if so.
    pub(super) fn closed(&self) -> Option<Kind> {
        match &self.member {
            None => Some(Kind::NotReady),
            Some(member) if member.out => Some(Kind::ZoneOut),
            Some(_) if self.drained.is_some() => Some(Kind::Draining),
            Some(_) => None,
        }
    }

    /// Why nothing is started any more, if so: a drain lets what waits start for its grace.
    pub(super) fn stopped(&self, now: Instant) -> Option<Kind> {
        let end = self.drained.map(|since| since + self.settings.drain_grace);
        let in_grace = end.is_some_and(|end| now < end);
        self.closed()
            .filter(|kind| *kind != Kind::Draining || !in_grace)
    }

    fn ticketed(&mut self, now: Instant, id: RequestId, ticket: Ticket) {
        let Some(member) = &self.member else {
            return self.refuse(now, id, Kind::NotReady);
        };
        if ticket.service != member.service {
            return self.error(id, Kind::TicketInvalid, Outcome::NotRun);
        }
        if ticket.agent != member.agent {
            return self.send_home(now, id, ticket);
        }
        if ticket.incarnation != self.settings.incarnation {
            return self.refuse(now, id, Kind::HomeGone);
        }
        let key = Key::Ticket(ticket);
        match self.registry.get(&key).cloned() {
            Some(entry) => self.repeated(now, id, &key, &entry),
            None => self.first_use(now, id, ticket),
        }
    }

    /// Sends a ticketed request to the agent that its ticket names.
    fn send_home(&mut self, now: Instant, id: RequestId, ticket: Ticket) {
        let member = self.member.as_ref();
        let live = member.is_some_and(|member| member.homes.contains(&ticket.agent));
        let relayed = self.flights.get(&id).is_some_and(|flight| flight.relayed);
        if !live || relayed {
            self.refuse(now, id, Kind::HomeGone);
        } else if self.relays_full() {
            self.refuse(now, id, Kind::Overloaded);
        } else {
            self.relay_to(id, ticket.agent);
        }
    }

    /// A ticket of this incarnation that has no record. Before its expiry it never ran, as records
    /// outlive tickets.
    fn first_use(&mut self, now: Instant, id: RequestId, ticket: Ticket) {
        let expires = self.started + ticket.expiry;
        if now >= expires {
            return match self.registry.was_used(ticket.nonce) {
                Some(false) => self.error(id, Kind::TicketExpired, Outcome::NotRun),
                _ => self.error(id, Kind::TicketForgotten, Outcome::Unknown),
            };
        }
        if ticket.nonce > self.ticket_count {
            return self.error(id, Kind::TicketInvalid, Outcome::Unknown);
        }
        let key = Key::Ticket(ticket);
        if self.registry.given_up(ticket.nonce) || !self.hold(now, id, key, expires + TICKET_MEMORY)
        {
            self.registry.give_up(ticket.nonce);
            return self.error(id, Kind::Overloaded, Outcome::NotRun);
        }
        self.admit(now, id);
    }

    fn minted(&mut self, now: Instant, id: RequestId) {
        let Some(key) = self
            .flights
            .get(&id)
            .and_then(|flight| flight.key().cloned())
        else {
            return;
        };
        if let Some(entry) = self.registry.get(&key).cloned() {
            return self.repeated(now, id, &key, &entry);
        }
        if self.closed().is_some() {
            return self.admit(now, id);
        }
        if !self.hold(now, id, key, now + claim::MIN_LEASE) {
            return self.refuse(now, id, Kind::Overloaded);
        }
        self.admit(now, id);
    }

    fn hold(&mut self, now: Instant, id: RequestId, key: Key, expires: Instant) -> bool {
        self.registry.expire(now);
        let digest = self.flights.get(&id).map(|flight| flight.request.digest);
        digest.is_some_and(|digest| self.registry.hold(key, digest, id, expires))
    }

    /// A key that came before.
    fn repeated(&mut self, now: Instant, id: RequestId, key: &Key, entry: &Entry) {
        let digest = self.flights.get(&id).map(|flight| flight.request.digest);
        if digest != Some(entry.digest) {
            let outcome = self.vouch_for_reuse(now, key, entry);
            self.registry.reuse(key);
            return self.error(id, Kind::KeyReused, outcome);
        }
        match &entry.record {
            Record::Live(run) => self.attach(id, *run),
            Record::Ran(Some(answer)) => self.conclude(id, Reply::Stored(answer.clone())),
            Record::Ran(None) => self.error(id, Kind::AnswerDropped, Outcome::Ran),
            Record::NotRun(kind) => {
                let outcome = self.vouch_for_reuse(now, key, entry);
                self.error(id, *kind, outcome);
            }
            Record::Unknown(kind) => self.error(id, *kind, Outcome::Unknown),
            Record::Unsettled => {
                self.registry.set(key, Record::Live(id));
                self.admit(now, id);
            }
        }
    }

    /// Whether a request that this agent refuses because of a known key never runs: for ever with
    /// a ticket of ours, as long as the claim surely holds with a minted key that is ours.
    fn vouch_for_reuse(&self, now: Instant, key: &Key, entry: &Entry) -> Outcome {
        let claimed = entry.claim.is_some_and(|(_, at)| claim::holds(now, at));
        match key {
            Key::Ticket(_) => Outcome::NotRun,
            Key::Minted(_) if entry.ours && claimed => Outcome::NotRun,
            Key::Minted(_) => Outcome::Unknown,
        }
    }

    fn attach(&mut self, id: RequestId, run: RequestId) {
        let full = match self.flights.get_mut(&run) {
            Some(flight) if flight.twins.len() < TWINS => {
                flight.twins.push(id);
                false
            }
            _ => true,
        };
        if full {
            return self.error(id, Kind::Overloaded, Outcome::Unknown);
        }
        self.stage(id, Stage::Attached(run));
    }

    /// Lets a request wait for a slot, sends it to a peer, or refuses it at once.
    pub(super) fn admit(&mut self, now: Instant, id: RequestId) {
        let Some(flight) = self.flights.get(&id) else {
            return;
        };
        let (weight, deadline) = (flight.weight, flight.request.deadline);
        let feed = flight.request.class == Class::Feed;
        if let Some(kind) = self.closed() {
            let relayed = kind == Kind::Draining && self.divert(now, id, None);
            if !relayed {
                self.refuse(now, id, kind);
            }
            return;
        }
        if now >= deadline {
            return self.refuse(now, id, Kind::DeadlinePassed);
        }
        if feed && self.feeds_full() {
            return self.refuse(now, id, Kind::Overloaded);
        }
        let wait = self.wait(now, weight);
        let full = self.queue.len() + self.claiming >= self.settings.max_queued;
        let start = now.checked_add(wait.saturating_add(self.margin(id)));
        let late = start.is_none_or(|at| at > deadline);
        let pressed = full || late;
        if self.divert(now, id, (!pressed).then_some(wait)) {
            return;
        }
        if pressed {
            return self.refuse(now, id, Kind::Overloaded);
        }
        self.claim_or_queue(now, id);
    }

    fn feeds_full(&self) -> bool {
        let connections = self.member.as_ref().map_or(0, |member| {
            (member.connections as usize).saturating_sub(member.slots.into())
        });
        self.slots.feeds() >= connections
    }

    /// Time that has to be left for the run itself.
    pub(super) fn margin(&self, id: RequestId) -> Duration {
        let flight = self.flights.get(&id);
        flight.map_or(Duration::ZERO, |flight| {
            self.predictor.service(flight.weight).min(flight.margin)
        })
    }
}
