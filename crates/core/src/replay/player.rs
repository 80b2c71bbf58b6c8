//! Replays a trace through the decision logic.

use std::{
    collections::{BTreeMap, BTreeSet},
    time::{Duration, Instant},
};

use crate::{
    agent::{Action, Agent, Input, Reply, Settings},
    error,
    timeline::{Event, Kind, RequestId},
};

use super::{
    Decision, Error, Report, Trace, balancer::Balancer, checker::Checker, decision::DecisionKind,
};

/// Replays one trace. The virtual clock starts at the instant given to [`Player::new`].
#[derive(Debug)]
pub struct Player {
    start: Instant,
    start_ns: u64,
    agents: BTreeMap<String, Agent>,
    balancers: BTreeMap<String, Balancer>,
    /// Agents whose ticks are not in the trace; the replay runs them when they are due.
    unrecorded_ticks: BTreeSet<String>,
    /// Time ranges in which a process was not scheduled.
    pauses: BTreeMap<String, Vec<(Instant, Instant)>>,
    checker: Checker,
    decisions: Vec<Decision>,
}

impl Player {
    /// A player whose virtual clock starts at `start`.
    pub fn new(start: Instant) -> Self {
        Self {
            start,
            start_ns: 0,
            agents: BTreeMap::new(),
            balancers: BTreeMap::new(),
            unrecorded_ticks: BTreeSet::new(),
            pauses: BTreeMap::new(),
            checker: Checker::default(),
            decisions: Vec::new(),
        }
    }

    /// Replays a trace to its end and checks its expectations.
    ///
    /// # Errors
    ///
    /// An error in the trace, such as an input that precedes the settings of its process.
    ///
    /// ```
    /// use std::time::Instant;
    /// use sassafrasmast_core::replay::{Error, Player, Trace};
    /// let empty = Trace::default();
    /// assert_eq!(Player::new(Instant::now()).play(&empty), Err(Error::NoInputs));
    /// ```
    pub fn play(mut self, trace: &Trace) -> Result<Report, Error> {
        self.start_ns = trace.events.first().map_or(0, |event| event.at_ns);
        self.find_pauses(trace);
        let mut inputs = 0;
        for event in &trace.events {
            let now = self.time_of(event);
            self.advance(now);
            inputs += usize::from(self.replay_event(now, event)?);
        }
        if inputs == 0 {
            return Err(Error::NoInputs);
        }
        let is_unmet = |expectation: &&super::Expectation| !expectation.is_met(&self.decisions);
        Ok(Report {
            unmet: trace
                .expectations
                .iter()
                .filter(is_unmet)
                .cloned()
                .collect(),
            expectation_count: trace.expectations.len(),
            decisions: self.decisions,
            violations: self.checker.finish(),
        })
    }

    /// Time of an event on the virtual clock.
    fn time_of(&self, event: &Event) -> Instant {
        self.start + Duration::from_nanos(event.at_ns - self.start_ns)
    }

    /// Collects all pauses before the replay: a pause is recorded only when it is over.
    fn find_pauses(&mut self, trace: &Trace) {
        for event in &trace.events {
            if let Kind::Resumed { after } = event.kind {
                let end = self.time_of(event);
                let pause = (end.checked_sub(after).unwrap_or(self.start), end);
                self.pauses
                    .entry(event.process.clone())
                    .or_default()
                    .push(pause);
            }
        }
    }

    /// Time at which `process` runs work that is due at `at`: `at` itself or, if the process was
    /// paused then, 1 ns after the pause, so that inputs recorded at its end come first.
    fn next_runnable(&self, process: &str, at: Instant) -> Instant {
        let pauses = self.pauses.get(process).into_iter().flatten();
        let pause = pauses
            .copied()
            .find(|(from, to)| (*from..=*to).contains(&at));
        pause.map_or(at, |(_, end)| end + Duration::from_nanos(1))
    }

    /// Runs the ticks due by `now`: first those of balancers, then those of agents whose ticks are
    /// not in the trace, in the order of time.
    fn advance(&mut self, now: Instant) {
        for balancer in self.balancers.values_mut() {
            balancer.advance(now);
        }
        loop {
            let due = |(process, agent): (&String, &Agent)| {
                Some((
                    self.next_runnable(process, agent.next_tick()?),
                    process.clone(),
                ))
            };
            let next = self
                .agents
                .iter()
                .filter(|(process, _)| self.unrecorded_ticks.contains(*process))
                .filter_map(due)
                .min()
                .filter(|(at, _)| *at <= now);
            let Some((at, process)) = next else {
                return;
            };
            let agent = self
                .agents
                .get_mut(&process)
                .expect("the process was just found");
            agent.tick(at);
            // A tick that leaves a wake time in the past would repeat forever.
            let stuck = agent.next_tick().is_some_and(|wake| wake <= at);
            self.collect_decisions(at, &process);
            if stuck {
                return;
            }
        }
    }

    /// Replays one event. Returns whether it was an input or the settings of a process.
    fn replay_event(&mut self, now: Instant, event: &Event) -> Result<bool, Error> {
        match &event.kind {
            Kind::AgentSettings { listen, ticks } => {
                let settings = Settings {
                    listen: *listen,
                    incarnation: event.incarnation,
                    ..Settings::default()
                };
                if !ticks {
                    self.unrecorded_ticks.insert(event.process.clone());
                }
                self.agents
                    .insert(event.process.clone(), Agent::new(settings, now));
            }
            Kind::BalancerSettings { zone, seed } => {
                let balancer = Balancer::new(now, zone.clone(), *seed);
                self.balancers.insert(event.process.clone(), balancer);
            }
            Kind::AgentInput { input } => self.replay_agent_input(now, event, input)?,
            Kind::BalancerInput { input } => {
                let balancer = self.balancers.get_mut(&event.process);
                let balancer =
                    balancer.ok_or_else(|| Error::MissingSettings(event.process.clone()))?;
                let decided = balancer
                    .handle(now, input)
                    .ok_or_else(|| invalid_input(event))?;
                for kind in decided {
                    self.record(now, &event.process, None, kind);
                }
            }
            kind => {
                self.compare_recorded(event, kind);
                return Ok(false);
            }
        }
        Ok(true)
    }

    /// Compares a recorded hand-over or answer with the replay.
    fn compare_recorded(&mut self, event: &Event, kind: &Kind) {
        let Some(request) = event.request else {
            return;
        };
        let request = (event.process.clone(), request);
        match kind {
            Kind::RequestStarted => self.checker.compare_hand_over(&request),
            Kind::RequestAnswered { outcome, .. } => self.checker.compare_answer(&request, outcome),
            _ => {}
        }
    }

    fn replay_agent_input(
        &mut self,
        now: Instant,
        event: &Event,
        input: &Input,
    ) -> Result<(), Error> {
        let process = &event.process;
        let agent = self.agents.get_mut(process);
        let agent = agent.ok_or_else(|| Error::MissingSettings(process.clone()))?;
        match (input, event.request) {
            (Input::HandOver, Some(request)) => {
                let allowed = agent.begin_hand_over(now, request);
                self.collect_decisions(now, process);
                self.record_hand_over(now, process, request, allowed);
                return Ok(());
            }
            (Input::Arrived { key, .. }, Some(request)) => {
                self.checker
                    .arrived((process.clone(), request), key.clone());
            }
            (Input::Refused | Input::Unreachable, Some(request)) => {
                self.checker.undo_hand_over(&(process.clone(), request));
            }
            _ => {}
        }
        if !agent.handle(now, event.request, input) {
            return Err(invalid_input(event));
        }
        self.collect_decisions(now, process);
        Ok(())
    }

    fn record_hand_over(&mut self, now: Instant, process: &str, request: RequestId, allowed: bool) {
        if allowed {
            self.checker.handed_over(&(process.to_owned(), request));
        }
        let kind = if allowed {
            DecisionKind::HandedOver
        } else {
            DecisionKind::Forbidden
        };
        self.record(now, process, Some(request), kind);
    }

    /// Records all pending decisions of an agent.
    fn collect_decisions(&mut self, now: Instant, process: &str) {
        while let Some(action) = self.agents.get_mut(process).and_then(Agent::poll) {
            let (request, kind) = match action {
                Action::Start { id } => (Some(id), DecisionKind::Start),
                Action::Abort { id } => (Some(id), DecisionKind::Abort),
                Action::Relay { id, to } => (Some(id), DecisionKind::Relay(to)),
                Action::Claim { id, .. } => (Some(id), DecisionKind::Claim),
                Action::Answer { id, reply } => {
                    let (outcome, kind) = answer_to_caller(&reply);
                    self.checker.answered(&(process.to_owned(), id), outcome);
                    (Some(id), DecisionKind::Answer { outcome, kind })
                }
                Action::LimitChanged { limit } => (None, DecisionKind::Limit(limit)),
                Action::Collapsed => (None, DecisionKind::Collapsed),
            };
            self.record(now, process, request, kind);
        }
    }

    fn record(
        &mut self,
        now: Instant,
        process: &str,
        request: Option<RequestId>,
        kind: DecisionKind,
    ) {
        let at = now.saturating_duration_since(self.start);
        self.decisions.push(Decision {
            at,
            process: process.to_owned(),
            request,
            kind,
        });
    }
}

/// The outcome that a reply reports to the caller, and its error kind.
fn answer_to_caller(reply: &Reply) -> (error::Outcome, Option<error::Kind>) {
    match reply {
        Reply::Fresh | Reply::Stored(_) => (error::Outcome::Ran, None),
        Reply::Error { kind, outcome } => (*outcome, Some(*kind)),
    }
}

fn invalid_input(event: &Event) -> Error {
    Error::InvalidInput {
        process: event.process.clone(),
        at_ns: event.at_ns,
    }
}
