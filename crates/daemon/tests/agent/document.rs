//! Configuration, certificate and addresses of the tests.

use std::{
    net::{IpAddr, Ipv4Addr, SocketAddr},
    path::PathBuf,
    process,
    sync::atomic::{AtomicU8, Ordering},
};

use rustls_pki_types::CertificateDer;
use sassafrasmast_core::config::{Document, Secrets, Service, Upstream, Zone};

static NEXT: AtomicU8 = AtomicU8::new(1);

/// A loopback address of this test alone.
pub fn ip() -> IpAddr {
    let [.., high, low] = process::id().to_be_bytes();
    Ipv4Addr::new(127, high | 1, low, NEXT.fetch_add(1, Ordering::Relaxed)).into()
}

pub fn service() -> Service {
    Service {
        name: "bookings".to_owned(),
        address: "127.0.0.1:443".parse().unwrap(),
        feeds: vec!["/feed".to_owned()],
        deadline_ms: 5_000,
        max_body_bytes: 20_000_000,
    }
}

/// A document that admits the upstream as agent 1 of service 1.
pub fn document(agent: SocketAddr, upstream: SocketAddr) -> Document {
    let mut document = Document::first(Secrets {
        sealing: 0,
        phases: [(0, [1; 32])].into(),
        reset: [2; 32],
    });
    document.zones.insert("a".to_owned(), Zone::default());
    document.services.insert(1, service());
    let admitted = Upstream {
        service: 1,
        zone: "a".to_owned(),
        agent,
        upstream,
        slots: 5,
        connections: 2_000,
        draining: false,
    };
    document.upstreams.insert(1, admitted);
    document.next_service = 2;
    document.next_agent = 3;
    document
}

/// Writes a certificate for `localhost`.
pub fn certificate(ip: IpAddr) -> (CertificateDer<'static>, PathBuf, PathBuf) {
    let made = rcgen::generate_simple_self_signed(["localhost".to_owned()]).unwrap();
    let folder = std::env::temp_dir().join(format!("sassafrasmast-test-{ip}"));
    std::fs::create_dir_all(&folder).unwrap();
    let (chain, key) = (folder.join("chain.pem"), folder.join("key.pem"));
    std::fs::write(&chain, made.cert.pem()).unwrap();
    std::fs::write(&key, made.signing_key.serialize_pem()).unwrap();
    (made.cert.der().clone(), chain, key)
}
