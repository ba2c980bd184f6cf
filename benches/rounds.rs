//! Step-time skew where popularity shifts within seconds and copies of experts take time: rounds of
//! small changes beside the untouched map, a full repack and the search that moves few weights, on the
//! same seeded input. Sizes are those of the users' sites, today's and grown.

use std::{hint::black_box, time::Instant};

use alderbay::experts::{
    BalanceSettings, ExpertMap, GroupMap, RoundSettings, group_skew, plan_round, rebalance, repack,
};
use rand::{Rng, SeedableRng, rngs::SmallRng, seq::SliceRandom};

const SEEDS: [u64; 2] = [21, 22];
/// Length of a run, in seconds.
const RUN_S: f64 = 35.0;
/// Time between shifts, in seconds.
const SHIFT_S: f64 = 3.5;
/// Part of the experts whose popularity changes in a shift.
const SHIFT_SHARE: f64 = 0.65;
/// Time between samples, in seconds.
const SAMPLE_S: f64 = 0.15;
/// Time from the end of the copies until all ranks have switched, in seconds.
const SWITCH_S: f64 = 0.2;
/// Weight of the latest sample.
const LATEST_WEIGHT: f64 = 0.6;

/// One deployment.
struct Site {
    name: &'static str,
    layers: usize,
    ranks: usize,
    experts: usize,
    slots: usize,
    copy_s: f64,
    /// Exponent of popularity over its rank.
    exponent: f64,
}

const SITES: [Site; 2] = [
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
];

#[derive(Clone, Copy)]
enum Policy {
    Untouched,
    Repack,
    FewMoves,
    Rounds,
}

/// The next map, and the seconds that its copies take.
fn decide(
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
        Policy::Repack | Policy::FewMoves => {
            map.iter().zip(loads).map(|(ranks, loads)| whole(site, policy, ranks, loads)).collect()
        }
    };
    let copies = (0..site.ranks).map(|rank| {
        let gained = |(old, new): (&Vec<Vec<u16>>, &Vec<Vec<u16>>)| {
            new[rank].iter().filter(|it| !old[rank].contains(it)).count()
        };
        map.iter().zip(&next).map(gained).sum::<usize>()
    });
    let most = copies.max().unwrap_or(0);
    Some((next, most as f64 * site.copy_s))
}

/// A map with all slots filled, from which the older searches start.
fn whole(site: &Site, policy: Policy, ranks: &[Vec<u16>], loads: &[f64]) -> Vec<Vec<u16>> {
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

/// Popularity of one layer: a power law over a random order, of which a part is drawn anew.
fn shift(site: &Site, order: &mut [usize], rng: &mut SmallRng) {
    let mut chosen: Vec<usize> =
        (0..site.experts).filter(|_| rng.random_bool(SHIFT_SHARE)).collect();
    let mut values: Vec<usize> = chosen.iter().map(|it| order[*it]).collect();
    values.shuffle(rng);
    for (place, value) in chosen.drain(..).zip(values) {
        order[place] = value;
    }
}

fn run(site: &Site, policy: Policy, seed: u64) -> (f64, f64) {
    let mut rng = SmallRng::seed_from_u64(seed);
    let on_rank = |rank: usize| {
        (0..site.experts).filter(move |it| it % site.ranks == rank).map(|it| it as u16).collect()
    };
    let mut map: GroupMap = vec![(0..site.ranks).map(on_rank).collect(); site.layers];
    let mut orders: Vec<Vec<usize>> =
        (0..site.layers).map(|_| (0..site.experts).collect()).collect();
    orders.iter_mut().for_each(|it| it.shuffle(&mut rng));
    let weigh = |orders: &[Vec<usize>]| -> Vec<Vec<f64>> {
        let weight = |it: &usize| 1.0 / ((it + 1) as f64).powf(site.exponent);
        orders.iter().map(|order| order.iter().map(weight).collect()).collect()
    };
    let mut known = weigh(&orders);
    let (mut skew, mut samples, mut seconds, mut decisions) = (0.0, 0, 0.0, 0);
    let mut coming: Option<(f64, GroupMap)> = None;
    let mut next_shift = SHIFT_S;
    for n in 0..(RUN_S / SAMPLE_S) as usize {
        let now = n as f64 * SAMPLE_S;
        if now >= next_shift {
            next_shift += SHIFT_S;
            orders.iter_mut().for_each(|it| shift(site, it, &mut rng));
        }
        let loads = weigh(&orders);
        if let Some((_, next)) = coming.take_if(|it| it.0 <= now) {
            map = next;
        }
        skew += group_skew(&map, &loads);
        samples += 1;
        for (old, new) in known.iter_mut().flatten().zip(loads.iter().flatten()) {
            *old += (new - *old) * LATEST_WEIGHT;
        }
        if coming.is_none() {
            let begun = Instant::now();
            let decision = black_box(decide(site, policy, &map, &known));
            seconds += begun.elapsed().as_secs_f64();
            decisions += 1;
            coming = decision.map(|(next, copies)| (now + copies + SWITCH_S, next));
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
