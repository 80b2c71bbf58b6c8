//! What processes tell each other while the store does not answer one of them.
//!
//! A process asks with its revision and gets a [`Snapshot`]: the intent if it is newer, and the
//! agents that the other process knows. Both go over TCP at the address of the frames.

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

use crate::{follow::Event, registration::Record, tcp};

/// Longest time for one exchange: a configuration over a link of 10 Mbit/s that carries traffic besides.
const EXCHANGE_TIMEOUT: Duration = Duration::from_secs(2);

/// Largest snapshot in bytes.
const MAX_BYTES: usize = 8 * 1024 * 1024;

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

/// What one process tells another.
#[derive(Debug, Clone, Default, Serialize, Deserialize)]
pub struct Snapshot {
    /// The intent, if it is newer than what the other has.
    pub intent: Option<Arc<Intent>>,
    /// The agents that the process knows; none if it is an agent.
    pub members: Vec<Listing>,
}

/// Answers other processes at `address` with the latest snapshot.
///
/// # Errors
///
/// When the address cannot be bound.
pub async fn serve(
    address: SocketAddrV4,
    snapshots: watch::Receiver<Arc<Snapshot>>,
) -> anyhow::Result<()> {
    let listener = tcp::bind("peer", address).await?;
    tokio::spawn(async move {
        loop {
            let stream = tcp::accept(&listener).await;
            let snapshot = Arc::clone(&snapshots.borrow());
            tokio::spawn(async move {
                let answered = timeout(EXCHANGE_TIMEOUT, answer(stream, &snapshot)).await;
                if !matches!(answered, Ok(Ok(()))) {
                    metrics::counter!("sassafrasmast_peer_errors", "side" => "server").increment(1);
                }
            });
        }
    });
    Ok(())
}

/// Answers one process.
async fn answer(mut stream: TcpStream, snapshot: &Snapshot) -> anyhow::Result<()> {
    let theirs = stream.read_u64().await?;
    let is_newer = |intent: &&Arc<Intent>| intent.revision > theirs;
    let reply = Snapshot {
        intent: snapshot.intent.as_ref().filter(is_newer).cloned(),
        members: snapshot.members.clone(),
    };
    let bytes = postcard::to_stdvec(&reply)?;
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
pub async fn fetch(address: SocketAddrV4, revision: Revision) -> anyhow::Result<Snapshot> {
    let exchange = async {
        let mut stream = TcpStream::connect(address).await?;
        stream.write_u64(revision).await?;
        let size = usize::try_from(stream.read_u32().await?)?;
        if size > MAX_BYTES {
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
    /// The revision in force here.
    pub revision: Revision,
}

/// Carries out pulls, one at a time. A pull that comes while one runs is dropped.
pub fn puller(events: mpsc::Sender<Event>) -> mpsc::Sender<Pull> {
    let (sender, mut pulls) = mpsc::channel::<Pull>(1);
    tokio::spawn(async move {
        while let Some(pull) = pulls.recv().await {
            let event = match fetch(pull.from, pull.revision).await {
                Ok(snapshot) => Event::Peer(pull.from, Box::new(snapshot)),
                Err(error) => Event::PeerFailed(pull.from, format!("{error:#}")),
            };
            if events.send(event).await.is_err() {
                return;
            }
        }
    });
    sender
}
