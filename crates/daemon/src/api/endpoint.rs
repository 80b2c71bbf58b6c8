//! The endpoints of the operators' API.

use std::{net::SocketAddr, sync::Arc, time::Instant};

use dropshot::{ApiDescription, HttpResponseOk, Query, RequestContext, TypedBody, endpoint};
use sassafrasmast_core::config::Plan;
use sassafrasmast_wire::ConfigVersion;
use schemars::JsonSchema;
use serde::Deserialize;

use super::{
    Confirm, Confirmed, Context, Error, Events, Overview, Process, Progress, Status, Wish, collect,
    status,
};

/// Longest operation id, in bytes.
const MAX_OPERATION_BYTES: usize = 64;

type Request = RequestContext<Arc<Context>>;
type Answer<T> = Result<HttpResponseOk<T>, Error>;

/// Selects a process and a part of its timeline.
#[derive(Debug, Deserialize, JsonSchema)]
struct EventsQuery {
    /// Number of the last event the client has; 0 for all events.
    #[serde(default)]
    after: u64,
    /// Address of the process; the balancer that answers if none is given.
    process: Option<SocketAddr>,
}

/// Selects a configuration version.
#[derive(Debug, Deserialize, JsonSchema)]
struct ProgressQuery {
    /// The version.
    version: ConfigVersion,
}

/// Plan changes without putting them in force.
#[endpoint { method = POST, path = "/plans" }]
async fn post_plan(request: Request, wish: TypedBody<Wish>) -> Answer<Plan> {
    let config = request.context().config()?;
    let plan = Plan::new(&config.document, wish.into_inner().changes)?;
    log::info!("api: created plan {} on version {}.", plan.id, plan.base);
    Ok(HttpResponseOk(plan))
}

/// Put a plan in force.
#[endpoint { method = POST, path = "/confirm" }]
async fn post_confirm(request: Request, body: TypedBody<Confirm>) -> Answer<Confirmed> {
    let Confirm { plan, operation } = body.into_inner();
    let allowed = |c: char| c.is_ascii_alphanumeric() || "-_".contains(c);
    let length = 1..=MAX_OPERATION_BYTES;
    if !length.contains(&operation.len()) || !operation.chars().all(allowed) {
        return Err(Error::BadOperation);
    }
    let confirmed = request.context().confirm(plan, &operation).await?;
    Ok(HttpResponseOk(confirmed))
}

/// The state of the fleet as known to this balancer.
#[endpoint { method = GET, path = "/status" }]
async fn get_status(request: Request) -> Answer<Status> {
    Ok(HttpResponseOk(Status::new(
        request.context(),
        Instant::now(),
    )))
}

/// The configuration in force, without its secrets.
#[endpoint { method = GET, path = "/config" }]
async fn get_config(request: Request) -> Answer<Overview> {
    let config = request.context().config()?;
    Ok(HttpResponseOk(Overview::from(&config.document)))
}

/// All processes of the fleet that this balancer knows.
#[endpoint { method = GET, path = "/processes" }]
async fn get_processes(request: Request) -> Answer<Vec<Process>> {
    Ok(HttpResponseOk(status::processes(request.context())))
}

/// Which processes have a version in force; queries all known processes.
#[endpoint { method = GET, path = "/progress" }]
async fn get_progress(request: Request, query: Query<ProgressQuery>) -> Answer<Progress> {
    let version = query.into_inner().version;
    Ok(HttpResponseOk(
        collect::progress(request.context(), version).await,
    ))
}

/// A part of the timeline of this balancer or of another process.
#[endpoint { method = GET, path = "/events" }]
async fn get_events(request: Request, query: Query<EventsQuery>) -> Answer<Events> {
    let EventsQuery { after, process } = query.into_inner();
    let events = collect::events(request.context(), process, after).await?;
    Ok(HttpResponseOk(events))
}

/// All endpoints.
pub(super) fn description() -> anyhow::Result<ApiDescription<Arc<Context>>> {
    let mut api = ApiDescription::new();
    let failed = |error| anyhow::anyhow!("api: cannot register an endpoint: {error}");
    api.register(post_plan).map_err(failed)?;
    api.register(post_confirm).map_err(failed)?;
    api.register(get_status).map_err(failed)?;
    api.register(get_config).map_err(failed)?;
    api.register(get_processes).map_err(failed)?;
    api.register(get_progress).map_err(failed)?;
    api.register(get_events).map_err(failed)?;
    Ok(api)
}
