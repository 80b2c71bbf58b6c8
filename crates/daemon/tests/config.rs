//! Configuration over a faulty store: spread, outages, lost replies, boot, no way back.

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
#[path = "config/spread.rs"]
mod spread;
