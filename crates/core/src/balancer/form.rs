//! The three kinds of QUIC packet a balancer tells apart.

/// Kind of a packet by its version-independent header.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Form {
    /// Long header, may open a flow.
    Initial,
    /// Long header, cannot open a flow.
    Long,
    /// Short header.
    Short,
}
