//! Structured log lines on standard output.
//!
//! A line is one JSON object. A separate thread writes the lines, which it gets through a bounded
//! queue, so that a slow reader of the output never blocks the event loop. Each kind of line has
//! a rate limit; the next line of a kind says how many were left out.

use std::{
    collections::HashMap,
    io::Write,
    sync::mpsc::{Receiver, SyncSender, TrySendError, sync_channel},
    time::{Instant, SystemTime, UNIX_EPOCH},
};

use sassafrasmast_core::balancer::Bucket;
use serde_json::{Map, Value};

/// Capacity of the queue to the writer thread.
const QUEUE_LINES: usize = 512;

/// Rate limit for one kind of line: the rate of new flows on a busy entry VM.
const LINES_PER_SECOND: u32 = 100;

/// Burst limit for one kind of line.
const BURST_LINES: u32 = 200;

/// Longest text in a field. Errors quote what could not be read, which may be a megabyte.
const MAX_TEXT_CHARS: usize = 400;

/// Formats, limits and queues structured log lines.
#[derive(Debug)]
pub struct Log {
    name: String,
    lines: SyncSender<String>,
    kinds: HashMap<&'static str, KindLimit>,
}

/// Rate limit of one kind of line.
#[derive(Debug)]
struct KindLimit {
    bucket: Bucket,
    /// Lines left out since the last one that was queued.
    suppressed: u64,
}

impl Log {
    /// Creates the log of the VM `name` and starts the writer thread.
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

    /// Queues a line of `kind` unless the kind's rate limit is reached. `fields` is called only
    /// for a line within the limit.
    pub fn line<F>(&mut self, now: Instant, kind: &'static str, fields: impl FnOnce() -> F)
    where
        F: IntoIterator<Item = (&'static str, Value)>,
    {
        let state = self.kinds.entry(kind).or_insert_with(|| KindLimit {
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
            line.insert(key.to_owned(), shortened(value));
        }
        match self.lines.try_send(Value::Object(line).to_string()) {
            Ok(()) => state.suppressed = 0,
            Err(TrySendError::Full(_) | TrySendError::Disconnected(_)) => state.suppressed += 1,
        }
    }
}

/// The value, with a long text cut off.
fn shortened(value: Value) -> Value {
    match value {
        Value::String(text) if text.len() > MAX_TEXT_CHARS => {
            let start: String = text.chars().take(MAX_TEXT_CHARS).collect();
            format!("{start} ({} bytes)", text.len()).into()
        }
        value => value,
    }
}

/// Writes queued lines to standard output, all waiting ones in one write, until the log is dropped.
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
        // If standard output is closed, there is no other place to report the failure.
        let _ = std::io::stdout().lock().write_all(batch.as_bytes());
    }
}

/// Unix time in milliseconds, 0 if the clock is set before 1970.
pub(crate) fn unix_time_ms() -> u64 {
    SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .map_or(0, |since| {
            u64::try_from(since.as_millis()).unwrap_or(u64::MAX)
        })
}
