//! Throughput and latency while a failure domain is drained and put back into service, compared
//! with the same load without the drain, and keyed calls under seeded faults. One run; the seed is
//! printed.

#[path = "../tests/support.rs"]
mod support;

use std::{sync::atomic::Ordering, time::Duration};

use alderbay::config::ServiceState;
use rand::{Rng, SeedableRng, rngs::SmallRng};
use support::{
    callers::Caller,
    fleet::{Fleet, FleetPlan, LEDGER, Launcher},
    load::{LoadTally, SteadyLoad},
};
use tokio::time::{Instant, sleep};
use uuid::Uuid;

/// Duration of each measured phase.
const PHASE_TIME: Duration = Duration::from_secs(8);
/// Callers per entry.
const WORKERS: usize = 4;
/// Tokens of each draft.
const TOKENS: u64 = 25;
/// The failure domain that is drained and put back.
const DRAINED_DOMAIN: &str = "south-a";
/// Idempotency keys that are posted.
const KEYS: usize = 10_000;
const SEED: u64 = 20_261;

fn launcher() -> Launcher {
    Launcher { program: env!("CARGO_BIN_EXE_alderbayd").into(), arguments: Vec::new() }
}

fn quantile(durations: &mut [Duration], fraction: f64) -> Duration {
    durations.sort_unstable();
    let last = durations.len().saturating_sub(1);
    durations.get((last as f64 * fraction) as usize).copied().unwrap_or_default()
}

/// Prints the results of one phase: the difference between the tallies at its start and its end.
fn print_phase(name: &str, start: &LoadTally, end: &LoadTally) {
    let mut durations = end.durations[start.durations.len()..].to_vec();
    let sent = end.total() - start.total();
    let completed = end.completed - start.completed;
    println!(
        "{name:<22} {:>5.1} drafts/s, {completed} of {sent} whole, p50 {:?}, p99 {:?}",
        completed as f64 / PHASE_TIME.as_secs_f64(),
        quantile(&mut durations, 0.5),
        quantile(&mut durations, 0.99),
    );
}

/// Measures three phases of a load through the entries of the other domains. With `is_drained`, the
/// domain is drained in the second phase and put back in the third.
async fn run_phases(name: &str, is_drained: bool) -> anyhow::Result<()> {
    let plan = FleetPlan { engines_per_domain: 2, ..FleetPlan::default() };
    let fleet = Fleet::start(plan, launcher()).await;
    let other_entries = fleet.entries.iter().filter(|it| it.domain != DRAINED_DOMAIN);
    let entries: Vec<_> = other_entries.map(|it| it.listen).collect();
    let load = SteadyLoad::start(&Caller::new("dues"), &entries, WORKERS, TOKENS);
    load.wait_completed(100).await;
    let key = format!("failure_domain/{DRAINED_DOMAIN}");
    for (phase, state) in [
        ("steady", None),
        ("leaving", Some(ServiceState::Out)),
        ("returning", Some(ServiceState::In)),
    ] {
        let start = load.current_tally();
        if let Some(state) = state.filter(|_| is_drained) {
            fleet.set_state(&key, state);
        }
        sleep(PHASE_TIME).await;
        print_phase(&format!("{name}, {phase}"), &start, &load.current_tally());
    }
    let tally = load.stop().await;
    println!(
        "{name}: {} cut off or wrong, {} refused",
        tally.wrong.len() as u64 + tally.unanswered,
        tally.refusals()
    );
    Ok(())
}

/// Posts each key through random entries with retries, while agents and entries restart, links are
/// cut and the log service fails. Counts double runs and false "not run" outcomes.
async fn run_keyed_calls() -> anyhow::Result<()> {
    let plan = FleetPlan { is_proxied: true, seed: SEED, ..FleetPlan::default() };
    let mut fleet = Fleet::start(plan, launcher()).await;
    let entries: Vec<_> = fleet.entries.iter().map(|it| it.listen).collect();
    let mut posts = Vec::with_capacity(KEYS);
    let started = Instant::now();
    for n in 0..KEYS {
        let entries = entries.clone();
        posts.push(tokio::spawn(async move {
            let mut rng = SmallRng::seed_from_u64(SEED + n as u64);
            sleep(Duration::from_millis(n as u64 * 3)).await;
            let (caller, key, body) = (Caller::new("dues"), Uuid::now_v7(), format!("m{n}"));
            let mut outcomes = Vec::new();
            for _ in 0..4 {
                let entry = entries[rng.random_range(0..entries.len())];
                match caller.post(entry, LEDGER, Some(key), &body).await {
                    Some(answer) if answer.status == 201 => {
                        outcomes.push("ran".to_owned());
                        break;
                    }
                    Some(answer) => outcomes.push(answer.error().1),
                    None => outcomes.push("unknown".to_owned()),
                }
                sleep(Duration::from_millis(rng.random_range(50..400))).await;
            }
            outcomes
        }));
    }
    let mut rng = SmallRng::seed_from_u64(SEED);
    while started.elapsed() < Duration::from_millis(3 * KEYS as u64) {
        sleep(Duration::from_millis(500)).await;
        inject_fault(&mut fleet, &mut rng);
    }
    fleet.log.set_down(false);
    let (mut ran, mut double_runs, mut false_refusals, mut unknown) = (0, 0, 0, 0);
    for (n, post) in posts.into_iter().enumerate() {
        let outcomes = post.await?;
        let runs = fleet.runs_of(&format!("m{n}"));
        double_runs += usize::from(runs > 1);
        false_refusals += usize::from(runs > 0 && outcomes.iter().all(|it| it == "not_run"));
        ran += usize::from(outcomes.last().is_some_and(|it| it == "ran"));
        unknown += usize::from(outcomes.last().is_some_and(|it| it == "unknown"));
    }
    println!(
        "{KEYS} keys under faults, seed {SEED}: {double_runs} double runs, {false_refusals} false \"not run\", {ran} answered, {unknown} unknown in the end"
    );
    Ok(())
}

/// Restarts a ledger's agent or an entry, cuts or restores a link, switches a log fault on or off, or
/// restores all links and ends a log outage.
fn inject_fault(fleet: &mut Fleet, rng: &mut SmallRng) {
    let ledgers: Vec<_> = fleet.ledgers.keys().cloned().collect();
    let ledger = ledgers[rng.random_range(0..ledgers.len())].clone();
    match rng.random_range(0..8) {
        0 => fleet.restart(&ledger),
        1 => {
            let entry = fleet.entries[rng.random_range(0..fleet.entries.len())].vm.clone();
            fleet.restart(&entry);
        }
        2 => {
            let index = rng.random_range(0..fleet.links.len());
            if let Some(link) = fleet.links.values().nth(index) {
                link.faults.cut(rng.random_bool(0.5));
            }
        }
        3 => fleet.log.fails_after_append.store(rng.random_bool(0.3), Ordering::SeqCst),
        4 => fleet.log.set_down(rng.random_bool(0.3)),
        _ => {
            fleet.links.values().for_each(|it| it.faults.cut(false));
            fleet.log.set_down(false);
        }
    }
}

#[tokio::main]
async fn main() -> anyhow::Result<()> {
    run_phases("without", false).await?;
    run_phases("with", true).await?;
    run_keyed_calls().await
}
