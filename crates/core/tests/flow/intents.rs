//! Merging of intents that arrive from the store and from peers in any order, while the store comes
//! back from older copies.

use std::{collections::BTreeSet, sync::Arc, time::Instant};

use proptest::{
    prelude::{Strategy, any, prop_assert, prop_assert_eq, proptest},
    test_runner::{Config, RngSeed},
};
use sassafrasmast_core::flow::{Balancer, Intent, ZoneName, balancer::Settings, intent::Policy};

/// Bits of a revision below the era, as the client of the platform's store packs them.
const ERA_SHIFT: u32 = 44;

/// Seed of the generated cases.
const SEED: u64 = 65;

fn config() -> Config {
    Config {
        rng_seed: RngSeed::Fixed(SEED),
        failure_persistence: None,
        ..Config::default()
    }
}

fn intent(revision: u64, version: u64, zones_out: BTreeSet<ZoneName>) -> Arc<Intent> {
    Arc::new(Intent {
        revision,
        policy: Policy {
            version,
            ..Policy::default()
        },
        zones_out,
    })
}

fn intents() -> impl Strategy<Value = Vec<Arc<Intent>>> {
    let zones = proptest::collection::btree_set(0..3_u8, 0..3);
    let any_intent = (0..3_u64, 1..6_u64, 1..5_u64, zones).prop_map(
        |(era, number, version, zones): (u64, u64, u64, BTreeSet<u8>)| {
            let zones = zones.into_iter().map(|zone| format!("zone-{zone}").into());
            intent((era << ERA_SHIFT) | number, version, zones.collect())
        },
    );
    proptest::collection::vec(any_intent, 1..8)
}

/// A balancer that has merged these intents in this order.
fn merged(intents: &[Arc<Intent>]) -> Arc<Intent> {
    let mut balancer = Balancer::new(Instant::now(), Settings::default());
    for intent in intents {
        balancer.set_intent(Arc::clone(intent));
    }
    Arc::clone(balancer.intent().unwrap())
}

proptest! {
    #![proptest_config(config())]

    /// Guards against processes that stay at different configurations after a restore, because they
    /// heard of the store's and of their peers' intents in another order.
    #[test]
    fn processes_that_received_the_same_intents_agree(
        intents in intents(),
        keys in proptest::collection::vec(any::<u16>(), 8),
    ) {
        let mut shuffled: Vec<_> = intents.iter().cloned().zip(keys).collect();
        shuffled.sort_by_key(|(_, key)| *key);
        let shuffled: Vec<_> = shuffled.into_iter().map(|(intent, _)| intent).collect();
        let expected = merged(&intents);
        prop_assert_eq!(&merged(&shuffled), &expected);
        // Also if they learn of some of them only through a peer that has merged them.
        let (first, rest) = shuffled.split_at(shuffled.len() / 2);
        if !first.is_empty() {
            let mut through_peer = rest.to_vec();
            through_peer.push(merged(first));
            prop_assert_eq!(&merged(&through_peer), &expected);
        }
    }

    /// Guards against a process that goes back to an earlier era, position or version.
    #[test]
    fn era_position_and_version_never_fall(intents in intents()) {
        let mut balancer = Balancer::new(Instant::now(), Settings::default());
        let mut before = (0, 0);
        for intent in intents {
            let version = balancer.intent().map_or(0, |intent| intent.policy.version);
            let adds = intent.revision > before.0 || intent.policy.version > version;
            let known = balancer.intent().cloned();
            let changed = balancer.set_intent(intent);
            let now = balancer.intent().unwrap();
            let after = (now.revision, now.policy.version);
            prop_assert!(after.0 >= before.0 && after.1 >= before.1, "{before:?} {after:?}");
            prop_assert!(changed || !adds);
            prop_assert_eq!(changed, known.as_ref() != Some(now));
            before = after;
        }
    }
}

/// Guards against a young process that keeps the copy's policy although a peer, which has not noticed
/// the restore yet, knows a newer one at an earlier position.
#[test]
fn the_newer_version_counts_also_at_an_earlier_position() {
    let copy = intent(1 << ERA_SHIFT, 100, BTreeSet::new());
    let of_peer = intent(50, 101, BTreeSet::from(["zone-a".into()]));
    let merged = merged(&[copy, of_peer]);
    assert_eq!(*merged, *intent(1 << ERA_SHIFT, 101, BTreeSet::new()));
}
