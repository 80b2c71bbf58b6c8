//! Serializes access to the agent state machine and delivers its actions to request handlers.

use std::{
    collections::HashMap,
    sync::{Mutex, MutexGuard, PoisonError},
    time::{Duration, Instant},
};

use sassafrasmast_core::{
    agent::{self, Action, Request},
    timeline::{Kind, RequestId},
};
use tokio::{
    sync::{Notify, mpsc},
    time::sleep_until,
};

use crate::recorder::Recorder;

/// Longest time between two ticks of the state machine.
const MAX_TICK_INTERVAL: Duration = Duration::from_millis(50);

/// Actions for one request. The channel closes when no more can follow.
pub type Actions = mpsc::UnboundedReceiver<Action>;

/// Holds the agent state machine. Its lock is never held across an await point. The only lock taken
/// while it is held is that of the time line.
#[derive(Debug)]
pub struct Dispatcher {
    inner: Mutex<Inner>,
    recorder: Recorder,
    earlier_tick: Notify,
}

/// The state machine and the channels of its requests.
#[derive(Debug)]
struct Inner {
    agent: agent::Agent,
    handlers: HashMap<RequestId, mpsc::UnboundedSender<Action>>,
    /// Answered requests for which actions may still follow.
    answered: Vec<RequestId>,
}

impl Dispatcher {
    /// Wraps `agent`.
    pub fn new(agent: agent::Agent, recorder: Recorder) -> Self {
        Self {
            inner: Mutex::new(Inner {
                agent,
                handlers: HashMap::new(),
                answered: Vec::new(),
            }),
            recorder,
            earlier_tick: Notify::new(),
        }
    }

    /// Reports an event to the state machine and delivers the resulting actions.
    pub fn decide<T>(&self, event: impl FnOnce(&mut agent::Agent, Instant) -> T) -> T {
        let mut inner = self.lock();
        let before = inner.agent.next_tick();
        let result = event(&mut inner.agent, Instant::now());
        let events = inner.deliver_actions();
        let after = inner.agent.next_tick();
        self.record_inputs(&mut inner);
        drop(inner);
        if after.is_some_and(|after| before.is_none_or(|before| after < before)) {
            self.earlier_tick.notify_one();
        }
        for kind in events {
            self.recorder.record(kind);
        }
        result
    }

    /// Reads the state machine without reporting an event.
    pub fn inspect<T>(&self, inspect: impl FnOnce(&agent::Agent, Instant) -> T) -> T {
        inspect(&self.lock().agent, Instant::now())
    }

    /// Reports the arrival of a request and returns the channel of its actions.
    pub fn arrive(&self, request: Request) -> Actions {
        let (sender, actions) = mpsc::unbounded_channel();
        self.lock().handlers.insert(request.id, sender);
        self.decide(|agent, now| agent.arrive(now, request));
        actions
    }

    /// Reports that a request got its final answer. Its channel closes once no more actions can
    /// follow.
    pub fn answered(&self, id: RequestId) {
        let mut inner = self.lock();
        inner.answered.push(id);
        inner.close_finished();
    }

    /// Number of requests whose channel is open.
    pub fn open_channels(&self) -> usize {
        self.lock().handlers.len()
    }

    /// Ticks the state machine until the future is dropped.
    pub async fn run(&self) {
        loop {
            let latest = Instant::now() + MAX_TICK_INTERVAL;
            let next_tick = self.inspect(|agent, _| agent.next_tick());
            let at = next_tick.map_or(latest, |next_tick| next_tick.min(latest));
            tokio::select! {
                () = sleep_until(at.into()) => self.decide(agent::Agent::tick),
                () = self.earlier_tick.notified() => {}
            }
        }
    }

    /// Records the inputs on the time line, in the order in which the state machine got them.
    fn record_inputs(&self, inner: &mut Inner) {
        for (at, request, input) in inner.agent.take_inputs() {
            let kind = Kind::AgentInput { input };
            self.recorder.record_at(at, None, request, kind);
        }
    }

    fn lock(&self) -> MutexGuard<'_, Inner> {
        self.inner.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl Inner {
    /// Sends actions to the handlers and returns the events for the time line.
    fn deliver_actions(&mut self) -> Vec<Kind> {
        let mut events = Vec::new();
        while let Some(action) = self.agent.poll() {
            match action {
                Action::LimitChanged { limit } => events.push(Kind::LimitChanged { limit }),
                Action::Collapsed => events.push(Kind::UpstreamCollapsed),
                Action::Start { id }
                | Action::Abort { id }
                | Action::Relay { id, .. }
                | Action::Claim { id, .. }
                | Action::Answer { id, .. } => {
                    if let Some(handler) = self.handlers.get(&id) {
                        // Sending fails only if the handler's task ended early; its drop then
                        // cancels the request.
                        let _ = handler.send(action);
                    }
                }
            }
        }
        self.close_finished();
        events
    }

    /// Closes the channels of answered requests for which no more actions can follow.
    fn close_finished(&mut self) {
        let (agent, handlers) = (&self.agent, &mut self.handlers);
        self.answered.retain(|id| {
            let open = agent.is_open(*id);
            if !open {
                handlers.remove(id);
            }
            open
        });
    }
}
