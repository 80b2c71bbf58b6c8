//! Searches for the owners of flows that this balancer does not know.

use std::{
    net::SocketAddrV4,
    time::{Duration, Instant},
};

use super::{Action, Balancer, DropCause, Flow, ResetCause, Search, Status};
use crate::flow::{Head, Key, intent::Kind};

/// Number of running searches beyond which questions are sent in batches, so that they share
/// frames. Only a balancer that has lost its flow table has more.
const BATCHING_THRESHOLD: usize = 8;

/// Interval between batches. All agents are asked within two batches, so that a lost flow is
/// detected before its client retransmits a packet, after 200 ms.
const BATCH_INTERVAL: Duration = Duration::from_millis(40);

impl Balancer {
    /// Starts a search for the owner of a flow, or buffers the packet if one is running.
    pub(super) fn search(
        &mut self,
        now: Instant,
        flow: Key,
        head: &Head,
        bytes: &[u8],
        candidates: &[SocketAddrV4],
        actions: &mut Vec<Action>,
    ) {
        if let Some(search) = self.searches.get_mut(&flow) {
            search.buffer(bytes);
            return;
        }
        if self.searches.len() >= self.settings.max_searches {
            actions.push(Action::Drop(flow, DropCause::TooManySearches));
            return;
        }
        let route = self.route(&flow);
        let order = self.members.search_order(&flow, route, candidates);
        let kind = route.map_or(Kind::Once, |route| route.kind);
        let acknowledgement = head.acknowledgement;
        let mut search = Search::new(
            now,
            flow,
            order,
            &self.members,
            kind,
            acknowledgement,
            bytes,
        );
        if !self.is_batching() {
            search.ask(
                now,
                false,
                &mut self.members,
                &mut self.question_limiter,
                actions,
            );
        }
        self.searches.insert(flow, search);
    }

    /// Handles an agent's report that it owns a flow.
    pub(super) fn handle_found(
        &mut self,
        now: Instant,
        flow: Key,
        from: SocketAddrV4,
        actions: &mut Vec<Action>,
    ) {
        if self.flows.len() < self.settings.max_flows || self.flows.contains_key(&flow) {
            self.flows
                .entry(flow)
                .or_insert_with(|| Flow::new(now))
                .set_owner(from);
        }
        if let Some(search) = self.searches.remove(&flow) {
            search.send_buffered(from, actions);
        }
    }

    /// Handles a packet that an agent returned because it does not own the flow.
    pub(super) fn handle_missing(
        &mut self,
        now: Instant,
        flow: Key,
        from: SocketAddrV4,
        head: &Head,
        packet: &[u8],
        actions: &mut Vec<Action>,
    ) {
        if !self.searches.contains_key(&flow) {
            if let Some(flow_state) = self.flows.get_mut(&flow) {
                if flow_state.owner().is_some_and(|owner| owner != from) {
                    // A late frame of an agent that was taken to be the owner before.
                    return;
                }
                flow_state.clear_owner(from);
            }
            self.search(now, flow, head, packet, &[], actions);
        }
        self.rule_out(now, flow, from, actions);
    }

    /// Records that an agent does not own the flow of a search. Asks further agents if all that
    /// were asked are ruled out, and ends the search if none is left.
    pub(super) fn rule_out(
        &mut self,
        now: Instant,
        flow: Key,
        from: SocketAddrV4,
        actions: &mut Vec<Action>,
    ) {
        let batched = self.is_batching();
        let Some(search) = self.searches.get_mut(&flow) else {
            return;
        };
        search.rule_out(from);
        if !batched && !search.has_visited_all() && search.are_asked_ruled_out() {
            search.ask(
                now,
                false,
                &mut self.members,
                &mut self.question_limiter,
                actions,
            );
        }
        if search.is_exhausted() {
            self.finish_search(now, flow, actions);
        }
    }

    /// Whether so many searches run that their questions are sent in batches.
    fn is_batching(&self) -> bool {
        self.searches.len() > BATCHING_THRESHOLD
    }

    /// Asks further agents in each search that is due, the oldest first, since its time limit is
    /// reached first.
    pub(super) fn continue_searches(&mut self, now: Instant, actions: &mut Vec<Action>) {
        let batched = self.is_batching();
        if batched && now.saturating_duration_since(self.searches_continued_at) < BATCH_INTERVAL {
            return;
        }
        self.searches_continued_at = now;
        let due = self
            .searches
            .iter()
            .filter(|(_, search)| search.is_due(now));
        let mut due: Vec<(Instant, Key)> = due
            .map(|(flow, search)| (search.started_at(), *flow))
            .collect();
        due.sort_unstable();
        for (_, flow) in due {
            if let Some(search) = self.searches.get_mut(&flow) {
                search.ask(
                    now,
                    batched,
                    &mut self.members,
                    &mut self.question_limiter,
                    actions,
                );
            }
            self.finish_search(now, flow, actions);
        }
    }

    /// Asks the store for the list of agents if a search waits for it.
    pub(super) fn request_list(&mut self, now: Instant, actions: &mut Vec<Action>) {
        if self.listing.take_request(now) {
            actions.push(Action::List);
        }
    }

    /// Ends the searches that waited for the list of agents.
    pub(super) fn finish_visited_searches(&mut self, now: Instant, actions: &mut Vec<Action>) {
        let searches = self.searches.iter();
        let visited: Vec<Key> = searches
            .filter(|(_, search)| search.has_visited_all())
            .map(|(flow, _)| *flow)
            .collect();
        for flow in visited {
            self.finish_search(now, flow, actions);
        }
    }

    /// Ends a search if the flow is lost or the time limit is reached.
    pub(super) fn finish_search(&mut self, now: Instant, flow: Key, actions: &mut Vec<Action>) {
        let settled = self.is_member_list_settled(now);
        let Some(search) = self.searches.get_mut(&flow) else {
            return;
        };
        search.add_new_members(&self.members);
        match search.status(now, &self.members, settled) {
            Status::Running => {}
            // Another balancer may have opened the flow at an agent that is not known here yet, and the
            // list tells which silent agents are being restarted. Without an answer of the store the
            // flow is not known to be lost.
            Status::Unproven | Status::Lost if !self.listing.covers(search.started_at()) => {
                if search.is_overdue(now) {
                    self.searches.remove(&flow);
                    actions.push(Action::Drop(flow, DropCause::NotFound));
                } else {
                    self.listing.want();
                    self.request_list(now, actions);
                }
            }
            Status::Unproven => {}
            Status::Lost => {
                let sequence = search.acknowledgement();
                self.searches.remove(&flow);
                self.flows.remove(&flow);
                actions.push(Action::Reset {
                    flow,
                    sequence,
                    cause: ResetCause::Lost,
                });
            }
            Status::TimedOut => {
                self.searches.remove(&flow);
                actions.push(Action::Drop(flow, DropCause::NotFound));
            }
        }
    }
}
