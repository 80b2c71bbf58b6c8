//! What processes tell each other while the store does not answer one of them.
//!
//! A process asks with its revision and the digest of its intent and gets a [`Snapshot`]: the
//! intent if it is newer and differs, and the agents that the other process knows. Both go over
//! TCP at the address of the frames.

mod view;

use std::{net::SocketAddrV4, sync::Arc, time::Duration};

use anyhow::{Context, bail};
use sassafrasmast_core::flow::{Intent, Member, Revision};
use serde::{Deserialize, Serialize};
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::TcpStream,
    sync::{mpsc, watch},
    time::timeout,
};

pub use self::view::View;
use crate::{registration::Record, tcp, watcher::Event};

/// Longest time for one exchange: a configuration over a link of 10 Mbit/s that carries traffic besides.
const EXCHANGE_TIMEOUT: Duration = Duration::from_secs(2);

/// Largest snapshot in bytes.
const MAX_SNAPSHOT_BYTES: usize = 8 * 1024 * 1024;

/// An agent that a process knows.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct Listing {
    /// Where the agent takes frames.
    pub address: SocketAddrV4,
    /// What it says of itself.
    pub record: Record,
}

impl Listing {
    /// What a balancer tells of a member.
    pub fn of(member: &Member) -> Self {
        Self {
            address: member.address,
            record: Record::of(member),
        }
    }
}

/// What one process asks another.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Request {
    /// Revision of the intent in force at the one that asks.
    pub revision: Revision,
    /// Digest of that intent.
    pub digest: u64,
    /// Whether it asks for agents as well.
    pub wants_members: bool,
}

impl Request {
    async fn write(&self, stream: &mut TcpStream) -> std::io::Result<()> {
        stream.write_u64(self.revision).await?;
        stream.write_u64(self.digest).await?;
        stream.write_u8(u8::from(self.wants_members)).await
    }

    async fn read(stream: &mut TcpStream) -> std::io::Result<Self> {
        Ok(Self {
            revision: stream.read_u64().await?,
            digest: stream.read_u64().await?,
            wants_members: stream.read_u8().await? != 0,
        })
    }
}

/// What one process tells another.
#[derive(Debug, Clone, Default, Serialize, Deserialize)]
pub struct Snapshot {
    /// Revision of its intent, 0 without one.
    pub revision: Revision,
    /// Digest of its intent.
    pub digest: u64,
    /// The intent, if it is newer than the other's and differs.
    pub intent: Option<Arc<Intent>>,
    /// The agents that the process knows, if it was asked for them; none if it is an agent.
    pub members: Vec<Listing>,
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

/// Answers one process.
async fn respond(mut stream: TcpStream, view: &View) -> anyhow::Result<()> {
    let request = Request::read(&mut stream).await?;
    let snapshot = view.snapshot_for(&request);
    let bytes = postcard::to_stdvec(&snapshot)?;
    stream.write_u32(u32::try_from(bytes.len())?).await?;
    stream.write_all(&bytes).await?;
    stream.shutdown().await?;
    Ok(())
}

/// Asks another process.
///
/// # Errors
///
/// When it does not answer in time or the answer cannot be read.
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

/// A request to ask another process.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Pull {
    /// The other process.
    pub from: SocketAddrV4,
    /// What it is asked.
    pub request: Request,
}

/// Carries out pulls, one at a time. A pull that comes while one runs is dropped.
pub fn start_puller(events: mpsc::Sender<Event>) -> mpsc::Sender<Pull> {
    let (sender, mut pulls) = mpsc::channel::<Pull>(1);
    tokio::spawn(async move {
        while let Some(pull) = pulls.recv().await {
            let event = match fetch(pull.from, pull.request).await {
                Ok(snapshot) => Event::Snapshot(pull.from, Box::new(snapshot)),
                Err(error) => Event::PullFailed(pull.from, format!("{error:#}")),
            };
            if events.send(event).await.is_err() {
                return;
            }
        }
    });
    sender
}
