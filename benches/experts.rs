//! Step-time skew, weight moves and decision time of expert placement over a drifting day, beside a
//! static map and a full greedy repack at every interval, on the same seeded input.

use std::{hint::black_box, time::Instant};

use alderbay::experts::{
    BalanceSettings, ExpertMap, LoadEstimate, PopularityTrace, rebalance, repack,
};

const RANKS: usize = 128;
const EXPERTS: usize = 256;
const SPARE_SLOTS: usize = 1;
const SLOTS: usize = EXPERTS / RANKS + SPARE_SLOTS;
/// One interval each half minute.
const INTERVALS: usize = 2_880;
const SEEDS: [u64; 2] = [11, 12];

#[derive(Default)]
struct PolicyTally {
    skew: f64,
    /// Under the loads that the decision knew.
    skew_known: f64,
    moves: usize,
    seconds: f64,
    slowest: f64,
}

impl PolicyTally {
    fn show(&self, name: &str, layers: usize) {
        let decisions = (layers * INTERVALS) as f64;
        println!(
            "{name:<12} skew {:.4} (known loads {:.4})  moves a decision {:>7.2}  decision {:.3} ms, \
             slowest {:.3} ms",
            self.skew / decisions,
            self.skew_known / decisions,
            self.moves as f64 / decisions,
            self.seconds * 1e3 / decisions,
            self.slowest * 1e3,
        );
    }
}

type Policy = fn(&ExpertMap, &[f64]) -> ExpertMap;

fn run(seed: u64, policy: Policy, tally: &mut PolicyTally) -> anyhow::Result<()> {
    let mut map = ExpertMap::initial(EXPERTS, RANKS, SLOTS)?;
    let mut estimate = LoadEstimate::new(EXPERTS, 1.0);
    let mut day = PopularityTrace::new(EXPERTS, INTERVALS + 1, seed);
    // Reports lag: the decision for an interval knows those before it only.
    let mut known = day.next().unwrap_or_default();
    for loads in day {
        estimate.observe(&known);
        let started = Instant::now();
        let next = black_box(policy(&map, estimate.loads()));
        let seconds = started.elapsed().as_secs_f64();
        tally.seconds += seconds;
        tally.slowest = tally.slowest.max(seconds);
        tally.moves += map.moves_to(&next).len();
        map = next;
        tally.skew_known += map.skew(estimate.loads());
        tally.skew += map.skew(&loads);
        known = loads;
    }
    Ok(())
}

fn main() -> anyhow::Result<()> {
    println!("{RANKS} ranks, {EXPERTS} experts, {SPARE_SLOTS} spare slot a rank, seeds {SEEDS:?}");
    let policies: [(&str, Policy); 3] = [
        ("static", |map, _| map.clone()),
        ("full repack", repack),
        ("alderbay", |map, loads| rebalance(map, loads, BalanceSettings::default()).map),
    ];
    let mut tallies = Vec::new();
    for (name, policy) in policies {
        let mut tally = PolicyTally::default();
        for seed in SEEDS {
            run(seed, policy, &mut tally)?;
        }
        tally.show(name, SEEDS.len());
        tallies.push(tally);
    }
    let moves = tallies[2].moves as f64 / tallies[1].moves as f64;
    println!("moves of alderbay over the full repack's: {:.3}", moves);
    Ok(())
}
