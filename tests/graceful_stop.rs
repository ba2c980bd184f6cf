//! A process that stops on SIGTERM completes its requests in flight.

use googletest::prelude::*;

use crate::{
    launcher,
    support::{
        callers::Caller,
        fleet::{Fleet, FleetPlan},
        load::SteadyLoad,
    },
};

#[gtest]
#[tokio::test]
async fn agent_stops_under_load() {
    let mut fleet = Fleet::start(FleetPlan::default(), launcher()).await;
    let entries: Vec<_> = fleet.entries.iter().map(|it| it.listen).collect();
    let load = SteadyLoad::start(&Caller::new("dues"), &entries, 4, 60);
    load.wait_completed(20).await;
    let agent = fleet.process_mut(&"engine-south-a-0".parse().unwrap());
    agent.signal("TERM");
    expect_that!(agent.wait_exit().await, some(eq(0)), "{}", agent.log_text());
    load.wait_completed(20).await;
    let tally = load.stop().await;
    expect_that!(tally.total(), eq(tally.completed), "{tally:?}");
}

#[gtest]
#[tokio::test]
async fn entry_stops_under_load() {
    let mut fleet = Fleet::start(FleetPlan::default(), launcher()).await;
    let stopping = fleet.entries[0].listen;
    let load = SteadyLoad::start(&Caller::new("dues"), &[stopping], 6, 2_500);
    load.wait_completed(2).await;
    fleet.entries[0].signal("TERM");
    // Callers stop sending once the entry reports that it is not ready; requests in flight must
    // complete.
    let admin = fleet.entries[0].admin;
    let is_unready =
        crate::support::callers::wait_until(crate::support::fleet::WAIT_TIMEOUT, || async {
            let ready = http::Request::get("/ready");
            let answer = Caller::new("balancer").send(admin, ready, "").await;
            answer.is_none_or(|it| it.status == 503)
        })
        .await;
    expect_that!(is_unready, eq(true));
    let tally = load.stop().await;
    expect_that!(tally.total(), eq(tally.completed), "{tally:?}");
    let entry = &mut fleet.entries[0];
    expect_that!(entry.wait_exit().await, some(eq(0)), "{}", entry.log_text());
}
