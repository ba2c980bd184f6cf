//! Tests of which API keys a gateway accepts as the operator takes keys away.

use std::{net::SocketAddr, time::Duration};

use alderbay::{platform::decode_catalog, routing::RouteCatalog};
use bytes::Bytes;
use googletest::prelude::*;
use http::{Request, StatusCode};
use http_body_util::Full;
use serde_json::{Value, json};
use tokio::time::Instant;

use crate::{
    launcher,
    support::{
        gateway::{GatewayProcess, READY_TIMEOUT, connect, get, read},
        platform_store::FakeStore,
        ports::free_address,
        scripted_server::{self, ServerLog},
    },
};

fn manifest(version: u32, tenants: &Value) -> Value {
    json!({"version": version, "routes": [{"name": "r", "hostname": "h.example",
            "path-prefix": "/a/", "kind": "unsafe", "timeout-ms": 6000, "service": "s",
            "max-attempts": 1, "public": false}],
        "services": [{"name": "s", "health-check-path": "/healthz", "max-connections": 100}],
        "tenants": tenants, "limits": {"max-body-bytes": 4096}})
}

async fn start_store(tenants: &Value) -> (FakeStore, ServerLog) {
    let (store, log) = (FakeStore::start(free_address()).await, ServerLog::default());
    let address = free_address();
    scripted_server::start(address, "i-1", log.clone()).await;
    let entry = json!({"service": "s", "address": address, "zone": "a", "version": "v1",
        "slots": 12, "state": "ready", "warmup-left-ms": 0, "sequence": 1, "born": 1});
    store.put("keyed.servers", "i-1", Some(&entry));
    store.put("keyed.op", "config", Some(&manifest(3, tenants)));
    (store, log)
}

/// The status of the answer to a request with a key, or without one.
async fn status(gateway: SocketAddr, key: Option<&str>) -> Option<StatusCode> {
    let mut request = Request::post("/a/x").header("host", "h.example").header("request-id", "q-1");
    if let Some(key) = key {
        request = request.header("authorization", format!("Token {key}"));
    }
    let request = request.body(Full::<Bytes>::from("a body")).unwrap();
    read(connect(gateway).await?.send_request(request).await.ok()?).await.map(|it| it.0)
}

async fn wait_for_status(gateway: &GatewayProcess, key: &str, expected: StatusCode) {
    let deadline = Instant::now() + READY_TIMEOUT;
    while status(gateway.listen, Some(key)).await != Some(expected) {
        assert!(Instant::now() < deadline, "no {expected}: {}", gateway.log_text());
        tokio::time::sleep(Duration::from_millis(50)).await;
    }
}

/// Guards against a gateway that takes a manifest without any key left for one that needs no keys.
#[gtest]
#[tokio::test]
async fn last_revoked_key_opens_no_route() {
    let (store, log) = start_store(&json!([{"name": "acc", "api-keys": ["k1"]}])).await;
    let gateway = GatewayProcess::start(&launcher(), store.fake_server.address, &[]);
    gateway.wait_ready().await;
    expect_that!(status(gateway.listen, Some("k1")).await, some(eq(StatusCode::OK)));
    let without_keys = manifest(7, &json!([{"name": "acc", "api-keys": []}]));
    store.put("keyed.op", "config", Some(&without_keys));
    wait_for_status(&gateway, "k1", StatusCode::UNAUTHORIZED).await;
    // One that starts while the store is away has the manifest from the first.
    store.set_down(true);
    let second = GatewayProcess::start(&launcher(), store.fake_server.address, &[gateway.peer]);
    wait_for_status(&second, "k1", StatusCode::UNAUTHORIZED).await;
    let runs = log.runs("/a/x").len();
    for gateway in [&gateway, &second] {
        for key in [Some("k1"), Some("never"), Some(""), None] {
            let status = status(gateway.listen, key).await;
            expect_that!(status, some(eq(StatusCode::UNAUTHORIZED)), "{key:?}");
        }
    }
    expect_that!(log.runs("/a/x").len(), eq(runs));
}

#[gtest]
fn only_a_manifest_without_accounts_needs_no_keys() {
    let decode = |tenants: &str| -> RouteCatalog {
        let text = format!(r#"{{"version": 1{tenants}}}"#);
        let catalog = decode_catalog(text.as_bytes()).unwrap();
        // The form in which gateways send it to each other keeps the answer.
        let sent = serde_json::to_string(&catalog).unwrap();
        serde_json::from_str(&sent).unwrap()
    };
    expect_that!(decode("").requires_key(), eq(false));
    for tenants in [
        r#","tenants":[]"#,
        r#","tenants":null"#,
        r#","tenants":[{"name":"acc"}]"#,
        r#","tenants":[{"name":"acc","api-keys":[]}]"#,
        r#","tenants":[{"name":"acc","api-keys":[""]}]"#,
    ] {
        let catalog = decode(tenants);
        expect_that!(catalog.requires_key(), eq(true), "{tenants}");
        expect_that!(catalog.account_of(""), none(), "{tenants}");
    }
}

/// A key that moves from one account to another stays valid, whichever comes first.
#[gtest]
fn moved_key_belongs_to_its_new_account() {
    let text = br#"{"version":1,"tenants":[{"name":"old","api-keys":["k1"]},{"name":"new","api-keys":["k2"]}]}"#;
    let before = decode_catalog(text).unwrap();
    let text = br#"{"version":2,"tenants":[{"name":"old","api-keys":[]},{"name":"new","api-keys":["k1"]}]}"#;
    let after = decode_catalog(text).unwrap();
    expect_that!(before.account_of("k1").map(ToString::to_string), some(eq("old")));
    expect_that!(after.account_of("k1").map(ToString::to_string), some(eq("new")));
    expect_that!(after.account_of("k2"), none());
}

/// Guards against a revoked key that stays valid because another entry of the manifest cannot be read.
#[gtest]
#[tokio::test]
async fn unreadable_account_keeps_no_revoked_key() {
    let account = |name: &str, key: &str| json!({"name": name, "api-keys": [key]});
    let (store, _) = start_store(&json!([account("acc", "k1"), account("other", "k2")])).await;
    let gateway = GatewayProcess::start(&launcher(), store.fake_server.address, &[]);
    gateway.wait_ready().await;
    expect_that!(status(gateway.listen, Some("k1")).await, some(eq(StatusCode::OK)));
    let odd = json!([account("a b", "k3"), account("other", "k2"), account("new", "k4"), 7]);
    let mut next = manifest(7, &odd);
    next["services"].as_array_mut().unwrap().push(json!({"name": 7}));
    store.put("keyed.op", "config", Some(&next));
    wait_for_status(&gateway, "k1", StatusCode::UNAUTHORIZED).await;
    for (key, expected) in
        [("k2", StatusCode::OK), ("k3", StatusCode::UNAUTHORIZED), ("k4", StatusCode::OK)]
    {
        expect_that!(status(gateway.listen, Some(key)).await, some(eq(expected)), "{key}");
    }
    expect_that!(gateway.log_text(), contains_substring("catalog has unreadable entries"));
    let metrics = get(gateway.admin, "/metrics").await.unwrap().1;
    expect_that!(metrics, contains_substring("alderbay_catalog_unreadable_entries 3"));
    store.put_raw("keyed.op", "config", b"{");
    let deadline = Instant::now() + READY_TIMEOUT;
    while !get(gateway.admin, "/metrics").await.unwrap().1.contains("alderbay_catalog_refused 1") {
        assert!(Instant::now() < deadline, "{}", gateway.log_text());
        tokio::time::sleep(Duration::from_millis(50)).await;
    }
}

/// The requests of an unreadable route must not go to the service of a shorter prefix.
#[gtest]
fn unreadable_route_is_not_replaced_by_a_shorter_prefix() {
    let text = br#"{"version":1,"routes":[
        {"name":"r","hostname":"h","path-prefix":"/","kind":"safe","service":"s"},
        {"name":"q q","hostname":"h","path-prefix":"/a/","kind":"safe","service":"t"}]}"#;
    let catalog = decode_catalog(text).unwrap();
    expect_that!(catalog.route("h", "/b").unwrap().targets, len(eq(1)));
    expect_that!(catalog.route("h", "/a/x").unwrap().targets, is_empty());
    expect_that!(catalog.problems().count, eq(1));
}
