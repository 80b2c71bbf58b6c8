//! The agents that a balancer knows.

use std::{
    cmp::Reverse,
    collections::{BTreeSet, HashMap, HashSet},
    net::SocketAddrV4,
    time::{Duration, Instant},
};

use super::{Action, Comparison};
use crate::flow::{Key, Member, Report, State, ZoneName, intent::Route, ranking};

/// Load of the better one of the two best ranked upstreams of the own zone, up to which no other
/// zone is looked at: requests still find a free slot.
const LOCAL_LOAD: f64 = 0.6;

/// Load that a packet's way to another zone counts for.
const REMOTE_PENALTY: f64 = 0.15;

/// Load that a cold upstream counts for: it takes about half as long again for each request.
const COLD_PENALTY: f64 = 0.3;

/// Load that an upstream counts for which its agent has not heard, or which has just given an
/// opening packet back: more than any zone's way or coldness.
const LAST_CHOICE_PENALTY: f64 = 3.0;

/// Upstreams of a zone among which load decides.
const CHOICES: usize = 2;

/// How often a silent agent is probed.
const PROBE_EVERY: Duration = Duration::from_millis(100);

/// How often an agent that the store does not list is probed while it answers: what the store
/// does not say must be heard.
const PROBE_UNLISTED_EVERY: Duration = Duration::from_secs(1);

/// How often full upstreams are asked for their load while flows wait for them.
const REFRESH_EVERY: Duration = Duration::from_millis(20);

/// An agent that open flows use is probed if it was not heard for this long.
const CHECK_AFTER: Duration = Duration::from_millis(400);

/// An agent that has answered nothing for this long has its flows reset that may be repeated:
/// five probes, and less than the second repetition of a client's packet.
const UNREACHABLE_AFTER: Duration = Duration::from_millis(550);

/// Silence of an agent from which on others are probed to compare it with.
const COMPARE_AFTER: Duration = Duration::from_millis(250);

/// Agents that a silent one is compared with: one answer may be lost.
const COMPARED: usize = 2;

/// Time without any frame after which a balancer takes itself to be cut off: two of the checks
/// by which routers learn of it.
const CUT_OFF_AFTER: Duration = Duration::from_secs(1);

/// An agent that the store does not list and that nobody hears is forgotten after this time: no
/// flow is older.
const FORGET_AFTER: Duration = Duration::from_secs(60);

/// The agents that a balancer knows.
#[derive(Debug)]
pub struct Members {
    zone: ZoneName,
    by_address: HashMap<SocketAddrV4, Member>,
    additions: u64,
    /// When this balancer started.
    started_at: Instant,
    comparison: Comparison,
    /// When an agent was last heard.
    heard_at: Option<Instant>,
}

impl Members {
    /// None yet, seen from `zone`.
    pub fn new(now: Instant, zone: ZoneName) -> Self {
        Self {
            zone,
            by_address: HashMap::new(),
            additions: 0,
            started_at: now,
            comparison: Comparison::default(),
            heard_at: None,
        }
    }

    /// All members.
    pub fn iter(&self) -> impl Iterator<Item = &Member> {
        self.by_address.values()
    }

    /// How often an address was added, for those who keep a list of their own.
    pub fn additions(&self) -> u64 {
        self.additions
    }

    /// One member.
    pub fn get(&self, address: SocketAddrV4) -> Option<&Member> {
        self.by_address.get(&address)
    }

    /// Takes the store's whole list.
    pub fn replace(&mut self, now: Instant, listed: Vec<Member>) {
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
            self.list(member);
        }
    }

    /// Takes one agent as the store lists it.
    pub fn list(&mut self, member: Member) {
        match self.by_address.get_mut(&member.address) {
            // What the agent itself said is newer.
            Some(known) if known.service == member.service => {
                known.listed = true;
                known.unlisted_at = None;
                if known.heard_at.is_none() {
                    known.report = member.report;
                }
            }
            _ => self.insert(member),
        }
    }

    /// Takes an agent that another balancer knows, unless it is known here.
    pub fn add(&mut self, member: Member) {
        if !self.by_address.contains_key(&member.address) {
            self.insert(member);
        }
    }

    fn insert(&mut self, member: Member) {
        self.additions += 1;
        self.by_address.insert(member.address, member);
    }

    /// Takes an agent that speaks for itself while the store does not list it.
    pub fn introduce(
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
        self.hear(now, address, report);
    }

    /// Notes that the store no longer lists an agent.
    pub fn unlist(&mut self, now: Instant, address: SocketAddrV4) {
        if let Some(member) = self.by_address.get_mut(&address) {
            member.listed = false;
            member.unlisted_at.get_or_insert(now);
        }
    }

    /// Takes a report that came from an agent.
    pub fn hear(&mut self, now: Instant, from: SocketAddrV4, report: Report) {
        if let Some(member) = self.by_address.get_mut(&from) {
            member.hear(now, report);
            self.heard_at = Some(now);
        }
    }

    /// What a probe sent now carries.
    pub fn probe_timestamp(&self, now: Instant) -> u64 {
        let age = now.saturating_duration_since(self.started_at);
        u64::try_from(age.as_millis()).unwrap_or(u64::MAX)
    }

    /// An agent answered a probe that carried `stamp`.
    pub fn answer(&mut self, now: Instant, from: SocketAddrV4, stamp: u64, report: Report) {
        self.hear(now, from, report);
        self.comparison.note_answer(from, stamp);
    }

    /// Until when this balancer's own path is known to have been good.
    pub fn proven_until(&self) -> Option<Instant> {
        self.comparison.proven_until()
    }

    /// Whether this balancer itself seems to be cut off: agents owe answers and none is heard any
    /// more, though some were.
    pub fn is_cut_off(&self, now: Instant) -> bool {
        let hears_nobody = self
            .heard_at
            .is_some_and(|at| now.saturating_duration_since(at) >= CUT_OFF_AFTER);
        let mut members = self.by_address.values();
        hears_nobody && members.any(|member| member.is_quiet(now, CUT_OFF_AFTER))
    }

    /// Notes that an agent got a packet that it answers.
    pub fn expect_answer(&mut self, now: Instant, address: SocketAddrV4) {
        if let Some(member) = self.by_address.get_mut(&address) {
            member.expect_answer(now);
        }
    }

    /// The upstream for a new flow: the less loaded one of the two best ranked of this zone, or
    /// the least loaded one of all while those are busy.
    pub fn choose(
        &self,
        now: Instant,
        flow: &Key,
        service: &str,
        tried: &[SocketAddrV4],
        zones_out: &BTreeSet<ZoneName>,
    ) -> Option<SocketAddrV4> {
        let usable: Vec<&Member> = self
            .by_address
            .values()
            .filter(|member| {
                &*member.service == service
                    && member.takes_flows(now)
                    && !zones_out.contains(&member.zone)
                    && !tried.contains(&member.address)
            })
            .collect();
        let mut local: Vec<&Member> = usable
            .iter()
            .copied()
            .filter(|member| member.zone == self.zone)
            .collect();
        local.sort_by_cached_key(|member| Reverse(ranking::rank(flow, member.address)));
        local.truncate(CHOICES);
        let cost = |member: &Member| self.cost(now, member);
        let cheapest = |members: &[&Member]| {
            members
                .iter()
                .map(|member| (cost(member), member.address))
                .min_by(|a, b| a.0.total_cmp(&b.0).then(a.1.cmp(&b.1)))
        };
        match cheapest(&local) {
            Some((cost, address)) if cost <= LOCAL_LOAD => Some(address),
            _ => cheapest(&usable).map(|(_, address)| address),
        }
    }

    /// Notes that an opening packet goes to an agent.
    pub fn placed(&mut self, now: Instant, address: SocketAddrV4) {
        if let Some(member) = self.by_address.get_mut(&address) {
            member.placed = member.placed.saturating_add(1);
            member.expect_answer(now);
        }
    }

    /// What a new flow costs at a member, in load.
    fn cost(&self, now: Instant, member: &Member) -> f64 {
        let remote = if member.zone == self.zone {
            0.0
        } else {
            REMOTE_PENALTY
        };
        let state = match member.report.state {
            State::Cold => COLD_PENALTY,
            State::Unknown => LAST_CHOICE_PENALTY,
            State::Ready | State::Silent | State::Draining | State::Gone => 0.0,
        };
        let shed = if member.has_shed(now) {
            LAST_CHOICE_PENALTY
        } else {
            0.0
        };
        member.load(now) + remote + state + shed
    }

    /// Whether no upstream of the service is known, while some of others are: an empty list says
    /// more of the list than of the upstreams.
    pub fn lacks(&self, now: Instant, service: &str) -> bool {
        let serves = |member: &Member| {
            &*member.service == service
                && (member.listed || member.is_heard(now))
                && member.report.state != State::Gone
        };
        !self.by_address.is_empty() && !self.by_address.values().any(serves)
    }

    /// Asks all upstreams of a service that are full for their load.
    pub fn refresh(&mut self, now: Instant, service: &str, actions: &mut Vec<Action>) {
        for member in self.by_address.values_mut() {
            let is_due = member
                .probed_at
                .is_none_or(|at| now.saturating_duration_since(at) >= REFRESH_EVERY);
            if &*member.service == service && member.is_full(now) && is_due {
                member.probed_at = Some(now);
                actions.push(Action::Probe(member.address));
            }
        }
    }

    /// Notes that an upstream gave an opening packet back.
    pub fn shed(&mut self, now: Instant, address: SocketAddrV4) {
        if let Some(member) = self.by_address.get_mut(&address) {
            member.shed_at = Some(now);
        }
    }

    /// In which order agents are asked for the home of a flow: `first`, then the services of the
    /// route by rank, then all others, since routes change while flows stay.
    pub fn search_order(
        &self,
        flow: &Key,
        route: Option<&Route>,
        first: &[SocketAddrV4],
    ) -> Vec<SocketAddrV4> {
        let mut others: Vec<&Member> = self
            .by_address
            .values()
            .filter(|member| !first.contains(&member.address))
            .collect();
        others.sort_by_cached_key(|member| {
            let routed = route.is_some_and(|route| route.routes_to(&member.service));
            let local = member.zone == self.zone;
            Reverse((routed, local, ranking::rank(flow, member.address)))
        });
        let known = first
            .iter()
            .copied()
            .filter(|address| self.by_address.contains_key(address));
        known
            .chain(others.into_iter().map(|member| member.address))
            .collect()
    }

    /// Probes an agent that open flows use and that was not heard for a while. Tells whether it
    /// is unreachable.
    pub fn check(
        &mut self,
        now: Instant,
        address: SocketAddrV4,
        actions: &mut Vec<Action>,
    ) -> bool {
        let proven = self.proven_until();
        let Some(member) = self.by_address.get_mut(&address) else {
            return false;
        };
        let is_quiet = member
            .heard_at
            .is_none_or(|at| now.saturating_duration_since(at) >= CHECK_AFTER);
        if is_quiet && member.unanswered_since.is_none() {
            member.expect_answer(now);
            member.probed_at = Some(now);
            actions.push(Action::Probe(address));
        }
        member.is_unreachable(proven, UNREACHABLE_AFTER)
    }

    /// Probes agents that are new, so that their load is known before it is needed, agents that
    /// are silent, so that they come back into use, and agents that only their answers keep in use.
    pub fn probe(&mut self, now: Instant, actions: &mut Vec<Action>) {
        for member in self.by_address.values_mut() {
            let since = member
                .probed_at
                .map_or(Duration::MAX, |at| now.saturating_duration_since(at));
            let is_new = member.listed && member.heard_at.is_none() && member.probed_at.is_none();
            let is_due = if is_new {
                member.expect_answer(now);
                true
            } else if member.is_silent(now) && member.listed {
                since >= PROBE_EVERY
            } else {
                !member.listed && member.is_heard(now) && since >= PROBE_UNLISTED_EVERY
            };
            if is_due {
                member.probed_at = Some(now);
                actions.push(Action::Probe(member.address));
            }
        }
    }

    /// Probes agents that answer, so that the silence of others can be told from this side's.
    pub fn compare(&mut self, now: Instant, actions: &mut Vec<Action>) {
        let mut members = self.by_address.values();
        if !self.comparison.is_due(now)
            || !members.any(|member| member.is_quiet(now, COMPARE_AFTER))
        {
            return;
        }
        let answering = self.by_address.values();
        let mut answering: Vec<_> = answering
            .filter(|member| member.heard_at.is_some() && !member.is_silent(now))
            .map(|member| (Reverse(member.heard_at), member.address))
            .collect();
        answering.sort_unstable();
        answering.truncate(COMPARED);
        let compared: Vec<_> = answering.into_iter().map(|(_, address)| address).collect();
        actions.extend(compared.iter().copied().map(Action::Probe));
        self.comparison
            .begin_round(now, self.probe_timestamp(now), compared);
    }

    /// Forgets agents that are gone.
    pub fn sweep(&mut self, now: Instant) {
        self.by_address.retain(|_, member| {
            member.listed
                || member
                    .unlisted_at
                    .is_none_or(|at| now.saturating_duration_since(at) < FORGET_AFTER)
        });
    }
}
