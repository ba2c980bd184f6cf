//! Each caller gets the complete answer to its own request, or a visible error, although streams
//! break, replies carry the id of another request, packets are lost and agents die.

use std::{sync::atomic::Ordering, time::Duration};

use googletest::prelude::*;

use crate::{
    launcher,
    support::{
        callers::Caller,
        engine::draft_text,
        fleet::{Fleet, FleetPlan, MODEL},
        load::SteadyLoad,
        proxy::LinkFaults,
    },
};

#[gtest]
#[tokio::test]
async fn broken_stream_resumes_elsewhere() {
    let fleet = Fleet::start(FleetPlan::default(), launcher()).await;
    for engine in fleet.engines.values() {
        engine.break_after_tokens.store(7, Ordering::SeqCst);
    }
    let caller = Caller::new("dues");
    let answer = caller.draft(fleet.entries[0].listen, MODEL, "p", 20, true).await.unwrap();
    expect_that!(answer.stream(), eq(&(draft_text("p", 20), true)), "{}", answer.text());
}

#[gtest]
#[tokio::test]
async fn truncated_stream_ends_with_error() {
    let fleet = Fleet::start(FleetPlan::default(), launcher()).await;
    for engine in fleet.engines.values() {
        engine.omits_end_mark.store(true, Ordering::SeqCst);
    }
    let caller = Caller::new("dues");
    let answer = caller.draft(fleet.entries[0].listen, MODEL, "p", 5, true).await.unwrap();
    let (text, is_done) = answer.stream();
    expect_that!(is_done, eq(false));
    expect_that!(text, eq(&draft_text("p", 5)), "a token was lost or repeated");
    expect_that!(answer.text(), contains_substring("event: error"));
    expect_that!(answer.text(), contains_substring("\"outcome\":\"unknown\""));
}

#[gtest]
#[tokio::test]
async fn mismatched_reply_is_discarded() {
    let fleet = Fleet::start(FleetPlan::default(), launcher()).await;
    let mut engines = fleet.engines.values();
    let healthy = engines.next_back().unwrap();
    for engine in engines {
        engine.sends_wrong_id.store(true, Ordering::SeqCst);
    }
    let caller = Caller::new("dues");
    // Each request costs at most two of the ten retries in the budget of a new entry.
    for n in 0..4 {
        let prompt = format!("p{n}");
        let entry = fleet.entries[0].listen;
        let answer = caller.draft(entry, MODEL, &prompt, 3, true).await.unwrap();
        expect_that!(answer.stream(), eq(&(draft_text(&prompt, 3), true)));
    }
    expect_that!(healthy.finished.load(Ordering::SeqCst), ge(4));
}

#[gtest]
#[tokio::test]
async fn killed_agent_loses_no_token() {
    let mut fleet = Fleet::start(FleetPlan::default(), launcher()).await;
    let entries: Vec<_> = fleet.entries.iter().map(|it| it.listen).collect();
    let load = SteadyLoad::start(&Caller::new("dues"), &entries, 2, 80);
    load.wait_completed(6).await;
    fleet.process_mut(&"engine-south-b-0".parse().unwrap()).kill();
    load.wait_completed(20).await;
    let tally = load.stop().await;
    expect_that!(tally.wrong, is_empty());
    expect_that!(tally.total(), eq(tally.completed), "{tally:?}");
}

#[gtest]
#[tokio::test]
async fn lossy_network_corrupts_no_answer() {
    let seed = 77;
    let plan = FleetPlan { is_proxied: true, seed, ..FleetPlan::default() };
    let fleet = Fleet::start(plan, launcher()).await;
    for link in fleet.links.values() {
        link.faults.set(LinkFaults {
            is_cut: false,
            max_delay: Duration::from_millis(15),
            loss: 0.03,
            duplication: 0.1,
        });
    }
    let entries: Vec<_> = fleet.entries.iter().map(|it| it.listen).collect();
    let load = SteadyLoad::start(&Caller::new("dues"), &entries, 4, 15);
    load.wait_completed(60).await;
    let tally = load.stop().await;
    expect_that!(tally.wrong, is_empty());
    expect_that!(tally.unanswered, eq(0));
}

#[gtest]
#[tokio::test]
async fn disconnected_caller_cancels_draft() {
    let fleet = Fleet::start(FleetPlan::default(), launcher()).await;
    let caller = Caller::new("dues");
    let entry = fleet.entries[0].listen;
    let drafting = caller.draft(entry, MODEL, "long", 100_000, true);
    let aborted = tokio::time::timeout(Duration::from_millis(300), drafting).await;
    expect_that!(aborted.is_err(), eq(true));
    let is_cancelled =
        crate::support::callers::wait_until(crate::support::fleet::WAIT_TIMEOUT, || async {
            fleet.engines.values().all(|it| it.running.load(Ordering::SeqCst) == 0)
        })
        .await;
    expect_that!(is_cancelled, eq(true));
}
