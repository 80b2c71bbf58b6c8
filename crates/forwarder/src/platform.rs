//! The platform as this crate meets it.

use std::sync::Arc;

use sassafrasmast_core::flow::{Head, Key, ZoneName, agent::Announcement, intent::Policy};
use sassafrasmast_store::Store;

use crate::settings::Settings;

/// What an operator's document asks for.
#[derive(Debug, Clone, PartialEq)]
pub enum OperatorChange {
    /// These routes, services and limits are in force.
    Policy(Policy),
    /// The zone gets no new flows.
    ZoneOut(ZoneName),
    /// The zone is in use again.
    ZoneIn(ZoneName),
}

/// What an HTTP request to an agent or balancer means.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Call {
    /// Whether the process takes traffic.
    Ready,
    /// An announcement of the upstream.
    Announce(Announcement),
    /// The upstream with this id leaves for good.
    Deregister(String),
    /// The request is not understood, and why.
    Invalid(String),
    /// No such call.
    Unknown,
}

/// Translates between the platform and the product. Decides nothing.
pub trait Platform: Send + Sync + 'static {
    /// The platform's key-value store.
    fn store(&self) -> Arc<dyn Store>;

    /// The process' settings as they stand now.
    ///
    /// # Errors
    ///
    /// When they cannot be read or are wrong.
    fn settings(&self) -> anyhow::Result<Settings>;

    /// Prefix of the operators' documents in the store.
    fn operator_prefix(&self) -> &str;

    /// What an operator's document asks for: `value` is `None` once it was removed. `None` for
    /// keys that hold no such document.
    ///
    /// # Errors
    ///
    /// When the document cannot be read.
    fn operator_change(
        &self,
        key: &str,
        value: Option<&[u8]>,
    ) -> anyhow::Result<Option<OperatorChange>>;

    /// The head of a packet, `None` if the bytes are no packet.
    fn decode(&self, packet: &[u8]) -> Option<Head>;

    /// Takes out of a packet what an upstream marked when it gave it back.
    fn restore(&self, packet: &mut [u8]);

    /// A reset of a flow towards its client.
    fn reset(&self, flow: &Key, sequence: u32) -> Vec<u8>;

    /// What an HTTP request means.
    fn call(&self, method: &http::Method, path: &str, body: &[u8]) -> Call;
}
