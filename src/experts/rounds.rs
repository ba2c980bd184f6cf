//! Plans small changes to a group's map (rounds) where copying an expert takes time.
//!
//! Popularity shifts within seconds, but a copied expert only becomes usable once its copy is
//! complete. A round therefore copies few experts to each rank, choosing those that relieve the
//! slowest ranks most per copy. Removing a replica costs nothing, so rounds do that freely.

use serde::{Deserialize, Serialize};

/// Experts of a group, by layer, then by rank. Ranks may hold fewer experts than they have slots.
pub type GroupMap = Vec<Vec<Vec<u16>>>;

/// Exponent of the norm over the rank loads, large enough for the most loaded ranks to dominate.
const NORM_EXPONENT: i32 = 12;
/// Number of ranks to which [`RoundSettings::least_gain`] applies.
const REFERENCE_RANKS: f64 = 8.0;
/// Number of the least loaded ranks that a search step considers as the target of a copy.
const MAX_TARGETS: usize = 8;
/// Search steps per allowed copy. The limit is above one because some steps need no copy.
const STEPS_PER_COPY: usize = 3;

/// Limits of one round.
#[derive(Clone, Copy, Debug, PartialEq)]
#[derive(Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct RoundSettings {
    /// Maximum number of experts per layer that a rank can hold.
    pub rank_slots: usize,
    /// Maximum number of experts per layer that a round copies to a rank.
    pub max_new: usize,
    /// Maximum number of experts over all layers that a round copies to a rank.
    pub max_copies: usize,
    /// Minimum gain of a search step in a group of eight ranks, as a fraction of the mean rank load
    /// summed over all layers. Larger groups accept proportionally smaller gains.
    pub least_gain: f64,
}

impl Default for RoundSettings {
    fn default() -> Self {
        Self { rank_slots: 8, max_new: 1, max_copies: 3, least_gain: 0.004 }
    }
}

/// The planned changes of one round.
#[derive(Clone, Debug, PartialEq)]
pub struct RoundPlan {
    /// Map after the round.
    pub map: GroupMap,
    /// Number of expert copies, over all layers and ranks.
    pub copies: usize,
    /// Skew of the current map as computed by [`group_skew`].
    pub skew_before: f64,
    /// Skew of the new map under the same loads.
    pub skew_after: f64,
}

/// Returns the estimated step time relative to evenly loaded ranks; 1.0 if there is no load.
///
/// Ranks run each layer in lock-step, so this is the sum over the layers of the highest rank load,
/// divided by the sum of the mean rank loads. `loads` is by layer, then by expert.
///
/// ```
/// use alderbay::experts::group_skew;
/// let map = vec![vec![vec![0], vec![1]]];
/// assert_eq!(group_skew(&map, &[vec![3.0, 1.0]]), 1.5);
/// ```
pub fn group_skew(map: &GroupMap, loads: &[Vec<f64>]) -> f64 {
    paced_skew(map, loads, &[])
}

fn paced_skew(map: &GroupMap, loads: &[Vec<f64>], paces: &[f64]) -> f64 {
    let mut highest = 0.0;
    let mut mean = 0.0;
    for (ranks, loads) in map.iter().zip(loads) {
        let layer = LayerSearch::new(ranks.clone(), loads, paces);
        highest += layer.highest();
        mean += layer.mean;
    }
    if mean > 0.0 { highest / mean } else { 1.0 }
}

/// Plans a round for the given loads by layer and expert.
///
/// Returns `None` if there is no load or no step reaches the minimum gain.
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
) -> Option<RoundPlan> {
    plan_paced_round(map, loads, &[], settings)
}

/// Plans a round like [`plan_round`] for ranks of which some are slow. `paces` are the factors by which
/// the ranks' work takes longer than usual; one for a rank beyond the end of the list.
///
/// The group waits for its slowest rank, so a slow rank is relieved of experts until its layers take no
/// longer than those of the others. Skews count the time of a slow rank, relative to evenly loaded
/// ranks of the usual pace.
///
/// ```
/// use alderbay::experts::{RoundSettings, plan_paced_round};
/// let map = vec![vec![vec![0, 2], vec![1, 3]]];
/// let settings = RoundSettings { rank_slots: 4, max_new: 2, ..RoundSettings::default() };
/// let round = plan_paced_round(&map, &[vec![1.0; 4]], &[5.0, 1.0], &settings).unwrap();
/// assert!(round.skew_after < round.skew_before / 2.0);
/// ```
pub fn plan_paced_round(
    map: &GroupMap,
    loads: &[Vec<f64>],
    paces: &[f64],
    settings: &RoundSettings,
) -> Option<RoundPlan> {
    let mut layers: Vec<LayerSearch<'_>> = map
        .iter()
        .zip(loads)
        .map(|(ranks, loads)| LayerSearch::new(ranks.clone(), loads, paces))
        .collect();
    let mean: f64 = layers.iter().map(|it| it.mean).sum();
    if mean <= 0.0 {
        return None;
    }
    let ranks = map.first().map_or(0, Vec::len);
    // Ranks copy in parallel, so in a large group each copy delays the round less.
    let least_gain = settings.least_gain * (REFERENCE_RANKS / ranks.max(1) as f64).min(1.0);
    let mut copies = vec![0; ranks];
    let best_step = |it: &LayerSearch<'_>, copies: &[usize]| it.find_best_step(copies, settings);
    let mut steps: Vec<Option<MapStep>> = layers.iter().map(|it| best_step(it, &copies)).collect();
    for _ in 0..settings.max_copies * ranks * STEPS_PER_COPY {
        let best = (0..layers.len())
            .filter_map(|layer| steps[layer].map(|step| (layer, step)))
            .max_by(|a, b| a.1.gain.total_cmp(&b.1.gain));
        let Some((layer, step)) = best else { break };
        if step.gain < least_gain * mean {
            break;
        }
        layers[layer].apply(step);
        let is_now_full = step.copy_target().is_some_and(|rank| {
            copies[rank] += 1;
            copies[rank] == settings.max_copies
        });
        // A rank that has reached its copy limit receives nothing in the other layers either.
        let full_rank = step.copy_target().filter(|_| is_now_full);
        for (n, layer_search) in layers.iter().enumerate() {
            let lost_target =
                full_rank.is_some() && steps[n].and_then(MapStep::copy_target) == full_rank;
            if n == layer || lost_target {
                steps[n] = best_step(layer_search, &copies);
            }
        }
    }
    let after: GroupMap = layers.into_iter().map(|it| it.ranks).collect();
    if after == *map {
        return None;
    }
    Some(RoundPlan {
        copies: copies.iter().sum(),
        skew_before: paced_skew(map, loads, paces),
        skew_after: paced_skew(&after, loads, paces),
        map: after,
    })
}

/// A candidate change of one layer.
#[derive(Clone, Copy, Debug)]
struct MapStep {
    change: ReplicaChange,
    /// Reduction of the layer's norm, which approximates its highest rank load.
    gain: f64,
}

#[derive(Clone, Copy, Debug)]
enum ReplicaChange {
    /// Removes a replica of an expert that other ranks hold too.
    Drop { rank: usize, expert: u16 },
    /// Copies an expert to a rank, into a free slot (`None`) or in place of a redundant replica.
    Copy { rank: usize, expert: u16, replaced: Option<u16> },
    /// Copies an expert to rank `to` and removes it from rank `from`.
    Move { from: usize, to: usize, expert: u16, replaced: Option<u16> },
}

impl MapStep {
    /// Returns the rank that receives a copy, or `None` if the step copies nothing.
    fn copy_target(self) -> Option<usize> {
        match self.change {
            ReplicaChange::Drop { .. } => None,
            ReplicaChange::Copy { rank, .. } => Some(rank),
            ReplicaChange::Move { to, .. } => Some(to),
        }
    }
}

/// Search state of one layer.
struct LayerSearch<'a> {
    /// Experts of each rank in the candidate map.
    ranks: Vec<Vec<u16>>,
    /// Experts of each rank before the round.
    original: Vec<Vec<u16>>,
    /// Load of each expert.
    loads: &'a [f64],
    /// Factors by which the ranks' work takes longer than usual; may be shorter than the ranks.
    paces: &'a [f64],
    /// Ranks that hold each expert.
    holders: Vec<Vec<usize>>,
    /// Load of each rank, times its pace.
    rank_loads: Vec<f64>,
    /// Sum over the ranks of their load relative to the mean, raised to [`NORM_EXPONENT`].
    power_sum: f64,
    /// Mean load of a rank.
    mean: f64,
}

/// An expert, a rank, and whether the expert is added to the rank (else removed from it).
type HolderChange = (u16, usize, bool);

impl<'a> LayerSearch<'a> {
    fn new(ranks: Vec<Vec<u16>>, loads: &'a [f64], paces: &'a [f64]) -> Self {
        let mut holders = vec![Vec::new(); loads.len()];
        for (rank, experts) in ranks.iter().enumerate() {
            for expert in experts {
                holders[usize::from(*expert)].push(rank);
            }
        }
        let mean = loads.iter().sum::<f64>() / ranks.len().max(1) as f64;
        let original = ranks.clone();
        let rank_loads = Vec::new();
        let mut search =
            Self { ranks, original, loads, paces, holders, rank_loads, power_sum: 0.0, mean };
        search.recompute_loads();
        search
    }

    fn recompute_loads(&mut self) {
        self.rank_loads = vec![0.0; self.ranks.len()];
        for (expert, holders) in self.holders.iter().enumerate() {
            for rank in holders {
                self.rank_loads[*rank] +=
                    self.loads[expert] * self.pace(*rank) / holders.len() as f64;
            }
        }
        self.power_sum = self.rank_loads.iter().map(|it| self.power(*it)).sum();
    }

    fn pace(&self, rank: usize) -> f64 {
        self.paces.get(rank).copied().unwrap_or(1.0)
    }

    fn highest(&self) -> f64 {
        self.rank_loads.iter().copied().fold(0.0, f64::max)
    }

    fn power(&self, load: f64) -> f64 {
        (load / self.mean.max(f64::MIN_POSITIVE)).powi(NORM_EXPONENT)
    }

    fn norm(&self, power_sum: f64) -> f64 {
        power_sum.max(0.0).powf(1.0 / f64::from(NORM_EXPONENT)) * self.mean
    }

    /// Returns the number of experts that the round has added to a rank so far.
    fn gained(&self, rank: usize) -> usize {
        self.ranks[rank].iter().filter(|it| !self.original[rank].contains(it)).count()
    }

    /// Returns the change that reduces the norm most, among those that relieve the most loaded
    /// rank.
    fn find_best_step(&self, copies: &[usize], settings: &RoundSettings) -> Option<MapStep> {
        let hot = (0..self.ranks.len())
            .max_by(|a, b| self.rank_loads[*a].total_cmp(&self.rank_loads[*b]))?;
        let mut best: Option<(ReplicaChange, f64)> = None;
        let mut load_changes = Vec::new();
        let mut consider = |change: ReplicaChange, changes: &[HolderChange]| {
            let sum = self.power_sum_after(changes, &mut load_changes);
            if sum < self.power_sum && best.is_none_or(|it| sum < it.1) {
                best = Some((change, sum));
            }
        };
        for &expert in &self.ranks[hot] {
            if self.holders[usize::from(expert)].len() > 1 {
                consider(ReplicaChange::Drop { rank: hot, expert }, &[(expert, hot, false)]);
            }
        }
        for rank in self.copy_targets(hot, copies, settings) {
            for replaced in self.candidate_slots(rank, settings) {
                for &expert in self.ranks[hot].iter().filter(|it| !self.ranks[rank].contains(it)) {
                    // The first change, which evicts a replica, is skipped if a slot is free.
                    let changes = [
                        (replaced.unwrap_or(0), rank, false),
                        (expert, rank, true),
                        (expert, hot, false),
                    ];
                    let from = usize::from(replaced.is_none());
                    let copy = ReplicaChange::Copy { rank, expert, replaced };
                    consider(copy, &changes[from..2]);
                    let change = ReplicaChange::Move { from: hot, to: rank, expert, replaced };
                    consider(change, &changes[from..]);
                }
            }
        }
        let (change, sum) = best?;
        Some(MapStep { change, gain: self.norm(self.power_sum) - self.norm(sum) })
    }

    /// Returns the least loaded ranks that may receive another copy.
    fn copy_targets(&self, hot: usize, copies: &[usize], settings: &RoundSettings) -> Vec<usize> {
        let mut targets: Vec<usize> = (0..self.ranks.len())
            .filter(|it| self.rank_loads[*it] < self.rank_loads[hot])
            .filter(|it| copies[*it] < settings.max_copies)
            .filter(|it| self.gained(*it) < settings.max_new)
            .filter(|it| self.has_slot(*it, settings))
            .collect();
        if targets.len() > MAX_TARGETS {
            let by_load =
                |a: &usize, b: &usize| self.rank_loads[*a].total_cmp(&self.rank_loads[*b]);
            targets.select_nth_unstable_by(MAX_TARGETS, by_load);
            targets.truncate(MAX_TARGETS);
        }
        targets
    }

    /// Whether a rank has a free slot or a replica that other ranks hold too.
    fn has_slot(&self, rank: usize, settings: &RoundSettings) -> bool {
        let is_redundant = |it: &u16| self.holders[usize::from(*it)].len() > 1;
        self.ranks[rank].len() < settings.rank_slots || self.ranks[rank].iter().any(is_redundant)
    }

    /// Returns the slots where a rank could put another expert: a free one (`None`), or else those
    /// of redundant replicas, by the expert to replace.
    fn candidate_slots(&self, rank: usize, settings: &RoundSettings) -> Vec<Option<u16>> {
        if self.ranks[rank].len() < settings.rank_slots {
            return vec![None];
        }
        let is_redundant = |it: &&u16| self.holders[usize::from(**it)].len() > 1;
        self.ranks[rank].iter().filter(is_redundant).map(|it| Some(*it)).collect()
    }

    /// Returns the power sum after the given changes. `load_changes` is scratch space for the loads
    /// that change, by rank.
    fn power_sum_after(
        &self,
        changes: &[HolderChange],
        load_changes: &mut Vec<(usize, f64)>,
    ) -> f64 {
        load_changes.clear();
        let mut add = |rank: usize, load: f64| match load_changes.iter_mut().find(|it| it.0 == rank)
        {
            Some((_, sum)) => *sum += load,
            None => load_changes.push((rank, load)),
        };
        for (n, (expert, _, _)) in changes.iter().enumerate() {
            if changes[..n].iter().any(|it| it.0 == *expert) {
                continue;
            }
            let load = self.loads[usize::from(*expert)];
            let holders = &self.holders[usize::from(*expert)];
            let expert_changes = || changes.iter().filter(|it| it.0 == *expert);
            let gained = expert_changes().filter(|it| it.2).count();
            let lost = expert_changes().count() - gained;
            let (old, new) =
                (load / holders.len() as f64, load / (holders.len() + gained - lost) as f64);
            holders.iter().for_each(|rank| add(*rank, new - old));
            for (_, rank, is_added) in expert_changes() {
                add(*rank, if *is_added { new } else { -new });
            }
        }
        load_changes.iter().fold(self.power_sum, |sum, (rank, load)| {
            let old = self.rank_loads[*rank];
            sum - self.power(old) + self.power(old + load * self.pace(*rank))
        })
    }

    fn apply(&mut self, step: MapStep) {
        match step.change {
            ReplicaChange::Drop { rank, expert } => self.drop_expert(rank, expert),
            ReplicaChange::Copy { rank, expert, replaced } => {
                self.add_expert(rank, expert, replaced)
            }
            ReplicaChange::Move { from, to, expert, replaced } => {
                self.add_expert(to, expert, replaced);
                self.drop_expert(from, expert);
            }
        }
        self.recompute_loads();
    }

    fn add_expert(&mut self, rank: usize, expert: u16, replaced: Option<u16>) {
        if let Some(old) = replaced {
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

    /// A rank of a large group has few experts, so a round must fill the spare slots of many ranks.
    #[gtest]
    fn large_groups_use_spare_slots() {
        let mut rng = SmallRng::seed_from_u64(9);
        let settings =
            RoundSettings { rank_slots: 3, max_new: 2, max_copies: 16, ..RoundSettings::default() };
        let map = initial(16, 96, 192);
        let mut loads = || (0..192).map(|_| rng.random_range(0.02_f64..1.0).powi(-1)).collect();
        let loads: Vec<Vec<f64>> = (0..16).map(|_| loads()).collect();
        let round = plan_round(&map, &loads, &settings).unwrap();
        let (excess, left) = (round.skew_before - 1.0, round.skew_after - 1.0);
        expect_that!(left, lt(excess / 4.0));
    }

    /// A slow rank keeps so few experts that the others take as long as it does.
    #[gtest]
    fn slow_rank_is_relieved() {
        let mut rng = SmallRng::seed_from_u64(3);
        let settings =
            RoundSettings { rank_slots: 5, max_new: 2, max_copies: 8, ..RoundSettings::default() };
        let mut map = initial(12, 32, 128);
        let loads: Vec<Vec<f64>> =
            (0..12).map(|_| (0..128).map(|_| rng.random_range(0.5..1.5)).collect()).collect();
        let mut paces = vec![1.0; 32];
        paces[7] = 6.0;
        let before = paced_skew(&map, &loads, &paces);
        for _ in 0..3 {
            let Some(round) = plan_paced_round(&map, &loads, &paces, &settings) else { break };
            map = round.map;
        }
        expect_that!(before, gt(4.0));
        expect_that!(paced_skew(&map, &loads, &paces), lt(1.7));
        for layer in &map {
            for expert in 0..128 {
                expect_that!(layer.iter().any(|it| it.contains(&expert)), eq(true));
            }
        }
    }

    #[gtest]
    fn even_load_needs_no_round() {
        let map = initial(2, 4, 16);
        let loads = vec![vec![1.0; 16]; 2];
        expect_that!(plan_round(&map, &loads, &RoundSettings::default()), none());
        expect_that!(plan_round(&map, &vec![vec![0.0; 16]; 2], &RoundSettings::default()), none());
    }
}
