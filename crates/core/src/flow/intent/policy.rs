//! Routes, services and limits.

use std::{
    collections::{BTreeSet, HashMap},
    net::SocketAddrV4,
    time::Duration,
};

use serde::{Deserialize, Serialize};

use super::{Route, Service};
use crate::flow::{Priority, ServiceName};

/// Routes, services and limits of one configuration version.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
pub struct Policy {
    /// Version that the operators gave to their configuration, unlike the store's revision in
    /// [`Intent::revision`](super::Intent::revision).
    pub version: u64,
    /// Routes by the address that clients connect to.
    pub routes: HashMap<SocketAddrV4, Route>,
    /// Services by name.
    pub services: HashMap<ServiceName, Service>,
    /// Flows that were idle for longer may be removed.
    pub idle_timeout: Duration,
}

impl Policy {
    /// Requests per second that a cold upstream of the service can handle; `None` if operators
    /// configured no rate.
    pub fn cold_rate(&self, service: &str) -> Option<f64> {
        self.services
            .get(service)
            .map(|service| service.cold_rate)
            .filter(|&rate| rate > 0.0)
    }

    /// The shortest latency objective of the routes that lead to a service; `None` if operators
    /// configured none.
    pub fn latency_objective(&self, service: &str) -> Option<Duration> {
        self.routes
            .values()
            .filter(|route| route.routes_to(service))
            .filter_map(|route| route.latency_objective)
            .min()
    }

    /// The longest time limit of the requests of a service; `None` if a route to it states none.
    ///
    /// ```
    /// use std::time::Duration;
    /// use sassafrasmast_core::flow::intent::{Backend, Policy, Route};
    /// let mut policy = Policy::default();
    /// for millis in [1_000, 3_000] {
    ///     let backend = Backend { service: "booking".into(), weight: 1 };
    ///     let timeout = Some(Duration::from_millis(millis));
    ///     let route = Route { timeout, backends: vec![backend], ..Route::default() };
    ///     policy.routes.insert(format!("198.18.0.1:{millis}").parse().unwrap(), route);
    /// }
    /// assert_eq!(policy.time_limit("booking"), Some(Duration::from_secs(3)));
    /// ```
    pub fn time_limit(&self, service: &str) -> Option<Duration> {
        let routes = self.routes.values();
        let mut routes = routes.filter(|route| route.routes_to(service));
        routes.try_fold(Duration::ZERO, |longest, route| {
            route.timeout.map(|timeout| longest.max(timeout))
        })
    }

    /// The distinct priorities of the routes that lead to a service. Requests of the service are told
    /// apart by priority only if there are two or more.
    ///
    /// ```
    /// use sassafrasmast_core::flow::intent::{Backend, Policy, Route};
    /// let mut policy = Policy::default();
    /// for priority in [2, 1] {
    ///     let backend = Backend { service: "booking".into(), weight: 1 };
    ///     let route = Route { priority, backends: vec![backend], ..Route::default() };
    ///     let address = format!("198.18.0.1:{priority}").parse().unwrap();
    ///     policy.routes.insert(address, route);
    /// }
    /// assert!(policy.priorities("booking").into_iter().eq([1, 2]));
    /// assert!(policy.priorities("manifests").is_empty());
    /// ```
    pub fn priorities(&self, service: &str) -> BTreeSet<Priority> {
        self.routes
            .values()
            .filter(|route| route.routes_to(service))
            .map(|route| route.priority)
            .collect()
    }
}
