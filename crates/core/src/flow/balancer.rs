//! Decision logic of a balancer: which agent a client's packet is forwarded to.
//!
//! A SYN is placed on the less loaded of the two upstreams of its service in the balancer's zone
//! that rendezvous hashing ranks highest, or on the least loaded of all zones if those are too
//! loaded; each retransmission goes to another one. Packets of an open flow go to its owner, the
//! agent whose upstream holds the flow, as learnt from the agents' frames. If the owner is not
//! known, the balancer searches for it: agents are asked in growing waves until one reports the
//! flow.

pub mod admission;

mod action;
mod candidate;
mod candidates;
mod flow;
mod listing;
mod members;
mod path_monitor;
mod placement;
mod reachability;
mod response_times;
mod search;
mod searches;
mod settings;
mod speeds;
mod zones;

use std::{
    collections::HashMap,
    net::SocketAddrV4,
    sync::Arc,
    time::{Duration, Instant},
};

use sassafrasmast_wire::flow::Body;

pub use self::{
    action::{Action, DropCause, ResetCause},
    admission::{Admission, Ages, Overload, Statistics, Timeliness},
    candidate::Candidate,
    flow::Flow,
    listing::Listing,
    members::Members,
    path_monitor::PathMonitor,
    reachability::Reachability,
    response_times::ResponseTimes,
    search::{Search, Status},
    settings::Settings,
    speeds::{Speed, Speeds},
    zones::{ZoneShare, Zones},
};
use super::{
    Head, Intent, Key, Member, Purpose, Revision, ServiceName,
    intent::{Kind, Route},
};
use crate::balancer::Bucket;

/// Interval between removals of expired flows.
const SWEEP_INTERVAL: Duration = Duration::from_secs(2);

/// The burst of questions is the rate per second divided by this.
const QUESTION_BURST_DIVISOR: u32 = 10;

/// State of a balancer. Methods that handle an input append the resulting actions to `actions`.
#[derive(Debug)]
pub struct Balancer {
    settings: Settings,
    intent: Option<Arc<Intent>>,
    members: Members,
    flows: HashMap<Key, Flow>,
    searches: HashMap<Key, Search>,
    /// Rate limit of the questions of searches.
    question_limiter: Bucket,
    /// When due searches were last continued.
    searches_continued_at: Instant,
    admission: Admission,
    /// Services whose overload has begun or ended since [`Self::take_overload_changes`].
    overload_changes: Vec<(ServiceName, Overload)>,
    response_times: ResponseTimes,
    listing: Listing,
    /// When a list of agents was first received.
    members_known_since: Option<Instant>,
    swept_at: Instant,
}

impl Balancer {
    /// A balancer without intent, agents and flows.
    pub fn new(now: Instant, settings: Settings) -> Self {
        let rate = settings.questions_per_second;
        let mut members = Members::new(now, settings.zone.clone());
        members.set_remote_cost(settings.remote_cost);
        members.set_stop_grace(settings.stop_grace);
        Self {
            members,
            question_limiter: Bucket::new(now, rate, rate / QUESTION_BURST_DIVISOR),
            intent: None,
            flows: HashMap::new(),
            searches: HashMap::new(),
            searches_continued_at: now,
            admission: Admission::new(settings.lower_class_share, settings.fair_shares),
            overload_changes: Vec::new(),
            response_times: ResponseTimes::default(),
            listing: Listing::default(),
            members_known_since: None,
            swept_at: now,
            settings,
        }
    }

    /// Whether the balancer can place flows: it has the operators' intent and the list of agents,
    /// and is not cut off from them.
    pub fn is_ready(&self, now: Instant) -> bool {
        let is_informed = self.intent.is_some() && self.members_known_since.is_some();
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

    /// The known agents and their state.
    pub fn members(&self) -> &Members {
        &self.members
    }

    /// Number of flows in the table.
    pub fn flow_count(&self) -> usize {
        self.flows.len()
    }

    /// Number of SYNs that wait for an upstream with capacity.
    pub fn queued_count(&self) -> usize {
        self.admission.queue.len()
    }

    /// Time since the client of a flow sent its first SYN, if the flow is in the table.
    pub fn syn_age(&self, now: Instant, flow: &Key) -> Option<Duration> {
        self.flows.get(flow).map(|flow| flow.syn_age(now))
    }

    /// Number of running searches.
    pub fn search_count(&self) -> usize {
        self.searches.len()
    }

    /// Changes what a flow that leaves this balancer's zone costs.
    pub fn set_remote_cost(&mut self, remote_cost: Duration) {
        self.members.set_remote_cost(remote_cost);
    }

    /// Merges `intent` into the intent in force, and returns whether that changed it.
    pub fn set_intent(&mut self, intent: Arc<Intent>) -> bool {
        let is_newer = Intent::replace_if_newer(&mut self.intent, intent);
        if is_newer && let Some(intent) = &self.intent {
            self.admission.set_intent(intent);
        }
        is_newer
    }

    /// Changes the share of the places that each less critical class gets while it waits.
    pub fn set_lower_class_share(&mut self, share: f64) {
        self.admission.set_lower_class_share(share);
    }

    /// What became of SYNs since this balancer started.
    pub fn admission_statistics(&self) -> &Statistics {
        &self.admission.statistics
    }

    /// Takes the services whose overload has begun or ended since the last call.
    pub fn take_overload_changes(&mut self) -> Vec<(ServiceName, Overload)> {
        std::mem::take(&mut self.overload_changes)
    }

    /// Replaces the list of agents by the store's complete list.
    pub fn set_members(&mut self, now: Instant, listed: Vec<Member>) {
        self.members.replace_listed(now, listed);
        self.members_known_since.get_or_insert(now);
    }

    /// Records that the list of agents is complete as of `at`: the store was asked for it then, and all
    /// that it said since is known here.
    pub fn confirm_members(&mut self, now: Instant, at: Instant, actions: &mut Vec<Action>) {
        self.listing.confirm(at);
        self.members.confirm(at);
        self.finish_visited_searches(now, actions);
    }

    /// Adds agents that another balancer knows, except those that are known here.
    pub fn add_members(&mut self, now: Instant, members: Vec<Member>) {
        if members.is_empty() {
            return;
        }
        for member in members {
            self.members.add_from_peer(member);
        }
        self.members_known_since.get_or_insert(now);
    }

    /// Adds or updates an agent that the store lists.
    pub fn add_listed_member(&mut self, now: Instant, member: Member) {
        self.members.add_listed(now, member);
    }

    /// Records that the store no longer lists an agent, which may still be running.
    pub fn unlist_member(&mut self, now: Instant, address: SocketAddrV4) {
        self.members.unlist(now, address);
    }

    /// Handles a packet from a client.
    pub fn handle_client_packet(
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
        let Some(flow_state) = self.flows.get_mut(&flow) else {
            self.search(now, flow, head, bytes, &[], actions);
            return;
        };
        flow_state.record_packet(now);
        match flow_state.resolve_owner(head) {
            Some(to) => {
                if let Some(took) = flow_state.take_response_time(now, head)
                    && let Some(member) = self.members.get(to)
                {
                    self.response_times.record(&member.service, took);
                }
                self.forward_to_owner(now, flow, to, head, bytes, actions);
            }
            None => {
                let syn_recipients = flow_state.syn_recipients();
                self.search(now, flow, head, bytes, &syn_recipients, actions);
            }
        }
    }

    /// Forwards a packet to the owner of its flow.
    fn forward_to_owner(
        &mut self,
        now: Instant,
        flow: Key,
        to: SocketAddrV4,
        head: &Head,
        bytes: &[u8],
        actions: &mut Vec<Action>,
    ) {
        // A search that still runs was started for an earlier owner.
        if let Some(search) = self.searches.get_mut(&flow) {
            search.buffer(bytes);
            return;
        }
        let reachability = self.members.check_owner(now, to, actions);
        if reachability > Reachability::Reachable && self.is_safe(&flow) {
            let is_proven = self.flows.get(&flow).is_some_and(Flow::is_owner_proven);
            match reachability {
                // The flow may be open at another agent.
                _ if !is_proven => {
                    self.search(now, flow, head, bytes, &[to], actions);
                    return;
                }
                Reachability::Failed => {
                    self.flows.remove(&flow);
                    actions.push(Action::Reset {
                        flow,
                        sequence: head.acknowledgement,
                        cause: ResetCause::Unreachable,
                    });
                    return;
                }
                _ => self.confirm_owner(now, to, actions),
            }
        }
        actions.push(Action::Forward {
            to,
            purpose: Purpose::Known,
            service: None,
        });
    }

    /// Asks for the list of agents as of the owner's silence, which tells whether it is being restarted.
    fn confirm_owner(&mut self, now: Instant, owner: SocketAddrV4, actions: &mut Vec<Action>) {
        let member = self.members.get(owner);
        let silent_since = member.and_then(|member| member.unanswered_since);
        if silent_since.is_some_and(|since| !self.listing.covers(since)) {
            self.listing.want();
            self.request_list(now, actions);
        }
    }

    /// Whether the requests of a flow may be executed more than once.
    fn is_safe(&self, flow: &Key) -> bool {
        self.route(flow)
            .is_some_and(|route| route.kind == Kind::Safe)
    }

    /// The route of a flow.
    fn route(&self, flow: &Key) -> Option<&Route> {
        let intent = self.intent.as_ref()?;
        intent.policy.routes.get(&flow.route)
    }

    /// Whether the list of agents has been known for [`Settings::settle_time`], so that it is taken
    /// to be complete.
    fn is_member_list_settled(&self, now: Instant) -> bool {
        self.members_known_since
            .is_some_and(|since| now.saturating_duration_since(since) >= self.settings.settle_time)
    }

    /// Handles a frame from an agent. `head` is the head of the packet that the frame carries.
    pub fn handle_agent_frame(
        &mut self,
        now: Instant,
        from: SocketAddrV4,
        body: &Body<'_>,
        head: Option<&Head>,
        actions: &mut Vec<Action>,
    ) {
        self.apply_agent_frame(now, from, body, head, actions);
        // The room of an agent that has just returned a SYN is left for the next tick, so that the
        // SYN does not go back and forth.
        if !matches!(body, Body::Returned { .. }) {
            self.use_room(now, from, actions);
        }
    }

    /// Records an agent's report and handles what else its frame carries.
    fn apply_agent_frame(
        &mut self,
        now: Instant,
        from: SocketAddrV4,
        body: &Body<'_>,
        head: Option<&Head>,
        actions: &mut Vec<Action>,
    ) {
        if let Some(report) = body.report() {
            self.members.record_report(now, from, report);
        }
        match body {
            Body::Accepted { flow, sequence, .. } => {
                self.handle_accepted(now, flow, from, *sequence);
                self.admission.in_flight.record_answered(from, flow);
            }
            Body::Returned { reason, packet, .. } => {
                if let Some(head) = head {
                    self.handle_returned(now, from, head.client_flow(), *reason, packet, actions);
                }
            }
            Body::Found { flow, .. } => {
                self.handle_found(now, *flow, from, actions);
            }
            Body::Missing { flow, packet, .. } => {
                if let Some(head) = head {
                    self.handle_missing(now, *flow, from, head, packet, actions);
                }
            }
            Body::Hello {
                service,
                zone,
                report,
            } => self.members.add_unlisted(now, from, service, zone, *report),
            Body::Absent { flows, .. } => {
                for flow in flows {
                    self.rule_out(now, *flow, from, actions);
                }
            }
            Body::Unconfirmed { flows, .. } => {
                for flow in flows {
                    if let Some(search) = self.searches.get_mut(flow) {
                        search.send_first_packet(from, actions);
                    }
                }
            }
            Body::Answer { sent, report } => {
                self.members.record_probe_answer(now, from, *sent, *report)
            }
            Body::Speed {
                service_time_micros,
            } => {
                let time = Duration::from_micros((*service_time_micros).into());
                self.members.record_speed(now, from, time);
            }
            Body::Earlier { flows } => self.handle_earlier(now, flows, actions),
            Body::Report(_)
            | Body::Deliver { .. }
            | Body::Locate { .. }
            | Body::Probe { .. }
            | Body::Demand { .. }
            | Body::ClassDemand { .. }
            | Body::Ended { .. }
            | Body::Inquire { .. } => {}
        }
    }

    /// Records that an agent's upstream accepted a flow.
    fn handle_accepted(&mut self, now: Instant, flow: &Key, from: SocketAddrV4, sequence: u32) {
        let Some(flow_state) = self.flows.get_mut(flow) else {
            return;
        };
        if let Some(took) = flow_state.time_to_accept(now, from) {
            self.members.record_acceptance(now, from, took);
        }
        flow_state.accept(from, sequence);
    }

    /// Places queued SYNs if an agent's upstream has room.
    fn use_room(&mut self, now: Instant, agent: SocketAddrV4, actions: &mut Vec<Action>) {
        if self.admission.queue.is_empty() {
            return;
        }
        let member = self.members.get(agent);
        if let Some(service) = member
            .filter(|member| member.accepts_flows(now))
            .map(|member| member.service.clone())
        {
            self.place_queued_for(now, &service, actions);
        }
    }

    /// Continues searches, places queued SYNs, sends probes and removes expired state.
    pub fn tick(&mut self, now: Instant, actions: &mut Vec<Action>) {
        self.members.tick(now);
        self.continue_searches(now, actions);
        self.request_list(now, actions);
        self.place_queued(now, actions);
        self.overload_changes.extend(self.admission.update(now));
        self.admission.returning.flush(now, actions);
        self.members.probe(now, actions);
        self.members.probe_quiet(now, actions);
        self.members.check_path(now, actions);
        if now.saturating_duration_since(self.swept_at) >= SWEEP_INTERVAL {
            self.swept_at = now;
            self.sweep(now);
        }
    }

    /// Removes expired flows and agents that are gone.
    fn sweep(&mut self, now: Instant) {
        let idle = self
            .intent
            .as_ref()
            .map_or(self.settings.idle_timeout, |intent| {
                intent.policy.idle_timeout
            });
        let oldest = self.settings.max_flow_age;
        self.flows
            .retain(|_, flow_state| !flow_state.is_expired(now, idle, oldest));
        self.members.sweep(now);
        self.admission.sweep(now);
    }

    /// Whether searches, queued SYNs or messages about callers are pending, so that ticks must come often.
    pub fn has_pending_work(&self) -> bool {
        !self.searches.is_empty() || self.admission.has_pending_work()
    }
}
