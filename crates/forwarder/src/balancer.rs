//! The balancer process: passes packets of clients to agents.

mod admission;
mod output;

use std::{
    collections::BTreeSet,
    sync::{
        Arc,
        atomic::{AtomicBool, Ordering},
    },
    time::{Duration, Instant},
};

use ::http::StatusCode;
use sassafrasmast_core::flow::{
    Balancer, Intent, Key,
    balancer::{self, Action},
};
use sassafrasmast_wire::flow::{Body, Frame, MAX_BYTES};
use tokio::{
    net::UdpSocket,
    sync::{mpsc, watch},
};

use self::admission::Admission;
use crate::{
    event::Event,
    fallback::Fallback,
    hints::Hints,
    http_server::{self, Answer},
    inputs::Inputs,
    log::Log,
    peer::{KnownAgent, View},
    platform::{Call, Platform},
    position::{position_of, revision_field},
    puller::Pull,
    reload::Reload,
    settings::Settings,
    signals::{Command, Signals},
    status::{self, Status},
    udp,
    zone_status::{Departures, ServicePlacement},
};

/// Interval between ticks while a search runs or a SYN waits for placement.
const FAST_TICK: Duration = Duration::from_millis(5);

/// Interval between checks whether a service has no upstream.
const STARVED_CHECK_INTERVAL: Duration = Duration::from_millis(500);

/// Interval between ticks otherwise. Bounds how late probes of silent agents are sent.
const SLOW_TICK: Duration = Duration::from_millis(50);

/// State and sockets of a balancer process.
struct Process<P> {
    settings: Settings,
    platform: Arc<P>,
    core: Balancer,
    packets: UdpSocket,
    frames: UdpSocket,
    log: Log,
    /// Pending actions, empty between inputs. Kept to avoid allocation, as is `frame_buffer`.
    actions: Vec<Action>,
    /// Buffer for encoding frames.
    frame_buffer: Vec<u8>,
    ready: Arc<AtomicBool>,
    stopping: bool,
    admission: Admission,
    fallback: Fallback,
    reload: Reload,
    departures: Departures,
    view: watch::Sender<Arc<View>>,
    /// Tells the watcher of the store what it is to know.
    hints: Hints,
    starved_checked_at: Instant,
}

/// Runs a balancer until the process is killed.
///
/// # Errors
///
/// When an address of the settings cannot be bound.
pub(crate) async fn run<P: Platform>(
    settings: Settings,
    platform: Arc<P>,
    mut signals: Signals,
) -> anyhow::Result<()> {
    let Inputs {
        mut events,
        mut status_requests,
        pulls,
        view,
        hints,
    } = Inputs::start(&settings, &platform).await?;
    let ready = Arc::new(AtomicBool::new(false));
    serve_ready(&settings, &platform, &ready).await?;
    let mut process = Process::start(settings, platform, ready, pulls, view, hints)?;
    let mut tick_at = tokio::time::Instant::now();
    loop {
        tokio::select! {
            readable = process.packets.readable() => {
                readable?;
                process.read_packets();
            }
            readable = process.frames.readable() => {
                readable?;
                process.read_frames();
            }
            Some(event) = events.recv() => process.handle_event(event),
            () = tokio::time::sleep_until(tick_at) => {
                process.tick();
                tick_at = tokio::time::Instant::now() + SLOW_TICK;
            }
            command = signals.next() => process.handle_signal(command),
            Some(request) = status_requests.recv() => process.reply_status(request),
        }
        if process.core.has_pending_work() {
            tick_at = tick_at.min(tokio::time::Instant::now() + FAST_TICK);
        }
    }
}

/// Serves the readiness endpoint: whether the balancer takes traffic.
async fn serve_ready<P: Platform>(
    settings: &Settings,
    platform: &Arc<P>,
    ready: &Arc<AtomicBool>,
) -> anyhow::Result<()> {
    let ready = Arc::clone(ready);
    let platform = Arc::clone(platform);
    http_server::serve(settings.ready, move |received| {
        let call = platform.call(&received.method, &received.path, &received.body);
        let answer = match call {
            Call::Ready if ready.load(Ordering::Relaxed) => Answer::new(StatusCode::OK, ""),
            Call::Ready => Answer::new(StatusCode::SERVICE_UNAVAILABLE, ""),
            _ => Answer::new(StatusCode::NOT_FOUND, ""),
        };
        async move { answer }
    })
    .await
}

impl<P: Platform> Process<P> {
    /// Binds sockets.
    fn start(
        settings: Settings,
        platform: Arc<P>,
        ready: Arc<AtomicBool>,
        pulls: mpsc::Sender<Pull>,
        view: watch::Sender<Arc<View>>,
        hints: Hints,
    ) -> anyhow::Result<Self> {
        let now = Instant::now();
        let core = Balancer::new(
            now,
            balancer::Settings {
                zone: settings.zone.clone(),
                max_flow_age: settings.max_flow_age,
                questions_per_second: settings.questions_per_second(),
                lower_class_share: settings.lower_class_share,
                fair_shares: settings.fair_shares,
                remote_cost: settings.remote_cost,
                stop_grace: settings.stop_grace,
                ..balancer::Settings::default()
            },
        );
        let mut process = Self {
            core,
            packets: udp::bind(settings.packets)?,
            frames: udp::bind(settings.frames)?,
            log: Log::start(&settings.name)?,
            actions: Vec::new(),
            frame_buffer: Vec::with_capacity(MAX_BYTES),
            admission: Admission::new(now),
            fallback: Fallback::new(now, pulls, true, settings.peers.clone()),
            reload: Reload::new(now),
            departures: Departures::default(),
            view,
            hints,
            starved_checked_at: now,
            settings,
            platform,
            ready,
            stopping: false,
        };
        process.log.line(now, "start", || {
            let zone = (&*process.settings.zone).into();
            [("role", "balancer".into()), ("zone", zone)]
        });
        Ok(process)
    }

    /// Handles one batch of packets from clients.
    fn read_packets(&mut self) {
        let mut buffer = [0; udp::MAX_DATAGRAM_BYTES];
        for _ in 0..udp::BATCH_DATAGRAMS {
            let Some((size, from)) = udp::receive(&self.packets, &mut buffer) else {
                return;
            };
            let packet = &buffer[..size];
            let Some(head) = self.platform.decode(packet) else {
                metrics::counter!("sassafrasmast_packets_malformed").increment(1);
                let now = Instant::now();
                self.log.line(now, "packet_malformed", || {
                    [("from", from.to_string().into()), ("bytes", size.into())]
                });
                continue;
            };
            let now = Instant::now();
            self.core
                .handle_client_packet(now, &head, packet, &mut self.actions);
            self.execute_actions(now, Some(packet));
        }
    }

    /// Handles one batch of frames from agents.
    fn read_frames(&mut self) {
        let mut buffer = [0; udp::MAX_DATAGRAM_BYTES];
        for _ in 0..udp::BATCH_DATAGRAMS {
            let Some((size, from)) = udp::receive(&self.frames, &mut buffer) else {
                return;
            };
            let Ok(frame) = Frame::decode(&buffer[..size]) else {
                metrics::counter!("sassafrasmast_frames_malformed").increment(1);
                continue;
            };
            let now = Instant::now();
            let head = match &frame.body {
                Body::Returned { packet, .. } | Body::Missing { packet, .. } => {
                    self.platform.decode(packet)
                }
                _ => None,
            };
            self.fallback
                .observe_revision(now, from, frame.revision, self.core.revision());
            self.log_frame(now, from, &frame.body, head.as_ref());
            self.core
                .handle_agent_frame(now, from, &frame.body, head.as_ref(), &mut self.actions);
            self.execute_actions(now, None);
        }
    }

    /// Handles an event of the store's watcher or of a pull from a peer.
    fn handle_event(&mut self, event: Event) {
        let now = Instant::now();
        self.log.line(now, event.kind(), || event.fields());
        self.fallback.handle_event(now, &event);
        match event {
            Event::Intent(intent) => self.install_intent(now, intent),
            Event::Members(members) => self.core.set_members(now, members),
            Event::MembersConfirmed(at) => {
                self.core.confirm_members(now, at, &mut self.actions);
                self.execute_actions(now, None);
            }
            Event::Listed(member) => self.core.add_listed_member(now, *member),
            Event::Unlisted(address) => self.core.unlist_member(now, address),
            Event::Snapshot(_, snapshot) => {
                let newer_intent = self.view.borrow().newer_intent(&snapshot);
                if let Some(intent) = newer_intent {
                    self.install_intent(now, intent);
                }
                self.hints.record_snapshot(&snapshot);
                let members = snapshot.members.iter();
                let members = members.map(|agent| agent.member());
                self.core.add_members(now, members.collect());
            }
            Event::PullFailed(..)
            | Event::AgentSource(_)
            | Event::WatchChecked { .. }
            | Event::StoreReachable
            | Event::StoreUnreachable(_)
            | Event::StoreRestored { .. }
            | Event::ValueRejected(_) => {}
        }
        self.update_ready(now);
        self.update_view();
    }

    /// Puts `intent` in force unless the one in force is at least as new.
    fn install_intent(&mut self, now: Instant, intent: Arc<Intent>) {
        let revision = intent.revision;
        if !self.core.set_intent(intent) {
            self.log.line(now, "intent_stale", || {
                [("revision", revision_field(revision))]
            });
        }
    }

    /// Updates the view from which requests of peers are answered.
    fn update_view(&self) {
        let members = self.core.members().iter().map(KnownAgent::of).collect();
        let before = Arc::clone(&self.view.borrow());
        let view = View::new(&before, self.core.intent(), members);
        self.view.send_replace(Arc::new(view));
    }

    fn update_ready(&mut self, now: Instant) {
        let ready = self.core.is_ready(now) && !self.stopping;
        if self.ready.swap(ready, Ordering::Relaxed) != ready {
            let cut_off = self.core.members().is_cut_off(now);
            self.log.line(now, "ready_changed", || {
                [("ready", ready.into()), ("cut_off", cut_off.into())]
            });
        }
    }

    /// Tells the watcher whether a service has no upstream in any zone.
    fn check_starved(&mut self, now: Instant) {
        if now.saturating_duration_since(self.starved_checked_at) < STARVED_CHECK_INTERVAL {
            return;
        }
        self.starved_checked_at = now;
        let members = self.core.members();
        let all_zones = BTreeSet::new();
        let is_starved = self.core.intent().is_some_and(|intent| {
            let mut services = intent.policy.services.keys();
            members.iter().next().is_none()
                || services.any(|service| members.has_no_upstream(now, service, &all_zones))
        });
        self.hints.starved.send_if_modified(|starved| {
            let differs = *starved != is_starved;
            *starved = is_starved;
            differs
        });
    }

    fn handle_signal(&mut self, command: Command) {
        let now = Instant::now();
        match command {
            Command::Stop => {
                self.stopping = true;
                self.update_ready(now);
                self.log.line(now, "stop", || []);
            }
            Command::Reload => self.reload_settings(now),
        }
    }

    /// Reads the settings again and applies those that may change at run time.
    fn reload_settings(&mut self, now: Instant) {
        let platform = Arc::clone(&self.platform);
        if self
            .reload
            .run(now, &*platform, &mut self.settings, &mut self.log)
        {
            self.fallback.set_peers(self.settings.peers.clone());
            self.core
                .set_lower_class_share(self.settings.lower_class_share);
            self.core.set_remote_cost(self.settings.remote_cost);
        }
    }

    fn tick(&mut self) {
        let now = Instant::now();
        if self.reload.is_due(now) {
            self.reload_settings(now);
        }
        self.fallback.tick(now, &self.view.borrow());
        self.core.tick(now, &mut self.actions);
        self.execute_actions(now, None);
        self.admission.report(now, &mut self.core, &mut self.log);
        self.update_ready(now);
        self.check_starved(now);
        self.departures
            .observe(now, self.core.members(), &mut self.log);
        metrics::gauge!("sassafrasmast_flows").set(self.core.flow_count() as f64);
        metrics::gauge!("sassafrasmast_openings_waiting").set(self.core.queued_count() as f64);
        metrics::gauge!("sassafrasmast_searches").set(self.core.search_count() as f64);
        metrics::gauge!("sassafrasmast_members").set(self.core.members().iter().count() as f64);
        let position = position_of(self.core.revision());
        metrics::gauge!("sassafrasmast_revision").set(position.number as f64);
        metrics::gauge!("sassafrasmast_store_era").set(position.era as f64);
    }

    /// Answers a status request of an operator.
    fn reply_status(&self, request: status::Request) {
        let now = Instant::now();
        let intent = self.core.intent().map(Arc::as_ref);
        let members = self.core.members().iter();
        let mut upstreams: Vec<_> = members
            .map(|member| status::Upstream::of(now, member))
            .collect();
        upstreams.sort_by_key(|upstream| upstream.agent);
        let zones_out = intent
            .map(|intent| intent.zones_out.clone())
            .unwrap_or_default();
        let status = Status {
            flows: self.core.flow_count() as u64,
            upstreams,
            placements: ServicePlacement::of(now, self.core.members(), &zones_out),
            peers: self.fallback.peer_statuses(now),
            ..Status::new(&self.settings, intent, self.fallback.store_status(now))
        };
        status.reply(request);
    }
}

/// A flow in a log line: the client's address, then the address that it connected to.
pub(crate) fn flow_text(flow: Option<&Key>) -> serde_json::Value {
    flow.map_or(serde_json::Value::Null, |flow| {
        format!("{}>{}", flow.client, flow.route).into()
    })
}
