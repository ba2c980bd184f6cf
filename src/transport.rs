//! QUIC connections between entries and agents.
//!
//! Both sides show a certificate signed by the fleet's authority; a process without one is refused
//! in the handshake. The protocol name in the handshake carries the wire version.

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

/// Name in the certificates of all processes.
pub const CERTIFICATE_NAME: &str = "alderbay";

/// Silence after which a peer is taken for lost.
const IDLE_TIMEOUT: Duration = Duration::from_secs(8);
/// Interval of keep-alives on a silent connection.
const KEEP_ALIVE_INTERVAL: Duration = Duration::from_secs(3);
/// Requests at once on one connection. Each possible one costs memory on every connection.
const MAX_STREAMS: u32 = 256;
/// Bytes that a peer may send ahead on one stream, so that a slow caller holds its engine back.
const STREAM_WINDOW_BYTES: u32 = 256 << 10;

/// Why peers cannot be reached or listened to.
#[derive(Debug)]
#[derive(Error)]
pub enum TransportError {
    /// A certificate or key file is unreadable.
    #[error("{path}: {source}")]
    BadPem {
        /// The file.
        path: String,
        /// Why.
        source: rustls::pki_types::pem::Error,
    },
    /// The certificates do not go together.
    #[error("certificates: {0}")]
    BadCertificate(#[from] rustls::Error),
    /// The authority cannot be used to check peers.
    #[error("authority: {0}")]
    BadAuthority(#[from] rustls::server::VerifierBuilderError),
    /// The cipher suites lack one that QUIC needs.
    #[error("cipher suites: {0}")]
    NoCipher(#[from] NoInitialCipherSuite),
    /// The address cannot be bound.
    #[error("binding {address}: {source}")]
    Bind {
        /// The address.
        address: SocketAddr,
        /// Why.
        source: io::Error,
    },
    /// The connection attempt could not begin.
    #[error("connecting: {0}")]
    Connect(#[from] quinn::ConnectError),
    /// The connection could not be made; a refused certificate or wire version ends here.
    #[error("connecting: {0}")]
    Connection(#[from] quinn::ConnectionError),
}

/// The endpoint of one process.
#[derive(Clone, Debug)]
pub struct PeerEndpoint {
    endpoint: Endpoint,
}

impl PeerEndpoint {
    /// Reads the certificates and binds the address.
    ///
    /// # Errors
    ///
    /// A file is unreadable, the certificates do not go together, or the address is taken.
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
    /// The peer is unreachable, shows no certificate of the fleet, or speaks another wire version.
    pub async fn connect(&self, address: SocketAddr) -> Result<Connection, TransportError> {
        let connecting = self.endpoint.connect(address, CERTIFICATE_NAME)?;
        Ok(connecting.await?)
    }

    /// The next peer that connects; none once the endpoint is closed.
    pub async fn accept(&self) -> Option<quinn::Incoming> {
        self.endpoint.accept().await
    }

    /// Closes all connections and waits until the peers know.
    pub async fn close(&self) {
        self.endpoint.close(VarInt::from_u32(0), b"stopped");
        self.endpoint.wait_idle().await;
    }
}

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
    // Keep-alives of one side, and the answers to them, tell both that the other is there.
    let mut connecting = transport_config();
    connecting.keep_alive_interval(Some(KEEP_ALIVE_INTERVAL));
    let mut client = ClientConfig::new(Arc::new(QuicClientConfig::try_from(client)?));
    client.transport_config(Arc::new(connecting));
    Ok((server, client))
}

fn transport_config() -> TransportConfig {
    let mut config = TransportConfig::default();
    let idle = VarInt::from_u32(u32::try_from(IDLE_TIMEOUT.as_millis()).unwrap_or(u32::MAX));
    config.max_idle_timeout(Some(IdleTimeout::from(idle)));
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
