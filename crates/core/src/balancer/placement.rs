//! Selection of the agent for a new flow.

use std::time::Instant;

use rand::{Rng, seq::IndexedRandom};
use sassafrasmast_wire::{AgentId, ServiceId, State};

use super::{
    Policy, Settings,
    table::{Entry, Table},
};

/// Maximum number of agents considered for one flow.
const MAX_SAMPLED_AGENTS: usize = 32;

/// Cost, in microseconds of wait, of an agent whose limit is fully used.
const FULL_OCCUPANCY_WAIT_US: f64 = 100_000.0;

/// Cost, in microseconds of wait, of each open flow. Feeds (long-lived requests) hold connections
/// but no slots, so the occupancy does not show them.
const OPEN_FLOW_WAIT_US: f64 = 100.0;

/// One in this many flows, on average, may go to a cold agent while others are ready.
const SLOW_START_RATIO: u32 = 8;

/// Preference class of an agent, best first. Only agents of the best class present are chosen.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
enum Class {
    Ready,
    Cold,
    /// Has not reported yet.
    Unknown,
    /// Has recently handed a flow back.
    HandedBack,
}

/// Preference class and cost of one agent at the time of a placement.
#[derive(Debug, Clone, Copy)]
struct Candidate {
    agent: AgentId,
    class: Class,
    takes_slow_start_flow: bool,
    cost_us: f64,
    /// Open flows in the last report plus the estimated flows placed since.
    flows: f64,
}

/// Chooses the agent for one new flow.
#[derive(Debug)]
pub(super) struct Placement<'a> {
    /// The router's settings.
    pub(super) settings: &'a Settings,
    /// Admitted agents and their health records.
    pub(super) table: &'a Table,
    /// Sequence number of this placement, for round robin.
    pub(super) sequence: usize,
}

impl Placement<'_> {
    /// Chooses an agent other than `excluded`; `None` if no agent accepts new flows.
    pub(super) fn choose(
        &self,
        now: Instant,
        rng: &mut impl Rng,
        service: ServiceId,
        excluded: Option<AgentId>,
    ) -> Option<AgentId> {
        let agents = self.table.eligible.get(&service)?;
        let candidates: Vec<_> = agents
            .choose_multiple(rng, MAX_SAMPLED_AGENTS.min(agents.len()))
            .filter(|&&agent| Some(agent) != excluded)
            .filter_map(|&agent| self.candidate(now, agent))
            .collect();
        if rng.random_ratio(1, SLOW_START_RATIO) {
            let cold: Vec<_> = candidates
                .iter()
                .copied()
                .filter(|c| c.takes_slow_start_flow)
                .collect();
            if let Some(candidate) = cold.choose(rng) {
                return Some(candidate.agent);
            }
        }
        let best_class = candidates.iter().map(|candidate| candidate.class).min()?;
        let pool: Vec<_> = candidates
            .into_iter()
            .filter(|candidate| candidate.class == best_class)
            .collect();
        self.apply_policy(rng, pool)
    }

    fn apply_policy(&self, rng: &mut impl Rng, mut pool: Vec<Candidate>) -> Option<AgentId> {
        let chosen = match self.settings.policy {
            Policy::Random => *pool.choose(rng)?,
            Policy::RoundRobin => {
                pool.sort_by_key(|candidate| candidate.agent);
                *pool.get(self.sequence % pool.len())?
            }
            Policy::LeastConnections => *pool.iter().min_by(|a, b| a.flows.total_cmp(&b.flows))?,
            Policy::LeastWait => *pool
                .choose_multiple(rng, pool.len() / 2 + 1)
                .min_by(|a, b| a.cost_us.total_cmp(&b.cost_us))?,
            Policy::PredictedWait => *pool
                .choose_multiple(rng, 2)
                .min_by(|a, b| a.cost_us.total_cmp(&b.cost_us))?,
        };
        Some(chosen.agent)
    }

    fn candidate(&self, now: Instant, agent: AgentId) -> Option<Candidate> {
        let entry: &Entry = self.table.entries.get(&agent)?;
        let health = entry.health();
        if health.is_suspect(now) || !health.load.state.takes_work() {
            return None;
        }
        let class = match (
            health.handed_back_recently(now),
            health.has_reported(),
            health.load.state,
        ) {
            (true, _, _) => Class::HandedBack,
            (false, false, _) => Class::Unknown,
            (false, true, State::Ready) => Class::Ready,
            (false, true, _) => Class::Cold,
        };
        let penalty = if entry.in_local_zone {
            0.0
        } else {
            self.settings.remote_penalty.as_micros() as f64
        };
        Some(Candidate {
            agent,
            class,
            takes_slow_start_flow: health.takes_slow_start_flow(now),
            cost_us: f64::from(health.load.wait_us)
                + FULL_OCCUPANCY_WAIT_US * health.occupancy(now)
                + OPEN_FLOW_WAIT_US * f64::from(health.load.flows)
                + penalty,
            flows: f64::from(health.load.flows) + health.pending_flows(now),
        })
    }
}
