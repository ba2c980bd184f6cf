//! Tests of entries that another writer left in the directory of servers: each costs itself only.

use std::{net::SocketAddr, time::Duration};

use alderbay::platform::{decode_catalog, decode_server};
use googletest::prelude::*;
use http::{Request, StatusCode};
use http_body_util::Full;
use proptest::{collection, prelude::*, sample, test_runner::TestRunner};
use serde_json::{Value, json};
use tokio::time::Instant;

use crate::{
    launcher, seeded,
    support::{
        gateway::{GatewayProcess, connect, read},
        platform_store::FakeStore,
        ports::free_address,
        scripted_server::{self, ServerLog},
    },
};

/// Time within which a gateway follows a change of the directory, with the settings' defaults.
const FOLLOW_TIME: Duration = Duration::from_millis(2_000);

fn entry(address: SocketAddr) -> Value {
    json!({"service": "s", "address": address, "zone": "a", "version": "v1", "slots": 12,
        "state": "ready", "warmup-left-ms": 0, "sequence": 1, "born": 1})
}

/// A sound entry with one field replaced by a piece of JSON.
fn with_field(address: SocketAddr, name: &str, text: &str) -> String {
    let mut entry = entry(address);
    entry[name] = json!("@");
    entry.to_string().replace("\"@\"", text)
}

fn nested(depth: usize) -> String {
    format!("{}{}", "[".repeat(depth), "]".repeat(depth))
}

/// Keys and values that name no server to use.
fn odd_entries(address: SocketAddr) -> Vec<(String, Vec<u8>)> {
    let mut values: Vec<Vec<u8>> = vec![
        nested(10_000).into_bytes(),
        "[".repeat(200_000).into_bytes(),
        vec![0xff; 64],
        vec![b'"'; 200_000],
        Vec::from(b"null".as_slice()),
    ];
    let long_text = format!("\"{}\"", "x".repeat(200_000));
    let huge = ["1e999", "-1", "99999999999999999999999999", "1e30", "0.5", "null", "{}"];
    for field in ["slots", "sequence", "born", "warmup-left-ms", "size"] {
        values.extend(huge.map(|it| with_field(address, field, it).into_bytes()));
    }
    for field in ["service", "zone", "state", "group", "address"] {
        let texts = ["7", "\"\"", "\"a b\"", "\"\\u0000\"", &long_text, &nested(10_000)];
        values.extend(texts.map(|it| with_field(address, field, it).into_bytes()));
    }
    for odd in [
        "127.0.0.1:70000",
        "127.0.0.1:-1",
        "127.0.0.1:0",
        "127.0.0.1",
        "0.0.0.0:80",
        "[::]:80",
        "224.0.0.1:80",
        "[ff02::1]:80",
        "255.255.255.255:80",
        "host.example:80",
    ] {
        values.push(with_field(address, "address", &format!("\"{odd}\"")).into_bytes());
    }
    let twice = entry(address).to_string().replace("{", "{\"slots\":1,");
    values.push(twice.into_bytes());
    let keys = ["odd", "odd key", "odd&key=1", "odd#1", "odd%zz", "öd/d", "x"];
    let key = |n: usize| match keys[n % keys.len()] {
        "x" => "x".repeat(200),
        key => format!("{key}{n}"),
    };
    values.into_iter().enumerate().map(|(n, value)| (key(n), value)).collect()
}

async fn send(gateway: &GatewayProcess) -> Option<(StatusCode, String)> {
    let request = Request::post("/a/x")
        .header("host", "h.example")
        .header("request-id", "q-1")
        .header("time-budget-ms", "5000")
        .body(Full::from("a body"))
        .unwrap();
    read(connect(gateway.listen).await?.send_request(request).await.ok()?).await
}

async fn start_store() -> FakeStore {
    let store = FakeStore::start(free_address()).await;
    let manifest = json!({"version": 3, "routes": [{"name": "r", "hostname": "h.example",
            "path-prefix": "/a/", "kind": "safe", "timeout-ms": 6000, "service": "s",
            "max-attempts": 2, "public": true}],
        "services": [{"name": "s", "health-check-path": "/healthz", "max-connections": 100}],
        "limits": {"max-body-bytes": 4096}});
    store.put("keyed.op", "config", Some(&manifest));
    store
}

async fn add_server(store: &FakeStore, id: &str, log: &ServerLog) -> SocketAddr {
    let address = free_address();
    scripted_server::start(address, id, log.clone()).await;
    store.put("keyed.servers", id, Some(&entry(address)));
    address
}

/// Guards against a gateway that ends, or no longer follows the directory, over an entry.
#[gtest]
#[tokio::test]
async fn odd_entry_costs_itself_only() {
    // Read in pages at the start, and as changes.
    for is_early in [true, false] {
        let (store, log) = (start_store().await, ServerLog::default());
        let unused = free_address();
        let put_all = || {
            for (key, value) in odd_entries(unused) {
                store.put_raw("keyed.servers", &key, &value);
            }
        };
        store.set_page_size(2);
        if is_early {
            put_all();
        }
        add_server(&store, "i-1", &log).await;
        let mut gateway = GatewayProcess::start(&launcher(), store.fake_server.address, &[]);
        gateway.wait_ready().await;
        if !is_early {
            put_all();
        }
        // The gateway follows what comes later: the second server takes over from the first.
        add_server(&store, "i-2", &log).await;
        store.put("keyed.servers", "i-1", None);
        tokio::time::sleep(FOLLOW_TIME).await;
        for _ in 0..8 {
            let answer = send(&gateway).await;
            expect_that!(answer, some(eq(&(StatusCode::OK, "an answer".into()))), "{is_early}");
        }
        let late = log.runs("/a/x").into_iter().filter(|it| it.server != "i-2").count();
        expect_that!(late, eq(0), "{is_early}: requests to a server that is gone");
        expect_that!(gateway.child.try_wait().unwrap(), none(), "the process has ended");
        let text = gateway.log_text();
        let longest = text.lines().map(str::len).max().unwrap_or(0);
        expect_that!(longest, lt(2_000), "a line of the log");
        expect_that!(text.contains("panicked"), eq(false));
    }
}

/// Fields that a server always writes.
const FIELDS: [&str; 8] =
    ["service", "address", "zone", "version", "slots", "state", "warmup-left-ms", "sequence"];

/// Guards against an entry with fields missing that passes for a server.
#[gtest]
fn entry_without_a_field_names_no_server() {
    let sound = entry(SocketAddr::from(([127, 0, 0, 1], 80)));
    assert_that!(decode_server("i-1", sound.to_string().as_bytes()), some(anything()));
    for field in FIELDS {
        let mut entry = sound.clone();
        entry.as_object_mut().unwrap().remove(field);
        expect_that!(decode_server("i-1", entry.to_string().as_bytes()), none(), "{field}");
        entry[field] = json!([]);
        expect_that!(decode_server("i-1", entry.to_string().as_bytes()), none(), "{field}");
    }
}

/// Guards against requests to a server that leaves, after another writer has left an entry that calls
/// it ready, with fields missing.
#[gtest]
#[tokio::test]
async fn odd_entry_ends_no_leave() {
    let (store, log) = (start_store().await, ServerLog::default());
    add_server(&store, "i-1", &log).await;
    let gateway = GatewayProcess::start(&launcher(), store.fake_server.address, &[]);
    gateway.wait_ready().await;
    let cases: [&[&str]; 5] = [
        &["version", "warmup-left-ms", "born"],
        &["born"],
        &["slots", "born"],
        &["version"],
        &["warmup-left-ms", "sequence"],
    ];
    for (n, missing) in cases.into_iter().enumerate() {
        let id = format!("i-{}", n + 2);
        let address = add_server(&store, &id, &log).await;
        tokio::time::sleep(FOLLOW_TIME).await;
        let mut leaving = entry(address);
        leaving["state"] = json!("draining");
        store.put("keyed.servers", &id, Some(&leaving));
        tokio::time::sleep(FOLLOW_TIME).await;
        let runs = || log.runs("/a/x").iter().filter(|it| it.server == id).count();
        let before = runs();
        // Twice: the first one may have changed what is known of the server.
        for _ in 0..2 {
            let mut odd = entry(address);
            missing.iter().for_each(|it| {
                odd.as_object_mut().unwrap().remove(*it);
            });
            store.put("keyed.servers", &id, Some(&odd));
            tokio::time::sleep(FOLLOW_TIME / 2).await;
            for _ in 0..8 {
                let answer = send(&gateway).await;
                expect_that!(answer.map(|it| it.0), some(eq(StatusCode::OK)), "{missing:?}");
            }
        }
        expect_that!(runs(), eq(before), "{missing:?}");
        store.put("keyed.servers", &id, None);
    }
}

/// Guards against an entry that takes the server out of use whose address it names, also after it is
/// gone.
#[gtest]
#[tokio::test]
async fn entry_of_an_unnamed_service_takes_no_address() {
    let (store, log) = (start_store().await, ServerLog::default());
    let address = add_server(&store, "i-1", &log).await;
    let gateway = GatewayProcess::start(&launcher(), store.fake_server.address, &[]);
    gateway.wait_ready().await;
    let mut foreign = entry(address);
    foreign["born"] = json!(1_700_000_000_000_u64);
    for (service, is_served) in [("unnamed", true), ("s", false)] {
        foreign["service"] = json!(service);
        store.put("keyed.servers", "foreign", Some(&foreign));
        tokio::time::sleep(FOLLOW_TIME).await;
        // A server of a named service that started later at the address has replaced the first.
        let is_answered = send(&gateway).await.is_some_and(|it| it.0 == StatusCode::OK);
        expect_that!(is_answered, eq(is_served), "{service}");
        store.put("keyed.servers", "foreign", None);
        let deadline = Instant::now() + FOLLOW_TIME;
        while send(&gateway).await.is_none_or(|it| it.0 != StatusCode::OK) {
            assert!(Instant::now() < deadline, "{service}: the server stays out of use");
            tokio::time::sleep(Duration::from_millis(100)).await;
        }
    }
}

/// Sound entries and manifests with some bytes changed, and any bytes.
fn odd_bytes() -> impl Strategy<Value = Vec<u8>> {
    let sound = sample::select(vec![
        entry(SocketAddr::from(([127, 0, 0, 1], 80))).to_string(),
        json!({"version": 3, "routes": [{"name": "r", "path-prefix": "/", "kind": "safe",
            "timeout-ms": 5, "priority": 1, "traffic-split": [{"service": "s", "weight": 0.5}]}],
            "services": [{"name": "s", "warmup-s": 3.0, "warmup-per-s": 4.0,
                "engine": {"sets": 6, "experts": 64, "expert-mb": 1700.0, "link-mbps": 9.0}}],
            "tenants": [{"name": "t", "api-keys": ["k"]}]})
        .to_string(),
    ]);
    let pieces = ["-1", "1e308", "1e999", "null", "[", "\"", "{}", "9999999999999999999999"];
    let change = (any::<sample::Index>(), 0_usize..4, sample::select(pieces.to_vec()));
    let changed = (sound, collection::vec(change, 1..4)).prop_map(|(text, changes)| {
        let mut bytes = text.into_bytes();
        for (index, removed, piece) in changes {
            let start = index.index(bytes.len());
            let end = (start + removed).min(bytes.len());
            bytes.splice(start..end, piece.bytes());
        }
        bytes
    });
    prop_oneof![3 => changed, 1 => collection::vec(any::<u8>(), 0..200)]
}

#[gtest]
fn any_bytes_are_decoded_or_refused() {
    let mut runner = TestRunner::new(seeded(20_000));
    let result = runner.run(&odd_bytes(), |bytes| {
        if let Some(record) = decode_server("i-1", &bytes) {
            prop_assert!(record.address.port() != 0);
            prop_assert!(record.slots > 0 && record.slots <= 65_536);
        }
        if let Ok(catalog) = decode_catalog(&bytes) {
            let _ = catalog.route("", "/");
        }
        Ok(())
    });
    expect_that!(result, ok(anything()));
}
