//! The history of one flow from the logs of several processes.

use expect_test::expect;
use sassafrasmast::{command::Command, explain};

const LOG: &str = r#"
  -9.97 balancer-1 {"at_ms":1000,"vm":"balancer-1","event":"start","role":"balancer"}
  -9.96 balancer-1 {"at_ms":1010,"vm":"balancer-1","event":"intent_read","revision":7}
   1.20 balancer-1 {"at_ms":2000,"vm":"balancer-1","event":"flow_placed","flow":"100.64.0.7:1093>198.18.0.1:443","agent":"10.0.0.2:7000"}
   1.20 balancer-1 {"at_ms":2000,"vm":"balancer-1","event":"flow_placed","flow":"100.64.0.7:1094>198.18.0.1:443","agent":"10.0.0.2:7000"}
   1.21 agent-2 {"at_ms":2001,"vm":"agent-2","event":"flow_returned","flow":"100.64.0.7:1093>198.18.0.1:443","reason":"busy"}
not a line of ours {
   1.22 agent-3 {"at_ms":2002,"vm":"agent-3","event":"store_lost"}
   1.50 balancer-1 {"at_ms":2300,"vm":"balancer-1","event":"store_lost","reason":"503"}
   2.40 balancer-1 {"at_ms":3200,"vm":"balancer-1","event":"flow_reset","flow":"100.64.0.7:1093>198.18.0.1:443","cause":"overloaded"}
"#;

#[test]
fn history_of_a_flow_includes_state_events_of_its_processes() {
    expect![[r"
        -1.000 s balancer-1 start role=balancer
        -0.990 s balancer-1 intent_read revision=7
        +0.000 s balancer-1 flow_placed agent=10.0.0.2:7000 flow=100.64.0.7:1093>198.18.0.1:443
        +0.001 s agent-2 flow_returned flow=100.64.0.7:1093>198.18.0.1:443 reason=busy
        +0.300 s balancer-1 store_lost reason=503
        +1.200 s balancer-1 flow_reset cause=overloaded flow=100.64.0.7:1093>198.18.0.1:443
    "]]
    .assert_eq(&explain::history("100.64.0.7:1093", LOG));
}

#[test]
fn history_of_a_flow_that_is_not_logged_is_empty() {
    assert_eq!(explain::history("100.64.0.7:9", LOG), "");
}

#[test]
fn explain_takes_a_flow_and_files() {
    let words = ["explain", "100.64.0.7:1093", "a.log", "b.log"].map(Into::into);
    let command = Command::parse(pico_args::Arguments::from_vec(words.to_vec()));
    assert_eq!(
        command.expect("the arguments are valid"),
        Command::Explain {
            flow: "100.64.0.7:1093".to_owned(),
            files: vec!["a.log".into(), "b.log".into()],
        }
    );
    let words = vec!["explain".into(), "100.64.0.7:1093".into()];
    assert!(Command::parse(pico_args::Arguments::from_vec(words)).is_err());
}
