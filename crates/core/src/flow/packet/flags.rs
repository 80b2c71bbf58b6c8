//! Flags of a packet.

/// Flags of a packet.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Flags {
    /// Opens a flow.
    pub syn: bool,
    /// Acknowledges.
    pub ack: bool,
    /// Ends one direction.
    pub fin: bool,
    /// Ends the flow at once.
    pub rst: bool,
    /// The upstream gave the packet back: it did not accept the flow or does not hold it.
    pub bounced: bool,
}
