//! A service behind a route.

use serde::{Deserialize, Serialize};

use crate::flow::ServiceName;

/// A service behind a route and its share of the new flows.
#[derive(Debug, Clone, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Backend {
    /// The service.
    pub service: ServiceName,
    /// Its share, relative to the other backends of the route.
    pub weight: u32,
}
