//! Test-only stand-ins for the systems around the load balancer: store, upstream, fabric, caller.
//!
//! - [`store`]: the platform's key-value store, an in-memory etcd v3 HTTP/JSON gateway.
//! - [`upstream`]: an HTTP/1.1 server with slots, cold starts and collapses.
//! - [`fabric`]: forwards each datagram of a caller to a random balancer (packet spraying).
//! - [`caller`]: an HTTP/3 client that follows the ticket protocol and checks the answers.
//! - [`deployment`]: starts the stand-ins and the daemons as child processes.
//! - [`certificate`]: a self-signed development certificate.
//! - [`http`]: the HTTP/1.1 server and client that the stand-ins share.
//! - [`measure`]: end-to-end measurements.
//! - [`process`]: child processes.
//! - [`quickstart`]: a scripted demonstration on a small deployment.
//! - [`workload`]: feeds and bookings that the end-to-end tests share.

pub mod caller;
pub mod certificate;
pub mod deployment;
pub mod fabric;
pub mod http;
pub mod measure;
pub mod process;
pub mod quickstart;
pub mod store;
pub mod upstream;
pub mod workload;
