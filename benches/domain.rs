//! Service while a failure domain leaves and returns, beside the same load without it, and keyed
//! calls under seeded faults. One run; the seed is printed.

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

const PHASE: Duration = Duration::from_secs(8);
const WORKERS: usize = 4;
const TOKENS: u64 = 25;
const DOMAIN: &str = "south-a";
const KEYS: usize = 10_000;
const SEED: u64 = 20_261;

fn launcher() -> Launcher {
    Launcher { program: env!("CARGO_BIN_EXE_alderbayd").into(), arguments: Vec::new() }
}

fn quantile(durations: &mut [Duration], q: f64) -> Duration {
    durations.sort_unstable();
    let last = durations.len().saturating_sub(1);
    durations.get((last as f64 * q) as usize).copied().unwrap_or_default()
}

fn show(name: &str, from: &LoadTally, to: &LoadTally) {
    let mut durations = to.durations[from.durations.len()..].to_vec();
    let asked = to.total() - from.total();
    let whole = to.whole - from.whole;
    println!(
        "{name:<22} {:>5.1} drafts/s, {whole} of {asked} whole, p50 {:?}, p99 {:?}",
        whole as f64 / PHASE.as_secs_f64(),
        quantile(&mut durations, 0.5),
        quantile(&mut durations, 0.99),
    );
}

/// Load through the entries of the domains that stay, in three phases.
async fn phases(name: &str, leaves: bool) -> anyhow::Result<()> {
    let plan = FleetPlan { engines_per_domain: 2, ..FleetPlan::default() };
    let fleet = Fleet::start(plan, launcher()).await;
    let staying = fleet.entries.iter().filter(|it| it.domain != DOMAIN);
    let entries: Vec<_> = staying.map(|it| it.listen).collect();
    let load = SteadyLoad::start(&Caller::new("dues"), &entries, WORKERS, TOKENS);
    load.wait_whole(100).await;
    let key = format!("failure_domain/{DOMAIN}");
    for (phase, state) in [
        ("steady", None),
        ("leaving", Some(ServiceState::Out)),
        ("returning", Some(ServiceState::In)),
    ] {
        let from = load.so_far();
        if let Some(state) = state.filter(|_| leaves) {
            fleet.set_state(&key, state);
        }
        sleep(PHASE).await;
        show(&format!("{name}, {phase}"), &from, &load.so_far());
    }
    let tally = load.stop().await;
    println!(
        "{name}: {} cut off or wrong, {} refused",
        tally.wrong.len() as u64 + tally.unanswered,
        tally.refusals()
    );
    Ok(())
}

/// Posts keys through random entries while agents restart, links are cut and the log fails.
async fn keyed_calls() -> anyhow::Result<()> {
    let plan = FleetPlan { is_proxied: true, seed: SEED, ..FleetPlan::default() };
    let mut fleet = Fleet::start(plan, launcher()).await;
    let entries: Vec<_> = fleet.entries.iter().map(|it| it.listen).collect();
    let mut posting = Vec::with_capacity(KEYS);
    let started = Instant::now();
    for n in 0..KEYS {
        let entries = entries.clone();
        posting.push(tokio::spawn(async move {
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
        inject(&mut fleet, &mut rng);
    }
    fleet.log.set_down(false);
    let (mut ran, mut double, mut false_not_run, mut unknown) = (0, 0, 0, 0);
    for (n, post) in posting.into_iter().enumerate() {
        let outcomes = post.await?;
        let runs = fleet.runs_of(&format!("m{n}"));
        double += usize::from(runs > 1);
        false_not_run += usize::from(runs > 0 && outcomes.iter().all(|it| it == "not_run"));
        ran += usize::from(outcomes.last().is_some_and(|it| it == "ran"));
        unknown += usize::from(outcomes.last().is_some_and(|it| it == "unknown"));
    }
    println!(
        "{KEYS} keys under faults, seed {SEED}: {double} double runs, {false_not_run} false \"not run\", {ran} answered, {unknown} unknown in the end"
    );
    Ok(())
}

fn inject(fleet: &mut Fleet, rng: &mut SmallRng) {
    let ledgers: Vec<_> = fleet.ledgers.keys().cloned().collect();
    let ledger = ledgers[rng.random_range(0..ledgers.len())].clone();
    match rng.random_range(0..8) {
        0 => fleet.restart(&ledger),
        1 => {
            let entry = fleet.entries[rng.random_range(0..fleet.entries.len())].vm.clone();
            fleet.restart(&entry);
        }
        2 => {
            let nth = rng.random_range(0..fleet.links.len());
            if let Some(link) = fleet.links.values().nth(nth) {
                link.faults.cut(rng.random_bool(0.5));
            }
        }
        3 => fleet.log.loses_answers.store(rng.random_bool(0.3), Ordering::SeqCst),
        4 => fleet.log.set_down(rng.random_bool(0.3)),
        _ => {
            fleet.links.values().for_each(|it| it.faults.cut(false));
            fleet.log.set_down(false);
        }
    }
}

#[tokio::main]
async fn main() -> anyhow::Result<()> {
    phases("without", false).await?;
    phases("with", true).await?;
    keyed_calls().await
}
