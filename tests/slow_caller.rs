//! Limits on slow callers, and rejection of peers that do not belong to the fleet.

use std::time::Duration;

use alderbay::{
    http::{HttpListener, ListenerPhase, text_response},
    options::{HttpLimits, PeerSettings},
    transport::{PeerEndpoint, TransportError},
};
use googletest::prelude::*;
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::TcpStream,
    sync::watch,
};
use volo_http::server::{Router, route::get};

use crate::{
    launcher,
    support::{
        callers::Caller,
        certificates::write_certificates,
        fleet::{Fleet, FleetPlan, MODEL, WAIT_TIMEOUT},
        ports::free_address,
    },
};

/// Starts a listener with these limits. The returned sender sets its phase.
async fn start_listener(
    limits: HttpLimits,
) -> (std::net::SocketAddr, watch::Sender<ListenerPhase>) {
    let address = free_address();
    let (phase, phases) = watch::channel(ListenerPhase::Open);
    let listener = HttpListener::bind(address, limits).await.unwrap();
    let router =
        Router::new().route("/", get(|| async { text_response(http::StatusCode::OK, "ok") }));
    tokio::spawn(listener.serve(router, phases));
    (address, phase)
}

#[gtest]
#[tokio::test]
async fn slow_request_head_times_out() {
    let limits = HttpLimits { head_timeout_ms: 200, ..HttpLimits::default() };
    let (address, _phase) = start_listener(limits).await;
    let mut stream = TcpStream::connect(address).await.unwrap();
    stream.write_all(b"GET / HTTP/1.1\r\nhost").await.unwrap();
    let mut response = Vec::new();
    let read = tokio::time::timeout(WAIT_TIMEOUT, stream.read_to_end(&mut response)).await;
    expect_that!(read.is_ok(), eq(true), "the connection stays open after the head timeout");
}

#[gtest]
#[tokio::test]
async fn connections_are_bounded() {
    let limits = HttpLimits { max_connections: 1, head_timeout_ms: 300, ..HttpLimits::default() };
    let (address, _phase) = start_listener(limits).await;
    let _first = TcpStream::connect(address).await.unwrap();
    let started = tokio::time::Instant::now();
    // The second connection is accepted once the first, which sends nothing, times out.
    let answer = Caller::new("a").send(address, http::Request::get("/"), "").await.unwrap();
    expect_that!(answer.status, eq(200));
    expect_that!(started.elapsed(), ge(Duration::from_millis(100)));
}

#[gtest]
#[tokio::test]
async fn stalled_caller_stops_engine() {
    let fleet = Fleet::start(FleetPlan::default(), launcher()).await;
    for engine in fleet.engines.values() {
        engine.token_ms.store(0, std::sync::atomic::Ordering::SeqCst);
    }
    let caller = Caller::new("dues");
    let body = crate::support::callers::draft_body(MODEL, "p", 2_000_000, true);
    let request = crate::support::callers::draft_request();
    // The caller reads only the head of the answer; the engine may run ahead by a bounded number of
    // tokens.
    let (_answer, _connection) = caller.open(fleet.entries[0].listen, request, body).await.unwrap();
    let tokens = || {
        let engines = fleet.engines.values();
        engines.map(|it| it.tokens.load(std::sync::atomic::Ordering::SeqCst)).sum::<u64>()
    };
    let mut before = tokens();
    let has_stopped = crate::support::callers::wait_until(WAIT_TIMEOUT, || {
        let (last, now) = (before, tokens());
        before = now;
        async move { last == now && now > 0 }
    })
    .await;
    expect_that!(
        has_stopped,
        eq(true),
        "the engine goes on generating for a caller that reads nothing"
    );
    expect_that!(tokens(), lt(2_000_000));
}

#[gtest]
#[tokio::test]
async fn foreign_certificate_is_rejected() {
    let fleet = Fleet::start(FleetPlan::default(), launcher()).await;
    let foreign = write_certificates(fleet.folder.path(), "stranger");
    let settings = PeerSettings {
        listen: free_address(),
        authority: foreign.authority,
        certificate: foreign.certificate,
        private_key: foreign.private_key,
    };
    let endpoint = PeerEndpoint::bind(&settings).unwrap();
    let refused = endpoint.connect(fleet.agents[0].listen).await;
    expect_that!(refused, err(matches_pattern!(TransportError::Connection(_))));
    // This peer trusts the fleet's authority but presents a certificate of another one.
    let settings = PeerSettings {
        authority: fleet.folder.path().join("fleet-authority.pem"),
        listen: free_address(),
        ..settings
    };
    let endpoint = PeerEndpoint::bind(&settings).unwrap();
    let link = endpoint.connect(fleet.agents[0].listen).await;
    // The connecting side may see the connection as open until the agent has verified the
    // certificate.
    if let Ok(link) = link {
        let closed = tokio::time::timeout(WAIT_TIMEOUT, link.closed()).await;
        expect_that!(closed.is_ok(), eq(true), "a peer with a foreign certificate stays connected");
    }
}
