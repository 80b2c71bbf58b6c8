//! Fuzzing: corrupted documents, records and plans are rejected or usable and never cause a panic.

use proptest::prelude::*;
use sassafrasmast_core::config::{Change, Document, Plan, Record};

use super::{admit, confirmed, fleet, zone_out};

/// Replaces some characters of `text`, mostly by others that JSON uses.
fn corrupt(text: &str, replacements: &[(usize, char)]) -> String {
    let mut chars: Vec<_> = text.chars().collect();
    for (at, replacement) in replacements {
        let at = at % chars.len();
        chars[at] = *replacement;
    }
    chars.into_iter().collect()
}

fn replacements() -> impl Strategy<Value = Vec<(usize, char)>> {
    let replacement = prop::sample::select(
        "0123456789-\"{}[]:,.eE azAZ_\\\u{e9}\0"
            .chars()
            .collect::<Vec<_>>(),
    );
    prop::collection::vec((any::<usize>(), replacement), 1..6)
}

proptest! {
    #[test]
    fn a_corrupted_document_is_refused_or_usable(replacements in replacements()) {
        let text = corrupt(&serde_json::to_string(&fleet()).unwrap(), &replacements);
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
    fn a_corrupted_record_yields_only_the_confirmed_document(replacements in replacements()) {
        let base = fleet();
        let (_, record) = confirmed(&base, vec![zone_out("centro")]);
        let text = corrupt(&serde_json::to_string(&record).unwrap(), &replacements);
        if let Ok(record) = serde_json::from_str::<Record>(&text) {
            // A document that the record yields has the confirmed digest.
            if let Some(applied) = record.apply_to(&base) {
                prop_assert_eq!(applied.digest(), record.digest);
            }
        }
    }

    #[test]
    fn a_corrupted_plan_does_not_match_its_digest(replacements in replacements()) {
        let plan = Plan::new(&fleet(), vec![zone_out("centro")]).unwrap();
        let text = corrupt(&serde_json::to_string(&plan).unwrap(), &replacements);
        if let Ok(corrupted) = serde_json::from_str::<Plan>(&text) {
            let again = Plan::new(&fleet(), corrupted.changes.clone());
            let same = again.is_ok_and(|again| again.digest == corrupted.digest);
            prop_assert!(!same || corrupted.changes == plan.changes);
        }
    }
}
