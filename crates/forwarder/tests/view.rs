//! Exchange of the intent in force between peers.

use std::{collections::HashMap, sync::Arc};

use sassafrasmast_core::flow::{
    Intent,
    intent::{Backend, Policy, Route},
};
use sassafrasmast_forwarder::peer::View;

/// An intent with 500 routes to `service`.
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

fn with_version(revision: u64, version: u64) -> Arc<Intent> {
    let policy = Policy {
        version,
        ..Policy::default()
    };
    Arc::new(Intent {
        revision,
        policy,
        ..Intent::default()
    })
}

fn view(intent: &Arc<Intent>) -> View {
    View::new(&View::default(), Some(intent), Vec::new())
}

#[test]
fn snapshot_omits_an_intent_that_differs_only_in_its_revision() {
    // Two processes have read the same documents at different revisions of the store.
    let (requester, peer) = (view(&intent(76, "a")), view(&intent(83, "a")));
    let snapshot = peer.snapshot_for(&requester.request(false));
    assert_eq!(snapshot.intent, None);
    let newer = requester
        .newer_intent(&snapshot)
        .expect("an intent with the later revision");
    assert_eq!(newer, intent(83, "a"));
    // After that, a pull brings nothing new.
    assert_eq!(
        view(&newer).newer_intent(&peer.snapshot_for(&view(&newer).request(false))),
        None
    );
}

#[test]
fn snapshot_contains_a_newer_different_intent_but_not_an_older_one() {
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
fn stale_snapshot_does_not_replace_an_intent_that_changed_during_the_pull() {
    let (requester, peer) = (view(&intent(76, "a")), view(&intent(83, "a")));
    let snapshot = peer.snapshot_for(&requester.request(false));
    // The watch has since delivered a change that the peer's snapshot does not contain.
    assert_eq!(view(&intent(78, "b")).newer_intent(&snapshot), None);
}

/// Guards against a process that stays at the version of a restored copy although a peer, which has
/// not noticed the restore, knows a higher one at an earlier position.
#[test]
fn snapshot_contains_an_intent_of_a_higher_version_at_an_earlier_revision() {
    let (young, peer) = (view(&with_version(900, 100)), view(&with_version(76, 101)));
    let snapshot = peer.snapshot_for(&young.request(false));
    assert_eq!(snapshot.intent, Some(with_version(76, 101)));
    let reverse = young.snapshot_for(&peer.request(false));
    assert_eq!(reverse.intent, Some(with_version(900, 100)));
    // Both have merged the other's intent, so nothing is sent any more.
    let merged = Intent::merge(&with_version(900, 100), &with_version(76, 101));
    let (young, peer) = (view(&merged), view(&merged));
    assert_eq!(peer.snapshot_for(&young.request(false)).intent, None);
}
