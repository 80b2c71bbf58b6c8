//! Decoders accept any bytes without panicking, and modified tickets are rejected.

use std::time::Duration;

use proptest::prelude::*;
use sassafrasmast_wire::{Body, Cid, Error, Frame, Keys, Load, Ticket};

fn keys() -> Keys {
    Keys::new(3, [(2, [8; 32]), (3, [9; 32])], [1; 32]).expect("phase 3 has a secret")
}

proptest! {
    #[test]
    fn decoding_arbitrary_bytes_does_not_panic(
        mut bytes in prop::collection::vec(any::<u8>(), 0..2_100),
    ) {
        let _ = Frame::decode(&bytes);
        if let Some(first) = bytes.first_mut() {
            *first = 1; // Protocol version 1, so that decoding proceeds past the first byte.
        }
        let _ = Frame::decode(&bytes);
        let _ = Cid::open(&keys(), &bytes);
    }

    #[test]
    fn arbitrary_text_is_not_a_ticket(text in "(st1-)?[0-9a-fA-F\\PC]{0,200}") {
        prop_assert!(Ticket::open(&keys(), &text).is_err());
    }

    #[test]
    fn an_inbound_frame_round_trips(
        payload in prop::collection::vec(any::<u8>(), 0..1_500),
        attempt: u8,
    ) {
        let body = Body::Inbound {
            service: 4,
            agent: 5,
            incarnation: Some(6),
            attempt,
            caller: "127.0.0.1:9".parse().unwrap(),
            payload: &payload,
        };
        let frame = Frame::new(u64::MAX, body);
        let mut buffer = Vec::new();
        frame.encode(&mut buffer).unwrap();
        prop_assert_eq!(Frame::decode(&buffer).unwrap(), frame);
    }

    #[test]
    fn a_truncated_frame_is_malformed(cut in 1_usize..20) {
        let frame = Frame::new(300, Body::Report {
            nonce: 9, service: Some(1), agent: Some(2), incarnation: 1 << 40, load: Load::default(),
        });
        let mut buffer = Vec::new();
        frame.encode(&mut buffer).unwrap();
        let kept = buffer.len() - cut.min(buffer.len() - 1);
        prop_assert_eq!(Frame::decode(&buffer[..kept]), Err(Error::Malformed));
    }

    #[test]
    fn a_modified_ticket_is_rejected(at in 4_usize..80, replacement in "[A-Za-z0-9_-]") {
        let ticket = Ticket {
            service: 1, agent: 2, incarnation: 3, nonce: 4, expiry: Duration::from_secs(600),
        };
        let text = ticket.seal(&keys(), [5; 12]);
        let at = at.min(text.len() - 2);
        let changed = format!("{}{replacement}{}", &text[..at], &text[at + 1..]);
        prop_assume!(changed != text);
        prop_assert!(Ticket::open(&keys(), &changed).is_err());
    }
}

#[test]
fn an_id_of_an_older_key_phase_can_be_opened() {
    let old = Keys::new(2, [(2, [8; 32])], [1; 32]).unwrap();
    let cid = Cid {
        agent: 1,
        incarnation: 2,
        service: 3,
        nonce: 4,
    };
    assert_eq!(Cid::open(&keys(), &cid.seal(&old)), Ok(cid));
    assert_eq!(Cid::open(&old, &cid.seal(&keys())), Err(Error::Phase(3)));
}

#[test]
fn reset_tokens_depend_on_the_agent_and_not_on_the_key_phase() {
    let old = Keys::new(2, [(2, [8; 32])], [1; 32]).unwrap();
    assert_eq!(keys().reset_token(7, b"cid"), old.reset_token(7, b"cid"));
    assert_ne!(keys().reset_token(7, b"cid"), keys().reset_token(8, b"cid"));
}

#[test]
fn frames_with_the_maximum_number_of_flows_fit_the_size_limit() {
    use sassafrasmast_wire::flow::{Body, Frame, Key, MAX_BYTES, Question, Report};
    let largest = std::net::SocketAddrV4::new([255; 4].into(), u16::MAX);
    let flow = Key {
        client: largest,
        route: largest,
    };
    let question = Question {
        flow,
        acknowledgement: u32::MAX,
    };
    let report = Report {
        agent: u64::MAX,
        upstream: u64::MAX,
        slots: u16::MAX,
        busy: u16::MAX,
        flows: u32::MAX,
        headroom: u16::MAX,
        ..Report::default()
    };
    let bodies = [
        Body::Locate {
            questions: vec![question; Question::MAX_PER_FRAME],
        },
        Body::Absent {
            flows: vec![flow; Question::MAX_PER_FRAME],
            report,
        },
    ];
    for body in bodies {
        let frame = Frame::new(u64::MAX, body);
        let mut bytes = Vec::new();
        frame
            .encode(&mut bytes)
            .expect("the frame fits the size limit");
        assert!(bytes.len() <= MAX_BYTES);
        assert_eq!(Frame::decode(&bytes).expect("the frame decodes"), frame);
    }
}
