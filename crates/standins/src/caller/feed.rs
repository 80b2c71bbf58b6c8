//! An open feed.

use std::time::Duration;

use bytes::{Buf, Bytes, BytesMut};
use h3::client::RequestStream;
use tokio::time::timeout;

use super::{Connection, Error};

/// Largest line in bytes.
const MAX_LINE_BYTES: usize = 4_096;

/// An open feed. Its lines are numbered from 1 without a gap.
pub struct Feed {
    connection: Connection,
    stream: RequestStream<h3_quinn::BidiStream<Bytes>, Bytes>,
    buffer: BytesMut,
    next: u64,
    /// Name of the upstream that sends the lines; empty before the first line.
    pub upstream: String,
}

impl std::fmt::Debug for Feed {
    fn fmt(&self, formatter: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        formatter
            .debug_struct("Feed")
            .field("next", &self.next)
            .field("upstream", &self.upstream)
            .finish_non_exhaustive()
    }
}

impl Feed {
    pub(super) fn new(
        connection: Connection,
        stream: RequestStream<h3_quinn::BidiStream<Bytes>, Bytes>,
    ) -> Self {
        Self {
            connection,
            stream,
            buffer: BytesMut::new(),
            next: 1,
            upstream: String::new(),
        }
    }

    /// Lines read so far.
    pub fn lines_read(&self) -> u64 {
        self.next - 1
    }

    /// The connection that carries the feed.
    pub fn connection(&self) -> &Connection {
        &self.connection
    }

    /// Reads the next line and returns its number.
    ///
    /// # Errors
    ///
    /// [`Error::Timeout`] after `limit` (the feed can still be read), [`Error::UnexpectedLine`] when
    /// a line is missing, duplicated or from another upstream, [`Error::InvalidAnswer`], or the error
    /// that ended the feed.
    pub async fn read_line(&mut self, limit: Duration) -> Result<u64, Error> {
        timeout(limit, self.read())
            .await
            .map_err(|_| Error::Timeout)?
    }

    async fn read(&mut self) -> Result<u64, Error> {
        loop {
            if let Some(end) = self.buffer.iter().position(|&byte| byte == b'\n') {
                let line = self.buffer.split_to(end + 1);
                return self.check(&line[..end]);
            }
            if self.buffer.len() > MAX_LINE_BYTES {
                return Err(Error::InvalidAnswer("a line is too long".to_owned()));
            }
            match self.stream.recv_data().await {
                Ok(Some(data)) => self.buffer.extend_from_slice(data.chunk()),
                Ok(None) => return Err(self.connection.termination_error("the feed ended")),
                Err(error) => return Err(self.connection.termination_error(&error.to_string())),
            }
        }
    }

    fn check(&mut self, line: &[u8]) -> Result<u64, Error> {
        let text = String::from_utf8_lossy(line);
        let (number, upstream) = text
            .split_once(' ')
            .and_then(|(number, upstream)| Some((number.parse().ok()?, upstream)))
            .ok_or_else(|| Error::InvalidAnswer(text.clone().into_owned()))?;
        if self.next == 1 {
            upstream.clone_into(&mut self.upstream);
        }
        if number != self.next || upstream != self.upstream {
            return Err(Error::UnexpectedLine {
                expected: self.next,
                got: number,
            });
        }
        self.next += 1;
        Ok(number)
    }
}
