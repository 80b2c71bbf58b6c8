//! The decisions of a balancer: which agent gets a client's packet.
//!
//! An opening packet is placed by load among the best ranked upstreams of its service; each copy
//! goes to another one. Packets of an open flow follow the agent that was learnt from the agents'
//! own words. The home of a flow that this balancer does not know is searched for: agents are
//! asked one wave after the other until one of them owns it.

mod action;
mod candidate;
mod comparison;
mod connection;
mod members;
mod opening;
mod search;
mod seeking;
mod settings;
mod waiting;

use std::{
    collections::HashMap,
    net::SocketAddrV4,
    sync::Arc,
    time::{Duration, Instant},
};

use sassafrasmast_wire::flow::Body;

pub use self::{
    action::{Action, Drop, ResetCause},
    candidate::Candidate,
    comparison::Comparison,
    connection::Connection,
    members::Members,
    search::{Search, Verdict},
    settings::Settings,
    waiting::Waiting,
};
use super::{
    Head, Intent, Key, Member, Purpose, Revision,
    intent::{Kind, Route},
};
use crate::balancer::Bucket;

/// How often forgotten flows are looked for.
const SWEEP_EVERY: Duration = Duration::from_secs(2);

/// Part of a second's questions that may be asked at once.
const QUESTIONS_AT_ONCE: u32 = 10;

/// A balancer's state. Inputs append what is to be done to `actions`.
#[derive(Debug)]
pub struct Balancer {
    settings: Settings,
    intent: Option<Arc<Intent>>,
    members: Members,
    flows: HashMap<Key, Connection>,
    searches: HashMap<Key, Search>,
    /// Budget of the searches.
    questions: Bucket,
    /// When searches last went on.
    searched_at: Instant,
    waiting: Waiting,
    /// Since when the store's list of agents has been in hand.
    synced_since: Option<Instant>,
    swept_at: Instant,
}

impl Balancer {
    /// A balancer that knows nothing yet.
    pub fn new(now: Instant, settings: Settings) -> Self {
        let rate = settings.questions_per_second;
        Self {
            members: Members::new(now, settings.zone.clone()),
            questions: Bucket::new(now, rate, rate / QUESTIONS_AT_ONCE),
            settings,
            intent: None,
            flows: HashMap::new(),
            searches: HashMap::new(),
            searched_at: now,
            waiting: Waiting::default(),
            synced_since: None,
            swept_at: now,
        }
    }

    /// Whether it can place flows: it has the operators' intent and the list of agents, and hears
    /// of them.
    pub fn is_ready(&self, now: Instant) -> bool {
        let is_informed = self.intent.is_some() && self.synced_since.is_some();
        is_informed && !self.members.is_cut_off(now)
    }

    /// The intent in force.
    pub fn intent(&self) -> Option<&Arc<Intent>> {
        self.intent.as_ref()
    }

    /// The intent's revision, 0 if none.
    pub fn revision(&self) -> Revision {
        self.intent.as_ref().map_or(0, |intent| intent.revision)
    }

    /// Agents and what is known of them.
    pub fn members(&self) -> &Members {
        &self.members
    }

    /// Flows that the table holds.
    pub fn flow_count(&self) -> usize {
        self.flows.len()
    }

    /// Opening packets that wait for an upstream with room.
    pub fn queued_count(&self) -> usize {
        self.waiting.len()
    }

    /// Searches that run.
    pub fn search_count(&self) -> usize {
        self.searches.len()
    }

    /// Puts a newer intent in force; an older one is passed over.
    pub fn set_intent(&mut self, intent: Arc<Intent>) -> bool {
        Intent::advance(&mut self.intent, intent)
    }

    /// Takes the store's whole list of agents.
    pub fn set_members(&mut self, now: Instant, listed: Vec<Member>) {
        self.members.replace(now, listed);
        self.synced_since.get_or_insert(now);
    }

    /// Takes agents that another balancer knows. What is known here stays.
    pub fn add_members(&mut self, now: Instant, members: Vec<Member>) {
        if members.is_empty() {
            return;
        }
        for member in members {
            self.members.add(member);
        }
        self.synced_since.get_or_insert(now);
    }

    /// Takes one agent as the store lists it now.
    pub fn list_member(&mut self, member: Member) {
        self.members.list(member);
    }

    /// Notes that the store no longer lists an agent. It may live all the same.
    pub fn unlist_member(&mut self, now: Instant, address: SocketAddrV4) {
        self.members.unlist(now, address);
    }

    /// Decides on a packet that came from a client.
    pub fn client_packet(
        &mut self,
        now: Instant,
        head: &Head,
        bytes: &[u8],
        actions: &mut Vec<Action>,
    ) {
        let flow = head.client_flow();
        if head.opens() {
            self.open(now, flow, head.acknowledgement, bytes, actions);
            return;
        }
        let Some(connection) = self.flows.get_mut(&flow) else {
            self.search(now, flow, head, bytes, &[], actions);
            return;
        };
        connection.touch(now);
        match connection.home(head) {
            Some(to) => self.follow(now, flow, to, head, bytes, actions),
            None => {
                let first = connection.candidates();
                self.search(now, flow, head, bytes, &first, actions);
            }
        }
    }

    /// Sends a packet to the home of its flow.
    fn follow(
        &mut self,
        now: Instant,
        flow: Key,
        to: SocketAddrV4,
        head: &Head,
        bytes: &[u8],
        actions: &mut Vec<Action>,
    ) {
        // A search that still runs is of an earlier home.
        if let Some(search) = self.searches.get_mut(&flow) {
            search.hold(bytes);
            return;
        }
        if self.members.check(now, to, actions) && self.is_safe(&flow) {
            self.flows.remove(&flow);
            actions.push(Action::Reset {
                flow,
                sequence: head.acknowledgement,
                cause: ResetCause::Unreachable,
            });
            return;
        }
        actions.push(Action::Forward {
            to,
            purpose: Purpose::Known,
            service: None,
        });
    }

    /// Whether the requests of a flow may be repeated.
    fn is_safe(&self, flow: &Key) -> bool {
        self.route(flow)
            .is_some_and(|route| route.kind == Kind::Safe)
    }

    /// The route of a flow.
    fn route(&self, flow: &Key) -> Option<&Route> {
        let intent = self.intent.as_ref()?;
        intent.policy.routes.get(&flow.route)
    }

    /// Whether the list of agents has been in hand for long enough to say that nobody can serve.
    fn knows_members_for(&self, now: Instant) -> bool {
        self.synced_since
            .is_some_and(|since| now.saturating_duration_since(since) >= self.settings.settle)
    }

    /// Takes a frame of an agent.
    pub fn agent_frame(
        &mut self,
        now: Instant,
        from: SocketAddrV4,
        body: &Body<'_>,
        head: Option<&Head>,
        actions: &mut Vec<Action>,
    ) {
        match body {
            Body::Accepted {
                flow,
                sequence,
                report,
            } => {
                self.members.hear(now, from, *report);
                if let Some(connection) = self.flows.get_mut(flow) {
                    connection.accept(from, *sequence);
                }
            }
            Body::Returned {
                reason,
                report,
                packet,
            } => {
                self.members.hear(now, from, *report);
                if let Some(head) = head {
                    self.returned(now, from, head.client_flow(), *reason, packet, actions);
                }
            }
            Body::Found { flow, report } => {
                self.members.hear(now, from, *report);
                self.found(now, *flow, from, actions);
            }
            Body::Missing {
                flow,
                report,
                packet,
            } => {
                self.members.hear(now, from, *report);
                if let Some(head) = head {
                    self.missing(now, *flow, from, head, packet, actions);
                }
            }
            Body::Hello {
                service,
                zone,
                report,
            } => self.members.introduce(now, from, service, zone, *report),
            Body::Absent { flows, report } => {
                self.members.hear(now, from, *report);
                for flow in flows {
                    self.rule_out(now, *flow, from, actions);
                }
            }
            Body::Unconfirmed { flows, report } => {
                self.members.hear(now, from, *report);
                for flow in flows {
                    if let Some(search) = self.searches.get_mut(flow) {
                        search.show(from, actions);
                    }
                }
            }
            Body::Report(report) => self.members.hear(now, from, *report),
            Body::Answer { sent, report } => self.members.answer(now, from, *sent, *report),
            Body::Deliver { .. } | Body::Locate { .. } | Body::Probe { .. } => {}
        }
    }

    /// Does what is due: waves of searches, probes, forgetting.
    pub fn tick(&mut self, now: Instant, actions: &mut Vec<Action>) {
        self.continue_searches(now, actions);
        self.place_waiting(now, actions);
        self.members.probe(now, actions);
        self.members.compare(now, actions);
        if now.saturating_duration_since(self.swept_at) >= SWEEP_EVERY {
            self.swept_at = now;
            self.sweep(now);
        }
    }

    /// Forgets flows that may be forgotten, and agents that are gone.
    fn sweep(&mut self, now: Instant) {
        let idle = self
            .intent
            .as_ref()
            .map_or(self.settings.idle_timeout, |intent| {
                intent.policy.idle_timeout
            });
        let oldest = self.settings.max_flow_age;
        self.flows
            .retain(|_, connection| !connection.is_over(now, idle, oldest));
        self.members.sweep(now);
    }

    /// Whether something is due within moments, so that ticks must come often.
    pub fn has_pending_work(&self) -> bool {
        !self.searches.is_empty() || !self.waiting.is_empty()
    }
}
