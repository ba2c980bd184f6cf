//! A member of the switch protocol: a reducer that maps triggers to effects.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};

use super::{HeldSwitch, MapVersion, MemberRanks, StepNumber, SwitchBallot};

/// Incarnation of a member's agent; increases with each restart.
type AgentIncarnation = u64;

/// A message between members. Messages may be lost, duplicated and reordered.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
#[derive(Serialize, Deserialize)]
pub enum SwitchMessage {
    /// Proposes a switch; the receivers hold its step.
    Propose {
        /// The switch.
        switch: HeldSwitch,
        /// Latest incarnations that the proposer knows of, by member.
        #[serde(rename = "known")]
        known_incarnations: Vec<AgentIncarnation>,
    },
    /// Reports that the sender's ranks hold the step of the proposed switch.
    Prepared {
        /// Ballot of the proposal.
        ballot: SwitchBallot,
        /// Index of the sender.
        from: u16,
        /// Incarnation of the sender.
        #[serde(rename = "life")]
        incarnation: AgentIncarnation,
    },
    /// Asks all members to promise a ballot and to report what they have applied.
    #[serde(rename = "Ask")]
    Query {
        /// The ballot to promise.
        ballot: SwitchBallot,
        /// Latest incarnations that the sender knows of, by member.
        #[serde(rename = "known")]
        known_incarnations: Vec<AgentIncarnation>,
    },
    /// Promises to ignore lower ballots.
    #[serde(rename = "Answer")]
    Promise {
        /// The promised ballot.
        ballot: SwitchBallot,
        /// Index of the sender.
        from: u16,
        /// Latest incarnations that the sender knows of, its own included, by member.
        #[serde(rename = "known")]
        known_incarnations: Vec<AgentIncarnation>,
        /// Ballot of the last switch that the sender's ranks applied.
        applied: SwitchBallot,
    },
    /// Rejects a query, because the sender has promised a higher ballot.
    #[serde(rename = "Outranked")]
    Rejected {
        /// The higher ballot that the sender has promised.
        promised: SwitchBallot,
    },
    /// Decides the held switch, if any.
    #[serde(rename = "Settle")]
    Decide {
        /// Ballot for which all members are prepared, or which all have promised.
        ballot: SwitchBallot,
        /// Incarnations of the members that did so, by member.
        #[serde(rename = "lives")]
        incarnations: Vec<AgentIncarnation>,
        /// Ballot of the switch to apply; a switch held under another ballot is dropped.
        committed: SwitchBallot,
    },
}

/// Input of the reducer.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum SwitchTrigger {
    /// Starts the switch to a map.
    Start {
        /// Map to switch to.
        map: MapVersion,
        /// First step that uses the map.
        step: StepNumber,
    },
    /// Starts a recovery, because a decision is overdue or the agent has just started.
    Recover,
    /// Handles a received message.
    Receive(SwitchMessage),
}

/// Output of the reducer.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum SwitchEffect {
    /// Send a message to all members, the sender included.
    Broadcast(SwitchMessage),
}

/// Responses to the ballot that a member leads.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
#[derive(Serialize, Deserialize)]
enum LedBallot {
    /// Prepared members with their incarnations.
    Proposal { ballot: SwitchBallot, prepared: BTreeMap<u16, AgentIncarnation> },
    /// Members that promised, with their incarnations and the ballots that they applied last.
    #[serde(rename = "Question")]
    Query {
        ballot: SwitchBallot,
        #[serde(rename = "answers")]
        promises: BTreeMap<u16, (AgentIncarnation, SwitchBallot)>,
    },
}

/// Volatile state of a member's agent, which is lost when the agent restarts.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
#[derive(Serialize, Deserialize)]
pub struct SwitchMember {
    /// Index of this member.
    me: u16,
    #[serde(rename = "life")]
    incarnation: AgentIncarnation,
    promised: SwitchBallot,
    /// Highest round of any ballot seen or started in this incarnation.
    round: u32,
    /// Whether this incarnation takes part in proposals: it is the first, or has received a
    /// decision under a ballot that it promised.
    #[serde(rename = "joined")]
    has_joined: bool,
    /// Latest known incarnation of each member.
    #[serde(rename = "known")]
    known_incarnations: Vec<AgentIncarnation>,
    led: Option<LedBallot>,
}

impl SwitchMember {
    /// Creates the member with index `me` of a new group of `members`, in its first incarnation.
    pub fn founding(me: u16, members: usize) -> Self {
        Self { has_joined: true, ..Self::restarted(me, members, 0) }
    }

    /// Creates the member with index `me` of a group of `members`, in a later `incarnation`.
    pub fn restarted(me: u16, members: usize, incarnation: AgentIncarnation) -> Self {
        let mut known_incarnations = vec![0; members];
        known_incarnations[usize::from(me)] = incarnation;
        Self {
            me,
            incarnation,
            promised: SwitchBallot::default(),
            round: 0,
            has_joined: false,
            known_incarnations,
            led: None,
        }
    }

    /// Returns the incarnation of this member's agent; 0 is the first.
    pub fn incarnation(&self) -> u64 {
        self.incarnation
    }

    /// Returns the highest ballot promised in this incarnation.
    pub fn promised(&self) -> SwitchBallot {
        self.promised
    }

    /// Handles one trigger and returns the resulting effects.
    pub fn reduce(&mut self, ranks: &mut MemberRanks, trigger: SwitchTrigger) -> Vec<SwitchEffect> {
        match trigger {
            SwitchTrigger::Start { map, step } => self.propose(map, step),
            SwitchTrigger::Recover => self.query(),
            SwitchTrigger::Receive(message) => self.receive(ranks, message),
        }
    }

    /// Returns a ballot above all that this incarnation has seen, and different from any that the
    /// member started before.
    fn next_ballot(&mut self) -> SwitchBallot {
        self.round += 1;
        SwitchBallot { round: self.round, member: self.me, incarnation: self.incarnation }
    }

    fn propose(&mut self, map: MapVersion, step: StepNumber) -> Vec<SwitchEffect> {
        if !self.has_joined {
            return Vec::new();
        }
        let ballot = self.next_ballot();
        self.led = Some(LedBallot::Proposal { ballot, prepared: BTreeMap::new() });
        let switch = HeldSwitch { ballot, map, step };
        vec![SwitchEffect::Broadcast(SwitchMessage::Propose {
            switch,
            known_incarnations: self.known_incarnations.clone(),
        })]
    }

    fn query(&mut self) -> Vec<SwitchEffect> {
        let ballot = self.next_ballot();
        self.led = Some(LedBallot::Query { ballot, promises: BTreeMap::new() });
        vec![SwitchEffect::Broadcast(SwitchMessage::Query {
            ballot,
            known_incarnations: self.known_incarnations.clone(),
        })]
    }

    fn receive(&mut self, ranks: &mut MemberRanks, message: SwitchMessage) -> Vec<SwitchEffect> {
        match message {
            SwitchMessage::Propose { switch, known_incarnations } => {
                self.prepare(ranks, switch, &known_incarnations)
            }
            SwitchMessage::Prepared { ballot, from, incarnation } => {
                self.count_prepared(ballot, from, incarnation)
            }
            SwitchMessage::Query { ballot, known_incarnations } => {
                self.promise(ranks, ballot, &known_incarnations)
            }
            SwitchMessage::Promise { ballot, from, known_incarnations, applied } => {
                self.count_promise(ballot, from, &known_incarnations, applied)
            }
            SwitchMessage::Rejected { promised } => {
                self.round = self.round.max(promised.round);
                Vec::new()
            }
            SwitchMessage::Decide { ballot, incarnations, committed } => {
                self.decide(ranks, ballot, &incarnations, committed);
                Vec::new()
            }
        }
    }

    fn merge_incarnations(&mut self, incarnations: &[AgentIncarnation]) {
        for (known, incarnation) in self.known_incarnations.iter_mut().zip(incarnations) {
            *known = (*known).max(*incarnation);
        }
    }

    fn prepare(
        &mut self,
        ranks: &mut MemberRanks,
        switch: HeldSwitch,
        known_incarnations: &[AgentIncarnation],
    ) -> Vec<SwitchEffect> {
        self.merge_incarnations(known_incarnations);
        self.round = self.round.max(switch.ballot.round);
        if !self.has_joined || switch.ballot < self.promised || !ranks.hold(switch) {
            return Vec::new();
        }
        self.promised = switch.ballot;
        let (from, incarnation) = (self.me, self.incarnation);
        let prepared = SwitchMessage::Prepared { ballot: switch.ballot, from, incarnation };
        vec![SwitchEffect::Broadcast(prepared)]
    }

    fn count_prepared(
        &mut self,
        answered: SwitchBallot,
        from: u16,
        incarnation: AgentIncarnation,
    ) -> Vec<SwitchEffect> {
        let Some(LedBallot::Proposal { ballot, prepared }) = &mut self.led else {
            return Vec::new();
        };
        if *ballot != answered {
            return Vec::new();
        }
        prepared.insert(from, incarnation);
        let incarnations: Vec<AgentIncarnation> = prepared.values().copied().collect();
        self.decide_if_complete(answered, incarnations, answered)
    }

    fn promise(
        &mut self,
        ranks: &MemberRanks,
        ballot: SwitchBallot,
        known_incarnations: &[AgentIncarnation],
    ) -> Vec<SwitchEffect> {
        self.merge_incarnations(known_incarnations);
        self.round = self.round.max(ballot.round);
        if ballot < self.promised {
            let promised = self.promised;
            return vec![SwitchEffect::Broadcast(SwitchMessage::Rejected { promised })];
        }
        if ballot == self.promised {
            return Vec::new();
        }
        self.promised = ballot;
        vec![SwitchEffect::Broadcast(SwitchMessage::Promise {
            ballot,
            from: self.me,
            known_incarnations: self.known_incarnations.clone(),
            applied: ranks.applied(),
        })]
    }

    fn count_promise(
        &mut self,
        answered: SwitchBallot,
        from: u16,
        known_incarnations: &[AgentIncarnation],
        applied: SwitchBallot,
    ) -> Vec<SwitchEffect> {
        self.merge_incarnations(known_incarnations);
        let Some(LedBallot::Query { ballot, promises }) = &mut self.led else {
            return Vec::new();
        };
        if *ballot != answered {
            return Vec::new();
        }
        promises.insert(from, (known_incarnations[usize::from(from)], applied));
        let incarnations: Vec<AgentIncarnation> = promises.values().map(|it| it.0).collect();
        let committed = promises.values().map(|it| it.1).max().unwrap_or_default();
        self.decide_if_complete(answered, incarnations, committed)
    }

    /// Decides once all members have responded, each in its latest known incarnation, unless this
    /// member has promised a higher ballot in the meantime.
    fn decide_if_complete(
        &mut self,
        ballot: SwitchBallot,
        incarnations: Vec<AgentIncarnation>,
        committed: SwitchBallot,
    ) -> Vec<SwitchEffect> {
        if incarnations != self.known_incarnations || self.promised != ballot {
            return Vec::new();
        }
        self.led = None;
        vec![SwitchEffect::Broadcast(SwitchMessage::Decide { ballot, incarnations, committed })]
    }

    fn decide(
        &mut self,
        ranks: &mut MemberRanks,
        ballot: SwitchBallot,
        incarnations: &[AgentIncarnation],
        committed: SwitchBallot,
    ) {
        self.merge_incarnations(incarnations);
        let is_current_incarnation = incarnations[usize::from(self.me)] == self.incarnation;
        if !is_current_incarnation || self.promised != ballot {
            return;
        }
        self.has_joined = true;
        ranks.decide(committed);
    }
}
