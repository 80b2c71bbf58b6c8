//! Dissemination of a new version in the largest planned fleet. Too small a fan-out would leave
//! processes without the version; too large a one would exceed the budget for control bytes.

use std::collections::BTreeMap;

use rand::{SeedableRng, rngs::StdRng};
use sassafrasmast_core::config::Dissemination;
use sassafrasmast_wire::Address;

use super::{fleet, size, zone_out};

/// Balancers in the largest planned fleet.
const BALANCERS: u16 = 570;

/// Bytes of a frame without payload, IP and UDP headers included.
const FRAME_BYTES: usize = 40;

/// Control bytes per second that one daemon may send.
const BUDGET_BYTES_PER_S: usize = 3_000;

/// Seconds between two changes at 470 changes per day.
const CHANGE_INTERVAL_S: usize = 86_400 / 470;

/// Seed of the random choices.
const SEED: u64 = 7;

fn balancers(count: u16) -> Vec<Address> {
    let address = |n: u16| ([10, 50, n.to_be_bytes()[0], n.to_be_bytes()[1]], 7000).into();
    (1..=count).map(address).collect()
}

#[test]
fn one_balancer_reaches_the_largest_fleet_within_the_budget() {
    let before = size::largest();
    let zone = before.zones.keys().next().expect("a zone").clone();
    let after = before.apply(&[zone_out(&zone)], &[0; 32]).unwrap();
    let balancers = balancers(BALANCERS);
    let mut rng = StdRng::seed_from_u64(SEED);
    let mut notified = BTreeMap::from([(balancers[0], 1)]);
    let mut senders = vec![balancers[0]];
    let (mut steps, mut max_targets) = (0, 0);
    while !senders.is_empty() {
        let mut next = Vec::new();
        for own in senders {
            let dissemination =
                Dissemination::new(Some(&before), &after, &balancers, own, &mut rng);
            max_targets = max_targets.max(dissemination.targets.len());
            for target in dissemination.targets {
                let count = notified.entry(target).or_insert(0);
                *count += 1;
                if *count == 1 && balancers.contains(&target) {
                    next.push(target);
                }
            }
        }
        senders = next;
        steps += 1;
    }
    assert!(
        balancers
            .iter()
            .all(|balancer| notified.contains_key(balancer))
    );
    for upstream in after.upstreams.values() {
        assert_eq!(notified[&upstream.agent], 3, "{}", upstream.agent);
    }
    // In each step the notified balancers read the new version, which takes about half a second;
    // 10 steps stay within the 5 s that taking out a zone may take.
    assert!(steps <= 10, "{steps}");
    // Each balancer notifies its targets in three rounds.
    let bytes = 3 * max_targets * FRAME_BYTES / CHANGE_INTERVAL_S;
    assert!(bytes < BUDGET_BYTES_PER_S, "{bytes} bytes per second");
}

#[test]
fn agents_of_a_changed_zone_come_first() {
    let before = fleet();
    let after = before.apply(&[zone_out("centro")], &[0; 32]).unwrap();
    let balancers = balancers(3);
    let mut rng = StdRng::seed_from_u64(1);
    let dissemination =
        Dissemination::new(Some(&before), &after, &balancers, balancers[0], &mut rng);
    let agent = |host: u8| Address::from(([127, 0, 0, host], 7000));
    let expected = [agent(3), balancers[1], balancers[2], agent(1), agent(2)];
    assert_eq!(dissemination.targets, expected);
}
