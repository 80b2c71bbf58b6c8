//! Classes of the requests of a service, by the priorities of its routes.

use std::collections::BTreeSet;

use crate::flow::{Intent, Priority, ServiceName, intent::Route};

/// The services whose routes have two or more distinct priorities. Only their requests are told
/// apart by class; all decisions about other services ignore priorities.
#[derive(Debug, Default)]
pub struct Classes {
    services: BTreeSet<ServiceName>,
}

impl Classes {
    /// The classes of an intent. Worked out once for each intent, since it reads all routes.
    pub fn new(intent: &Intent) -> Self {
        let policy = &intent.policy;
        let backends = policy.routes.values().flat_map(|route| &route.backends);
        let mut services: BTreeSet<_> = backends.map(|backend| backend.service.clone()).collect();
        services.retain(|service| policy.priorities(service).len() > 1);
        Self { services }
    }

    /// Whether requests of a service are told apart by class.
    pub fn has(&self, service: &str) -> bool {
        self.services.contains(service)
    }

    /// Class of the requests of a route at a service, 0 if the service has no classes.
    pub fn class_of(&self, service: &str, route: Option<&Route>) -> Priority {
        match route {
            Some(route) if self.has(service) => route.priority,
            _ => 0,
        }
    }
}
