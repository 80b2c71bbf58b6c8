//! Which files `config check` accepts, and the errors it reports for invalid ones.

use std::{
    fs,
    path::{Path, PathBuf},
};

use expect_test::expect;
use sassafrasmast::check;

fn repository() -> PathBuf {
    Path::new(env!("CARGO_MANIFEST_DIR")).join("../..")
}

/// The result of checking a file with this text.
fn check_text(name: &str, text: &str) -> String {
    let path = Path::new(env!("CARGO_TARGET_TMPDIR")).join(name);
    fs::write(&path, text).expect("written");
    let result = match check::check(&path) {
        Ok(valid) => format!("{name}: {valid}\n"),
        Err(error) => format!("{error:#}\n"),
    };
    result.replace(&*path.to_string_lossy(), name)
}

const SYSTEM: &str = r#"
build = "cargo build"
[roles.balancer]
run = "target/release/sassafrasmast-forward balancer"
on = "frontend"
serves = ["frontend"]
"#;

const SETTINGS: &str = r#"
nodeName = "side-1"
ip = "10.1.0.10"
zone = "a"
portRange = [7720, 7735]
app = "10.1.0.10:8080"
service = "bookings"
[listen]
dataAddr = "10.1.0.10:8172"
readyAddr = "10.1.0.10:8167"
control = "10.1.0.10:8166"
outbound = "10.1.0.10:8168"
[platform]
address = "10.200.1.7:8169"
"#;

#[test]
fn files_of_the_deploy_directory_are_valid() {
    let days = fs::read_dir(repository().join("deploy/days")).expect("days");
    let mut files: Vec<PathBuf> = days.map(|entry| entry.expect("a file").path()).collect();
    assert!(files.len() >= 10, "days are missing");
    files.push(repository().join("deploy/system.toml"));
    for file in files {
        if let Err(error) = check::check(&file) {
            panic!("{error:#}");
        }
    }
}

/// Settings of the daemon were taken for settings of the platform, since both have a key `listen`.
#[test]
fn samples_of_settings_are_valid_but_for_files_that_they_name() {
    for deployment in ["reciclumen", "refugios"] {
        let files = fs::read_dir(repository().join("samples").join(deployment)).expect("samples");
        let files = files.map(|entry| entry.expect("a file").path());
        let settings: Vec<_> = files
            .filter(|file| {
                file.extension()
                    .is_some_and(|extension| extension == "toml")
            })
            .collect();
        assert_eq!(settings.len(), 3, "{deployment}");
        for file in settings {
            let problems = check::check(&file).err().map(|error| format!("{error:#}"));
            for problem in problems.iter().flat_map(|text| text.lines()) {
                // The files that agents' samples name exist on VMs only.
                assert!(problem.contains("/etc/sassafrasmast/"), "{problem}");
            }
        }
    }
}

#[test]
fn errors_in_deploy_files_name_key_and_reason() {
    let change = |from: &str, to: &str| check_text("system.toml", &SYSTEM.replace(from, to));
    let twice = format!(
        "{SYSTEM}{}",
        SYSTEM[SYSTEM.find('[').unwrap()..].replace("balancer]", "second]")
    );
    let results = [
        change("", ""),
        change("cargo build", " "),
        change(
            "[roles.balancer]",
            "production = \"29b1333e5478\"\n[roles.balancer]",
        ),
        change(
            "[roles.balancer]",
            "production = \"v0.1.0\"\n[roles.balancer]",
        ),
        change("on = \"frontend\"", "on = \"frontend\"\nshare = 1.5"),
        change(
            "on = \"frontend\"",
            "on = \"frontend\"\nshare = 0.5\ncount = 1",
        ),
        change(
            "on = \"frontend\"",
            "on = \"frontend\"\nmetrics = \"metrics\"",
        ),
        change("forward balancer", "forward router"),
        check_text("system.toml", &twice),
    ];
    expect![[r#"
        system.toml: deploy file is valid
        system.toml: build: is empty
        system.toml: deploy file is valid
        system.toml: production: the hash of a commit is expected, not "v0.1.0"
        system.toml: roles.balancer: share: 1.5 is not above 0 and at most 1
        system.toml: roles.balancer: count: share is given as well
        system.toml: roles.balancer: metrics: PORT/PATH is expected, not "metrics"
        system.toml: roles.balancer: run: a program and balancer or agent are expected, not "target/release/sassafrasmast-forward router"
        system.toml: roles.second.serves: another role of the class serves Frontend
    "#]].assert_eq(&results.concat());
}

#[test]
fn errors_in_platform_settings_name_key_and_reason() {
    let change = |from: &str, to: &str| check_text("node.toml", &SETTINGS.replace(from, to));
    let results = [
        change("", ""),
        change("10.1.0.10:8166", "10.1.0.10"),
        change("control =", "other ="),
        change("[listen]", "[bounds]\nflowMaxS = -1\n[listen]"),
    ];
    expect![[r#"
        node.toml: settings file of the platform is valid
        node.toml: TOML parse error at line 11, column 11
           |
        11 | control = "10.1.0.10"
           |           ^^^^^^^^^^^
        invalid IPv4 socket address syntax

        node.toml: listen.control is missing
        node.toml: bounds.flowMaxS is no duration: cannot convert float seconds to Duration: value is negative
    "#]].assert_eq(&results.concat());
}

#[test]
fn errors_in_day_files_name_entry_key_and_reason() {
    let day = |entry: &str| {
        check_text(
            "day.toml",
            &format!("slot = \"trouble\"\nfaults = [{{ {entry} }}]\n"),
        )
    };
    let results = [
        day("at = 1, kind = \"burst\", x = 2.0"),
        day("at = 1, kind = \"srv_slow\", x = 4.0"),
        day("at = 1, kind = \"bursts\""),
        day("at = 1"),
        day("kind = \"burst\""),
        day("at = 1, kind = \"burst\", share = 1.5"),
        day("at = 1, kind = \"burst\", for_s = \"5\""),
    ];
    expect![[r#"
        day.toml: day is valid
        day.toml: day is valid
        day.toml: faults[0]: kind: "bursts" is no known kind
        day.toml: faults[0]: kind: a text is expected
        day.toml: faults[0]: at: is missing
        day.toml: faults[0]: share: 1.5 is above 1
        day.toml: faults[0]: for_s: a number is expected
    "#]]
    .assert_eq(&results.concat());
}
