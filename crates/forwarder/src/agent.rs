//! The agent process: passes packets from balancers to the upstream beside it, and the upstream's
//! packets directly to clients.

mod announcements;
mod classes;
mod output;

use std::{
    collections::HashMap,
    net::SocketAddrV4,
    sync::{
        Arc,
        atomic::{AtomicBool, Ordering},
    },
    time::{Duration, Instant},
};

use sassafrasmast_core::flow::{
    Agent, State,
    agent::{self, Action, Change, Delivery},
};
use sassafrasmast_wire::flow::{Body, Frame, MAX_BYTES, Question};
use tokio::{
    net::UdpSocket,
    sync::{mpsc, watch},
};

use self::{announcements::UpstreamCall, classes::Holding};
use crate::{
    event::Event,
    fallback::Fallback,
    hints::Hints,
    inputs::{self, Inputs},
    log::{Log, unix_time_ms},
    peer::View,
    platform::Platform,
    position::{position_of, revision_field},
    puller::Pull,
    registration::{Record, Registration},
    reload::Reload,
    settings::{Settings, Upstream},
    signals::{Command, Signals},
    status::{self, Status},
    udp,
};

/// Interval between ticks while a SYN waits for the upstream's answer, or balancers wait for room.
const FAST_TICK: Duration = Duration::from_millis(20);

/// Interval between ticks otherwise.
const SLOW_TICK: Duration = Duration::from_millis(200);

/// Balancers that sent a frame within this time get reports of changes.
const BALANCER_EXPIRY: Duration = Duration::from_secs(20);

/// State and sockets of an agent process.
struct Process<P> {
    settings: Settings,
    upstream: Upstream,
    platform: Arc<P>,
    core: Agent,
    /// Receives frames and sends packets to clients.
    frames: UdpSocket,
    /// Receives packets of the upstream and sends packets to it.
    outbound: UdpSocket,
    /// Balancers and the time of their last frame.
    balancers: HashMap<SocketAddrV4, Instant>,
    /// The entry that the registration writes to the store.
    record: watch::Sender<Option<Record>>,
    log: Log,
    /// Pending actions, empty between inputs. Kept to avoid allocation, as is `frame_buffer`.
    actions: Vec<Action>,
    /// Buffer for encoding frames.
    frame_buffer: Vec<u8>,
    fallback: Fallback,
    reload: Reload,
    view: watch::Sender<Arc<View>>,
    /// Tells the watcher of the store what it is to know.
    hints: Hints,
    /// Whether the store matches `record`, according to the last call of the registration.
    registered: Arc<AtomicBool>,
    started_at: Instant,
    /// When balancers were last sent [`Body::Hello`].
    hello_sent_at: Instant,
    /// Since when requests on open flows are held, if they are.
    holding: Option<Holding>,
    /// Requests that had been held at the last tick.
    held_before: u64,
    /// Why the last call of the upstream that could not be read was refused.
    invalid_call: Option<String>,
}

/// Runs an agent until the process is killed.
///
/// # Errors
///
/// When an address of the settings cannot be bound.
pub(crate) async fn run<P: Platform>(
    settings: Settings,
    upstream: Upstream,
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
    let (sender, mut upstream_calls) = mpsc::channel(inputs::EVENT_QUEUE_CAPACITY);
    announcements::serve(upstream.announcements, &platform, sender.clone()).await?;
    if settings.ready != upstream.announcements {
        announcements::serve(settings.ready, &platform, sender).await?;
    }
    let mut process = Process::start(settings, upstream, platform, pulls, view, hints)?;
    let mut tick_at = tokio::time::Instant::now();
    loop {
        tokio::select! {
            readable = process.outbound.readable() => {
                readable?;
                process.read_upstream();
            }
            readable = process.frames.readable() => {
                readable?;
                process.read_frames();
            }
            Some(call) = upstream_calls.recv() => process.handle_upstream_call(call),
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

impl<P: Platform> Process<P> {
    /// Binds sockets and starts the registration.
    fn start(
        settings: Settings,
        upstream: Upstream,
        platform: Arc<P>,
        pulls: mpsc::Sender<Pull>,
        view: watch::Sender<Arc<View>>,
        hints: Hints,
    ) -> anyhow::Result<Self> {
        let now = Instant::now();
        // 0 means no incarnation.
        let incarnation = unix_time_ms().max(1);
        let core = Agent::new(now, core_settings(&settings, &upstream, incarnation));
        let (record, desired) = watch::channel(Some(Record {
            service: upstream.service.clone(),
            zone: settings.zone.clone(),
            incarnation,
            draining: false,
            restarting: Some(false),
        }));
        let registered = Arc::new(AtomicBool::new(false));
        let registration = Registration::new(
            platform.store(),
            settings.frames,
            settings.lease_ttl,
            desired,
            Arc::clone(&registered),
        );
        tokio::spawn(registration.run());
        let mut process = Self {
            frames: udp::bind(settings.frames)?,
            outbound: udp::bind(upstream.outbound)?,
            balancers: HashMap::new(),
            record,
            log: Log::start(&settings.name)?,
            actions: Vec::new(),
            frame_buffer: Vec::with_capacity(MAX_BYTES),
            fallback: Fallback::new(now, pulls, false, settings.peers.clone()),
            reload: Reload::new(now),
            view,
            hints,
            registered,
            started_at: now,
            hello_sent_at: now,
            holding: None,
            held_before: 0,
            invalid_call: None,
            settings,
            upstream,
            platform,
            core,
        };
        process.log.line(now, "start", || {
            [
                ("role", "agent".into()),
                ("zone", (&*process.settings.zone).into()),
                ("service", (&*process.upstream.service).into()),
                ("incarnation", incarnation.into()),
            ]
        });
        Ok(process)
    }

    /// Handles one batch of packets from the upstream.
    fn read_upstream(&mut self) {
        let mut buffer = [0; udp::MAX_DATAGRAM_BYTES];
        for _ in 0..udp::BATCH_DATAGRAMS {
            let Some((size, _)) = udp::receive(&self.outbound, &mut buffer) else {
                return;
            };
            let packet = &mut buffer[..size];
            let Some(head) = self.platform.decode(packet) else {
                metrics::counter!("sassafrasmast_packets_malformed").increment(1);
                continue;
            };
            if head.flags.bounced {
                self.platform.clear_bounce_marks(packet);
            }
            let now = Instant::now();
            let incarnation = self.core.upstream().incarnation();
            self.core
                .handle_upstream_packet(now, &head, &mut self.actions);
            self.execute_actions(now, packet);
            if self.core.upstream().incarnation() != incarnation {
                let id = self.core.upstream().id().to_owned();
                self.log_upstream_change(now, id, Change::Restarted);
            }
        }
    }

    /// Handles one batch of frames from balancers.
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
            if self.balancers.insert(from, now).is_none() {
                self.greet(now, from);
            }
            let own = self.core.revision();
            self.fallback
                .observe_revision(now, from, frame.revision, own);
            match frame.body {
                Body::Deliver {
                    purpose,
                    service,
                    packet,
                } => {
                    let Some(head) = self.platform.decode(packet) else {
                        metrics::counter!("sassafrasmast_packets_malformed").increment(1);
                        continue;
                    };
                    let delivery = Delivery {
                        purpose,
                        service,
                        sender_revision: frame.revision,
                        head: &head,
                        packet,
                    };
                    self.core.deliver(now, from, &delivery, &mut self.actions);
                    self.execute_actions(now, packet);
                }
                Body::Locate { questions } => self.locate(now, from, questions),
                Body::Probe { sent } => {
                    let report = self.core.report_to(now, from);
                    self.send(from, Body::Answer { sent, report });
                }
                body => self.handle_admission_frame(now, from, body),
            }
        }
    }

    /// Answers a balancer's questions for the owners of flows.
    fn locate(&mut self, now: Instant, from: SocketAddrV4, questions: Vec<Question>) {
        for question in questions {
            self.core.locate(
                now,
                from,
                question.flow,
                question.acknowledgement,
                &mut self.actions,
            );
        }
        self.execute_actions(now, &[]);
    }

    /// Handles a balancer's frame about SYNs that are queued there or were refused.
    fn handle_admission_frame(&mut self, now: Instant, from: SocketAddrV4, body: Body<'_>) {
        let actions = &mut self.actions;
        match body {
            Body::Demand { waiting } => self.core.handle_demand(now, from, waiting, actions),
            Body::ClassDemand { waiting } => {
                self.core.handle_class_demand(now, from, &waiting, actions);
            }
            Body::Ended { attempts } => self.core.handle_ended(now, &attempts),
            Body::Inquire { flows } => self.core.handle_inquiry(now, from, &flows, actions),
            _ => metrics::counter!("sassafrasmast_frames_unexpected").increment(1),
        }
        self.execute_actions(now, &[]);
    }

    /// Handles an announcement or deregistration of the upstream.
    fn handle_upstream_call(&mut self, call: UpstreamCall) {
        let now = Instant::now();
        let (change, done, id) = match call {
            UpstreamCall::Announcement(announcement, done) => {
                let change = self
                    .core
                    .handle_announcement(now, &announcement, &mut self.actions);
                (change, done, announcement.id)
            }
            UpstreamCall::Deregistration(id, incarnation, done) => {
                let change =
                    self.core
                        .handle_deregistration(now, &id, incarnation, &mut self.actions);
                (change, done, id)
            }
            UpstreamCall::Invalid(reason) => {
                self.log_invalid_call(now, reason);
                return;
            }
        };
        self.execute_actions(now, &[]);
        if change != Change::Nothing {
            self.log_upstream_change(now, id, change);
        }
        self.report_changes(now);
        // The upstream may have closed the connection.
        let _ = done.send(());
    }

    /// Logs that a call of the upstream cannot be read, unless the one before had the same reason: a heartbeat
    /// is repeated for as long as its sender runs.
    fn log_invalid_call(&mut self, now: Instant, reason: String) {
        metrics::counter!("sassafrasmast_calls_refused").increment(1);
        if self.invalid_call.as_ref() == Some(&reason) {
            return;
        }
        self.log
            .line(now, "call_refused", || [("reason", reason.as_str().into())]);
        self.invalid_call = Some(reason);
    }

    /// Logs what changed at the upstream named `id`.
    fn log_upstream_change(&mut self, now: Instant, id: String, change: Change) {
        let upstream = self.core.upstream();
        self.log.line(now, "upstream_changed", || {
            [
                ("upstream", id.into()),
                ("change", format!("{change:?}").into()),
                ("started", upstream.incarnation().into()),
                ("cold_limit", self.core.cold_limit().into()),
                ("upstream_state", upstream.state(now).as_str().into()),
            ]
        });
    }

    /// Reports a changed state to balancers and updates the entry in the store.
    fn report_changes(&mut self, now: Instant) {
        if !self.core.has_unreported_change(now) {
            return;
        }
        self.core.mark_reported(now);
        let report = self.core.report(now);
        let recipients: Vec<SocketAddrV4> = self.balancers.keys().copied().collect();
        for to in recipients {
            self.send(to, Body::Report(report));
        }
        let state = report.state;
        self.record.send_if_modified(|record| {
            let desired = (state != State::Gone).then(|| Record {
                service: self.upstream.service.clone(),
                zone: self.settings.zone.clone(),
                incarnation: report.agent,
                draining: state == State::Draining,
                restarting: Some(report.stopping),
            });
            let differs = *record != desired;
            *record = desired;
            differs
        });
    }

    /// Handles an event of the store's watcher or of a pull from a peer.
    fn handle_event(&mut self, event: Event) {
        let now = Instant::now();
        self.log.line(now, event.kind(), || event.fields());
        self.fallback.handle_event(now, &event);
        let intent = match event {
            Event::Intent(intent) => Some(intent),
            Event::Snapshot(_, snapshot) => {
                self.hints.record_snapshot(&snapshot);
                self.view.borrow().newer_intent(&snapshot)
            }
            _ => None,
        };
        if let Some(intent) = intent {
            let revision = intent.revision;
            if !self.core.set_intent(intent) {
                self.log.line(now, "intent_stale", || {
                    [("revision", revision_field(revision))]
                });
            }
        }
        let before = Arc::clone(&self.view.borrow());
        let view = View::new(&before, self.core.intent(), Vec::new());
        self.view.send_replace(Arc::new(view));
    }

    fn handle_signal(&mut self, command: Command) {
        let now = Instant::now();
        match command {
            Command::Stop => {
                self.core.stop();
                self.report_changes(now);
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
                .set_cold_bounds(self.settings.cold_coverage, self.settings.cold_slack);
            self.core
                .set_lower_class_share(self.settings.lower_class_share);
        }
    }

    fn tick(&mut self) {
        let now = Instant::now();
        if self.reload.is_due(now) {
            self.reload_settings(now);
        }
        self.core.tick(now, &mut self.actions);
        self.execute_actions(now, &[]);
        self.balancers.retain(|_, last_frame_at| {
            now.saturating_duration_since(*last_frame_at) < BALANCER_EXPIRY
        });
        self.report_changes(now);
        self.report_classes(now);
        self.send_hello(now);
        self.fallback.tick(now, &self.view.borrow());
        let report = self.core.report(now);
        metrics::gauge!("sassafrasmast_flows").set(f64::from(report.flows));
        metrics::gauge!("sassafrasmast_busy").set(f64::from(report.busy));
        let position = position_of(self.core.revision());
        metrics::gauge!("sassafrasmast_revision").set(position.number as f64);
        metrics::gauge!("sassafrasmast_store_era").set(position.era as f64);
    }

    /// Answers a status request of an operator.
    fn reply_status(&mut self, request: status::Request) {
        let now = Instant::now();
        let report = self.core.report(now);
        let intent = self.core.intent().map(Arc::as_ref);
        let own = status::Upstream {
            agent: self.settings.frames,
            service: self.upstream.service.to_string(),
            zone: self.settings.zone.to_string(),
            listed: self.registered.load(Ordering::Relaxed),
            heard_ms: None,
            report,
        };
        let mut status = Status {
            flows: report.flows.into(),
            upstreams: vec![own],
            ..Status::new(&self.settings, intent, self.fallback.store_status(now))
        };
        let balancers = self.balancers.iter();
        status.peers = self.fallback.peer_statuses(now);
        status
            .peers
            .extend(balancers.map(|(address, at)| status::Peer {
                address: *address,
                heard_ms: status::age_ms(now, *at),
                failure: None,
            }));
        status.reply(request);
    }
}

/// Settings of the agent's decisions.
fn core_settings(settings: &Settings, upstream: &Upstream, incarnation: u64) -> agent::Settings {
    agent::Settings {
        service: upstream.service.clone(),
        zone: settings.zone.clone(),
        incarnation,
        cold_coverage: settings.cold_coverage,
        cold_slack: settings.cold_slack,
        lower_class_share: settings.lower_class_share,
        reports_speed: settings.places_by_speed,
        ..agent::Settings::default()
    }
}
