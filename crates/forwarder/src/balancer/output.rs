//! Executes the actions of a balancer: sends frames and resets, and logs them.

use std::{collections::BTreeMap, net::SocketAddrV4, time::Instant};

use sassafrasmast_core::flow::{
    Head, Key, Purpose,
    balancer::{Action, ResetCause},
};
use sassafrasmast_wire::flow::{Body, Frame, Question};

use super::{Process, flow_text};
use crate::{platform::Platform, position::revision_field, status::age_ms, udp};

impl<P: Platform> Process<P> {
    /// Logs an agent's frame about a flow.
    pub(super) fn log_frame(
        &mut self,
        now: Instant,
        from: SocketAddrV4,
        body: &Body<'_>,
        head: Option<&Head>,
    ) {
        match body {
            Body::Returned { reason, report, .. } => {
                let flow = head.map(Head::client_flow);
                metrics::counter!("sassafrasmast_returned", "reason" => reason.as_str())
                    .increment(1);
                self.log.line(now, "flow_returned", || {
                    [
                        ("flow", flow_text(flow.as_ref())),
                        ("agent", from.to_string().into()),
                        ("reason", reason.as_str().into()),
                        ("upstream_state", report.state.as_str().into()),
                    ]
                });
            }
            Body::Missing { flow, .. } => self.log_flow_lookup(now, "flow_missing", from, flow),
            Body::Absent { flows, .. } => {
                for flow in flows {
                    self.log_flow_lookup(now, "flow_missing", from, flow);
                }
            }
            Body::Found { flow, .. } => self.log_flow_lookup(now, "flow_found", from, flow),
            _ => {}
        }
    }

    /// Logs whether an agent's upstream has a flow, in answer to a packet or to a search.
    fn log_flow_lookup(
        &mut self,
        now: Instant,
        kind: &'static str,
        from: SocketAddrV4,
        flow: &Key,
    ) {
        self.log.line(now, kind, || {
            [
                ("flow", flow_text(Some(flow))),
                ("agent", from.to_string().into()),
            ]
        });
    }

    /// Executes the pending actions. `packet` is the packet whose handling caused them.
    pub(super) fn execute_actions(&mut self, now: Instant, packet: Option<&[u8]>) {
        let mut actions = std::mem::take(&mut self.actions);
        // Questions to the same agent are batched to send fewer frames.
        let mut questions: BTreeMap<SocketAddrV4, Vec<Question>> = BTreeMap::new();
        for action in actions.drain(..) {
            match action {
                Action::Forward {
                    to,
                    purpose,
                    service,
                } => {
                    if let Some(packet) = packet {
                        self.record_delivery(now, to, purpose, packet);
                        self.deliver(to, purpose, service.as_deref(), packet);
                    }
                }
                Action::Send {
                    to,
                    purpose,
                    service,
                    packet,
                } => {
                    self.record_delivery(now, to, purpose, &packet);
                    self.deliver(to, purpose, service.as_deref(), &packet);
                }
                Action::Locate {
                    to,
                    flow,
                    acknowledgement,
                } => questions.entry(to).or_default().push(Question {
                    flow,
                    acknowledgement,
                }),
                Action::Probe(to) => {
                    let sent = self.core.members().probe_timestamp(now);
                    self.send(to, Body::Probe { sent });
                }
                Action::List => self.hints.list_requests.notify_one(),
                Action::Demand { to, waiting } => self.send(to, Body::Demand { waiting }),
                Action::ClassDemand { to, waiting } => self.send(to, Body::ClassDemand { waiting }),
                Action::Ended { to, attempts } => self.send(to, Body::Ended { attempts }),
                Action::Inquire { to, flows } => self.send(to, Body::Inquire { flows }),
                Action::Reset {
                    flow,
                    sequence,
                    cause,
                } => self.send_reset(now, &flow, sequence, cause),
                Action::Drop(flow, cause) => {
                    metrics::counter!("sassafrasmast_dropped", "cause" => cause.as_str())
                        .increment(1);
                    self.log_reset_or_drop(now, "packet_dropped", &flow, cause.as_str());
                }
            }
        }
        self.actions = actions;
        for (to, questions) in questions {
            for chunk in questions.chunks(Question::MAX_PER_FRAME) {
                let questions = chunk.to_vec();
                self.send(to, Body::Locate { questions });
            }
        }
    }

    /// Sends a reset of a flow to its client.
    fn send_reset(&mut self, now: Instant, flow: &Key, sequence: u32, cause: ResetCause) {
        let reset = self.platform.reset(flow, sequence);
        let to = SocketAddrV4::new(*flow.client.ip(), self.settings.packets.port());
        udp::send(&self.packets, &reset, to);
        metrics::counter!("sassafrasmast_resets", "cause" => cause.as_str()).increment(1);
        self.log_reset_or_drop(now, "flow_reset", flow, cause.as_str());
    }

    /// Logs that a flow was reset or a packet dropped, and why.
    fn log_reset_or_drop(
        &mut self,
        now: Instant,
        kind: &'static str,
        flow: &Key,
        cause: &'static str,
    ) {
        self.log.line(now, kind, || {
            [
                ("flow", flow_text(Some(flow))),
                ("cause", cause.into()),
                ("revision", revision_field(self.core.revision())),
            ]
        });
    }

    /// Counts a packet sent to an agent. For a SYN, logs the placement and the state that was
    /// known of the agent.
    fn record_delivery(&mut self, now: Instant, to: SocketAddrV4, purpose: Purpose, packet: &[u8]) {
        metrics::counter!("sassafrasmast_packets", "purpose" => purpose.as_str()).increment(1);
        if purpose != Purpose::Open {
            return;
        }
        self.log.line(now, "flow_placed", || {
            let flow = self.platform.decode(packet).map(|head| head.client_flow());
            let member = self.core.members().get(to);
            let age = member
                .and_then(|member| member.last_frame_at)
                .map(|at| age_ms(now, at));
            let syn_age = flow.and_then(|flow| self.core.syn_age(now, &flow));
            let syn_age_ms = syn_age.map(|age| u64::try_from(age.as_millis()).unwrap_or(u64::MAX));
            [
                ("flow", flow_text(flow.as_ref())),
                ("agent", to.to_string().into()),
                ("service", member.map(|member| &*member.service).into()),
                (
                    "upstream_state",
                    member.map(|member| member.report.state.as_str()).into(),
                ),
                ("load", member.map(|member| member.load(now)).into()),
                ("report_age_ms", age.into()),
                (
                    "room",
                    member
                        .filter(|member| member.states_room())
                        .map(|member| member.report.headroom)
                        .into(),
                ),
                ("syn_age_ms", syn_age_ms.into()),
                ("queued", self.core.queued_count().into()),
                ("revision", revision_field(self.core.revision())),
            ]
        });
    }

    fn deliver(
        &mut self,
        to: SocketAddrV4,
        purpose: Purpose,
        service: Option<&str>,
        packet: &[u8],
    ) {
        let service = service.unwrap_or_default();
        self.send(
            to,
            Body::Deliver {
                purpose,
                service,
                packet,
            },
        );
    }

    fn send(&mut self, to: SocketAddrV4, body: Body<'_>) {
        let frame = Frame::new(self.core.revision(), body);
        if frame.encode(&mut self.frame_buffer).is_err() {
            metrics::counter!("sassafrasmast_frames_too_large").increment(1);
            return;
        }
        udp::send(&self.frames, &self.frame_buffer, to);
    }
}
