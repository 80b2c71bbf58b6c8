//! An operator at the API of one balancer.

use std::net::SocketAddr;

use serde_json::{Value, json};

use crate::http;

/// An operator at the API of one balancer.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Operator {
    api: SocketAddr,
}

impl Operator {
    /// An operator at the given API.
    pub fn new(api: SocketAddr) -> Self {
        Self { api }
    }

    /// State of the fleet as this balancer sees it.
    ///
    /// # Errors
    ///
    /// If the balancer does not answer or refuses.
    pub async fn status(&self) -> anyhow::Result<Value> {
        http::exchange(self.api, "GET", "/status", None).await
    }

    /// Version of the configuration in force in this balancer; 0 without one.
    ///
    /// # Errors
    ///
    /// As [`Self::status`].
    pub async fn version(&self) -> anyhow::Result<u64> {
        Ok(self.status().await?["version"].as_u64().unwrap_or(0))
    }

    /// Plans changes and gives the plan.
    ///
    /// # Errors
    ///
    /// If the balancer does not answer or refuses.
    pub async fn plan(&self, changes: &[Value]) -> anyhow::Result<Value> {
        let body = json!({ "changes": changes });
        http::exchange(self.api, "POST", "/plans", Some(&body)).await
    }

    /// Confirms a plan.
    ///
    /// # Errors
    ///
    /// If the balancer does not answer or refuses.
    pub async fn confirm(&self, plan: &Value) -> anyhow::Result<Value> {
        let id = plan["id"].as_str().unwrap_or_default();
        let path = format!("/plans/{id}/confirm");
        http::exchange(self.api, "POST", &path, Some(plan)).await
    }

    /// Plans and confirms changes.
    ///
    /// # Errors
    ///
    /// If the balancer does not answer or refuses.
    pub async fn change(&self, changes: &[Value]) -> anyhow::Result<Value> {
        let plan = self.plan(changes).await?;
        self.confirm(&plan).await
    }

    /// Takes a zone out.
    ///
    /// # Errors
    ///
    /// If the balancer does not answer or refuses.
    pub async fn zone_out(&self, zone: &str) -> anyhow::Result<Value> {
        self.change(&[json!({ "change": "zone-out", "zone": zone })])
            .await
    }

    /// Brings a zone back.
    ///
    /// # Errors
    ///
    /// If the balancer does not answer or refuses.
    pub async fn zone_in(&self, zone: &str) -> anyhow::Result<Value> {
        self.change(&[json!({ "change": "zone-in", "zone": zone })])
            .await
    }
}
