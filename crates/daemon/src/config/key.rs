//! Keys of the configuration in the platform's store.

use std::net::SocketAddr;

use sassafrasmast_wire::ConfigVersion;

/// The whole document.
pub(super) const CURRENT: &str = "sassafrasmast/config/current";

/// Prefix of the records, one for each of the last versions.
pub(super) const CHANGES: &str = "sassafrasmast/config/change/";

/// Prefix of the registrations of live balancers.
pub(super) const BALANCERS: &str = "sassafrasmast/balancers/";

/// Key of the record of `version`; keys sort as versions do.
pub(super) fn change(version: ConfigVersion) -> String {
    format!("{CHANGES}{version:020}")
}

/// Key of the registration of the balancer that listens on `listen`.
pub(super) fn balancer(listen: SocketAddr) -> String {
    format!("{BALANCERS}{listen}")
}
