//! What a balancer knows of an agent that may own a flow.

/// What a balancer knows of an agent that may own a flow.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum Reachability {
    /// It answers, or has not been silent for long.
    Reachable,
    /// It is silent, and may be restarted as planned: its upstream then holds its flows.
    Silent,
    /// It has failed, so that flows with idempotent requests are better opened anew.
    Failed,
}
