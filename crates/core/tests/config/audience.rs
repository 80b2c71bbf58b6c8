//! Who is told of a new version, in the largest fleet that is planned for.

use std::collections::BTreeMap;

use rand::{SeedableRng, rngs::StdRng};
use sassafrasmast_core::config::Dissemination;
use sassafrasmast_wire::Address;

use super::{fleet, size, zone_out};

/// Balancers of the largest fleet.
const BALANCERS: u16 = 570;

/// Bytes of a frame without content, IP and UDP headers included.
const FRAME_BYTES: usize = 40;

/// Control bytes a second of one daemon.
const BUDGET: usize = 3_000;

/// Seconds between two of 470 changes a day.
const CHANGE_SECONDS: usize = 86_400 / 470;

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
    let mut told = BTreeMap::from([(balancers[0], 1)]);
    let mut speaking = vec![balancers[0]];
    let (mut steps, mut most) = (0, 0);
    while !speaking.is_empty() {
        let mut next = Vec::new();
        for own in speaking {
            let audience = Dissemination::new(Some(&before), &after, &balancers, own, &mut rng);
            most = most.max(audience.targets.len());
            for target in audience.targets {
                let times = told.entry(target).or_insert(0);
                *times += 1;
                if *times == 1 && balancers.contains(&target) {
                    next.push(target);
                }
            }
        }
        speaking = next;
        steps += 1;
    }
    assert!(balancers.iter().all(|balancer| told.contains_key(balancer)));
    for upstream in after.upstreams.values() {
        assert_eq!(told[&upstream.agent], 3, "{}", upstream.agent);
    }
    // Each step is a pull; half a second each stays within the few seconds of a zone out.
    assert!(steps <= 10, "{steps}");
    // Three rounds of telling each change.
    let bytes = 3 * most * FRAME_BYTES / CHANGE_SECONDS;
    assert!(bytes < BUDGET, "{bytes} bytes a second");
}

#[test]
fn agents_of_a_changed_zone_come_first() {
    let before = fleet();
    let after = before.apply(&[zone_out("centro")], &[0; 32]).unwrap();
    let balancers = balancers(3);
    let mut rng = StdRng::seed_from_u64(1);
    let audience = Dissemination::new(Some(&before), &after, &balancers, balancers[0], &mut rng);
    let agent = |host: u8| Address::from(([127, 0, 0, host], 7000));
    let expected = [agent(3), balancers[1], balancers[2], agent(1), agent(2)];
    assert_eq!(audience.targets, expected);
}
