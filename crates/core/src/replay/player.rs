//! Feeds a trace to the decisions.

use std::{
    collections::{BTreeMap, BTreeSet},
    time::{Duration, Instant},
};

use crate::{
    agent::{Action, Agent, Input, Reply, Settings},
    error,
    timeline::{Event, Kind, RequestId},
};

use super::{Decision, Error, Report, Trace, balancer::Balancer, checker::Checker, decision::What};

/// Plays traces. The virtual clock starts at the instant given to [`Player::new`].
#[derive(Debug)]
pub struct Player {
    base: Instant,
    start_ns: u64,
    agents: BTreeMap<String, Agent>,
    balancers: BTreeMap<String, Balancer>,
    /// Agents whose ticks are not recorded.
    ticking: BTreeSet<String>,
    /// Spans in which a process stood still.
    pauses: BTreeMap<String, Vec<(Instant, Instant)>>,
    checker: Checker,
    decisions: Vec<Decision>,
}

impl Player {
    /// A player whose virtual clock starts at `base`.
    pub fn new(base: Instant) -> Self {
        Self {
            base,
            start_ns: 0,
            agents: BTreeMap::new(),
            balancers: BTreeMap::new(),
            ticking: BTreeSet::new(),
            pauses: BTreeMap::new(),
            checker: Checker::default(),
            decisions: Vec::new(),
        }
    }

    /// Plays a trace to its end and checks its outcomes.
    ///
    /// # Errors
    ///
    /// A fault of the trace itself, such as an input before the settings of its process.
    ///
    /// ```
    /// use std::time::Instant;
    /// use sassafrasmast_core::replay::{Error, Player, Trace};
    /// let empty = Trace::default();
    /// assert_eq!(Player::new(Instant::now()).play(&empty), Err(Error::Empty));
    /// ```
    pub fn play(mut self, trace: &Trace) -> Result<Report, Error> {
        self.start_ns = trace.events.first().map_or(0, |event| event.at_ns);
        self.find_pauses(trace);
        let mut inputs = 0;
        for event in &trace.events {
            let now = self.time(event);
            self.advance(now);
            inputs += usize::from(self.feed(now, event)?);
        }
        if inputs == 0 {
            return Err(Error::Empty);
        }
        let held = |outcome: &&super::Outcome| !outcome.holds(&self.decisions);
        Ok(Report {
            missed: trace.outcomes.iter().filter(held).cloned().collect(),
            stated: trace.outcomes.len(),
            decisions: self.decisions,
            violations: self.checker.finish(),
        })
    }

    /// Time of an event on the virtual clock.
    fn time(&self, event: &Event) -> Instant {
        self.base + Duration::from_nanos(event.at_ns - self.start_ns)
    }

    /// Pauses are known only afterwards, so they are collected before the replay.
    fn find_pauses(&mut self, trace: &Trace) {
        for event in &trace.events {
            if let Kind::Resumed { after } = event.kind {
                let end = self.time(event);
                let pause = (end.checked_sub(after).unwrap_or(self.base), end);
                self.pauses
                    .entry(event.process.clone())
                    .or_default()
                    .push(pause);
            }
        }
    }

    /// When a process does what is due at `at`: after its pause, if it stands still then, and
    /// after what it does in the first instant of going on.
    fn awake(&self, process: &str, at: Instant) -> Instant {
        let pauses = self.pauses.get(process).into_iter().flatten();
        let pause = pauses
            .copied()
            .find(|(from, to)| (*from..=*to).contains(&at));
        pause.map_or(at, |(_, end)| end + Duration::from_nanos(1))
    }

    /// Lets all processes do what is due before `now`, in the order of time.
    fn advance(&mut self, now: Instant) {
        for balancer in self.balancers.values_mut() {
            balancer.advance(now);
        }
        loop {
            let due = |(process, agent): (&String, &Agent)| {
                Some((self.awake(process, agent.next_tick()?), process.clone()))
            };
            let next = self
                .agents
                .iter()
                .filter(|(process, _)| self.ticking.contains(*process))
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
            self.drain(at, &process);
            if stuck {
                return;
            }
        }
    }

    /// Feeds one event. Returns whether it was an input.
    fn feed(&mut self, now: Instant, event: &Event) -> Result<bool, Error> {
        match &event.kind {
            Kind::AgentSettings { listen, ticks } => {
                let settings = Settings {
                    listen: *listen,
                    incarnation: event.incarnation,
                    ..Settings::default()
                };
                if !ticks {
                    self.ticking.insert(event.process.clone());
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
                let balancer = balancer.ok_or_else(|| Error::Unknown(event.process.clone()))?;
                let decided = balancer.handle(now, input).ok_or_else(|| unusable(event))?;
                for what in decided {
                    self.note(now, &event.process, None, what);
                }
            }
            kind => {
                self.compare(event, kind);
                return Ok(false);
            }
        }
        Ok(true)
    }

    /// Compares what the recording tells of a request with the replay.
    fn compare(&mut self, event: &Event, kind: &Kind) {
        let Some(request) = event.request else {
            return;
        };
        let place = (event.process.clone(), request);
        match kind {
            Kind::RequestStarted => self.checker.recorded_start(&place),
            Kind::RequestAnswered { outcome, .. } => self.checker.recorded_answer(&place, outcome),
            _ => {}
        }
    }

    fn feed_agent(&mut self, now: Instant, event: &Event, input: &Input) -> Result<(), Error> {
        let process = &event.process;
        let agent = self.agents.get_mut(process);
        let agent = agent.ok_or_else(|| Error::Unknown(process.clone()))?;
        match (input, event.request) {
            (Input::HandOver, Some(request)) => {
                let allowed = agent.begin_hand_over(now, request);
                self.drain(now, process);
                self.hand_over(now, process, request, allowed);
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
            return Err(unusable(event));
        }
        self.drain(now, process);
        Ok(())
    }

    fn hand_over(&mut self, now: Instant, process: &str, request: RequestId, allowed: bool) {
        if allowed {
            self.checker.handed_over(&(process.to_owned(), request));
        }
        let what = if allowed {
            What::HandedOver
        } else {
            What::Forbidden
        };
        self.note(now, process, Some(request), what);
    }

    /// Takes all decisions of an agent.
    fn drain(&mut self, now: Instant, process: &str) {
        while let Some(action) = self.agents.get_mut(process).and_then(Agent::poll) {
            let (request, what) = match action {
                Action::Start { id } => (Some(id), What::Start),
                Action::Abort { id } => (Some(id), What::Abort),
                Action::Relay { id, to } => (Some(id), What::Relay(to)),
                Action::Claim { id, .. } => (Some(id), What::Claim),
                Action::Answer { id, reply } => {
                    let (outcome, kind) = told(&reply);
                    self.checker.answered(&(process.to_owned(), id), outcome);
                    (Some(id), What::Answer { outcome, kind })
                }
                Action::LimitChanged { limit } => (None, What::Limit(limit)),
                Action::Collapsed => (None, What::Collapsed),
            };
            self.note(now, process, request, what);
        }
    }

    fn note(&mut self, now: Instant, process: &str, request: Option<RequestId>, what: What) {
        let at = now.saturating_duration_since(self.base);
        self.decisions.push(Decision {
            at,
            process: process.to_owned(),
            request,
            what,
        });
    }
}

/// What a caller is told by a reply.
fn told(reply: &Reply) -> (error::Outcome, Option<error::Kind>) {
    match reply {
        Reply::Fresh | Reply::Stored(_) => (error::Outcome::Ran, None),
        Reply::Error { kind, outcome } => (*outcome, Some(*kind)),
    }
}

fn unusable(event: &Event) -> Error {
    Error::Input {
        process: event.process.clone(),
        at_ns: event.at_ns,
    }
}
