//! Answers that need data from other processes.

use std::{net::SocketAddr, sync::Arc};

use sassafrasmast_core::timeline::Event;
use sassafrasmast_wire::ConfigVersion;
use tokio::{sync::Semaphore, task::JoinSet};

use super::{Behind, Context, Error, Events, Numbered, Progress, status::processes};
use crate::peer::{self, Call, Reply};

/// Most processes queried at the same time.
const MAX_CONCURRENT_QUERIES: usize = 64;

/// Most events in one answer about this process; another process limits its own.
const MAX_EVENTS_PER_ANSWER: usize = 4_096;

/// Events with a number above `after` of the process at `address`; of this one if it is `None`.
pub(super) async fn events(
    context: &Context,
    address: Option<SocketAddr>,
    after: u64,
) -> Result<Events, Error> {
    match address.filter(|&address| address != context.listen) {
        Some(address) => remote_events(context, address, after).await,
        None => {
            let own = context
                .blackboard()
                .events(after)
                .into_iter()
                .take(MAX_EVENTS_PER_ANSWER);
            let events = own.map(|(number, event)| Numbered { number, event });
            Ok(Events {
                events: events.collect(),
            })
        }
    }
}

/// Queries another process for its events.
async fn remote_events(
    context: &Context,
    address: SocketAddr,
    after: u64,
) -> Result<Events, Error> {
    if processes(context)
        .iter()
        .all(|known| known.address != address)
    {
        return Err(Error::UnknownProcess { address });
    }
    let unreachable = |reason: String| Error::Unreachable { address, reason };
    let call = Call::Events { after };
    let texts = match peer::call(context.listen.ip(), address, &call).await {
        Ok(Reply::Events(texts)) => texts,
        Ok(other) => return Err(unreachable(format!("unexpected reply {other:?}"))),
        Err(error) => return Err(unreachable(error.to_string())),
    };
    let parse = |(number, text): (u64, String)| -> Result<Numbered, Error> {
        let event: Event =
            serde_json::from_str(&text).map_err(|error| unreachable(error.to_string()))?;
        Ok(Numbered { number, event })
    };
    let events = texts.into_iter().map(parse).collect::<Result<_, _>>()?;
    Ok(Events { events })
}

/// Queries all known processes for their version and lists those behind `version`.
pub(super) async fn progress(context: &Context, version: ConfigVersion) -> Progress {
    let permits = Arc::new(Semaphore::new(MAX_CONCURRENT_QUERIES));
    let from = context.listen.ip();
    let mut tasks = JoinSet::new();
    for process in processes(context) {
        if process.address == context.listen {
            let own = context.blackboard().version();
            tasks.spawn(async move { (process, Some(own)) });
            continue;
        }
        let permits = permits.clone();
        tasks.spawn(async move {
            let _permit = permits.acquire().await;
            let reply = peer::call(from, process.address, &Call::Version).await;
            let version = match reply {
                Ok(Reply::Version(version)) => Some(version),
                _ => None,
            };
            (process, version)
        });
    }
    let mut progress = Progress {
        asked: tasks.len(),
        behind: Vec::new(),
        silent: Vec::new(),
    };
    while let Some(Ok((process, found))) = tasks.join_next().await {
        match found {
            Some(found) if found < version => progress.behind.push(Behind {
                process,
                version: found,
            }),
            Some(_) => {}
            None => progress.silent.push(process),
        }
    }
    progress
}
