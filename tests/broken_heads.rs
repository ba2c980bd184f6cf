//! Tests of answers that break off at each of their bytes: their callers get the whole answer, a
//! failure of the gateway's own, or a visible break.

use std::{net::SocketAddr, time::Duration};

use bytes::Bytes;
use futures_util::{StreamExt, stream};
use googletest::prelude::*;
use http::Request;
use http_body_util::{BodyExt, Full};
use serde_json::json;
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::TcpStream,
};

use crate::{
    launcher,
    support::{
        cut_server::{self, CutEnd, CutScript, CutScripts},
        gateway::{GatewayProcess, connect},
        platform_store::FakeStore,
        ports::free_address,
    },
};

/// Time of callers whose servers fall silent: short enough to wait for in vain.
const SILENT_TIME: Duration = Duration::from_millis(700);
/// Time of all other callers, who don't need it.
const CALLER_TIME: Duration = Duration::from_secs(8);
/// Number of requests at once.
const CONCURRENCY: usize = 300;
const BODY: &str = "a body of 20 bytes..";
const OWN: &str = "Request-Id: {id}\r\nResponse-Stamp: s\r\n";
const STREAM: &str = "Content-Type: text/event-stream\r\n";
const ENDS: [CutEnd; 3] = [CutEnd::Close, CutEnd::Reset, CutEnd::Silence];

/// How an answer tells where its body ends.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum BodyFraming {
    Length,
    Chunks,
    /// The end of the connection.
    Connection,
}

/// A whole answer as its server would write it.
#[derive(Clone, Debug)]
struct WholeAnswer {
    text: String,
    /// Length of the head, with interim responses before it.
    head_bytes: usize,
    framing: BodyFraming,
}

/// What a caller got.
#[derive(Debug, PartialEq)]
struct CallerAnswer {
    status: u16,
    text: String,
    /// Whether the answer looked complete.
    is_complete: bool,
}

fn whole_answer(version: &str, interim: &str, head: &str, body: &[&str]) -> WholeAnswer {
    let head = format!("{interim}{version} 200 OK\r\n{OWN}{head}");
    let whole: String = body.concat();
    let (head, body, framing) = if head.contains("chunked") {
        let chunk = |it: &&str| format!("{:x}\r\n{it}\r\n", it.len());
        let chunks: String = body.iter().map(chunk).collect();
        let trailer = if head.contains("Trailer") { "X-Sum: 1\r\n" } else { "" };
        (format!("{head}\r\n"), format!("{chunks}0\r\n{trailer}\r\n"), BodyFraming::Chunks)
    } else if head.contains("Length") {
        (format!("{head}Content-Length: {}\r\n\r\n", whole.len()), whole, BodyFraming::Length)
    } else {
        (format!("{head}\r\n"), whole, BodyFraming::Connection)
    };
    let head = head.replace("X-Framing: Length\r\n", "");
    WholeAnswer { head_bytes: head.len(), text: head + &body, framing }
}

const LENGTH: &str = "X-Framing: Length\r\n";
const CHUNKED: &str = "Transfer-Encoding: chunked\r\n";
const INTERIM: &str = "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 103 Early Hints\r\nLink: </x>\r\n\r\n";

/// The same body in each form that the protocol knows.
fn whole_answers(head: &str, body: &[&str]) -> Vec<WholeAnswer> {
    let with = |framing: &str| format!("{framing}{head}");
    vec![
        whole_answer("HTTP/1.1", "", &with(LENGTH), body),
        whole_answer("HTTP/1.1", "", &with(CHUNKED), body),
        whole_answer(
            "HTTP/1.1",
            "",
            &with("Trailer: X-Sum\r\nTransfer-Encoding: chunked\r\n"),
            body,
        ),
        whole_answer("HTTP/1.1", "", head, body),
        whole_answer("HTTP/1.0", "", head, body),
        whole_answer("HTTP/1.0", "", &with(LENGTH), body),
        whole_answer("HTTP/1.1", INTERIM, &with(LENGTH), body),
        whole_answer("HTTP/1.1", INTERIM, head, body),
    ]
}

/// A gateway before three servers with scripts.
struct CutSite {
    scripts: CutScripts,
    gateway: GatewayProcess,
    // The servers register there.
    _store: FakeStore,
}

async fn start_site() -> CutSite {
    let (store, scripts) = (FakeStore::start(free_address()).await, CutScripts::default());
    for id in ["i-1", "i-2", "i-3"] {
        cut_server::start(&store, id, &scripts).await;
    }
    let route = |name: &str, kind: &str, is_resumable: bool| {
        json!({"name": name, "hostname": "h.example", "path-prefix": format!("/{name}/"),
            "kind": kind, "timeout-ms": 8000, "target-latency-ms": 150, "service": "s",
            "max-attempts": 2, "public": true, "resumable": is_resumable})
    };
    let routes = [
        route("safe", "safe", false),
        route("unsafe", "unsafe", false),
        route("stream", "streaming", true),
        route("single", "streaming", false),
    ];
    let manifest = json!({"version": 3, "routes": routes,
        "services": [{"name": "s", "health-check-path": "/healthz", "max-connections": 4000}],
        "limits": {"max-body-bytes": 4096}});
    store.put("keyed.op", "config", Some(&manifest));
    let gateway = GatewayProcess::start(&launcher(), store.fake_server.address, &[]);
    gateway.wait_ready().await;
    CutSite { scripts, gateway, _store: store }
}

/// Sends a request to a route. `None` if its connection ends without the head of an answer.
async fn send(
    gateway: SocketAddr,
    (route, script, end): (&str, usize, CutEnd),
) -> Option<CallerAnswer> {
    let time = match end {
        CutEnd::Silence => SILENT_TIME,
        CutEnd::Close | CutEnd::Reset => CALLER_TIME,
    };
    let request = Request::post(format!("/{route}/{script}"))
        .header("host", "h.example")
        .header("request-id", format!("{route}-{script}"))
        .header("time-budget-ms", time.as_millis().to_string())
        .body(Full::<Bytes>::from("a body"))
        .unwrap();
    let answer = connect(gateway).await?.send_request(request).await.ok()?;
    let (status, mut body) = (answer.status().as_u16(), answer.into_body());
    let mut text = String::new();
    loop {
        let is_complete = match body.frame().await {
            Some(Ok(frame)) => {
                text.push_str(&String::from_utf8_lossy(&frame.into_data().unwrap_or_default()));
                continue;
            }
            Some(Err(_)) => false,
            None => true,
        };
        return Some(CallerAnswer { status, text, is_complete });
    }
}

/// Plays all cases, each with what it must not break, and returns the number of cases.
async fn play<T>(
    site: &CutSite,
    cases: Vec<((&'static str, usize, CutEnd), T)>,
    check: impl Fn(&T, Option<CallerAnswer>),
) -> usize {
    let gateway = site.gateway.listen;
    let count = cases.len();
    let answers = stream::iter(cases)
        .map(|(request, case)| async move { (case, send(gateway, request).await) });
    let mut answers = std::pin::pin!(answers.buffer_unordered(CONCURRENCY));
    while let Some((case, answer)) = answers.next().await {
        check(&case, answer);
    }
    count
}

/// Guards against a short or empty body that looks whole since its server stopped in the middle of it
/// or of its head.
#[gtest]
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn plain_answer_cut_at_each_byte_is_no_success() {
    let site = start_site().await;
    let mut cases = Vec::new();
    for (n, answer) in whole_answers("Content-Type: text/plain\r\n", &[&BODY[..11], &BODY[11..]])
        .into_iter()
        .enumerate()
    {
        for (route, end) in
            ["safe", "unsafe", "stream"].into_iter().flat_map(|route| ENDS.map(|end| (route, end)))
        {
            for cut in 0..=answer.text.len() {
                // A body that ends with its connection is whole wherever the server closes it, once it has begun.
                let is_unframed = answer.framing == BodyFraming::Connection;
                if is_unframed
                    && end == CutEnd::Close
                    && cut > answer.head_bytes
                    && cut < answer.text.len()
                {
                    continue;
                }
                let is_whole = cut == answer.text.len()
                    && match end {
                        CutEnd::Close => true,
                        CutEnd::Reset | CutEnd::Silence => !is_unframed,
                    };
                let script = CutScript::new(answer.text[..cut].to_owned(), end);
                let request = (route, site.scripts.add(vec![script]), end);
                cases.push((request, (n, route, end, cut, is_whole)));
            }
        }
    }
    let count = play(&site, cases, |case, answer| {
        let (_, route, end, _, is_whole) = *case;
        // A stream route's plain answer has no whole event, which the gateway may refuse.
        let must_succeed = is_whole && route != "stream";
        match answer {
            Some(CallerAnswer { status: 200, text, is_complete: true }) => {
                expect_that!(is_whole, eq(true), "{case:?}: {text:?}");
                expect_that!(text, eq(BODY), "{case:?}");
            }
            Some(CallerAnswer { status, .. }) if status >= 500 => {
                expect_that!(must_succeed && end == CutEnd::Close, eq(false), "{case:?}: {status}");
            }
            Some(CallerAnswer { status: 200, .. }) | None => {
                expect_that!(must_succeed, eq(false), "{case:?} broke off");
            }
            Some(other) => fail!("{case:?}: {other:?}").unwrap(),
        }
    })
    .await;
    println!("{count} cases");
}

fn event(n: usize) -> String {
    format!("id: {n}\ndata: piece {n}\n\n")
}

/// Guards against streams that look complete without their last event, at the first attempt and at the
/// one that resumes the stream.
#[gtest]
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn stream_cut_at_each_byte_is_not_complete() {
    let site = start_site().await;
    let events = [event(1), event(2), event(3)];
    let all = events.concat();
    let first: Vec<&str> = events.iter().map(String::as_str).collect();
    let begun = whole_answer("HTTP/1.1", "", &format!("{CHUNKED}{STREAM}"), &first[..1]);
    let begun = begun.text.strip_suffix("0\r\n\r\n").unwrap().to_owned();
    let mut cases = Vec::new();
    for (route, is_resumed) in [("stream", false), ("single", false), ("stream", true)] {
        let body = if is_resumed { &first[1..] } else { &first[..] };
        for (n, answer) in whole_answers(STREAM, body).into_iter().enumerate() {
            for (end, cut) in
                ENDS.into_iter().flat_map(|end| (0..=answer.text.len()).map(move |cut| (end, cut)))
            {
                let is_unframed = answer.framing == BodyFraming::Connection;
                // Without length and chunks the stream is whole after each event.
                let sent = answer.text[..cut].get(answer.head_bytes..).unwrap_or_default();
                let is_whole = match end {
                    CutEnd::Close if is_unframed => sent.ends_with("\n\n"),
                    CutEnd::Close | CutEnd::Reset | CutEnd::Silence if is_unframed => false,
                    CutEnd::Close | CutEnd::Reset | CutEnd::Silence => cut == answer.text.len(),
                };
                let script = CutScript::new(answer.text[..cut].to_owned(), end);
                let number = if is_resumed {
                    let first = CutScript::new(begun.clone(), CutEnd::Close);
                    site.scripts.add(vec![first, script])
                } else {
                    site.scripts.add(vec![script])
                };
                cases.push(((route, number, end), (n, route, is_resumed, end, cut, is_whole)));
            }
        }
    }
    let count = play(&site, cases, |case, answer| {
        let (_, _, _, end, _, is_whole) = *case;
        match answer {
            Some(CallerAnswer { status: 200, text, is_complete }) => {
                expect_that!(all.starts_with(&text), eq(true), "{case:?}: {text:?}");
                expect_that!(
                    text.is_empty() || text.ends_with("\n\n"),
                    eq(true),
                    "{case:?}: {text:?}"
                );
                expect_that!(is_complete && !is_whole, eq(false), "{case:?}: {text:?}");
                expect_that!(is_complete && text.is_empty(), eq(false), "{case:?}");
            }
            Some(CallerAnswer { status, .. }) if status >= 500 => {
                expect_that!(is_whole && end == CutEnd::Close, eq(false), "{case:?}: {status}");
            }
            None => expect_that!(is_whole, eq(false), "{case:?} broke off"),
            Some(other) => fail!("{case:?}: {other:?}").unwrap(),
        }
    })
    .await;
    println!("{count} cases");
}

/// Answers that no server of the protocol writes, or that break off beside a head's end.
fn odd_answers() -> Vec<String> {
    let ok = format!("HTTP/1.1 200 OK\r\n{OWN}");
    vec![
        // No blank line, a body in its place, a header line that goes on in the next one.
        format!("{ok}Content-Length: 1"),
        format!("{ok}Content-Length: 1\r\n"),
        format!("{ok}Content-Length: 1\r\n{BODY}"),
        format!("{ok}Content-Length: 1\r\n 8\r\n\r\n{BODY}"),
        format!("{ok}Content-Length: 1\n"),
        // Lengths that never come, disagree or cannot be read.
        format!("{ok}Content-Length: 99999\r\n\r\n{BODY}"),
        format!("{ok}Content-Length: 99999999999999999999999999\r\n\r\n{BODY}"),
        format!("{ok}Content-Length: 20\r\nContent-Length: 2\r\n\r\n{BODY}"),
        format!("{ok}Content-Length: 20, 2\r\n\r\n{BODY}"),
        format!("{ok}Content-Length: -1\r\n\r\n{BODY}"),
        format!("{ok}Content-Length: 2x\r\n\r\n{BODY}"),
        format!("{ok}Content-Length: \r\n\r\n{BODY}"),
        // Chunks that cannot be read or never end.
        format!("{ok}Transfer-Encoding: chunked\r\n\r\n"),
        format!("{ok}Transfer-Encoding: chunked\r\n\r\n14\r\n{BODY}\r\n"),
        format!("{ok}Transfer-Encoding: chunked\r\n\r\n14\r\n{BODY}\r\n0\r\n"),
        format!("{ok}Transfer-Encoding: chunked\r\n\r\n14\r\n{BODY}\r\n0\r\nX-Sum: 1\r\n"),
        format!("{ok}Transfer-Encoding: chunked\r\n\r\nxyz\r\n{BODY}\r\n0\r\n\r\n"),
        format!("{ok}Transfer-Encoding: chunked\r\n\r\n\r\n0\r\n\r\n"),
        format!("{ok}Transfer-Encoding: chunked\r\n\r\nffffffffffffffffff\r\n{BODY}"),
        format!("{ok}Transfer-Encoding: chunked\r\n\r\n15\r\n{BODY}\r\n0\r\n\r\n"),
        format!("{ok}Transfer-Encoding: chunked\r\nContent-Length: 2\r\n\r\n14\r\n{BODY}\r\n"),
        // Codings that were not asked for.
        format!("{ok}Transfer-Encoding: gzip\r\n\r\n{BODY}"),
        format!("{ok}Transfer-Encoding: gzip, chunked\r\n\r\n14\r\n{BODY}\r\n0\r\n\r\n"),
        // Nothing but a head, and interim responses alone.
        format!("{ok}\r\n"),
        format!("HTTP/1.0 200 OK\r\n{OWN}\r\n"),
        INTERIM.to_owned(),
        format!("HTTP/1.1 103 Early Hints\r\n{OWN}Content-Length: 20\r\n\r\n{BODY}"),
        format!("HTTP/1.1 101 Switching Protocols\r\n{OWN}\r\n"),
        format!(
            "HTTP/1.1 101 Switching Protocols\r\n{OWN}Upgrade: x\r\nConnection: upgrade\r\n\r\n"
        ),
        // No HTTP, and an older one.
        BODY.to_owned(),
        format!("HTTP/0.9 200 OK\r\n{OWN}\r\n{BODY}"),
        format!("HTTP/2.0 200 OK\r\n{OWN}\r\n{BODY}"),
        format!("HTTP/1.1 200\r\nResponse-Stamp: s\r\nRequest-Id: {{id}}"),
    ]
}

/// Guards against answers that look whole although their server wrote no whole one.
#[gtest]
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn odd_answers_are_no_success() {
    let site = start_site().await;
    let mut cases = Vec::new();
    for text in odd_answers() {
        for (route, end) in ["safe", "unsafe", "stream", "single"]
            .into_iter()
            .flat_map(|route| ENDS.map(|end| (route, end)))
        {
            for typed in [false, true] {
                let text =
                    if typed { text.replace(OWN, &format!("{OWN}{STREAM}")) } else { text.clone() };
                let script = CutScript::new(text.clone(), end);
                let request = (route, site.scripts.add(vec![script]), end);
                cases.push((request, (route, end, text)));
            }
        }
    }
    let count = play(&site, cases, |case, answer| {
        let Some(answer) = answer else { return };
        let is_failure = answer.status >= 500 || !answer.is_complete;
        expect_that!(is_failure, eq(true), "{case:?}: {answer:?}");
    })
    .await;
    println!("{count} cases");
}

/// Guards against an answer whose status is none, which reached its caller. One that may be repeated
/// is answered by the next server.
#[gtest]
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn answer_with_invalid_status_reaches_no_caller() {
    let site = start_site().await;
    let mut cases = Vec::new();
    let invalid = ["000", "001", "099", "600", "777", "999", "1000", "0", "20", "-1", "2x0", "OK"];
    for status in invalid {
        for framing in
            ["Content-Length: 20\r\n\r\n", "\r\n", "Not-Run: 1\r\nContent-Length: 20\r\n\r\n"]
        {
            for typed in ["", STREAM] {
                let text = format!("HTTP/1.1 {status} Odd\r\n{OWN}{typed}{framing}{BODY}");
                let odd = CutScript::new(text.clone(), CutEnd::Close);
                for route in ["safe", "unsafe", "stream", "single"] {
                    let script = site.scripts.add(vec![odd.clone()]);
                    cases.push(((route, script, CutEnd::Close), (route, text.clone(), false)));
                }
                let sound = format!("HTTP/1.1 200 OK\r\n{OWN}Content-Length: 20\r\n\r\n{BODY}");
                let sound = CutScript::new(sound, CutEnd::Close);
                let script = site.scripts.add(vec![odd, sound]);
                cases.push((("safe", script, CutEnd::Close), ("safe", text, true)));
            }
        }
    }
    let count = play(&site, cases, |case, answer| {
        let Some(answer) = answer else { panic!("{case:?}: no answer") };
        let is_own_failure = (500..=599).contains(&answer.status) && !answer.text.contains(BODY);
        let is_next_answer = case.2 && answer.status == 200 && answer.text == BODY;
        expect_that!(is_own_failure || is_next_answer, eq(true), "{case:?}: {answer:?}");
    })
    .await;
    println!("{count} cases");
}

/// Guards against a stream that breaks off and looks complete to a caller that reads to the end of its
/// connection.
#[gtest]
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn broken_stream_is_reset_for_callers_without_chunks() {
    let site = start_site().await;
    let events = event(1);
    let begun = whole_answer("HTTP/1.1", "", &format!("{CHUNKED}{STREAM}"), &[&events]);
    let begun = begun.text.strip_suffix("0\r\n\r\n").unwrap().to_owned();
    for route in ["stream", "single"] {
        let first = CutScript::new(begun.clone(), CutEnd::Close);
        let odd = CutScript::new("odd".to_owned(), CutEnd::Close);
        let script = site.scripts.add(vec![first, odd]);
        let mut stream = TcpStream::connect(site.gateway.listen).await.unwrap();
        let request = format!(
            "POST /{route}/{script} HTTP/1.0\r\nHost: h.example\r\nRequest-Id: old-{route}\r\n\
             Time-Budget-Ms: 700\r\nContent-Length: 0\r\n\r\n"
        );
        stream.write_all(request.as_bytes()).await.unwrap();
        let mut text = Vec::new();
        let read = stream.read_to_end(&mut text).await;
        let text = String::from_utf8_lossy(&text);
        let looks_whole = read.is_ok() && text.contains(" 200 ") && !text.contains("chunked");
        expect_that!(looks_whole, eq(false), "{route}: {text}");
    }
}
