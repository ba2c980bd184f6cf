//! Step-time skew, weight moves and decision time of expert placement over a day of drifting
//! popularity, compared with a static map and with a full greedy repack at every interval, on the
//! same seeded input.

use std::{hint::black_box, time::Instant};

use alderbay::experts::{
    BalanceSettings, ExpertMap, LoadEstimate, PopularityTrace, rebalance, repack,
};

const RANKS: usize = 128;
const EXPERTS: usize = 256;
/// Slots of a rank beyond its share of the experts.
const SPARE_SLOTS: usize = 1;
/// Slots of a rank.
const SLOTS: usize = EXPERTS / RANKS + SPARE_SLOTS;
/// Decisions per layer: one every 30 s over a day.
const INTERVALS: usize = 2_880;
const SEEDS: [u64; 2] = [11, 12];

/// Sums over all decisions of one policy.
#[derive(Default)]
struct PolicyTally {
    /// Skew under the loads of the interval that the decision is for.
    skew: f64,
    /// Skew under the estimated loads that the decision is based on.
    skew_known: f64,
    /// Weights copied to another slot.
    moves: usize,
    /// Time of all decisions.
    seconds: f64,
    /// Time of the slowest decision, in seconds.
    slowest_seconds: f64,
}

impl PolicyTally {
    fn print(&self, name: &str, layers: usize) {
        let decisions = (layers * INTERVALS) as f64;
        println!(
            "{name:<12} skew {:.4} (known loads {:.4})  moves a decision {:>7.2}  decision {:.3} ms, \
             slowest {:.3} ms",
            self.skew / decisions,
            self.skew_known / decisions,
            self.moves as f64 / decisions,
            self.seconds * 1e3 / decisions,
            self.slowest_seconds * 1e3,
        );
    }
}

/// Computes the next map from the current map and the estimated loads.
type Policy = fn(&ExpertMap, &[f64]) -> ExpertMap;

/// Runs a policy over one day, for the layer that `seed` generates.
fn run(seed: u64, policy: Policy, tally: &mut PolicyTally) -> anyhow::Result<()> {
    let mut map = ExpertMap::initial(EXPERTS, RANKS, SLOTS)?;
    let mut estimate = LoadEstimate::new(EXPERTS, 1.0);
    let mut trace = PopularityTrace::new(EXPERTS, INTERVALS + 1, seed);
    // Load reports lag: a decision for an interval knows only the loads of earlier intervals.
    let mut last_loads = trace.next().unwrap_or_default();
    for loads in trace {
        estimate.observe(&last_loads);
        let started = Instant::now();
        let next = black_box(policy(&map, estimate.loads()));
        let seconds = started.elapsed().as_secs_f64();
        tally.seconds += seconds;
        tally.slowest_seconds = tally.slowest_seconds.max(seconds);
        tally.moves += map.moves_to(&next).len();
        map = next;
        tally.skew_known += map.skew(estimate.loads());
        tally.skew += map.skew(&loads);
        last_loads = loads;
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
        tally.print(name, SEEDS.len());
        tallies.push(tally);
    }
    let moves_ratio = tallies[2].moves as f64 / tallies[1].moves as f64;
    println!("moves of alderbay over the full repack's: {:.3}", moves_ratio);
    Ok(())
}
