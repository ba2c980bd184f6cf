//! Tests of servers and stores that send bytes without end, in a head or in a body.

use std::{
    net::SocketAddr,
    sync::{
        Arc,
        atomic::{AtomicUsize, Ordering},
    },
    time::Duration,
};

use bytes::Bytes;
use googletest::prelude::*;
use http::{Request, StatusCode};
use http_body_util::Full;
use serde_json::json;
use tokio::{
    io::AsyncWriteExt,
    net::{TcpListener, TcpStream},
    time::{Instant, timeout},
};

use crate::{
    launcher,
    support::{
        gateway::{GatewayProcess, connect, read},
        platform_store::FakeStore,
        ports::free_address,
        scripted_server::read_request,
        usage::peak_bytes,
    },
};

/// Memory of the smallest VM on which the users run a gateway.
const VM_MEMORY: u64 = 112 << 20;
/// Requests in progress at the same time.
const CALLERS: u32 = 24;
/// Time that callers have.
const CALLER_TIMEOUT: Duration = Duration::from_millis(4_000);

/// A server that sends bytes until its caller closes the connection.
#[derive(Clone, Default)]
struct EndlessServer {
    begun: Arc<AtomicUsize>,
    closed: Arc<AtomicUsize>,
}

impl EndlessServer {
    async fn start(store: &FakeStore, id: &str) -> Self {
        let server = Self::default();
        let address = free_address();
        let listener = TcpListener::bind(address).await.unwrap();
        let entry = json!({"service": "s", "address": address, "zone": "a", "version": "v1",
            "slots": 100, "state": "ready", "warmup-left-ms": 0, "sequence": 1, "born": 1});
        store.put("keyed.servers", id, Some(&entry));
        let accepting = server.clone();
        tokio::spawn(async move {
            loop {
                let Ok((stream, _)) = listener.accept().await else { continue };
                tokio::spawn(accepting.clone().answer(stream));
            }
        });
        server
    }

    async fn answer(self, mut stream: TcpStream) {
        let Some(request) = read_request(&mut stream).await else { return };
        let id = request.headers.get("request-id").cloned().unwrap_or_default();
        let head = |status: &str, framing: &str| {
            format!(
                "HTTP/1.1 {status}\r\nRequest-Id: {id}\r\nResponse-Stamp: s\r\n\
                 Content-Type: text/event-stream\r\n{framing}"
            )
        };
        let chunked = "Transfer-Encoding: chunked\r\n\r\n";
        let chunk = format!("4000\r\n{}\r\n", "x".repeat(0x4000));
        let line = "x".repeat(0x4000);
        let (start, piece) = match request.path.as_str() {
            "/a/head" => (head("200 OK", "X-Endless: "), line),
            "/a/interim" | "/st/interim" => {
                (String::new(), "HTTP/1.1 102 Processing\r\n\r\n".repeat(600))
            }
            "/a/headers" => (head("200 OK", ""), "X-Endless: x\r\n".repeat(1_000)),
            "/a/body" | "/st/event" => (head("200 OK", chunked), chunk),
            "/a/unframed" => (head("200 OK", "\r\n"), line),
            "/a/shed" => {
                (head("503 Service Unavailable", &format!("Not-Run: 1\r\n{chunked}")), chunk)
            }
            path => panic!("unexpected path {path}"),
        };
        self.begun.fetch_add(1, Ordering::SeqCst);
        let _ = stream.write_all(start.as_bytes()).await;
        while stream.write_all(piece.as_bytes()).await.is_ok() {}
        self.closed.fetch_add(1, Ordering::SeqCst);
    }
}

async fn send(gateway: SocketAddr, path: &str, number: u32) -> Option<StatusCode> {
    let request = Request::post(path)
        .header("host", "h.example")
        .header("request-id", format!("q-{number}"))
        .header("time-budget-ms", CALLER_TIMEOUT.as_millis().to_string())
        .header("authorization", "Token k1")
        .body(Full::<Bytes>::from(format!("body {number}")))
        .unwrap();
    let answer = connect(gateway).await?.send_request(request).await.ok()?;
    read(answer).await.map(|it| it.0)
}

async fn start_store() -> Arc<FakeStore> {
    let store = Arc::new(FakeStore::start(free_address()).await);
    let route = |name: &str, prefix: &str, kind: &str| {
        json!({"name": name, "hostname": "h.example", "path-prefix": prefix, "kind": kind,
            "timeout-ms": 4000, "target-latency-ms": 1000, "service": "s", "max-attempts": 2,
            "public": false, "resumable": true})
    };
    let manifest = json!({"version": 3,
        "routes": [route("r", "/a/", "safe"), route("t", "/st/", "streaming")],
        "services": [{"name": "s", "health-check-path": "/healthz", "max-connections": 100}],
        "tenants": [{"name": "acc", "api-keys": ["k1"]}], "limits": {"max-body-bytes": 4096}});
    store.put("keyed.op", "config", Some(&manifest));
    store
}

/// Returns the time until all callers had their answers.
async fn check_endless_answers(path: &'static str, status: StatusCode) -> Duration {
    let store = start_store().await;
    let servers =
        [EndlessServer::start(&store, "i-1").await, EndlessServer::start(&store, "i-2").await];
    let gateway = GatewayProcess::start(&launcher(), store.fake_server.address, &[]);
    gateway.wait_ready().await;
    let started = Instant::now();
    let calls: Vec<_> = (0..CALLERS).map(|n| tokio::spawn(send(gateway.listen, path, n))).collect();
    for call in calls {
        let answer = timeout(CALLER_TIMEOUT, call).await.expect("no answer in time").unwrap();
        expect_that!(answer, some(eq(status)), "{path}");
    }
    let elapsed = started.elapsed();
    let total = |count: fn(&EndlessServer) -> &AtomicUsize| {
        servers.iter().map(|it| count(it).load(Ordering::SeqCst)).sum::<usize>()
    };
    let deadline = Instant::now() + Duration::from_secs(1);
    while total(|it| &it.closed) < total(|it| &it.begun) && Instant::now() < deadline {
        tokio::time::sleep(Duration::from_millis(20)).await;
    }
    expect_that!(total(|it| &it.closed), eq(total(|it| &it.begun)), "{path}");
    expect_that!(total(|it| &it.begun), gt(0), "{path}");
    let peak = peak_bytes(gateway.child.id());
    println!("{path}: {} MB at most, answered within {} ms", peak >> 20, elapsed.as_millis());
    expect_that!(peak, lt(VM_MEMORY), "{path}");
    expect_that!(gateway.log_text().contains("\"result\":\"lost\"") || path == "/a/shed", eq(true));
    elapsed
}

const FAILED: StatusCode = StatusCode::BAD_GATEWAY;

#[gtest]
#[tokio::test]
async fn endless_head_ends_the_attempt() {
    check_endless_answers("/a/head", FAILED).await;
    check_endless_answers("/a/headers", FAILED).await;
}

/// Guards against interim responses that hold a call, and the gateway's processor, until the caller's
/// time is over.
#[gtest]
#[tokio::test]
async fn endless_interim_responses_end_the_attempt() {
    for path in ["/a/interim", "/st/interim"] {
        let elapsed = check_endless_answers(path, FAILED).await;
        expect_that!(elapsed, lt(CALLER_TIMEOUT / 2), "{path}");
    }
}

#[gtest]
#[tokio::test]
async fn endless_body_ends_the_attempt() {
    check_endless_answers("/a/body", FAILED).await;
    check_endless_answers("/a/unframed", FAILED).await;
}

#[gtest]
#[tokio::test]
async fn endless_body_without_use_is_not_read() {
    check_endless_answers("/a/shed", StatusCode::SERVICE_UNAVAILABLE).await;
}

#[gtest]
#[tokio::test]
async fn endless_event_ends_the_attempt() {
    check_endless_answers("/st/event", FAILED).await;
}

#[gtest]
#[tokio::test]
async fn endless_answer_of_the_store_is_cut_off() {
    let listener = TcpListener::bind(free_address()).await.unwrap();
    let store = listener.local_addr().unwrap();
    let closed = Arc::new(AtomicUsize::new(0));
    let closed_connections = closed.clone();
    tokio::spawn(async move {
        loop {
            let Ok((mut stream, _)) = listener.accept().await else { continue };
            let closed = closed_connections.clone();
            tokio::spawn(async move {
                let Some(_) = read_request(&mut stream).await else { return };
                let head = "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\n\r\n";
                let _ = stream.write_all(head.as_bytes()).await;
                let piece = vec![b' '; 1 << 20];
                while stream.write_all(&piece).await.is_ok() {
                    tokio::time::sleep(Duration::from_millis(3)).await;
                }
                closed.fetch_add(1, Ordering::SeqCst);
            });
        }
    });
    let gateway = GatewayProcess::start(&launcher(), store, &[]);
    tokio::time::sleep(Duration::from_secs(4)).await;
    let peak = peak_bytes(gateway.child.id());
    println!("store: {} MB at most", peak >> 20);
    expect_that!(peak, lt(VM_MEMORY));
    expect_that!(closed.load(Ordering::SeqCst), gt(0));
}
