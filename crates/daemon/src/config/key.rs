//! Keys of the configuration in the platform's store.

use std::net::SocketAddr;

use sassafrasmast_wire::ConfigVersion;

/// Key of the current document.
pub(super) const CURRENT: &str = "sassafrasmast/config/current";

/// Prefix of the keys of the records. There is one record for each of the last versions.
pub(super) const CHANGES: &str = "sassafrasmast/config/change/";

/// Prefix of the keys of live balancers' registrations.
pub(super) const BALANCERS: &str = "sassafrasmast/balancers/";

/// Key of the record of `version`. Keys sort in the order of versions.
pub(super) fn record(version: ConfigVersion) -> String {
    format!("{CHANGES}{version:020}")
}

/// Key of the registration of the balancer that listens on `listen`.
pub(super) fn balancer(listen: SocketAddr) -> String {
    format!("{BALANCERS}{listen}")
}
