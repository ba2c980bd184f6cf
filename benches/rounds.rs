//! Step-time skew when expert popularity shifts within seconds and copying experts takes time.
//! Compares rounds of small changes with an untouched map, with a full repack and with a search
//! that moves few weights, on the same seeded input. Sizes are those of the users' deployments,
//! today's and grown.

use std::{hint::black_box, time::Instant};

use alderbay::experts::{
    BalanceSettings, ExpertMap, GroupMap, RoundSettings, group_skew, plan_round, rebalance, repack,
};
use rand::{Rng, SeedableRng, rngs::SmallRng, seq::SliceRandom};

const SEEDS: [u64; 2] = [21, 22];
/// Simulated time of a run, in seconds.
const RUN_S: f64 = 35.0;
/// Time between popularity shifts, in seconds.
const SHIFT_S: f64 = 3.5;
/// Fraction of the experts whose popularity changes in a shift.
const SHIFT_FRACTION: f64 = 0.65;
/// Time between load samples, in seconds.
const SAMPLE_S: f64 = 0.15;
/// Time from the end of the copies until all ranks have switched, in seconds.
const SWITCH_S: f64 = 0.2;
/// Weight of the latest sample in the moving average of loads.
const SAMPLE_WEIGHT: f64 = 0.6;

/// Sizes of one deployment.
struct Site {
    name: &'static str,
    layers: usize,
    ranks: usize,
    experts: usize,
    /// Slots of a rank in each layer.
    slots: usize,
    /// Time to copy one expert to a rank, in seconds.
    copy_s: f64,
    /// Exponent of the power law of popularity.
    exponent: f64,
}

const SITES: [Site; 4] = [
    Site {
        name: "today",
        layers: 6,
        ranks: 8,
        experts: 64,
        slots: 11,
        copy_s: 0.148,
        exponent: 1.0,
    },
    Site {
        name: "grown",
        layers: 12,
        ranks: 32,
        experts: 128,
        slots: 5,
        copy_s: 0.037,
        exponent: 0.8,
    },
    Site {
        name: "shifted",
        layers: 12,
        ranks: 72,
        experts: 144,
        slots: 3,
        copy_s: 0.03,
        exponent: 0.6,
    },
    Site {
        name: "large",
        layers: 16,
        ranks: 96,
        experts: 192,
        slots: 3,
        copy_s: 0.018,
        exponent: 0.6,
    },
];

#[derive(Clone, Copy)]
enum Policy {
    Untouched,
    /// Full greedy repack, see [`repack`].
    Repack,
    /// Search that moves few weights, see [`rebalance`].
    FewMoves,
    /// Rounds of small changes, see [`plan_round`].
    Rounds,
}

/// The next map, and the time its copies take in seconds. None if the map stays.
fn plan_next_map(
    site: &Site,
    policy: Policy,
    map: &GroupMap,
    loads: &[Vec<f64>],
) -> Option<(GroupMap, f64)> {
    let next = match policy {
        Policy::Untouched => return None,
        Policy::Rounds => {
            let settings = RoundSettings {
                rank_slots: site.slots,
                max_new: 2,
                max_copies: ((0.3 / site.copy_s) as usize).clamp(1, 6),
                ..RoundSettings::default()
            };
            let round = plan_round(map, loads, &settings)?;
            let gain = (round.skew_before - round.skew_after) / round.skew_before;
            (gain >= 0.05).then_some(round.map)?
        }
        Policy::Repack | Policy::FewMoves => map
            .iter()
            .zip(loads)
            .map(|(ranks, loads)| search_layer(site, policy, ranks, loads))
            .collect(),
    };
    let copies_by_rank = (0..site.ranks).map(|rank| {
        let gained = |(old, new): (&Vec<Vec<u16>>, &Vec<Vec<u16>>)| {
            new[rank].iter().filter(|it| !old[rank].contains(it)).count()
        };
        map.iter().zip(&next).map(gained).sum::<usize>()
    });
    let most_copies = copies_by_rank.max().unwrap_or(0);
    Some((next, most_copies as f64 * site.copy_s))
}

/// The next map of one layer by the searches that need a map without empty slots: fills the slots,
/// then searches.
fn search_layer(site: &Site, policy: Policy, ranks: &[Vec<u16>], loads: &[f64]) -> Vec<Vec<u16>> {
    let mut full = ranks.to_vec();
    for (rank, held) in full.iter_mut().enumerate() {
        let mut next = rank;
        while held.len() < site.slots {
            next = (next + 1) % site.experts;
            if !held.contains(&(next as u16)) {
                held.push(next as u16);
            }
        }
    }
    let slots = full.into_iter().flatten().map(alderbay::experts::ExpertId).collect();
    let Ok(map) = ExpertMap::from_slots(site.experts, site.slots, slots) else {
        return ranks.to_vec();
    };
    let next = match policy {
        Policy::Repack => repack(&map, loads),
        Policy::FewMoves | Policy::Untouched | Policy::Rounds => {
            rebalance(&map, loads, BalanceSettings::default()).map
        }
    };
    (0..site.ranks).map(|rank| next.on_rank(rank).iter().map(|it| it.0).collect()).collect()
}

/// Shifts the popularity of one layer: shuffles a random subset of the order that the power law
/// applies to.
fn shift_popularity(site: &Site, order: &mut [usize], rng: &mut SmallRng) {
    let mut shifted: Vec<usize> =
        (0..site.experts).filter(|_| rng.random_bool(SHIFT_FRACTION)).collect();
    let mut values: Vec<usize> = shifted.iter().map(|it| order[*it]).collect();
    values.shuffle(rng);
    for (place, value) in shifted.drain(..).zip(values) {
        order[place] = value;
    }
}

/// Simulates one run; returns the mean skew over time and the mean time of a decision in
/// milliseconds.
fn run(site: &Site, policy: Policy, seed: u64) -> (f64, f64) {
    let mut rng = SmallRng::seed_from_u64(seed);
    let on_rank = |rank: usize| {
        (0..site.experts).filter(move |it| it % site.ranks == rank).map(|it| it as u16).collect()
    };
    let mut map: GroupMap = vec![(0..site.ranks).map(on_rank).collect(); site.layers];
    let mut orders: Vec<Vec<usize>> =
        (0..site.layers).map(|_| (0..site.experts).collect()).collect();
    orders.iter_mut().for_each(|it| it.shuffle(&mut rng));
    let loads_of = |orders: &[Vec<usize>]| -> Vec<Vec<f64>> {
        let weight = |it: &usize| 1.0 / ((it + 1) as f64).powf(site.exponent);
        orders.iter().map(|order| order.iter().map(weight).collect()).collect()
    };
    let mut average_loads = loads_of(&orders);
    let (mut skew, mut samples, mut seconds, mut decisions) = (0.0, 0, 0.0, 0);
    // Time from which all ranks use the planned map, and the map.
    let mut pending: Option<(f64, GroupMap)> = None;
    let mut next_shift = SHIFT_S;
    for n in 0..(RUN_S / SAMPLE_S) as usize {
        let now = n as f64 * SAMPLE_S;
        if now >= next_shift {
            next_shift += SHIFT_S;
            orders.iter_mut().for_each(|it| shift_popularity(site, it, &mut rng));
        }
        let loads = loads_of(&orders);
        if let Some((_, next)) = pending.take_if(|it| it.0 <= now) {
            map = next;
        }
        skew += group_skew(&map, &loads);
        samples += 1;
        for (old, new) in average_loads.iter_mut().flatten().zip(loads.iter().flatten()) {
            *old += (new - *old) * SAMPLE_WEIGHT;
        }
        if pending.is_none() {
            let started = Instant::now();
            let decision = black_box(plan_next_map(site, policy, &map, &average_loads));
            seconds += started.elapsed().as_secs_f64();
            decisions += 1;
            pending = decision.map(|(next, copies)| (now + copies + SWITCH_S, next));
        }
    }
    (skew / f64::from(samples), seconds * 1e3 / f64::from(decisions))
}

fn main() {
    let policies = [
        ("untouched map", Policy::Untouched),
        ("full repack", Policy::Repack),
        ("few moves", Policy::FewMoves),
        ("rounds", Policy::Rounds),
    ];
    for site in &SITES {
        println!(
            "{}: {} ranks, {} experts, {} layers",
            site.name, site.ranks, site.experts, site.layers
        );
        for (name, policy) in policies {
            let runs = SEEDS.map(|seed| run(site, policy, seed));
            let count = SEEDS.len() as f64;
            let skew = runs.iter().map(|it| it.0).sum::<f64>() / count;
            let millis = runs.iter().map(|it| it.1).sum::<f64>() / count;
            println!("{name:<14} skew over time {skew:.3}  decision {millis:.2} ms");
        }
    }
}
