//! Requests served end to end by real processes.

use googletest::prelude::*;
use uuid::Uuid;

use crate::{
    launcher,
    support::{
        callers::Caller,
        engine::draft_text,
        fleet::{Fleet, FleetPlan, LEDGER, MODEL},
    },
};

#[gtest]
#[tokio::test]
async fn draft_streams_to_end() {
    let fleet = Fleet::start(FleetPlan::default(), launcher()).await;
    let caller = Caller::new("dues");
    let answer = caller.draft(fleet.entries[0].listen, MODEL, "hello", 20, true).await.unwrap();
    assert_that!(answer.status, eq(200));
    assert_that!(answer.stream(), eq(&(draft_text("hello", 20), true)));
    assert_that!(answer.headers.contains_key("x-request-id"), eq(true));

    let answer = caller.draft(fleet.entries[1].listen, MODEL, "whole", 5, false).await.unwrap();
    assert_that!(answer.status, eq(200));
    assert_that!(answer.text(), contains_substring(draft_text("whole", 5)));
}

#[gtest]
#[tokio::test]
async fn keyed_request_runs_once() {
    let fleet = Fleet::start(FleetPlan::default(), launcher()).await;
    let caller = Caller::new("dues");
    let key = Uuid::now_v7();
    for entry in &fleet.entries {
        let answer = caller.post(entry.listen, LEDGER, Some(key), "mandate-1").await.unwrap();
        assert_that!(answer.status, eq(201), "{}", answer.text());
    }
    assert_that!(fleet.runs_of("mandate-1"), eq(1));
}
