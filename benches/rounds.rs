//! Step-time skew when expert popularity shifts within seconds and copying experts takes time.
//! Compares rounds of small changes with an untouched map, with a full repack and with a search
//! that moves few weights, on the same seeded input. Sizes are those of the users' deployments,
//! today's and grown. A second part compares budgets of the first round after a shift.

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

/// Time between decisions in the second part, in seconds.
const TICK_S: f64 = 0.01;
/// Time from a shift to its detection, in seconds.
const DETECTION_S: f64 = 0.15;
/// Time from the detection of a shift until counts without older ones are there, in seconds.
const SETTLING_S: f64 = 0.15;
/// Pause after a map that no relief round planned, in seconds.
const PAUSE_S: f64 = 0.25;
/// Time that a rank may spend on the copies of one round, in seconds.
const BUDGET_S: f64 = 0.3;
/// Minimum relative reduction of the skew by a round.
const MIN_GAIN: f64 = 0.08;
/// Part of a step's work for tokens that depends on the skew.
const EXPERT_SHARE: f64 = 0.85;
/// Factor by which copies in progress lengthen steps.
const COPY_SLOWDOWN: f64 = 1.15;

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
    let most_copies = most_copies(site, map, &next);
    Some((next, most_copies as f64 * site.copy_s))
}

/// The largest number of experts that a rank gains from one map to the next.
fn most_copies(site: &Site, map: &GroupMap, next: &GroupMap) -> usize {
    let copies_by_rank = (0..site.ranks).map(|rank| {
        let gained = |(old, new): (&Vec<Vec<u16>>, &Vec<Vec<u16>>)| {
            new[rank].iter().filter(|it| !old[rank].contains(it)).count()
        };
        map.iter().zip(next).map(gained).sum::<usize>()
    });
    copies_by_rank.max().unwrap_or(0)
}

fn initial_map(site: &Site) -> GroupMap {
    let on_rank = |rank: usize| {
        (0..site.experts).filter(move |it| it % site.ranks == rank).map(|it| it as u16).collect()
    };
    vec![(0..site.ranks).map(on_rank).collect(); site.layers]
}

/// Order of the experts by popularity, by layer.
fn initial_orders(site: &Site, rng: &mut SmallRng) -> Vec<Vec<usize>> {
    let mut orders: Vec<Vec<usize>> =
        (0..site.layers).map(|_| (0..site.experts).collect()).collect();
    orders.iter_mut().for_each(|it| it.shuffle(rng));
    orders
}

fn loads_of(site: &Site, orders: &[Vec<usize>]) -> Vec<Vec<f64>> {
    let weight = |it: &usize| 1.0 / ((it + 1) as f64).powf(site.exponent);
    orders.iter().map(|order| order.iter().map(weight).collect()).collect()
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
    let mut map = initial_map(site);
    let mut orders = initial_orders(site, &mut rng);
    let mut average_loads = loads_of(site, &orders);
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
        let loads = loads_of(site, &orders);
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

/// How a group answers a shift of popularity.
#[derive(Clone, Copy)]
struct ShiftAnswer {
    name: &'static str,
    /// Whether a round in progress is abandoned when the shift is detected.
    abandons: bool,
    /// Time that a rank may spend on the copies of the first round after a shift, in seconds.
    first_budget_s: f64,
    /// Pause after the first round, in seconds.
    first_pause_s: f64,
}

const ANSWERS: [ShiftAnswer; 7] = [
    ShiftAnswer {
        name: "finish, then round",
        abandons: false,
        first_budget_s: BUDGET_S,
        first_pause_s: PAUSE_S,
    },
    ShiftAnswer {
        name: "abandon, then round",
        abandons: true,
        first_budget_s: BUDGET_S,
        first_pause_s: PAUSE_S,
    },
    ShiftAnswer {
        name: "relief of 0.05 s",
        abandons: true,
        first_budget_s: 0.05,
        first_pause_s: 0.0,
    },
    ShiftAnswer {
        name: "relief of 0.1 s",
        abandons: true,
        first_budget_s: 0.1,
        first_pause_s: 0.0,
    },
    ShiftAnswer {
        name: "relief of 0.1 s, pause",
        abandons: true,
        first_budget_s: 0.1,
        first_pause_s: PAUSE_S,
    },
    ShiftAnswer {
        name: "relief of 0.15 s",
        abandons: true,
        first_budget_s: 0.15,
        first_pause_s: 0.0,
    },
    ShiftAnswer {
        name: "relief of 0.2 s",
        abandons: true,
        first_budget_s: 0.2,
        first_pause_s: 0.0,
    },
];

/// A round in progress.
struct RoundInProgress {
    map: GroupMap,
    copied_at: f64,
    active_at: f64,
    is_first: bool,
}

/// Means over time.
#[derive(Clone, Copy, Default)]
struct TimeMeans {
    skew: f64,
    /// Work for tokens of a step, relative to evenly loaded ranks without copies.
    work: f64,
    /// Fraction of the time with a skew above [`HIGH_SKEW`].
    high: f64,
}

/// Skew from which on steps are late at peak load.
const HIGH_SKEW: f64 = 2.0;

/// Simulates the answers to shifts with their detection, copies and switches.
fn run_answer(site: &Site, answer: ShiftAnswer, seed: u64) -> TimeMeans {
    let mut rng = SmallRng::seed_from_u64(seed);
    let mut map = initial_map(site);
    let mut orders = initial_orders(site, &mut rng);
    let mut loads = loads_of(site, &orders);
    let (mut known_loads, mut detected_at) = (loads.clone(), 0.0);
    let mut is_first = true;
    let mut round: Option<RoundInProgress> = None;
    let (mut next_round_at, mut next_shift) = (0.0, SHIFT_S);
    let mut means = TimeMeans::default();
    let ticks = (RUN_S / TICK_S) as usize;
    let mut skew = group_skew(&map, &loads);
    for n in 0..ticks {
        let now = n as f64 * TICK_S;
        if now >= next_shift {
            next_shift += SHIFT_S;
            detected_at = now + DETECTION_S;
            orders.iter_mut().for_each(|it| shift_popularity(site, it, &mut rng));
            loads = loads_of(site, &orders);
            skew = group_skew(&map, &loads);
        }
        let was_detected = (now - detected_at).abs() < TICK_S / 2.0;
        if was_detected && now > SHIFT_S {
            (is_first, next_round_at) = (true, 0.0);
            round = round.filter(|it| !answer.abandons || it.copied_at <= now);
        }
        if now >= detected_at + SETTLING_S {
            known_loads.clone_from(&loads);
        }
        if let Some(done) = round.take_if(|it| it.active_at <= now) {
            map = done.map;
            skew = group_skew(&map, &loads);
            next_round_at = now + if done.is_first { answer.first_pause_s } else { PAUSE_S };
        }
        let is_settling = now >= detected_at && now < detected_at + SETTLING_S;
        if round.is_none() && now >= next_round_at && !is_settling {
            let budget = if is_first { answer.first_budget_s } else { BUDGET_S };
            round = plan_answer(site, &map, &known_loads, budget, now, is_first);
            next_round_at = now + SAMPLE_S;
            is_first = false;
        }
        let is_copying = round.as_ref().is_some_and(|it| now < it.copied_at);
        means.skew += skew / ticks as f64;
        let work = 1.0 - EXPERT_SHARE + EXPERT_SHARE * skew;
        means.work += work * if is_copying { COPY_SLOWDOWN } else { 1.0 } / ticks as f64;
        means.high += f64::from(u8::from(skew > HIGH_SKEW)) / ticks as f64;
    }
    means
}

fn plan_answer(
    site: &Site,
    map: &GroupMap,
    loads: &[Vec<f64>],
    budget: f64,
    now: f64,
    is_first: bool,
) -> Option<RoundInProgress> {
    let settings = RoundSettings {
        rank_slots: site.slots,
        max_new: 2,
        max_copies: ((budget / site.copy_s) as usize).clamp(1, 16),
        ..RoundSettings::default()
    };
    let plan = plan_round(map, loads, &settings)?;
    if plan.skew_before - plan.skew_after < MIN_GAIN * plan.skew_before {
        return None;
    }
    let copied_at = now + most_copies(site, map, &plan.map) as f64 * site.copy_s;
    Some(RoundInProgress { map: plan.map, copied_at, active_at: copied_at + SWITCH_S, is_first })
}

fn compare_answers(site: &Site) {
    for answer in ANSWERS {
        let runs = SEEDS.map(|seed| run_answer(site, answer, seed));
        let mean =
            |value: fn(&TimeMeans) -> f64| runs.iter().map(value).sum::<f64>() / SEEDS.len() as f64;
        println!(
            "{:<23} skew over time {:.3}  work of a step {:.3}  above {HIGH_SKEW}: {:.3}",
            answer.name,
            mean(|it| it.skew),
            mean(|it| it.work),
            mean(|it| it.high)
        );
    }
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
        compare_answers(site);
        for (name, policy) in policies {
            let runs = SEEDS.map(|seed| run(site, policy, seed));
            let count = SEEDS.len() as f64;
            let skew = runs.iter().map(|it| it.0).sum::<f64>() / count;
            let millis = runs.iter().map(|it| it.1).sum::<f64>() / count;
            println!("{name:<14} skew over time {skew:.3}  decision {millis:.2} ms");
        }
    }
}
