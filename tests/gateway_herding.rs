//! Many gateways that place requests by the same reports, some 100 ms old: none of them may make a
//! server the target of all.

use alderbay::{
    routing::{AdmissionSettings, Candidate, PlacementChoice, choose_candidate},
    units::ServerId,
};
use googletest::prelude::*;
use rand::{Rng, SeedableRng, rngs::SmallRng};

const GATEWAYS: usize = 36;
const SERVERS: usize = 64;
const SLOTS: u32 = 10;
const SEEDS: u64 = 5;
/// Time between two reports of a server.
const REPORT_MS: u64 = 100;
const SERVICE_MS: std::ops::Range<u64> = 800..2_200;
const RUN_MS: u64 = 20_000;

type Choose = fn(&[Candidate<'_>], &mut SmallRng) -> Option<ServerId>;

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
        PlacementChoice::Full | PlacementChoice::NoCandidate => None,
    }
}

/// Requests for each thousand that find their server without a free place, or find none.
fn play(choose: Choose, per_second: f64, seed: u64) -> f64 {
    let mut rng = SmallRng::seed_from_u64(seed);
    let ids: Vec<ServerId> = (0..SERVERS).map(|n| format!("i-{n}").parse().unwrap()).collect();
    let mut running: Vec<Vec<u64>> = vec![Vec::new(); SERVERS];
    let mut reported = [0.0; SERVERS];
    let mut begun = vec![[0.0; SERVERS]; GATEWAYS];
    let (mut asked, mut crowded) = (0, 0);
    for now in 0..RUN_MS {
        running.iter_mut().for_each(|it| it.retain(|end| *end > now));
        for server in (0..SERVERS).filter(|it| now % REPORT_MS == *it as u64 % REPORT_MS) {
            reported[server] = running[server].len() as f64;
            begun.iter_mut().for_each(|it| it[server] = 0.0);
        }
        if !rng.random_bool(per_second / 1_000.0) {
            continue;
        }
        asked += 1;
        let gateway = rng.random_range(0..GATEWAYS);
        let candidates: Vec<Candidate<'_>> = ids
            .iter()
            .enumerate()
            .map(|(n, id)| Candidate { id, load: reported[n] + begun[gateway][n], slots: SLOTS })
            .collect();
        let Some(server) =
            choose(&candidates, &mut rng).and_then(|it| ids.iter().position(|id| *id == it))
        else {
            crowded += 1;
            continue;
        };
        crowded += usize::from(running[server].len() >= SLOTS as usize);
        begun[gateway][server] += 1.0;
        running[server].push(now + rng.random_range(SERVICE_MS));
    }
    crowded as f64 * 1_000.0 / f64::from(asked)
}

#[gtest]
fn reports_draw_no_herd() {
    for (per_second, bound) in [(120.0, 1.0), (240.0, 10.0)] {
        for seed in 0..SEEDS {
            let (naive, own) =
                (play(least_loaded, per_second, seed), play(alderbay_choice, per_second, seed));
            println!("{per_second} a second, seed {seed}: {naive:.1} and {own:.1} in a thousand");
            expect_that!(own, le(bound), "seed {}", seed);
            expect_that!(own, lt(naive), "seed {}", seed);
        }
    }
}
