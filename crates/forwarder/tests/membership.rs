//! Decisions about how a balancer learns of agents, by a virtual clock.

use std::{
    collections::BTreeMap,
    net::SocketAddrV4,
    time::{Duration, Instant},
};

use proptest::{
    prelude::{Strategy, any, prop_assert, prop_assert_eq, prop_oneof, proptest},
    test_runner::{Config, RngSeed},
};
use sassafrasmast_forwarder::{
    membership::{
        AgentList, Change, DELIVERY_TIME, LISTING_INTERVAL, MAX_STARVED_TIME, RETRY_DELAY,
        SETTLE_TIME, Schedule, Source, WatchMonitor,
    },
    registration::Record,
};

/// Seed of the generated cases.
const SEED: u64 = 65;

/// A link of 10 Mbit/s.
const LINK_BYTES_PER_S: u64 = 1_250_000;

const SECOND: Duration = Duration::from_secs(1);

fn config() -> Config {
    Config {
        rng_seed: RngSeed::Fixed(SEED),
        failure_persistence: None,
        ..Config::default()
    }
}

fn schedule() -> Schedule {
    Schedule::new(LINK_BYTES_PER_S, 0.5)
}

/// Guards against pending watches that each change ends, and against lists that stay incomplete after
/// a start or an outage.
#[test]
fn agents_are_watched_for_ten_seconds_after_the_store_answers_and_listed_then() {
    let start = Instant::now();
    let mut schedule = schedule();
    assert_eq!(schedule.source(start), Source::Watch);
    schedule.regain_store(start);
    assert_eq!(schedule.source(start + SETTLE_TIME - SECOND), Source::Watch);
    let settled = start + SETTLE_TIME;
    assert_eq!(schedule.source(settled), Source::StaleListings);
    assert_eq!(schedule.watch_ends_at(), Some(settled));

    schedule.lose_store();
    assert_eq!(schedule.source(settled + 100 * SECOND), Source::Watch);
    let again = settled + 100 * SECOND;
    schedule.regain_store(again);
    assert_eq!(schedule.source(again + SETTLE_TIME - SECOND), Source::Watch);
    assert_eq!(schedule.source(again + SETTLE_TIME), Source::StaleListings);
}

/// Guards against a service without upstreams that waits for a listing, and against a service that
/// never gets upstreams and makes all balancers watch for ever.
#[test]
fn agents_are_watched_while_a_service_has_no_upstream_but_not_for_ever() {
    let start = Instant::now();
    let mut schedule = schedule();
    schedule.regain_store(start);
    let starved = start + 20 * SECOND;
    schedule.set_starved(starved, true);
    schedule.set_starved(starved + 40 * SECOND, true);
    assert_eq!(schedule.source(starved + 50 * SECOND), Source::Watch);
    assert_eq!(
        schedule.source(starved + MAX_STARVED_TIME),
        Source::StaleListings
    );
    // Its first upstream came, so others are likely to follow.
    let served = starved + 100 * SECOND;
    schedule.set_starved(served, false);
    assert_eq!(schedule.source(served + SECOND), Source::Watch);
    assert_eq!(schedule.source(served + SETTLE_TIME), Source::StaleListings);
}

/// Guards against the loss of the store being concluded from one lost reply, or not at all.
#[test]
fn the_second_failed_listing_in_a_row_means_that_the_store_is_lost() {
    let now = Instant::now();
    let mut schedule = schedule();
    schedule.regain_store(now);
    assert!(!schedule.record_failure(now));
    assert_eq!(schedule.listing_due_at(), Some(now + RETRY_DELAY));
    schedule.record_listing(now, 100);
    assert!(!schedule.record_failure(now));
    assert!(schedule.record_failure(now));
}

/// Guards against balancers that started together and list together ever after.
#[test]
fn processes_list_at_intervals_that_differ() {
    let now = Instant::now();
    let due = |phase| {
        let mut schedule = Schedule::new(LINK_BYTES_PER_S, phase);
        schedule.record_listing(now, 100);
        schedule.listing_due_at().map(|at| at - now)
    };
    assert_eq!(due(0.5), Some(LISTING_INTERVAL));
    assert!(due(0.0) < due(0.5) && due(0.5) < due(1.0));
}

#[derive(Debug, Clone)]
enum Step {
    Wait(u64),
    Lose,
    Regain,
    Starved(bool),
    Listing(u64),
    Failure,
}

fn steps() -> impl Strategy<Value = Vec<Step>> {
    let step = prop_oneof![
        (0..20_000_u64).prop_map(Step::Wait),
        proptest::strategy::Just(Step::Lose),
        proptest::strategy::Just(Step::Regain),
        any::<bool>().prop_map(Step::Starved),
        (0..1_000_000_u64).prop_map(Step::Listing),
        proptest::strategy::Just(Step::Failure),
    ];
    proptest::collection::vec(step, 1..60)
}

proptest! {
    #![proptest_config(config())]

    /// Guards against schedules that read stale listings while the list has to become complete, watch
    /// for longer than stated, or use more than 2 % of the link, after any sequence of events.
    #[test]
    fn each_schedule_keeps_the_stated_times(
        steps in steps(),
        link in 10_000..10_000_000_u64,
        phase in 0.0..1.0_f64,
    ) {
        let mut now = Instant::now();
        let mut schedule = Schedule::new(link, phase);
        let mut is_lost = true;
        let mut settling_since: Option<Instant> = None;
        let mut starved_since: Option<Instant> = None;
        for step in steps {
            match step {
                Step::Wait(millis) => now += Duration::from_millis(millis),
                Step::Lose => {
                    schedule.lose_store();
                    is_lost = true;
                }
                Step::Regain => {
                    schedule.regain_store(now);
                    is_lost = false;
                    settling_since = Some(now);
                }
                Step::Starved(is_starved) => {
                    schedule.set_starved(now, is_starved);
                    if is_starved {
                        starved_since.get_or_insert(now);
                    } else if starved_since.take().is_some() {
                        settling_since = Some(now);
                    }
                }
                Step::Listing(bytes) => {
                    schedule.record_listing(now, bytes);
                    let interval = schedule.listing_due_at().unwrap() - now;
                    let on_link = bytes as f64 / (0.02 * link as f64);
                    let shortest = on_link.max(0.9 * LISTING_INTERVAL.as_secs_f64());
                    let longest = on_link.max(1.1 * LISTING_INTERVAL.as_secs_f64());
                    let interval = interval.as_secs_f64();
                    prop_assert!(interval > shortest - 1e-3 && interval < longest + 1e-3);
                }
                Step::Failure => {
                    schedule.record_failure(now);
                    prop_assert_eq!(schedule.listing_due_at(), Some(now + RETRY_DELAY));
                }
            }
            let within = |since: Option<Instant>, time| since.is_some_and(|at| now < at + time);
            let watches = is_lost
                || within(settling_since, SETTLE_TIME)
                || within(starved_since, MAX_STARVED_TIME);
            prop_assert_eq!(schedule.source(now) == Source::Watch, watches);
        }
    }
}

fn address(number: u8) -> SocketAddrV4 {
    SocketAddrV4::new([10, 0, 0, number].into(), 7000)
}

fn record(incarnation: u64) -> Record {
    Record {
        service: "booking".into(),
        zone: "zone-a".into(),
        incarnation,
        draining: false,
        restarting: Some(false),
    }
}

fn records(entries: &[(u8, u64)]) -> BTreeMap<SocketAddrV4, Record> {
    let entries = entries.iter();
    entries
        .map(|&(number, incarnation)| (address(number), record(incarnation)))
        .collect()
}

/// Guards against agents that are dropped, or come back, because a replica that lags behind answered.
#[test]
fn a_listing_older_than_what_is_known_is_ignored() {
    let mut agents = AgentList::default();
    agents.replace(20, records(&[(1, 1)]));
    agents.put(22, address(2), record(1));
    assert_eq!(agents.apply_stale(21, records(&[(1, 1), (3, 1)])), None);
    let listed = Change::Listed(address(3), record(1));
    let later = records(&[(1, 1), (2, 1), (3, 1)]);
    assert_eq!(agents.apply_stale(23, later.clone()), Some(vec![listed]));
    assert_eq!(agents.apply_stale(23, later), Some(Vec::new()));
    // Of an earlier era, however high its number is: the bits above 44 hold the era.
    agents.replace((1 << 44) | 5, records(&[(1, 1)]));
    assert_eq!(agents.apply_stale(900, records(&[])), None);
}

/// Guards against events for entries that a listing does not change, and against missed ones.
#[test]
fn a_listing_changes_the_entries_that_differ_only() {
    let mut agents = AgentList::default();
    agents.replace(20, records(&[(1, 1), (2, 1), (3, 1)]));
    let changes = vec![
        Change::Unlisted(address(2)),
        Change::Listed(address(3), record(2)),
        Change::Listed(address(4), record(1)),
    ];
    let listed = records(&[(1, 1), (3, 2), (4, 1)]);
    assert_eq!(agents.apply_stale(21, listed.clone()), Some(changes));
    assert_eq!(agents.apply_stale(22, listed), Some(Vec::new()));
    // The watch has delivered the end of an entry that an older replica still shows.
    agents.remove(24, address(1));
    let older = records(&[(1, 1), (3, 2), (4, 1)]);
    assert_eq!(agents.apply_stale(23, older), None);
}

proptest! {
    #![proptest_config(config())]

    /// Guards against a list that differs from the store for good after listings of any age.
    #[test]
    fn the_list_agrees_with_the_store_after_a_current_listing(
        writes in proptest::collection::vec((0..8_u8, 0..4_u64), 1..40),
        reads in proptest::collection::vec((any::<u16>(), any::<bool>()), 0..40),
    ) {
        // The content after each write; an incarnation of 0 removes the entry.
        let mut history = vec![BTreeMap::new()];
        for (number, incarnation) in &writes {
            let mut content = history.last().cloned().unwrap_or_default();
            if *incarnation == 0 {
                content.remove(&address(*number));
            } else {
                content.insert(address(*number), record(*incarnation));
            }
            history.push(content);
        }
        let mut agents = AgentList::default();
        let mut known = BTreeMap::new();
        let mut read = |index: usize, is_stale: bool| {
            let revision = index as i64;
            if !is_stale {
                agents.replace(revision, history[index].clone());
                known = history[index].clone();
                return;
            }
            for change in agents.apply_stale(revision, history[index].clone()).into_iter().flatten() {
                match change {
                    Change::Listed(address, record) => known.insert(address, record),
                    Change::Unlisted(address) => known.remove(&address),
                };
            }
        };
        let mut latest = 0;
        for (index, is_stale) in reads {
            let index = usize::from(index) % history.len();
            // Only a stale read may go back.
            latest = latest.max(index);
            read(if is_stale { index } else { latest }, is_stale);
        }
        read(history.len() - 1, true);
        prop_assert_eq!(Some(&known), history.last());
    }
}

/// Guards against a silent watch that is taken for one without changes, and against listings without
/// end while keys change that the watch does not cover.
#[test]
fn a_watch_is_checked_after_a_later_revision_and_less_often_while_that_finds_nothing() {
    let start = Instant::now();
    let mut monitor = WatchMonitor::default();
    monitor.record_listing(5, true);
    monitor.record_position(start, 5);
    assert_eq!(monitor.check_at(), None);

    monitor.record_position(start, 6);
    assert_eq!(monitor.check_at(), Some(start + DELIVERY_TIME));
    monitor.record_update(6);
    assert_eq!(monitor.check_at(), None);

    let mut now = start;
    for (revision, factor) in (7..).zip([1, 2, 4, 8, 8]) {
        monitor.record_position(now, revision);
        assert_eq!(monitor.check_at(), Some(now + DELIVERY_TIME * factor));
        now += DELIVERY_TIME * factor;
        monitor.record_listing(revision, false);
    }
    // A change that a peer knows is not one of other keys.
    monitor.record_position(now, 20);
    monitor.record_peer_change(now, 20);
    assert_eq!(monitor.check_at(), Some(now + DELIVERY_TIME));
    monitor.record_listing(20, true);
    monitor.record_position(now, 21);
    assert_eq!(monitor.check_at(), Some(now + DELIVERY_TIME));
}
