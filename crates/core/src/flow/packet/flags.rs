//! Flags of a packet.

/// Flags of a packet.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Flags {
    /// The packet opens a flow, or accepts one if `ack` is set too.
    pub syn: bool,
    /// The acknowledgement number is valid.
    pub ack: bool,
    /// The sender has closed its direction of the flow.
    pub fin: bool,
    /// The flow is aborted.
    pub rst: bool,
    /// The upstream bounced the packet: it does not accept the flow or does not hold it.
    pub bounced: bool,
}
