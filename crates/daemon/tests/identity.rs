//! An agent accepts only an admission under its own service.

use std::net::SocketAddr;

use sassafrasmast_core::config::{Document, Secrets, Service, Upstream, Zone};
use sassafrasmastd::quic::Identity;

fn document(agent: SocketAddr) -> Document {
    let mut document = Document::first(Secrets {
        sealing: 0,
        phases: [(0, [1; 32])].into(),
        reset: [2; 32],
    });
    document.zones.insert("a".to_owned(), Zone::default());
    let service = Service {
        name: "dispatch".to_owned(),
        address: SocketAddr::from(([127, 0, 0, 1], 443)),
        feeds: Vec::new(),
        deadline_ms: 10_000,
        max_body_bytes: 1 << 20,
    };
    document.services.insert(1, service);
    let upstream = Upstream {
        service: 1,
        zone: "a".to_owned(),
        agent,
        upstream: agent,
        slots: 5,
        connections: 2_000,
        draining: false,
    };
    document.upstreams.insert(7, upstream);
    document
}

#[test]
fn an_admission_under_another_service_is_ignored() {
    let listen = SocketAddr::from(([127, 0, 0, 2], 7_000));
    let document = document(listen);
    let found = Identity::find(&document, listen, "dispatch");
    let expected = Identity {
        service: 1,
        agent: 7,
    };
    assert_eq!(found, Some(expected));
    assert_eq!(Identity::find(&document, listen, "manifests"), None);
    let other = SocketAddr::from(([127, 0, 0, 3], 7_000));
    assert_eq!(Identity::find(&document, other, "dispatch"), None);
}
