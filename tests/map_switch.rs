//! Explores, exhaustively for small groups, the protocol that switches a group between expert maps.
//! Guards against ranks that enter the same step with different maps.
//!
//! Every message ever sent stays deliverable. The explored runs therefore include lost, delayed,
//! duplicated and reordered messages, and with them paused members. Agents restart at any point.

use std::collections::{BTreeMap, BTreeSet, HashSet, VecDeque};

use alderbay::experts::{
    MapVersion, MemberRanks, StepNumber, SwitchEffect, SwitchMember, SwitchMessage, SwitchTrigger,
};
use googletest::prelude::*;

/// Size of the group and the largest number of each kind of event in a run.
#[derive(Clone, Copy, Debug)]
struct RunBounds {
    members: usize,
    proposals: u8,
    recoveries: u8,
    restarts: u8,
    steps: u64,
    /// The exploration fails if it reaches this number of distinct states.
    max_states: usize,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct GroupState {
    agents: Vec<SwitchMember>,
    ranks: Vec<MemberRanks>,
    sent: BTreeSet<SwitchMessage>,
    /// Map used by the first rank that entered each step.
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

    fn apply_trigger(&self, member: usize, trigger: SwitchTrigger) -> Self {
        let mut next = self.clone();
        for effect in next.agents[member].reduce(&mut next.ranks[member], trigger) {
            let SwitchEffect::Broadcast(message) = effect;
            next.sent.insert(message);
        }
        next
    }

    /// All states that follow from one event. An error if ranks enter a step with different maps.
    fn successors(&self, bounds: RunBounds) -> std::result::Result<Vec<Self>, String> {
        let mut next_states = Vec::new();
        for member in 0..bounds.members {
            for message in &self.sent {
                next_states
                    .push(self.apply_trigger(member, SwitchTrigger::Receive(message.clone())));
            }
            // Members are symmetric, so it suffices that the first one makes the first proposal.
            if self.proposals < bounds.proposals && member == usize::from(self.proposals) {
                let step = StepNumber(self.ranks[member].entered().0 + 1);
                let map = MapVersion(u64::from(self.proposals) + 1);
                let mut next = self.apply_trigger(member, SwitchTrigger::Start { map, step });
                next.proposals += 1;
                next_states.push(next);
            }
            if self.recoveries < bounds.recoveries {
                let mut next = self.apply_trigger(member, SwitchTrigger::Recover);
                next.recoveries += 1;
                next_states.push(next);
            }
            if self.restarts < bounds.restarts {
                let mut next = self.clone();
                let incarnation = next.agents[member].incarnation() + 1;
                next.agents[member] =
                    SwitchMember::restarted(member as u16, bounds.members, incarnation);
                next.restarts += 1;
                next_states.push(next);
            }
            next_states.extend(self.enter_step(member, bounds)?);
        }
        Ok(next_states)
    }

    /// Ranks run in lockstep: a rank enters a step only after all have entered the step before.
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

/// Explores all runs within the bounds. Returns the number of distinct states and the number of
/// those in which a rank has entered a step with a new map.
fn explore(bounds: RunBounds) -> std::result::Result<(usize, usize), String> {
    let initial = GroupState::new(bounds.members);
    let mut visited = HashSet::from([initial.clone()]);
    let mut queue = VecDeque::from([initial]);
    let mut switched = 0;
    while let Some(state) = queue.pop_front() {
        switched += usize::from(state.entered.values().any(|it| *it != MapVersion(0)));
        for next in state.successors(bounds)? {
            if visited.len() < bounds.max_states && visited.insert(next.clone()) {
                queue.push_back(next);
            }
        }
    }
    println!("{bounds:?}: {} states, {switched} with a new map in use", visited.len());
    if visited.len() == bounds.max_states {
        return Err(format!("more than {} states: not exhaustive", bounds.max_states));
    }
    Ok((visited.len(), switched))
}

fn check_safe(bounds: RunBounds) {
    match explore(bounds) {
        Ok((states, switched)) => {
            expect_that!(states, gt(1_000));
            expect_that!(switched, gt(0));
        }
        Err(violation) => add_failure!("{violation}"),
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
fn fault_free_switch_completes() {
    let mut group = GroupState::new(3);
    group =
        group.apply_trigger(0, SwitchTrigger::Start { map: MapVersion(5), step: StepNumber(1) });
    for _ in 0..4 {
        for member in 0..3 {
            for message in group.sent.clone() {
                group = group.apply_trigger(member, SwitchTrigger::Receive(message));
            }
        }
    }
    for ranks in &mut group.ranks {
        expect_that!(ranks.enter_step(), some(eq((StepNumber(1), MapVersion(5)))));
    }
}
