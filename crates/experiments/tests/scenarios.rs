//! The scenario files of this crate are valid, and invalid ones are refused.

use std::{env, fs, path::Path};

use sassafrasmast_experiments::scenario::Scenario;

#[test]
fn every_scenario_can_be_read() {
    let folder = Path::new(env!("CARGO_MANIFEST_DIR")).join("scenarios");
    let mut read = 0;
    for entry in fs::read_dir(folder).unwrap() {
        let file = entry.unwrap().path();
        let scenario = Scenario::load(&file).unwrap();
        assert_eq!(file.file_stem().unwrap().to_str().unwrap(), scenario.name);
        assert!(
            scenario
                .faults
                .iter()
                .all(|fault| fault.at_s < scenario.seconds as f64)
        );
        read += 1;
    }
    assert!(read > 0);
}

#[test]
fn unknown_keys_and_events_are_refused() {
    for text in [
        "nmae = \"x\"",
        "[[faults]]\nat_s = 1\nevent = \"flood\"",
        "policies = []",
    ] {
        let file = env::temp_dir().join(format!("scenario-{}.toml", text.len()));
        fs::write(&file, text).unwrap();
        assert!(Scenario::load(&file).is_err(), "{text}");
    }
}
