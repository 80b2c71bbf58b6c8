//! Configuration with a faulty store: propagation of changes, outages, lost replies, start during
//! an outage, and a store that lost versions.

#[path = "config/api.rs"]
mod api;
#[path = "config/fake.rs"]
mod fake;
#[path = "config/node.rs"]
mod node;
#[path = "config/outage.rs"]
mod outage;
#[path = "config/peer.rs"]
mod peer;
#[path = "config/propagation.rs"]
mod propagation;
