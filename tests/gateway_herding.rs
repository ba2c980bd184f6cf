//! Simulates many gateways that choose servers by the same load reports, up to 100 ms old. Guards
//! against herding, where all gateways send to the server that reported the lowest load.

use alderbay::{
    routing::{AdmissionSettings, Candidate, PlacementChoice, choose_candidate},
    units::ServerId,
};
use googletest::prelude::*;
use rand::{Rng, SeedableRng, rngs::SmallRng};

const GATEWAYS: usize = 36;
const SERVERS: usize = 64;
const SLOTS: u32 = 10;
const SEED_COUNT: u64 = 5;
const REPORT_INTERVAL_MS: u64 = 100;
const SERVICE_TIME_MS: std::ops::Range<u64> = 800..2_200;
const RUN_MS: u64 = 20_000;

type ChooseServer = fn(&[Candidate<'_>], &mut SmallRng) -> Option<ServerId>;

/// Baseline: the server with the lowest reported load per slot, with noise against ties.
fn least_loaded(candidates: &[Candidate<'_>], rng: &mut SmallRng) -> Option<ServerId> {
    let score = |it: &Candidate<'_>, noise: f64| it.load / f64::from(it.slots) + noise;
    let scored: Vec<(f64, &Candidate<'_>)> =
        candidates.iter().map(|it| (score(it, rng.random_range(0.0..=0.08)), it)).collect();
    let least = scored.into_iter().min_by(|a, b| a.0.total_cmp(&b.0))?;
    Some(least.1.id.clone())
}

fn alderbay_choice(candidates: &[Candidate<'_>], rng: &mut SmallRng) -> Option<ServerId> {
    match choose_candidate(candidates, &AdmissionSettings::default(), rng) {
        PlacementChoice::Server(id) => Some(id),
        PlacementChoice::Full | PlacementChoice::Resting(_) | PlacementChoice::NoCandidate => None,
    }
}

/// Simulates one run. Returns how many requests per thousand reach a server without a free slot or
/// get no server.
fn overload_per_mille(choose: ChooseServer, per_second: f64, seed: u64) -> f64 {
    let mut rng = SmallRng::seed_from_u64(seed);
    let ids: Vec<ServerId> = (0..SERVERS).map(|n| format!("i-{n}").parse().unwrap()).collect();
    // End times of the requests at each server.
    let mut running: Vec<Vec<u64>> = vec![Vec::new(); SERVERS];
    let mut reported = [0.0; SERVERS];
    let mut sent_since_report = vec![[0.0; SERVERS]; GATEWAYS];
    let (mut requests, mut overloaded) = (0, 0);
    for now in 0..RUN_MS {
        running.iter_mut().for_each(|it| it.retain(|end| *end > now));
        for server in
            (0..SERVERS).filter(|it| now % REPORT_INTERVAL_MS == *it as u64 % REPORT_INTERVAL_MS)
        {
            reported[server] = running[server].len() as f64;
            sent_since_report.iter_mut().for_each(|it| it[server] = 0.0);
        }
        if !rng.random_bool(per_second / 1_000.0) {
            continue;
        }
        requests += 1;
        let gateway = rng.random_range(0..GATEWAYS);
        let candidates: Vec<Candidate<'_>> = ids
            .iter()
            .enumerate()
            .map(|(n, id)| Candidate {
                id,
                load: reported[n] + sent_since_report[gateway][n],
                slots: SLOTS,
                pace_factor: 1.0,
            })
            .collect();
        let Some(server) =
            choose(&candidates, &mut rng).and_then(|it| ids.iter().position(|id| *id == it))
        else {
            overloaded += 1;
            continue;
        };
        overloaded += usize::from(running[server].len() >= SLOTS as usize);
        sent_since_report[gateway][server] += 1.0;
        running[server].push(now + rng.random_range(SERVICE_TIME_MS));
    }
    overloaded as f64 * 1_000.0 / f64::from(requests)
}

#[gtest]
fn old_reports_cause_no_herding() {
    for (per_second, bound) in [(120.0, 1.0), (240.0, 10.0)] {
        for seed in 0..SEED_COUNT {
            let (baseline, alderbay) = (
                overload_per_mille(least_loaded, per_second, seed),
                overload_per_mille(alderbay_choice, per_second, seed),
            );
            println!(
                "{per_second} requests/s, seed {seed}: overloaded per thousand: least loaded \
                 {baseline:.1}, alderbay {alderbay:.1}"
            );
            expect_that!(alderbay, le(bound), "seed {}", seed);
            expect_that!(alderbay, lt(baseline), "seed {}", seed);
        }
    }
}
