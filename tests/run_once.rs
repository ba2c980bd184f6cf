//! A non-idempotent request runs at most once, and one that was refused with `not_run` did not run.

use std::{
    sync::{Arc, atomic::Ordering},
    time::Duration,
};

use googletest::prelude::*;
use uuid::Uuid;

use crate::{
    launcher,
    support::{
        callers::{Answer, Caller, wait_until},
        fleet::{Fleet, FleetPlan, LEDGER, WAIT_TIMEOUT},
    },
};

fn set_run_time(fleet: &Fleet, run_ms: u64) {
    for ledger in fleet.ledgers.values() {
        ledger.run_ms.store(run_ms, Ordering::SeqCst);
    }
}

/// Waits until a ledger has started to run the request with this body.
async fn wait_running(fleet: &Fleet, body: &str) {
    let is_running = wait_until(WAIT_TIMEOUT, || async { fleet.runs_of(body) > 0 }).await;
    assert!(is_running, "no ledger runs {body}");
}

/// Code and outcome of a refusal or an error; None if the request succeeded or got no answer.
fn error_of(answer: &Option<Answer>) -> Option<(String, String)> {
    answer.as_ref().filter(|it| it.status >= 400).map(Answer::error)
}

#[gtest]
#[tokio::test]
async fn concurrent_posts_run_once() {
    let fleet = Fleet::start(FleetPlan::default(), launcher()).await;
    set_run_time(&fleet, 50);
    let caller = Caller::new("dues");
    let key = Uuid::now_v7();
    let posts = fleet.entries.iter().map(|it| caller.post(it.listen, LEDGER, Some(key), "m"));
    for answer in futures_util::future::join_all(posts).await {
        expect_that!(answer.map(|it| it.status), some(eq(201)));
    }
    expect_that!(fleet.runs_of("m"), eq(1));
}

#[gtest]
#[tokio::test]
async fn entry_dies_mid_request() {
    let mut fleet = Fleet::start(FleetPlan::default(), launcher()).await;
    set_run_time(&fleet, 300);
    let caller = Caller::new("dues");
    let key = Uuid::now_v7();
    let first = fleet.entries[0].listen;
    let post = {
        let caller = caller.clone();
        tokio::spawn(async move { caller.post(first, LEDGER, Some(key), "m").await })
    };
    wait_running(&fleet, "m").await;
    fleet.entries[0].kill();
    expect_that!(post.await.unwrap().is_none(), eq(true), "a dead entry answered");
    let answer = caller.post(fleet.entries[1].listen, LEDGER, Some(key), "m").await;
    expect_that!(answer.map(|it| it.status), some(eq(201)));
    expect_that!(fleet.runs_of("m"), eq(1));
}

#[gtest]
#[tokio::test]
async fn agent_dies_after_handover() {
    let mut fleet = Fleet::start(FleetPlan::default(), launcher()).await;
    set_run_time(&fleet, 300);
    let caller = Caller::new("dues");
    let key = Uuid::now_v7();
    let (first, second) = (fleet.entries[0].listen, fleet.entries[1].listen);
    let post = {
        let caller = caller.clone();
        tokio::spawn(async move { caller.post(first, LEDGER, Some(key), "m").await })
    };
    wait_running(&fleet, "m").await;
    let holder = fleet.ledgers.iter().find(|(_, it)| it.runs_of("m") > 0).unwrap().0.clone();
    fleet.process_mut(&holder).kill();
    let answer = post.await.unwrap();
    expect_that!(error_of(&answer).map(|it| it.1), some(eq("unknown")), "{answer:?}");
    // The outcome stays unknown while the agent is down, and after it restarts without any stored
    // answer.
    let answer = caller.post(second, LEDGER, Some(key), "m").await;
    expect_that!(error_of(&answer).map(|it| it.1), some(eq("unknown")), "{answer:?}");
    fleet.restart(&holder);
    fleet.wait_connected().await;
    for entry in &fleet.entries {
        let answer = caller.post(entry.listen, LEDGER, Some(key), "m").await;
        expect_that!(error_of(&answer).map(|it| it.1), some(eq("unknown")), "{answer:?}");
    }
    expect_that!(fleet.runs_of("m"), eq(1));
}

#[gtest]
#[tokio::test]
async fn log_outage_refuses_keyed_requests() {
    let fleet = Fleet::start(FleetPlan::default(), launcher()).await;
    let caller = Caller::new("dues");
    let key = Uuid::now_v7();
    let entry = fleet.entries[0].listen;
    fleet.log.set_down(true);
    let answer = caller.post(entry, LEDGER, Some(key), "m").await;
    let refusal = Some(("claims_unavailable".to_owned(), "not_run".to_owned()));
    expect_that!(error_of(&answer), eq(&refusal), "{answer:?}");
    expect_that!(fleet.runs_of("m"), eq(0));
    // Reads and requests without a key need no claim and are still served.
    let get = http::Request::get(format!("/services/{LEDGER}/balance"));
    let answer = caller.send(entry, get, "").await;
    expect_that!(answer.map(|it| it.status), some(eq(200)));
    let answer = caller.post(entry, LEDGER, None, "unkeyed").await;
    expect_that!(answer.map(|it| it.status), some(eq(201)));
    fleet.log.set_down(false);
    let answer = caller.post(entry, LEDGER, Some(key), "m").await;
    expect_that!(answer.map(|it| it.status), some(eq(201)));
    expect_that!(fleet.runs_of("m"), eq(1));
}

async fn issue_ticket(caller: &Caller, entry: std::net::SocketAddr) -> String {
    let body = serde_json::json!({ "service": LEDGER }).to_string();
    let answer = caller.send(entry, http::Request::post("/v1/tickets"), body).await.unwrap();
    assert_eq!(answer.status, 201, "{}", answer.text());
    let fields: serde_json::Value = serde_json::from_slice(&answer.body).unwrap();
    fields["ticket"].as_str().unwrap().to_owned()
}

async fn post_ticketed(
    caller: &Caller,
    entry: std::net::SocketAddr,
    ticket: &str,
    body: &str,
) -> Option<Answer> {
    let request = http::Request::post(format!("/services/{LEDGER}/mandates"))
        .header("idempotency-key", ticket)
        .header("x-deadline-ms", "8000");
    caller.send(entry, request, body.to_owned()).await
}

#[gtest]
#[tokio::test]
async fn tickets_run_once_without_the_log() {
    let mut fleet = Fleet::start(FleetPlan::default(), launcher()).await;
    fleet.log.set_down(true);
    let caller = Caller::new("dues");
    let (first, second) = (fleet.entries[0].listen, fleet.entries[1].listen);
    let ticket_1 = issue_ticket(&caller, first).await;
    for entry in [first, second, first] {
        let answer = post_ticketed(&caller, entry, &ticket_1, "m").await;
        expect_that!(answer.map(|it| it.status), some(eq(201)));
    }
    expect_that!(fleet.runs_of("m"), eq(1));
    // A restarted agent has lost the tickets that it issued, so it must not run them.
    let ticket_2 = issue_ticket(&caller, first).await;
    let issuer = ticket_2.split('/').nth(1).unwrap().parse().unwrap();
    fleet.restart(&issuer);
    fleet.wait_connected().await;
    let answer = post_ticketed(&caller, second, &ticket_2, "n").await;
    expect_that!(error_of(&answer).map(|it| it.1), some(eq("unknown")), "{answer:?}");
    expect_that!(fleet.runs_of("n"), eq(0));
    // Another account cannot use a ticket.
    let ticket_3 = issue_ticket(&caller, first).await;
    let answer = post_ticketed(&Caller::new("tours"), first, &ticket_3, "o").await;
    expect_that!(error_of(&answer).map(|it| it.1), some(eq("unknown")), "{answer:?}");
    expect_that!(fleet.runs_of("o"), eq(0));
}

#[gtest]
#[tokio::test]
async fn lost_append_replies_run_once() {
    let fleet = Fleet::start(FleetPlan::default(), launcher()).await;
    let caller = Caller::new("dues");
    let key = Uuid::now_v7();
    fleet.log.fails_after_append.store(true, Ordering::SeqCst);
    for entry in &fleet.entries {
        // The claim is in the log although the reply to the append was lost. Either the agent reads
        // it in time and runs the request, or it refuses the request.
        let answer = caller.post(entry.listen, LEDGER, Some(key), "m").await;
        let refusal = error_of(&answer);
        let is_valid = answer.as_ref().is_some_and(|it| it.status == 201)
            || refusal.is_some_and(|it| it.1 == "not_run");
        expect_that!(is_valid, eq(true), "{answer:?}");
    }
    fleet.log.fails_after_append.store(false, Ordering::SeqCst);
    let answer = caller.post(fleet.entries[0].listen, LEDGER, Some(key), "m").await;
    expect_that!(answer.map(|it| it.status), some(eq(201)));
    expect_that!(fleet.runs_of("m"), eq(1));
}

#[gtest]
#[tokio::test]
async fn resumed_agent_repeats_nothing() {
    let mut fleet = Fleet::start(FleetPlan::default(), launcher()).await;
    let caller = Caller::new("dues");
    // Enough keys for the entries to send some of them to the paused agent.
    let keys: Vec<Uuid> = (0..12).map(|_| Uuid::now_v7()).collect();
    let paused = fleet.ledgers.keys().next().unwrap().clone();
    fleet.process(&paused).signal("STOP");
    let entries: Vec<_> = fleet.entries.iter().map(|it| it.listen).collect();
    let mut posts = Vec::new();
    for (n, key) in keys.iter().enumerate() {
        for entry in &entries {
            let (caller, key, entry) = (caller.clone(), *key, *entry);
            let body = format!("m{n}");
            let post = async move { caller.post(entry, LEDGER, Some(key), &body).await };
            posts.push(tokio::spawn(post));
        }
    }
    // Long enough for the entries to disconnect from the paused agent and to try others.
    tokio::time::sleep(Duration::from_secs(9)).await;
    fleet.process(&paused).signal("CONT");
    for post in posts {
        let answer = post.await.unwrap();
        expect_that!(answer.is_some(), eq(true));
    }
    for n in 0..keys.len() {
        expect_that!(fleet.runs_of(&format!("m{n}")), le(1), "m{n}");
    }
    fleet.process_mut(&paused).kill();
}

#[gtest]
#[tokio::test]
async fn lost_answer_is_not_retried() {
    let fleet = Fleet::start(FleetPlan::default(), launcher()).await;
    for ledger in fleet.ledgers.values() {
        ledger.drops_answers.store(true, Ordering::SeqCst);
    }
    let caller = Caller::new("dues");
    let answer = caller.post(fleet.entries[0].listen, LEDGER, None, "m").await;
    expect_that!(error_of(&answer).map(|it| it.1), some(eq("unknown")), "{answer:?}");
    expect_that!(fleet.runs_of("m"), eq(1));
    let answer = caller.post(fleet.entries[0].listen, LEDGER, Some(Uuid::now_v7()), "k").await;
    expect_that!(error_of(&answer).map(|it| it.1), some(eq("unknown")), "{answer:?}");
    expect_that!(fleet.runs_of("k"), eq(1));
}

/// Posts each key through random entries until it succeeds, at most six times, while random faults
/// are injected. No key may run twice, and a key whose answers were all `not_run` may not have run.
#[gtest]
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn no_double_run_under_faults() {
    use rand::{Rng, SeedableRng, rngs::SmallRng};

    const KEY_COUNT: usize = 300;
    let seed = 4121;
    let plan = FleetPlan { is_proxied: true, seed, ..FleetPlan::default() };
    let fleet = Arc::new(tokio::sync::Mutex::new(Fleet::start(plan, launcher()).await));
    let entries: Vec<_> = fleet.lock().await.entries.iter().map(|it| it.listen).collect();
    let mut posts = Vec::new();
    for n in 0..KEY_COUNT {
        let entries = entries.clone();
        posts.push(tokio::spawn(async move {
            let mut rng = SmallRng::seed_from_u64(seed + n as u64);
            tokio::time::sleep(Duration::from_millis(n as u64 * 20)).await;
            let caller = Caller::new("dues");
            let key = Uuid::now_v7();
            let body = format!("m{n}");
            let mut outcomes = Vec::new();
            for _ in 0..6 {
                let entry = entries[rng.random_range(0..entries.len())];
                let post = caller.post(entry, LEDGER, Some(key), &body);
                let answer = tokio::time::timeout(Duration::from_secs(25), post).await;
                match answer {
                    Ok(Some(answer)) if answer.status == 201 => {
                        outcomes.push("ran".to_owned());
                        break;
                    }
                    Ok(Some(answer)) => outcomes.push(answer.error().1),
                    Ok(None) | Err(_) => outcomes.push("unknown".to_owned()),
                }
                tokio::time::sleep(Duration::from_millis(rng.random_range(10..200))).await;
            }
            outcomes
        }));
    }
    let mut rng = SmallRng::seed_from_u64(seed);
    for _ in 0..24 {
        tokio::time::sleep(Duration::from_millis(250)).await;
        inject_fault(&fleet, &mut rng).await;
    }
    let mut ran = 0;
    for (n, post) in posts.into_iter().enumerate() {
        let outcomes = post.await.unwrap();
        let runs = fleet.lock().await.runs_of(&format!("m{n}"));
        expect_that!(runs, le(1), "m{n} ran twice: {outcomes:?}");
        if outcomes.iter().all(|it| it == "not_run") {
            expect_that!(runs, eq(0), "m{n} ran although every answer was not_run: {outcomes:?}");
        }
        if outcomes.last().is_some_and(|it| it == "ran") {
            ran += 1;
            expect_that!(runs, eq(1), "m{n} succeeded but did not run exactly once: {outcomes:?}");
        }
    }
    println!("{ran} of {KEY_COUNT} keys answered under faults, seed {seed}");
    expect_that!(ran, gt(KEY_COUNT / 2));
}

/// Injects one random fault, or ends the link cuts and the log outage.
async fn inject_fault(fleet: &tokio::sync::Mutex<Fleet>, rng: &mut impl rand::Rng) {
    let mut fleet = fleet.lock().await;
    let ledgers: Vec<_> = fleet.ledgers.keys().cloned().collect();
    let ledger = ledgers[rng.random_range(0..ledgers.len())].clone();
    let n_links = fleet.links.len();
    match rng.random_range(0..6) {
        0 => {
            let entry = fleet.entries[rng.random_range(0..fleet.entries.len())].vm.clone();
            fleet.restart(&entry);
        }
        1 => fleet.restart(&ledger),
        2 => {
            let is_cut = rng.random_bool(0.5);
            fleet.links.values().nth(rng.random_range(0..n_links)).unwrap().faults.cut(is_cut);
        }
        3 => fleet.log.fails_after_append.store(rng.random_bool(0.4), Ordering::SeqCst),
        4 => {
            let is_down = rng.random_bool(0.3);
            fleet.log.set_down(is_down);
        }
        _ => {
            for link in fleet.links.values() {
                link.faults.cut(false);
            }
            fleet.log.set_down(false);
            fleet.ledgers[&ledger].run_ms.store(rng.random_range(0..80), Ordering::SeqCst);
        }
    }
}
