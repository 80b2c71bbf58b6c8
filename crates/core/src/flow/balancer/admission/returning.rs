//! Callers that try again after an attempt that ended without an answer.

use std::{
    collections::BTreeMap,
    net::SocketAddrV4,
    time::{Duration, Instant},
};

use sassafrasmast_wire::flow::{Attempt, Question};

use crate::flow::{Key, Member, balancer::Action, ranking};

/// Interval at which messages are sent: long enough to share frames, and far less than the time for
/// which a SYN stays on time.
const BATCH_INTERVAL: Duration = Duration::from_millis(20);

/// Shortest age of a caller's first attempt that is worth a message. Clients have time limits of a second
/// and more, so a younger one hardly changes the place of the next attempt.
const MIN_REPORTED_AGE: Duration = Duration::from_millis(50);

/// Attempts that ended and inquiries that are still to be sent, by agent.
///
/// Load answered: an overload that lasts. A client whose attempt was refused after half of its limit
/// tries again at any balancer, where it looks like one that has just come: it is placed before
/// others and its answer is late.
#[derive(Debug, Default)]
pub struct Returning {
    ended: BTreeMap<SocketAddrV4, Vec<Attempt>>,
    inquiries: BTreeMap<SocketAddrV4, Vec<Key>>,
    /// When the first of them was added.
    pending_since: Option<Instant>,
}

impl Returning {
    /// Whether there is nothing to be sent.
    pub fn is_empty(&self) -> bool {
        self.pending_since.is_none()
    }

    /// Adds an attempt that ended, whose caller's first attempt began `age` ago.
    pub fn record_ended(
        &mut self,
        now: Instant,
        agent: SocketAddrV4,
        flow: &Key,
        age: Duration,
        actions: &mut Vec<Action>,
    ) {
        if age < MIN_REPORTED_AGE {
            return;
        }
        self.pending_since.get_or_insert(now);
        let attempts = self.ended.entry(agent).or_default();
        attempts.push(Attempt {
            client: *flow.client.ip(),
            route: flow.route,
            age_ms: u32::try_from(age.as_millis()).unwrap_or(u32::MAX),
        });
        if attempts.len() >= Question::MAX_PER_FRAME {
            let attempts = std::mem::take(attempts);
            self.ended.remove(&agent);
            actions.push(Action::Ended {
                to: agent,
                attempts,
            });
        }
    }

    /// Adds an inquiry about the caller of a flow.
    pub fn inquire(
        &mut self,
        now: Instant,
        agent: SocketAddrV4,
        flow: Key,
        actions: &mut Vec<Action>,
    ) {
        self.pending_since.get_or_insert(now);
        let flows = self.inquiries.entry(agent).or_default();
        flows.push(flow);
        if flows.len() >= Question::MAX_PER_FRAME {
            let flows = std::mem::take(flows);
            self.inquiries.remove(&agent);
            actions.push(Action::Inquire { to: agent, flows });
        }
    }

    /// Sends what has waited for 20 ms. Ended attempts go first, so that inquiries that
    /// follow find them.
    pub fn flush(&mut self, now: Instant, actions: &mut Vec<Action>) {
        let is_due = self
            .pending_since
            .is_some_and(|since| now.saturating_duration_since(since) >= BATCH_INTERVAL);
        if !is_due {
            return;
        }
        self.pending_since = None;
        let ended = std::mem::take(&mut self.ended).into_iter();
        actions.extend(ended.map(|(to, attempts)| Action::Ended { to, attempts }));
        let inquiries = std::mem::take(&mut self.inquiries).into_iter();
        actions.extend(inquiries.map(|(to, flows)| Action::Inquire { to, flows }));
    }
}

/// The agent that keeps the earlier attempts of the caller of a flow: the one that ranks first for the
/// caller's address and route among the service's agents that answer. All balancers that know the
/// same agents choose the same one.
pub fn directory<'a>(
    members: impl Iterator<Item = &'a Member>,
    now: Instant,
    service: &str,
    flow: &Key,
) -> Option<SocketAddrV4> {
    let caller = Key {
        client: SocketAddrV4::new(*flow.client.ip(), 0),
        route: flow.route,
    };
    members
        .filter(|member| {
            &*member.service == service
                && (member.listed || member.is_alive(now))
                && !member.is_agent_silent(now)
        })
        .map(|member| member.address)
        .max_by_key(|&address| (ranking::rank(&caller, address), address))
}
