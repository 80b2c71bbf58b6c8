//! Tests of plans, validation and confirms of the configuration.

#[path = "config/confirmation_model.rs"]
mod confirmation_model;
#[path = "config/dissemination.rs"]
mod dissemination;
#[path = "config/fuzz.rs"]
mod fuzz;
#[path = "config/plan.rs"]
mod plan;
#[path = "config/rules.rs"]
mod rules;
#[path = "config/size.rs"]
mod size;

use std::collections::BTreeMap;

use sassafrasmast_core::config::{Change, Document, Record, Secrets, Service};

/// The first document of a fleet: secrets only.
fn first() -> Document {
    Document::first(Secrets {
        sealing: 0,
        phases: BTreeMap::from([(0, [1; 32])]),
        reset: [2; 32],
    })
}

fn service(name: &str, address: &str) -> Service {
    Service {
        name: name.to_owned(),
        address: address.parse().expect("an address"),
        feeds: vec!["/feed".to_owned()],
        deadline_ms: 5_000,
        max_body_bytes: 1 << 20,
    }
}

fn add_zone(zone: &str) -> Change {
    Change::AddZone {
        zone: zone.to_owned(),
    }
}

fn zone_out(zone: &str) -> Change {
    Change::ZoneOut {
        zone: zone.to_owned(),
    }
}

fn admit(service: &str, zone: &str, host: u8) -> Change {
    Change::Admit {
        service: service.to_owned(),
        zone: zone.to_owned(),
        agent: ([127, 0, 0, host], 7000).into(),
        upstream: ([127, 0, 0, host], 8080).into(),
        slots: 5,
        connections: 2_000,
    }
}

/// A fleet of two zones: service dispatch has two upstreams in pocitos and one in centro.
fn fleet() -> Document {
    let changes = [
        add_zone("pocitos"),
        add_zone("centro"),
        Change::CreateService {
            service: service("dispatch", "127.0.1.1:443"),
        },
        admit("dispatch", "pocitos", 1),
        admit("dispatch", "pocitos", 2),
        admit("dispatch", "centro", 3),
    ];
    first()
        .apply(&changes, &[3; 32])
        .expect("the changes make sense")
}

/// The document after `changes` to `base` are confirmed, and the record of them.
fn confirmed(base: &Document, changes: Vec<Change>) -> (Document, Record) {
    let mut next = base.apply(&changes, &[4; 32]).expect("the changes apply");
    next.record_operation("op".to_owned());
    let record = Record {
        version: next.version,
        operation: "op".to_owned(),
        changes,
        fresh: [4; 32],
        digest: next.digest(),
    };
    (next, record)
}
