//! The ranks of one member: which map they use, and the step at which they hold.

use std::fmt;

use serde::{Deserialize, Serialize};

/// One step of the group.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
#[derive(Serialize, Deserialize)]
pub struct StepNumber(pub u64);

/// One expert map of the group, numbered in the order of proposals.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
#[derive(Serialize, Deserialize)]
pub struct MapNumber(pub u64);

/// Order of proposals and questions: the round first, then the member that began it.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
#[derive(Serialize, Deserialize)]
pub struct SwitchBallot {
    /// The round; zero is below all ballots in use.
    pub round: u32,
    /// The member, by its place in the group.
    pub member: u16,
    /// The life of the member's agent, so that no life uses a ballot of an earlier one.
    pub life: u64,
}

impl fmt::Display for SwitchBallot {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}.{}.{}", self.round, self.member, self.life)
    }
}

/// A switch that is prepared and not decided.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
#[derive(Serialize, Deserialize)]
pub struct HeldSwitch {
    /// Ballot of the proposal.
    pub ballot: SwitchBallot,
    /// The map.
    pub map: MapNumber,
    /// First step with the map.
    pub step: StepNumber,
}

/// What the ranks of one member know. It outlives the member's agent.
///
/// ```
/// use alderbay::experts::{GroupRanks, HeldSwitch, MapNumber, StepNumber, SwitchBallot};
/// let mut ranks = GroupRanks::default();
/// let ballot = SwitchBallot { round: 1, member: 0, life: 0 };
/// assert!(ranks.hold(HeldSwitch { ballot, map: MapNumber(7), step: StepNumber(2) }));
/// assert_eq!(ranks.enter_step(), Some((StepNumber(1), MapNumber(0))));
/// assert_eq!(ranks.enter_step(), None);
/// ranks.settle(ballot);
/// assert_eq!(ranks.enter_step(), Some((StepNumber(2), MapNumber(7))));
/// ```
#[derive(Clone, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
#[derive(Serialize, Deserialize)]
pub struct GroupRanks {
    entered: StepNumber,
    map: MapNumber,
    held: Option<HeldSwitch>,
    applied: SwitchBallot,
    decided: Option<(StepNumber, MapNumber)>,
}

impl GroupRanks {
    /// The last step entered.
    pub fn entered(&self) -> StepNumber {
        self.entered
    }

    /// The switch that waits for its decision.
    pub fn held(&self) -> Option<HeldSwitch> {
        self.held
    }

    /// Ballot of the last map applied.
    pub fn applied(&self) -> SwitchBallot {
        self.applied
    }

    /// Prepares a switch. False where its step was entered already, or another switch is undecided
    /// or not yet reached.
    #[must_use]
    pub fn hold(&mut self, switch: HeldSwitch) -> bool {
        if self.held == Some(switch) {
            return true;
        }
        let is_free = self.held.is_none() && self.decided.is_none();
        if !is_free || switch.step <= self.entered || switch.ballot <= self.applied {
            return false;
        }
        self.held = Some(switch);
        true
    }

    /// Decides what is held: applied where its ballot is `committed`, dropped otherwise.
    pub fn settle(&mut self, committed: SwitchBallot) {
        let Some(held) = self.held.take() else { return };
        if held.ballot == committed {
            self.applied = held.ballot;
            self.decided = Some((held.step, held.map));
        }
    }

    /// Enters the next step, unless a switch at that step is undecided. Gives the step and the map
    /// that it is run with.
    pub fn enter_step(&mut self) -> Option<(StepNumber, MapNumber)> {
        let next = StepNumber(self.entered.0 + 1);
        if self.held.is_some_and(|it| it.step <= next) {
            return None;
        }
        if let Some((step, map)) = self.decided
            && step <= next
        {
            self.map = map;
            self.decided = None;
        }
        self.entered = next;
        Some((next, self.map))
    }
}
