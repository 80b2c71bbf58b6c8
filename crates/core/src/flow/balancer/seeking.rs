//! Searches for the homes of flows that this balancer does not know.

use std::{
    net::SocketAddrV4,
    time::{Duration, Instant},
};

use super::{Action, Balancer, Connection, Drop, ResetCause, Search, Verdict};
use crate::flow::{Head, Key, intent::Kind};

/// Searches beyond which agents are asked in common rounds, so that questions share frames: a
/// balancer that knows its flows has fewer.
const CROWD: usize = 8;

/// Time between common rounds. With all agents asked in two rounds, a flow that is lost is known as
/// such before its client repeats a packet, after 200 ms.
const ROUND_EVERY: Duration = Duration::from_millis(40);

impl Balancer {
    /// Starts or continues the search for the home of a flow.
    pub(super) fn search(
        &mut self,
        now: Instant,
        flow: Key,
        head: &Head,
        bytes: &[u8],
        first: &[SocketAddrV4],
        actions: &mut Vec<Action>,
    ) {
        if let Some(search) = self.searches.get_mut(&flow) {
            search.hold(bytes);
            return;
        }
        if self.searches.len() >= self.settings.max_searches {
            actions.push(Action::Drop(flow, Drop::TooManySearches));
            return;
        }
        let route = self.route(&flow);
        let order = self.members.search_order(&flow, route, first);
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
        if !self.is_crowded() {
            search.ask(now, false, &mut self.members, &mut self.questions, actions);
        }
        self.searches.insert(flow, search);
    }

    /// An agent owns a flow.
    pub(super) fn found(
        &mut self,
        now: Instant,
        flow: Key,
        from: SocketAddrV4,
        actions: &mut Vec<Action>,
    ) {
        if self.flows.len() < self.settings.max_flows || self.flows.contains_key(&flow) {
            self.flows
                .entry(flow)
                .or_insert_with(|| Connection::new(now))
                .settle(from);
        }
        if let Some(search) = self.searches.remove(&flow) {
            search.release(from, actions);
        }
    }

    /// An agent does not hold a flow.
    pub(super) fn missing(
        &mut self,
        now: Instant,
        flow: Key,
        from: SocketAddrV4,
        head: &Head,
        packet: &[u8],
        actions: &mut Vec<Action>,
    ) {
        if !self.searches.contains_key(&flow) {
            if let Some(connection) = self.flows.get_mut(&flow) {
                if connection.settled().is_some_and(|home| home != from) {
                    // A late answer of an agent that the flow has left behind.
                    return;
                }
                connection.unsettle(from);
            }
            self.search(now, flow, head, packet, &[], actions);
        }
        self.rule_out(now, flow, from, actions);
    }

    /// A flow that is searched for is not at an agent's upstream.
    pub(super) fn rule_out(
        &mut self,
        now: Instant,
        flow: Key,
        from: SocketAddrV4,
        actions: &mut Vec<Action>,
    ) {
        let crowd = self.is_crowded();
        let Some(search) = self.searches.get_mut(&flow) else {
            return;
        };
        search.rule_out(from);
        if !crowd && !search.has_asked_all() && search.is_answered() {
            search.ask(now, false, &mut self.members, &mut self.questions, actions);
        }
        if search.is_exhausted() {
            self.finish_search(now, flow, actions);
        }
    }

    /// Whether so many searches run that they go on in common rounds.
    fn is_crowded(&self) -> bool {
        self.searches.len() > CROWD
    }

    /// Asks further agents in each search that is due, the oldest first: it ends first.
    pub(super) fn continue_searches(&mut self, now: Instant, actions: &mut Vec<Action>) {
        let crowd = self.is_crowded();
        if crowd && now.saturating_duration_since(self.searched_at) < ROUND_EVERY {
            return;
        }
        self.searched_at = now;
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
                search.ask(now, crowd, &mut self.members, &mut self.questions, actions);
            }
            self.finish_search(now, flow, actions);
        }
    }

    /// Ends a search that has no one left to ask.
    pub(super) fn finish_search(&mut self, now: Instant, flow: Key, actions: &mut Vec<Action>) {
        let settled = self.knows_members_for(now);
        let Some(search) = self.searches.get_mut(&flow) else {
            return;
        };
        search.extend(&self.members);
        match search.verdict(now, &self.members, settled) {
            Verdict::Open => {}
            Verdict::Lost => {
                let sequence = search.acknowledgement();
                self.searches.remove(&flow);
                self.flows.remove(&flow);
                actions.push(Action::Reset {
                    flow,
                    sequence,
                    cause: ResetCause::Lost,
                });
            }
            Verdict::GivenUp => {
                self.searches.remove(&flow);
                actions.push(Action::Drop(flow, Drop::NotFound));
            }
        }
    }
}
