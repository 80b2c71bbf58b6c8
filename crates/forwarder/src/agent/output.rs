//! Executes the actions of an agent: sends packets, frames and resets, and logs them.

use std::{
    collections::BTreeMap,
    net::SocketAddrV4,
    sync::atomic::Ordering,
    time::{Duration, Instant},
};

use sassafrasmast_core::flow::{Key, Reason, Report, agent::Action, balancer::ResetCause};
use sassafrasmast_wire::flow::{Body, Frame, Question};

use super::Process;
use crate::{balancer::flow_text, platform::Platform, udp};

/// Interval of [`Body::Hello`] to balancers while the agent's entry is not in the store.
const HELLO_INTERVAL: Duration = Duration::from_millis(400);

/// Time after the agent's start in which it also sends [`Body::Hello`] if its entry is in the store:
/// balancers list entries every two seconds only. Single frames may be lost.
const HELLO_TIME: Duration = Duration::from_secs(2);

/// Time after the agent's start in which a balancer gets [`Body::Hello`] in answer to its first frame:
/// it may take the agent for an earlier one at the same address, which served something else.
const GREETING_TIME: Duration = Duration::from_secs(10);

impl<P: Platform> Process<P> {
    /// Sends [`Body::Hello`] to the balancers of the settings while the agent is new or the entry is
    /// not in the store.
    pub(super) fn send_hello(&mut self, now: Instant) {
        let is_due = now.saturating_duration_since(self.hello_sent_at) >= HELLO_INTERVAL;
        let is_new = now.saturating_duration_since(self.started_at) < HELLO_TIME;
        let is_listed = self.registered.load(Ordering::Relaxed);
        if (is_listed && !is_new) || !is_due {
            return;
        }
        self.hello_sent_at = now;
        self.send_hello_to(now, &self.settings.peers.clone());
    }

    /// Sends [`Body::Hello`] to a balancer that has sent its first frame to a new agent.
    pub(super) fn greet(&mut self, now: Instant, balancer: SocketAddrV4) {
        if now.saturating_duration_since(self.started_at) < GREETING_TIME {
            self.send_hello_to(now, &[balancer]);
        }
    }

    fn send_hello_to(&mut self, now: Instant, balancers: &[SocketAddrV4]) {
        let report = self.core.report(now);
        let service = self.upstream.service.clone();
        let zone = self.settings.zone.clone();
        for &to in balancers {
            let body = Body::Hello {
                service: &service,
                zone: &zone,
                report,
            };
            self.send(to, body);
        }
    }

    /// Executes the pending actions. `packet` is the packet whose handling caused them.
    pub(super) fn execute_actions(&mut self, now: Instant, packet: &[u8]) {
        let mut actions = std::mem::take(&mut self.actions);
        let mut absent: BTreeMap<SocketAddrV4, Vec<Key>> = BTreeMap::new();
        let mut unconfirmed: BTreeMap<SocketAddrV4, Vec<Key>> = BTreeMap::new();
        for action in actions.drain(..) {
            match action {
                Action::ToUpstream => {
                    udp::send(&self.outbound, packet, self.upstream.address);
                }
                Action::HeldToUpstream { packet } => {
                    udp::send(&self.outbound, &packet, self.upstream.address);
                }
                Action::ToClient => self.send_to_client(packet),
                Action::Return { to, reason } => self.return_syn(now, to, reason, packet),
                Action::ReturnBuffered { to, reason, packet } => {
                    self.return_syn(now, to, reason, &packet);
                }
                Action::Accepted {
                    to,
                    flow,
                    sequence,
                    took,
                } => self.report_acceptance(now, to, flow, sequence, took),
                Action::Absent { to, flow } => absent.entry(to).or_default().push(flow),
                Action::Unconfirmed { to, flow } => unconfirmed.entry(to).or_default().push(flow),
                Action::Found { to, flow } => {
                    let report = self.core.report_to(now, to);
                    self.send(to, Body::Found { flow, report });
                }
                Action::Report { to } => {
                    let report = self.core.report_to(now, to);
                    self.send(to, Body::Report(report));
                }
                Action::Earlier { to, flows } => self.send(to, Body::Earlier { flows }),
                Action::Speed {
                    to,
                    service_time_micros,
                } => self.send(
                    to,
                    Body::Speed {
                        service_time_micros,
                    },
                ),
                Action::Missing { to, flow } => self.send_missing(now, to, flow, packet),
                Action::MissingBuffered { to, flow, packet } => {
                    self.send_missing(now, to, flow, &packet)
                }
                Action::Reset {
                    flow,
                    sequence,
                    cause,
                } => self.send_reset(now, &flow, sequence, cause),
            }
        }
        self.actions = actions;
        self.send_batched(now, absent, |flows, report| Body::Absent { flows, report });
        self.send_batched(now, unconfirmed, |flows, report| Body::Unconfirmed {
            flows,
            report,
        });
    }

    /// Sends answers to [`Body::Locate`], with as many flows per frame as allowed.
    fn send_batched(
        &mut self,
        now: Instant,
        answers: BTreeMap<SocketAddrV4, Vec<Key>>,
        body: impl Fn(Vec<Key>, Report) -> Body<'static>,
    ) {
        for (to, flows) in answers {
            for chunk in flows.chunks(Question::MAX_PER_FRAME) {
                let report = self.core.report_to(now, to);
                self.send(to, body(chunk.to_vec(), report));
            }
        }
    }

    /// Notifies a balancer that the upstream accepted a flow.
    fn report_acceptance(
        &mut self,
        now: Instant,
        to: SocketAddrV4,
        flow: Key,
        sequence: u32,
        took: Duration,
    ) {
        metrics::histogram!("sassafrasmast_accept_seconds").record(took);
        let report = self.core.report_to(now, to);
        self.log.line(now, "flow_accepted", || {
            [
                ("flow", flow_text(Some(&flow))),
                ("balancer", to.to_string().into()),
                ("upstream", self.core.upstream().id().into()),
                ("upstream_started", report.upstream.into()),
                ("upstream_state", report.state.as_str().into()),
                ("busy", report.busy.into()),
            ]
        });
        let body = Body::Accepted {
            flow,
            sequence,
            report,
        };
        self.send(to, body);
    }

    /// Sends a reset of a flow to its client.
    fn send_reset(&mut self, now: Instant, flow: &Key, sequence: u32, cause: ResetCause) {
        let reset = self.platform.reset(flow, sequence);
        let to = SocketAddrV4::new(*flow.client.ip(), self.settings.packets.port());
        udp::send(&self.frames, &reset, to);
        metrics::counter!("sassafrasmast_resets", "cause" => cause.as_str()).increment(1);
        self.log.line(now, "flow_reset", || {
            [
                ("flow", flow_text(Some(flow))),
                ("cause", cause.as_str().into()),
                (
                    "upstream_started",
                    self.core.upstream().incarnation().into(),
                ),
            ]
        });
    }

    /// Returns a SYN to the balancer that sent it.
    fn return_syn(&mut self, now: Instant, to: SocketAddrV4, reason: Reason, packet: &[u8]) {
        let report = self.core.report_to(now, to);
        metrics::counter!("sassafrasmast_returned", "reason" => reason.as_str()).increment(1);
        self.log.line(now, "flow_returned", || {
            let flow = self.platform.decode(packet).map(|head| head.client_flow());
            [
                ("flow", flow_text(flow.as_ref())),
                ("reason", reason.as_str().into()),
                ("upstream_state", report.state.as_str().into()),
                ("balancer", to.to_string().into()),
            ]
        });
        let body = Body::Returned {
            reason,
            report,
            packet,
        };
        self.send(to, body);
    }

    /// Notifies a balancer that the packet's flow is not at this upstream.
    fn send_missing(&mut self, now: Instant, to: SocketAddrV4, flow: Key, packet: &[u8]) {
        let report = self.core.report_to(now, to);
        let body = Body::Missing {
            flow,
            report,
            packet,
        };
        self.send(to, body);
    }

    fn send_to_client(&self, packet: &[u8]) {
        if let Some(head) = self.platform.decode(packet) {
            let to = SocketAddrV4::new(*head.destination.ip(), self.settings.packets.port());
            udp::send(&self.frames, packet, to);
        }
    }

    pub(super) fn send(&mut self, to: SocketAddrV4, body: Body<'_>) {
        let frame = Frame::new(self.core.revision(), body);
        if frame.encode(&mut self.frame_buffer).is_err() {
            metrics::counter!("sassafrasmast_frames_too_large").increment(1);
            return;
        }
        udp::send(&self.frames, &self.frame_buffer, to);
    }
}
