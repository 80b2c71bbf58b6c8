//! Structured log lines on standard output.
//!
//! A line is one JSON object. Lines go through a bounded queue to a thread that writes them, so
//! no decision waits for a reader. Each kind has a budget; what was left out is counted on the
//! next line of its kind.

use std::{
    collections::HashMap,
    io::Write,
    sync::mpsc::{Receiver, SyncSender, TrySendError, sync_channel},
    time::{Instant, SystemTime, UNIX_EPOCH},
};

use sassafrasmast_core::balancer::Bucket;
use serde_json::{Map, Value};

/// Lines that wait for the writer.
const QUEUE_LINES: usize = 512;

/// Lines of one kind a second: the new flows of a busy entry VM.
const LINES_PER_SECOND: u32 = 100;

/// Lines of one kind at once.
const BURST_LINES: u32 = 200;

/// Writes structured log lines.
#[derive(Debug)]
pub struct Log {
    name: String,
    lines: SyncSender<String>,
    kinds: HashMap<&'static str, Kind>,
}

/// Budget of one kind of line.
#[derive(Debug)]
struct Kind {
    bucket: Bucket,
    suppressed: u64,
}

impl Log {
    /// A log of the process `name`. Starts the thread that writes.
    ///
    /// # Errors
    ///
    /// When the thread cannot be started.
    pub fn start(name: &str) -> anyhow::Result<Self> {
        let (lines, queue) = sync_channel(QUEUE_LINES);
        std::thread::Builder::new()
            .name("log".to_owned())
            .spawn(move || write(&queue))?;
        Ok(Self {
            name: name.to_owned(),
            lines,
            kinds: HashMap::new(),
        })
    }

    /// Writes a line of `kind`, unless the kind's budget is spent. `fields` are made only for a
    /// line that is written.
    pub fn line<F>(&mut self, now: Instant, kind: &'static str, fields: impl FnOnce() -> F)
    where
        F: IntoIterator<Item = (&'static str, Value)>,
    {
        let state = self.kinds.entry(kind).or_insert_with(|| Kind {
            bucket: Bucket::new(now, LINES_PER_SECOND, BURST_LINES),
            suppressed: 0,
        });
        if !state.bucket.take(now, 1) {
            state.suppressed += 1;
            return;
        }
        let mut line = Map::new();
        line.insert("at_ms".to_owned(), unix_time_ms().into());
        line.insert("vm".to_owned(), self.name.as_str().into());
        line.insert("event".to_owned(), kind.into());
        if state.suppressed > 0 {
            line.insert("left_out".to_owned(), state.suppressed.into());
        }
        for (key, value) in fields() {
            line.insert(key.to_owned(), value);
        }
        match self.lines.try_send(Value::Object(line).to_string()) {
            Ok(()) => state.suppressed = 0,
            Err(TrySendError::Full(_) | TrySendError::Disconnected(_)) => state.suppressed += 1,
        }
    }
}

/// Writes lines until the process ends; those that wait go out together.
fn write(queue: &Receiver<String>) {
    let mut batch = String::new();
    while let Ok(line) = queue.recv() {
        batch.clear();
        batch.push_str(&line);
        batch.push('\n');
        while let Ok(line) = queue.try_recv() {
            batch.push_str(&line);
            batch.push('\n');
        }
        // Nobody reads the output; there is no other place to tell it.
        let _ = std::io::stdout().lock().write_all(batch.as_bytes());
    }
}

/// The time of day in milliseconds, 0 if it is before 1970.
pub(crate) fn unix_time_ms() -> u64 {
    SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .map_or(0, |since| {
            u64::try_from(since.as_millis()).unwrap_or(u64::MAX)
        })
}
