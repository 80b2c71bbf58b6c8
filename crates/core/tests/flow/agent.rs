//! What an agent lets through to its upstream.

use sassafrasmast_core::flow::{
    Head, Purpose, Reason, State,
    agent::{Action, Announcement, Change},
    balancer::ResetCause,
    packet::Flags,
};

use crate::fixture::{
    AgentRig, OTHER_SERVICE, SERVICE, announcement, bounced, data, flow, intent, ms, syn, syn_ack,
    upstream_head,
};

#[test]
fn an_accepted_flow_is_told_to_the_balancer_that_opened_it() {
    let mut rig = AgentRig::ready();
    let flow = flow(1);
    rig.deliver(Purpose::Open, &syn(flow));
    let told = rig.hear_upstream(&syn_ack(flow, 7));
    let accepted = Action::Accepted {
        to: rig.balancer,
        flow,
        sequence: 7,
        took: ms(0),
    };
    assert_eq!(told, [Action::ToClient, accepted]);
}

#[test]
fn packets_of_a_flow_that_was_handed_back_do_not_reach_the_upstream() {
    let mut rig = AgentRig::unheard();
    let flow = flow(1);
    rig.deliver(Purpose::Open, &syn(flow));
    assert_eq!(
        rig.hear_upstream(&bounced(syn(flow))),
        rig.returned(Reason::Shed)
    );
    let to = rig.balancer;
    assert_eq!(
        rig.deliver(Purpose::Find, &data(flow, 8)),
        [Action::Missing { to, flow }]
    );
}

#[test]
fn a_reset_of_an_upstream_that_may_not_hold_the_flow_does_not_reach_the_client() {
    let mut rig = AgentRig::unheard();
    let flow = flow(1);
    assert_eq!(
        rig.deliver(Purpose::Find, &data(flow, 8)),
        [Action::ToUpstream]
    );
    let flags = Flags {
        rst: true,
        ..Flags::default()
    };
    let to = rig.balancer;
    let told = rig.hear_upstream(&upstream_head(flow, flags, 0, 0));
    assert_eq!(told, [Action::Absent { to, flow }]);
    // The balancer took the flow to be here.
    rig.deliver(Purpose::Known, &data(flow, 8));
    let told = rig.hear_upstream(&upstream_head(flow, flags, 0, 0));
    let packet = b"packet".as_slice().into();
    assert_eq!(told, [Action::MissingBuffered { to, flow, packet }]);
}

#[test]
fn an_unknown_flow_is_shown_to_an_upstream_older_than_its_agent() {
    let mut rig = AgentRig::unheard();
    rig.announce(&announcement(1, 40));
    let flow = flow(1);
    assert_eq!(
        rig.deliver(Purpose::Find, &data(flow, 8)),
        [Action::ToUpstream]
    );
    let flags = Flags {
        ack: true,
        ..Flags::default()
    };
    let to = rig.balancer;
    assert_eq!(
        rig.hear_upstream(&upstream_head(flow, flags, 9, 0)),
        [Action::ToClient, Action::Found { to, flow }]
    );
}

#[test]
fn an_unknown_flow_is_missing_at_an_upstream_known_from_its_start() {
    let mut rig = AgentRig::ready();
    let flow = flow(1);
    let to = rig.balancer;
    assert_eq!(
        rig.deliver(Purpose::Known, &data(flow, 8)),
        [Action::Missing { to, flow }]
    );
}

#[test]
fn a_balancer_that_looks_for_a_flow_is_answered() {
    let mut rig = AgentRig::ready();
    rig.open(flow(1), 7);
    let to = rig.balancer;
    assert_eq!(rig.locate(flow(1)), [Action::Found { to, flow: flow(1) }]);
    assert_eq!(rig.locate(flow(2)), [Action::Absent { to, flow: flow(2) }]);
    let mut young = AgentRig::unheard();
    young.announce(&announcement(1, 40));
    assert_eq!(
        young.locate(flow(3)),
        [Action::Unconfirmed { to, flow: flow(3) }]
    );
}

/// An agent that started at 100 s by the time of day and hears 10 ms later that its upstream
/// started at `started` milliseconds and is cold for `cold_left` more. Services are cold for 2 s.
fn heard_late(started: u64, cold_left: u64) -> AgentRig {
    let mut rig = AgentRig::started_at(100_000);
    rig.now += ms(10);
    rig.announce(&Announcement {
        cold_left: ms(cold_left),
        ..announcement(started, 9)
    });
    rig
}

#[test]
fn an_agent_that_started_with_its_upstream_knows_its_flows() {
    let answer = |rig: &mut AgentRig| rig.locate(flow(1));
    let to = AgentRig::unheard().balancer;
    let absent = [Action::Absent { to, flow: flow(1) }];
    let unsure = [Action::Unconfirmed { to, flow: flow(1) }];
    // 300 ms before the agent, by both measures.
    assert_eq!(answer(&mut heard_late(99_700, 1_690)), absent);
    // Started earlier, and an agent before this one may have opened flows.
    assert_eq!(answer(&mut heard_late(99_500, 1_490)), unsure);
    // Made cold anew when its zone was taken out.
    assert_eq!(answer(&mut heard_late(60_000, 1_900)), unsure);
    // The time of day was set back in between.
    assert_eq!(answer(&mut heard_late(99_900, 300)), unsure);
    // No longer cold: its age is not known.
    assert_eq!(answer(&mut heard_late(99_900, 0)), unsure);
}

#[test]
fn the_client_that_chose_another_upstream_is_sent_there() {
    let mut rig = AgentRig::ready();
    let flow = flow(1);
    rig.deliver(Purpose::Open, &syn(flow));
    rig.hear_upstream(&syn_ack(flow, 7_000));
    let to = rig.balancer;
    assert_eq!(
        rig.deliver(Purpose::Known, &data(flow, 90_001)),
        [Action::Missing { to, flow }]
    );
}

#[test]
fn a_leaving_upstream_keeps_its_flows_and_gets_no_new_ones() {
    let mut rig = AgentRig::ready();
    rig.open(flow(1), 7);
    rig.announce(&Announcement {
        draining: true,
        ..announcement(1, 2)
    });
    assert_eq!(
        rig.deliver(Purpose::Open, &syn(flow(2))),
        rig.returned(Reason::Leaving)
    );
    assert_eq!(
        rig.deliver(Purpose::Known, &data(flow(1), 8)),
        [Action::ToUpstream]
    );
}

#[test]
fn a_new_start_of_the_upstream_resets_the_flows_of_the_old_one() {
    let mut rig = AgentRig::ready();
    rig.open(flow(1), 7);
    rig.now += ms(3_000);
    let reset = Action::Reset {
        flow: flow(1),
        sequence: 8,
        cause: ResetCause::Restarted,
    };
    assert_eq!(rig.announce(&announcement(2, 1)), [reset]);
}

#[test]
fn flows_opened_just_before_a_new_start_was_heard_may_belong_to_it() {
    let mut rig = AgentRig::ready();
    rig.now += ms(3_000);
    rig.open(flow(1), 7);
    rig.now += ms(300);
    assert_eq!(rig.announce(&announcement(2, 1)), []);
}

#[test]
fn late_announcements_of_an_earlier_start_change_nothing() {
    let mut rig = AgentRig::ready();
    rig.announce(&announcement(5, 1));
    let late = Announcement {
        draining: true,
        ..announcement(1, 9)
    };
    let mut actions = Vec::new();
    assert_eq!(
        rig.agent.announce(rig.now, &late, &mut actions),
        Change::Stale
    );
    assert_eq!(rig.agent.upstream().state(rig.now), State::Ready);
}

#[test]
fn a_route_that_a_newer_intent_leads_elsewhere_is_refused() {
    let mut rig = AgentRig::ready();
    assert!(rig.agent.set_intent(intent(9, &[(OTHER_SERVICE, 1)], 0.0)));
    assert_eq!(
        rig.deliver_at(8, Purpose::Open, &syn(flow(1))),
        rig.returned(Reason::WrongService)
    );
    // The balancer knows more than the agent.
    assert_eq!(
        rig.deliver_at(10, Purpose::Open, &syn(flow(1))),
        [Action::ToUpstream]
    );
}

#[test]
fn an_older_intent_never_replaces_a_newer_one() {
    let mut rig = AgentRig::ready();
    assert!(rig.agent.set_intent(intent(9, &[(OTHER_SERVICE, 1)], 0.0)));
    assert!(!rig.agent.set_intent(intent(8, &[(SERVICE, 1)], 0.0)));
    assert_eq!(rig.agent.revision(), 9);
}

#[test]
fn a_cold_upstream_gets_no_more_than_its_rate_in_any_second() {
    let mut rig = AgentRig::ready();
    // Bears 10 a second; with coverage 1.5 and slack 5 never more than 20.
    assert!(rig.agent.set_intent(intent(2, &[(SERVICE, 1)], 10.0)));
    rig.announce(&Announcement {
        cold_left: ms(5_000),
        ..announcement(2, 1)
    });
    let mut taken = Vec::new();
    for step in 0..400_u16 {
        rig.now += ms(10);
        let actions = rig.deliver(Purpose::Open, &syn(flow(step)));
        if actions == [Action::ToUpstream] {
            taken.push(rig.now);
            rig.hear_upstream(&syn_ack(flow(step), 7));
        } else {
            assert_eq!(actions, rig.returned(Reason::Cold));
        }
    }
    let busiest = taken
        .iter()
        .map(|&start| {
            taken
                .iter()
                .filter(|&&at| at >= start && at - start <= ms(1_000))
                .count()
        })
        .max();
    assert!(busiest <= Some(20), "{busiest:?}");
    assert!(taken.len() >= 40, "{}", taken.len());
}

#[test]
fn an_agent_that_restarts_beside_a_cold_upstream_waits_for_a_window() {
    let mut rig = AgentRig::started_at(60_000);
    assert!(rig.agent.set_intent(intent(2, &[(SERVICE, 1)], 10.0)));
    rig.announce(&Announcement {
        cold_left: ms(5_000),
        ..announcement(1, 7)
    });
    assert_eq!(
        rig.deliver(Purpose::Open, &syn(flow(1))),
        rig.returned(Reason::Cold)
    );
    rig.now += ms(1_100);
    assert_eq!(
        rig.deliver(Purpose::Open, &syn(flow(1))),
        [Action::ToUpstream]
    );
}

#[test]
fn a_service_without_a_stated_cold_rate_has_no_cold_limit() {
    let mut rig = AgentRig::ready();
    rig.announce(&Announcement {
        cold_left: ms(5_000),
        ..announcement(2, 1)
    });
    for port in 0..200 {
        rig.open(flow(port), 7);
        let flags = Flags {
            ack: true,
            ..Flags::default()
        };
        rig.hear_upstream(&upstream_head(flow(port), flags, 8, 300));
    }
}

#[test]
fn an_upstream_with_two_requests_a_slot_gets_no_new_flows_until_it_answers() {
    let mut rig = AgentRig::ready();
    for port in 0..10 {
        rig.open(flow(port), 7);
    }
    assert_eq!(
        rig.deliver(Purpose::Open, &syn(flow(10))),
        rig.returned(Reason::Busy)
    );
    let flags = Flags {
        ack: true,
        ..Flags::default()
    };
    rig.hear_upstream(&upstream_head(flow(0), flags, 8, 300));
    assert_eq!(
        rig.deliver(Purpose::Open, &syn(flow(11))),
        [Action::ToUpstream]
    );
}

#[test]
fn a_repeated_packet_of_an_answered_request_is_no_work() {
    let mut rig = AgentRig::ready();
    rig.open(flow(1), 7);
    assert_eq!(rig.agent.report(rig.now).busy, 1);
    let flags = Flags {
        ack: true,
        ..Flags::default()
    };
    rig.hear_upstream(&upstream_head(flow(1), flags, 8, 300));
    rig.deliver(Purpose::Known, &data(flow(1), 8));
    assert_eq!(rig.agent.report(rig.now).busy, 0);
    let next = Head {
        sequence: 600,
        ..data(flow(1), 8)
    };
    rig.deliver(Purpose::Known, &next);
    assert_eq!(rig.agent.report(rig.now).busy, 1);
}

#[test]
fn a_flood_of_opening_packets_does_not_grow_without_bound() {
    let mut rig = AgentRig::ready();
    for client in 0..2_u8 {
        for port in 0..=u16::MAX {
            let mut stray = flow(port);
            stray.client.set_ip([100, 64, 9, client].into());
            rig.deliver(Purpose::Open, &syn(stray));
            rig.hear_upstream(&bounced(syn(stray)));
        }
    }
    assert!(rig.agent.flow_count() <= 20_000);
}

#[test]
fn an_opening_packet_without_an_answer_is_handed_back() {
    let mut rig = AgentRig::ready();
    rig.deliver(Purpose::Open, &syn(flow(1)));
    let held = Action::ReturnBuffered {
        to: rig.balancer,
        reason: Reason::Silent,
        packet: b"packet".as_slice().into(),
    };
    assert_eq!(rig.tick(ms(80)), [held]);
}

#[test]
fn an_upstream_that_answers_nothing_is_silent_until_it_is_heard() {
    let mut rig = AgentRig::ready();
    for port in 1..=2 {
        rig.deliver(Purpose::Open, &syn(flow(port)));
        rig.tick(ms(80));
    }
    assert_eq!(rig.agent.upstream().state(rig.now), State::Silent);
    assert_eq!(
        rig.deliver(Purpose::Open, &syn(flow(3))),
        rig.returned(Reason::Silent)
    );
    rig.announce(&announcement(1, 2));
    assert_eq!(
        rig.deliver(Purpose::Open, &syn(flow(4))),
        [Action::ToUpstream]
    );
}

#[test]
fn packets_of_unknown_writers_change_no_state() {
    let mut rig = AgentRig::ready();
    let stray = Head {
        acknowledgement: 5,
        ..bounced(data(flow(9), 5))
    };
    assert_eq!(rig.hear_upstream(&stray), []);
    assert_eq!(rig.agent.flow_count(), 0);
}
