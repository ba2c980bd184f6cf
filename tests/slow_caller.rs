//! Callers that are slow, and peers that do not belong to the fleet.

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

async fn listen(limits: HttpLimits) -> (std::net::SocketAddr, watch::Sender<ListenerPhase>) {
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
async fn slow_head_is_cut_off() {
    let limits = HttpLimits { head_timeout_ms: 200, ..HttpLimits::default() };
    let (address, _phase) = listen(limits).await;
    let mut stream = TcpStream::connect(address).await.unwrap();
    stream.write_all(b"GET / HTTP/1.1\r\nhost").await.unwrap();
    let mut said = Vec::new();
    let ended = tokio::time::timeout(WAIT_TIMEOUT, stream.read_to_end(&mut said)).await;
    expect_that!(ended.is_ok(), eq(true), "the connection is held open");
}

#[gtest]
#[tokio::test]
async fn connections_are_bounded() {
    let limits = HttpLimits { max_connections: 1, head_timeout_ms: 300, ..HttpLimits::default() };
    let (address, _phase) = listen(limits).await;
    let _first = TcpStream::connect(address).await.unwrap();
    let started = tokio::time::Instant::now();
    // The second waits until the first, which says nothing, is cut off.
    let answer = Caller::new("a").send(address, http::Request::get("/"), "").await.unwrap();
    expect_that!(answer.status, eq(200));
    expect_that!(started.elapsed(), ge(Duration::from_millis(100)));
}

#[gtest]
#[tokio::test]
async fn stalled_caller_is_let_go() {
    let fleet = Fleet::start(FleetPlan::default(), launcher()).await;
    for engine in fleet.engines.values() {
        engine.token_ms.store(0, std::sync::atomic::Ordering::SeqCst);
    }
    let caller = Caller::new("dues");
    let body = crate::support::callers::draft_body(MODEL, "p", 2_000_000, true);
    let request = crate::support::callers::draft_request();
    // The head is read, and then nothing more: what the engine may send ahead is bounded.
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
    expect_that!(has_stopped, eq(true), "the engine runs ahead of a caller that takes nothing");
    expect_that!(tokens(), lt(2_000_000));
}

#[gtest]
#[tokio::test]
async fn stranger_gets_in_nowhere() {
    let fleet = Fleet::start(FleetPlan::default(), launcher()).await;
    let stranger = write_certificates(fleet.folder.path(), "stranger");
    let settings = PeerSettings {
        listen: free_address(),
        authority: stranger.authority,
        certificate: stranger.certificate,
        private_key: stranger.private_key,
    };
    let endpoint = PeerEndpoint::bind(&settings).unwrap();
    let refused = endpoint.connect(fleet.agents[0].listen).await;
    expect_that!(refused, err(matches_pattern!(TransportError::Connection(_))));
    // One that trusts the fleet, but shows a certificate of another authority.
    let settings = PeerSettings {
        authority: fleet.folder.path().join("fleet-authority.pem"),
        listen: free_address(),
        ..settings
    };
    let endpoint = PeerEndpoint::bind(&settings).unwrap();
    let link = endpoint.connect(fleet.agents[0].listen).await;
    // The connecting side may believe that it stands until the other has looked at its certificate.
    if let Ok(link) = link {
        let closed = tokio::time::timeout(WAIT_TIMEOUT, link.closed()).await;
        expect_that!(closed.is_ok(), eq(true), "a stranger stays connected");
    }
}
