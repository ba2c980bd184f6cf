//! Tests of streams that had begun and whose next server answers with something else than their rest.

use std::time::Duration;

use bytes::Bytes;
use googletest::prelude::*;
use http::Request;
use http_body_util::{BodyExt, Full};
use hyper::body::Incoming;
use serde_json::json;

use crate::{
    launcher,
    support::{
        gateway::{GatewayProcess, connect},
        paced_server::{self, PacedRuns, StreamPace},
        platform_store::FakeStore,
        ports::free_address,
    },
};

const EVENTS: u32 = 20;
const CUT_AFTER: u32 = 8;
const GAP: Duration = Duration::from_millis(5);

/// What a caller got of a stream, and whether it looked complete.
async fn read_stream(mut body: Incoming) -> (String, bool) {
    let mut text = String::new();
    loop {
        match body.frame().await {
            None => return (text, true),
            Some(Err(_)) => return (text, false),
            Some(Ok(frame)) => {
                let data = frame.into_data().unwrap_or_default();
                text.push_str(&String::from_utf8_lossy(&data));
            }
        }
    }
}

async fn send(gateway: &GatewayProcess) -> (String, bool) {
    let request = Request::post("/a/x")
        .header("host", "h.example")
        .header("request-id", "q-1")
        .header("time-budget-ms", "3000")
        .body(Full::<Bytes>::from("a body"))
        .unwrap();
    let mut sender = connect(gateway.listen).await.unwrap();
    read_stream(sender.send_request(request).await.unwrap().into_body()).await
}

fn events(range: std::ops::RangeInclusive<u32>) -> String {
    range.map(|n| format!("id: {n}\ndata: piece {n}\n\n")).collect()
}

const OWN: &str = "Request-Id: {id}\r\nResponse-Stamp: s\r\n";
const STREAM: &str = "Content-Type: text/event-stream\r\n";

/// Answers of the next server that are no rest of the stream.
fn odd_answers() -> Vec<String> {
    let error = "id: 9\ndata: an error\n\n";
    let length = error.len();
    let with_length = format!("Content-Length: {length}\r\n\r\n{error}");
    let chunked = format!("Transfer-Encoding: chunked\r\n\r\n{length:x}\r\n{error}\r\n0\r\n\r\n");
    let mut answers = Vec::new();
    for status in [
        "301 Moved",
        "400 Bad Request",
        "404 Not Found",
        "500 Error",
        "502 Error",
        "503 Unavailable",
        "204 No Content",
        "206 Partial Content",
        "299 Odd",
    ] {
        for rest in [&with_length, &chunked] {
            answers.push(format!("HTTP/1.1 {status}\r\n{OWN}{STREAM}{rest}"));
        }
    }
    let ok = "HTTP/1.1 200 OK\r\n";
    answers.extend([
        // Another type, none, another request, no signature, an encoding.
        format!("{ok}{OWN}Content-Type: application/json\r\n{with_length}"),
        format!("{ok}{OWN}Content-Type: text/plain\r\n{chunked}"),
        format!("{ok}{OWN}{with_length}"),
        format!("{ok}Request-Id: other\r\nResponse-Stamp: s\r\n{STREAM}{with_length}"),
        format!("{ok}Request-Id: {{id}}\r\n{STREAM}{with_length}"),
        format!("{ok}{OWN}{STREAM}Content-Encoding: gzip\r\n{with_length}"),
        // A head that breaks off, one without a body, a body that breaks off inside an event.
        format!("{ok}{OWN}"),
        format!("{ok}{OWN}{STREAM}\r\n"),
        format!("{ok}{OWN}{STREAM}Content-Length: 900\r\n\r\nid: 9\ndata: an err"),
        format!("{ok}{OWN}Content-Type: application/json\r\nContent-Length: 0\r\n\r\n"),
        "an error".to_owned(),
        String::new(),
    ]);
    answers
}

/// Guards against an error's text in the middle of a stream, and a stream that looks complete although
/// its rest is missing.
#[gtest]
#[tokio::test]
async fn error_is_no_part_of_a_stream() {
    for answer in odd_answers() {
        let (store, runs) = (FakeStore::start(free_address()).await, PacedRuns::default());
        let pace = StreamPace {
            cut_after: Some(CUT_AFTER),
            resume_answer: Some(answer.clone()),
            ..StreamPace::steady(EVENTS, GAP)
        };
        for id in ["i-1", "i-2"] {
            paced_server::start(&store, id, pace.clone(), &runs).await;
        }
        let manifest = json!({"version": 3, "routes": [{"name": "r", "hostname": "h.example",
                "path-prefix": "/a/", "kind": "streaming", "timeout-ms": 8000,
                "target-latency-ms": 400, "service": "s", "max-attempts": 2, "public": true,
                "resumable": true}],
            "services": [{"name": "s", "health-check-path": "/healthz", "max-connections": 100}],
            "limits": {"max-body-bytes": 4096}});
        store.put("keyed.op", "config", Some(&manifest));
        let gateway = GatewayProcess::start(&launcher(), store.fake_server.address, &[]);
        gateway.wait_ready().await;
        let (text, is_complete) = send(&gateway).await;
        expect_that!(text, eq(&events(1..=CUT_AFTER)), "{answer}");
        expect_that!(is_complete, eq(false), "{answer}");
        expect_that!(runs.all().len(), eq(2), "{answer}");
    }
}
