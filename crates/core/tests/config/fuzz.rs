//! Documents, records and plans from outside never cause a panic.

use proptest::prelude::*;
use sassafrasmast_core::config::{Change, Document, Plan, Record};

use super::{admit, confirmed, fleet, zone_out};

/// Replaces some bytes of `text`, mostly by others that JSON uses.
fn spoil(text: &str, spots: &[(usize, char)]) -> String {
    let mut chars: Vec<_> = text.chars().collect();
    for (at, replacement) in spots {
        let at = at % chars.len();
        chars[at] = *replacement;
    }
    chars.into_iter().collect()
}

fn spots() -> impl Strategy<Value = Vec<(usize, char)>> {
    let replacement = prop::sample::select(
        "0123456789-\"{}[]:,.eE azAZ_\\\u{e9}\0"
            .chars()
            .collect::<Vec<_>>(),
    );
    prop::collection::vec((any::<usize>(), replacement), 1..6)
}

proptest! {
    #[test]
    fn a_spoilt_document_is_refused_or_usable(spots in spots()) {
        let text = spoil(&serde_json::to_string(&fleet()).unwrap(), &spots);
        if let Ok(document) = serde_json::from_str::<Document>(&text) {
            let _ = document.validate();
            let _ = document.apply(&[zone_out("centro"), Change::RotateKey], &[5; 32]);
            let _ = Plan::new(&document, vec![admit("dispatch", "centro", 9)]);
            if document.validate().is_ok() {
                prop_assert!(document.secrets.keys().is_some());
            }
        }
    }

    #[test]
    fn a_spoilt_record_follows_nothing_else(spots in spots()) {
        let base = fleet();
        let (_, record) = confirmed(&base, vec![zone_out("centro")]);
        let text = spoil(&serde_json::to_string(&record).unwrap(), &spots);
        if let Ok(record) = serde_json::from_str::<Record>(&text) {
            // Whatever follows is the document whose digest was confirmed.
            if let Some(followed) = record.apply_to(&base) {
                prop_assert_eq!(followed.digest(), record.digest);
            }
        }
    }

    #[test]
    fn a_spoilt_plan_is_not_confirmed(spots in spots()) {
        let plan = Plan::new(&fleet(), vec![zone_out("centro")]).unwrap();
        let text = spoil(&serde_json::to_string(&plan).unwrap(), &spots);
        if let Ok(spoilt) = serde_json::from_str::<Plan>(&text) {
            let again = Plan::new(&fleet(), spoilt.changes.clone());
            let same = again.is_ok_and(|again| again.digest == spoilt.digest);
            prop_assert!(!same || spoilt.changes == plan.changes);
        }
    }
}
