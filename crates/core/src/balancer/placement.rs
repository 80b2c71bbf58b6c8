//! Choice of the agent for a new flow.

use std::time::Instant;

use rand::{Rng, seq::IndexedRandom};
use sassafrasmast_wire::{AgentId, ServiceId, State};

use super::{
    Policy, Settings,
    table::{Entry, Table},
};

/// Candidates looked at for one flow.
const MAX_SAMPLED_AGENTS: usize = 32;

/// Wait in microseconds that an agent filled up to its limit stands for.
const FULL_OCCUPANCY_WAIT_US: f64 = 100_000.0;

/// Wait in microseconds that an open flow stands for: feeds hold connections, not slots.
const OPEN_FLOW_WAIT_US: f64 = 100.0;

/// One of this many flows may go to a cold agent while others are ready.
const SLOW_START_RATIO: u32 = 8;

/// How far an agent is trusted to take a flow; better ones first.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
enum Class {
    Ready,
    Cold,
    Unknown,
    HandedBack,
}

/// One candidate as it stands now.
#[derive(Debug, Clone, Copy)]
struct Candidate {
    agent: AgentId,
    class: Class,
    slow_start: bool,
    cost: f64,
    flows: f64,
}

/// Chooses agents for new flows.
#[derive(Debug)]
pub(super) struct Placement<'a> {
    /// The router's settings.
    pub(super) settings: &'a Settings,
    /// Configuration and members.
    pub(super) table: &'a Table,
    /// Number of this placement, for round robin.
    pub(super) sequence: usize,
}

impl Placement<'_> {
    /// Chooses an agent other than `excluded`; `None` if none takes new flows.
    pub(super) fn choose(
        &self,
        now: Instant,
        rng: &mut impl Rng,
        service: ServiceId,
        excluded: Option<AgentId>,
    ) -> Option<AgentId> {
        let agents = self.table.candidates.get(&service)?;
        let candidates: Vec<_> = agents
            .choose_multiple(rng, MAX_SAMPLED_AGENTS.min(agents.len()))
            .filter(|&&agent| Some(agent) != excluded)
            .filter_map(|&agent| self.candidate(now, agent))
            .collect();
        if rng.random_ratio(1, SLOW_START_RATIO) {
            let cold: Vec<_> = candidates
                .iter()
                .copied()
                .filter(|c| c.slow_start)
                .collect();
            if let Some(candidate) = cold.choose(rng) {
                return Some(candidate.agent);
            }
        }
        let best = candidates.iter().map(|candidate| candidate.class).min()?;
        let eligible: Vec<_> = candidates
            .into_iter()
            .filter(|candidate| candidate.class == best)
            .collect();
        self.apply_policy(rng, eligible)
    }

    fn apply_policy(&self, rng: &mut impl Rng, mut eligible: Vec<Candidate>) -> Option<AgentId> {
        let chosen = match self.settings.policy {
            Policy::Random => *eligible.choose(rng)?,
            Policy::RoundRobin => {
                eligible.sort_by_key(|candidate| candidate.agent);
                *eligible.get(self.sequence % eligible.len())?
            }
            Policy::LeastConnections => {
                *eligible.iter().min_by(|a, b| a.flows.total_cmp(&b.flows))?
            }
            Policy::LeastWait => *eligible
                .choose_multiple(rng, eligible.len() / 2 + 1)
                .min_by(|a, b| a.cost.total_cmp(&b.cost))?,
            Policy::PredictedWait => *eligible
                .choose_multiple(rng, 2)
                .min_by(|a, b| a.cost.total_cmp(&b.cost))?,
        };
        Some(chosen.agent)
    }

    fn candidate(&self, now: Instant, agent: AgentId) -> Option<Candidate> {
        let entry: &Entry = self.table.entries.get(&agent)?;
        let member = entry.member();
        if member.is_suspect(now) || !member.load.state.takes_work() {
            return None;
        }
        let class = match (
            member.handed_back_recently(now),
            member.has_reported(),
            member.load.state,
        ) {
            (true, _, _) => Class::HandedBack,
            (false, false, _) => Class::Unknown,
            (false, true, State::Ready) => Class::Ready,
            (false, true, _) => Class::Cold,
        };
        let penalty = if entry.local {
            0.0
        } else {
            self.settings.remote_penalty.as_micros() as f64
        };
        Some(Candidate {
            agent,
            class,
            slow_start: member.takes_slow_start_flow(now),
            cost: f64::from(member.load.wait_us)
                + FULL_OCCUPANCY_WAIT_US * member.occupancy(now)
                + OPEN_FLOW_WAIT_US * f64::from(member.load.flows)
                + penalty,
            flows: f64::from(member.load.flows) + member.pending_flows(now),
        })
    }
}
