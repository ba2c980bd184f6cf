//! The switch between expert maps, explored exhaustively over small groups.
//!
//! Every message ever sent stays deliverable, so that loss, delay, repetition and overtaking, and
//! with them paused members, are all among the explored runs. Agents restart at any point.

use std::collections::{BTreeMap, BTreeSet, HashSet, VecDeque};

use alderbay::experts::{
    MapVersion, MemberRanks, StepNumber, SwitchEffect, SwitchMember, SwitchMessage, SwitchTrigger,
};
use googletest::prelude::*;

/// What may happen how often in a run.
#[derive(Clone, Copy, Debug)]
struct RunBounds {
    members: usize,
    proposals: u8,
    recoveries: u8,
    restarts: u8,
    steps: u64,
    max_states: usize,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct GroupState {
    agents: Vec<SwitchMember>,
    ranks: Vec<MemberRanks>,
    sent: BTreeSet<SwitchMessage>,
    /// Map with which each step was entered first.
    entered: BTreeMap<StepNumber, MapVersion>,
    proposals: u8,
    recoveries: u8,
    restarts: u8,
}

impl GroupState {
    fn new(members: usize) -> Self {
        let agents = (0..members).map(|n| SwitchMember::founding(n as u16, members)).collect();
        Self {
            agents,
            ranks: vec![MemberRanks::default(); members],
            sent: BTreeSet::new(),
            entered: BTreeMap::new(),
            proposals: 0,
            recoveries: 0,
            restarts: 0,
        }
    }

    fn trigger(&self, member: usize, trigger: SwitchTrigger) -> Self {
        let mut next = self.clone();
        for act in next.agents[member].reduce(&mut next.ranks[member], trigger) {
            let SwitchEffect::Broadcast(message) = act;
            next.sent.insert(message);
        }
        next
    }

    /// All states that one happening leads to; an error where a step has two maps.
    fn successors(&self, bounds: RunBounds) -> std::result::Result<Vec<Self>, String> {
        let mut all = Vec::new();
        for member in 0..bounds.members {
            for message in &self.sent {
                all.push(self.trigger(member, SwitchTrigger::Receive(message.clone())));
            }
            // Members are alike: the first proposal is the first member's.
            if self.proposals < bounds.proposals && member == usize::from(self.proposals) {
                let step = StepNumber(self.ranks[member].entered().0 + 1);
                let map = MapVersion(u64::from(self.proposals) + 1);
                let mut next = self.trigger(member, SwitchTrigger::Start { map, step });
                next.proposals += 1;
                all.push(next);
            }
            if self.recoveries < bounds.recoveries {
                let mut next = self.trigger(member, SwitchTrigger::Recover);
                next.recoveries += 1;
                all.push(next);
            }
            if self.restarts < bounds.restarts {
                let mut next = self.clone();
                let life = next.agents[member].incarnation() + 1;
                next.agents[member] = SwitchMember::restarted(member as u16, bounds.members, life);
                next.restarts += 1;
                all.push(next);
            }
            all.extend(self.enter_step(member, bounds)?);
        }
        Ok(all)
    }

    /// Ranks run in lock-step: one enters a step once all have entered the step before.
    fn enter_step(
        &self,
        member: usize,
        bounds: RunBounds,
    ) -> std::result::Result<Option<Self>, String> {
        let slowest = self.ranks.iter().map(MemberRanks::entered).min().unwrap();
        let own = self.ranks[member].entered();
        if own > slowest || own.0 >= bounds.steps {
            return Ok(None);
        }
        let mut next = self.clone();
        let Some((step, map)) = next.ranks[member].enter_step() else { return Ok(None) };
        match next.entered.insert(step, map) {
            Some(other) if other != map => {
                Err(format!("step {step:?} with map {other:?} and with map {map:?} in {self:#?}"))
            }
            Some(_) | None => Ok(Some(next)),
        }
    }
}

/// Explores all runs within the bounds; gives the states seen, and how many have a new map in force.
fn explore(bounds: RunBounds) -> std::result::Result<(usize, usize), String> {
    let start = GroupState::new(bounds.members);
    let mut seen = HashSet::from([start.clone()]);
    let mut open = VecDeque::from([start]);
    let mut switched = 0;
    while let Some(state) = open.pop_front() {
        switched += usize::from(state.entered.values().any(|it| *it != MapVersion(0)));
        for next in state.successors(bounds)? {
            if seen.len() < bounds.max_states && seen.insert(next.clone()) {
                open.push_back(next);
            }
        }
    }
    println!("{bounds:?}: {} states, {switched} with a new map in force", seen.len());
    if seen.len() == bounds.max_states {
        return Err(format!("more than {} states: not exhaustive", bounds.max_states));
    }
    Ok((seen.len(), switched))
}

fn check_safe(bounds: RunBounds) {
    match explore(bounds) {
        Ok((states, switched)) => {
            expect_that!(states, gt(1_000));
            expect_that!(switched, gt(0));
        }
        Err(found) => add_failure!("{found}"),
    }
}

#[gtest]
fn agent_restarts_at_any_point() {
    let bounds = RunBounds {
        members: 2,
        proposals: 1,
        recoveries: 1,
        restarts: 1,
        steps: 2,
        max_states: 600_000,
    };
    check_safe(bounds);
}

#[gtest]
fn two_rebalances_at_once() {
    let bounds = RunBounds {
        members: 2,
        proposals: 2,
        recoveries: 1,
        restarts: 0,
        steps: 2,
        max_states: 600_000,
    };
    check_safe(bounds);
}

#[gtest]
fn three_members_with_paused_leader() {
    let bounds = RunBounds {
        members: 3,
        proposals: 1,
        recoveries: 1,
        restarts: 0,
        steps: 2,
        max_states: 600_000,
    };
    check_safe(bounds);
}

#[gtest]
fn settled_group_goes_on() {
    let mut group = GroupState::new(3);
    group = group.trigger(0, SwitchTrigger::Start { map: MapVersion(5), step: StepNumber(1) });
    for _ in 0..4 {
        for member in 0..3 {
            for message in group.sent.clone() {
                group = group.trigger(member, SwitchTrigger::Receive(message));
            }
        }
    }
    for ranks in &mut group.ranks {
        expect_that!(ranks.enter_step(), some(eq((StepNumber(1), MapVersion(5)))));
    }
}
