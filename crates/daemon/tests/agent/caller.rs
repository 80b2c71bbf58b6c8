//! An HTTP/3 caller.

use std::{net::SocketAddr, sync::Arc, time::Duration};

use bytes::{Buf, Bytes, BytesMut};
use h3::client::{RequestStream, SendRequest};
use h3_quinn::{BidiStream, OpenStreams};
use http::{HeaderMap, Request, Response};
use quinn::crypto::rustls::QuicClientConfig;
use rustls_pki_types::CertificateDer;

/// A caller with one flow.
#[derive(Clone)]
pub struct Caller {
    pub connection: quinn::Connection,
    requests: SendRequest<OpenStreams, Bytes>,
}

/// A complete answer.
#[derive(Debug)]
pub struct Answer {
    pub status: u16,
    pub headers: HeaderMap,
    pub body: Bytes,
}

impl Answer {
    pub fn ticket(&self) -> &str {
        self.headers["sassafrasmast-ticket"].to_str().unwrap()
    }

    pub fn outcome(&self) -> &str {
        self.headers["sassafrasmast-outcome"].to_str().unwrap()
    }
}

pub type Stream = RequestStream<BidiStream<Bytes>, Bytes>;

/// A QUIC endpoint that trusts `certificate`.
pub fn endpoint(certificate: &CertificateDer<'static>) -> quinn::Endpoint {
    let mut roots = rustls::RootCertStore::empty();
    roots.add(certificate.clone()).unwrap();
    let provider = Arc::new(rustls::crypto::ring::default_provider());
    let mut tls = rustls::ClientConfig::builder_with_provider(provider)
        .with_protocol_versions(&[&rustls::version::TLS13])
        .unwrap()
        .with_root_certificates(roots)
        .with_no_client_auth();
    tls.alpn_protocols = vec![b"h3".to_vec()];
    let crypto = QuicClientConfig::try_from(tls).unwrap();
    let mut config = quinn::ClientConfig::new(Arc::new(crypto));
    let mut transport = quinn::TransportConfig::default();
    transport.keep_alive_interval(Some(Duration::from_secs(1)));
    transport.max_idle_timeout(Some(Duration::from_secs(10).try_into().unwrap()));
    config.transport_config(Arc::new(transport));
    let mut endpoint = quinn::Endpoint::client("127.0.0.1:0".parse().unwrap()).unwrap();
    endpoint.set_default_client_config(config);
    endpoint
}

impl Caller {
    pub async fn connect(
        certificate: &CertificateDer<'static>,
        address: SocketAddr,
    ) -> anyhow::Result<Self> {
        let endpoint = endpoint(certificate);
        let connection = endpoint.connect(address, "localhost")?.await?;
        let transport = h3_quinn::Connection::new(connection.clone());
        let (mut driver, requests) = h3::client::new(transport).await?;
        tokio::spawn(async move { driver.wait_idle().await });
        Ok(Self {
            connection,
            requests,
        })
    }

    /// Sends the head of a request.
    pub async fn open(&mut self, request: Request<()>) -> anyhow::Result<Stream> {
        Ok(self.requests.send_request(request).await?)
    }

    /// Sends a request and reads the complete answer.
    pub async fn ask(&mut self, request: Request<()>, body: &[u8]) -> anyhow::Result<Answer> {
        let mut stream = self.open(request).await?;
        let mut stopped = false;
        for piece in body.chunks(100_000) {
            // The agent stops the body if it refuses the request early; the answer is read below.
            let data = Bytes::copy_from_slice(piece);
            stopped = stream.send_data(data).await.is_err();
            if stopped {
                break;
            }
        }
        if !stopped {
            // Fails for the same reason if the refusal arrives only now.
            let _ = stream.finish().await;
        }
        let response = stream.recv_response().await?;
        let body = read(&mut stream).await?;
        Ok(answer(response, body))
    }

    pub async fn get(&mut self, path: &str) -> anyhow::Result<Answer> {
        self.ask(get(path), b"").await
    }

    /// Posts under an idempotency key.
    pub async fn post_once(&mut self, path: &str, key: &str, body: &[u8]) -> Answer {
        let request = post(path).header("idempotency-key", key);
        self.ask(request.body(()).unwrap(), body).await.unwrap()
    }

    /// Requests a ticket.
    pub async fn ticket(&mut self) -> String {
        let answer = self.get("/.well-known/sassafrasmast/ticket").await.unwrap();
        answer.ticket().to_owned()
    }

    pub async fn post(&mut self, path: &str, body: &[u8]) -> anyhow::Result<Answer> {
        self.ask(post(path).body(()).unwrap(), body).await
    }
}

pub fn get(path: &str) -> Request<()> {
    let uri = format!("https://localhost{path}");
    Request::get(uri).body(()).unwrap()
}

pub fn post(path: &str) -> http::request::Builder {
    Request::post(format!("https://localhost{path}"))
}

pub async fn read(stream: &mut Stream) -> anyhow::Result<Bytes> {
    let mut body = BytesMut::new();
    while let Some(mut piece) = stream.recv_data().await? {
        body.extend_from_slice(&piece.copy_to_bytes(piece.remaining()));
    }
    Ok(body.freeze())
}

fn answer(response: Response<()>, body: Bytes) -> Answer {
    Answer {
        status: response.status().as_u16(),
        headers: response.headers().clone(),
        body,
    }
}
