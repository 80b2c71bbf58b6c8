//! Confirmed changes come in force at all balancers and agents.

use std::{sync::Arc, time::Duration};

use sassafrasmast_core::config::Change;
use sassafrasmastd::config::Balancer;
use tokio::time::{Instant, sleep};

use super::{
    fake::FakeStore,
    node::{Node, REACTION_TIMEOUT, add_zone, address, admission, agent, balancer},
};

#[tokio::test]
async fn balancers_create_one_document_and_know_each_other() {
    let store = Arc::new(FakeStore::default());
    let one = balancer(store.clone(), &[]).await;
    let two = balancer(store.clone(), &[one.listen]).await;
    one.wait_for_version(1, REACTION_TIMEOUT).await;
    two.wait_for_version(1, REACTION_TIMEOUT).await;
    let document = |node: &Node<_>| node.blackboard.config().map(|c| c.document.digest());
    assert_eq!(document(&one), document(&two));
    wait_for_balancers(&one, 2).await;
    two.parts.leave().await;
    wait_for_balancers(&one, 1).await;
}

/// Waits until `node` lists `count` live balancers.
async fn wait_for_balancers(node: &Node<Balancer>, count: usize) {
    let start = Instant::now();
    while node.blackboard.balancers().len() != count {
        assert!(
            start.elapsed() < REACTION_TIMEOUT,
            "{:?}",
            node.blackboard.balancers()
        );
        sleep(Duration::from_millis(5)).await;
    }
}

#[tokio::test]
async fn a_confirm_is_in_force_at_balancers_and_agents_within_seconds() {
    let store = Arc::new(FakeStore::default());
    let one = balancer(store.clone(), &[]).await;
    let two = balancer(store.clone(), &[one.listen]).await;
    one.wait_for_version(1, REACTION_TIMEOUT).await;
    let agents = [address(), address()];
    let first = agent(agents[0], &[one.listen]).await;
    let second = agent(agents[1], &[two.listen]).await;
    assert_eq!(first.blackboard.version(), 0);
    let version = one.change(admission(&agents)).await;
    for node in [&first, &second] {
        node.wait_for_version(version, REACTION_TIMEOUT).await;
    }
    two.wait_for_version(version, REACTION_TIMEOUT).await;
    let zone = "pocitos".to_owned();
    let version = two.change(vec![Change::ZoneOut { zone }]).await;
    for node in [&first, &second] {
        node.wait_for_version(version, REACTION_TIMEOUT).await;
        let config = node.blackboard.config().unwrap();
        assert!(config.document.zones["pocitos"].out);
    }
    one.wait_for_version(version, REACTION_TIMEOUT).await;
}

#[tokio::test]
async fn a_removed_agent_learns_that_it_is_not_admitted() {
    let store = Arc::new(FakeStore::default());
    let one = balancer(store, &[]).await;
    one.wait_for_version(1, REACTION_TIMEOUT).await;
    let listen = address();
    let removed = agent(listen, &[one.listen]).await;
    let version = one.change(admission(&[listen])).await;
    removed.wait_for_version(version, REACTION_TIMEOUT).await;
    let version = one.change(vec![Change::RemoveUpstream { agent: 1 }]).await;
    removed.wait_for_version(version, REACTION_TIMEOUT).await;
    assert!(
        removed
            .blackboard
            .config()
            .unwrap()
            .document
            .upstreams
            .is_empty()
    );
}

#[tokio::test]
async fn many_successive_changes_are_applied_in_order() {
    let store = Arc::new(FakeStore::default());
    let one = balancer(store.clone(), &[]).await;
    let two = balancer(store.clone(), &[one.listen]).await;
    one.wait_for_version(1, REACTION_TIMEOUT).await;
    let mut version = 1;
    for zone in 0..100 {
        version = one.change(vec![add_zone(&format!("zone-{zone}"))]).await;
    }
    two.wait_for_version(version, REACTION_TIMEOUT).await;
    let versions = two.versions();
    assert!(versions.is_sorted_by(|a, b| a < b), "{versions:?}");
    // Only the records of the last versions are kept.
    let records = store.dump().into_iter();
    let records = records.filter(|(key, _)| key.contains("/change/"));
    assert_eq!(records.count(), 64);
}
