//! Table of the agents that a balancer knows.

use std::{
    cmp::Reverse,
    collections::{BTreeMap, BTreeSet, HashSet},
    net::SocketAddrV4,
    time::{Duration, Instant},
};

use super::{Action, PathMonitor, Reachability, Speeds, Zones, candidates::Candidates};
use crate::flow::{
    Key, Member, Priority, Report, ServiceName, State, ZoneName, intent::Route, ranking,
};

/// What a flow that leaves its zone costs unless operators set it: about ten times a path between
/// zones of one region, so that traffic leaves for room and not for noise.
pub(super) const DEFAULT_REMOTE_COST: Duration = Duration::from_millis(5);

/// Interval between probes of a silent agent.
const PROBE_INTERVAL: Duration = Duration::from_millis(100);

/// Interval between probes of an agent that the store does not list, while it answers: its answers
/// are the only sign that it is alive.
const UNLISTED_PROBE_INTERVAL: Duration = Duration::from_secs(1);

/// Interval between probes of quiet agents in other zones, so that each of four zones is reached within a
/// second.
const QUIET_PROBE_INTERVAL: Duration = Duration::from_millis(250);

/// Time without a frame after which an agent in another zone counts as quiet.
const QUIET_AFTER: Duration = Duration::from_secs(1);

/// Interval at which agents are asked for room while SYNs are queued.
const DEMAND_INTERVAL: Duration = Duration::from_millis(20);

/// Agents that are asked for room for each queued SYN: the first to become free may be any of them.
const ASKED_PER_SYN: usize = 2;

/// Agents that are asked for room at least.
const MIN_ASKED: usize = 4;

/// An agent that owns open flows is probed if no frame arrived from it for this long.
const PROBE_AFTER_QUIET: Duration = Duration::from_millis(400);

/// Time without an answer from an agent after which its flows with idempotent requests are reset:
/// five probes, and before a client retransmits a packet for the second time.
const OWNER_UNREACHABLE_AFTER: Duration = Duration::from_millis(550);

/// Silence of an agent after which other agents are probed to check the balancer's own path.
const PATH_CHECK_AFTER: Duration = Duration::from_millis(250);

/// Number of agents probed to check the balancer's own path: a single answer may be lost.
const PATH_CHECK_AGENTS: usize = 2;

/// Time without any frame after which a balancer counts itself as cut off: two intervals of the
/// readiness check by which the routers in front of the balancers detect it.
const CUT_OFF_AFTER: Duration = Duration::from_secs(1);

/// Time after which an agent that the store does not list is removed. It is the default of
/// [`Settings::max_flow_age`](super::Settings::max_flow_age), so no flow is older.
const UNLISTED_RETENTION: Duration = Duration::from_secs(60);

/// Table of the agents that a balancer knows.
#[derive(Debug)]
pub struct Members {
    by_address: BTreeMap<SocketAddrV4, Member>,
    additions: u64,
    /// Time from the order to stop until an agent's process ends, in which it says that it stops.
    stop_grace: Duration,
    /// When this balancer started.
    started_at: Instant,
    path_monitor: PathMonitor,
    /// When the last frame arrived from any agent.
    last_frame_at: Option<Instant>,
    candidates: Candidates,
    speeds: Speeds,
    zones: Zones,
    quiet_probed_at: Instant,
    /// Zone of the quiet agent that was probed last, and in each zone the agent that was.
    quiet_zone: Option<ZoneName>,
    quiet_cursors: BTreeMap<ZoneName, SocketAddrV4>,
}

impl Members {
    /// An empty table of a balancer in `zone`.
    pub fn new(now: Instant, zone: ZoneName) -> Self {
        Self {
            by_address: BTreeMap::new(),
            additions: 0,
            stop_grace: Duration::ZERO,
            started_at: now,
            path_monitor: PathMonitor::default(),
            last_frame_at: None,
            candidates: Candidates::default(),
            speeds: Speeds::default(),
            zones: Zones::new(now, zone, DEFAULT_REMOTE_COST),
            quiet_probed_at: now,
            quiet_zone: None,
            quiet_cursors: BTreeMap::new(),
        }
    }

    /// The agents by service and zone.
    pub(super) fn candidates(&self) -> &Candidates {
        &self.candidates
    }

    /// How long upstreams take for a request.
    pub fn speeds(&self) -> &Speeds {
        &self.speeds
    }

    /// Where flows go that leave the own zone.
    pub fn zones(&self) -> &Zones {
        &self.zones
    }

    /// Changes what a flow that leaves the own zone costs.
    pub fn set_remote_cost(&mut self, remote_cost: Duration) {
        self.zones.set_remote_cost(remote_cost);
    }

    /// Changes the time from the order to stop until an agent's process ends.
    pub fn set_stop_grace(&mut self, stop_grace: Duration) {
        self.stop_grace = stop_grace;
    }

    /// Records that the entries of listed agents are as they are known here in a list of `at`.
    pub fn confirm(&mut self, at: Instant) {
        for member in self.by_address.values_mut() {
            member.confirm_entry(at);
        }
    }

    /// Records the time that an agent's upstream takes for a request in a slot.
    pub fn record_speed(&mut self, now: Instant, from: SocketAddrV4, time: Duration) {
        if let Some(member) = self.by_address.get_mut(&from) {
            member.record_service_time(now, time);
        }
    }

    /// Records that an agent's upstream accepted a flow, `took` after the SYN was sent there.
    pub fn record_acceptance(&mut self, now: Instant, from: SocketAddrV4, took: Duration) {
        if let Some(member) = self.by_address.get(&from) {
            self.zones
                .record_acceptance(now, &member.service, &member.zone, took);
        }
    }

    /// Records that `waiting` SYNs for a service are queued.
    pub fn record_waiting(&mut self, service: &ServiceName, waiting: usize) {
        self.zones.record_waiting(service, waiting);
    }

    /// Compares speeds and counts what left the own zone, at intervals.
    pub fn tick(&mut self, now: Instant) {
        let members = self.by_address.values();
        let usable = members.filter(|member| member.is_usable(now));
        self.speeds.refresh(now, usable);
        self.zones.tick(now);
    }

    /// All members.
    pub fn iter(&self) -> impl Iterator<Item = &Member> {
        self.by_address.values()
    }

    /// Number of additions to the table; a change tells searches that new agents are known.
    pub fn additions(&self) -> u64 {
        self.additions
    }

    /// The member with this address.
    pub fn get(&self, address: SocketAddrV4) -> Option<&Member> {
        self.by_address.get(&address)
    }

    /// Replaces the listed agents by the store's complete list. Others stay as unlisted ones.
    pub fn replace_listed(&mut self, now: Instant, listed: Vec<Member>) {
        let present: HashSet<_> = listed.iter().map(|member| member.address).collect();
        let absent: Vec<_> = self
            .by_address
            .keys()
            .filter(|address| !present.contains(address))
            .copied()
            .collect();
        for address in absent {
            self.unlist(now, address);
        }
        for member in listed {
            self.add_listed(now, member);
        }
    }

    /// Adds or updates an agent that the store lists.
    pub fn add_listed(&mut self, now: Instant, member: Member) {
        match self.by_address.get_mut(&member.address) {
            // A report from the agent itself is newer than the store's.
            Some(known) if known.service == member.service => {
                known.listed = true;
                known.listed_restarting = member.listed_restarting;
                known.unlisted_at = None;
                known.record_incarnation(now, member.report.agent);
                if known.last_frame_at.is_none() {
                    known.report = member.report;
                }
            }
            _ => self.insert(member),
        }
    }

    /// Adds an agent that another balancer knows, unless it is known here.
    pub fn add_from_peer(&mut self, member: Member) {
        if !self.by_address.contains_key(&member.address) {
            self.insert(member);
        }
    }

    fn insert(&mut self, member: Member) {
        self.additions += 1;
        if let Some(before) = self.by_address.remove(&member.address) {
            self.candidates.remove(&before);
        }
        self.candidates.insert(&member);
        self.by_address.insert(member.address, member);
    }

    /// Adds or updates an agent that announces itself while the store does not list it.
    pub fn add_unlisted(
        &mut self,
        now: Instant,
        address: SocketAddrV4,
        service: &str,
        zone: &str,
        report: Report,
    ) {
        let is_known = self
            .by_address
            .get(&address)
            .is_some_and(|member| &*member.service == service);
        if !is_known {
            let member = Member {
                listed: false,
                unlisted_at: Some(now),
                ..Member::listed(address, service.into(), zone.into(), report)
            };
            self.insert(member);
        }
        self.record_report(now, address, report);
    }

    /// Records that the store no longer lists an agent.
    pub fn unlist(&mut self, now: Instant, address: SocketAddrV4) {
        if let Some(member) = self.by_address.get_mut(&address) {
            member.listed = false;
            member.unlisted_at.get_or_insert(now);
        }
    }

    /// Stores a report that arrived from the agent itself.
    pub fn record_report(&mut self, now: Instant, from: SocketAddrV4, report: Report) {
        if let Some(member) = self.by_address.get_mut(&from) {
            member.record_report(now, report);
            self.last_frame_at = Some(now);
        }
    }

    /// Timestamp for a probe: milliseconds since this balancer's start.
    pub fn probe_timestamp(&self, now: Instant) -> u64 {
        let age = now.saturating_duration_since(self.started_at);
        u64::try_from(age.as_millis()).unwrap_or(u64::MAX)
    }

    /// Records an agent's answer to a probe that carried `timestamp`.
    pub fn record_probe_answer(
        &mut self,
        now: Instant,
        from: SocketAddrV4,
        timestamp: u64,
        report: Report,
    ) {
        self.record_report(now, from, report);
        self.path_monitor.record_answer(from, timestamp);
    }

    /// Time until which this balancer's own path to agents is known to have been good.
    pub fn path_good_until(&self) -> Option<Instant> {
        self.path_monitor.path_good_until()
    }

    /// Whether this balancer seems to be cut off: frames arrived before, but none arrives any more
    /// although an agent should have answered.
    pub fn is_cut_off(&self, now: Instant) -> bool {
        let no_recent_frame = self
            .last_frame_at
            .is_some_and(|at| now.saturating_duration_since(at) >= CUT_OFF_AFTER);
        let mut members = self.by_address.values();
        no_recent_frame && members.any(|member| member.is_unanswered_for(now, CUT_OFF_AFTER))
    }

    /// Records that a packet was sent to an agent that it should answer.
    pub fn expect_answer(&mut self, now: Instant, address: SocketAddrV4) {
        if let Some(member) = self.by_address.get_mut(&address) {
            member.expect_answer(now);
        }
    }

    /// Records that a SYN is sent to an agent.
    pub fn record_placement(&mut self, now: Instant, address: SocketAddrV4) {
        if let Some(member) = self.by_address.get_mut(&address) {
            member.placed_since_report = member.placed_since_report.saturating_add(1);
            member.expect_answer(now);
        }
    }

    /// Whether the service has no upstream outside `zones_out`. False while no agent at all is known,
    /// since the list is then more likely to be missing than empty.
    pub fn has_no_upstream(
        &self,
        now: Instant,
        service: &str,
        zones_out: &BTreeSet<ZoneName>,
    ) -> bool {
        let serves = |member: &Member| {
            &*member.service == service
                && !zones_out.contains(&member.zone)
                && (member.listed || member.is_alive(now))
                && member.report.state != State::Gone
        };
        !self.by_address.is_empty() && !self.by_address.values().any(serves)
    }

    /// Tells agents of a service that `waiting` SYNs wait for room, unless this was done just now.
    /// `by_class` has their numbers by class, if the service has classes.
    /// Asks more agents the more SYNs wait, those first that were asked the longest time ago, and not all
    /// of them for room for the more critical classes.
    pub fn demand_room(
        &mut self,
        now: Instant,
        service: &str,
        waiting: usize,
        by_class: Option<&[(Priority, u16)]>,
        actions: &mut Vec<Action>,
    ) {
        let mut due: Vec<&mut Member> = self
            .by_address
            .values_mut()
            .filter(|member| {
                let is_due = member
                    .probed_at
                    .is_none_or(|at| now.saturating_duration_since(at) >= DEMAND_INTERVAL);
                &*member.service == service && is_due && member.is_usable(now)
            })
            .collect();
        let asked = waiting.saturating_mul(ASKED_PER_SYN).max(MIN_ASKED);
        if due.len() > asked {
            due.select_nth_unstable_by_key(asked, |member| (member.probed_at, member.address));
        }
        for (index, member) in due.into_iter().take(asked).enumerate() {
            // An agent of an earlier build drops demands by class; it answers the next one.
            let has_answered = member
                .probed_at
                .is_none_or(|probed_at| member.last_frame_at >= Some(probed_at));
            member.probed_at = Some(now);
            actions.push(match by_class.filter(|_| has_answered) {
                _ if !member.states_room() => Action::Probe(member.address),
                Some(by_class) => Action::ClassDemand {
                    to: member.address,
                    waiting: demand_at(index, by_class),
                },
                None => Action::Demand {
                    to: member.address,
                    waiting: u16::try_from(waiting).unwrap_or(u16::MAX),
                },
            });
        }
    }

    /// Records that an upstream bounced a SYN.
    pub fn record_shed(&mut self, now: Instant, address: SocketAddrV4) {
        if let Some(member) = self.by_address.get_mut(&address) {
            member.shed_at = Some(now);
        }
    }

    /// Order in which agents are asked for a flow: `candidates`, then those of the route's services
    /// by zone and rank, then all others, since open flows stay in place when routes change.
    pub fn search_order(
        &self,
        flow: &Key,
        route: Option<&Route>,
        candidates: &[SocketAddrV4],
    ) -> Vec<SocketAddrV4> {
        let mut others: Vec<&Member> = self
            .by_address
            .values()
            .filter(|member| !candidates.contains(&member.address))
            .collect();
        others.sort_by_cached_key(|member| {
            let routed = route.is_some_and(|route| route.routes_to(&member.service));
            let local = member.zone == *self.zones.own();
            Reverse((routed, local, ranking::rank(flow, member.address)))
        });
        let known = candidates
            .iter()
            .copied()
            .filter(|address| self.by_address.contains_key(address));
        known
            .chain(others.into_iter().map(|member| member.address))
            .collect()
    }

    /// Probes an agent that owns open flows if no frame arrived from it for `PROBE_AFTER_QUIET`, and
    /// returns what is known of it.
    pub fn check_owner(
        &mut self,
        now: Instant,
        address: SocketAddrV4,
        actions: &mut Vec<Action>,
    ) -> Reachability {
        if let Some(member) = self.by_address.get_mut(&address) {
            let is_quiet = member
                .last_frame_at
                .is_none_or(|at| now.saturating_duration_since(at) >= PROBE_AFTER_QUIET);
            if is_quiet && member.unanswered_since.is_none() {
                member.expect_answer(now);
                member.probed_at = Some(now);
                actions.push(Action::Probe(address));
            }
        }
        match self.get(address) {
            Some(member) => self.reachability(member, OWNER_UNREACHABLE_AFTER),
            None => Reachability::Reachable,
        }
    }

    /// What is known of an agent that may own a flow. It counts as unreachable after `timeout`.
    pub fn reachability(&self, member: &Member, timeout: Duration) -> Reachability {
        let path_good_until = self.path_good_until();
        if !member.is_unreachable(path_good_until, timeout) {
            Reachability::Reachable
        } else if member.has_failed(path_good_until, self.stop_grace) {
            Reachability::Failed
        } else {
            Reachability::Silent
        }
    }

    /// Probes new agents, so that their load is known before flows are placed; silent agents, to
    /// detect that they answer again; and unlisted agents, which are used only while they answer.
    pub fn probe(&mut self, now: Instant, actions: &mut Vec<Action>) {
        for member in self.by_address.values_mut() {
            let since = member
                .probed_at
                .map_or(Duration::MAX, |at| now.saturating_duration_since(at));
            let is_new =
                member.listed && member.last_frame_at.is_none() && member.probed_at.is_none();
            let is_due = if is_new {
                member.expect_answer(now);
                true
            } else if member.is_agent_silent(now) && member.listed {
                since >= PROBE_INTERVAL
            } else {
                !member.listed && member.is_alive(now) && since >= UNLISTED_PROBE_INTERVAL
            };
            if is_due {
                member.probed_at = Some(now);
                actions.push(Action::Probe(member.address));
            }
        }
    }

    /// Probes an agent in another zone that is not heard of otherwise, at intervals, the zones in turn.
    ///
    /// Failure answered: the store's replies to the watches of a balancer and of all agents that it uses
    /// are lost, as when the store rejects the VMs of a zone. Frames of other zones show the revision.
    pub fn probe_quiet(&mut self, now: Instant, actions: &mut Vec<Action>) {
        if now.saturating_duration_since(self.quiet_probed_at) < QUIET_PROBE_INTERVAL {
            return;
        }
        self.quiet_probed_at = now;
        let mut quiet: BTreeMap<&ZoneName, Vec<SocketAddrV4>> = BTreeMap::new();
        for member in self.by_address.values() {
            let is_quiet = member
                .last_frame_at
                .is_some_and(|at| now.saturating_duration_since(at) >= QUIET_AFTER);
            let is_remote = member.zone != *self.zones.own();
            if is_remote && is_quiet && member.listed && !member.is_agent_silent(now) {
                quiet.entry(&member.zone).or_default().push(member.address);
            }
        }
        let last_zone = self.quiet_zone.as_ref();
        let next = quiet.iter().find(|(zone, _)| Some(**zone) > last_zone);
        let Some((zone, agents)) = next.or_else(|| quiet.iter().next()) else {
            return;
        };
        let last_agent = self.quiet_cursors.get(*zone);
        let next = agents.iter().find(|agent| Some(*agent) > last_agent);
        if let Some(&agent) = next.or_else(|| agents.first()) {
            actions.push(Action::Probe(agent));
            let zone = (*zone).clone();
            self.quiet_cursors.insert(zone.clone(), agent);
            self.quiet_zone = Some(zone);
        }
    }

    /// While an agent is silent, probes agents that answer, to find out whether the balancer's own
    /// path is the cause.
    pub fn check_path(&mut self, now: Instant, actions: &mut Vec<Action>) {
        let mut members = self.by_address.values();
        if !self.path_monitor.is_due(now)
            || !members.any(|member| member.is_unanswered_for(now, PATH_CHECK_AFTER))
        {
            return;
        }
        let answering = self.by_address.values();
        let mut answering: Vec<_> = answering
            .filter(|member| member.last_frame_at.is_some() && !member.is_agent_silent(now))
            .map(|member| (Reverse(member.last_frame_at), member.address))
            .collect();
        answering.sort_unstable();
        answering.truncate(PATH_CHECK_AGENTS);
        let probed: Vec<_> = answering.into_iter().map(|(_, address)| address).collect();
        actions.extend(probed.iter().copied().map(Action::Probe));
        self.path_monitor
            .begin_round(now, self.probe_timestamp(now), probed);
    }

    /// Removes agents that the store has not listed for `UNLISTED_RETENTION`.
    pub fn sweep(&mut self, now: Instant) {
        let candidates = &mut self.candidates;
        self.by_address.retain(|_, member| {
            let is_kept = member.listed
                || member
                    .unlisted_at
                    .is_none_or(|at| now.saturating_duration_since(at) < UNLISTED_RETENTION);
            if !is_kept {
                candidates.remove(member);
            }
            is_kept
        });
    }
}

/// The part of a demand that the agent at `index` among those asked is told. All are told of the least
/// critical class, and one for each SYN of the others: agents keep a place for the most critical class
/// that they were told of, and what is kept for a SYN at more than one agent is of use at one only.
fn demand_at(index: usize, by_class: &[(Priority, u16)]) -> Vec<(Priority, u16)> {
    let least_critical = by_class.last().map(|&(class, _)| class);
    let mut waiting = 0;
    let is_told = |&&(class, count): &&(Priority, u16)| {
        waiting += usize::from(count);
        index < waiting || Some(class) == least_critical
    };
    by_class.iter().filter(is_told).copied().collect()
}
