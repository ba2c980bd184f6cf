//! Tests of requests that end the servers that answer them.

use std::{net::SocketAddr, sync::Arc, time::Duration};

use bytes::Bytes;
use futures_util::future::join_all;
use googletest::prelude::*;
use http::{Request, StatusCode};
use http_body_util::Full;
use serde_json::json;
use tokio::time::Instant;

use crate::{
    launcher,
    support::{
        fragile_servers::{CrashPoint, FragileServers},
        gateway::{GatewayProcess, connect, read, start_gateways},
        platform_store::FakeStore,
        ports::free_address,
    },
};

const SERVER_COUNT: usize = 8;
/// Time after the fifth end within which gateways must have learned the cause.
const CONTACT_TIME: Duration = Duration::from_secs(3);
/// Number of further sends that the users accept.
const MAX_LATER_SENDS: usize = 3;
const RUN_TIME: Duration = Duration::from_secs(9);
const HARMFUL_PART: &str = "bad0";
/// Time between two batches of harmful prompts: more than [`CONTACT_TIME`].
const BATCH_PAUSE: Duration = Duration::from_millis(3_600);

fn draft(id: &str, parts: &str) -> Request<Full<Bytes>> {
    Request::post("/a/x")
        .header("host", "h.example")
        .header("request-id", id)
        .header("time-budget-ms", "5000")
        .header("authorization", "Token k1")
        .header("prompt-prefix", parts)
        .body(Full::from("a body"))
        .unwrap()
}

/// The status, whether a retry is suggested, and the body of an answer; `None` if it broke off.
async fn send(gateway: SocketAddr, request: Request<Full<Bytes>>) -> Option<DraftAnswer> {
    let answer = connect(gateway).await?.send_request(request).await.ok()?;
    let invites_retry = answer.headers().contains_key("retry-after");
    let (status, text) = read(answer).await?;
    Some(DraftAnswer { status, invites_retry, text })
}

#[derive(Debug)]
struct DraftAnswer {
    status: StatusCode,
    invites_retry: bool,
    text: String,
}

async fn start_store() -> Arc<FakeStore> {
    let store = Arc::new(FakeStore::start(free_address()).await);
    let manifest = json!({"version": 3, "routes": [{"name": "r", "hostname": "h.example",
            "path-prefix": "/a/", "kind": "streaming", "timeout-ms": 8000,
            "target-latency-ms": 400, "service": "s", "max-attempts": 2, "public": false,
            "resumable": true}],
        "services": [{"name": "s", "health-check-path": "/healthz", "max-connections": 100}],
        "tenants": [{"name": "acc", "api-keys": ["k1"]}], "limits": {"max-body-bytes": 4096}});
    store.put("keyed.op", "config", Some(&manifest));
    store
}

/// Starts gateways and the servers, which end at this point of their answers.
async fn start_fleet(
    crash_point: CrashPoint,
    gateway_count: usize,
) -> (FragileServers, Vec<GatewayProcess>) {
    start_reading_fleet((crash_point, Duration::ZERO), gateway_count).await
}

/// Starts gateways and the servers, which read harmful prompts for a while before they end.
async fn start_reading_fleet(
    end: (CrashPoint, Duration),
    gateway_count: usize,
) -> (FragileServers, Vec<GatewayProcess>) {
    let store = start_store().await;
    let addresses = [(); SERVER_COUNT].map(|()| free_address());
    let servers = FragileServers::start_reading(&store, &addresses, &[HARMFUL_PART], end).await;
    let gateways = start_gateways(gateway_count, &launcher(), store.fake_server.address).await;
    (servers, gateways)
}

/// Returns the number of servers that ended, and of harmful requests that reached one later than
/// gateways must know.
fn later_sends(servers: &FragileServers) -> (usize, usize) {
    servers.log(|log| {
        let fifth = log.ends.get(4).map(|it| *it + CONTACT_TIME);
        let is_later = |it: &&Instant| fifth.is_some_and(|fifth| **it > fifth);
        (log.ends.len(), log.harmful_sends.iter().filter(is_later).count())
    })
}

#[gtest]
#[tokio::test]
async fn harmful_prompt_ends_few_servers() {
    send_harmful_prompts(CrashPoint::Head).await;
}

/// Guards against prompts that are never blocked since their servers end before a whole head is out.
#[gtest]
#[tokio::test]
async fn answer_that_breaks_off_is_evidence() {
    let points = [
        CrashPoint::Nothing,
        CrashPoint::InterimResponse,
        CrashPoint::PartOfStatusLine,
        CrashPoint::PartOfHead,
        CrashPoint::PartOfEvent,
    ];
    join_all(points.map(send_harmful_prompts)).await;
}

/// Guards against a second batch of harmful prompts that reaches as many servers as the first, whose
/// servers ended at the same time.
#[gtest]
#[tokio::test]
async fn second_batch_reaches_few_servers() {
    send_batches(CrashPoint::Head, 2, PartPlace::Second).await;
}

/// Guards against batches of prompts that end servers with their first part, or before any byte of an
/// answer, and reach as many servers each time.
#[gtest]
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn later_batches_reach_few_servers_whatever_ends_them() {
    let cases = [
        (CrashPoint::Head, 1, PartPlace::First),
        (CrashPoint::PartOfEvent, 3, PartPlace::First),
        (CrashPoint::Head, 9, PartPlace::First),
        (CrashPoint::Nothing, 1, PartPlace::Second),
        (CrashPoint::Nothing, 3, PartPlace::Second),
        (CrashPoint::Nothing, 9, PartPlace::Second),
        (CrashPoint::InterimResponse, 9, PartPlace::Second),
    ];
    join_all(cases.map(|(point, count, place)| send_batches(point, count, place))).await;
}

/// Where the harmful part stands in the prompts.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum PartPlace {
    First,
    Second,
}

async fn send_batches(crash_point: CrashPoint, gateway_count: usize, place: PartPlace) {
    let (servers, gateways) = start_fleet(crash_point, gateway_count).await;
    for batch in 0..3 {
        let harmful = (0..SERVER_COUNT).map(|n| {
            let first = if place == PartPlace::First { "" } else { "5a:40," };
            let parts = format!("{first}{HARMFUL_PART}:30,f{batch}{n:x}:600");
            let gateway = gateways[(n + batch) % gateway_count].listen;
            send(gateway, draft(&format!("b-{batch}-{n}"), &parts))
        });
        join_all(harmful).await;
        tokio::time::sleep(BATCH_PAUSE).await;
    }
    let (end_count, later_sends) = later_sends(&servers);
    let case = format!("{crash_point:?}, {gateway_count} gateways, {place:?}");
    println!("{case}: {end_count} servers ended, {later_sends} harmful requests sent later");
    expect_that!(end_count, ge(5), "{case}: the first batch ends too few servers to show anything");
    expect_that!(later_sends, le(MAX_LATER_SENDS), "{case}");
}

/// Guards against a harmful part that no gateway blocks since each sees few of the ends.
#[gtest]
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn nine_gateways_that_see_one_end_each_block_the_part() {
    join_all([CrashPoint::Head, CrashPoint::Nothing].map(|point| async move {
        let (servers, gateways) = start_fleet(point, 9).await;
        let started = Instant::now();
        let mut harmful = Vec::new();
        for n in 0.. {
            if started.elapsed() > RUN_TIME {
                break;
            }
            let parts = format!("5a{:x}:40,{HARMFUL_PART}:30,f{n:x}:600", n % 3);
            let request = draft(&format!("b-{n}"), &parts);
            harmful.push(tokio::spawn(send(gateways[n % gateways.len()].listen, request)));
            tokio::time::sleep(Duration::from_millis(130)).await;
        }
        join_all(harmful).await;
        let (end_count, later_sends) = later_sends(&servers);
        println!("{point:?}: {end_count} servers ended, {later_sends} sent later");
        expect_that!(later_sends, le(MAX_LATER_SENDS), "{point:?}");
    }))
    .await;
}

/// Guards against prompts that stay refused since all servers ended at once as they began to answer
/// others with the same first part, before any answer.
#[gtest]
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn common_first_part_is_served_after_an_outage() {
    join_all([1, 3, 9].map(|gateway_count| async move {
        let (servers, gateways) = start_fleet(CrashPoint::Head, gateway_count).await;
        let ask = |n: usize| {
            let parts = format!("5a:40,f{n:x}:600");
            send(gateways[n % gateway_count].listen, draft(&format!("p-{n}"), &parts))
        };
        let outage = async {
            tokio::time::sleep(Duration::from_millis(15)).await;
            servers.end_all();
        };
        let (_, ()) = tokio::join!(join_all((0..24).map(ask)), outage);
        let ended = Instant::now();
        let is_whole = |it: Option<DraftAnswer>| it.is_some_and(|it| it.text.contains("id: 10\n"));
        let mut asked = 24;
        while !is_whole(ask(asked).await) {
            assert!(ended.elapsed() < RUN_TIME, "{gateway_count} gateways: not served");
            asked += 1;
            tokio::time::sleep(Duration::from_millis(50)).await;
        }
        println!(
            "{gateway_count} gateways: served {:?} after the outage, at prompt {}",
            ended.elapsed(),
            asked - 23
        );
        tokio::time::sleep(Duration::from_millis(500)).await;
        for n in 0..gateway_count {
            let answer = ask(1_000 * gateway_count + n).await;
            expect_that!(is_whole(answer), eq(true), "gateway {n} of {gateway_count}");
        }
    }))
    .await;
}

/// Guards against a harmful part that is never blocked since the prompts are long: their servers end
/// after the gateway has set the call aside as silent and asked another server.
#[gtest]
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn end_of_silent_server_is_evidence() {
    // Callers leave after two seconds.
    const PATIENCE: Duration = Duration::from_secs(2);
    const READ_TIME: Duration = Duration::from_millis(1_750);
    join_all([CrashPoint::Nothing, CrashPoint::Head].map(|point| async move {
        let (servers, gateways) = start_reading_fleet((point, READ_TIME), 2).await;
        let started = Instant::now();
        let mut calls = Vec::new();
        for n in 0_usize.. {
            if started.elapsed() > 2 * RUN_TIME {
                break;
            }
            let gateway = gateways[n % 2].listen;
            let request = draft(&format!("q-{n}"), &format!("5a:40,{n:x}:600"));
            calls.push((true, tokio::spawn(send(gateway, request))));
            if n.is_multiple_of(4) {
                let parts = format!("5a:40,{HARMFUL_PART}:800,f{n:x}:130160");
                let call = send(gateways[n / 4 % 2].listen, draft(&format!("b-{n}"), &parts));
                let call = async { tokio::time::timeout(PATIENCE, call).await.ok().flatten() };
                calls.push((false, tokio::spawn(call)));
            }
            tokio::time::sleep(Duration::from_millis(150)).await;
        }
        let (end_count, later_sends) = later_sends(&servers);
        println!("{point:?}: {end_count} servers ended, {later_sends} sent later");
        expect_that!(end_count, ge(1), "{point:?}: no server ended");
        expect_that!(later_sends, le(MAX_LATER_SENDS), "{point:?}: {end_count} servers ended");
        let (mut complete, mut sound_count) = (0, 0);
        for (is_sound, call) in calls {
            let answer = call.await.unwrap();
            sound_count += usize::from(is_sound);
            let is_whole = answer.is_some_and(|it| it.text.contains("id: 10\n"));
            complete += usize::from(is_sound && is_whole);
        }
        expect_that!(complete * 2, ge(sound_count), "{point:?}");
    }))
    .await;
}

/// Returns a prompt of `count` shared parts with the harmful one, if any, at this place, and a part of
/// its own.
fn long_prompt(count: usize, harmful_at: Option<usize>, own: &str) -> String {
    let mut parts: Vec<String> = (0..count).map(|it| format!("{it:x}5a:20")).collect();
    if let Some(place) = harmful_at {
        parts.insert(place, format!("{HARMFUL_PART}:30"));
    }
    parts.join(",") + &format!(",{own}:140")
}

/// Guards against a harmful part that is never blocked since many other parts follow it.
#[gtest]
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn harmful_part_among_hundreds_is_blocked() {
    let cases = [(36, 1), (36, 35), (300, 1), (300, 150), (300, 299), (900, 2)];
    join_all(cases.map(|(count, place)| async move {
        let case = format!("{count} parts, harmful at {place}");
        let (servers, gateways) = start_fleet(CrashPoint::Head, 2).await;
        let started = Instant::now();
        let (mut sound, mut harmful) = (Vec::new(), Vec::new());
        for n in 0_usize.. {
            if started.elapsed() > RUN_TIME {
                break;
            }
            let gateway = gateways[n % 2].listen;
            let parts = long_prompt(count, None, &format!("f{n:x}"));
            sound.push(tokio::spawn(send(gateway, draft(&format!("q-{n}"), &parts))));
            if n.is_multiple_of(3) {
                let parts = long_prompt(count, Some(place), &format!("e{n:x}"));
                harmful.push(tokio::spawn(send(gateway, draft(&format!("b-{n}"), &parts))));
            }
            tokio::time::sleep(Duration::from_millis(100)).await;
        }
        let (end_count, later_sends) = later_sends(&servers);
        println!("{case}: {end_count} servers ended, {later_sends} sent later");
        expect_that!(end_count, ge(1), "{case}");
        expect_that!(later_sends, le(MAX_LATER_SENDS), "{case}: {end_count} servers ended");
        let sound_count = sound.len();
        let answers = join_all(sound).await.into_iter().filter_map(|it| it.unwrap());
        let complete = answers.filter(|it| it.text.contains("id: 10\n")).count();
        expect_that!(complete * 2, ge(sound_count), "{case}");
        join_all(harmful).await;
    }))
    .await;
}

async fn send_harmful_prompts(crash_point: CrashPoint) {
    let (servers, gateways) = start_fleet(crash_point, 2).await;
    let [first, second] = &gateways[..] else { panic!("not two gateways") };
    let started = Instant::now();
    let (mut sound, mut harmful) = (Vec::new(), Vec::new());
    for n in 0_u32.. {
        if started.elapsed() > RUN_TIME {
            break;
        }
        let gateway = if n.is_multiple_of(2) { first.listen } else { second.listen };
        let subject = format!("5a{:x}", n % 3);
        let request = draft(&format!("q-{n}"), &format!("{subject}:40,{n:x}:600"));
        sound.push(tokio::spawn(send(gateway, request)));
        if n.is_multiple_of(4) || n % 4 == 3 {
            let parts = format!("{subject}:40,{HARMFUL_PART}:30,f{n:x}:600");
            harmful.push(tokio::spawn(send(gateway, draft(&format!("b-{n}"), &parts))));
        }
        tokio::time::sleep(Duration::from_millis(50)).await;
    }
    let (end_count, later_sends) = later_sends(&servers);
    println!(
        "{crash_point:?}: {end_count} servers ended, {later_sends} harmful requests sent later"
    );
    expect_that!(later_sends, le(MAX_LATER_SENDS), "{crash_point:?}: {end_count} servers ended");
    let mut complete = 0;
    let sound_count = sound.len();
    for answer in sound {
        let answer = answer.await.unwrap();
        complete += usize::from(answer.is_some_and(|it| it.text.contains("id: 10\n")));
    }
    println!("{crash_point:?}: {complete} of {sound_count} sound requests answered");
    expect_that!(complete * 2, ge(sound_count), "{crash_point:?}");
    for answer in harmful {
        let Some(answer) = answer.await.unwrap() else { continue };
        expect_that!(answer.status, not(eq(StatusCode::OK)), "{answer:?}");
        // Only a request that has not run may be told to come back.
        let may_retry = answer.status == StatusCode::SERVICE_UNAVAILABLE;
        expect_that!(may_retry || !answer.invites_retry, eq(true), "{answer:?}");
    }
}
