//! Tests of refusals that a faulty server wrote for another request, or before it had read any.

use std::{net::SocketAddr, time::Duration};

use bytes::Bytes;
use googletest::prelude::*;
use http::{Request, StatusCode};
use http_body_util::Full;
use serde_json::json;
use tokio::{
    io::AsyncWriteExt,
    net::{TcpListener, TcpStream},
};

use crate::{
    launcher,
    support::{
        gateway::{GatewayProcess, connect, read},
        paced_server::PacedRuns,
        platform_store::FakeStore,
        ports::free_address,
        scripted_server::read_request,
    },
};

/// When the faulty server writes the refusal.
#[derive(Clone, Copy, Debug, PartialEq)]
enum WriteTime {
    /// As the connection opens.
    AtOpening,
    /// When it has read the head of the request, before it runs it.
    BeforeRun,
}

const REFUSALS: [&str; 4] = [
    "421 Misdirected Request\r\n",
    "421 Misdirected Request\r\nNot-Run: 1\r\n",
    "503 Service Unavailable\r\nNot-Run: 1\r\n",
    "429 Too Many Requests\r\nNot-Run: 1\r\n",
];

async fn start_server(text: String, time: WriteTime, runs: PacedRuns) -> SocketAddr {
    let address = free_address();
    let listener = TcpListener::bind(address).await.unwrap();
    tokio::spawn(async move {
        loop {
            let Ok((stream, _)) = listener.accept().await else { continue };
            let (text, runs) = (text.clone(), runs.clone());
            tokio::spawn(async move { serve(stream, &text, time, &runs).await });
        }
    });
    address
}

/// Runs one request and answers it, after an answer that belongs to another one.
async fn serve(mut stream: TcpStream, text: &str, time: WriteTime, runs: &PacedRuns) -> Option<()> {
    if time == WriteTime::AtOpening {
        stream.write_all(text.as_bytes()).await.ok()?;
    }
    let received = read_request(&mut stream).await?;
    let request = received.headers.get("request-id").cloned().unwrap_or_default();
    runs.record(&request);
    if time == WriteTime::BeforeRun {
        stream.write_all(text.as_bytes()).await.ok()?;
    }
    tokio::time::sleep(Duration::from_millis(20)).await;
    let answer = format!(
        "HTTP/1.1 200 OK\r\nRequest-Id: {request}\r\nResponse-Stamp: s\r\nContent-Length: 2\r\n\r\nok"
    );
    stream.write_all(answer.as_bytes()).await.ok()
}

/// Sends a request that may run once, and returns its status and how often it ran.
async fn send(text: &str, time: WriteTime) -> (Option<StatusCode>, usize) {
    let (store, runs) = (FakeStore::start(free_address()).await, PacedRuns::default());
    for id in ["i-1", "i-2"] {
        let address = start_server(text.to_owned(), time, runs.clone()).await;
        let entry = json!({"service": "s", "address": address, "zone": "a", "version": "v1",
            "slots": 12, "state": "ready", "warmup-left-ms": 0, "sequence": 1, "born": 1});
        store.put("keyed.servers", id, Some(&entry));
    }
    let manifest = json!({"version": 3, "routes": [{"name": "r", "hostname": "h.example",
            "path-prefix": "/a/", "kind": "unsafe", "timeout-ms": 6000, "service": "s",
            "max-attempts": 2, "public": true}],
        "services": [{"name": "s", "health-check-path": "/healthz", "max-connections": 100}],
        "limits": {"max-body-bytes": 4096}});
    store.put("keyed.op", "config", Some(&manifest));
    let gateway = GatewayProcess::start(&launcher(), store.fake_server.address, &[]);
    gateway.wait_ready().await;
    let request = Request::post("/a/x")
        .header("host", "h.example")
        .header("request-id", "q-1")
        .body(Full::<Bytes>::from("a body"))
        .unwrap();
    let call =
        async { read(connect(gateway.listen).await?.send_request(request).await.ok()?).await };
    let status = call.await.map(|it| it.0);
    tokio::time::sleep(Duration::from_millis(100)).await;
    (status, runs.all().len())
}

/// Sends a request to servers that run it, and checks that it runs once and its caller is not told
/// otherwise.
async fn expect_no_promise(text: &str, time: WriteTime) {
    let (status, run_count) = send(text, time).await;
    expect_that!(run_count, le(1), "{time:?}: {text}");
    let is_promise = status.is_some_and(|it| matches!(it.as_u16(), 408 | 421 | 429 | 503));
    expect_that!(is_promise && run_count > 0, eq(false), "{time:?}: {text}, {status:?}");
}

/// Guards against a refusal of another request that is believed: its request would run twice, or its
/// caller be told that it has not run.
#[gtest]
#[tokio::test]
async fn refusal_of_another_request_is_not_believed() {
    for time in [WriteTime::BeforeRun, WriteTime::AtOpening] {
        for refusal in REFUSALS {
            let text = format!("HTTP/1.1 {refusal}Request-Id: other\r\nContent-Length: 0\r\n\r\n");
            expect_no_promise(&text, time).await;
        }
    }
}

/// A refusal that names no request may belong to any.
#[gtest]
#[tokio::test]
async fn refusal_without_an_id_is_not_believed() {
    for refusal in REFUSALS {
        let text = format!("HTTP/1.1 {refusal}Content-Length: 0\r\n\r\n");
        for time in [WriteTime::BeforeRun, WriteTime::AtOpening] {
            expect_no_promise(&text, time).await;
        }
    }
}
