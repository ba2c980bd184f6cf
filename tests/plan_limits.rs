//! Each account gets the rate and concurrency that its plan grants, whatever load other accounts
//! send.

use alderbay::{
    config::{EntryValue, PlanRecord},
    units::{ConcurrencyLimit, PriorityLevel},
};
use googletest::prelude::*;
use tokio::time::{Duration, Instant, sleep_until};

use crate::{
    launcher,
    support::{
        callers::{Caller, wait_until},
        fleet::{Fleet, FleetPlan, LEDGER, MODEL, WAIT_TIMEOUT},
        load::SteadyLoad,
    },
};

/// Least fraction of requests within its grant that an account gets served while another account
/// sends a burst.
const MIN_SERVED_RATIO: f64 = 0.99;

fn plan(requests_per_second: f64, concurrency: u32) -> EntryValue {
    EntryValue::Plan(PlanRecord {
        services: [MODEL, LEDGER].iter().map(|it| it.parse().unwrap()).collect(),
        requests_per_second: requests_per_second.try_into().unwrap(),
        tokens_per_second: 1e6.try_into().unwrap(),
        concurrency: ConcurrencyLimit(concurrency),
        priority: PriorityLevel(1),
    })
}

#[gtest]
#[tokio::test]
async fn burst_spares_other_accounts() {
    let fleet = Fleet::start(FleetPlan::default(), launcher()).await;
    // The plan of the bursting account allows 24 requests in flight; the account sends ten times
    // as many.
    fleet.edit(vec![("plan/basic", Some(plan(300.0, 24)))]);
    let version = fleet.edit(vec![("plan/gold", Some(plan(120.0, 60)))]);
    fleet.wait_version(version).await;
    let entries: Vec<_> = fleet.entries.iter().map(|it| it.listen).collect();
    let warm_up = SteadyLoad::start(&Caller::new("tours"), &entries, 4, 20);
    warm_up.wait_completed(60).await;
    warm_up.stop().await;

    let burst = SteadyLoad::start(&Caller::new("tours"), &entries, 80, 10);
    burst.wait_completed(30).await;
    // The other account sends requests at half its granted rate, evenly spaced.
    let started = Instant::now();
    let mut drafts = Vec::new();
    for n in 0..180_u64 {
        sleep_until(started + Duration::from_micros(16_667 * n)).await;
        let entry = entries[usize::try_from(n).unwrap() % entries.len()];
        let prompt = format!("steady {n}");
        drafts.push(tokio::spawn(async move {
            Caller::new("dues").draft(entry, MODEL, &prompt, 5, true).await
        }));
    }
    let mut n_complete = 0;
    let total = drafts.len();
    for answer in drafts {
        n_complete += usize::from(answer.await.unwrap().is_some_and(|it| it.stream().1));
    }
    let burst_tally = burst.stop().await;
    println!(
        "{n_complete} of {total} served during a burst that was refused {} times",
        burst_tally.refusals()
    );
    expect_that!(n_complete as f64 / total as f64, ge(MIN_SERVED_RATIO));
    expect_that!(burst_tally.refusals(), gt(0));
    expect_that!(burst_tally.wrong, is_empty());
    for (code, outcome) in burst_tally.refused.keys() {
        expect_that!(outcome.as_str(), eq("not_run"), "{code}");
    }
}

#[gtest]
#[tokio::test]
async fn rate_limit_spans_the_fleet() {
    let fleet = Fleet::start(FleetPlan::default(), launcher()).await;
    let version = fleet.edit(vec![("plan/basic", Some(plan(30.0, 1_000)))]);
    fleet.wait_version(version).await;
    let caller = Caller::new("tours");
    let started = Instant::now();
    let (mut served, mut refused) = (0_u32, 0_u32);
    while started.elapsed() < Duration::from_secs(3) {
        for entry in &fleet.entries {
            let answer = caller.draft(entry.listen, MODEL, "p", 1, false).await.unwrap();
            if answer.status == 200 {
                served += 1;
                continue;
            }
            refused += 1;
            let refusal = ("rate_limited".to_owned(), "not_run".to_owned());
            expect_that!(answer.error(), eq(&refusal));
            expect_that!(answer.headers.contains_key("retry-after"), eq(true));
        }
    }
    let seconds = started.elapsed().as_secs_f64();
    // A token bucket holds the grant of one second, which each of the three entries rounds up to a
    // whole request.
    let granted = 30.0 * (seconds + 1.0) + 3.0;
    println!("{served} served and {refused} refused in {seconds:.2} s, {granted:.0} granted");
    expect_that!(f64::from(served), le(granted));
    expect_that!(refused, gt(0));
}

#[gtest]
#[tokio::test]
async fn shares_follow_demand() {
    /// The three entries divide a fifth of the grant evenly and the rest follows demand, so an
    /// entry with all the demand gets more than this.
    const MIN_SHARE: f64 = 0.8;
    let mut fleet = Fleet::start(FleetPlan::default(), launcher()).await;
    let share = async |fleet: &Fleet, entry: usize| {
        let status = fleet.entries[entry].status().await;
        status.and_then(|it| it.shares.get(&"tours".parse().unwrap()).copied())
    };
    for entry in [0, 1, 2, 0] {
        let load = SteadyLoad::start(&Caller::new("tours"), &[fleet.entries[entry].listen], 2, 4);
        let is_granted = wait_until(WAIT_TIMEOUT, || async {
            share(&fleet, entry).await.is_some_and(|it| it > MIN_SHARE)
        })
        .await;
        let last = share(&fleet, entry).await;
        expect_that!(is_granted, eq(true), "entry {entry} has a share of {last:?}");
        load.stop().await;
    }
    // Once the other entries are dead, the last entry falls back to its equal share if one of them
    // was the account's home.
    for entry in 1..3 {
        fleet.entries[entry].kill();
    }
    let load = SteadyLoad::start(&Caller::new("tours"), &[fleet.entries[0].listen], 2, 4);
    load.wait_completed(50).await;
    let tally = load.stop().await;
    expect_that!(tally.wrong, is_empty());
}
