//! The QUIC endpoint of an agent.

use std::{fs, path::Path, sync::Arc, time::Duration};

use anyhow::Context;
use quinn::{
    EndpointConfig, IdleTimeout, MtuDiscoveryConfig, ServerConfig, TokioRuntime, TransportConfig,
    ValidationTokenConfig, VarInt, crypto::rustls::QuicServerConfig,
};
use rustls_pki_types::{CertificateDer, PrivateKeyDer, pem::PemObject};

use super::{Generator, Identity, Socket};

/// A flow is given up when nothing was heard from its caller for this long.
const IDLE_TIMEOUT: Duration = Duration::from_secs(15);

/// Silent flows are probed this often, so a dead path is noticed within the idle timeout.
const KEEP_ALIVE: Duration = Duration::from_secs(5);

/// Largest QUIC datagram in bytes: with frame (about 80), UDP and IP headers it fits 1,500.
const MAX_DATAGRAM: u16 = 1_352;

/// Request streams a caller may have open on one flow.
const MAX_STREAMS: u32 = 64;

/// Unidirectional streams a caller may have open; HTTP/3 needs three.
const MAX_UNI_STREAMS: u32 = 8;

/// Bytes a caller may send ahead on one stream.
const STREAM_WINDOW: u32 = 256 * 1_024;

/// Bytes a caller may send ahead on one flow.
const FLOW_WINDOW: u32 = 512 * 1_024;

/// Bytes held unacknowledged toward one caller.
const SEND_WINDOW: u64 = 1_024 * 1_024;

/// Least time between two stateless resets: a new incarnation resets thousands of flows.
const RESET_INTERVAL: Duration = Duration::from_micros(100);

/// Handshakes that wait for the server at most.
const MAX_INCOMING: usize = 1_024;

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
    /// Names the file that cannot be read or holds no certificate or key.
    pub fn load(certificate: &Path, key: &Path) -> anyhow::Result<Self> {
        let text = fs::read(certificate).with_context(|| certificate.display().to_string())?;
        let chain = CertificateDer::pem_slice_iter(&text)
            .collect::<Result<Vec<_>, _>>()
            .with_context(|| certificate.display().to_string())?;
        anyhow::ensure!(
            !chain.is_empty(),
            "{}: holds no certificate",
            certificate.display()
        );
        let text = fs::read(key).with_context(|| key.display().to_string())?;
        let key =
            PrivateKeyDer::from_pem_slice(&text).with_context(|| key.display().to_string())?;
        Ok(Self { chain, key })
    }

    /// Builds the TLS side for HTTP/3, without early data.
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
    config.max_udp_payload_size(MAX_DATAGRAM)?;
    config.min_reset_interval(RESET_INTERVAL);
    config.cid_generator(move || {
        Box::new(Generator {
            blackboard: Arc::clone(&blackboard),
            identity,
            incarnation,
        })
    });
    let mut server = ServerConfig::with_crypto(crypto);
    server.transport_config(Arc::new(transport()?));
    server.migration(true);
    server.max_incoming(MAX_INCOMING);
    // Tokens would let a caller skip the Retry that names its agent.
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
    mtu.upper_bound(MAX_DATAGRAM);
    let mut transport = TransportConfig::default();
    transport
        .max_idle_timeout(Some(IdleTimeout::try_from(IDLE_TIMEOUT)?))
        .keep_alive_interval(Some(KEEP_ALIVE))
        .mtu_discovery_config(Some(mtu))
        .max_concurrent_bidi_streams(VarInt::from_u32(MAX_STREAMS))
        .max_concurrent_uni_streams(VarInt::from_u32(MAX_UNI_STREAMS))
        .stream_receive_window(VarInt::from_u32(STREAM_WINDOW))
        .receive_window(VarInt::from_u32(FLOW_WINDOW))
        .send_window(SEND_WINDOW)
        .datagram_receive_buffer_size(None);
    Ok(transport)
}
