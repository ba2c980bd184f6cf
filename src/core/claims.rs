//! Idempotency keys at an agent: each key runs at most once across all servers.
//!
//! An agent runs a key only after it has read its own claim as the first claim on that key in the
//! claim stream. The table stores the state and result of each key. A claim stays valid after its
//! owner restarts: work with a key whose owner no longer has the result gets the outcome "unknown",
//! and the key never runs again.

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

/// Maximum total size of the response bodies stored for retries.
const MAX_TOTAL_STORED_SIZE: ByteCount = ByteCount(4 << 20);
/// Maximum number of keys in the table. Work with further keys is refused until old keys expire.
const MAX_KEYS: usize = 50_000;
/// Time for which a key stays in the table. Entries refuse keys older than [`MAX_KEY_AGE`], so no
/// retry arrives after its key has expired.
const KEY_TTL: Duration = Duration::from_secs(30 * 60);
/// Age from which entries refuse a key. Half of the time for which agents store keys: the other
/// half allows for clock skew.
pub const MAX_KEY_AGE: Duration = Duration::from_secs(15 * 60);

/// The agent that made a claim.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct ClaimOwner {
    /// VM of the agent.
    pub vm: VmId,
    /// Incarnation in which the agent made the claim.
    pub incarnation: IncarnationId,
}

/// One record of the claim stream.
#[derive(Clone, Debug, PartialEq)]
#[derive(Serialize, Deserialize)]
pub struct ClaimRecord {
    /// The agent that claims the keys.
    pub owner: ClaimOwner,
    /// The claimed keys; the first claim on a key in stream order wins.
    pub keys: Vec<IdempotencyKey>,
}

/// A complete response of a backend server.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct StoredAnswer {
    /// HTTP status code.
    pub status: u16,
    /// Header names and values, in order.
    pub headers: Vec<HeaderPair>,
    /// Complete body.
    pub body: Bytes,
}

/// Result of an earlier run of a key.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub enum PriorResult {
    /// The key ran, and its response is stored.
    Kept(StoredAnswer),
    /// The key ran to completion, but its response is not stored.
    Gone,
    /// The key may have run.
    Unknown,
}

#[derive(Clone, Debug, PartialEq)]
#[derive(Serialize, Deserialize)]
enum KeyState {
    /// A claim was requested, but no claim on the key was read from the claim stream yet.
    Claiming,
    /// Claimed here, but not sent to the backend server.
    Owned,
    /// Sent to the backend server.
    Running,
    /// The run ended; later work with the key gets this result.
    Ended(PriorResult),
    /// Claimed by another agent or by an earlier incarnation of this one.
    Foreign(ClaimOwner),
}

#[derive(Clone, Debug, PartialEq)]
#[derive(Serialize, Deserialize)]
struct KeyEntry {
    state: KeyState,
    /// Work that waits for the key; the front runs next.
    waiters: VecDeque<WorkId>,
}

/// How to handle work with a key.
#[derive(Clone, Debug, PartialEq)]
pub enum KeyDecision {
    /// Append a claim to the claim stream; the work waits for it.
    Claim,
    /// Wait for the claim or the run in progress.
    Wait,
    /// Queue the work: the key is claimed here and has not run.
    Run,
    /// Reply with the result of the earlier run.
    Replay(PriorResult),
    /// Redirect the entry to the agent that holds the claim.
    Redirect(VmId),
    /// Refuse: the claim stream is not fully read yet, or the table is full.
    NotReady,
}

/// The state of all keys that an agent has seen, in work or in the claim stream.
#[derive(Clone, Debug, PartialEq)]
#[derive(Serialize, Deserialize)]
pub struct ClaimTable {
    /// This agent in its current incarnation.
    owner: ClaimOwner,
    /// Whether the claim stream was read to its end once.
    #[serde(rename = "replayed")]
    is_replayed: bool,
    #[serde(with = "key_pairs")]
    keys: HashMap<IdempotencyKey, KeyEntry>,
    /// Keys with the start of their TTL, oldest first.
    #[serde(rename = "ended")]
    expiry_queue: VecDeque<(Moment, IdempotencyKey)>,
    /// Keys whose responses were stored, oldest first.
    #[serde(rename = "kept")]
    stored: VecDeque<IdempotencyKey>,
    /// Total size of the stored response bodies.
    #[serde(rename = "kept_bytes")]
    stored_bytes: u64,
}

impl ClaimTable {
    /// Creates an empty table for the agent `owner`.
    pub fn new(owner: ClaimOwner) -> Self {
        Self {
            owner,
            is_replayed: false,
            keys: HashMap::new(),
            expiry_queue: VecDeque::new(),
            stored: VecDeque::new(),
            stored_bytes: 0,
        }
    }

    /// Returns the number of keys in the table.
    pub fn len(&self) -> usize {
        self.keys.len()
    }

    /// Whether the table holds no key.
    pub fn is_empty(&self) -> bool {
        self.keys.is_empty()
    }

    /// Whether the table holds the key.
    pub fn contains_key(&self, key: &IdempotencyKey) -> bool {
        self.keys.contains_key(key)
    }

    /// Whether the key was sent to the backend server and its run has not ended.
    pub fn is_running(&self, key: &IdempotencyKey) -> bool {
        self.keys.get(key).is_some_and(|it| it.state == KeyState::Running)
    }

    /// Enables new claims, after all earlier records of the claim stream were applied.
    pub fn mark_replayed(&mut self) {
        self.is_replayed = true;
    }

    /// Decides how to handle work with `key`. Adds the work to the waiters of the key if it has to
    /// wait or may run.
    pub fn decide_keyed(&mut self, key: &IdempotencyKey, work: WorkId, now: Moment) -> KeyDecision {
        self.expire_keys(now);
        let is_full = self.keys.len() >= MAX_KEYS && !self.keys.contains_key(key);
        if !self.is_replayed || is_full {
            return KeyDecision::NotReady;
        }
        if !self.keys.contains_key(key) {
            let entry = KeyEntry { state: KeyState::Claiming, waiters: VecDeque::from([work]) };
            self.keys.insert(key.clone(), entry);
            return KeyDecision::Claim;
        }
        self.decide_known(key, work)
    }

    fn decide_known(&mut self, key: &IdempotencyKey, work: WorkId) -> KeyDecision {
        let Some(entry) = self.keys.get_mut(key) else { return KeyDecision::NotReady };
        match &entry.state {
            KeyState::Claiming => {
                // An empty list means that an append failed and its waiters were dropped, so the
                // first new waiter claims again.
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
                KeyDecision::Replay(PriorResult::Unknown)
            }
            KeyState::Foreign(owner) => KeyDecision::Redirect(owner.vm.clone()),
        }
    }

    /// Registers the key of a new ticket as claimed here. Returns `false` if the table is full.
    #[must_use]
    pub fn issue_ticket(&mut self, ticket: &RunTicket, now: Moment) -> bool {
        self.expire_keys(now);
        if self.keys.len() >= MAX_KEYS {
            return false;
        }
        let entry = KeyEntry { state: KeyState::Owned, waiters: VecDeque::new() };
        self.keys.insert(ticket.key.clone(), entry);
        self.schedule_expiry(ticket.key.clone(), now);
        true
    }

    /// Decides how to handle work with a ticket. A ticket of an earlier incarnation, or one whose
    /// key has expired, may have run.
    pub fn decide_ticketed(&mut self, ticket: &RunTicket, work: WorkId) -> KeyDecision {
        let is_own = ticket.vm == self.owner.vm && ticket.incarnation == self.owner.incarnation;
        match is_own && self.keys.contains_key(&ticket.key) {
            true => self.decide_known(&ticket.key, work),
            false => KeyDecision::Replay(PriorResult::Unknown),
        }
    }

    /// Applies one claim of the claim stream and returns what it means for the waiting work.
    pub fn apply_claim(
        &mut self,
        key: &IdempotencyKey,
        owner: &ClaimOwner,
        now: Moment,
    ) -> ClaimOutcome {
        let is_own = *owner == self.owner;
        let state = if is_own { KeyState::Owned } else { KeyState::Foreign(owner.clone()) };
        let Some(entry) = self.keys.get_mut(key) else {
            self.keys.insert(key.clone(), KeyEntry { state, waiters: VecDeque::new() });
            self.schedule_expiry(key.clone(), now);
            return ClaimOutcome::NoChange;
        };
        if entry.state != KeyState::Claiming {
            return ClaimOutcome::NoChange;
        }
        entry.state = state;
        if is_own {
            return entry
                .waiters
                .front()
                .map_or(ClaimOutcome::NoChange, |it| ClaimOutcome::Run(*it));
        }
        let waiters = entry.waiters.drain(..).collect();
        self.schedule_expiry(key.clone(), now);
        let is_own_earlier = owner.vm == self.owner.vm;
        if is_own_earlier {
            ClaimOutcome::Unknown(waiters)
        } else {
            ClaimOutcome::Redirect(owner.vm.clone(), waiters)
        }
    }

    /// Removes and returns the work that waits for a claim whose append timed out. The key stays in
    /// the table, since the claim may still reach the claim stream.
    pub fn drop_claim_waiters(&mut self, key: &IdempotencyKey) -> Vec<WorkId> {
        match self.keys.get_mut(key) {
            Some(entry) if entry.state == KeyState::Claiming => entry.waiters.drain(..).collect(),
            Some(_) | None => Vec::new(),
        }
    }

    /// Removes `work` from the waiters of the key. Returns the next work to queue, if the key may
    /// run and `work` was first in line.
    pub fn remove_waiter(&mut self, key: &IdempotencyKey, work: WorkId) -> Option<WorkId> {
        let entry = self.keys.get_mut(key)?;
        let was_first = entry.waiters.front() == Some(&work);
        entry.waiters.retain(|it| *it != work);
        if was_first && entry.state == KeyState::Owned {
            entry.waiters.front().copied()
        } else {
            None
        }
    }

    /// Marks the key as sent to the backend server. Returns `false` if `work` must not run, because
    /// the key is not free to run or other work is first in line.
    #[must_use]
    pub fn mark_running(&mut self, key: &IdempotencyKey, work: WorkId) -> bool {
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

    /// Records the result of the run of the key. Returns the other work that waits for this result.
    pub fn finish(
        &mut self,
        key: &IdempotencyKey,
        work: WorkId,
        result: PriorResult,
        now: Moment,
    ) -> Vec<WorkId> {
        let Some(entry) = self.keys.get_mut(key) else { return Vec::new() };
        entry.state = KeyState::Ended(result.clone());
        let waiters = entry.waiters.drain(..).filter(|it| *it != work).collect();
        if let PriorResult::Kept(answer) = result {
            self.track_stored_answer(key.clone(), answer.body.len() as u64);
        }
        self.schedule_expiry(key.clone(), now);
        waiters
    }

    /// Makes the key runnable again after its work provably did not reach the backend server.
    /// Returns the next work to queue.
    pub fn release(&mut self, key: &IdempotencyKey, work: WorkId) -> Option<WorkId> {
        let entry = self.keys.get_mut(key)?;
        entry.state = KeyState::Owned;
        entry.waiters.retain(|it| *it != work);
        entry.waiters.front().copied()
    }

    /// Counts a stored response of `size` bytes and evicts the oldest responses over the limit.
    fn track_stored_answer(&mut self, key: IdempotencyKey, size: u64) {
        self.stored.push_back(key);
        self.stored_bytes += size;
        while self.stored_bytes > MAX_TOTAL_STORED_SIZE.0 {
            let Some(oldest) = self.stored.pop_front() else { return };
            let Some(entry) = self.keys.get_mut(&oldest) else { continue };
            if let KeyState::Ended(PriorResult::Kept(answer)) = &entry.state {
                self.stored_bytes = self.stored_bytes.saturating_sub(answer.body.len() as u64);
                entry.state = KeyState::Ended(PriorResult::Gone);
            }
        }
    }

    fn schedule_expiry(&mut self, key: IdempotencyKey, now: Moment) {
        self.expiry_queue.push_back((now, key));
    }

    fn expire_keys(&mut self, now: Moment) {
        while let Some((since, _)) = self.expiry_queue.front() {
            if now.since(*since) < KEY_TTL {
                return;
            }
            let Some((_, key)) = self.expiry_queue.pop_front() else { return };
            self.expire_key(key, now);
        }
    }

    fn expire_key(&mut self, key: IdempotencyKey, now: Moment) {
        let Some(entry) = self.keys.get(&key) else { return };
        let is_in_use = !entry.waiters.is_empty()
            || matches!(entry.state, KeyState::Claiming | KeyState::Running);
        if is_in_use {
            self.expiry_queue.push_back((now, key));
            return;
        }
        if let Some(KeyEntry { state: KeyState::Ended(PriorResult::Kept(answer)), .. }) =
            self.keys.remove(&key)
        {
            self.stored_bytes = self.stored_bytes.saturating_sub(answer.body.len() as u64);
        }
    }
}

/// What a claim of the claim stream means for the work that waits at this agent.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ClaimOutcome {
    /// No waiting work is affected.
    NoChange,
    /// This agent holds the claim: queue this work.
    Run(WorkId),
    /// The agent on this VM holds the claim: redirect this work to it.
    Redirect(VmId, Vec<WorkId>),
    /// An earlier incarnation of this agent holds the claim, so the key may have run.
    Unknown(Vec<WorkId>),
}

/// Serializes the map as a list of pairs, since text formats allow only string keys.
mod key_pairs {
    use std::collections::HashMap;

    use serde::{Deserialize, Deserializer, Serialize, Serializer};

    use super::{IdempotencyKey, KeyEntry};

    pub(super) fn serialize<S: Serializer>(
        map: &HashMap<IdempotencyKey, KeyEntry>,
        serializer: S,
    ) -> Result<S::Ok, S::Error> {
        map.iter().collect::<Vec<_>>().serialize(serializer)
    }

    pub(super) fn deserialize<'de, D: Deserializer<'de>>(
        deserializer: D,
    ) -> Result<HashMap<IdempotencyKey, KeyEntry>, D::Error> {
        Ok(Vec::deserialize(deserializer)?.into_iter().collect())
    }
}
