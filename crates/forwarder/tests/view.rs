//! What processes tell each other of the intent in force.

use std::{collections::HashMap, sync::Arc};

use sassafrasmast_core::flow::{
    Intent,
    intent::{Backend, Policy, Route},
};
use sassafrasmast_forwarder::peer::View;

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

fn view(intent: &Arc<Intent>) -> View {
    View::new(&View::default(), Some(intent), Vec::new())
}

#[test]
fn an_intent_that_differs_in_its_revision_only_is_not_sent() {
    // Two processes read the same documents at different revisions of the store.
    let (behind, ahead) = (view(&intent(76, "a")), view(&intent(83, "a")));
    let snapshot = ahead.snapshot_for(&behind.request(false));
    assert_eq!(snapshot.intent, None);
    let newer = behind.newer_intent(&snapshot).expect("the later revision");
    assert_eq!(newer, intent(83, "a"));
    // From then on nothing is to be newer.
    assert_eq!(
        view(&newer).newer_intent(&ahead.snapshot_for(&view(&newer).request(false))),
        None
    );
}

#[test]
fn a_newer_intent_that_differs_is_sent_and_an_older_one_is_not() {
    let (old, new) = (view(&intent(76, "a")), view(&intent(83, "b")));
    assert_eq!(
        old.newer_intent(&new.snapshot_for(&old.request(false))),
        Some(intent(83, "b"))
    );
    assert_eq!(
        new.newer_intent(&old.snapshot_for(&new.request(false))),
        None
    );
}

#[test]
fn an_intent_that_changed_while_another_process_answered_stays() {
    let (asked, ahead) = (view(&intent(76, "a")), view(&intent(83, "a")));
    let snapshot = ahead.snapshot_for(&asked.request(false));
    // The watch has brought a change since, which the other process has not snapshot.
    assert_eq!(view(&intent(78, "b")).newer_intent(&snapshot), None);
}
