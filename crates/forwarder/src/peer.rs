//! Pull of intent and members from a peer process, for a process that cannot reach the store or
//! whose watch lags behind a peer.
//!
//! The [`Request`] holds revision, version and digest of the requester's intent. The peer responds
//! with a [`Snapshot`]: its intent if that is later or has a higher version, and the agents that it
//! knows. The
//! exchange uses TCP on the address and port that take frames over UDP.

mod view;

use std::{net::SocketAddrV4, sync::Arc, time::Duration};

use anyhow::{Context, bail};
use sassafrasmast_core::flow::{Intent, Member, Revision, ServiceName, ZoneName};
use serde::{Deserialize, Serialize};
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::TcpStream,
    sync::watch,
    time::timeout,
};

pub use self::view::View;
use crate::{registration::Record, tcp};

/// Time limit for one exchange: enough for a configuration over a link of 10 Mbit/s that also
/// carries traffic.
const EXCHANGE_TIMEOUT: Duration = Duration::from_secs(2);

/// Largest snapshot accepted.
const MAX_SNAPSHOT_BYTES: usize = 8 * 1024 * 1024;

/// Format of requests and snapshots, which changes with the types in a [`Snapshot`]. A process
/// answers only requests of its own format, so that during an upgrade no intent is decoded wrongly;
/// the store and peers of the same build remain. The requests of builds before it begin with 0.
const FORMAT: u32 = 2;

/// An agent in a [`Snapshot`].
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct KnownAgent {
    /// Where the agent takes frames.
    pub address: SocketAddrV4,
    service: ServiceName,
    zone: ZoneName,
    incarnation: u64,
    draining: bool,
}

impl KnownAgent {
    /// The agent of a member.
    pub fn of(member: &Member) -> Self {
        let record = Record::of(member);
        Self {
            address: member.address,
            service: record.service,
            zone: record.zone,
            incarnation: record.incarnation,
            draining: record.draining,
        }
    }

    /// The member, before its first frame. A peer does not tell whether it is being restarted.
    pub fn member(&self) -> Member {
        let record = Record {
            service: self.service.clone(),
            zone: self.zone.clone(),
            incarnation: self.incarnation,
            draining: self.draining,
            restarting: None,
        };
        record.member(self.address)
    }
}

/// Request for a [`Snapshot`].
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Request {
    /// Revision of the intent in force at the requester.
    pub revision: Revision,
    /// Version of that intent's policy.
    pub version: u64,
    /// Digest of that intent.
    pub digest: u64,
    /// Whether the requester wants the list of agents as well.
    pub wants_members: bool,
}

impl Request {
    async fn write(&self, stream: &mut TcpStream) -> std::io::Result<()> {
        stream.write_u32(FORMAT).await?;
        stream.write_u64(self.revision).await?;
        stream.write_u64(self.version).await?;
        stream.write_u64(self.digest).await?;
        stream.write_u8(u8::from(self.wants_members)).await
    }

    async fn read(stream: &mut TcpStream) -> anyhow::Result<Self> {
        let format = stream.read_u32().await?;
        if format != FORMAT {
            bail!("the request has format {format}, this build has {FORMAT}");
        }
        Ok(Self {
            revision: stream.read_u64().await?,
            version: stream.read_u64().await?,
            digest: stream.read_u64().await?,
            wants_members: stream.read_u8().await? != 0,
        })
    }
}

/// Response to a [`Request`].
#[derive(Debug, Clone, Default, Serialize, Deserialize)]
pub struct Snapshot {
    /// Revision of the peer's intent, 0 if it has none.
    pub revision: Revision,
    /// Digest of the peer's intent, 0 if it has none.
    pub digest: u64,
    /// The peer's intent if it differs from the requester's, and its revision is later or its
    /// version higher.
    pub intent: Option<Arc<Intent>>,
    /// The agents that the peer knows, if requested. Empty if the peer is an agent.
    pub members: Vec<KnownAgent>,
}

/// Answers other processes at `address` with the latest snapshot.
///
/// # Errors
///
/// When the address cannot be bound.
pub async fn serve(address: SocketAddrV4, view: watch::Receiver<Arc<View>>) -> anyhow::Result<()> {
    let listener = tcp::bind("peer", address).await?;
    tokio::spawn(async move {
        loop {
            let stream = tcp::accept(&listener).await;
            let view = Arc::clone(&view.borrow());
            tokio::spawn(async move {
                let result = timeout(EXCHANGE_TIMEOUT, respond(stream, &view)).await;
                if !matches!(result, Ok(Ok(()))) {
                    metrics::counter!("sassafrasmast_peer_errors", "side" => "server").increment(1);
                }
            });
        }
    });
    Ok(())
}

/// Responds to one request.
async fn respond(mut stream: TcpStream, view: &View) -> anyhow::Result<()> {
    let request = Request::read(&mut stream).await?;
    let snapshot = view.snapshot_for(&request);
    let bytes = postcard::to_stdvec(&snapshot)?;
    stream.write_u32(u32::try_from(bytes.len())?).await?;
    stream.write_all(&bytes).await?;
    stream.shutdown().await?;
    Ok(())
}

/// Requests a snapshot from a peer.
///
/// # Errors
///
/// When the peer does not respond in time or its response cannot be decoded.
pub async fn fetch(address: SocketAddrV4, request: Request) -> anyhow::Result<Snapshot> {
    let exchange = async {
        let mut stream = TcpStream::connect(address).await?;
        request.write(&mut stream).await?;
        let size = usize::try_from(stream.read_u32().await?)?;
        if size > MAX_SNAPSHOT_BYTES {
            bail!("a snapshot of {size} bytes is too large");
        }
        let mut bytes = vec![0; size];
        stream.read_exact(&mut bytes).await?;
        Ok(postcard::from_bytes(&bytes)?)
    };
    timeout(EXCHANGE_TIMEOUT, exchange)
        .await
        .context("no answer in time")?
}
