//! Model of the engines of one group, for simulations of rollouts of expert maps.

use std::collections::BTreeMap;

use alderbay::{
    experts::{GroupMap, MapVersion, RankOrder, RankPace, RankReport, StepNumber},
    routing::GroupMembership,
};

/// Sizes of a group.
#[derive(Clone, Copy)]
pub struct GroupShape {
    pub ranks: usize,
    pub layers: usize,
    pub experts: usize,
    pub rank_slots: usize,
}

/// Model of the engine of one rank, as the platform specifies it.
#[derive(Clone, Default)]
pub struct ModelRank {
    /// Version of the map in use.
    pub map: u64,
    /// Experts on this rank, by layer.
    pub experts: Vec<Vec<u16>>,
    /// Version, map, and time in milliseconds from which the map can be armed.
    pub prepared: Option<(u64, GroupMap, u64)>,
    /// Version, and first step that uses it.
    pub armed: Option<(u64, u64)>,
    /// Step that must not start.
    pub held: Option<u64>,
    /// Highest version that the rank has accepted for preparation.
    pub highest: u64,
}

#[derive(Clone)]
pub struct ModelGroup {
    pub shape: GroupShape,
    pub ranks: Vec<ModelRank>,
    pub step: u64,
    pub epoch: u64,
    /// Maps by version. A version must always name the same map.
    pub maps: BTreeMap<u64, GroupMap>,
}

impl ModelGroup {
    pub fn new(epoch: u64, shape: GroupShape) -> Self {
        let GroupShape { ranks, layers, experts, .. } = shape;
        let on_rank = |rank| (0..experts).filter(move |it| it % ranks == rank).map(|it| it as u16);
        let rank =
            |n| ModelRank { experts: vec![on_rank(n).collect(); layers], ..ModelRank::default() };
        let ranks = (0..ranks).map(rank).collect();
        Self { shape, ranks, step: 0, epoch, maps: BTreeMap::new() }
    }

    /// Starts the next step unless a rank holds it. Returns the violation if ranks start it with
    /// different maps.
    pub fn start_step(&mut self) -> Option<String> {
        let next = self.step + 1;
        if self.ranks.iter().any(|it| it.held == Some(next)) {
            return None;
        }
        self.step = next;
        for (n, rank) in self.ranks.iter_mut().enumerate() {
            if let Some((version, step)) = rank.armed
                && step == next
            {
                rank.map = version;
                rank.experts = self.maps[&version].iter().map(|layer| layer[n].clone()).collect();
                rank.armed = None;
                rank.prepared = None;
            }
        }
        let maps: Vec<u64> = self.ranks.iter().map(|it| it.map).collect();
        maps.iter()
            .any(|it| *it != maps[0])
            .then(|| format!("step {next} starts with maps {maps:?}"))
    }

    /// Executes an order. Returns false if the rank rejects it.
    pub fn execute_order(&mut self, rank: usize, epoch: u64, order: &RankOrder, now: u64) -> bool {
        if epoch != self.epoch {
            return false;
        }
        let step = self.step;
        let it = &mut self.ranks[rank];
        match order {
            RankOrder::Prepare { version, map } => {
                if it.prepared.as_ref().is_some_and(|it| it.0 == version.0) {
                    return true;
                }
                if version.0 <= it.highest || it.armed.is_some() {
                    return false;
                }
                let first = self.maps.entry(version.0).or_insert_with(|| map.clone());
                assert_eq!(first, map, "version {version:?} names two maps");
                it.highest = version.0;
                it.prepared = Some((version.0, map.clone(), now + 150));
                true
            }
            RankOrder::Arm { version, step: target } => {
                let is_prepared =
                    it.prepared.as_ref().is_some_and(|it| it.0 == version.0 && it.2 <= now);
                if !is_prepared || target.0 <= step {
                    return false;
                }
                it.armed = Some((version.0, target.0));
                true
            }
            RankOrder::Hold(target) => {
                if target.0 <= step || it.held.is_some_and(|it| it != target.0 && it > step) {
                    return false;
                }
                it.held = Some(target.0);
                true
            }
            RankOrder::Release(target) => {
                if it.held == Some(target.0) {
                    it.held = None;
                }
                true
            }
        }
    }

    pub fn report(&self, rank: usize, now: u64) -> RankReport {
        let it = &self.ranks[rank];
        let prepared = it.prepared.as_ref().filter(|it| it.2 <= now).map(|it| MapVersion(it.0));
        RankReport {
            running: 1,
            waiting: 0,
            step: StepNumber(self.step),
            map: MapVersion(it.map),
            prepared,
            armed: it.armed.map(|(version, step)| (MapVersion(version), StepNumber(step))),
            held: it.held.filter(|it| *it > self.step).map(StepNumber),
            group: Some(GroupMembership {
                name: "g".parse().unwrap(),
                epoch: self.epoch,
                rank: rank as u16,
                is_open: true,
            }),
            group_size: self.shape.ranks as u16,
            pace: RankPace::default(),
            used_tokens: 0,
            max_tokens: 0,
        }
    }
}
