//! The store is down, loses replies, or comes back with an older configuration or none.

use std::{sync::Arc, time::Duration};

use sassafrasmast_core::config::{Change, Document, Outcome};
use sassafrasmast_wire::ConfigVersion;
use tokio::time::{Instant, sleep};

use super::{
    fake::FakeStore,
    node::{REACTION_TIMEOUT, add_zone, address, admission, agent, balancer},
};

const CURRENT: &str = "sassafrasmast/config/current";

/// Waits until the store holds `version` again.
async fn wait_until_stored(store: &FakeStore, version: ConfigVersion) -> Document {
    let start = Instant::now();
    loop {
        let value = store.value(CURRENT).expect("a document");
        let stored: Document = serde_json::from_slice(&value).expect("a document");
        if stored.version >= version {
            return stored;
        }
        assert!(
            start.elapsed() < Duration::from_secs(15),
            "version {version} was not stored within 15 s"
        );
        sleep(Duration::from_millis(5)).await;
    }
}

#[tokio::test]
async fn a_lost_reply_is_settled_by_reading_back() {
    let store = Arc::new(FakeStore::default());
    let one = balancer(store.clone(), &[]).await;
    one.wait_for_version(1, REACTION_TIMEOUT).await;
    store.lose_reply(false);
    assert_eq!(one.change(vec![add_zone("pocitos")]).await, 2);
    assert_eq!(one.versions(), [1, 2]);
}

#[tokio::test]
async fn a_confirm_during_an_outage_writes_nothing_and_is_reported_as_not_confirmed() {
    let store = Arc::new(FakeStore::default());
    let one = balancer(store.clone(), &[]).await;
    one.wait_for_version(1, REACTION_TIMEOUT).await;
    let plan = one.plan(vec![add_zone("pocitos")]);
    store.set_down(true);
    let outcome = one.parts.confirmer.confirm(plan.clone(), "op").await;
    assert_eq!(outcome, Outcome::NotConfirmed);
    store.set_down(false);
    let outcome = one.parts.confirmer.confirm(plan, "op").await;
    assert!(
        matches!(outcome, Outcome::Confirmed { version: 2, .. }),
        "{outcome:?}"
    );
}

#[tokio::test]
async fn an_unsettled_confirm_is_settled_by_the_same_operation_at_any_balancer() {
    let store = Arc::new(FakeStore::default());
    let one = balancer(store.clone(), &[]).await;
    let two = balancer(store.clone(), &[one.listen]).await;
    one.wait_for_version(1, REACTION_TIMEOUT).await;
    two.wait_for_version(1, REACTION_TIMEOUT).await;
    let plan = one.plan(vec![add_zone("pocitos")]);
    let rival = two.plan(vec![add_zone("centro")]);
    store.lose_reply(true);
    let outcome = one.parts.confirmer.confirm(plan.clone(), "op").await;
    assert_eq!(outcome, Outcome::Unsettled);
    store.set_down(false);
    let outcome = two.parts.confirmer.confirm(rival, "rival").await;
    assert_eq!(
        outcome,
        Outcome::Conflict {
            base: 1,
            current: 2
        }
    );
    let outcome = two.parts.confirmer.confirm(plan, "op").await;
    assert!(
        matches!(outcome, Outcome::Confirmed { version: 2, .. }),
        "{outcome:?}"
    );
}

#[tokio::test]
async fn a_zone_out_reaches_everyone_if_the_store_goes_down_directly_after_the_confirm() {
    let store = Arc::new(FakeStore::default());
    let one = balancer(store.clone(), &[]).await;
    let two = balancer(store.clone(), &[one.listen]).await;
    one.wait_for_version(1, REACTION_TIMEOUT).await;
    let listen = address();
    // This agent knows only the other balancer.
    let other_agent = agent(listen, &[two.listen]).await;
    let version = one.change(admission(&[listen])).await;
    other_agent
        .wait_for_version(version, REACTION_TIMEOUT)
        .await;
    two.wait_for_version(version, REACTION_TIMEOUT).await;
    let zone = "pocitos".to_owned();
    let plan = one.plan(vec![Change::ZoneOut { zone }]);
    // The reply arrives, but the store goes down before it updates any watch.
    store.set_mute(true);
    let outcome = one.parts.confirmer.confirm(plan, "out").await;
    store.set_down(true);
    let Outcome::Confirmed { version, .. } = outcome else {
        panic!("{outcome:?}");
    };
    other_agent
        .wait_for_version(version, REACTION_TIMEOUT)
        .await;
    two.wait_for_version(version, REACTION_TIMEOUT).await;
}

#[tokio::test]
async fn a_balancer_that_missed_a_change_in_an_outage_gets_it_from_a_peer() {
    let store = Arc::new(FakeStore::default());
    let one = balancer(store.clone(), &[]).await;
    one.wait_for_version(1, REACTION_TIMEOUT).await;
    let version = one.change(vec![add_zone("pocitos")]).await;
    store.set_down(true);
    let late = balancer(store.clone(), &[one.listen]).await;
    late.wait_for_version(version, REACTION_TIMEOUT).await;
    // Once the store is back, the balancer continues from that version without refusing a document.
    store.set_down(false);
    let version = one.change(vec![add_zone("centro")]).await;
    late.wait_for_version(version, REACTION_TIMEOUT).await;
    assert!(!late.has_refused());
}

#[tokio::test]
async fn a_balancer_started_in_an_outage_without_peers_has_no_configuration() {
    let store = Arc::new(FakeStore::default());
    store.set_down(true);
    let alone = balancer(store.clone(), &[]).await;
    let other_agent = agent(address(), &[alone.listen]).await;
    sleep(Duration::from_secs(1)).await;
    assert_eq!(alone.blackboard.version(), 0);
    assert_eq!(other_agent.blackboard.version(), 0);
    store.set_down(false);
    alone.wait_for_version(1, Duration::from_secs(15)).await;
}

#[tokio::test]
async fn a_store_restored_to_an_old_version_does_not_revert_the_configuration() {
    let store = Arc::new(FakeStore::default());
    let one = balancer(store.clone(), &[]).await;
    let two = balancer(store.clone(), &[one.listen]).await;
    one.wait_for_version(1, REACTION_TIMEOUT).await;
    let old = store.dump();
    one.change(vec![add_zone("pocitos")]).await;
    let version = one.change(vec![add_zone("centro")]).await;
    two.wait_for_version(version, REACTION_TIMEOUT).await;
    store.set_down(true);
    store.restore(old);
    store.set_down(false);
    let stored = wait_until_stored(&store, version).await;
    assert!(stored.zones.contains_key("centro"));
    assert!(one.has_refused() || two.has_refused());
    let version = two.change(vec![add_zone("carrasco")]).await;
    one.wait_for_version(version, REACTION_TIMEOUT).await;
    let fresh = balancer(store, &[]).await;
    fresh.wait_for_version(version, REACTION_TIMEOUT).await;
    for node in [&one, &two, &fresh] {
        assert!(
            node.versions().is_sorted_by(|a, b| a < b),
            "{:?}",
            node.versions()
        );
    }
}

#[tokio::test]
async fn the_configuration_is_written_again_to_a_store_that_lost_it() {
    let store = Arc::new(FakeStore::default());
    let one = balancer(store.clone(), &[]).await;
    one.wait_for_version(1, REACTION_TIMEOUT).await;
    let version = one.change(vec![add_zone("pocitos")]).await;
    store.set_down(true);
    store.restore(Vec::new());
    store.set_down(false);
    // A balancer that starts now asks its peers before it creates a first document.
    let fresh = balancer(store.clone(), &[one.listen]).await;
    fresh
        .wait_for_version(version, Duration::from_secs(15))
        .await;
    assert_eq!(fresh.versions(), [version]);
}

#[tokio::test]
async fn a_document_that_does_not_parse_or_breaks_a_rule_is_refused() {
    let store = Arc::new(FakeStore::default());
    let one = balancer(store.clone(), &[]).await;
    one.wait_for_version(1, REACTION_TIMEOUT).await;
    let mut document = one.blackboard.config().unwrap().document.clone();
    document.version = 9;
    document.secrets.sealing = 77;
    let broken = serde_json::to_vec(&document).unwrap();
    for value in [b"{\"version\":".to_vec(), broken] {
        store.set_down(true);
        store.restore(vec![(CURRENT.to_owned(), value)]);
        store.set_down(false);
        let fresh = balancer(store.clone(), &[]).await;
        let start = Instant::now();
        while !fresh.has_refused() {
            assert!(start.elapsed() < REACTION_TIMEOUT);
            sleep(Duration::from_millis(5)).await;
        }
        assert_eq!(fresh.blackboard.version(), 0);
    }
    assert_eq!(one.blackboard.version(), 1);
}

#[tokio::test]
async fn a_change_confirmed_on_a_store_that_lost_versions_does_not_revert_the_fleet() {
    let store = Arc::new(FakeStore::default());
    let one = balancer(store.clone(), &[]).await;
    one.wait_for_version(1, REACTION_TIMEOUT).await;
    let old = store.dump();
    let version = one
        .change(vec![add_zone("pocitos"), add_zone("centro")])
        .await;
    let version = version.max(one.change(vec![add_zone("carrasco")]).await);
    // By then, the watch of the first balancer has delivered all updates.
    sleep(Duration::from_millis(500)).await;
    // The store loses two versions without an interruption that balancers would detect, and a
    // balancer that never had these versions confirms a change.
    store.set_mute(true);
    store.restore(old);
    store.set_mute(false);
    let late = balancer(store.clone(), &[]).await;
    late.wait_for_version(1, REACTION_TIMEOUT).await;
    let plan = late.plan(vec![add_zone("other")]);
    assert_eq!(plan.base, 1);
    late.parts.confirmer.confirm(plan, "late").await;
    wait_until_stored(&store, version).await;
    late.wait_for_version(version, REACTION_TIMEOUT).await;
    let document = |node: &super::node::Node<_>| node.blackboard.config().unwrap().document.clone();
    assert_eq!(document(&one), document(&late));
    assert!(document(&one).zones.contains_key("carrasco"));
    assert!(one.versions().is_sorted_by(|a, b| a < b));
}
