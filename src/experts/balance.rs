//! Decisions on the next map: few weight moves where they pay, and the full repack as a baseline.

use serde::{Deserialize, Serialize};

use super::{ExpertId, ExpertMap, SlotMove, placement::expert};

/// Least loaded ranks that are looked at for each step of the search.
const COLD_RANKS: usize = 8;
/// Most loaded ranks that are looked at before the search gives up.
const HOT_RANKS: usize = 2;
/// Replicas that can be given up with the least effect, looked at for each step.
const SPARE_REPLICAS: usize = 6;
/// Exponent of the potential: large enough that the most loaded ranks decide.
const POTENTIAL_EXPONENT: i32 = 12;

/// When weight moves are worth their cost.
#[derive(Clone, Copy, Debug, PartialEq)]
#[derive(Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct BalanceSettings {
    /// Skew at which the search stops.
    pub target_skew: f64,
    /// Most weight moves of one layer in one decision, by the weight store's rate limit.
    pub max_moves: usize,
    /// Part of a step's time that one weight move costs, spread over [`Self::horizon_steps`].
    pub move_cost_steps: f64,
    /// Steps over which moves must pay back.
    pub horizon_steps: f64,
}

impl Default for BalanceSettings {
    fn default() -> Self {
        Self { target_skew: 1.015, max_moves: 256, move_cost_steps: 0.05, horizon_steps: 1_500.0 }
    }
}

/// A decision for one layer.
#[derive(Clone, Debug, PartialEq)]
#[derive(Serialize, Deserialize)]
pub struct RebalancePlan {
    /// The map after the moves.
    pub map: ExpertMap,
    /// The weight moves.
    pub moves: Vec<SlotMove>,
    /// Skew of the old map under the loads of the decision.
    pub skew_before: f64,
    /// Skew of the new map under the same loads.
    pub skew_after: f64,
}

/// Improves a map by local search from the present one.
///
/// Each step relieves one of the most loaded ranks: by another replica of one of its experts, by a
/// lighter expert in place of one that stands elsewhere too, or by an exchange with a little loaded
/// rank. Steps are compared by how much they lower the sum of the ranks' loads to a high power for
/// each weight move. The result is kept only where it pays for its moves.
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
    if !pays(skew_before - skew_after, moves.len(), settings) {
        let map = map.clone();
        return RebalancePlan { map, moves: Vec::new(), skew_before, skew_after: skew_before };
    }
    RebalancePlan { map: search.map, moves, skew_before, skew_after }
}

/// Moves pay where the time they take off the steps of the horizon is more than they cost.
fn pays(gain: f64, moves: usize, settings: BalanceSettings) -> bool {
    gain * settings.horizon_steps > moves as f64 * settings.move_cost_steps
}

/// One change of a slot during the search.
#[derive(Clone, Copy, Debug)]
struct SlotChange {
    rank: usize,
    slot: usize,
    to: ExpertId,
}

/// One step of the search.
#[derive(Clone, Debug)]
struct SearchStep {
    moves: Vec<SlotChange>,
    /// Change of the potential for each weight move; negative is better.
    change: f64,
}

/// A map under search, with the loads of its ranks kept up to date.
#[derive(Clone)]
struct MapSearch<'a> {
    map: ExpertMap,
    loads: &'a [f64],
    ranks: Vec<f64>,
    ranks_of: Vec<Vec<usize>>,
    mean: f64,
}

impl<'a> MapSearch<'a> {
    fn new(map: ExpertMap, loads: &'a [f64]) -> Self {
        let ranks = map.rank_loads(loads);
        let mean = ranks.iter().sum::<f64>() / ranks.len() as f64;
        let ranks_of = (0..map.experts()).map(|it| map.ranks_of(expert(it)).collect()).collect();
        Self { map, loads, ranks, ranks_of, mean }
    }

    fn skew(&self) -> f64 {
        let highest = self.ranks.iter().copied().fold(0.0, f64::max);
        if self.mean > 0.0 { highest / self.mean } else { 1.0 }
    }

    /// Weight moves that lead from `old` to this map.
    fn moves_from(&self, old: &ExpertMap) -> usize {
        old.count_moves_to(&self.map)
    }

    /// Takes improving steps until there is none, the target is met or the moves are spent.
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

    /// Gives each expert the number of replicas that its load asks for, each in the slot where that
    /// does least harm. Makes matters worse at first where the slots are far apart; exchanges follow.
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
            self.share_at(expert(*a), 0).total_cmp(&self.share_at(expert(*b), 0))
        };
        let to = expert((0..wanted.len()).filter(missing).max_by(by_share)?);
        let mut best = StepChoice::default();
        for rank in 0..self.map.ranks() {
            for (slot, held) in self.map.on_rank(rank).iter().enumerate() {
                if self.map.replicas(*held) > wanted[usize::from(held.0)] {
                    best.offer(self.valued(vec![SlotChange { rank, slot, to }]));
                }
            }
        }
        best.step
    }

    /// Ranks from the most to the least loaded.
    fn sorted_ranks(&self) -> Vec<usize> {
        let mut ranks: Vec<usize> = (0..self.ranks.len()).collect();
        ranks.sort_unstable_by(|a, b| self.ranks[*b].total_cmp(&self.ranks[*a]));
        ranks
    }

    /// Slots whose expert stands elsewhere too, those first whose loss shifts the least load.
    fn spare_slots(&self) -> Vec<(usize, usize)> {
        let slots = self.map.slots_per_rank();
        let mut spare: Vec<(f64, usize, usize)> = Vec::new();
        for rank in 0..self.ranks.len() {
            for slot in 0..slots {
                let held = self.map.on_rank(rank)[slot];
                if self.map.replicas(held) > 1 {
                    spare.push((self.share_at(held, -1) - self.share_at(held, 0), rank, slot));
                }
            }
        }
        spare.sort_unstable_by(|a, b| a.0.total_cmp(&b.0));
        spare.into_iter().take(SPARE_REPLICAS).map(|(_, rank, slot)| (rank, slot)).collect()
    }

    /// Load of each replica of an expert if it had `more` replicas than it has.
    fn share_at(&self, expert: ExpertId, more: i32) -> f64 {
        let replicas = f64::from(i32::from(self.map.replicas(expert)) + more);
        self.loads[usize::from(expert.0)] / replicas
    }

    /// The best step for the most loaded rank, or for the next ones where it has none.
    fn best_step(&self) -> Option<SearchStep> {
        let sorted = self.sorted_ranks();
        let cold = &sorted[sorted.len().saturating_sub(COLD_RANKS)..];
        let spare = self.spare_slots();
        let hot = sorted.iter().take(HOT_RANKS);
        hot.filter_map(|it| self.best_step_for(*it, cold, &spare)).next()
    }

    fn best_step_for(
        &self,
        hot: usize,
        cold: &[usize],
        spare: &[(usize, usize)],
    ) -> Option<SearchStep> {
        let slots = self.map.slots_per_rank();
        let mut best = StepChoice::default();
        for slot in 0..slots {
            best.offer(self.best_exchange(hot, slot));
            for (rank, other) in cold.iter().flat_map(|rank| (0..slots).map(|it| (*rank, it))) {
                best.offer(self.replicate(hot, slot, rank, other));
                best.offer(self.lighten(hot, slot, self.map.on_rank(rank)[other]));
            }
            for (rank, other) in spare {
                best.offer(self.replicate(hot, slot, *rank, *other));
            }
        }
        best.step
    }

    /// The best exchange of the hot rank's expert against any other's. It shifts load between two
    /// ranks only, which makes it cheap to judge.
    fn best_exchange(&self, hot: usize, slot: usize) -> Option<SearchStep> {
        let ours = self.map.on_rank(hot)[slot];
        let our_share = self.share_at(ours, 0);
        let held = self.map.on_rank(hot);
        let mut best: Option<(f64, usize, usize)> = None;
        for rank in (0..self.ranks.len()).filter(|it| *it != hot) {
            if self.map.on_rank(rank).contains(&ours) {
                continue;
            }
            for (other, theirs) in self.map.on_rank(rank).iter().enumerate() {
                let shift = our_share - self.share_at(*theirs, 0);
                if shift <= 0.0 || held.contains(theirs) {
                    continue;
                }
                let change = self.potential(self.ranks[hot] - shift)
                    - self.potential(self.ranks[hot])
                    + self.potential(self.ranks[rank] + shift)
                    - self.potential(self.ranks[rank]);
                if best.is_none_or(|it| change < it.0) {
                    best = Some((change, rank, other));
                }
            }
        }
        let (change, rank, other) = best?;
        let moves = vec![
            SlotChange { rank: hot, slot, to: self.map.on_rank(rank)[other] },
            SlotChange { rank, slot: other, to: ours },
        ];
        let change = change / moves.len() as f64;
        (change < -f64::EPSILON).then_some(SearchStep { moves, change })
    }

    /// Another replica of the hot rank's expert in place of one that stands elsewhere too.
    fn replicate(&self, hot: usize, slot: usize, rank: usize, other: usize) -> Option<SearchStep> {
        let gained = self.map.on_rank(hot)[slot];
        self.judge(vec![SlotChange { rank, slot: other, to: gained }])
    }

    /// Another expert in place of the hot rank's that stands elsewhere too.
    fn lighten(&self, hot: usize, slot: usize, to: ExpertId) -> Option<SearchStep> {
        self.judge(vec![SlotChange { rank: hot, slot, to }])
    }

    /// Keeps a step that leaves a valid map and lowers the potential.
    fn judge(&self, moves: Vec<SlotChange>) -> Option<SearchStep> {
        self.valued(moves).filter(|it| it.change < -f64::EPSILON)
    }

    /// Keeps a step that leaves a valid map.
    fn valued(&self, moves: Vec<SlotChange>) -> Option<SearchStep> {
        let mut replicas: Vec<(ExpertId, i32)> = Vec::with_capacity(2 * moves.len());
        for it in &moves {
            let from = self.map.on_rank(it.rank)[it.slot];
            if self.map.on_rank(it.rank).contains(&it.to) {
                return None;
            }
            add(&mut replicas, it.to, 1);
            add(&mut replicas, from, -1);
        }
        if replicas.iter().any(|(it, more)| i32::from(self.map.replicas(*it)) + more < 1) {
            return None;
        }
        let change = self.potential_change(&moves, &replicas) / moves.len() as f64;
        Some(SearchStep { moves, change })
    }

    fn potential_change(&self, moves: &[SlotChange], replicas: &[(ExpertId, i32)]) -> f64 {
        let mut shifts: Vec<(usize, f64)> = Vec::with_capacity(16);
        for (it, more) in replicas.iter().filter(|(_, more)| *more != 0) {
            let shift = self.share_at(*it, *more) - self.share_at(*it, 0);
            shifts.extend(self.ranks_of[usize::from(it.0)].iter().map(|rank| (*rank, shift)));
        }
        let after = |it: ExpertId| {
            let more = replicas.iter().find(|(other, _)| *other == it).map_or(0, |(_, more)| *more);
            self.share_at(it, more)
        };
        for it in moves {
            let from = self.map.on_rank(it.rank)[it.slot];
            shifts.push((it.rank, after(it.to) - after(from)));
        }
        shifts.sort_unstable_by_key(|it| it.0);
        let of_rank = |same: &[(usize, f64)]| {
            let old = self.ranks[same[0].0];
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
            self.map.put(it.rank, it.slot, it.to);
            self.ranks_of[usize::from(from.0)].retain(|rank| *rank != it.rank);
            self.ranks_of[usize::from(it.to.0)].push(it.rank);
        }
        self.ranks = self.map.rank_loads(self.loads);
    }
}

fn add(replicas: &mut Vec<(ExpertId, i32)>, expert: ExpertId, more: i32) {
    match replicas.iter_mut().find(|(it, _)| *it == expert) {
        Some((_, sum)) => *sum += more,
        None => replicas.push((expert, more)),
    }
}

/// The best step offered so far.
#[derive(Debug, Default)]
struct StepChoice {
    step: Option<SearchStep>,
}

impl StepChoice {
    fn offer(&mut self, step: Option<SearchStep>) {
        let Some(step) = step else { return };
        if self.step.as_ref().is_none_or(|it| step.change < it.change) {
            self.step = Some(step);
        }
    }
}

/// The full greedy repack: replicas by load, then the heaviest replica to the least loaded rank that
/// has a free slot and does not hold the expert. The baseline with the least skew and most moves.
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

/// Replicas of each expert: one each, and each further one to the expert whose replicas carry most.
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
