//! Test-only stand-ins for what surrounds the product: store, upstream, fabric, caller.
//!
//! - [`store`]: the platform's key-value store, as an etcd v3 HTTP/JSON gateway in memory.
//! - [`upstream`]: an HTTP/1.1 server with slots, cold starts and collapses.
//! - [`fabric`]: sprays each datagram of a caller to a random balancer.
//! - [`caller`]: an HTTP/3 client that follows the ticket protocol and checks what it gets.
//! - [`deployment`]: starts all of it with the daemons, as child processes.
//! - [`certificate`]: a development certificate.
//! - [`measure`]: measurements of the whole path.
//! - [`process`]: child processes.
//! - [`quickstart`]: a tour of the product.
//! - [`scenario`]: steps that tests of the whole path share.

pub mod caller;
pub mod certificate;
pub mod deployment;
pub mod fabric;
pub mod http;
pub mod measure;
pub mod process;
pub mod quickstart;
pub mod scenario;
pub mod store;
pub mod upstream;
