//! State of one member's ranks: the map in use, the step entered, and the switch that is held.

use std::fmt;

use serde::{Deserialize, Serialize};

/// Number of a step of the group; all ranks run the same step in lock-step.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
#[derive(Serialize, Deserialize)]
pub struct StepNumber(pub u64);

/// Version of the group's expert map. Later maps have higher versions; 0 is the initial map.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
#[derive(Serialize, Deserialize)]
pub struct MapVersion(pub u64);

/// Totally ordered identifier of a proposal or query: by round, then by the member that started it.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
#[derive(Serialize, Deserialize)]
pub struct SwitchBallot {
    /// Round; 0 is reserved for the default ballot, which is below all ballots in use.
    pub round: u32,
    /// Index of the member in the group.
    pub member: u16,
    /// Incarnation of the member's agent, so that no incarnation reuses a ballot of an earlier one.
    #[serde(rename = "life")]
    pub incarnation: u64,
}

impl fmt::Display for SwitchBallot {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}.{}.{}", self.round, self.member, self.incarnation)
    }
}

/// A prepared switch that awaits its decision.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
#[derive(Serialize, Deserialize)]
pub struct HeldSwitch {
    /// Ballot of the proposal.
    pub ballot: SwitchBallot,
    /// Map to switch to.
    pub map: MapVersion,
    /// First step that uses the map.
    pub step: StepNumber,
}

/// State of the ranks of one member. It survives restarts of the member's agent.
///
/// ```
/// use alderbay::experts::{MemberRanks, HeldSwitch, MapVersion, StepNumber, SwitchBallot};
/// let mut ranks = MemberRanks::default();
/// let ballot = SwitchBallot { round: 1, member: 0, incarnation: 0 };
/// assert!(ranks.hold(HeldSwitch { ballot, map: MapVersion(7), step: StepNumber(2) }));
/// assert_eq!(ranks.enter_step(), Some((StepNumber(1), MapVersion(0))));
/// assert_eq!(ranks.enter_step(), None);
/// ranks.decide(ballot);
/// assert_eq!(ranks.enter_step(), Some((StepNumber(2), MapVersion(7))));
/// ```
#[derive(Clone, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
#[derive(Serialize, Deserialize)]
pub struct MemberRanks {
    entered: StepNumber,
    map: MapVersion,
    held: Option<HeldSwitch>,
    applied: SwitchBallot,
    /// Decided switch whose step is not yet entered.
    decided: Option<(StepNumber, MapVersion)>,
}

impl MemberRanks {
    /// Returns the last step entered.
    pub fn entered(&self) -> StepNumber {
        self.entered
    }

    /// Returns the switch that awaits its decision, if any.
    pub fn held(&self) -> Option<HeldSwitch> {
        self.held
    }

    /// Returns the ballot of the last switch that was decided in favour of its map.
    pub fn applied(&self) -> SwitchBallot {
        self.applied
    }

    /// Prepares a switch, so that its step is not entered before the decision. Idempotent.
    ///
    /// Returns `false` if its step has already been entered, its ballot is not above the last
    /// applied one, or another switch is undecided or decided for a step not yet entered.
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

    /// Decides the held switch, if any: applies it if its ballot is `committed`, else drops it.
    pub fn decide(&mut self, committed: SwitchBallot) {
        let Some(held) = self.held.take() else { return };
        if held.ballot == committed {
            self.applied = held.ballot;
            self.decided = Some((held.step, held.map));
        }
    }

    /// Enters the next step and returns it with the map that it uses. Returns `None` if a switch at
    /// that step is undecided.
    pub fn enter_step(&mut self) -> Option<(StepNumber, MapVersion)> {
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
