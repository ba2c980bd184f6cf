//! A process that stops on SIGTERM completes its requests in flight, and accepts no new ones once
//! it has stopped accepting connections.

use std::time::Duration;

use alderbay::{
    http::{HttpListener, ListenerPhase},
    options::HttpLimits,
};
use googletest::prelude::*;
use http::StatusCode;
use tokio::sync::watch;

use crate::{
    launcher,
    support::{
        callers::Caller,
        fleet::{Fleet, FleetPlan},
        gateway,
        load::SteadyLoad,
        ports::free_address,
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

/// While a long response keeps a closed listener alive, a new caller must be refused at once
/// instead of waiting for a response until its deadline.
#[gtest]
#[tokio::test]
async fn closed_listener_refuses_connections() {
    const REFUSAL_TIMEOUT: Duration = Duration::from_secs(5);
    const CONNECT_TIMEOUT: Duration = Duration::from_millis(200);
    let address = free_address();
    let (phase, phases) = watch::channel(ListenerPhase::Open);
    let (finish, finished) = watch::channel(false);
    let (begin, mut begun) = watch::channel(false);
    let listener = HttpListener::bind(address, HttpLimits::default()).await.unwrap();
    let handler = move |_, _| {
        let mut finished = finished.clone();
        begin.send_replace(true);
        async move {
            finished.wait_for(|it| *it).await.unwrap();
            volo_http::response::Response::new("done".into())
        }
    };
    let served = tokio::spawn(listener.serve_with(handler, phases));
    let long_request = tokio::spawn(gateway::get(address, "/"));
    begun.wait_for(|it| *it).await.unwrap();
    phase.send_replace(ListenerPhase::Closed);
    let refused = crate::support::callers::wait_until(REFUSAL_TIMEOUT, || async {
        // A socket that nobody serves accepts connections until its queue is full, then none.
        let connect = tokio::net::TcpStream::connect(address);
        matches!(tokio::time::timeout(CONNECT_TIMEOUT, connect).await, Ok(Err(_)))
    });
    expect_that!(refused.await, eq(true));
    finish.send_replace(true);
    let response = long_request.await.unwrap();
    expect_that!(response, some(eq(&(StatusCode::OK, "done".to_owned()))));
    served.await.unwrap();
}
