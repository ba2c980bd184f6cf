//! One member's part in a switch: a reducer over triggers, with acts as data.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};

use super::{GroupRanks, HeldSwitch, MapNumber, StepNumber, SwitchBallot};

/// Life of a member's agent; each life is numbered above the one before.
type AgentLife = u64;

/// What members tell each other. Messages may be lost, repeated and overtake one another.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
#[derive(Serialize, Deserialize)]
pub enum SwitchMessage {
    /// Asks all members to hold for a switch.
    Propose {
        /// The switch.
        switch: HeldSwitch,
        /// Lives that the proposer knows, by member.
        known: Vec<AgentLife>,
    },
    /// The sender's ranks hold.
    Prepared {
        /// The switch's ballot.
        ballot: SwitchBallot,
        /// The sender.
        from: u16,
        /// The sender's life.
        life: AgentLife,
    },
    /// Asks all members for a promise and for what they hold.
    Ask {
        /// The ballot.
        ballot: SwitchBallot,
        /// Lives that the asker knows, by member.
        known: Vec<AgentLife>,
    },
    /// The sender promises to listen to no lower ballot.
    Answer {
        /// The ballot asked under.
        ballot: SwitchBallot,
        /// The sender.
        from: u16,
        /// Lives that the sender knows, its own included, by member.
        known: Vec<AgentLife>,
        /// Ballot of the last map that its ranks applied.
        applied: SwitchBallot,
    },
    /// The sender has promised a higher ballot than one it was asked under.
    Outranked {
        /// The promise.
        promised: SwitchBallot,
    },
    /// Decides whatever is held.
    Settle {
        /// The ballot under which all members hold or promised.
        ballot: SwitchBallot,
        /// Lives of the members that did, by member.
        lives: Vec<AgentLife>,
        /// What is held under this ballot is applied; anything else is dropped.
        committed: SwitchBallot,
    },
}

/// What moves a member.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum SwitchTrigger {
    /// A map was chosen; it is to be in force from the step on.
    Start {
        /// The map.
        map: MapNumber,
        /// The step.
        step: StepNumber,
    },
    /// A decision fails to come, or the agent has just started.
    Recover,
    /// A message came.
    Receive(SwitchMessage),
}

/// What a member wants done.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum SwitchAct {
    /// Send to all members, the sender included.
    Broadcast(SwitchMessage),
}

/// What a member that leads a ballot has gathered.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
#[derive(Serialize, Deserialize)]
enum LedBallot {
    /// Members that hold, with their lives.
    Proposal { ballot: SwitchBallot, prepared: BTreeMap<u16, AgentLife> },
    /// Answers: the sender's life and the ballot that it applied last.
    Question { ballot: SwitchBallot, answers: BTreeMap<u16, (AgentLife, SwitchBallot)> },
}

/// One member's agent in one life. All of it is forgotten when the agent restarts.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
#[derive(Serialize, Deserialize)]
pub struct SwitchMember {
    me: u16,
    life: AgentLife,
    promised: SwitchBallot,
    /// Highest round of any ballot seen or begun in this life.
    round: u32,
    /// Whether a settlement was received in this life.
    joined: bool,
    known: Vec<AgentLife>,
    led: Option<LedBallot>,
}

impl SwitchMember {
    /// Member `me` of a group of `members` that starts together with it, in its first life.
    pub fn founding(me: u16, members: usize) -> Self {
        Self { joined: true, ..Self::restarted(me, members, 0) }
    }

    /// Member `me` in a later life.
    pub fn restarted(me: u16, members: usize, life: AgentLife) -> Self {
        let mut known = vec![0; members];
        known[usize::from(me)] = life;
        Self {
            me,
            life,
            promised: SwitchBallot::default(),
            round: 0,
            joined: false,
            known,
            led: None,
        }
    }

    /// This life.
    pub fn life(&self) -> u64 {
        self.life
    }

    /// Highest ballot promised in this life.
    pub fn promised(&self) -> SwitchBallot {
        self.promised
    }

    /// Reduces one trigger.
    pub fn reduce(&mut self, ranks: &mut GroupRanks, trigger: SwitchTrigger) -> Vec<SwitchAct> {
        match trigger {
            SwitchTrigger::Start { map, step } => self.start(map, step),
            SwitchTrigger::Recover => self.ask(),
            SwitchTrigger::Receive(message) => self.receive(ranks, message),
        }
    }

    /// A ballot above all that this life has seen, and unlike any that the member began before.
    fn next_ballot(&mut self) -> SwitchBallot {
        self.round += 1;
        SwitchBallot { round: self.round, member: self.me, life: self.life }
    }

    fn start(&mut self, map: MapNumber, step: StepNumber) -> Vec<SwitchAct> {
        if !self.joined {
            return Vec::new();
        }
        let ballot = self.next_ballot();
        self.led = Some(LedBallot::Proposal { ballot, prepared: BTreeMap::new() });
        let switch = HeldSwitch { ballot, map, step };
        vec![SwitchAct::Broadcast(SwitchMessage::Propose { switch, known: self.known.clone() })]
    }

    fn ask(&mut self) -> Vec<SwitchAct> {
        let ballot = self.next_ballot();
        self.led = Some(LedBallot::Question { ballot, answers: BTreeMap::new() });
        vec![SwitchAct::Broadcast(SwitchMessage::Ask { ballot, known: self.known.clone() })]
    }

    fn receive(&mut self, ranks: &mut GroupRanks, message: SwitchMessage) -> Vec<SwitchAct> {
        match message {
            SwitchMessage::Propose { switch, known } => self.prepare(ranks, switch, &known),
            SwitchMessage::Prepared { ballot, from, life } => {
                self.count_prepared(ballot, from, life)
            }
            SwitchMessage::Ask { ballot, known } => self.promise(ranks, ballot, &known),
            SwitchMessage::Answer { ballot, from, known, applied } => {
                self.count_answer(ballot, from, &known, applied)
            }
            SwitchMessage::Outranked { promised } => {
                self.round = self.round.max(promised.round);
                Vec::new()
            }
            SwitchMessage::Settle { ballot, lives, committed } => {
                self.settle(ranks, ballot, &lives, committed);
                Vec::new()
            }
        }
    }

    fn learn(&mut self, lives: &[AgentLife]) {
        for (known, life) in self.known.iter_mut().zip(lives) {
            *known = (*known).max(*life);
        }
    }

    fn prepare(
        &mut self,
        ranks: &mut GroupRanks,
        switch: HeldSwitch,
        known: &[AgentLife],
    ) -> Vec<SwitchAct> {
        self.learn(known);
        self.round = self.round.max(switch.ballot.round);
        if !self.joined || switch.ballot < self.promised || !ranks.hold(switch) {
            return Vec::new();
        }
        self.promised = switch.ballot;
        let (from, life) = (self.me, self.life);
        let prepared = SwitchMessage::Prepared { ballot: switch.ballot, from, life };
        vec![SwitchAct::Broadcast(prepared)]
    }

    fn count_prepared(&mut self, of: SwitchBallot, from: u16, life: AgentLife) -> Vec<SwitchAct> {
        let Some(LedBallot::Proposal { ballot, prepared }) = &mut self.led else {
            return Vec::new();
        };
        if *ballot != of {
            return Vec::new();
        }
        prepared.insert(from, life);
        let lives: Vec<AgentLife> = prepared.values().copied().collect();
        self.settle_if_all(of, lives, of)
    }

    fn promise(
        &mut self,
        ranks: &GroupRanks,
        ballot: SwitchBallot,
        known: &[AgentLife],
    ) -> Vec<SwitchAct> {
        self.learn(known);
        self.round = self.round.max(ballot.round);
        if ballot < self.promised {
            let promised = self.promised;
            return vec![SwitchAct::Broadcast(SwitchMessage::Outranked { promised })];
        }
        if ballot == self.promised {
            return Vec::new();
        }
        self.promised = ballot;
        vec![SwitchAct::Broadcast(SwitchMessage::Answer {
            ballot,
            from: self.me,
            known: self.known.clone(),
            applied: ranks.applied(),
        })]
    }

    fn count_answer(
        &mut self,
        of: SwitchBallot,
        from: u16,
        known: &[AgentLife],
        applied: SwitchBallot,
    ) -> Vec<SwitchAct> {
        self.learn(known);
        let Some(LedBallot::Question { ballot, answers }) = &mut self.led else {
            return Vec::new();
        };
        if *ballot != of {
            return Vec::new();
        }
        answers.insert(from, (known[usize::from(from)], applied));
        let lives: Vec<AgentLife> = answers.values().map(|it| it.0).collect();
        let committed = answers.values().map(|it| it.1).max().unwrap_or_default();
        self.settle_if_all(of, lives, committed)
    }

    /// Settles once all members have answered, each in the latest life that anybody knows of, and
    /// this member itself has not promised a higher ballot meanwhile.
    fn settle_if_all(
        &mut self,
        ballot: SwitchBallot,
        lives: Vec<AgentLife>,
        committed: SwitchBallot,
    ) -> Vec<SwitchAct> {
        if lives != self.known || self.promised != ballot {
            return Vec::new();
        }
        self.led = None;
        vec![SwitchAct::Broadcast(SwitchMessage::Settle { ballot, lives, committed })]
    }

    fn settle(
        &mut self,
        ranks: &mut GroupRanks,
        ballot: SwitchBallot,
        lives: &[AgentLife],
        committed: SwitchBallot,
    ) {
        self.learn(lives);
        let is_addressed = lives[usize::from(self.me)] == self.life;
        if !is_addressed || self.promised != ballot {
            return;
        }
        self.joined = true;
        ranks.settle(committed);
    }
}
