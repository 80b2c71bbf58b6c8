//! A document of routes, services and limits as far as it could be decoded. What could not be
//! decoded is `None`, and no rule that depends on it is applied.

use std::{net::SocketAddrV4, time::Duration};

use crate::{Entry, Origin};

/// A document.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct Draft {
    /// Version that operators gave to the document.
    pub version: Option<Entry<u64>>,
    /// The routes.
    pub routes: Option<Vec<Route>>,
    /// The services.
    pub services: Option<Vec<Service>>,
    /// Flows that were idle for longer may be removed.
    pub idle_timeout: Option<Entry<Duration>>,
}

/// A route.
#[derive(Debug, Clone, PartialEq)]
pub struct Route {
    /// Where the route was read from.
    pub origin: Origin,
    /// Name, if the document gives one.
    pub name: Option<Entry<String>>,
    /// Address and port that clients connect to.
    pub address: Option<Entry<SocketAddrV4>>,
    /// Time limit of its requests; `None` if there is none.
    pub time_limit: Option<Entry<Duration>>,
    /// Latency objective of its requests; `None` if there is none.
    pub objective: Option<Entry<Duration>>,
    /// Services that its flows go to.
    pub backends: Option<Vec<Backend>>,
}

/// A service behind a route.
#[derive(Debug, Clone, PartialEq)]
pub struct Backend {
    /// Name of the service.
    pub service: Option<Entry<String>>,
    /// Its share of the flows, relative to the other backends of the route.
    pub weight: Option<Entry<u32>>,
}

/// A service.
#[derive(Debug, Clone, PartialEq)]
pub struct Service {
    /// Name.
    pub name: Option<Entry<String>>,
}
