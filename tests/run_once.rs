//! A non-idempotent request runs at most once, and "not run" is true.

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

fn slow_ledgers(fleet: &Fleet, run_ms: u64) {
    for ledger in fleet.ledgers.values() {
        ledger.run_ms.store(run_ms, Ordering::SeqCst);
    }
}

/// Waits until the body has begun to run somewhere.
async fn wait_running(fleet: &Fleet, body: &str) {
    let is_running = wait_until(WAIT_TIMEOUT, || async { fleet.runs_of(body) > 0 }).await;
    assert!(is_running, "{body} does not begin to run");
}

fn error_of(answer: &Option<Answer>) -> Option<(String, String)> {
    answer.as_ref().filter(|it| it.status >= 400).map(Answer::error)
}

#[gtest]
#[tokio::test]
async fn same_key_on_all_entries_at_once() {
    let fleet = Fleet::start(FleetPlan::default(), launcher()).await;
    slow_ledgers(&fleet, 50);
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
    slow_ledgers(&fleet, 300);
    let caller = Caller::new("dues");
    let key = Uuid::now_v7();
    let first = fleet.entries[0].listen;
    let posting = {
        let caller = caller.clone();
        tokio::spawn(async move { caller.post(first, LEDGER, Some(key), "m").await })
    };
    wait_running(&fleet, "m").await;
    fleet.entries[0].kill();
    expect_that!(posting.await.unwrap().is_none(), eq(true), "a dead entry answered");
    let answer = caller.post(fleet.entries[1].listen, LEDGER, Some(key), "m").await;
    expect_that!(answer.map(|it| it.status), some(eq(201)));
    expect_that!(fleet.runs_of("m"), eq(1));
}

#[gtest]
#[tokio::test]
async fn agent_dies_after_hand_over() {
    let mut fleet = Fleet::start(FleetPlan::default(), launcher()).await;
    slow_ledgers(&fleet, 300);
    let caller = Caller::new("dues");
    let key = Uuid::now_v7();
    let (first, second) = (fleet.entries[0].listen, fleet.entries[1].listen);
    let posting = {
        let caller = caller.clone();
        tokio::spawn(async move { caller.post(first, LEDGER, Some(key), "m").await })
    };
    wait_running(&fleet, "m").await;
    let holder = fleet.ledgers.iter().find(|(_, it)| it.runs_of("m") > 0).unwrap().0.clone();
    fleet.process_mut(&holder).kill();
    let answer = posting.await.unwrap();
    expect_that!(error_of(&answer).map(|it| it.1), some(eq("unknown")), "{answer:?}");
    // While the holder is gone, and after it came back with nothing remembered.
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
async fn log_outage_runs_nothing_unclaimed() {
    let fleet = Fleet::start(FleetPlan::default(), launcher()).await;
    let caller = Caller::new("dues");
    let key = Uuid::now_v7();
    let entry = fleet.entries[0].listen;
    fleet.log.set_down(true);
    let answer = caller.post(entry, LEDGER, Some(key), "m").await;
    let refusal = Some(("claims_unavailable".to_owned(), "not_run".to_owned()));
    expect_that!(error_of(&answer), eq(&refusal), "{answer:?}");
    expect_that!(fleet.runs_of("m"), eq(0));
    // Reads, and calls that their caller never repeats, go on.
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

async fn ticket(caller: &Caller, entry: std::net::SocketAddr) -> String {
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
    let ticket_1 = ticket(&caller, first).await;
    for entry in [first, second, first] {
        let answer = post_ticketed(&caller, entry, &ticket_1, "m").await;
        expect_that!(answer.map(|it| it.status), some(eq(201)));
    }
    expect_that!(fleet.runs_of("m"), eq(1));
    // A later life of the agent has forgotten its tickets: it must not run them.
    let ticket_2 = ticket(&caller, first).await;
    let holder = ticket_2.split('/').nth(1).unwrap().parse().unwrap();
    fleet.restart(&holder);
    fleet.wait_connected().await;
    let answer = post_ticketed(&caller, second, &ticket_2, "n").await;
    expect_that!(error_of(&answer).map(|it| it.1), some(eq("unknown")), "{answer:?}");
    expect_that!(fleet.runs_of("n"), eq(0));
    // Another account cannot use a ticket.
    let ticket_3 = ticket(&caller, first).await;
    let answer = post_ticketed(&Caller::new("tours"), first, &ticket_3, "o").await;
    expect_that!(error_of(&answer).map(|it| it.1), some(eq("unknown")), "{answer:?}");
    expect_that!(fleet.runs_of("o"), eq(0));
}

#[gtest]
#[tokio::test]
async fn lost_append_answers_run_once() {
    let fleet = Fleet::start(FleetPlan::default(), launcher()).await;
    let caller = Caller::new("dues");
    let key = Uuid::now_v7();
    fleet.log.fails_after_append.store(true, Ordering::SeqCst);
    for entry in &fleet.entries {
        // The claim stands although its answer was lost, so either it is seen in time or refused.
        let answer = caller.post(entry.listen, LEDGER, Some(key), "m").await;
        let refusal = error_of(&answer);
        let is_true = answer.as_ref().is_some_and(|it| it.status == 201)
            || refusal.is_some_and(|it| it.1 == "not_run");
        expect_that!(is_true, eq(true), "{answer:?}");
    }
    fleet.log.fails_after_append.store(false, Ordering::SeqCst);
    let answer = caller.post(fleet.entries[0].listen, LEDGER, Some(key), "m").await;
    expect_that!(answer.map(|it| it.status), some(eq(201)));
    expect_that!(fleet.runs_of("m"), eq(1));
}

#[gtest]
#[tokio::test]
async fn paused_agent_wakes() {
    let mut fleet = Fleet::start(FleetPlan::default(), launcher()).await;
    let caller = Caller::new("dues");
    // Keys claimed by each agent, so that one of them is the paused one's.
    let keys: Vec<Uuid> = (0..12).map(|_| Uuid::now_v7()).collect();
    let paused = fleet.ledgers.keys().next().unwrap().clone();
    fleet.process(&paused).signal("STOP");
    let entries: Vec<_> = fleet.entries.iter().map(|it| it.listen).collect();
    let mut posting = Vec::new();
    for (n, key) in keys.iter().enumerate() {
        for entry in &entries {
            let (caller, key, entry) = (caller.clone(), *key, *entry);
            let body = format!("m{n}");
            let post = async move { caller.post(entry, LEDGER, Some(key), &body).await };
            posting.push(tokio::spawn(post));
        }
    }
    // Long enough for the entries to lose the paused agent and to try others.
    tokio::time::sleep(Duration::from_secs(9)).await;
    fleet.process(&paused).signal("CONT");
    for post in posting {
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
async fn unkeyed_call_is_never_repeated() {
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

/// Random faults while keys are posted through random entries, each tried again until it is
/// answered: no key runs twice, and a key that every answer calls not run did not run.
#[gtest]
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn no_double_run_under_faults() {
    use rand::{Rng, SeedableRng, rngs::SmallRng};

    const KEYS: usize = 300;
    let seed = 4121;
    let plan = FleetPlan { is_proxied: true, seed, ..FleetPlan::default() };
    let fleet = Arc::new(tokio::sync::Mutex::new(Fleet::start(plan, launcher()).await));
    let entries: Vec<_> = fleet.lock().await.entries.iter().map(|it| it.listen).collect();
    let mut posting = Vec::new();
    for n in 0..KEYS {
        let entries = entries.clone();
        posting.push(tokio::spawn(async move {
            let mut rng = SmallRng::seed_from_u64(seed + n as u64);
            tokio::time::sleep(Duration::from_millis(n as u64 * 20)).await;
            let caller = Caller::new("dues");
            let key = Uuid::now_v7();
            let body = format!("m{n}");
            let mut outcomes = Vec::new();
            for _ in 0..6 {
                let entry = entries[rng.random_range(0..entries.len())];
                let posted = caller.post(entry, LEDGER, Some(key), &body);
                let answer = tokio::time::timeout(Duration::from_secs(25), posted).await;
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
        inject(&fleet, &mut rng).await;
    }
    let mut ran = 0;
    for (n, post) in posting.into_iter().enumerate() {
        let outcomes = post.await.unwrap();
        let runs = fleet.lock().await.runs_of(&format!("m{n}"));
        expect_that!(runs, le(1), "m{n} ran twice: {outcomes:?}");
        if outcomes.iter().all(|it| it == "not_run") {
            expect_that!(runs, eq(0), "m{n} ran: {outcomes:?}");
        }
        if outcomes.last().is_some_and(|it| it == "ran") {
            ran += 1;
            expect_that!(runs, eq(1), "m{n} did not run: {outcomes:?}");
        }
    }
    println!("{ran} of {KEYS} keys answered under faults, seed {seed}");
    expect_that!(ran, gt(KEYS / 2));
}

async fn inject(fleet: &tokio::sync::Mutex<Fleet>, rng: &mut impl rand::Rng) {
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
