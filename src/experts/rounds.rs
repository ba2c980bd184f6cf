//! Rounds of small changes to a group's map, where copying an expert takes time.
//!
//! Popularity shifts within seconds, and a copied expert arrives late. A round therefore brings few
//! experts to each rank, those that relieve the slowest ranks most for each copy, and gives up
//! replicas freely, which costs nothing.

use serde::{Deserialize, Serialize};

/// Experts by layer and rank. Ranks may hold fewer experts than they have slots.
pub type GroupMap = Vec<Vec<Vec<u16>>>;

/// Exponent of the norm over the ranks' loads: large enough that the most loaded ranks decide.
const NORM: i32 = 12;
/// Steps of the search for each copy that is allowed; steps without a copy come beside them.
const STEPS_PER_COPY: usize = 3;

/// Bounds on one round.
#[derive(Clone, Copy, Debug, PartialEq)]
#[derive(Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct RoundSettings {
    /// Experts that a rank can hold of a layer.
    pub rank_slots: usize,
    /// Experts of one layer that a round may bring to a rank.
    pub max_new: usize,
    /// Experts of all layers that a round may bring to a rank.
    pub max_copies: usize,
    /// Least gain of a copy, as a part of the mean load of a rank over all layers.
    pub least_gain: f64,
}

impl Default for RoundSettings {
    fn default() -> Self {
        Self { rank_slots: 8, max_new: 1, max_copies: 3, least_gain: 0.004 }
    }
}

/// A round's outcome.
#[derive(Clone, Debug, PartialEq)]
pub struct MapRound {
    /// The map after it.
    pub map: GroupMap,
    /// Experts that are copied.
    pub copies: usize,
    /// Highest load of a rank, summed over layers, over the mean: before.
    pub skew_before: f64,
    /// The same, after.
    pub skew_after: f64,
}

/// Time of a step by the layers' most loaded ranks, over what it would be with even loads.
///
/// ```
/// use alderbay::experts::group_skew;
/// let map = vec![vec![vec![0], vec![1]]];
/// assert_eq!(group_skew(&map, &[vec![3.0, 1.0]]), 1.5);
/// ```
pub fn group_skew(map: &GroupMap, loads: &[Vec<f64>]) -> f64 {
    let mut highest = 0.0;
    let mut mean = 0.0;
    for (ranks, loads) in map.iter().zip(loads) {
        let layer = LayerSearch::new(ranks.clone(), loads);
        highest += layer.highest();
        mean += layer.mean;
    }
    if mean > 0.0 { highest / mean } else { 1.0 }
}

/// Plans a round; none where nothing is worth its copies.
///
/// ```
/// use alderbay::experts::{RoundSettings, plan_round};
/// let map = vec![vec![vec![0, 2], vec![1, 3]]];
/// let settings = RoundSettings { rank_slots: 3, ..RoundSettings::default() };
/// let round = plan_round(&map, &[vec![6.0, 1.0, 1.0, 1.0]], &settings).unwrap();
/// assert!(round.skew_after < round.skew_before);
/// ```
pub fn plan_round(
    map: &GroupMap,
    loads: &[Vec<f64>],
    settings: &RoundSettings,
) -> Option<MapRound> {
    let mut layers: Vec<LayerSearch<'_>> = map
        .iter()
        .zip(loads)
        .map(|(ranks, loads)| LayerSearch::new(ranks.clone(), loads))
        .collect();
    let mean: f64 = layers.iter().map(|it| it.mean).sum();
    if mean <= 0.0 {
        return None;
    }
    let ranks = map.first().map_or(0, Vec::len);
    let mut copies = vec![0; ranks];
    let bounds = |it: &LayerSearch<'_>, copies: &[usize]| it.best_step(copies, settings);
    let mut steps: Vec<Option<MapStep>> = layers.iter().map(|it| bounds(it, &copies)).collect();
    for _ in 0..settings.max_copies * ranks * STEPS_PER_COPY {
        let best = (0..layers.len())
            .filter_map(|layer| steps[layer].map(|step| (layer, step)))
            .max_by(|a, b| a.1.gain.total_cmp(&b.1.gain));
        let Some((layer, step)) = best else { break };
        if step.gain < settings.least_gain * mean {
            break;
        }
        layers[layer].apply(step);
        let was_full = step.copies_to().is_some_and(|rank| {
            copies[rank] += 1;
            copies[rank] == settings.max_copies
        });
        // A rank that may get no more changes what the other layers can do.
        for (n, layer_search) in layers.iter().enumerate() {
            if n == layer || was_full {
                steps[n] = bounds(layer_search, &copies);
            }
        }
    }
    let after: GroupMap = layers.into_iter().map(|it| it.ranks).collect();
    if after == *map {
        return None;
    }
    Some(MapRound {
        copies: copies.iter().sum(),
        skew_before: group_skew(map, loads),
        skew_after: group_skew(&after, loads),
        map: after,
    })
}

/// One change of a layer.
#[derive(Clone, Copy, Debug)]
struct MapStep {
    change: StepChange,
    /// How much it takes off the layer's norm, which is close to its highest load.
    gain: f64,
}

#[derive(Clone, Copy, Debug)]
enum StepChange {
    /// The rank gives the expert up; others hold it too.
    Drop { rank: usize, expert: u16 },
    /// The expert is copied to the rank, into a free slot or in place of one that others hold too.
    Copy { rank: usize, expert: u16, instead: Option<u16> },
    /// The expert is copied to the rank and given up by the other.
    Move { from: usize, to: usize, expert: u16, instead: Option<u16> },
}

impl MapStep {
    fn copies_to(self) -> Option<usize> {
        match self.change {
            StepChange::Drop { .. } => None,
            StepChange::Copy { rank, .. } => Some(rank),
            StepChange::Move { to, .. } => Some(to),
        }
    }
}

/// One layer under search.
struct LayerSearch<'a> {
    ranks: Vec<Vec<u16>>,
    before: Vec<Vec<u16>>,
    loads: &'a [f64],
    holders: Vec<Vec<usize>>,
    rank_loads: Vec<f64>,
    /// Sum of the powers of the ranks' loads over the mean.
    power_sum: f64,
    mean: f64,
}

/// An expert that comes to or leaves a rank.
type Shift = (u16, usize, bool);

impl<'a> LayerSearch<'a> {
    fn new(ranks: Vec<Vec<u16>>, loads: &'a [f64]) -> Self {
        let mut holders = vec![Vec::new(); loads.len()];
        for (rank, experts) in ranks.iter().enumerate() {
            for expert in experts {
                holders[usize::from(*expert)].push(rank);
            }
        }
        let mean = loads.iter().sum::<f64>() / ranks.len().max(1) as f64;
        let before = ranks.clone();
        let rank_loads = Vec::new();
        let mut search = Self { ranks, before, loads, holders, rank_loads, power_sum: 0.0, mean };
        search.weigh();
        search
    }

    fn weigh(&mut self) {
        self.rank_loads = vec![0.0; self.ranks.len()];
        for (expert, holders) in self.holders.iter().enumerate() {
            for rank in holders {
                self.rank_loads[*rank] += self.loads[expert] / holders.len() as f64;
            }
        }
        self.power_sum = self.rank_loads.iter().map(|it| self.power(*it)).sum();
    }

    fn highest(&self) -> f64 {
        self.rank_loads.iter().copied().fold(0.0, f64::max)
    }

    fn power(&self, load: f64) -> f64 {
        (load / self.mean.max(f64::MIN_POSITIVE)).powi(NORM)
    }

    fn norm(&self, power_sum: f64) -> f64 {
        power_sum.max(0.0).powf(1.0 / f64::from(NORM)) * self.mean
    }

    /// Experts that the round has brought to a rank so far.
    fn gained(&self, rank: usize) -> usize {
        self.ranks[rank].iter().filter(|it| !self.before[rank].contains(it)).count()
    }

    /// The change that takes most off the norm, of those that relieve the most loaded rank.
    fn best_step(&self, copies: &[usize], settings: &RoundSettings) -> Option<MapStep> {
        let hot = (0..self.ranks.len())
            .max_by(|a, b| self.rank_loads[*a].total_cmp(&self.rank_loads[*b]))?;
        let mut best: Option<(StepChange, f64)> = None;
        let mut moved = Vec::new();
        let mut offer = |change: StepChange, shifts: &[Shift]| {
            let sum = self.sum_after(shifts, &mut moved);
            if sum < self.power_sum && best.is_none_or(|it| sum < it.1) {
                best = Some((change, sum));
            }
        };
        for &expert in &self.ranks[hot] {
            if self.holders[usize::from(expert)].len() > 1 {
                offer(StepChange::Drop { rank: hot, expert }, &[(expert, hot, false)]);
            }
        }
        for rank in (0..self.ranks.len()).filter(|it| *it != hot) {
            let is_full =
                copies[rank] >= settings.max_copies || self.gained(rank) >= settings.max_new;
            if is_full || self.rank_loads[rank] >= self.rank_loads[hot] {
                continue;
            }
            for instead in self.places(rank, settings) {
                for &expert in self.ranks[hot].iter().filter(|it| !self.ranks[rank].contains(it)) {
                    // The first shift is left out where a slot is free.
                    let shifts = [
                        (instead.unwrap_or(0), rank, false),
                        (expert, rank, true),
                        (expert, hot, false),
                    ];
                    let from = usize::from(instead.is_none());
                    let copy = StepChange::Copy { rank, expert, instead };
                    offer(copy, &shifts[from..2]);
                    let change = StepChange::Move { from: hot, to: rank, expert, instead };
                    offer(change, &shifts[from..]);
                }
            }
        }
        let (change, sum) = best?;
        Some(MapStep { change, gain: self.norm(self.power_sum) - self.norm(sum) })
    }

    /// Where a rank could put another expert: a free slot, or that of an expert that others hold
    /// too.
    fn places(&self, rank: usize, settings: &RoundSettings) -> Vec<Option<u16>> {
        if self.ranks[rank].len() < settings.rank_slots {
            return vec![None];
        }
        let is_spare = |it: &&u16| self.holders[usize::from(**it)].len() > 1;
        self.ranks[rank].iter().filter(is_spare).map(|it| Some(*it)).collect()
    }

    /// The sum of powers after some experts come to or leave ranks. `moved` is used for the loads
    /// that change.
    fn sum_after(&self, shifts: &[Shift], moved: &mut Vec<(usize, f64)>) -> f64 {
        moved.clear();
        let mut add = |rank: usize, load: f64| match moved.iter_mut().find(|it| it.0 == rank) {
            Some((_, sum)) => *sum += load,
            None => moved.push((rank, load)),
        };
        for (n, (expert, _, _)) in shifts.iter().enumerate() {
            if shifts[..n].iter().any(|it| it.0 == *expert) {
                continue;
            }
            let load = self.loads[usize::from(*expert)];
            let holders = &self.holders[usize::from(*expert)];
            let of_expert = || shifts.iter().filter(|it| it.0 == *expert);
            let gained = of_expert().filter(|it| it.2).count();
            let lost = of_expert().count() - gained;
            let (old, new) =
                (load / holders.len() as f64, load / (holders.len() + gained - lost) as f64);
            holders.iter().for_each(|rank| add(*rank, new - old));
            for (_, rank, comes) in of_expert() {
                add(*rank, if *comes { new } else { -new });
            }
        }
        moved.iter().fold(self.power_sum, |sum, (rank, load)| {
            let old = self.rank_loads[*rank];
            sum - self.power(old) + self.power(old + load)
        })
    }

    fn apply(&mut self, step: MapStep) {
        match step.change {
            StepChange::Drop { rank, expert } => self.drop_expert(rank, expert),
            StepChange::Copy { rank, expert, instead } => self.add_expert(rank, expert, instead),
            StepChange::Move { from, to, expert, instead } => {
                self.add_expert(to, expert, instead);
                self.drop_expert(from, expert);
            }
        }
        self.weigh();
    }

    fn add_expert(&mut self, rank: usize, expert: u16, instead: Option<u16>) {
        if let Some(old) = instead {
            self.drop_expert(rank, old);
        }
        self.ranks[rank].push(expert);
        self.holders[usize::from(expert)].push(rank);
    }

    fn drop_expert(&mut self, rank: usize, expert: u16) {
        self.ranks[rank].retain(|it| *it != expert);
        self.holders[usize::from(expert)].retain(|it| *it != rank);
    }
}

#[cfg(test)]
mod tests {
    use googletest::prelude::*;
    use rand::{Rng, SeedableRng, rngs::SmallRng};

    use super::*;

    fn initial(layers: usize, ranks: usize, experts: usize) -> GroupMap {
        let on_rank = |rank| (0..experts).filter(move |it| it % ranks == rank).map(|it| it as u16);
        vec![(0..ranks).map(|rank| on_rank(rank).collect()).collect(); layers]
    }

    #[gtest]
    fn rounds_keep_bounds() {
        let mut rng = SmallRng::seed_from_u64(5);
        let settings = RoundSettings { rank_slots: 11, ..RoundSettings::default() };
        let mut map = initial(6, 8, 64);
        for _ in 0..40 {
            let loads: Vec<Vec<f64>> =
                (0..6).map(|_| (0..64).map(|_| rng.random::<f64>().powi(6)).collect()).collect();
            let Some(round) = plan_round(&map, &loads, &settings) else { continue };
            let mut copies = vec![0; 8];
            for (old, new) in map.iter().zip(&round.map) {
                for expert in 0..64 {
                    expect_that!(new.iter().any(|it| it.contains(&expert)), eq(true));
                }
                for (rank, (old, new)) in old.iter().zip(new).enumerate() {
                    let gained = new.iter().filter(|it| !old.contains(it)).count();
                    expect_that!(gained, le(settings.max_new));
                    expect_that!(new.len(), le(settings.rank_slots));
                    copies[rank] += gained;
                }
            }
            expect_that!(copies, each(le(&settings.max_copies)));
            expect_that!(round.skew_after, lt(round.skew_before));
            map = round.map;
        }
    }

    #[gtest]
    fn even_load_is_left() {
        let map = initial(2, 4, 16);
        let loads = vec![vec![1.0; 16]; 2];
        expect_that!(plan_round(&map, &loads, &RoundSettings::default()), none());
        expect_that!(plan_round(&map, &vec![vec![0.0; 16]; 2], &RoundSettings::default()), none());
    }
}
