//! Configuration, certificate and addresses for the tests.

use std::{
    net::{IpAddr, SocketAddr, TcpListener},
    path::PathBuf,
    process,
    sync::atomic::{AtomicU32, Ordering},
};

use rustls_pki_types::CertificateDer;
use sassafrasmast_core::config::{Document, Secrets, Service, Upstream, Zone};

/// Number of addresses tried by this process.
static NEXT: AtomicU32 = AtomicU32::new(0);

/// Port on which a listener reserves an address for one process.
const RESERVATION: u16 = 4_999;

/// Distance between the first addresses of two processes with consecutive ids.
const STRIDE: u32 = 101;

/// A loopback address that no other test process uses.
pub fn ip() -> IpAddr {
    let first = process::id().wrapping_mul(STRIDE);
    loop {
        let number = first.wrapping_add(NEXT.fetch_add(1, Ordering::Relaxed));
        let [_, high, middle, low] = number.to_be_bytes();
        let ip = IpAddr::from([127, high | 1, middle, low.max(1)]);
        if let Ok(listener) = TcpListener::bind((ip, RESERVATION)) {
            // Keeps the reservation until the process ends.
            std::mem::forget(listener);
            return ip;
        }
    }
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
