//! The agent's process: frames of balancers in, packets of the upstream out.

mod announcements;
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
use sassafrasmast_store::Range;
use sassafrasmast_wire::flow::{Body, Frame, MAX_BYTES, Question};
use tokio::{
    net::UdpSocket,
    sync::{mpsc, watch},
};

use self::announcements::Told;
use crate::{
    follow::Event,
    inputs::{self, Inputs},
    log::{Log, unix_millis},
    peer::{Known, Pull},
    platform::Platform,
    registration::{Record, Registration},
    reload::Reload,
    settings::{Settings, Upstream},
    signals::Request,
    status::{self, Status},
    touch::Touch,
    udp,
};

/// Time between ticks while an opening packet waits for the upstream.
const FAST_TICK: Duration = Duration::from_millis(20);

/// Time between ticks otherwise.
const SLOW_TICK: Duration = Duration::from_millis(200);

/// Balancers that were heard within this time are told of news.
const BALANCER_HEARD: Duration = Duration::from_secs(20);

/// An agent's process.
struct Process<P> {
    settings: Settings,
    upstream: Upstream,
    platform: Arc<P>,
    decisions: Agent,
    /// Where frames arrive and packets for clients leave.
    frames: UdpSocket,
    /// Where the upstream's packets arrive and packets for it leave.
    outbound: UdpSocket,
    balancers: HashMap<SocketAddrV4, Instant>,
    record: watch::Sender<Option<Record>>,
    log: Log,
    actions: Vec<Action>,
    frame: Vec<u8>,
    touch: Touch,
    reload: Reload,
    known: watch::Sender<Arc<Known>>,
    /// Whether the entry stands in the store.
    standing: Arc<AtomicBool>,
    /// When balancers were last told that this agent exists.
    greeted_at: Instant,
}

/// Runs an agent until the process is killed.
///
/// # Errors
///
/// When an address of the settings cannot be bound.
pub async fn run<P: Platform>(
    settings: Settings,
    upstream: Upstream,
    platform: Arc<P>,
) -> anyhow::Result<()> {
    let operators = Range::Prefix(platform.operator_prefix().to_owned());
    let Inputs {
        mut signals,
        mut events,
        mut questions,
        pulls,
        known,
    } = Inputs::start(&settings, &platform, operators).await?;
    let (told, mut tellings) = mpsc::channel(inputs::WAITING);
    announcements::serve(upstream.announcements, &platform, told.clone()).await?;
    if settings.ready != upstream.announcements {
        announcements::serve(settings.ready, &platform, told).await?;
    }
    let mut process = Process::start(settings, upstream, platform, pulls, known)?;
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
            Some(told) = tellings.recv() => process.told(told),
            Some(event) = events.recv() => process.event(event),
            () = tokio::time::sleep_until(tick_at) => {
                process.tick();
                tick_at = tokio::time::Instant::now() + SLOW_TICK;
            }
            request = signals.next() => process.signal(request),
            Some(question) = questions.recv() => process.answer(question),
        }
        if process.decisions.has_pending_syns() {
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
        known: watch::Sender<Arc<Known>>,
    ) -> anyhow::Result<Self> {
        let now = Instant::now();
        // 0 stands for none.
        let incarnation = unix_millis().max(1);
        let decisions = Agent::new(
            now,
            agent::Settings {
                service: upstream.service.clone(),
                zone: settings.zone.clone(),
                incarnation,
                cold_coverage: settings.cold_coverage,
                cold_slack: settings.cold_slack,
                ..agent::Settings::default()
            },
        );
        let (record, wanted) = watch::channel(Some(Record {
            service: upstream.service.clone(),
            zone: settings.zone.clone(),
            incarnation,
            draining: false,
        }));
        let standing = Arc::new(AtomicBool::new(false));
        let registration = Registration::new(
            platform.store(),
            settings.frames,
            settings.lease,
            wanted,
            Arc::clone(&standing),
        );
        tokio::spawn(registration.run());
        let mut process = Self {
            frames: udp::bind(settings.frames)?,
            outbound: udp::bind(upstream.outbound)?,
            balancers: HashMap::new(),
            record,
            log: Log::start(&settings.name)?,
            actions: Vec::new(),
            frame: Vec::with_capacity(MAX_BYTES),
            touch: Touch::new(now, pulls, false, settings.peers.clone()),
            reload: Reload::new(now),
            known,
            standing,
            greeted_at: now,
            settings,
            upstream,
            platform,
            decisions,
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

    /// Reads packets of the upstream.
    fn read_upstream(&mut self) {
        let mut buffer = [0; udp::MAX_DATAGRAM];
        for _ in 0..udp::BATCH {
            let Some((size, _)) = udp::receive(&self.outbound, &mut buffer) else {
                return;
            };
            let packet = &mut buffer[..size];
            let Some(head) = self.platform.decode(packet) else {
                metrics::counter!("sassafrasmast_packets_malformed").increment(1);
                continue;
            };
            if head.flags.bounced {
                self.platform.restore(packet);
            }
            let now = Instant::now();
            self.decisions
                .handle_upstream_packet(now, &head, &mut self.actions);
            self.carry_out(now, packet);
        }
    }

    /// Reads balancers' frames.
    fn read_frames(&mut self) {
        let mut buffer = [0; udp::MAX_DATAGRAM];
        for _ in 0..udp::BATCH {
            let Some((size, from)) = udp::receive(&self.frames, &mut buffer) else {
                return;
            };
            let Ok(frame) = Frame::decode(&buffer[..size]) else {
                metrics::counter!("sassafrasmast_frames_malformed").increment(1);
                continue;
            };
            let now = Instant::now();
            self.balancers.insert(from, now);
            let own = self.decisions.revision();
            self.touch.compare(now, from, frame.revision, own);
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
                    self.decisions
                        .deliver(now, from, &delivery, &mut self.actions);
                    self.carry_out(now, packet);
                }
                Body::Locate { questions } => {
                    for Question {
                        flow,
                        acknowledgement,
                    } in questions
                    {
                        self.decisions
                            .locate(from, flow, acknowledgement, &mut self.actions);
                    }
                    self.carry_out(now, &[]);
                }
                Body::Probe { sent } => {
                    let report = self.decisions.report(now);
                    self.send(from, Body::Answer { sent, report });
                }
                _ => metrics::counter!("sassafrasmast_frames_unexpected").increment(1),
            }
        }
    }

    /// Takes what the upstream told of itself.
    fn told(&mut self, told: Told) {
        let now = Instant::now();
        let (change, done, id) = match told {
            Told::Announcement(announcement, done) => {
                let change =
                    self.decisions
                        .handle_announcement(now, &announcement, &mut self.actions);
                (change, done, announcement.id)
            }
            Told::Deregister(id, done) => (
                self.decisions
                    .handle_deregistration(now, &id, &mut self.actions),
                done,
                id,
            ),
        };
        self.carry_out(now, &[]);
        if change != Change::Nothing {
            let upstream = self.decisions.upstream();
            self.log.line(now, "upstream_changed", || {
                [
                    ("upstream", id.into()),
                    ("change", format!("{change:?}").into()),
                    ("started", upstream.incarnation().into()),
                    ("cold_limit", self.decisions.cold_limit().into()),
                    ("upstream_state", upstream.state(now).as_str().into()),
                ]
            });
        }
        self.publish(now);
        // The upstream may have given up waiting.
        let _ = done.send(());
    }

    /// Tells balancers and the store what changed.
    fn publish(&mut self, now: Instant) {
        if !self.decisions.has_unreported_change(now) {
            return;
        }
        self.decisions.mark_reported(now);
        let report = self.decisions.report(now);
        let heard: Vec<SocketAddrV4> = self.balancers.keys().copied().collect();
        for to in heard {
            self.send(to, Body::Report(report));
        }
        let state = report.state;
        self.record.send_if_modified(|record| {
            let wanted = (state != State::Gone).then(|| Record {
                service: self.upstream.service.clone(),
                zone: self.settings.zone.clone(),
                incarnation: report.agent,
                draining: state == State::Draining,
            });
            let differs = *record != wanted;
            *record = wanted;
            differs
        });
    }

    /// Takes what the store's follower found.
    fn event(&mut self, event: Event) {
        let now = Instant::now();
        self.log.line(now, event.kind(), || event.fields());
        self.touch.note(now, &event);
        let intent = match event {
            Event::Intent(intent) => Some(intent),
            Event::Peer(_, snapshot) => self.known.borrow().learn(&snapshot),
            _ => None,
        };
        if let Some(intent) = intent {
            let revision = intent.revision;
            if !self.decisions.set_intent(intent) {
                self.log
                    .line(now, "intent_stale", || [("revision", revision.into())]);
            }
        }
        let before = Arc::clone(&self.known.borrow());
        let known = Known::new(&before, self.decisions.intent(), Vec::new());
        self.known.send_replace(Arc::new(known));
    }

    fn signal(&mut self, request: Request) {
        let now = Instant::now();
        match request {
            Request::Stop => {
                self.decisions.stop();
                self.publish(now);
                self.log.line(now, "stop", || []);
            }
            Request::Reload => self.read_settings(now),
        }
    }

    /// Reads the settings again and puts in force what has changed.
    fn read_settings(&mut self, now: Instant) {
        let platform = Arc::clone(&self.platform);
        if self
            .reload
            .read(now, &*platform, &mut self.settings, &mut self.log)
        {
            self.touch.set_peers(self.settings.peers.clone());
            self.decisions
                .set_cold_bounds(self.settings.cold_coverage, self.settings.cold_slack);
        }
    }

    fn tick(&mut self) {
        let now = Instant::now();
        if self.reload.is_due(now) {
            self.read_settings(now);
        }
        self.decisions.tick(now, &mut self.actions);
        self.carry_out(now, &[]);
        self.balancers
            .retain(|_, heard| now.saturating_duration_since(*heard) < BALANCER_HEARD);
        self.publish(now);
        self.greet(now);
        self.touch.tick(now, &self.known.borrow());
        let report = self.decisions.report(now);
        metrics::gauge!("sassafrasmast_flows").set(f64::from(report.flows));
        metrics::gauge!("sassafrasmast_busy").set(f64::from(report.busy));
        metrics::gauge!("sassafrasmast_revision").set(self.decisions.revision() as f64);
    }

    /// Tells operators how this process sees things.
    fn answer(&mut self, question: status::Question) {
        let now = Instant::now();
        let report = self.decisions.report(now);
        let intent = self.decisions.intent().map(Arc::as_ref);
        let own = status::Upstream {
            agent: self.settings.frames,
            service: self.upstream.service.to_string(),
            zone: self.settings.zone.to_string(),
            listed: self.standing.load(Ordering::Relaxed),
            heard_ms: None,
            report,
        };
        let mut status = Status {
            flows: report.flows.into(),
            upstreams: vec![own],
            ..Status::new(now, &self.settings, intent, &self.touch)
        };
        let balancers = self.balancers.iter();
        status
            .peers
            .extend(balancers.map(|(address, at)| status::Peer {
                address: *address,
                heard_ms: status::age_ms(now, *at),
                failure: None,
            }));
        status.send(question);
    }
}
