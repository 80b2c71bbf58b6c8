//! Arrival and admission of requests.

use std::time::{Duration, Instant};

use sassafrasmast_wire::Ticket;

use crate::{
    error::{Kind, Outcome},
    timeline::RequestId,
};

use super::{
    Agent, Class, Entry, Input, Key, Record, Reply, Request, SizeClass, claim,
    in_flight::{InFlight, Stage},
};

/// Tokens that each request from a caller adds to the retry budget: at most this share of requests
/// is offered to an upstream a second time.
const RETRY_SHARE: f64 = 0.1;

/// Time for which the entry of a ticket is kept after the ticket's expiry.
const TICKET_ENTRY_RETENTION: Duration = Duration::from_secs(120);

/// Most repeats that wait for the same run.
const MAX_WAITING_REPEATS: usize = 16;

impl Agent {
    /// Handles the arrival of a request. An id that is already in use is ignored. The deadline of a
    /// request with a minted key is cut to [`claim::START_WINDOW`] from now, so that its run ends
    /// while the claim is in the store.
    pub fn arrive(&mut self, now: Instant, mut request: Request) {
        let id = request.id;
        self.record_input(now, Some(id), || Input::arrived(now, &request));
        if self.requests.contains_key(&id) {
            return;
        }
        if !request.relayed {
            self.retry_budget.earn(RETRY_SHARE);
        }
        if matches!(request.key, Some(Key::Minted(_))) {
            request.deadline = request.deadline.min(now + claim::START_WINDOW);
        }
        let in_flight = InFlight::new(now, request);
        if in_flight.size == SizeClass::Small {
            self.last_small_arrival = Some(now);
        }
        let key = in_flight.key().cloned();
        self.timers.insert((in_flight.timer, id));
        self.requests.insert(id, in_flight);
        match key {
            Some(Key::Ticket(ticket)) => self.arrive_with_ticket(now, id, ticket),
            Some(Key::Minted(_)) => self.arrive_with_minted_key(now, id),
            None => self.admit(now, id),
        }
        self.dispatch_queued(now);
    }

    /// Why no new request is admitted, if so.
    pub(super) fn admission_refusal(&self) -> Option<Kind> {
        match &self.member {
            None => Some(Kind::NotReady),
            Some(member) if member.zone_out => Some(Kind::ZoneOut),
            Some(_) if self.draining_since.is_some() => Some(Kind::Draining),
            Some(_) => None,
        }
    }

    /// Why no request may start, if so. A drain lets waiting requests start during its grace
    /// period.
    pub(super) fn start_refusal(&self, now: Instant) -> Option<Kind> {
        let end = self
            .draining_since
            .map(|since| since + self.settings.drain_grace);
        let in_grace = end.is_some_and(|end| now < end);
        self.admission_refusal()
            .filter(|kind| *kind != Kind::Draining || !in_grace)
    }

    /// Runs a request at the ticket's home agent: here, or at the peer that the ticket names.
    fn arrive_with_ticket(&mut self, now: Instant, id: RequestId, ticket: Ticket) {
        let Some(member) = &self.member else {
            return self.fail(now, id, Kind::NotReady);
        };
        if ticket.service != member.service {
            return self.answer_error(id, Kind::TicketInvalid, Outcome::NotRun);
        }
        if ticket.agent != member.agent {
            return self.relay_to_home(now, id, ticket);
        }
        if ticket.incarnation != self.settings.incarnation {
            return self.fail(now, id, Kind::HomeGone);
        }
        let key = Key::Ticket(ticket);
        match self.registry.get(&key).cloned() {
            Some(entry) => self.handle_repeat(now, id, &key, &entry),
            None => self.first_use(now, id, ticket),
        }
    }

    /// Relays a request to the home agent that its ticket names.
    fn relay_to_home(&mut self, now: Instant, id: RequestId, ticket: Ticket) {
        let member = self.member.as_ref();
        let home_listed = member.is_some_and(|member| member.homes.contains(&ticket.agent));
        let relayed = self
            .requests
            .get(&id)
            .is_some_and(|in_flight| in_flight.relayed);
        if !home_listed || relayed {
            self.fail(now, id, Kind::HomeGone);
        } else if self.relay_limit_reached() {
            self.fail(now, id, Kind::Overloaded);
        } else {
            self.relay_to(id, ticket.agent);
        }
    }

    /// Handles a ticket of this incarnation that has no entry. Entries outlive tickets, so a ticket
    /// without one has not run if it is not expired.
    fn first_use(&mut self, now: Instant, id: RequestId, ticket: Ticket) {
        let expires = self.started + ticket.expiry;
        if now >= expires {
            return match self.registry.was_used(ticket.nonce) {
                Some(false) => self.answer_error(id, Kind::TicketExpired, Outcome::NotRun),
                _ => self.answer_error(id, Kind::TicketForgotten, Outcome::Unknown),
            };
        }
        if ticket.nonce > self.ticket_count {
            return self.answer_error(id, Kind::TicketInvalid, Outcome::Unknown);
        }
        let key = Key::Ticket(ticket);
        if self.registry.is_refused(ticket.nonce)
            || !self.hold(now, id, key, expires + TICKET_ENTRY_RETENTION)
        {
            self.registry.refuse_up_to(ticket.nonce);
            return self.answer_error(id, Kind::Overloaded, Outcome::NotRun);
        }
        self.admit(now, id);
    }

    /// Handles a request with a minted key: a repeat by its key's entry, others are added to the
    /// registry and admitted.
    fn arrive_with_minted_key(&mut self, now: Instant, id: RequestId) {
        let Some(key) = self
            .requests
            .get(&id)
            .and_then(|in_flight| in_flight.key().cloned())
        else {
            return;
        };
        if let Some(entry) = self.registry.get(&key).cloned() {
            return self.handle_repeat(now, id, &key, &entry);
        }
        if self.admission_refusal().is_some() {
            return self.admit(now, id);
        }
        if !self.hold(now, id, key, now + claim::MIN_LEASE) {
            return self.fail(now, id, Kind::Overloaded);
        }
        self.admit(now, id);
    }

    /// Adds the request's key to the registry. Returns `false` if the registry is full.
    fn hold(&mut self, now: Instant, id: RequestId, key: Key, expires: Instant) -> bool {
        self.registry.remove_expired(now);
        let digest = self
            .requests
            .get(&id)
            .map(|in_flight| in_flight.request.digest);
        digest.is_some_and(|digest| self.registry.hold(key, digest, id, expires))
    }

    /// Handles a request whose key has an entry: it gets the result of the first request with the
    /// key, waits for it, or is refused if it is a different request.
    fn handle_repeat(&mut self, now: Instant, id: RequestId, key: &Key, entry: &Entry) {
        let digest = self
            .requests
            .get(&id)
            .map(|in_flight| in_flight.request.digest);
        if digest != Some(entry.digest) {
            let outcome = self.refusal_outcome(now, key, entry);
            self.registry.mark_reused(key);
            return self.answer_error(id, Kind::KeyReused, outcome);
        }
        match &entry.record {
            Record::Live(holder) => self.attach(id, *holder),
            Record::Ran(Some(answer)) => self.conclude(id, Reply::Stored(answer.clone())),
            Record::Ran(None) => self.answer_error(id, Kind::AnswerDropped, Outcome::Ran),
            Record::NotRun(kind) => {
                let outcome = self.refusal_outcome(now, key, entry);
                self.answer_error(id, *kind, outcome);
            }
            Record::Unknown(kind) => self.answer_error(id, *kind, Outcome::Unknown),
            Record::Unsettled => {
                self.registry.set(key, Record::Live(id));
                self.admit(now, id);
            }
        }
    }

    /// Outcome of a request refused because of its key's entry. It is "not run" for a ticket of
    /// this agent, and for a minted key while this agent surely holds its claim.
    fn refusal_outcome(&self, now: Instant, key: &Key, entry: &Entry) -> Outcome {
        let claimed = entry.claim.is_some_and(|(_, at)| claim::holds(now, at));
        match key {
            Key::Ticket(_) => Outcome::NotRun,
            Key::Minted(_) if entry.ours && claimed => Outcome::NotRun,
            Key::Minted(_) => Outcome::Unknown,
        }
    }

    /// Lets a repeat wait for the run of the same key.
    fn attach(&mut self, id: RequestId, holder: RequestId) {
        let full = match self.requests.get_mut(&holder) {
            Some(in_flight) if in_flight.waiting_repeats.len() < MAX_WAITING_REPEATS => {
                in_flight.waiting_repeats.push(id);
                false
            }
            _ => true,
        };
        if full {
            return self.answer_error(id, Kind::Overloaded, Outcome::Unknown);
        }
        self.set_stage(id, Stage::Attached(holder));
    }

    /// Queues a request, relays it to a peer, or refuses it at once.
    pub(super) fn admit(&mut self, now: Instant, id: RequestId) {
        let Some(in_flight) = self.requests.get(&id) else {
            return;
        };
        let (size, deadline) = (in_flight.size, in_flight.request.deadline);
        let feed = in_flight.request.class == Class::Feed;
        if let Some(kind) = self.admission_refusal() {
            let relayed = kind == Kind::Draining && self.try_relay(now, id, None);
            if !relayed {
                self.fail(now, id, kind);
            }
            return;
        }
        if now >= deadline {
            return self.fail(now, id, Kind::DeadlinePassed);
        }
        if feed && self.feed_limit_reached() {
            return self.fail(now, id, Kind::Overloaded);
        }
        let wait = self.expected_wait(now, size);
        let full = self.queue.len() + self.pending_claims >= self.settings.max_queued;
        let expected_end = now.checked_add(wait.saturating_add(self.run_reserve(id)));
        let late = expected_end.is_none_or(|at| at > deadline);
        let overloaded = full || late;
        if self.try_relay(now, id, (!overloaded).then_some(wait)) {
            return;
        }
        if overloaded {
            return self.fail(now, id, Kind::Overloaded);
        }
        self.claim_or_queue(now, id);
    }

    /// Whether feeds hold all connections beyond those of the slots.
    fn feed_limit_reached(&self) -> bool {
        let connections = self.member.as_ref().map_or(0, |member| {
            (member.connections as usize).saturating_sub(member.slots.into())
        });
        self.slots.connections_used() >= connections
    }

    /// Time before the deadline that is reserved for the run itself.
    pub(super) fn run_reserve(&self, id: RequestId) -> Duration {
        let in_flight = self.requests.get(&id);
        in_flight.map_or(Duration::ZERO, |in_flight| {
            self.predictor
                .service_time(in_flight.size)
                .min(in_flight.max_reserve)
        })
    }
}
