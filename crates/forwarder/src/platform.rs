//! Interface to the platform that the processes run on.

use std::sync::Arc;

use sassafrasmast_core::flow::{Head, Key, ZoneName, agent::Announcement, intent::Policy};
use sassafrasmast_store::Store;
use sassafrasmast_wire::Incarnation;

use crate::settings::Settings;

/// Change that an operator's document requests.
#[derive(Debug, Clone, PartialEq)]
pub enum OperatorChange {
    /// Puts these routes, services and limits in force.
    Policy {
        /// What can be read.
        policy: Policy,
        /// Why routes or services cannot be read.
        refused: Vec<String>,
    },
    /// Sends no new flows to the zone.
    ZoneOut(ZoneName),
    /// Sends new flows to the zone again.
    ZoneIn(ZoneName),
}

/// Meaning of an HTTP request to an agent or balancer.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Call {
    /// Asks whether the process takes traffic.
    Ready,
    /// An announcement of the upstream.
    Announce(Announcement),
    /// The upstream with this id deregisters, and will not come back. The call may state its incarnation.
    Deregister(String, Option<Incarnation>),
    /// The request cannot be parsed, for this reason.
    Invalid(String),
    /// The path or method is unknown.
    Unknown,
}

/// Translates between the platform's formats and the types of this crate. Makes no decisions.
pub trait Platform: Send + Sync + 'static {
    /// The platform's key-value store.
    fn store(&self) -> Arc<dyn Store>;

    /// Reads the current settings of the process.
    ///
    /// # Errors
    ///
    /// When they cannot be read or are invalid.
    fn settings(&self) -> anyhow::Result<Settings>;

    /// Prefix of the keys of operators' documents in the store.
    fn operator_prefix(&self) -> &str;

    /// The change that an operator's document requests. `value` is `None` if the document was
    /// removed. Returns `None` for keys that hold no such document.
    ///
    /// # Errors
    ///
    /// When the document cannot be parsed.
    fn operator_change(
        &self,
        key: &str,
        value: Option<&[u8]>,
    ) -> anyhow::Result<Option<OperatorChange>>;

    /// Decodes the head of a packet; `None` if the bytes are not a packet.
    fn decode(&self, packet: &[u8]) -> Option<Head>;

    /// Removes the marks of a bounced packet. An upstream bounces a packet of a flow that it does
    /// not have, or a SYN that it rejects: it sends the packet back marked.
    fn clear_bounce_marks(&self, packet: &mut [u8]);

    /// Encodes a packet that resets a flow, addressed to its client.
    fn reset(&self, flow: &Key, sequence: u32) -> Vec<u8>;

    /// Interprets an HTTP request.
    fn call(&self, method: &http::Method, path: &str, body: &[u8]) -> Call;
}
