//! QUIC connections between entries and agents.
//!
//! Connections use mutual TLS: each side presents a certificate signed by the fleet's certificate
//! authority, and the handshake fails without one. The ALPN protocol name in the handshake
//! contains the wire version.

use std::{io, net::SocketAddr, path::Path, sync::Arc, time::Duration};

use quinn::{
    ClientConfig, Connection, Endpoint, IdleTimeout, ServerConfig, TransportConfig, VarInt,
    crypto::rustls::{NoInitialCipherSuite, QuicClientConfig, QuicServerConfig},
};
use rustls::{
    RootCertStore,
    pki_types::{CertificateDer, PrivateKeyDer, pem::PemObject},
    server::WebPkiClientVerifier,
};
use thiserror::Error;

use crate::{options::PeerSettings, wire::ALPN};

/// DNS name in the certificates of all processes.
pub const CERTIFICATE_NAME: &str = "alderbay";

/// Time without any packet after which a connection is closed as lost.
const IDLE_TIMEOUT: Duration = Duration::from_secs(8);
/// Interval of keep-alive packets on an idle connection.
const KEEP_ALIVE_INTERVAL: Duration = Duration::from_secs(3);
/// Limit on concurrent requests per connection. Each permitted stream takes memory on every
/// connection, even while it is unused.
const MAX_STREAMS: u32 = 256;
/// Flow-control window of a stream. It is small so that a slow caller exerts backpressure on the
/// engine.
const STREAM_WINDOW_BYTES: u32 = 256 << 10;

/// Why the endpoint cannot be opened or a connection cannot be made.
#[derive(Debug)]
#[derive(Error)]
pub enum TransportError {
    /// A certificate or key file cannot be read or parsed.
    #[error("cannot read PEM file {path}: {source}")]
    BadPem {
        /// Path of the file.
        path: String,
        /// Error of the PEM parser.
        source: rustls::pki_types::pem::Error,
    },
    /// The certificate, its key and the certificate authority do not match.
    #[error("invalid certificates: {0}")]
    BadCertificate(#[from] rustls::Error),
    /// The certificate authority cannot be used to verify peers.
    #[error("invalid certificate authority: {0}")]
    BadAuthority(#[from] rustls::server::VerifierBuilderError),
    /// The crypto provider lacks the initial cipher suite of QUIC.
    #[error("missing cipher suite for QUIC: {0}")]
    NoCipher(#[from] NoInitialCipherSuite),
    /// The address cannot be bound.
    #[error("cannot bind {address}: {source}")]
    Bind {
        /// The UDP address.
        address: SocketAddr,
        /// Error of the operating system.
        source: io::Error,
    },
    /// The connection attempt cannot be started.
    #[error("cannot start a connection: {0}")]
    Connect(#[from] quinn::ConnectError),
    /// The connection cannot be established, for example because the peer rejected the
    /// certificate or has another wire version.
    #[error("cannot connect: {0}")]
    Connection(#[from] quinn::ConnectionError),
}

/// QUIC endpoint of a process, which both accepts and opens connections.
#[derive(Clone, Debug)]
pub struct PeerEndpoint {
    endpoint: Endpoint,
}

impl PeerEndpoint {
    /// Reads the certificates and binds the address, both from `settings`.
    ///
    /// # Errors
    ///
    /// A file cannot be read, the certificates do not match, or the address cannot be bound.
    pub fn bind(settings: &PeerSettings) -> Result<Self, TransportError> {
        let (server, client) = configure(settings)?;
        let mut endpoint = Endpoint::server(server, settings.listen)
            .map_err(|source| TransportError::Bind { address: settings.listen, source })?;
        endpoint.set_default_client_config(client);
        Ok(Self { endpoint })
    }

    /// Connects to a peer.
    ///
    /// # Errors
    ///
    /// The peer is unreachable, has no certificate of the fleet, or has another wire version.
    pub async fn connect(&self, address: SocketAddr) -> Result<Connection, TransportError> {
        let connecting = self.endpoint.connect(address, CERTIFICATE_NAME)?;
        Ok(connecting.await?)
    }

    /// Waits for the next incoming connection; `None` once the endpoint is closed.
    pub async fn accept(&self) -> Option<quinn::Incoming> {
        self.endpoint.accept().await
    }

    /// Closes all connections and waits until the peers have been notified.
    pub async fn close(&self) {
        self.endpoint.close(VarInt::from_u32(0), b"stopped");
        self.endpoint.wait_idle().await;
    }
}

/// Builds the TLS and QUIC configurations for accepting and for opening connections.
fn configure(settings: &PeerSettings) -> Result<(ServerConfig, ClientConfig), TransportError> {
    let authority = read_certificates(&settings.authority)?;
    let mut roots = RootCertStore::empty();
    for certificate in authority {
        roots.add(certificate)?;
    }
    let roots = Arc::new(roots);
    let chain = read_certificates(&settings.certificate)?;
    let key = PrivateKeyDer::from_pem_file(&settings.private_key)
        .map_err(bad_pem(&settings.private_key))?;

    let provider = Arc::new(rustls::crypto::ring::default_provider());
    let verifier =
        WebPkiClientVerifier::builder_with_provider(roots.clone(), provider.clone()).build()?;
    let mut server = rustls::ServerConfig::builder_with_provider(provider.clone())
        .with_protocol_versions(&[&rustls::version::TLS13])?
        .with_client_cert_verifier(verifier)
        .with_single_cert(chain.clone(), key.clone_key())?;
    server.alpn_protocols = vec![ALPN.to_vec()];
    let mut client = rustls::ClientConfig::builder_with_provider(provider)
        .with_protocol_versions(&[&rustls::version::TLS13])?
        .with_root_certificates(roots)
        .with_client_auth_cert(chain, key)?;
    client.alpn_protocols = vec![ALPN.to_vec()];

    let mut server = ServerConfig::with_crypto(Arc::new(QuicServerConfig::try_from(server)?));
    server.transport_config(Arc::new(transport_config()));
    // Only the client sends keep-alives: the acknowledgements keep the connection alive for both.
    let mut client_transport = transport_config();
    client_transport.keep_alive_interval(Some(KEEP_ALIVE_INTERVAL));
    let mut client = ClientConfig::new(Arc::new(QuicClientConfig::try_from(client)?));
    client.transport_config(Arc::new(client_transport));
    Ok((server, client))
}

fn transport_config() -> TransportConfig {
    let mut config = TransportConfig::default();
    let idle_ms = VarInt::from_u32(u32::try_from(IDLE_TIMEOUT.as_millis()).unwrap_or(u32::MAX));
    config.max_idle_timeout(Some(IdleTimeout::from(idle_ms)));
    config.max_concurrent_bidi_streams(VarInt::from_u32(MAX_STREAMS));
    config.stream_receive_window(VarInt::from_u32(STREAM_WINDOW_BYTES));
    config
}

fn read_certificates(path: &Path) -> Result<Vec<CertificateDer<'static>>, TransportError> {
    CertificateDer::pem_file_iter(path).and_then(Iterator::collect).map_err(bad_pem(path))
}

fn bad_pem(path: &Path) -> impl FnOnce(rustls::pki_types::pem::Error) -> TransportError {
    let path = path.display().to_string();
    move |source| TransportError::BadPem { path, source }
}
