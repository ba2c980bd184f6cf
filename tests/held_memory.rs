//! Tests of the memory that gateways hold for callers and servers that read slowly.

use std::{
    sync::{
        Arc,
        atomic::{AtomicUsize, Ordering},
    },
    time::Duration,
};

use alderbay::{
    options::DirectSettings,
    routing::{EndedHolder, HoldKind, HoldOutcome, HoldStage, MemoryLedger, RequestNumber},
    units::{ByteCount, ClientAccount},
};
use bytes::Bytes;
use googletest::prelude::*;
use http::{Request, StatusCode};
use http_body_util::Full;
use proptest::{prelude::*, test_runner::TestRunner};
use serde_json::json;
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::{TcpListener, TcpSocket, TcpStream},
    time::{Instant, sleep, timeout},
};

use crate::{
    launcher, seeded,
    support::{
        gateway::{GatewayProcess, connect, get, read},
        platform_store::FakeStore,
        ports::free_address,
        usage::peak_bytes,
    },
};

/// Memory of the smallest VM on which the users run a gateway.
const VM_MEMORY: u64 = 112 << 20;
/// Time that callers have.
const CALLER_TIMEOUT: Duration = Duration::from_secs(8);
/// Time that callers of streams have: far more than the seconds for which servers leave a response
/// unread.
const STREAM_TIMEOUT: Duration = Duration::from_secs(30);
/// Time after the callers' by which nothing is held for them: seconds for which servers leave a
/// response unread.
const END_SLACK: Duration = Duration::from_secs(4);
/// Time after which a server cuts off a response that is not read.
const UNREAD_TIME: Duration = Duration::from_secs(3);
/// Size of a large body, the most that callers send.
const LARGE_BODY: usize = 4 << 20;

fn account(name: &str) -> Option<ClientAccount> {
    Some(name.parse().unwrap())
}

fn kilobytes(count: u64) -> ByteCount {
    ByteCount(count << 10)
}

/// A ledger in which each request holds a body of so many kilobytes for an account, at a stage.
fn ledger(bound_kb: u64, holders: &[(&str, u64, HoldStage)]) -> MemoryLedger {
    let mut ledger = MemoryLedger::new(kilobytes(bound_kb));
    for (n, (name, held_kb, stage)) in holders.iter().enumerate() {
        let number = RequestNumber(n as u64);
        let admitted = ledger.admit(number, account(name), kilobytes(*held_kb));
        assert_that!(admitted, eq(&HoldOutcome::Held(vec![])));
        let held = ledger.hold(number, HoldKind::RequestBody, kilobytes(*held_kb));
        assert_that!(held, eq(&HoldOutcome::Held(vec![])));
        ledger.set_stage(number, *stage);
    }
    ledger
}

fn ended(number: u64, stage: HoldStage, held_kb: u64) -> EndedHolder {
    EndedHolder { number: RequestNumber(number), stage, held: kilobytes(held_kb) }
}

#[gtest]
fn new_request_is_refused_without_room() {
    let mut ledger = ledger(64, &[("a", 28, HoldStage::Reading), ("b", 32, HoldStage::Delivering)]);
    let refused = ledger.admit(RequestNumber(8), account("c"), kilobytes(8));
    expect_that!(refused, eq(&HoldOutcome::Refused));
    let admitted = ledger.admit(RequestNumber(9), account("c"), kilobytes(4));
    expect_that!(admitted, eq(&HoldOutcome::Held(vec![])));
}

#[gtest]
fn largest_ends_first() {
    let mut ledger = ledger(
        64,
        &[
            ("a", 8, HoldStage::Reading),
            ("b", 24, HoldStage::Delivering),
            ("c", 28, HoldStage::Running),
            ("d", 4, HoldStage::Delivering),
        ],
    );
    let outcome = ledger.hold(RequestNumber(0), HoldKind::RequestBody, kilobytes(12));
    expect_that!(outcome, eq(&HoldOutcome::Held(vec![ended(1, HoldStage::Delivering, 24)])));
    // What was told to end counts as free, and is not told again.
    let outcome = ledger.hold(RequestNumber(0), HoldKind::RequestBody, kilobytes(32));
    expect_that!(outcome, eq(&HoldOutcome::Held(vec![])));
    // The request that needs memory is now the largest itself.
    let outcome = ledger.hold(RequestNumber(0), HoldKind::RequestBody, kilobytes(36));
    expect_that!(outcome, eq(&HoldOutcome::Refused));
    expect_that!(ledger.held(HoldKind::RequestBody), eq(kilobytes(32 + 24 + 28 + 4)));
    ledger.remove(RequestNumber(1));
    expect_that!(ledger.held(HoldKind::RequestBody), eq(kilobytes(64)));
}

#[gtest]
fn idle_callers_end_for_new_requests() {
    let mut ledger = ledger(
        64,
        &[
            ("a", 28, HoldStage::Delivering),
            ("b", 12, HoldStage::Paused),
            ("c", 16, HoldStage::Idle),
            ("d", 8, HoldStage::Delivering),
        ],
    );
    let outcome = ledger.admit(RequestNumber(9), account("e"), kilobytes(4));
    expect_that!(outcome, eq(&HoldOutcome::Held(vec![ended(2, HoldStage::Idle, 16)])));
    let refused = ledger.admit(RequestNumber(10), account("e"), kilobytes(40));
    expect_that!(refused, eq(&HoldOutcome::Refused), "ending all idle ones is not enough");
    let outcome = ledger.admit(RequestNumber(11), account("e"), kilobytes(28));
    expect_that!(outcome, eq(&HoldOutcome::Held(vec![ended(1, HoldStage::Paused, 12)])));
}

#[gtest]
fn account_over_its_part_yields_to_others() {
    let mut ledger = ledger(
        64,
        &[
            ("a", 16, HoldStage::Delivering),
            ("a", 20, HoldStage::Delivering),
            ("b", 28, HoldStage::Delivering),
        ],
    );
    let refused = ledger.admit(RequestNumber(8), account("a"), kilobytes(4));
    expect_that!(refused, eq(&HoldOutcome::Refused), "its own account is over its part");
    // The largest is another account's, which is within its part.
    let outcome = ledger.admit(RequestNumber(9), account("c"), kilobytes(4));
    expect_that!(outcome, eq(&HoldOutcome::Held(vec![ended(1, HoldStage::Delivering, 20)])));
    expect_that!(ledger.held_by(&account("a")), eq(kilobytes(36)));
    ledger.remove(RequestNumber(1));
    expect_that!(ledger.held_by(&account("a")), eq(kilobytes(16)));
}

#[gtest]
fn running_requests_do_not_end() {
    let mut ledger = ledger(64, &[("a", 60, HoldStage::Running), ("b", 4, HoldStage::Reading)]);
    let refused = ledger.admit(RequestNumber(9), account("c"), kilobytes(4));
    expect_that!(refused, eq(&HoldOutcome::Refused));
    let refused = ledger.hold(RequestNumber(1), HoldKind::RequestBody, kilobytes(8));
    expect_that!(refused, eq(&HoldOutcome::Refused));
}

#[gtest]
fn ledger_stays_within_its_bound() {
    const BOUND_KB: u64 = 256;
    let stages = [
        HoldStage::Reading,
        HoldStage::Paused,
        HoldStage::Running,
        HoldStage::Delivering,
        HoldStage::Idle,
    ];
    let step = (0..5u8, 0..12u64, 0..3usize, 0..100u64);
    let steps = proptest::collection::vec(step, 1..200);
    let result = TestRunner::new(seeded(300)).run(&steps, |steps| {
        let mut ledger = MemoryLedger::new(kilobytes(BOUND_KB));
        let mut admitted = std::collections::BTreeSet::new();
        let mut ending = std::collections::BTreeSet::new();
        for (action, number, kind, amount) in steps {
            let owner = account(["a", "b", "c"][number as usize % 3]);
            let number = RequestNumber(number);
            let is_present = admitted.contains(&number);
            let outcome = match action {
                0 if !is_present => {
                    let outcome = ledger.admit(number, owner, kilobytes(amount));
                    if outcome != HoldOutcome::Refused {
                        admitted.insert(number);
                    }
                    outcome
                }
                1 => {
                    ledger.remove(number);
                    admitted.remove(&number);
                    ending.remove(&number);
                    HoldOutcome::Refused
                }
                2 => {
                    ledger.set_stage(number, stages[amount as usize % stages.len()]);
                    HoldOutcome::Refused
                }
                // Requests that were told to end hold no more.
                _ if !is_present || ending.contains(&number) => HoldOutcome::Refused,
                _ => ledger.hold(number, HoldKind::ALL[kind], kilobytes(amount)),
            };
            if let HoldOutcome::Held(ended) = outcome {
                for holder in ended {
                    prop_assert!(holder.number != number, "a request ends for itself");
                    prop_assert!(ending.insert(holder.number), "a request ends twice");
                }
            }
            let held: u64 = HoldKind::ALL.iter().map(|it| ledger.held(*it).0).sum();
            let by_account: u64 =
                ["a", "b", "c"].iter().map(|it| ledger.held_by(&account(it)).0).sum();
            prop_assert_eq!(held, by_account);
            if ending.is_empty() {
                prop_assert!(held <= kilobytes(BOUND_KB).0);
            }
        }
        for number in admitted {
            ledger.remove(number);
        }
        let held: u64 = HoldKind::ALL.iter().map(|it| ledger.held(*it).0).sum();
        prop_assert_eq!(held, 0);
        Ok(())
    });
    assert_that!(result, ok(()));
}

#[gtest]
fn memory_setting_is_checked() {
    let folder = tempfile::tempdir().unwrap();
    let path = folder.path().join("gateway.json");
    let sample = include_str!("../docs/settings-gateway.json");
    let read = |value: &str| {
        let text = sample.replace("\"memory_mb\": 112", &format!("\"memory_mb\": {value}"));
        assert_that!(text.contains(value), eq(true));
        std::fs::write(&path, text).unwrap();
        DirectSettings::read(&path).map(|_| ()).map_err(|it| it.to_string())
    };
    expect_that!(read("512"), ok(()));
    expect_that!(read("64.0"), ok(()));
    for value in ["63", "0", "-112", "\"112\""] {
        let error = read(value).unwrap_err();
        expect_that!(error, contains_substring("role.gateway.memory_mb"), "{value}");
    }
}

/// A server whose answer the path selects. It writes as fast as its caller reads.
#[derive(Clone, Default)]
struct EagerServer {
    begun: Arc<AtomicUsize>,
    closed: Arc<AtomicUsize>,
}

impl EagerServer {
    async fn start(store: &FakeStore, id: &str) -> Self {
        let server = Self::default();
        let address = free_address();
        let listener = TcpListener::bind(address).await.unwrap();
        let entry = json!({"service": "s", "address": address, "zone": "a", "version": "v1",
            "slots": 1000, "state": "ready", "warmup-left-ms": 0, "sequence": 1, "born": 1});
        store.put("keyed.servers", id, Some(&entry));
        let accepting = server.clone();
        tokio::spawn(async move {
            loop {
                let Ok((stream, _)) = listener.accept().await else { continue };
                let server = accepting.clone();
                tokio::spawn(async move {
                    server.answer(stream).await;
                    server.closed.fetch_add(1, Ordering::SeqCst);
                });
            }
        });
        server
    }

    async fn answer(&self, mut stream: TcpStream) -> Option<()> {
        let mut head = Vec::new();
        while !head.ends_with(b"\r\n\r\n") {
            head.push(stream.read_u8().await.ok()?);
        }
        let head = String::from_utf8(head).ok()?;
        let field = |name: &str| {
            let mut lines = head.lines().filter_map(|it| it.split_once(": "));
            lines.find(|it| it.0.eq_ignore_ascii_case(name)).map(|it| it.1.to_owned())
        };
        let length: usize = field("content-length").and_then(|it| it.parse().ok()).unwrap_or(0);
        let id = field("request-id").unwrap_or_default();
        let path = head.split(' ').nth(1)?.to_owned();
        self.begun.fetch_add(1, Ordering::SeqCst);
        let start = format!("HTTP/1.1 200 OK\r\nRequest-Id: {id}\r\nResponse-Stamp: s\r\n");
        if path == "/a/early" {
            stream
                .write_all(format!("{start}Content-Length: 5\r\n\r\nearly").as_bytes())
                .await
                .ok()?;
            let mut rest = vec![0; length];
            stream.read_exact(&mut rest).await.ok()?;
            return Some(());
        }
        if path == "/a/unready" {
            // Reads nothing of the body, and answers nothing.
            sleep(2 * CALLER_TIMEOUT).await;
            return Some(());
        }
        let mut body = vec![0; length];
        stream.read_exact(&mut body).await.ok()?;
        drop(body);
        match path.as_str() {
            "/a/large" => {
                let text = format!("{start}Content-Length: {LARGE_BODY}\r\n\r\n");
                stream.write_all(text.as_bytes()).await.ok()?;
                stream.write_all(&vec![b'x'; LARGE_BODY]).await.ok()?;
            }
            "/st/endless" | "/st/whole" | "/st/cut" => {
                let text = format!(
                    "{start}Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n"
                );
                stream.write_all(text.as_bytes()).await.ok()?;
                let last = if path == "/st/whole" { WHOLE_EVENTS } else { u64::MAX };
                for n in 1..=last {
                    let event = event(n);
                    let chunk = format!("{:x}\r\n{event}\r\n", event.len());
                    let write = stream.write_all(chunk.as_bytes());
                    if path == "/st/cut" {
                        timeout(UNREAD_TIME, write).await.ok()?.ok()?;
                    } else {
                        write.await.ok()?;
                    }
                }
                stream.write_all(b"0\r\n\r\n").await.ok()?;
            }
            _ => {
                let text = format!("{start}Content-Length: 5\r\n\r\nsound");
                stream.write_all(text.as_bytes()).await.ok()?;
            }
        }
        Some(())
    }
}

/// Events of a stream that fits in no buffer on the way.
const WHOLE_EVENTS: u64 = 1_500;

fn event(number: u64) -> String {
    format!("id: {number}\ndata: {}\n\n", "x".repeat(16 << 10))
}

struct TestBed {
    server: EagerServer,
    gateway: GatewayProcess,
    _store: Arc<FakeStore>,
}

impl TestBed {
    async fn start() -> Self {
        let store = Arc::new(FakeStore::start(free_address()).await);
        let route = |name: &str, prefix: &str, kind: &str| {
            json!({"name": name, "hostname": "h.example", "path-prefix": prefix, "kind": kind,
                "timeout-ms": STREAM_TIMEOUT.as_millis() as u64, "target-latency-ms": 4000, "service": "s", "max-attempts": 2,
                "public": false, "resumable": true})
        };
        let manifest = json!({"version": 3,
            "routes": [route("r", "/a/", "safe"), route("t", "/st/", "streaming")],
            "services": [{"name": "s", "health-check-path": "/healthz", "max-connections": 1000}],
            "tenants": [{"name": "acc", "api-keys": ["k1"]}, {"name": "sound", "api-keys": ["k2"]}],
            "limits": {"max-body-bytes": LARGE_BODY}});
        store.put("keyed.op", "config", Some(&manifest));
        let server = EagerServer::start(&store, "i-1").await;
        let gateway = GatewayProcess::start(&launcher(), store.fake_server.address, &[]);
        gateway.wait_ready().await;
        Self { server, gateway, _store: store }
    }

    /// Sends a request whose body has `length` bytes, of which `sent` are sent.
    async fn open(&self, path: &str, length: usize, sent: usize) -> TcpStream {
        let socket = TcpSocket::new_v4().unwrap();
        // The kernel takes little of the answer for a caller that does not read it.
        socket.set_recv_buffer_size(16 << 10).unwrap();
        let mut stream = socket.connect(self.gateway.listen).await.unwrap();
        let head = format!(
            "POST {path} HTTP/1.1\r\nHost: h.example\r\nRequest-Id: q\r\nAuthorization: Token k1\r\n\
             Time-Budget-Ms: {}\r\nContent-Length: {length}\r\n\r\n",
            if path.starts_with("/st/") { STREAM_TIMEOUT } else { CALLER_TIMEOUT }.as_millis()
        );
        let _ = stream.write_all(head.as_bytes()).await;
        let _ = stream.write_all(&vec![b'x'; sent]).await;
        stream
    }

    /// A caller of another account that sends and reads at once.
    async fn send_sound(&self, path: &str, length: usize) -> Option<(StatusCode, String)> {
        let request = Request::post(path)
            .header("host", "h.example")
            .header("request-id", "sound")
            .header("time-budget-ms", CALLER_TIMEOUT.as_millis().to_string())
            .header("authorization", "Token k2")
            .body(Full::<Bytes>::from(vec![b'x'; length]))
            .unwrap();
        let answer = connect(self.gateway.listen).await?.send_request(request).await.ok()?;
        read(answer).await
    }

    async fn held(&self, kind: &str) -> u64 {
        let metrics = get(self.gateway.admin, "/metrics").await.unwrap().1;
        let name = format!("alderbay_memory_held_{kind} ");
        metrics.lines().find_map(|it| it.strip_prefix(&name)?.parse().ok()).unwrap_or(0)
    }

    /// Waits until the gateway holds nothing of a kind. Returns whether that is so in time.
    async fn wait_released(&self, kind: &str, max_wait: Duration) -> bool {
        let deadline = Instant::now() + max_wait;
        while self.held(kind).await > 0 {
            if Instant::now() > deadline {
                return false;
            }
            sleep(Duration::from_millis(100)).await;
        }
        true
    }

    fn check_memory(&self) {
        let peak = peak_bytes(self.gateway.child.id());
        println!("{} MB at most", peak >> 20);
        expect_that!(peak, lt(VM_MEMORY));
    }
}

/// Reads the status of an answer.
async fn read_status(stream: &mut TcpStream) -> Option<String> {
    let mut head = [0; 12];
    timeout(CALLER_TIMEOUT, stream.read_exact(&mut head)).await.ok()?.ok()?;
    Some(String::from_utf8_lossy(&head[9..]).into_owned())
}

#[gtest]
#[tokio::test]
async fn unread_stream_is_broken_off() {
    let bed = TestBed::start().await;
    let mut callers = Vec::new();
    for _ in 0..24 {
        callers.push(bed.open("/st/endless", 0, 0).await);
    }
    let total = |it: &AtomicUsize| it.load(Ordering::SeqCst);
    let started = Instant::now();
    // Servers are not kept until the callers' time is over.
    let deadline = started + STREAM_TIMEOUT * 2 / 3;
    while total(&bed.server.closed) < 24 && Instant::now() < deadline {
        sleep(Duration::from_millis(100)).await;
    }
    println!("streams broken off within {} ms", started.elapsed().as_millis());
    expect_that!(total(&bed.server.closed), eq(24), "servers are kept waiting");
    expect_that!(total(&bed.server.begun), eq(24), "a stream was asked for again");
    expect_that!(bed.send_sound("/a/x", 4).await, some(eq(&(StatusCode::OK, "sound".into()))));
    expect_that!(bed.wait_released("relay", END_SLACK).await, eq(true));
    for caller in &mut callers {
        let mut rest = Vec::new();
        let read = timeout(END_SLACK, caller.read_to_end(&mut rest)).await;
        // A stream without chunks would look complete at an orderly end.
        expect_that!(read.is_ok_and(|it| it.is_err()), eq(true), "the connection is not reset");
        expect_that!(rest.ends_with(b"0\r\n\r\n"), eq(false), "the stream looks complete");
    }
    let log = bed.gateway.log_text();
    expect_that!(log, not(contains_substring("for memory")), "streams hold more than their part");
    bed.check_memory();
}

#[gtest]
#[tokio::test]
async fn server_is_not_blamed_for_a_slow_caller() {
    let bed = TestBed::start().await;
    let mut caller = bed.open("/st/cut", 0, 0).await;
    let deadline = Instant::now() + CALLER_TIMEOUT;
    while bed.server.closed.load(Ordering::SeqCst) == 0 && Instant::now() < deadline {
        sleep(Duration::from_millis(100)).await;
    }
    let mut text = Vec::new();
    let _ = timeout(CALLER_TIMEOUT, caller.read_to_end(&mut text)).await.unwrap();
    expect_that!(text.ends_with(b"0\r\n\r\n"), eq(false), "the stream looks complete");
    expect_that!(bed.server.begun.load(Ordering::SeqCst), eq(1), "a second server was asked");
    // Log lines are written by a thread of their own.
    let deadline = Instant::now() + END_SLACK;
    while !bed.gateway.log_text().contains("attempt ended") && Instant::now() < deadline {
        sleep(Duration::from_millis(50)).await;
    }
    let log = bed.gateway.log_text();
    expect_that!(log, contains_substring("\"result\":\"abandoned\""));
    expect_that!(log, not(contains_substring("\"result\":\"lost\"")));
}

#[gtest]
#[tokio::test]
async fn slow_caller_gets_the_whole_stream() {
    let bed = TestBed::start().await;
    let mut caller = bed.open("/st/whole", 0, 0).await;
    // Longer than any time after which a silent server is given up, shorter than servers bear.
    sleep(Duration::from_millis(2_500)).await;
    let mut text = Vec::new();
    let mut piece = vec![0; 256 << 10];
    while !text.ends_with(b"0\r\n\r\n") {
        let length = timeout(CALLER_TIMEOUT, caller.read(&mut piece)).await.unwrap().unwrap_or(0);
        if length == 0 {
            break;
        }
        text.extend_from_slice(&piece[..length]);
    }
    expect_that!(text.ends_with(b"0\r\n\r\n"), eq(true), "the stream is not complete");
    let text = String::from_utf8(text).unwrap();
    let ids: Vec<u64> =
        text.lines().filter_map(|it| it.strip_prefix("id: ")?.parse().ok()).collect();
    expect_that!(ids, eq(&(1..=WHOLE_EVENTS).collect::<Vec<_>>()));
    expect_that!(bed.server.begun.load(Ordering::SeqCst), eq(1), "a second server was asked");
    bed.check_memory();
}

#[gtest]
#[tokio::test]
async fn unread_answers_end_within_the_memory() {
    const CALLERS: usize = 40;
    let bed = TestBed::start().await;
    let mut callers = Vec::new();
    for _ in 0..CALLERS {
        let mut caller = bed.open("/a/large", 0, 0).await;
        expect_that!(read_status(&mut caller).await, some(eq("200")));
        callers.push(caller);
    }
    expect_that!(bed.send_sound("/a/x", 4).await, some(eq(&(StatusCode::OK, "sound".into()))));
    let sound = bed.send_sound("/a/large", 4).await.map(|it| (it.0, it.1.len()));
    expect_that!(sound, some(eq((StatusCode::OK, LARGE_BODY))));
    expect_that!(bed.gateway.log_text(), contains_substring("request ended for memory"));
    expect_that!(bed.wait_released("answer", CALLER_TIMEOUT + END_SLACK).await, eq(true));
    let mut whole = 0;
    for caller in &mut callers {
        let mut rest = Vec::new();
        let read = timeout(Duration::from_secs(1), caller.read_to_end(&mut rest)).await;
        // The kernel may have taken the whole answer before its caller counted as idle. Only then
        // is the connection kept.
        let body_start = rest.windows(4).position(|it| it == b"\r\n\r\n").map_or(0, |it| it + 4);
        let is_whole = rest.len() - body_start == LARGE_BODY;
        expect_that!(read.is_ok(), eq(!is_whole), "{} bytes", rest.len());
        whole += usize::from(is_whole);
    }
    expect_that!(whole, lt(CALLERS / 2));
    bed.check_memory();
}

#[gtest]
#[tokio::test]
async fn unsent_bodies_stay_within_the_memory() {
    const CALLERS: usize = 40;
    let bed = TestBed::start().await;
    let mut callers = Vec::new();
    for _ in 0..CALLERS {
        // What is missing never comes.
        callers.push(bed.open("/a/x", LARGE_BODY, LARGE_BODY - 1).await);
    }
    expect_that!(bed.send_sound("/a/x", 4).await, some(eq(&(StatusCode::OK, "sound".into()))));
    let mut refused = 0;
    for caller in &mut callers {
        let mut answer = vec![0; 1_024];
        let Ok(Ok(length)) = timeout(Duration::from_millis(200), caller.read(&mut answer)).await
        else {
            continue;
        };
        let answer = String::from_utf8_lossy(&answer[..length]).to_ascii_lowercase();
        expect_that!(answer, contains_substring(" 503 "));
        expect_that!(answer, contains_substring("retry-after: "));
        refused += 1;
    }
    // Half of the VM's memory holds fourteen bodies.
    expect_that!(refused, ge(CALLERS - 14));
    expect_that!(bed.server.begun.load(Ordering::SeqCst), eq(1), "a refused request ran");
    // The account's own callers are served as well, once the others have sent nothing for a while.
    let mut own = bed.open("/a/x", 4, 4).await;
    expect_that!(read_status(&mut own).await, some(eq("200")));
    bed.check_memory();
    drop(callers);
    expect_that!(bed.wait_released("request_body", END_SLACK).await, eq(true));
}

#[gtest]
#[tokio::test]
async fn new_body_is_refused_before_it_is_read() {
    const CALLERS: usize = 20;
    let bed = TestBed::start().await;
    let mut callers = Vec::new();
    for _ in 0..CALLERS {
        callers.push(bed.open("/a/unready", LARGE_BODY, LARGE_BODY).await);
    }
    // The first fourteen run, so that they cannot be refused any more.
    let deadline = Instant::now() + END_SLACK;
    while bed.server.begun.load(Ordering::SeqCst) < 10 && Instant::now() < deadline {
        sleep(Duration::from_millis(50)).await;
    }
    sleep(Duration::from_millis(500)).await;
    let mut late = bed.open("/a/x", LARGE_BODY, 0).await;
    expect_that!(read_status(&mut late).await, some(eq("503")));
    bed.check_memory();
}

#[gtest]
#[tokio::test]
async fn early_answer_reaches_its_caller() {
    let bed = TestBed::start().await;
    for _ in 0..3 {
        let answer = bed.send_sound("/a/early", LARGE_BODY).await;
        expect_that!(answer, some(eq(&(StatusCode::OK, "early".into()))));
    }
    expect_that!(bed.server.begun.load(Ordering::SeqCst), eq(3));
    expect_that!(bed.wait_released("request_body", END_SLACK).await, eq(true));
}
