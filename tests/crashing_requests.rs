//! Tests of whole requests that end the servers that run them and come again unchanged.

use std::{net::SocketAddr, process::Command, sync::Arc, time::Duration};

use bytes::Bytes;
use futures_util::future::join_all;
use googletest::prelude::*;
use http::{Request, StatusCode};
use http_body_util::Full;
use rand::{Rng, SeedableRng, rngs::SmallRng};
use serde_json::json;
use tokio::time::Instant;

use crate::{
    launcher,
    support::{
        fragile_servers::{CrashPoint, FragileServers},
        gateway::{GatewayProcess, connect, read, start_gateways},
        platform_store::FakeStore,
        ports::{free_address, output},
    },
};

/// Time after the third end within which gateways must have learned the cause.
const CONTACT_TIME: Duration = Duration::from_secs(3);
/// Number of further sends that the users accept.
const MAX_LATER_SENDS: usize = 3;
const RUN_TIME: Duration = Duration::from_secs(9);
const HARMFUL_BODY: &str = "harmful";
/// Bodies that are sent again and again, and are often in progress when a server ends.
const SOUND_BODIES: [&str; 3] = ["one", "two", "three"];

#[derive(Debug)]
struct CallAnswer {
    status: StatusCode,
    invites_retry: bool,
}

async fn send(gateway: SocketAddr, id: String, body: String) -> Option<CallAnswer> {
    let request = Request::post("/a/x")
        .header("host", "h.example")
        .header("request-id", id)
        .header("time-budget-ms", "3000")
        .header("authorization", "Token k1")
        .body(Full::<Bytes>::from(body))
        .unwrap();
    let answer = connect(gateway).await?.send_request(request).await.ok()?;
    let invites_retry = answer.headers().contains_key("retry-after");
    let (status, _) = read(answer).await?;
    Some(CallAnswer { status, invites_retry })
}

async fn start_store(kind: &str) -> Arc<FakeStore> {
    let store = Arc::new(FakeStore::start(free_address()).await);
    let manifest = json!({"version": 3, "routes": [{"name": "r", "hostname": "h.example",
            "path-prefix": "/a/", "kind": kind, "timeout-ms": 3000,
            "target-latency-ms": 400, "service": "s", "max-attempts": 2, "public": false,
            "resumable": kind == "streaming"}],
        "services": [{"name": "s", "health-check-path": "/healthz", "max-connections": 100}],
        "tenants": [{"name": "acc", "api-keys": ["k1"]}], "limits": {"max-body-bytes": 4096}});
    store.put("keyed.op", "config", Some(&manifest));
    store
}

/// Returns the number of servers that ended, and of harmful requests that reached one later than
/// gateways must know.
fn count_sends(servers: &FragileServers) -> (usize, usize) {
    servers.log(|log| {
        let third = log.ends.get(2).map(|it| *it + CONTACT_TIME);
        let is_later = |it: &&Instant| third.is_some_and(|third| **it > third);
        (log.ends.len(), log.harmful_sends.iter().filter(is_later).count())
    })
}

async fn check_harmful_request(kind: &str, gateway_count: usize) {
    const SEED: u64 = 28;
    let mut rng = SmallRng::seed_from_u64(SEED);
    let store = start_store(kind).await;
    let addresses = [(); 6].map(|()| free_address());
    let servers =
        FragileServers::start_with(&store, &addresses, &[HARMFUL_BODY], CrashPoint::Nothing).await;
    let gateways = start_gateways(gateway_count, &launcher(), store.fake_server.address).await;
    let (mut sound, mut harmful) = (Vec::new(), Vec::new());
    let started = Instant::now();
    for n in 0_u32.. {
        if started.elapsed() > RUN_TIME {
            break;
        }
        let gateway = gateways[rng.random_range(0..gateway_count)].listen;
        let repeated = SOUND_BODIES[rng.random_range(0..SOUND_BODIES.len())];
        let body = if rng.random_bool(0.5) { format!("body {n}") } else { repeated.to_owned() };
        sound.push(tokio::spawn(send(gateway, format!("q-{n}"), body)));
        if n.is_multiple_of(6) {
            let gateway = gateways[rng.random_range(0..gateway_count)].listen;
            harmful.push(tokio::spawn(send(gateway, format!("b-{n}"), HARMFUL_BODY.to_owned())));
        }
        tokio::time::sleep(Duration::from_millis(25)).await;
    }
    let (end_count, later_sends) = count_sends(&servers);
    println!(
        "{kind}, {gateway_count} gateways: {end_count} servers ended, {later_sends} sent later"
    );
    expect_that!(later_sends, le(MAX_LATER_SENDS), "{end_count} servers ended");
    let sound_count = sound.len();
    let mut answered = 0;
    for answer in sound {
        let answer = answer.await.unwrap();
        answered += usize::from(answer.is_some_and(|it| it.status == StatusCode::OK));
    }
    println!("{answered} of {sound_count} sound requests answered");
    expect_that!(answered * 2, ge(sound_count));
    for answer in harmful {
        let Some(answer) = answer.await.unwrap() else { continue };
        expect_that!(answer.status, not(eq(StatusCode::OK)), "{answer:?}");
        let may_retry = answer.status == StatusCode::SERVICE_UNAVAILABLE;
        expect_that!(may_retry || !answer.invites_retry, eq(true), "{answer:?}");
    }
    // Nobody is blocked for having been in progress on servers that ended.
    for (n, body) in SOUND_BODIES.iter().enumerate() {
        for gateway in &gateways {
            let answer = send(gateway.listen, format!("l-{n}"), (*body).to_owned()).await;
            expect_that!(answer.map(|it| it.status), some(eq(StatusCode::OK)), "{body}");
        }
    }
}

/// Runs the operators' tool on a blocking thread.
async fn operate(arguments: Vec<String>) -> String {
    let mut command = Command::new(env!("CARGO_BIN_EXE_alderbayctl"));
    command.args(arguments).env_remove("ALDERBAY_LOG_SERVICE").env_remove("ALDERBAY_VM_LIST");
    let output = tokio::task::spawn_blocking(move || output(&mut command)).await.unwrap();
    String::from_utf8_lossy(&[output.stdout, output.stderr].concat()).into_owned()
}

#[gtest]
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn operator_lifts_the_block_of_a_request_at_all_gateways() {
    let store = start_store("safe").await;
    let addresses = [(); 4].map(|()| free_address());
    let servers =
        FragileServers::start_with(&store, &addresses, &[HARMFUL_BODY], CrashPoint::Nothing).await;
    let first = GatewayProcess::start(&launcher(), store.fake_server.address, &[]);
    first.wait_ready().await;
    let second = GatewayProcess::start(&launcher(), store.fake_server.address, &[first.peer]);
    second.wait_ready().await;
    let harmful = |gateway: &GatewayProcess, n: u32| {
        send(gateway.listen, format!("b-{n}"), HARMFUL_BODY.to_owned())
    };
    let (arguments, gateway) = (["--json", "quarantine"], second.peer.to_string());
    let list = |gateway: &str| {
        let rest = ["list", "--gateway", gateway];
        operate(arguments.iter().chain(&rest).map(|it| (*it).to_owned()).collect())
    };
    let deadline = Instant::now() + Duration::from_secs(10);
    let mut blocked = serde_json::Value::Null;
    for n in 0.. {
        assert!(Instant::now() < deadline, "not blocked: {blocked}");
        harmful(&first, n).await;
        tokio::time::sleep(Duration::from_millis(400)).await;
        blocked = serde_json::from_str(&list(&gateway).await).unwrap();
        if blocked.as_array().is_some_and(|it| !it.is_empty()) {
            break;
        }
    }
    let digest = blocked[0]["part"].as_str().unwrap().to_owned();
    let ends = servers.log(|it| it.ends.len());
    let answer = harmful(&second, 100).await.unwrap();
    expect_that!(answer.status, eq(StatusCode::INTERNAL_SERVER_ERROR));
    expect_that!(servers.log(|it| it.ends.len()), eq(ends));
    let lift = ["quarantine", "lift", "--gateway", &gateway, &digest];
    let text = operate(lift.iter().map(|it| (*it).to_owned()).collect()).await;
    expect_that!(text, not(contains_substring(digest.as_str())));
    let deadline = Instant::now() + Duration::from_secs(3);
    while list(&first.peer.to_string()).await.contains(&digest) {
        assert!(Instant::now() < deadline, "not lifted at the other gateway");
    }
    let limits = ["limits", "--gateway", &gateway].map(str::to_owned);
    expect_that!(operate(limits.into()).await, contains_substring("REQUESTS A SECOND"));
    expect_that!(operate(vec!["status".to_owned()]).await, contains_substring("--log-service"));
}

#[gtest]
#[tokio::test]
async fn harmful_lookup_ends_few_servers_at_two_gateways() {
    check_harmful_request("safe", 2).await;
}

#[gtest]
#[tokio::test]
async fn harmful_lookup_ends_few_servers_at_nine_gateways() {
    check_harmful_request("safe", 9).await;
}

#[gtest]
#[tokio::test]
async fn harmful_call_that_runs_once_ends_few_servers() {
    check_harmful_request("unsafe", 9).await;
}

/// Time between two batches of a harmful request: more than [`CONTACT_TIME`].
const BATCH_PAUSE: Duration = Duration::from_millis(3_600);

/// Sends a harmful request as several copies at once, three times, and returns the number of servers
/// that ended and of copies that reached one later than gateways must know.
async fn send_batches(
    kind: &str,
    gateway_count: usize,
    copies: usize,
    crash_point: CrashPoint,
) -> (usize, usize) {
    let store = start_store(kind).await;
    let addresses = [(); 8].map(|()| free_address());
    let servers =
        FragileServers::start_with(&store, &addresses, &[HARMFUL_BODY], crash_point).await;
    let gateways = start_gateways(gateway_count, &launcher(), store.fake_server.address).await;
    for batch in 0..3 {
        let harmful = (0..copies).map(|n| {
            let gateway = gateways[(n + batch) % gateway_count].listen;
            send(gateway, format!("b-{batch}-{n}"), HARMFUL_BODY.to_owned())
        });
        for answer in join_all(harmful).await.into_iter().flatten() {
            expect_that!(answer.status, not(eq(StatusCode::OK)), "{answer:?}");
        }
        tokio::time::sleep(BATCH_PAUSE).await;
    }
    let counts = count_sends(&servers);
    println!(
        "{kind}, {gateway_count} gateways, {copies} copies, {crash_point:?}: \
         {} servers ended, {} sent later",
        counts.0, counts.1
    );
    counts
}

/// Guards against copies of one harmful request at once that count as a single end, so that the next
/// copies reach as many servers.
#[gtest]
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn second_batch_of_a_request_reaches_few_servers() {
    let cases = [
        ("safe", 1, 3, CrashPoint::Nothing),
        ("safe", 3, 8, CrashPoint::InterimResponse),
        ("safe", 9, 16, CrashPoint::Head),
        ("unsafe", 1, 8, CrashPoint::PartOfStatusLine),
        ("unsafe", 3, 3, CrashPoint::Nothing),
        ("unsafe", 9, 16, CrashPoint::Nothing),
        ("streaming", 1, 16, CrashPoint::PartOfEvent),
        ("streaming", 3, 8, CrashPoint::PartOfHead),
        ("streaming", 9, 8, CrashPoint::Head),
    ];
    let played = cases.map(|(kind, gateways, copies, point)| async move {
        (kind, gateways, copies, point, send_batches(kind, gateways, copies, point).await)
    });
    for (kind, gateways, copies, point, (end_count, later_sends)) in join_all(played).await {
        let case = format!("{kind}, {gateways} gateways, {copies} copies, {point:?}");
        expect_that!(end_count, ge(3), "{case}: too few to show anything");
        expect_that!(later_sends, le(MAX_LATER_SENDS), "{case}");
    }
}

/// Guards against a sound request that stays refused since it was in progress at all servers when they
/// ended at once.
#[gtest]
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn popular_request_is_served_after_an_outage() {
    let cases = [("safe", 1), ("unsafe", 1), ("unsafe", 3), ("unsafe", 9), ("streaming", 9)];
    join_all(cases.map(|(kind, gateway_count)| async move {
        let store = start_store(kind).await;
        let addresses = [(); 8].map(|()| free_address());
        let servers = FragileServers::start(&store, &addresses, &[]).await;
        let gateways = start_gateways(gateway_count, &launcher(), store.fake_server.address).await;
        let ask = |n: usize| {
            send(gateways[n % gateway_count].listen, format!("p-{n}"), "popular".to_owned())
        };
        // In progress everywhere, and never answered before.
        let outage = async {
            tokio::time::sleep(Duration::from_millis(30)).await;
            servers.end_all();
        };
        let (_, ()) = tokio::join!(join_all((0..24).map(ask)), outage);
        let ended = Instant::now();
        let mut rng = SmallRng::seed_from_u64(47);
        let is_answered = |it: Option<CallAnswer>| it.is_some_and(|it| it.status == StatusCode::OK);
        let mut asked = 24;
        loop {
            let n = asked * gateway_count + rng.random_range(0..gateway_count);
            asked += 1;
            if is_answered(ask(n).await) {
                break;
            }
            assert!(ended.elapsed() < RUN_TIME, "{kind}, {gateway_count} gateways: not served");
            tokio::time::sleep(Duration::from_millis(50)).await;
        }
        println!(
            "{kind}, {gateway_count} gateways: served {:?} after the outage, at copy {}",
            ended.elapsed(),
            asked - 24
        );
        // The answer is known at all gateways a little later.
        tokio::time::sleep(Duration::from_millis(500)).await;
        for n in 0..gateway_count {
            let answer = ask(100_000 * gateway_count + n).await;
            let status = answer.map(|it| it.status);
            expect_that!(
                status,
                some(eq(StatusCode::OK)),
                "{kind}, gateway {n} of {gateway_count}"
            );
        }
    }))
    .await;
}
