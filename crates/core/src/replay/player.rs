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
    Decision, Error, Report, Trace, balancer::Balancer, checker::Checker, decision::Effect,
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
            inputs += usize::from(self.feed(now, event)?);
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

    /// Collects all pauses before the replay: a trace records a pause only at its end.
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

    /// When a process runs work that is due at `at`: then, or, if `at` lies in a pause of the
    /// process, just after the pause and after the inputs recorded at its end.
    fn next_runnable(&self, process: &str, at: Instant) -> Instant {
        let pauses = self.pauses.get(process).into_iter().flatten();
        let pause = pauses
            .copied()
            .find(|(from, to)| (*from..=*to).contains(&at));
        pause.map_or(at, |(_, end)| end + Duration::from_nanos(1))
    }

    /// Runs the ticks of all processes that are due before `now`, in the order of time.
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
            let stuck = agent.next_tick().is_some_and(|wake| wake <= at);
            self.collect_decisions(at, &process);
            if stuck {
                return;
            }
        }
    }

    /// Replays one event. Returns whether it was an input.
    fn feed(&mut self, now: Instant, event: &Event) -> Result<bool, Error> {
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
            Kind::AgentInput { input } => self.feed_agent(now, event, input)?,
            Kind::BalancerInput { input } => {
                let balancer = self.balancers.get_mut(&event.process);
                let balancer =
                    balancer.ok_or_else(|| Error::MissingSettings(event.process.clone()))?;
                let decided = balancer
                    .handle(now, input)
                    .ok_or_else(|| invalid_input(event))?;
                for effect in decided {
                    self.record(now, &event.process, None, effect);
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
            Kind::RequestStarted => self.checker.compare_start(&request),
            Kind::RequestAnswered { outcome, .. } => self.checker.compare_answer(&request, outcome),
            _ => {}
        }
    }

    fn feed_agent(&mut self, now: Instant, event: &Event, input: &Input) -> Result<(), Error> {
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
                self.checker.not_run(&(process.clone(), request));
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
        let effect = if allowed {
            Effect::HandedOver
        } else {
            Effect::Forbidden
        };
        self.record(now, process, Some(request), effect);
    }

    /// Records all pending decisions of an agent.
    fn collect_decisions(&mut self, now: Instant, process: &str) {
        while let Some(action) = self.agents.get_mut(process).and_then(Agent::poll) {
            let (request, effect) = match action {
                Action::Start { id } => (Some(id), Effect::Start),
                Action::Abort { id } => (Some(id), Effect::Abort),
                Action::Relay { id, to } => (Some(id), Effect::Relay(to)),
                Action::Claim { id, .. } => (Some(id), Effect::Claim),
                Action::Answer { id, reply } => {
                    let (outcome, kind) = answer_to_caller(&reply);
                    self.checker.answered(&(process.to_owned(), id), outcome);
                    (Some(id), Effect::Answer { outcome, kind })
                }
                Action::LimitChanged { limit } => (None, Effect::Limit(limit)),
                Action::Collapsed => (None, Effect::Collapsed),
            };
            self.record(now, process, request, effect);
        }
    }

    fn record(&mut self, now: Instant, process: &str, request: Option<RequestId>, effect: Effect) {
        let at = now.saturating_duration_since(self.start);
        self.decisions.push(Decision {
            at,
            process: process.to_owned(),
            request,
            effect,
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
