//! Client of the operators' API of one balancer.

use std::{
    net::SocketAddr,
    time::{Duration, SystemTime},
};

use rand::Rng;
use sassafrasmast_core::config::{Change, Plan};
use sassafrasmast_wire::ConfigVersion;
use sassafrasmastd::api::{Confirm, Confirmed, Events, Progress, Status, Wish};
use serde::{Serialize, de::DeserializeOwned};
use tokio::time::timeout;

use crate::http;

/// Time limit for one call.
const CALL_TIMEOUT: Duration = Duration::from_secs(10);

/// Client of the operators' API of one balancer.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct OperatorClient {
    api: SocketAddr,
}

impl OperatorClient {
    /// A client of the API at the given address.
    pub fn new(api: SocketAddr) -> Self {
        Self { api }
    }

    /// Status of the deployment as this balancer knows it.
    ///
    /// # Errors
    ///
    /// If the balancer does not answer or refuses.
    pub async fn status(&self) -> anyhow::Result<Status> {
        self.get("/status").await
    }

    /// Which processes do not yet have a configuration version.
    ///
    /// # Errors
    ///
    /// If the balancer does not answer or refuses.
    pub async fn progress(&self, version: ConfigVersion) -> anyhow::Result<Progress> {
        self.get(&format!("/progress?version={version}")).await
    }

    /// Plans changes.
    ///
    /// # Errors
    ///
    /// If the balancer does not answer or refuses.
    pub async fn plan(&self, changes: Vec<Change>) -> anyhow::Result<Plan> {
        self.post("/plans", &Wish { changes }).await
    }

    /// Confirms a plan under an operation id.
    ///
    /// # Errors
    ///
    /// If the balancer does not answer or refuses.
    pub async fn confirm(&self, plan: Plan, operation: &str) -> anyhow::Result<Confirmed> {
        let operation = operation.to_owned();
        self.post("/confirm", &Confirm { plan, operation }).await
    }

    /// Plans and confirms changes and returns the resulting version.
    ///
    /// # Errors
    ///
    /// If the balancer does not answer or refuses.
    pub async fn change(&self, changes: Vec<Change>) -> anyhow::Result<ConfigVersion> {
        let plan = self.plan(changes).await?;
        let now = SystemTime::now().duration_since(SystemTime::UNIX_EPOCH)?;
        let operation = format!("{}-{}", now.as_nanos(), rand::rng().random::<u32>());
        Ok(self.confirm(plan, &operation).await?.version)
    }

    /// Takes a zone out.
    ///
    /// # Errors
    ///
    /// If the balancer does not answer or refuses.
    pub async fn zone_out(&self, zone: &str) -> anyhow::Result<ConfigVersion> {
        let zone = zone.to_owned();
        self.change(vec![Change::ZoneOut { zone }]).await
    }

    /// Brings a zone back.
    ///
    /// # Errors
    ///
    /// If the balancer does not answer or refuses.
    pub async fn zone_in(&self, zone: &str) -> anyhow::Result<ConfigVersion> {
        let zone = zone.to_owned();
        self.change(vec![Change::ZoneIn { zone }]).await
    }

    /// Events of this balancer's timeline with numbers greater than `after`.
    ///
    /// # Errors
    ///
    /// If the balancer does not answer or refuses.
    pub async fn events(&self, after: u64) -> anyhow::Result<Events> {
        self.get(&format!("/events?after={after}")).await
    }

    async fn get<T: DeserializeOwned>(&self, path: &str) -> anyhow::Result<T> {
        timeout(CALL_TIMEOUT, http::call_json(self.api, "GET", path, None)).await?
    }

    async fn post<T: DeserializeOwned>(
        &self,
        path: &str,
        body: &impl Serialize,
    ) -> anyhow::Result<T> {
        let body = serde_json::to_value(body)?;
        let call = http::call_json(self.api, "POST", path, Some(&body));
        timeout(CALL_TIMEOUT, call).await?
    }
}
