//! Seeds of soak tests that failed once.

use std::time::Duration;

use sassafrasmast_experiments::soak::{Settings, run};

/// After all leases were revoked, a balancer that starts knows an agent only seconds later. Until then
/// it takes the answers of the agents that it knows for complete and resets open flows of the others.
#[test]
fn seed_6_with_history_keeps_all_rules() {
    let settings = Settings {
        seed: 6,
        duration: Duration::from_secs(20),
        history: true,
        ..Settings::default()
    };
    let summary = run(&settings).expect("a run");
    assert!(summary.violations.is_empty(), "{summary:#?}");
}
