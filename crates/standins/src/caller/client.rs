//! HTTP/3 client with its socket, its connection and the ticket protocol.

use std::{
    net::SocketAddr,
    sync::Arc,
    time::{Duration, Instant},
};

use anyhow::Context;
use bytes::Bytes;
use quinn::crypto::rustls::QuicClientConfig;
use rustls_pki_types::CertificateDer;
use sassafrasmast_core::error::Outcome;
use serde_json::{Value, json};
use tokio::time::{sleep, timeout};

use super::{Answer, Connection, Error, Feed, FinalOutcome, Submission, connection::request};
use crate::upstream::checksum;

/// Minimum delay before another attempt of a request.
const MIN_RETRY_DELAY: Duration = Duration::from_millis(50);

/// Settings of a caller.
#[derive(Debug, Clone)]
pub struct Settings {
    /// Address of the service.
    pub server: SocketAddr,
    /// Name in the service's certificate.
    pub name: String,
    /// Certificate to trust.
    pub certificate: CertificateDer<'static>,
    /// Time limit for opening a connection.
    pub connect_timeout: Duration,
    /// Time limit for one attempt of a request.
    pub attempt_timeout: Duration,
    /// Time limit for a request over all attempts.
    pub deadline: Duration,
    /// Time without packets after which a connection counts as lost.
    pub idle_timeout: Duration,
    /// Time without packets after which a keep-alive is sent.
    pub keep_alive_interval: Duration,
}

impl Default for Settings {
    fn default() -> Self {
        Self {
            server: SocketAddr::from(([127, 0, 0, 1], 443)),
            name: "localhost".to_owned(),
            certificate: CertificateDer::from(Vec::new()),
            connect_timeout: Duration::from_secs(3),
            attempt_timeout: Duration::from_secs(2),
            deadline: Duration::from_secs(10),
            idle_timeout: Duration::from_secs(5),
            keep_alive_interval: Duration::from_millis(1_500),
        }
    }
}

/// A caller with its own socket.
#[derive(Debug)]
pub struct Client {
    settings: Settings,
    endpoint: quinn::Endpoint,
    connection: Option<Connection>,
}

/// State of one request across its attempts.
#[derive(Debug)]
struct Progress {
    begun: Instant,
    submission: Submission,
    ticket: Option<String>,
    /// Whether an attempt under the current ticket may have run without a final answer.
    in_doubt: bool,
}

impl Client {
    /// Opens the caller's socket.
    ///
    /// # Errors
    ///
    /// If the socket cannot be opened or the certificate is invalid.
    pub fn new(settings: Settings) -> anyhow::Result<Self> {
        let mut roots = rustls::RootCertStore::empty();
        roots.add(settings.certificate.clone())?;
        let provider = Arc::new(rustls::crypto::ring::default_provider());
        let mut tls = rustls::ClientConfig::builder_with_provider(provider)
            .with_protocol_versions(&[&rustls::version::TLS13])?
            .with_root_certificates(roots)
            .with_no_client_auth();
        tls.alpn_protocols = vec![b"h3".to_vec()];
        let mut transport = quinn::TransportConfig::default();
        transport.max_idle_timeout(Some(settings.idle_timeout.try_into().with_context(
            || {
                format!(
                    "idle timeout {:?} is too long for QUIC",
                    settings.idle_timeout
                )
            },
        )?));
        transport.keep_alive_interval(Some(settings.keep_alive_interval));
        let mut config = quinn::ClientConfig::new(Arc::new(QuicClientConfig::try_from(tls)?));
        config.transport_config(Arc::new(transport));
        let mut endpoint = quinn::Endpoint::client(SocketAddr::new(settings.server.ip(), 0))?;
        endpoint.set_default_client_config(config);
        Ok(Self {
            settings,
            endpoint,
            connection: None,
        })
    }

    /// Address of the caller's socket.
    ///
    /// # Errors
    ///
    /// If the operating system does not report the address.
    pub fn address(&self) -> std::io::Result<SocketAddr> {
        self.endpoint.local_addr()
    }

    /// Opens a new connection.
    ///
    /// # Errors
    ///
    /// [`Error::Connect`].
    pub async fn connect(&self) -> Result<Connection, Error> {
        let opening = async {
            let connecting = self
                .endpoint
                .connect(self.settings.server, &self.settings.name)
                .map_err(|error| Error::Connect(error.to_string()))?;
            let quic = connecting
                .await
                .map_err(|error| Error::Connect(error.to_string()))?;
            Connection::new(quic).await
        };
        timeout(self.settings.connect_timeout, opening)
            .await
            .map_err(|_| Error::Connect("timeout".to_owned()))?
    }

    /// Opens a feed on a new connection.
    ///
    /// # Errors
    ///
    /// As [`Connection::open_feed`] and [`Self::connect`].
    pub async fn open_feed(&self, path: &str) -> Result<Feed, Error> {
        let connection = self.connect().await?;
        connection
            .open_feed(path, self.settings.attempt_timeout)
            .await
    }

    /// Submits one booking with retries and checks that the answer is for `id` and reports a single
    /// execution.
    ///
    /// # Errors
    ///
    /// [`Error::InvalidAnswer`] when the answer is for another booking or reports another number of
    /// executions.
    pub async fn book(&mut self, id: &str) -> Result<Submission, Error> {
        let body = json!({ "booking": id }).to_string();
        let submission = self.submit("/bookings", body.into()).await;
        if submission.final_outcome == FinalOutcome::Ran && submission.is_success() {
            let answer = answer_json(&submission)?;
            if answer["booking"] != id || answer["executions"] != 1 {
                return Err(Error::InvalidAnswer(answer.to_string()));
            }
        }
        Ok(submission)
    }

    /// Uploads a manifest and checks that it arrived complete.
    ///
    /// # Errors
    ///
    /// [`Error::InvalidAnswer`] when the answer has another length or checksum.
    pub async fn upload(&mut self, manifest: Bytes) -> Result<Submission, Error> {
        let submission = self.submit("/manifests", manifest.clone()).await;
        if submission.final_outcome == FinalOutcome::Ran && submission.is_success() {
            let answer = answer_json(&submission)?;
            if answer["bytes"] != manifest.len() || answer["checksum"] != checksum(&manifest) {
                return Err(Error::InvalidAnswer(answer.to_string()));
            }
        }
        Ok(submission)
    }

    /// Posts a booking once, on a new connection, with an idempotency key that the caller chose.
    ///
    /// # Errors
    ///
    /// As [`Self::connect`] and [`Connection::request`].
    pub async fn book_with_key(&self, id: &str, key: &str) -> Result<Answer, Error> {
        let mut connection = self.connect().await?;
        let body = json!({ "booking": id }).to_string();
        let mut request = request("POST", "/bookings")?;
        let key = key
            .parse()
            .map_err(|_| Error::InvalidAnswer(format!("key {key:?} is no header value")))?;
        request.headers_mut().insert("idempotency-key", key);
        let limit = self.settings.deadline;
        connection.request(request, body.into(), limit).await
    }

    /// Posts `body` under a ticket until its outcome is final or the deadline passes. Retries under
    /// the same ticket while the outcome is unknown, and under a new one after a refusal.
    pub async fn submit(&mut self, path: &str, body: Bytes) -> Submission {
        let mut progress = Progress::new();
        loop {
            let remaining = self
                .settings
                .deadline
                .saturating_sub(progress.begun.elapsed());
            if remaining.is_zero() {
                return progress.finish(None);
            }
            match self.attempt(path, &body, remaining, &mut progress).await {
                Ok(answer) => {
                    let retry_delay = answer.retry_after.unwrap_or_default().max(MIN_RETRY_DELAY);
                    if let Some(final_outcome) = progress.record_answer(answer) {
                        return progress.finish(Some(final_outcome));
                    }
                    sleep(retry_delay.min(remaining)).await;
                }
                Err(error) => {
                    progress.submission.errors.push(error.to_string());
                    self.connection = None;
                    sleep(MIN_RETRY_DELAY.min(remaining)).await;
                }
            }
        }
    }

    /// Makes one attempt, with a new connection and a new ticket if needed.
    async fn attempt(
        &mut self,
        path: &str,
        body: &Bytes,
        remaining: Duration,
        progress: &mut Progress,
    ) -> Result<Answer, Error> {
        let limit = self.settings.attempt_timeout.min(remaining);
        let mut connection = match self.connection.take() {
            Some(connection) if connection.quic().close_reason().is_none() => connection,
            _ => self.connect().await?,
        };
        if progress.ticket.is_none() {
            progress.ticket = Some(match connection.ticket.take() {
                Some(ticket) => ticket,
                None => connection.fetch_ticket(limit).await?,
            });
        }
        let mut request = request("POST", path)?;
        let headers = request.headers_mut();
        headers.insert(
            "sassafrasmast-deadline-ms",
            (remaining.as_millis() as u64).into(),
        );
        headers.insert(hyper::header::CONTENT_LENGTH, body.len().into());
        if let Some(ticket) = progress.ticket.as_ref().and_then(|text| text.parse().ok()) {
            headers.insert("idempotency-key", ticket);
        }
        progress.submission.attempts += 1;
        let in_doubt = std::mem::replace(&mut progress.in_doubt, true);
        let answered = connection.request(request, body.clone(), limit).await;
        if matches!(answered, Err(Error::Unsent(_))) {
            // The ticket's agent may be draining, so the ticket is discarded unless an earlier
            // attempt under it may have run.
            progress.in_doubt = in_doubt;
            progress.ticket = progress.ticket.take().filter(|_| in_doubt);
        }
        let answer = answered?;
        self.connection = Some(connection);
        Ok(answer)
    }
}

impl Progress {
    fn new() -> Self {
        Self {
            begun: Instant::now(),
            submission: Submission {
                final_outcome: FinalOutcome::NotRun,
                answer: None,
                attempts: 0,
                elapsed: Duration::ZERO,
                errors: Vec::new(),
            },
            ticket: None,
            in_doubt: false,
        }
    }

    /// Records an answer; returns the final outcome if the answer is final.
    fn record_answer(&mut self, answer: Answer) -> Option<FinalOutcome> {
        let (outcome, status) = (answer.outcome, answer.status);
        if !answer.is_success() {
            let text = String::from_utf8_lossy(&answer.body).into_owned();
            self.submission
                .errors
                .push(format!("status {status}: {text}"));
        }
        self.submission.answer = Some(answer);
        match outcome {
            Some(Outcome::Ran) => Some(FinalOutcome::Ran),
            Some(Outcome::NotRun) => {
                self.ticket = None;
                self.in_doubt = false;
                // The request itself is invalid and would be refused again.
                matches!(status, 400 | 413 | 422).then_some(FinalOutcome::NotRun)
            }
            // The agent that could know the outcome is gone, so a retry cannot learn it.
            Some(Outcome::Unknown) if status == 409 => Some(FinalOutcome::Unknown),
            Some(Outcome::Unknown) | None => None,
        }
    }

    fn finish(mut self, final_outcome: Option<FinalOutcome>) -> Submission {
        let fallback = if self.in_doubt {
            FinalOutcome::Unknown
        } else {
            FinalOutcome::NotRun
        };
        self.submission.final_outcome = final_outcome.unwrap_or(fallback);
        self.submission.elapsed = self.begun.elapsed();
        self.submission
    }
}

/// Parses the body of a submission's answer.
fn answer_json(submission: &Submission) -> Result<Value, Error> {
    let answer = submission.answer.as_ref();
    let body = answer.map_or(&[][..], |answer| &answer.body);
    serde_json::from_slice(body).map_err(|error| Error::InvalidAnswer(error.to_string()))
}
