//! Size of the document of the largest planned fleet, which has to fit in one value of the store.

use sassafrasmast_core::config::{Change, Document, Upstream, document::MAX_DOCUMENT_BYTES};

use super::{add_zone, first, service};

/// Services of the largest planned fleet.
const SERVICES: u16 = 1_700;

/// Upstreams of the largest planned fleet.
const UPSTREAMS: u32 = 4_200;

/// Availability zones of the largest planned fleet.
const ZONES: [&str; 4] = ["norte-a", "norte-b", "sur-a", "sur-b"];

/// The document of the largest planned fleet, with a full list of operations.
pub fn largest() -> Document {
    let zones: Vec<_> = ZONES.iter().map(|zone| add_zone(zone)).collect();
    let mut document = first().apply(&zones, &[0; 32]).expect("the zones are new");
    for id in 1..=SERVICES {
        let [high, low] = id.to_be_bytes();
        let address = format!("10.200.{high}.{low}:443");
        let service = service(&format!("service-{id}"), &address);
        document.services.insert(id, service);
    }
    for id in 1..=UPSTREAMS {
        let [_, _, high, low] = id.to_be_bytes();
        let upstream = Upstream {
            service: (id % u32::from(SERVICES)) as u16 + 1,
            zone: ZONES[id as usize % ZONES.len()].to_owned(),
            agent: ([10, 100, high, low], 7000).into(),
            upstream: ([10, 100, high, low], 8080).into(),
            slots: 5,
            connections: 2_000,
            draining: false,
        };
        document.upstreams.insert(id, upstream);
    }
    document.next_service = SERVICES + 1;
    document.next_agent = UPSTREAMS + 1;
    for operation in 0..100 {
        document.record_operation(format!("{operation:064}:{}", document.digest()));
    }
    document
}

#[test]
fn the_largest_document_fits_in_one_value() {
    let document = largest();
    assert_eq!(document.validate(), Ok(()));
    let bytes = serde_json::to_vec(&document).unwrap().len();
    assert!(bytes < MAX_DOCUMENT_BYTES, "{bytes}");
}

#[test]
fn a_document_too_large_for_one_value_is_refused() {
    let mut document = largest();
    for id in 1..=SERVICES {
        let service = document.services.get_mut(&id).unwrap();
        service.feeds = vec!["/".repeat(200)];
    }
    let change = Change::ZoneOut {
        zone: ZONES[0].to_owned(),
    };
    let refused = document.apply(&[change], &[0; 32]).unwrap_err();
    assert!(refused.to_string().contains("at most 1000000"), "{refused}");
}
