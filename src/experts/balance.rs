//! Plans the next expert map of one layer, either with few weight moves or as a full repack.
//!
//! [`rebalance`] searches locally from the current map and keeps its result only if the gain
//! outweighs the cost of the moves. [`repack`] ignores the cost of moves and serves as a baseline.

use serde::{Deserialize, Serialize};

use super::{ExpertId, ExpertMap, SlotMove, placement::expert};

/// Number of least loaded ranks that each search step considers as targets.
const COLD_RANKS: usize = 8;
/// Number of most loaded ranks that the search tries to relieve before it stops.
const HOT_RANKS: usize = 2;
/// Number of redundant replicas, cheapest to remove first, that each search step considers.
const REDUNDANT_REPLICAS: usize = 6;
/// Exponent of the load potential, large enough for the most loaded ranks to dominate the sum.
const POTENTIAL_EXPONENT: i32 = 12;

/// Cost model and limits of [`rebalance`].
#[derive(Clone, Copy, Debug, PartialEq)]
#[derive(Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct BalanceSettings {
    /// Skew (highest over mean rank load) at or below which the search stops.
    pub target_skew: f64,
    /// Maximum number of weight moves per layer and plan; bounded by the weight store's rate limit.
    pub max_moves: usize,
    /// Cost of one weight move over the whole of [`Self::horizon_steps`], in step durations.
    pub move_cost_steps: f64,
    /// Number of steps within which the moves must pay back their cost.
    pub horizon_steps: f64,
}

impl Default for BalanceSettings {
    fn default() -> Self {
        Self { target_skew: 1.015, max_moves: 256, move_cost_steps: 0.05, horizon_steps: 1_500.0 }
    }
}

/// The planned map of one layer and the weight moves that lead to it.
#[derive(Clone, Debug, PartialEq)]
#[derive(Serialize, Deserialize)]
pub struct RebalancePlan {
    /// Map after the moves.
    pub map: ExpertMap,
    /// Weight moves from the current map; empty if no change is worthwhile.
    pub moves: Vec<SlotMove>,
    /// Skew of the current map under the given loads.
    pub skew_before: f64,
    /// Skew of the new map under the same loads.
    pub skew_after: f64,
}

/// Improves a map by local search that starts from the current one.
///
/// Each search step relieves one of the most loaded ranks: it adds a replica of one of the rank's
/// experts elsewhere, replaces a redundant replica on the rank by a lighter expert, or exchanges an
/// expert with another rank. The search picks the step that lowers the potential (the sum of the
/// rank loads raised to a high power) most per weight move. The result is kept only if its gain
/// outweighs the cost of the moves; otherwise the plan holds the unchanged map.
///
/// ```
/// use alderbay::experts::{BalanceSettings, ExpertMap, rebalance};
/// let map = ExpertMap::initial(4, 2, 3)?;
/// let plan = rebalance(&map, &[4.0, 1.0, 1.0, 1.0], BalanceSettings::default());
/// assert!(plan.skew_after <= plan.skew_before);
/// # Ok::<(), alderbay::experts::MapError>(())
/// ```
pub fn rebalance(map: &ExpertMap, loads: &[f64], settings: BalanceSettings) -> RebalancePlan {
    let mut search = MapSearch::new(map.clone(), loads);
    let skew_before = search.skew();
    search.descend(settings, map, settings.max_moves);
    if search.skew() > settings.target_skew {
        let mut aligned = MapSearch::new(map.clone(), loads);
        aligned.align_replicas();
        aligned.descend(settings, map, settings.max_moves);
        if aligned.skew() < search.skew() {
            search = aligned;
        }
    }
    let skew_after = search.skew();
    let moves = map.moves_to(&search.map);
    if !is_worthwhile(skew_before - skew_after, moves.len(), settings) {
        let map = map.clone();
        return RebalancePlan { map, moves: Vec::new(), skew_before, skew_after: skew_before };
    }
    RebalancePlan { map: search.map, moves, skew_before, skew_after }
}

/// Whether the step time saved over the horizon exceeds the cost of the moves.
fn is_worthwhile(gain: f64, moves: usize, settings: BalanceSettings) -> bool {
    gain * settings.horizon_steps > moves as f64 * settings.move_cost_steps
}

/// Replaces the expert of one slot.
#[derive(Clone, Copy, Debug)]
struct SlotChange {
    rank: usize,
    slot: usize,
    to: ExpertId,
}

/// Slot changes that the search applies together.
#[derive(Clone, Debug)]
struct SearchStep {
    moves: Vec<SlotChange>,
    /// Change of the potential per weight move; negative is an improvement.
    change: f64,
}

/// Search state: the candidate map with its derived rank loads and expert locations.
#[derive(Clone)]
struct MapSearch<'a> {
    map: ExpertMap,
    loads: &'a [f64],
    rank_loads: Vec<f64>,
    /// Ranks that hold each expert, by expert.
    ranks_of: Vec<Vec<usize>>,
    /// Mean load of a rank.
    mean: f64,
}

impl<'a> MapSearch<'a> {
    fn new(map: ExpertMap, loads: &'a [f64]) -> Self {
        let rank_loads = map.rank_loads(loads);
        let mean = rank_loads.iter().sum::<f64>() / rank_loads.len() as f64;
        let ranks_of = (0..map.experts()).map(|it| map.ranks_of(expert(it)).collect()).collect();
        Self { map, loads, rank_loads, ranks_of, mean }
    }

    fn skew(&self) -> f64 {
        let highest = self.rank_loads.iter().copied().fold(0.0, f64::max);
        if self.mean > 0.0 { highest / self.mean } else { 1.0 }
    }

    /// Returns the number of weight moves that lead from `old` to the candidate map.
    fn moves_from(&self, old: &ExpertMap) -> usize {
        old.count_moves_to(&self.map)
    }

    /// Applies improving steps until none is left, the target is met or a limit is reached.
    fn descend(&mut self, settings: BalanceSettings, old: &ExpertMap, max_steps: usize) {
        for _ in 0..max_steps {
            let is_done = self.skew() <= settings.target_skew;
            if is_done || self.moves_from(old) >= settings.max_moves {
                return;
            }
            let Some(step) = self.best_step() else { return };
            self.apply(&step);
        }
    }

    /// Adjusts each expert to the replica count that fits its load, placing each new replica in the
    /// slot with the best potential. This may raise the skew at first if the available slots are on
    /// unsuitable ranks; the exchanges of the following search lower it again.
    fn align_replicas(&mut self) {
        let slots = self.map.ranks() * self.map.slots_per_rank();
        let wanted = replica_counts(self.loads, slots, self.map.ranks());
        while let Some(step) = self.align_step(&wanted) {
            self.apply(&step);
        }
    }

    fn align_step(&self, wanted: &[u16]) -> Option<SearchStep> {
        let missing = |it: &usize| self.map.replicas(expert(*it)) < wanted[*it];
        let by_share = |a: &usize, b: &usize| {
            self.share_with(expert(*a), 0).total_cmp(&self.share_with(expert(*b), 0))
        };
        let to = expert((0..wanted.len()).filter(missing).max_by(by_share)?);
        let mut best = BestStep::default();
        for rank in 0..self.map.ranks() {
            for (slot, held) in self.map.on_rank(rank).iter().enumerate() {
                if self.map.replicas(*held) > wanted[usize::from(held.0)] {
                    best.consider(self.evaluate(vec![SlotChange { rank, slot, to }]));
                }
            }
        }
        best.step
    }

    /// Returns the ranks in descending order of load.
    fn sorted_ranks(&self) -> Vec<usize> {
        let mut ranks: Vec<usize> = (0..self.rank_loads.len()).collect();
        ranks.sort_unstable_by(|a, b| self.rank_loads[*b].total_cmp(&self.rank_loads[*a]));
        ranks
    }

    /// Returns the slots with a redundant replica, as rank and slot, in ascending order of the load
    /// that removing it adds to each remaining replica.
    fn redundant_slots(&self) -> Vec<(usize, usize)> {
        let slots = self.map.slots_per_rank();
        let mut redundant: Vec<(f64, usize, usize)> = Vec::new();
        for rank in 0..self.rank_loads.len() {
            for slot in 0..slots {
                let held = self.map.on_rank(rank)[slot];
                if self.map.replicas(held) > 1 {
                    redundant.push((
                        self.share_with(held, -1) - self.share_with(held, 0),
                        rank,
                        slot,
                    ));
                }
            }
        }
        redundant.sort_unstable_by(|a, b| a.0.total_cmp(&b.0));
        redundant.into_iter().take(REDUNDANT_REPLICAS).map(|(_, rank, slot)| (rank, slot)).collect()
    }

    /// Returns the load per replica of an expert if it had `extra` more replicas; `extra` may be
    /// negative.
    fn share_with(&self, expert: ExpertId, extra: i32) -> f64 {
        let replicas = f64::from(i32::from(self.map.replicas(expert)) + extra);
        self.loads[usize::from(expert.0)] / replicas
    }

    /// Returns the best step for the most loaded rank, or for the next one if the first has none.
    fn best_step(&self) -> Option<SearchStep> {
        let sorted = self.sorted_ranks();
        let cold = &sorted[sorted.len().saturating_sub(COLD_RANKS)..];
        let redundant = self.redundant_slots();
        let hot = sorted.iter().take(HOT_RANKS);
        hot.filter_map(|it| self.best_step_for(*it, cold, &redundant)).next()
    }

    fn best_step_for(
        &self,
        hot: usize,
        cold: &[usize],
        redundant: &[(usize, usize)],
    ) -> Option<SearchStep> {
        let slots = self.map.slots_per_rank();
        let mut best = BestStep::default();
        for slot in 0..slots {
            best.consider(self.best_exchange(hot, slot));
            for (rank, other) in cold.iter().flat_map(|rank| (0..slots).map(|it| (*rank, it))) {
                best.consider(self.replicate(hot, slot, rank, other));
                best.consider(self.swap_expert(hot, slot, self.map.on_rank(rank)[other]));
            }
            for (rank, other) in redundant {
                best.consider(self.replicate(hot, slot, *rank, *other));
            }
        }
        best.step
    }

    /// Returns the best exchange of the expert in this slot with a lighter one of another rank. An
    /// exchange shifts load between two ranks only, which makes it cheap to evaluate.
    fn best_exchange(&self, hot: usize, slot: usize) -> Option<SearchStep> {
        let hot_expert = self.map.on_rank(hot)[slot];
        let hot_share = self.share_with(hot_expert, 0);
        let held = self.map.on_rank(hot);
        let mut best: Option<(f64, usize, usize)> = None;
        for rank in (0..self.rank_loads.len()).filter(|it| *it != hot) {
            if self.map.on_rank(rank).contains(&hot_expert) {
                continue;
            }
            for (other, candidate) in self.map.on_rank(rank).iter().enumerate() {
                let shift = hot_share - self.share_with(*candidate, 0);
                if shift <= 0.0 || held.contains(candidate) {
                    continue;
                }
                let change = self.potential(self.rank_loads[hot] - shift)
                    - self.potential(self.rank_loads[hot])
                    + self.potential(self.rank_loads[rank] + shift)
                    - self.potential(self.rank_loads[rank]);
                if best.is_none_or(|it| change < it.0) {
                    best = Some((change, rank, other));
                }
            }
        }
        let (change, rank, other) = best?;
        let moves = vec![
            SlotChange { rank: hot, slot, to: self.map.on_rank(rank)[other] },
            SlotChange { rank, slot: other, to: hot_expert },
        ];
        let change = change / moves.len() as f64;
        (change < -f64::EPSILON).then_some(SearchStep { moves, change })
    }

    /// Replaces a redundant replica on another rank by a replica of the hot rank's expert.
    fn replicate(&self, hot: usize, slot: usize, rank: usize, other: usize) -> Option<SearchStep> {
        let gained = self.map.on_rank(hot)[slot];
        self.improving_step(vec![SlotChange { rank, slot: other, to: gained }])
    }

    /// Replaces a redundant replica on the hot rank by another expert.
    fn swap_expert(&self, hot: usize, slot: usize, to: ExpertId) -> Option<SearchStep> {
        self.improving_step(vec![SlotChange { rank: hot, slot, to }])
    }

    /// Returns the step if it leaves a valid map and lowers the potential.
    fn improving_step(&self, moves: Vec<SlotChange>) -> Option<SearchStep> {
        self.evaluate(moves).filter(|it| it.change < -f64::EPSILON)
    }

    /// Returns the step with its potential change if it leaves a valid map: every expert keeps a
    /// replica, and no rank holds an expert twice.
    fn evaluate(&self, moves: Vec<SlotChange>) -> Option<SearchStep> {
        let mut replicas: Vec<(ExpertId, i32)> = Vec::with_capacity(2 * moves.len());
        for it in &moves {
            let from = self.map.on_rank(it.rank)[it.slot];
            if self.map.on_rank(it.rank).contains(&it.to) {
                return None;
            }
            add_replicas(&mut replicas, it.to, 1);
            add_replicas(&mut replicas, from, -1);
        }
        if replicas.iter().any(|(it, extra)| i32::from(self.map.replicas(*it)) + extra < 1) {
            return None;
        }
        let change = self.potential_change(&moves, &replicas) / moves.len() as f64;
        Some(SearchStep { moves, change })
    }

    fn potential_change(&self, moves: &[SlotChange], replicas: &[(ExpertId, i32)]) -> f64 {
        let mut shifts: Vec<(usize, f64)> = Vec::with_capacity(16);
        for (it, extra) in replicas.iter().filter(|(_, extra)| *extra != 0) {
            let shift = self.share_with(*it, *extra) - self.share_with(*it, 0);
            shifts.extend(self.ranks_of[usize::from(it.0)].iter().map(|rank| (*rank, shift)));
        }
        let after = |it: ExpertId| {
            let extra =
                replicas.iter().find(|(other, _)| *other == it).map_or(0, |(_, extra)| *extra);
            self.share_with(it, extra)
        };
        for it in moves {
            let from = self.map.on_rank(it.rank)[it.slot];
            shifts.push((it.rank, after(it.to) - after(from)));
        }
        shifts.sort_unstable_by_key(|it| it.0);
        let of_rank = |same: &[(usize, f64)]| {
            let old = self.rank_loads[same[0].0];
            let new = old + same.iter().map(|it| it.1).sum::<f64>();
            self.potential(new) - self.potential(old)
        };
        shifts.chunk_by(|a, b| a.0 == b.0).map(of_rank).sum()
    }

    fn potential(&self, load: f64) -> f64 {
        (load / self.mean).powi(POTENTIAL_EXPONENT)
    }

    fn apply(&mut self, step: &SearchStep) {
        for it in &step.moves {
            let from = self.map.on_rank(it.rank)[it.slot];
            self.map.set_slot(it.rank, it.slot, it.to);
            self.ranks_of[usize::from(from.0)].retain(|rank| *rank != it.rank);
            self.ranks_of[usize::from(it.to.0)].push(it.rank);
        }
        self.rank_loads = self.map.rank_loads(self.loads);
    }
}

fn add_replicas(replicas: &mut Vec<(ExpertId, i32)>, expert: ExpertId, extra: i32) {
    match replicas.iter_mut().find(|(it, _)| *it == expert) {
        Some((_, sum)) => *sum += extra,
        None => replicas.push((expert, extra)),
    }
}

/// Tracks the step with the lowest potential change so far.
#[derive(Debug, Default)]
struct BestStep {
    step: Option<SearchStep>,
}

impl BestStep {
    fn consider(&mut self, step: Option<SearchStep>) {
        let Some(step) = step else { return };
        if self.step.as_ref().is_none_or(|it| step.change < it.change) {
            self.step = Some(step);
        }
    }
}

/// Repacks a layer greedily from scratch, regardless of the number of weight moves.
///
/// It derives replica counts from the loads, then places replicas in descending order of load, each
/// on the least loaded rank that has a free slot and does not hold the expert. Returns the given
/// map if the replicas do not fit.
///
/// ```
/// use alderbay::experts::{ExpertMap, repack};
/// let map = repack(&ExpertMap::initial(4, 2, 3)?, &[4.0, 1.0, 1.0, 1.0]);
/// assert_eq!(map.replicas(alderbay::experts::ExpertId(0)), 2);
/// # Ok::<(), alderbay::experts::MapError>(())
/// ```
pub fn repack(map: &ExpertMap, loads: &[f64]) -> ExpertMap {
    let (ranks, slots) = (map.ranks(), map.slots_per_rank());
    let counts = replica_counts(loads, ranks * slots, ranks);
    let mut replicas: Vec<(usize, f64)> = Vec::with_capacity(ranks * slots);
    for (it, count) in counts.iter().enumerate() {
        replicas.extend((0..*count).map(|_| (it, loads[it] / f64::from(*count))));
    }
    replicas.sort_by(|a, b| b.1.total_cmp(&a.1));
    let mut held: Vec<Vec<usize>> = vec![Vec::with_capacity(slots); ranks];
    let mut weights = vec![0.0; ranks];
    for (it, share) in replicas {
        let has_room = |rank: &usize| held[*rank].len() < slots && !held[*rank].contains(&it);
        let by_weight = |a: &usize, b: &usize| f64::total_cmp(&weights[*a], &weights[*b]);
        let Some(rank) = (0..ranks).filter(has_room).min_by(by_weight) else { return map.clone() };
        held[rank].push(it);
        weights[rank] += share;
    }
    let packed = held.into_iter().flatten().map(expert).collect();
    ExpertMap::from_slots(map.experts(), slots, packed).unwrap_or_else(|_| map.clone())
}

/// Returns the replica count of each expert: one each, then each further slot goes to the expert
/// with the highest load per replica, up to one replica per rank.
fn replica_counts(loads: &[f64], slots: usize, ranks: usize) -> Vec<u16> {
    let mut counts = vec![1_u16; loads.len()];
    for _ in loads.len()..slots {
        let share = |it: &usize| loads[*it] / f64::from(counts[*it]);
        let heaviest = (0..loads.len())
            .filter(|it| usize::from(counts[*it]) < ranks)
            .max_by(|a, b| share(a).total_cmp(&share(b)));
        let Some(heaviest) = heaviest else { return counts };
        counts[heaviest] += 1;
    }
    counts
}
