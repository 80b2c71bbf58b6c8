//! The QUIC endpoint of an agent.

use std::{fs, path::Path, sync::Arc, time::Duration};

use anyhow::Context;
use quinn::{
    EndpointConfig, IdleTimeout, MtuDiscoveryConfig, ServerConfig, TokioRuntime, TransportConfig,
    ValidationTokenConfig, VarInt, crypto::rustls::QuicServerConfig,
};
use rustls_pki_types::{CertificateDer, PrivateKeyDer, pem::PemObject};

use super::{CidGenerator, Identity, Socket};

/// A flow is closed if nothing was received from its caller for this long.
const IDLE_TIMEOUT: Duration = Duration::from_secs(15);

/// Interval at which idle flows are probed. It is shorter than the idle timeout, so that only flows
/// with a dead path time out.
const KEEP_ALIVE_INTERVAL: Duration = Duration::from_secs(5);

/// Largest QUIC datagram. With the frame (about 80 bytes) and the UDP and IP headers it fits a
/// 1,500 byte MTU.
const MAX_DATAGRAM_BYTES: u16 = 1_352;

/// Request streams that a caller may have open on one flow.
const MAX_REQUEST_STREAMS: u32 = 64;

/// Unidirectional streams that a caller may have open; HTTP/3 needs three.
const MAX_UNI_STREAMS: u32 = 8;

/// Flow control window of a stream: bytes that a caller may send before they are read.
const STREAM_WINDOW_BYTES: u32 = 256 * 1_024;

/// Flow control window of a flow: bytes that a caller may send on all streams before they are read.
const FLOW_WINDOW_BYTES: u32 = 512 * 1_024;

/// Largest amount of unacknowledged data per flow.
const SEND_WINDOW_BYTES: u64 = 1_024 * 1_024;

/// Shortest time between two stateless resets. It is this short because a new incarnation has to
/// reset thousands of flows.
const MIN_RESET_INTERVAL: Duration = Duration::from_micros(100);

/// Handshakes that may wait to be accepted; quinn refuses more.
const MAX_PENDING_HANDSHAKES: usize = 1_024;

/// A certificate chain with its private key.
#[derive(Debug)]
pub struct Certificate {
    /// Chain, leaf first.
    pub chain: Vec<CertificateDer<'static>>,
    /// Private key.
    pub key: PrivateKeyDer<'static>,
}

impl Certificate {
    /// Reads PEM files.
    ///
    /// # Errors
    ///
    /// If a file cannot be read or holds no certificate or key; the error names the file.
    pub fn load(certificate: &Path, key: &Path) -> anyhow::Result<Self> {
        let text = fs::read(certificate).with_context(|| certificate.display().to_string())?;
        let chain = CertificateDer::pem_slice_iter(&text)
            .collect::<Result<Vec<_>, _>>()
            .with_context(|| certificate.display().to_string())?;
        anyhow::ensure!(
            !chain.is_empty(),
            "{}: the file holds no certificate",
            certificate.display()
        );
        let text = fs::read(key).with_context(|| key.display().to_string())?;
        let key =
            PrivateKeyDer::from_pem_slice(&text).with_context(|| key.display().to_string())?;
        Ok(Self { chain, key })
    }

    /// Builds the TLS configuration for HTTP/3, without early data.
    ///
    /// # Errors
    ///
    /// If key and certificate do not match.
    pub fn crypto(&self) -> anyhow::Result<Arc<QuicServerConfig>> {
        let provider = Arc::new(rustls::crypto::ring::default_provider());
        let mut tls = rustls::ServerConfig::builder_with_provider(provider)
            .with_protocol_versions(&[&rustls::version::TLS13])?
            .with_no_client_auth()
            .with_single_cert(self.chain.clone(), self.key.clone_key())
            .context("certificate and key do not match")?;
        tls.alpn_protocols = vec![b"h3".to_vec()];
        tls.max_early_data_size = 0;
        Ok(Arc::new(QuicServerConfig::try_from(tls)?))
    }
}

/// Starts the endpoint of an admitted agent over the frame socket.
///
/// # Errors
///
/// If no configuration is in force or the runtime refuses the socket.
pub fn endpoint(
    socket: Arc<Socket>,
    identity: Identity,
    crypto: Arc<QuicServerConfig>,
) -> anyhow::Result<quinn::Endpoint> {
    let blackboard = Arc::clone(socket.blackboard());
    let incarnation = socket.incarnation();
    let snapshot = blackboard
        .config()
        .context("no configuration is in force")?;
    let mut config = EndpointConfig::new(Arc::new(snapshot.keys.reset_key(identity.agent)));
    config.max_udp_payload_size(MAX_DATAGRAM_BYTES)?;
    config.min_reset_interval(MIN_RESET_INTERVAL);
    config.cid_generator(move || {
        Box::new(CidGenerator {
            blackboard: Arc::clone(&blackboard),
            identity,
            incarnation,
        })
    });
    let mut server = ServerConfig::with_crypto(crypto);
    server.transport_config(Arc::new(transport()?));
    server.migration(true);
    server.max_incoming(MAX_PENDING_HANDSHAKES);
    // A validation token would let a caller skip the Retry whose connection id names its agent.
    let mut tokens = ValidationTokenConfig::default();
    tokens.sent(0);
    server.validation_token_config(tokens);
    let runtime = Arc::new(TokioRuntime);
    let endpoint =
        quinn::Endpoint::new_with_abstract_socket(config, Some(server), socket, runtime)?;
    Ok(endpoint)
}

/// Transport parameters of every flow.
fn transport() -> anyhow::Result<TransportConfig> {
    let mut mtu = MtuDiscoveryConfig::default();
    mtu.upper_bound(MAX_DATAGRAM_BYTES);
    let mut transport = TransportConfig::default();
    transport
        .max_idle_timeout(Some(IdleTimeout::try_from(IDLE_TIMEOUT)?))
        .keep_alive_interval(Some(KEEP_ALIVE_INTERVAL))
        .mtu_discovery_config(Some(mtu))
        .max_concurrent_bidi_streams(VarInt::from_u32(MAX_REQUEST_STREAMS))
        .max_concurrent_uni_streams(VarInt::from_u32(MAX_UNI_STREAMS))
        .stream_receive_window(VarInt::from_u32(STREAM_WINDOW_BYTES))
        .receive_window(VarInt::from_u32(FLOW_WINDOW_BYTES))
        .send_window(SEND_WINDOW_BYTES)
        .datagram_receive_buffer_size(None);
    Ok(transport)
}
