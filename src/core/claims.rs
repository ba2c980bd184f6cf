//! Keys of non-idempotent requests at an agent: each runs at most once over all servers.
//!
//! An agent runs a key only after it has read its own claim as the first claim on that key in the
//! log's order. The table remembers what became of each key; a claim of an earlier life of any
//! agent stands for good, so that a key whose holder has forgotten it is answered with "unknown"
//! and never run again.

use std::{
    collections::{HashMap, VecDeque},
    time::Duration,
};

use bytes::Bytes;
use serde::{Deserialize, Serialize};

use super::WorkId;
use crate::{
    units::{ByteCount, IncarnationId, Moment, VmId},
    wire::{HeaderPair, IdempotencyKey, RunTicket},
};

/// Bytes of answers kept for callers that ask again.
const ANSWER_BYTES: ByteCount = ByteCount(4 << 20);
/// Keys remembered at most; further ones are refused unrun until old ones may be forgotten.
const MAX_KEYS: usize = 50_000;
/// How long a key is remembered. Entries refuse keys that were made more than [`MAX_KEY_AGE`] ago,
/// so that no retry comes after its key was forgotten.
const KEY_MEMORY: Duration = Duration::from_secs(30 * 60);
/// Age at which entries refuse a key; half of the time for which they are remembered, which leaves
/// the rest for clocks that differ.
pub const MAX_KEY_AGE: Duration = Duration::from_secs(15 * 60);

/// Which life of which agent holds a claim.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct ClaimOwner {
    /// The agent's VM.
    pub vm: VmId,
    /// The agent's life.
    pub incarnation: IncarnationId,
}

/// One record of the claim stream.
#[derive(Clone, Debug, PartialEq)]
#[derive(Serialize, Deserialize)]
pub struct ClaimRecord {
    /// Who claims.
    pub owner: ClaimOwner,
    /// The keys.
    pub keys: Vec<IdempotencyKey>,
}

/// A whole answer of a backend server.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct StoredAnswer {
    /// HTTP status.
    pub status: u16,
    /// Headers.
    pub headers: Vec<HeaderPair>,
    /// Body.
    pub body: Bytes,
}

/// What is known of a key that was run.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub enum KnownAnswer {
    /// Its answer.
    Kept(StoredAnswer),
    /// It ran to its end; the answer is no longer kept.
    Gone,
    /// It may have run.
    Unknown,
}

#[derive(Clone, Debug, PartialEq)]
#[derive(Serialize, Deserialize)]
enum KeyState {
    /// The claim is on its way to the log.
    Claiming,
    /// Claimed here, not handed over.
    Owned,
    /// Handed to the backend server.
    Running,
    /// Ended; other callers of the key get this.
    Ended(KnownAnswer),
    /// Claimed elsewhere.
    Foreign(ClaimOwner),
}

#[derive(Clone, Debug, PartialEq)]
#[derive(Serialize, Deserialize)]
struct KeyEntry {
    state: KeyState,
    /// Work that waits for the key, the next one to run first.
    waiters: VecDeque<WorkId>,
}

/// What to do with work that shows a key.
#[derive(Clone, Debug, PartialEq)]
pub enum KeyDecision {
    /// Append a claim; the work waits for it.
    Claim,
    /// Wait for the claim or the run in progress.
    Wait,
    /// Queue the work: the key is claimed here and has not run.
    Run,
    /// Answer with what is known.
    Replay(KnownAnswer),
    /// Point to the agent that holds the claim.
    Elsewhere(VmId),
    /// Refuse: the claim stream is not fully read yet, or no further key can be remembered.
    NotReady,
}

/// All keys that an agent knows.
#[derive(Clone, Debug, PartialEq)]
#[derive(Serialize, Deserialize)]
pub struct ClaimTable {
    owner: ClaimOwner,
    replayed: bool,
    #[serde(with = "key_pairs")]
    keys: HashMap<IdempotencyKey, KeyEntry>,
    ended: VecDeque<(Moment, IdempotencyKey)>,
    kept: VecDeque<IdempotencyKey>,
    kept_bytes: u64,
}

impl ClaimTable {
    /// An empty table of one life of an agent.
    pub fn new(owner: ClaimOwner) -> Self {
        Self {
            owner,
            replayed: false,
            keys: HashMap::new(),
            ended: VecDeque::new(),
            kept: VecDeque::new(),
            kept_bytes: 0,
        }
    }

    /// Keys known.
    pub fn len(&self) -> usize {
        self.keys.len()
    }

    /// Whether no key is known.
    pub fn is_empty(&self) -> bool {
        self.keys.is_empty()
    }

    /// Whether anything is known of the key.
    pub fn knows(&self, key: &IdempotencyKey) -> bool {
        self.keys.contains_key(key)
    }

    /// Whether the key was handed to the backend server and has not ended.
    pub fn is_running(&self, key: &IdempotencyKey) -> bool {
        self.keys.get(key).is_some_and(|it| it.state == KeyState::Running)
    }

    /// Allows claims: all claims that the log holds were read.
    pub fn set_replayed(&mut self) {
        self.replayed = true;
    }

    /// Decides on work that shows `key`.
    pub fn arrive(&mut self, key: &IdempotencyKey, work: WorkId, now: Moment) -> KeyDecision {
        self.forget_old(now);
        let is_full = self.keys.len() >= MAX_KEYS && !self.keys.contains_key(key);
        if !self.replayed || is_full {
            return KeyDecision::NotReady;
        }
        if !self.keys.contains_key(key) {
            let entry = KeyEntry { state: KeyState::Claiming, waiters: VecDeque::from([work]) };
            self.keys.insert(key.clone(), entry);
            return KeyDecision::Claim;
        }
        self.arrive_known(key, work)
    }

    fn arrive_known(&mut self, key: &IdempotencyKey, work: WorkId) -> KeyDecision {
        let Some(entry) = self.keys.get_mut(key) else { return KeyDecision::NotReady };
        match &entry.state {
            KeyState::Claiming => {
                // A claim whose append failed was dropped with its waiters; ask again for the first
                // new one.
                entry.waiters.push_back(work);
                if entry.waiters.len() == 1 { KeyDecision::Claim } else { KeyDecision::Wait }
            }
            KeyState::Owned => {
                entry.waiters.push_back(work);
                if entry.waiters.len() == 1 { KeyDecision::Run } else { KeyDecision::Wait }
            }
            KeyState::Running => {
                entry.waiters.push_back(work);
                KeyDecision::Wait
            }
            KeyState::Ended(answer) => KeyDecision::Replay(answer.clone()),
            KeyState::Foreign(owner) if owner.vm == self.owner.vm => {
                KeyDecision::Replay(KnownAnswer::Unknown)
            }
            KeyState::Foreign(owner) => KeyDecision::Elsewhere(owner.vm.clone()),
        }
    }

    /// Issues a ticket; false where no further key can be remembered.
    #[must_use]
    pub fn issue(&mut self, ticket: &RunTicket, now: Moment) -> bool {
        self.forget_old(now);
        if self.keys.len() >= MAX_KEYS {
            return false;
        }
        let entry = KeyEntry { state: KeyState::Owned, waiters: VecDeque::new() };
        self.keys.insert(ticket.key.clone(), entry);
        self.note_ended(ticket.key.clone(), now);
        true
    }

    /// Decides on work that shows a ticket. One of an earlier life, or one that was forgotten, may
    /// have run.
    pub fn arrive_ticket(&mut self, ticket: &RunTicket, work: WorkId) -> KeyDecision {
        let is_ours = ticket.vm == self.owner.vm && ticket.incarnation == self.owner.incarnation;
        match is_ours && self.keys.contains_key(&ticket.key) {
            true => self.arrive_known(&ticket.key, work),
            false => KeyDecision::Replay(KnownAnswer::Unknown),
        }
    }

    /// Reduces one claim of the stream. Returns the work that may now be queued (claimed here), or
    /// all the work that must go elsewhere.
    pub fn read_claim(
        &mut self,
        key: &IdempotencyKey,
        owner: &ClaimOwner,
        now: Moment,
    ) -> ClaimEnd {
        let ours = *owner == self.owner;
        let state = if ours { KeyState::Owned } else { KeyState::Foreign(owner.clone()) };
        let Some(entry) = self.keys.get_mut(key) else {
            self.keys.insert(key.clone(), KeyEntry { state, waiters: VecDeque::new() });
            self.note_ended(key.clone(), now);
            return ClaimEnd::Nothing;
        };
        if entry.state != KeyState::Claiming {
            return ClaimEnd::Nothing;
        }
        entry.state = state;
        if ours {
            return entry.waiters.front().map_or(ClaimEnd::Nothing, |it| ClaimEnd::Run(*it));
        }
        let waiters = entry.waiters.drain(..).collect();
        self.note_ended(key.clone(), now);
        let forgotten = owner.vm == self.owner.vm;
        if forgotten {
            ClaimEnd::Unknown(waiters)
        } else {
            ClaimEnd::Elsewhere(owner.vm.clone(), waiters)
        }
    }

    /// Drops the waiters of a claim that the log did not take in time. The claim itself may still
    /// come to stand.
    pub fn fail_claim(&mut self, key: &IdempotencyKey) -> Vec<WorkId> {
        match self.keys.get_mut(key) {
            Some(entry) if entry.state == KeyState::Claiming => entry.waiters.drain(..).collect(),
            Some(_) | None => Vec::new(),
        }
    }

    /// Takes `work` off the key. Returns the next work to queue, if the key is free to run.
    pub fn abandon(&mut self, key: &IdempotencyKey, work: WorkId) -> Option<WorkId> {
        let entry = self.keys.get_mut(key)?;
        let was_first = entry.waiters.front() == Some(&work);
        entry.waiters.retain(|it| *it != work);
        if was_first && entry.state == KeyState::Owned {
            entry.waiters.front().copied()
        } else {
            None
        }
    }

    /// Marks the key as handed over. False where it is not free to run; then it must not be.
    #[must_use]
    pub fn start(&mut self, key: &IdempotencyKey, work: WorkId) -> bool {
        match self.keys.get_mut(key) {
            Some(entry)
                if entry.state == KeyState::Owned && entry.waiters.front() == Some(&work) =>
            {
                entry.state = KeyState::Running;
                true
            }
            Some(_) | None => false,
        }
    }

    /// The run of the key ended. Returns the other work that gets the same answer.
    pub fn end(
        &mut self,
        key: &IdempotencyKey,
        work: WorkId,
        answer: KnownAnswer,
        now: Moment,
    ) -> Vec<WorkId> {
        let Some(entry) = self.keys.get_mut(key) else { return Vec::new() };
        entry.state = KeyState::Ended(answer.clone());
        let others = entry.waiters.drain(..).filter(|it| *it != work).collect();
        if let KnownAnswer::Kept(answer) = answer {
            self.keep(key.clone(), answer.body.len() as u64);
        }
        self.note_ended(key.clone(), now);
        others
    }

    /// The hand-over provably failed: the key is free to run again. Returns the next work to queue.
    pub fn release(&mut self, key: &IdempotencyKey, work: WorkId) -> Option<WorkId> {
        let entry = self.keys.get_mut(key)?;
        entry.state = KeyState::Owned;
        entry.waiters.retain(|it| *it != work);
        entry.waiters.front().copied()
    }

    fn keep(&mut self, key: IdempotencyKey, size: u64) {
        self.kept.push_back(key);
        self.kept_bytes += size;
        while self.kept_bytes > ANSWER_BYTES.0 {
            let Some(oldest) = self.kept.pop_front() else { return };
            let Some(entry) = self.keys.get_mut(&oldest) else { continue };
            if let KeyState::Ended(KnownAnswer::Kept(answer)) = &entry.state {
                self.kept_bytes = self.kept_bytes.saturating_sub(answer.body.len() as u64);
                entry.state = KeyState::Ended(KnownAnswer::Gone);
            }
        }
    }

    fn note_ended(&mut self, key: IdempotencyKey, now: Moment) {
        self.ended.push_back((now, key));
    }

    fn forget_old(&mut self, now: Moment) {
        while let Some((since, _)) = self.ended.front() {
            if now.since(*since) < KEY_MEMORY {
                return;
            }
            let Some((_, key)) = self.ended.pop_front() else { return };
            self.forget(key, now);
        }
    }

    fn forget(&mut self, key: IdempotencyKey, now: Moment) {
        let Some(entry) = self.keys.get(&key) else { return };
        let in_use = !entry.waiters.is_empty()
            || matches!(entry.state, KeyState::Claiming | KeyState::Running);
        if in_use {
            self.ended.push_back((now, key));
            return;
        }
        if let Some(KeyEntry { state: KeyState::Ended(KnownAnswer::Kept(answer)), .. }) =
            self.keys.remove(&key)
        {
            self.kept_bytes = self.kept_bytes.saturating_sub(answer.body.len() as u64);
        }
    }
}

/// What a claim in the stream decided.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ClaimEnd {
    /// Nothing that waits here.
    Nothing,
    /// This work may be queued.
    Run(WorkId),
    /// This work must go to another agent.
    Elsewhere(VmId, Vec<WorkId>),
    /// An earlier life of this agent holds the claim.
    Unknown(Vec<WorkId>),
}

/// Writes the map as a list of pairs, since its keys are not texts.
mod key_pairs {
    use std::collections::HashMap;

    use serde::{Deserialize, Deserializer, Serialize, Serializer};

    use super::{IdempotencyKey, KeyEntry};

    pub(super) fn serialize<S: Serializer>(
        map: &HashMap<IdempotencyKey, KeyEntry>,
        to: S,
    ) -> Result<S::Ok, S::Error> {
        map.iter().collect::<Vec<_>>().serialize(to)
    }

    pub(super) fn deserialize<'de, D: Deserializer<'de>>(
        from: D,
    ) -> Result<HashMap<IdempotencyKey, KeyEntry>, D::Error> {
        Ok(Vec::deserialize(from)?.into_iter().collect())
    }
}
