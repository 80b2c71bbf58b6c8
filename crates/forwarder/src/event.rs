//! Events that the event loop of a process handles: what the store's watcher and pulls from peers
//! bring.

use std::{net::SocketAddrV4, sync::Arc, time::Instant};

use sassafrasmast_core::flow::{Intent, Member};
use sassafrasmast_store::Position;
use serde_json::{Value, json};

use crate::{
    membership::Source,
    peer::Snapshot,
    position::{position_field, revision_field},
};

/// Event for the event loop of a process.
#[derive(Debug)]
pub enum Event {
    /// The operators' intent has changed.
    Intent(Arc<Intent>),
    /// The complete list of agents.
    Members(Vec<Member>),
    /// The agents that the events so far name are all that were listed at this time.
    MembersConfirmed(Instant),
    /// An agent's entry was written.
    Listed(Box<Member>),
    /// An agent's entry was removed.
    Unlisted(SocketAddrV4),
    /// The watch was silent and is checked by a listing.
    WatchChecked {
        /// Position up to which all changes are known.
        known: Position,
        /// Why the silence may not be a sign that nothing changes.
        reason: &'static str,
    },
    /// The list of agents now comes from this source.
    AgentSource(Source),
    /// The store has become reachable.
    StoreReachable,
    /// The store has come back from an older copy.
    StoreRestored {
        /// Position before.
        from: Position,
        /// Position of the first listing since.
        to: Position,
    },
    /// The store has become unreachable, with the error.
    StoreUnreachable(String),
    /// A pull from this peer returned a snapshot.
    Snapshot(SocketAddrV4, Box<Snapshot>),
    /// A pull from this peer failed, with the error.
    PullFailed(SocketAddrV4, String),
    /// The value of a key (operator's document or agent's entry) cannot be decoded and was ignored;
    /// holds the key and the error.
    ValueRejected(String),
}

impl Event {
    /// The `event` field of the log line.
    pub fn kind(&self) -> &'static str {
        match self {
            Self::Intent(_) => "intent_read",
            Self::Members(_) => "members_read",
            Self::MembersConfirmed(_) => "members_confirmed",
            Self::Listed(_) => "member_listed",
            Self::Unlisted(_) => "member_unlisted",
            Self::WatchChecked { .. } => "watch_checked",
            Self::AgentSource(_) => "members_source",
            Self::StoreReachable => "store_regained",
            Self::StoreRestored { .. } => "store_restored",
            Self::StoreUnreachable(_) => "store_lost",
            Self::Snapshot(..) => "peer_told",
            Self::PullFailed(..) => "peer_failed",
            Self::ValueRejected(_) => "document_refused",
        }
    }

    /// The other fields of the log line.
    pub fn fields(&self) -> Vec<(&'static str, Value)> {
        match self {
            Self::Intent(intent) => vec![
                ("revision", revision_field(intent.revision)),
                ("version", intent.policy.version.into()),
                ("routes", intent.policy.routes.len().into()),
                ("zones_out", json!(intent.zones_out)),
            ],
            Self::Members(members) => vec![("count", members.len().into())],
            Self::Listed(member) => vec![
                ("agent", member.address.to_string().into()),
                ("service", (&*member.service).into()),
                ("upstream_state", member.report.state.as_str().into()),
            ],
            Self::Unlisted(address) => vec![("agent", address.to_string().into())],
            Self::Snapshot(from, snapshot) => vec![
                ("peer", from.to_string().into()),
                ("revision", revision_field(snapshot.revision)),
                ("differs", snapshot.intent.is_some().into()),
                ("members", snapshot.members.len().into()),
            ],
            Self::PullFailed(from, reason) => vec![
                ("peer", from.to_string().into()),
                ("reason", reason.as_str().into()),
            ],
            Self::WatchChecked { known, reason } => vec![
                ("known", position_field(*known)),
                ("reason", (*reason).into()),
            ],
            Self::AgentSource(source) => vec![("source", source.as_str().into())],
            Self::MembersConfirmed(_) | Self::StoreReachable => Vec::new(),
            Self::StoreRestored { from, to } => {
                vec![("from", position_field(*from)), ("to", position_field(*to))]
            }
            Self::StoreUnreachable(reason) | Self::ValueRejected(reason) => {
                vec![("reason", reason.as_str().into())]
            }
        }
    }
}
