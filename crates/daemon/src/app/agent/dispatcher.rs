//! The one place where decisions are asked for and handed out.

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

/// Longest time between two ticks of the decisions.
const TICK: Duration = Duration::from_millis(50);

/// Actions for one request. The channel closes when no more decisions about it can follow.
pub type Actions = mpsc::UnboundedReceiver<Action>;

/// Holds the decision core. Its lock is never held across an await point. The only lock taken
/// under it is that of the time line.
#[derive(Debug)]
pub struct Dispatcher {
    inner: Mutex<Inner>,
    recorder: Recorder,
    sooner: Notify,
}

/// The core and who waits for its decisions.
#[derive(Debug)]
struct Inner {
    agent: agent::Agent,
    handlers: HashMap<RequestId, mpsc::UnboundedSender<Action>>,
    /// Answered requests about which decisions may still follow.
    lingering: Vec<RequestId>,
}

impl Dispatcher {
    /// Wraps the decision core.
    pub fn new(agent: agent::Agent, recorder: Recorder) -> Self {
        Self {
            inner: Mutex::new(Inner {
                agent,
                handlers: HashMap::new(),
                lingering: Vec::new(),
            }),
            recorder,
            sooner: Notify::new(),
        }
    }

    /// Reports an event to the core and hands out what it decides.
    pub fn decide<T>(&self, event: impl FnOnce(&mut agent::Agent, Instant) -> T) -> T {
        let mut inner = self.lock();
        let before = inner.agent.next_tick();
        let result = event(&mut inner.agent, Instant::now());
        let told = inner.hand_out();
        let after = inner.agent.next_tick();
        self.record_inputs(&mut inner);
        drop(inner);
        if after.is_some_and(|after| before.is_none_or(|before| after < before)) {
            self.sooner.notify_one();
        }
        for kind in told {
            self.recorder.record(kind);
        }
        result
    }

    /// Looks at the core without an event.
    pub fn look<T>(&self, look: impl FnOnce(&agent::Agent, Instant) -> T) -> T {
        look(&self.lock().agent, Instant::now())
    }

    /// Reports the arrival of a request and gives the channel of its decisions.
    pub fn arrive(&self, request: Request) -> Actions {
        let (sender, actions) = mpsc::unbounded_channel();
        self.lock().handlers.insert(request.id, sender);
        self.decide(|agent, now| agent.arrive(now, request));
        actions
    }

    /// Tells that a request got its final answer; its channel closes once nothing can follow.
    pub fn answered(&self, id: RequestId) {
        let mut inner = self.lock();
        inner.lingering.push(id);
        inner.sweep();
    }

    /// Requests that wait for decisions.
    pub fn waiting(&self) -> usize {
        self.lock().handlers.len()
    }

    /// Ticks the core until the task is dropped.
    pub async fn run(&self) {
        loop {
            let latest = Instant::now() + TICK;
            let wake = self.look(|agent, _| agent.next_tick());
            let at = wake.map_or(latest, |wake| wake.min(latest));
            tokio::select! {
                () = sleep_until(at.into()) => self.decide(agent::Agent::tick),
                () = self.sooner.notified() => {}
            }
        }
    }

    /// Puts the inputs on the time line, in the order in which the core got them.
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
    /// Sends actions to the handlers and returns what goes to the time line.
    fn hand_out(&mut self) -> Vec<Kind> {
        let mut told = Vec::new();
        while let Some(action) = self.agent.poll() {
            match action {
                Action::LimitChanged { limit } => told.push(Kind::LimitChanged { limit }),
                Action::Collapsed => told.push(Kind::UpstreamCollapsed),
                Action::Start { id }
                | Action::Abort { id }
                | Action::Relay { id, .. }
                | Action::Claim { id, .. }
                | Action::Answer { id, .. } => {
                    if let Some(handler) = self.handlers.get(&id) {
                        // The handler outlives the request unless its task died.
                        let _ = handler.send(action);
                    }
                }
            }
        }
        self.sweep();
        told
    }

    /// Closes the channels of answered requests about which nothing can follow.
    fn sweep(&mut self) {
        let (agent, handlers) = (&self.agent, &mut self.handlers);
        self.lingering.retain(|id| {
            let open = agent.is_open(*id);
            if !open {
                handlers.remove(id);
            }
            open
        });
    }
}
