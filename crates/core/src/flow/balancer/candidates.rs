//! Choice of the agent for a new flow.

use std::{
    collections::{BTreeSet, HashMap},
    net::SocketAddrV4,
    time::{Duration, Instant},
};

use super::{Members, Speed};
use crate::flow::{Key, Member, ServiceName, State, ZoneName, ranking::Ranker};

/// Cost of a new flow at the best upstream of the own zone up to which other zones are not
/// considered: requests still find a free slot. Like the penalties below it is a fraction of the
/// upstream's slots, as [`Member::load`] is.
const MAX_LOCAL_COST: f64 = 0.6;

/// Load added for the latency to an upstream of another zone.
const REMOTE_PENALTY: f64 = 0.15;

/// Load added for a cold upstream, whose requests take about 1.5 times as long.
const COLD_PENALTY: f64 = 0.3;

/// Load added for an upstream that has not announced itself to its agent or has recently bounced a
/// SYN. Exceeds the sum of the other penalties.
const LAST_CHOICE_PENALTY: f64 = 3.0;

/// Number of the highest ranked upstreams of the own zone among which the cheapest is selected.
const LOCAL_CANDIDATES: usize = 2;

/// Expected completion at the best candidate of the own zone up to which no other upstream is
/// considered, as a multiple of the service's median time.
const MAX_LOCAL_COMPLETION: f64 = 1.25;

/// Expected completion at a place that becomes free, as a multiple of the median time: agents take
/// half a request of work ahead.
const PLACE_COMPLETION: f64 = 1.5;

/// Difference of the expected completions up to which a flow stays in the own zone while an upstream
/// there has room, where upstreams differ in speed, as a multiple of the median time: waits are known
/// only as of the last reports. Among equal upstreams it always stays.
const LEAVING_MARGIN: f64 = 0.5;

/// Time of a request at a cold upstream, as a multiple of the service's median time.
const COLD_FACTOR: f64 = 1.5;

/// Agents by service and zone, so that a choice reads those of one service only.
#[derive(Debug, Default)]
pub struct Candidates {
    by_service: HashMap<ServiceName, HashMap<ZoneName, Vec<SocketAddrV4>>>,
}

impl Candidates {
    /// Adds an agent that is not in the index.
    pub fn insert(&mut self, member: &Member) {
        let by_zone = self.by_service.entry(member.service.clone()).or_default();
        let addresses = by_zone.entry(member.zone.clone()).or_default();
        addresses.push(member.address);
    }

    /// Removes an agent.
    pub fn remove(&mut self, member: &Member) {
        let by_zone = self.by_service.get_mut(&member.service);
        if let Some(addresses) = by_zone.and_then(|by_zone| by_zone.get_mut(&member.zone)) {
            addresses.retain(|address| *address != member.address);
        }
    }

    /// The agents of a service in a zone.
    fn of_zone(&self, service: &str, zone: &str) -> &[SocketAddrV4] {
        let by_zone = self.by_service.get(service);
        by_zone
            .and_then(|by_zone| by_zone.get(zone))
            .map_or(&[], Vec::as_slice)
    }

    /// The agents of a service.
    fn of_service(&self, service: &str) -> impl Iterator<Item = &SocketAddrV4> {
        let by_zone = self.by_service.get(service).into_iter();
        by_zone.flat_map(HashMap::values).flatten()
    }
}

/// The member with the lowest cost, and the cost.
fn cheapest<'a>(
    members: impl IntoIterator<Item = &'a Member>,
    cost: impl Fn(&Member) -> f64,
) -> Option<(f64, &'a Member)> {
    members
        .into_iter()
        .map(|member| (cost(member), member))
        .min_by(|a, b| a.0.total_cmp(&b.0).then(a.1.address.cmp(&b.1.address)))
}

impl Members {
    /// The agent for a new flow. The cheaper of the two highest ranked upstreams of this zone is
    /// taken if it has room to spare, else the upstream where the flow is expected to complete
    /// first. `None` if no upstream has room, or if a place in the own zone is expected sooner than
    /// what it costs to leave it.
    pub fn choose(
        &self,
        now: Instant,
        flow: &Key,
        service: &str,
        tried: &[SocketAddrV4],
        zones_out: &BTreeSet<ZoneName>,
    ) -> Option<SocketAddrV4> {
        let accepts = |member: &Member| {
            member.accepts_flows(now)
                && !zones_out.contains(&member.zone)
                && !tried.contains(&member.address)
        };
        let local = self.local_candidates(flow, service, accepts);
        let load_cost = |member: &Member| self.load_cost(now, member);
        let Some(speed) = self.speeds().get(service) else {
            return match cheapest(local, load_cost) {
                Some((cost, member)) if cost <= MAX_LOCAL_COST => Some(member.address),
                _ => {
                    let usable = self.of_service(service).filter(|member| accepts(member));
                    cheapest(usable, load_cost).map(|(_, member)| member.address)
                }
            };
        };
        let cost = |member: &Member| self.cost(now, member, speed);
        let own = self.zones().own();
        let in_own = self.of_zone(service, own).filter(|member| accepts(member));
        let own_best = if speed.is_even {
            match cheapest(local, load_cost) {
                Some((cost, member)) if cost <= MAX_LOCAL_COST => return Some(member.address),
                _ => cheapest(in_own, load_cost).map(|(_, member)| (cost(member), member)),
            }
        } else {
            let limit = speed.median.as_secs_f64() * MAX_LOCAL_COMPLETION;
            match cheapest(local, cost) {
                Some((cost, member)) if cost <= limit => return Some(member.address),
                _ => cheapest(in_own, cost),
            }
        };
        // A place at a slow upstream is not worth more than the next one at another.
        let own_best = own_best
            .filter(|(own, _)| speed.is_even || !self.is_worth_waiting(service, *own, speed));
        let in_others = self
            .of_service(service)
            .filter(|member| member.zone != *own && accepts(member));
        let Some((away, other)) = cheapest(in_others, cost) else {
            return own_best.map(|(_, member)| member.address);
        };
        let margin = speed.median.as_secs_f64() * LEAVING_MARGIN;
        match own_best {
            Some((own, member)) if speed.is_even || own <= away + margin => Some(member.address),
            Some(_) => Some(other.address),
            None => {
                let away = self.completion(now, other, speed);
                self.is_leaving(now, service, zones_out, away, speed)
                    .then_some(other.address)
            }
        }
    }

    /// The highest ranked upstreams of the own zone that accept a flow.
    fn local_candidates(
        &self,
        flow: &Key,
        service: &str,
        accepts: impl Fn(&Member) -> bool,
    ) -> impl Iterator<Item = &Member> {
        let mut best: [Option<(u64, &Member)>; LOCAL_CANDIDATES] = [None; LOCAL_CANDIDATES];
        let mut ranker = Ranker::new(flow);
        for &address in self.candidates().of_zone(service, self.zones().own()) {
            let rank = ranker.rank(address);
            // Few upstreams rank above the best so far, so few are looked up.
            let is_higher =
                |entry: &Option<(u64, &Member)>| entry.is_none_or(|(other, _)| rank > other);
            if let Some(place) = best.iter().position(is_higher)
                && let Some(member) = self.get(address)
                && accepts(member)
            {
                best[place..].rotate_right(1);
                best[place] = Some((rank, member));
            }
        }
        best.into_iter().flatten().map(|(_, member)| member)
    }

    /// The members of a service.
    fn of_service(&self, service: &str) -> impl Iterator<Item = &Member> {
        let addresses = self.candidates().of_service(service);
        addresses.filter_map(|&address| self.get(address))
    }

    /// The members of a service in a zone.
    fn of_zone(&self, service: &str, zone: &str) -> impl Iterator<Item = &Member> {
        let addresses = self.candidates().of_zone(service, zone).iter();
        addresses.filter_map(|&address| self.get(address))
    }

    /// Whether a flow that would complete after `completion` seconds had better wait for a place at
    /// an upstream of median speed.
    fn is_worth_waiting(&self, service: &str, completion: f64, speed: Speed) -> bool {
        let wait = self.zones().own_wait(service);
        let median = speed.median.as_secs_f64() * PLACE_COMPLETION;
        wait.is_some_and(|wait| wait.as_secs_f64() + median < completion)
    }

    /// Whether a flow leaves the own zone, which has no room for it, for a place where it completes
    /// after `away` seconds.
    fn is_leaving(
        &self,
        now: Instant,
        service: &str,
        zones_out: &BTreeSet<ZoneName>,
        away: f64,
        speed: Speed,
    ) -> bool {
        let own = self.zones().own();
        let own_slots: u32 = self
            .of_zone(service, own)
            .filter(|member| member.is_usable(now))
            .map(|member| u32::from(member.report.slots))
            .sum();
        if zones_out.contains(own) || own_slots == 0 {
            return true;
        }
        let next_place = speed.median / own_slots;
        let wait = self.zones().own_wait(service);
        wait.is_none_or(|wait| {
            let wait = wait.max(next_place);
            let completion = wait + speed.median.mul_f64(PLACE_COMPLETION);
            wait > self.zones().remote_cost() && completion.as_secs_f64() > away
        })
    }

    /// Cost of placing a new flow on a member by its load, where nothing is known of the times that
    /// requests take or these are equal.
    fn load_cost(&self, now: Instant, member: &Member) -> f64 {
        let remote = if member.zone == *self.zones().own() {
            0.0
        } else {
            REMOTE_PENALTY
        };
        let cold = match member.report.state {
            State::Cold => COLD_PENALTY,
            _ => 0.0,
        };
        member.load(now) + remote + cold + last_choice_penalty(now, member)
    }

    /// Time that a request is expected to take in a slot of a member.
    fn time_in_slot(&self, now: Instant, member: &Member, speed: Speed) -> Duration {
        let assumed = match member.report.state {
            State::Cold => speed.median.mul_f64(COLD_FACTOR),
            _ => speed.median,
        };
        member.service_time(now).unwrap_or(assumed)
    }

    /// Time until a new flow is expected to complete on a member, in seconds, with what it costs to
    /// go to the member's zone.
    fn completion(&self, now: Instant, member: &Member, speed: Speed) -> f64 {
        let time = self.time_in_slot(now, member, speed);
        let last_choice = speed.median.as_secs_f64() * last_choice_penalty(now, member);
        let path = self.zones().cost(&member.zone).as_secs_f64();
        member.expected_wait(now, time) + time.as_secs_f64() + path + last_choice
    }

    /// As [`Self::completion`], with what may have changed at the member since its report.
    fn cost(&self, now: Instant, member: &Member, speed: Speed) -> f64 {
        let time = self.time_in_slot(now, member, speed);
        self.completion(now, member, speed) + member.uncertain_wait(now, time)
    }
}

/// Load added for an upstream that is taken only if no other one is left, else 0.
fn last_choice_penalty(now: Instant, member: &Member) -> f64 {
    let is_unknown = member.report.state == State::Unknown;
    let penalty = |applies: bool| if applies { LAST_CHOICE_PENALTY } else { 0.0 };
    penalty(is_unknown) + penalty(member.has_shed(now))
}
