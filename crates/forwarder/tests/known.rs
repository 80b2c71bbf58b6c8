//! What processes tell each other of the intent in force.

use std::{collections::HashMap, sync::Arc};

use sassafrasmast_core::flow::{
    Intent,
    intent::{Backend, Policy, Route},
};
use sassafrasmast_forwarder::peer::Known;

/// An intent with many routes, to `service`.
fn intent(revision: u64, service: &str) -> Arc<Intent> {
    let route = Route {
        backends: vec![Backend {
            service: service.into(),
            weight: 1,
        }],
        ..Route::default()
    };
    let routes: HashMap<_, _> = (1..=500)
        .map(|port| {
            (
                std::net::SocketAddrV4::new([198, 18, 0, 1].into(), port),
                route.clone(),
            )
        })
        .collect();
    Arc::new(Intent {
        revision,
        policy: Policy {
            routes,
            ..Policy::default()
        },
        ..Intent::default()
    })
}

fn known(intent: &Arc<Intent>) -> Known {
    Known::new(&Known::default(), Some(intent), Vec::new())
}

#[test]
fn an_intent_that_differs_in_its_revision_only_is_not_sent() {
    // Two processes read the same documents at different revisions of the store.
    let (behind, ahead) = (known(&intent(76, "a")), known(&intent(83, "a")));
    let told = ahead.answer(&behind.question(false));
    assert_eq!(told.intent, None);
    let learnt = behind.learn(&told).expect("the later revision");
    assert_eq!(learnt, intent(83, "a"));
    // From then on nothing is to be learnt.
    assert_eq!(
        known(&learnt).learn(&ahead.answer(&known(&learnt).question(false))),
        None
    );
}

#[test]
fn a_newer_intent_that_differs_is_sent_and_an_older_one_is_not() {
    let (old, new) = (known(&intent(76, "a")), known(&intent(83, "b")));
    assert_eq!(
        old.learn(&new.answer(&old.question(false))),
        Some(intent(83, "b"))
    );
    assert_eq!(new.learn(&old.answer(&new.question(false))), None);
}

#[test]
fn an_intent_that_changed_while_another_process_answered_stays() {
    let (asked, ahead) = (known(&intent(76, "a")), known(&intent(83, "a")));
    let told = ahead.answer(&asked.question(false));
    // The watch has brought a change since, which the other process has not told.
    assert_eq!(known(&intent(78, "b")).learn(&told), None);
}
