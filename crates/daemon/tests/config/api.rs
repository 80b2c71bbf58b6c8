//! The operators' API: any balancer answers, errors are typed, and exit codes follow them.

use std::{sync::Arc, time::Duration};

use expect_test::expect;
use sassafrasmast::{
    client::{Client, Error},
    exit::Exit,
};
use sassafrasmast_core::config::{Change, Plan};
use sassafrasmast_wire::{AgentId, Incarnation, Load};
use sassafrasmastd::{
    api::{Confirm, Confirmed, Context, Events, Loads, Overview, Progress, Server, Status, Wish},
    config::Balancer,
};
use serde::de::DeserializeOwned;

use super::{
    fake::FakeStore,
    node::{Node, REACTION_TIMEOUT, add_zone, address, admission, agent, balancer},
};

/// No agent has reported a load.
#[derive(Debug)]
struct NoLoads;

impl Loads for NoLoads {
    fn load(&self, _agent: AgentId) -> Option<(Incarnation, Load, Duration)> {
        None
    }
}

/// Serves the API of a balancer.
fn serve(node: &Node<Balancer>) -> Server {
    let context = Context {
        listen: node.listen,
        installer: node.parts.installer.clone(),
        confirmer: node.parts.confirmer.clone(),
        loads: Arc::new(NoLoads),
    };
    Server::start((node.listen.ip(), 7002).into(), context).expect("a free address")
}

fn zone_out(zone: &str) -> Change {
    let zone = zone.to_owned();
    Change::ZoneOut { zone }
}

async fn plan(client: &Client, changes: Vec<Change>) -> Result<Plan, Error> {
    client.post("/plans", &Wish { changes }).await
}

async fn confirm(client: &Client, plan: Plan, operation: &str) -> Result<Confirmed, Error> {
    let operation = operation.to_owned();
    client.post("/confirm", &Confirm { plan, operation }).await
}

/// The text and the exit code of an error.
fn error_text<T: std::fmt::Debug>(result: Result<T, Error>) -> String {
    let error = anyhow::Error::from(result.expect_err("an error"));
    format!("{}: {error}\n", Exit::from_error(&error).code())
}

#[tokio::test]
async fn a_plan_of_one_balancer_is_confirmed_at_another() {
    let store = Arc::new(FakeStore::default());
    let one = balancer(store.clone(), &[]).await;
    let two = balancer(store, &[one.listen]).await;
    one.wait_for_version(1, REACTION_TIMEOUT).await;
    two.wait_for_version(1, REACTION_TIMEOUT).await;
    let (api_one, api_two) = (serve(&one), serve(&two));
    let unused_address = address();
    // The first address does not answer; the client tries the next one.
    let first = Client::new(vec![unused_address, api_one.address()]);
    let second = Client::new(vec![api_two.address()]);
    let listen = address();
    let admitted_agent = agent(listen, &[one.listen]).await;
    let wanted = plan(&first, admission(&[listen])).await.unwrap();
    assert_eq!(one.blackboard.version(), 1, "a plan changes nothing");
    let confirmed = confirm(&second, wanted.clone(), "op").await.unwrap();
    assert_eq!(confirmed.version, 2);
    assert_eq!(confirm(&first, wanted, "op").await.unwrap(), confirmed);
    admitted_agent.wait_for_version(2, REACTION_TIMEOUT).await;
    one.wait_for_version(2, REACTION_TIMEOUT).await;

    let status: Status = first.get("/status").await.unwrap();
    assert_eq!((status.version, status.upstreams.len()), (2, 1));
    let overview: Overview = second.get("/config").await.unwrap();
    assert_eq!(overview.services.len(), 1);
    let progress: Progress = first.get("/progress?version=2").await.unwrap();
    assert_eq!(
        (progress.asked, progress.behind.len(), progress.silent.len()),
        (3, 0, 0)
    );
    let progress: Progress = first.get("/progress?version=3").await.unwrap();
    assert_eq!(progress.behind.len(), 3);
    let path = format!("/events?process={listen}");
    let events: Events = second.get(&path).await.unwrap();
    assert_eq!(events.events.len(), admitted_agent.versions().len());
}

#[tokio::test]
async fn errors_have_exit_codes_and_texts_that_say_what_to_do() {
    let store = Arc::new(FakeStore::default());
    let one = balancer(store.clone(), &[]).await;
    one.wait_for_version(1, REACTION_TIMEOUT).await;
    let api = serve(&one);
    let client = Client::new(vec![api.address()]);
    let add = |zone| plan(&client, vec![add_zone(zone)]);
    let (here, rival) = (add("pocitos").await.unwrap(), add("centro").await.unwrap());
    let mut altered = rival.clone();
    altered.changes = vec![add_zone("third")];
    let mut text = error_text(plan(&client, vec![zone_out("nowhere")]).await);
    text += &error_text(plan(&client, Vec::new()).await);
    text += &error_text(confirm(&client, altered, "op").await);
    text += &error_text(confirm(&client, here.clone(), "no spaces").await);
    confirm(&client, here, "here").await.unwrap();
    text += &error_text(confirm(&client, rival.clone(), "rival").await);
    text += &error_text(get::<Events>(&client, "/events?process=127.0.0.1:1").await);
    text += &error_text(get::<Status>(&client, "/nothing").await);
    store.set_down(true);
    text += &error_text(confirm(&client, rival, "rival").await);
    let unused_address = address();
    let unreachable =
        error_text(get::<Status>(&Client::new(vec![unused_address]), "/status").await);
    text += &unreachable.replace(&unused_address.to_string(), "ADDRESS");
    expect![[r#"
        1: there is no zone nowhere
        1: the plan has no changes
        2: the plan is not the one that its digest names: plan anew
        2: an operation id has 1 to 64 letters, digits, '-' or '_'
        3: the plan was made for version 1, but version 2 is in force: plan anew
        1: no process of the fleet listens on 127.0.0.1:1
        1: the process answered 404 Not Found
        4: the store does not answer; this confirm wrote nothing
        4: no process answers: ADDRESS: Connection refused (os error 111)
    "#]]
    .assert_eq(&text);
}

#[tokio::test]
async fn a_balancer_without_configuration_is_not_ready() {
    let store = Arc::new(FakeStore::default());
    store.set_down(true);
    let one = balancer(store, &[]).await;
    let api = serve(&one);
    let client = Client::new(vec![api.address()]);
    let text = error_text(plan(&client, vec![add_zone("pocitos")]).await);
    expect![[r#"
        4: this balancer has no configuration yet
    "#]]
    .assert_eq(&text);
    let status: Status = client.get("/status").await.unwrap();
    assert_eq!(status.version, 0);
}

async fn get<T: DeserializeOwned>(client: &Client, path: &str) -> Result<T, Error> {
    client.get(path).await
}
