//! Reduction of the configuration stream to entries, a version and a digest.

use std::collections::{BTreeMap, BTreeSet, VecDeque};

use serde::{Deserialize, Serialize};
use thiserror::Error;
use xxhash_rust::xxh3::xxh3_64;

use super::{
    ConfigChange, ConfigEdit, ConfigEntry, ConfigRecord, EditError, EntryKey, EntryValue,
    ServiceState,
};
use crate::platform::LogPage;
use crate::units::{
    ClientAccount, ConfigDigest, ConfigVersion, EditId, FailureDomain, LogOffset, OperatorName,
    PlanId, VmId,
};

/// How many verdicts are kept for repeated appends and for the audit trail.
const MAX_VERDICTS: usize = 512;

/// What became of an edit.
#[derive(Clone, Debug, PartialEq)]
#[derive(Serialize, Deserialize)]
pub struct EditVerdict {
    /// The edit.
    pub edit_id: EditId,
    /// Who made it.
    pub author: OperatorName,
    /// Wall-clock time of publication, in milliseconds since 1970.
    pub published_ms: u64,
    /// Version right after the edit.
    pub version: ConfigVersion,
    /// Entries it names.
    pub keys: Vec<EntryKey>,
    /// None where it was accepted.
    pub rejected: Option<EditError>,
}

/// The whole state, for processes that cannot replay the stream.
#[derive(Clone, Debug, PartialEq)]
#[derive(Serialize, Deserialize)]
pub struct ConfigSnapshot {
    /// Version the snapshot stands for.
    pub version: ConfigVersion,
    /// Digest over the entries.
    pub digest: ConfigDigest,
    /// The entries.
    pub entries: BTreeMap<EntryKey, ConfigEntry>,
    /// Verdicts on the latest edits.
    pub verdicts: VecDeque<EditVerdict>,
}

/// Why a snapshot is refused.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize, Error)]
pub enum SnapshotError {
    /// The entries do not give the digest that stands beside them.
    #[error("snapshot at version {version}: digest {stated} stated, {computed} computed")]
    BadDigest {
        /// Version of the snapshot.
        version: ConfigVersion,
        /// Digest beside the entries.
        stated: ConfigDigest,
        /// Digest of the entries.
        computed: ConfigDigest,
    },
    /// Two different states claim one version.
    #[error("version {version}: digest {ours} here, {theirs} in the snapshot")]
    Diverged {
        /// The version.
        version: ConfigVersion,
        /// Digest of this process.
        ours: ConfigDigest,
        /// Digest of the snapshot.
        theirs: ConfigDigest,
    },
}

/// The configuration as reduced so far.
///
/// ```
/// use alderbay::config::ConfigLedger;
/// use alderbay::units::ConfigVersion;
/// let ledger = ConfigLedger::default();
/// assert_eq!(ledger.version(), ConfigVersion(0));
/// ```
#[derive(Clone, Debug, Default, PartialEq)]
#[derive(Serialize, Deserialize)]
pub struct ConfigLedger {
    version: ConfigVersion,
    digest: ConfigDigest,
    entries: BTreeMap<EntryKey, ConfigEntry>,
    verdicts: VecDeque<EditVerdict>,
    /// Version right after the latest snapshot in the stream.
    snapshot_at: ConfigVersion,
    /// Offset to read next.
    next_read: LogOffset,
}

impl ConfigLedger {
    /// Records reduced so far; also the next offset to read.
    pub fn version(&self) -> ConfigVersion {
        self.version
    }

    /// Checksum over the entries, equal wherever the entries are equal.
    pub fn digest(&self) -> ConfigDigest {
        self.digest
    }

    /// Version right after the latest snapshot that was read in the stream; zero where none was.
    pub fn snapshot_at(&self) -> ConfigVersion {
        self.snapshot_at
    }

    /// Offset at which to read on; ahead of the version while a snapshot is looked for.
    pub fn next_read(&self) -> LogOffset {
        LogOffset(self.next_read.0.max(self.version.0))
    }

    /// All entries.
    pub fn entries(&self) -> &BTreeMap<EntryKey, ConfigEntry> {
        &self.entries
    }

    /// Verdicts on the latest edits, oldest first.
    pub fn verdicts(&self) -> &VecDeque<EditVerdict> {
        &self.verdicts
    }

    /// The account's record.
    pub fn account(&self, id: &ClientAccount) -> Option<&super::AccountRecord> {
        match &self.entries.get(&EntryKey::Account(id.clone()))?.value {
            EntryValue::Account(record) => Some(record),
            EntryValue::Plan(_) | EntryValue::State(_) => None,
        }
    }

    /// The plan's record.
    pub fn plan(&self, id: &PlanId) -> Option<&super::PlanRecord> {
        match &self.entries.get(&EntryKey::Plan(id.clone()))?.value {
            EntryValue::Plan(record) => Some(record),
            EntryValue::Account(_) | EntryValue::State(_) => None,
        }
    }

    /// All plans.
    pub fn plans(&self) -> impl Iterator<Item = &super::PlanRecord> {
        self.entries.values().filter_map(|it| match &it.value {
            EntryValue::Plan(record) => Some(record),
            EntryValue::Account(_) | EntryValue::State(_) => None,
        })
    }

    /// Whether the VM may be given new work, by its own entry and by its failure domain's.
    pub fn vm_state(&self, vm: &VmId, domain: &FailureDomain) -> ServiceState {
        let own = self.state(&EntryKey::Vm(vm.clone()));
        let shared = self.state(&EntryKey::Domain(domain.clone()));
        match (own, shared) {
            (ServiceState::In, ServiceState::In) => ServiceState::In,
            (ServiceState::Out, _) | (_, ServiceState::Out) => ServiceState::Out,
        }
    }

    fn state(&self, key: &EntryKey) -> ServiceState {
        match self.entries.get(key).map(|it| &it.value) {
            Some(EntryValue::State(state)) => *state,
            Some(EntryValue::Account(_) | EntryValue::Plan(_)) | None => ServiceState::In,
        }
    }

    /// Reduces a page of the stream.
    ///
    /// Where records that are needed have expired, reading goes on from the oldest kept one until a
    /// snapshot restores the state, and then turns back to the records right after that state.
    pub fn apply_page(&mut self, page: LogPage) -> Vec<EditVerdict> {
        let mut verdicts = Vec::new();
        self.next_read = LogOffset(self.next_read().0.max(page.first.0));
        for record in page.records {
            let before = self.version;
            self.next_read = LogOffset(record.offset.0 + 1);
            verdicts.extend(self.apply_text(record.offset, &record.text));
            let is_restored = self.version > before && self.version.0 < self.next_read.0;
            if is_restored && self.version.0 >= page.first.0 {
                self.next_read = LogOffset(self.version.0);
                break;
            }
        }
        verdicts
    }

    /// Reduces the record at `offset`. Records below the version are passed over, and so is one
    /// past a gap: the caller reads on from [`ConfigLedger::version`] or takes a snapshot.
    ///
    /// ```
    /// use alderbay::config::ConfigLedger;
    /// use alderbay::units::{ConfigVersion, LogOffset};
    /// let mut ledger = ConfigLedger::default();
    /// ledger.apply_text(LogOffset(0), "not a record");
    /// assert_eq!(ledger.version(), ConfigVersion(1));
    /// ledger.apply_text(LogOffset(0), "again");
    /// assert_eq!(ledger.version(), ConfigVersion(1));
    /// ```
    pub fn apply_text(&mut self, offset: LogOffset, text: &str) -> Option<EditVerdict> {
        match serde_json::from_str(text) {
            Ok(record) => self.reduce(offset, record),
            Err(_) => {
                // An unreadable record takes its place in the order and changes nothing, on every
                // process alike.
                if offset.0 == self.version.0 {
                    self.version.0 += 1;
                }
                None
            }
        }
    }

    /// As [`ConfigLedger::apply_text`], for a record already decoded.
    pub fn reduce(&mut self, offset: LogOffset, record: ConfigRecord) -> Option<EditVerdict> {
        match record {
            ConfigRecord::Snapshot(snapshot) => {
                // A snapshot in the stream restores a process whose own records have expired.
                if snapshot.version > self.version && snapshot.version.0 <= offset.0 {
                    let _ = self.restore(snapshot);
                }
                if offset.0 == self.version.0 {
                    self.version.0 += 1;
                    self.snapshot_at = self.version;
                }
                None
            }
            ConfigRecord::Edit(edit) => {
                if offset.0 != self.version.0 {
                    return None;
                }
                self.version.0 += 1;
                Some(self.judge(edit))
            }
        }
    }

    fn judge(&mut self, edit: ConfigEdit) -> EditVerdict {
        let rejected = self.check(&edit).err();
        let verdict = EditVerdict {
            edit_id: edit.edit_id,
            author: edit.author,
            published_ms: edit.published_ms,
            version: self.version,
            keys: edit.changes.iter().map(|it| it.key.clone()).collect(),
            rejected,
        };
        if verdict.rejected.is_none() {
            for change in edit.changes {
                self.put(change);
            }
        }
        self.verdicts.push_back(verdict.clone());
        if self.verdicts.len() > MAX_VERDICTS {
            self.verdicts.pop_front();
        }
        verdict
    }

    fn check(&self, edit: &ConfigEdit) -> Result<(), EditError> {
        if self.verdicts.iter().any(|it| it.edit_id == edit.edit_id) {
            return Err(EditError::Repeated { edit_id: edit.edit_id.clone() });
        }
        self.validate_changes(&edit.changes)
    }

    /// Says whether an edit of these changes would be accepted now.
    ///
    /// ```
    /// use alderbay::config::{ConfigLedger, EditError};
    /// assert_eq!(ConfigLedger::default().validate_changes(&[]), Err(EditError::Empty));
    /// ```
    pub fn validate_changes(&self, changes: &[ConfigChange]) -> Result<(), EditError> {
        if changes.is_empty() {
            return Err(EditError::Empty);
        }
        let mut seen = BTreeSet::new();
        for change in changes {
            if !seen.insert(&change.key) {
                return Err(EditError::ChangedTwice { key: change.key.clone() });
            }
            self.check_change(change)?;
        }
        self.validate_plan_references(changes)
    }

    fn check_change(&self, change: &ConfigChange) -> Result<(), EditError> {
        let current = self.entries.get(&change.key).map_or(ConfigVersion(0), |it| it.revision);
        if current != change.replaces {
            return Err(EditError::Conflict {
                key: change.key.clone(),
                replaces: change.replaces,
                current,
            });
        }
        let fits = match (&change.key, &change.value) {
            (_, None) => true,
            (EntryKey::Account(_), Some(EntryValue::Account(_))) => true,
            (EntryKey::Plan(_), Some(EntryValue::Plan(_))) => true,
            (EntryKey::Domain(_) | EntryKey::Vm(_), Some(EntryValue::State(_))) => true,
            (
                EntryKey::Account(_) | EntryKey::Plan(_) | EntryKey::Domain(_) | EntryKey::Vm(_),
                Some(_),
            ) => false,
        };
        if fits { Ok(()) } else { Err(EditError::WrongKind { key: change.key.clone() }) }
    }

    /// Every account must be on a plan that exists after the edit. Accounts that the edit leaves alone
    /// are looked through only where it removes a plan.
    fn validate_plan_references(&self, changes: &[ConfigChange]) -> Result<(), EditError> {
        let changed: BTreeMap<&EntryKey, Option<&EntryValue>> =
            changes.iter().map(|it| (&it.key, it.value.as_ref())).collect();
        let exists_after = |key: &EntryKey| match changed.get(key) {
            Some(value) => value.is_some(),
            None => self.entries.contains_key(key),
        };
        let removes_plan =
            changed.iter().any(|(key, value)| matches!(key, EntryKey::Plan(_)) && value.is_none());
        let kept = self
            .entries
            .iter()
            .filter(|(key, _)| removes_plan && !changed.contains_key(key))
            .map(|(key, entry)| (key, &entry.value));
        let set = changed.iter().filter_map(|(key, value)| Some((*key, (*value)?)));
        for (key, value) in kept.chain(set) {
            let (EntryKey::Account(account), EntryValue::Account(record)) = (key, value) else {
                continue;
            };
            if !exists_after(&EntryKey::Plan(record.plan.clone())) {
                let plan = record.plan.clone();
                return Err(EditError::MissingPlan { account: account.clone(), plan });
            }
        }
        Ok(())
    }

    /// Swaps one entry and brings the digest up to date by taking the old entry's hash out and the
    /// new one's in, the incremental order-independent checksum of the Cyrus replication protocol's
    /// sync CRCs.
    fn put(&mut self, change: ConfigChange) {
        let old = match change.value {
            Some(value) => {
                let entry = ConfigEntry { revision: self.version, value };
                self.digest.0 ^= entry_hash(&change.key, &entry);
                self.entries.insert(change.key.clone(), entry)
            }
            None => self.entries.remove(&change.key),
        };
        if let Some(entry) = old {
            self.digest.0 ^= entry_hash(&change.key, &entry);
        }
    }

    /// The whole state, to be re-published or handed to a peer.
    pub fn snapshot(&self) -> ConfigSnapshot {
        ConfigSnapshot {
            version: self.version,
            digest: self.digest,
            entries: self.entries.clone(),
            verdicts: self.verdicts.clone(),
        }
    }

    /// Takes over a newer snapshot; an older one changes nothing. Returns whether the state moved.
    ///
    /// # Errors
    ///
    /// The snapshot's digest is wrong, or it disagrees with this state at the same version.
    pub fn restore(&mut self, snapshot: ConfigSnapshot) -> Result<bool, SnapshotError> {
        if snapshot.version == self.version && snapshot.digest != self.digest {
            return Err(SnapshotError::Diverged {
                version: self.version,
                ours: self.digest,
                theirs: snapshot.digest,
            });
        }
        if snapshot.version <= self.version {
            return Ok(false);
        }
        let computed = digest_of(&snapshot.entries);
        if computed != snapshot.digest {
            return Err(SnapshotError::BadDigest {
                version: snapshot.version,
                stated: snapshot.digest,
                computed,
            });
        }
        self.version = snapshot.version;
        self.digest = snapshot.digest;
        self.entries = snapshot.entries;
        self.verdicts = snapshot.verdicts;
        Ok(true)
    }
}

fn digest_of(entries: &BTreeMap<EntryKey, ConfigEntry>) -> ConfigDigest {
    ConfigDigest(entries.iter().fold(0, |digest, (key, entry)| digest ^ entry_hash(key, entry)))
}

fn entry_hash(key: &EntryKey, entry: &ConfigEntry) -> u64 {
    // Encoding these plain structures cannot fail; an empty text would only weaken the checksum.
    let text = serde_json::to_vec(&(key, entry)).unwrap_or_default();
    xxh3_64(&text)
}

#[cfg(test)]
mod tests {
    use googletest::prelude::*;

    use super::*;

    fn edit(id: &str, changes: serde_json::Value) -> String {
        serde_json::json!({
            "kind": "edit", "edit_id": id, "author": "t", "published_ms": 0, "changes": changes,
        })
        .to_string()
    }

    fn plan() -> serde_json::Value {
        serde_json::json!({ "plan": {
            "services": [], "requests_per_second": 1.0, "tokens_per_second": 1.0, "concurrency": 1,
        }})
    }

    fn ledger() -> ConfigLedger {
        let mut ledger = ConfigLedger::default();
        let changes = serde_json::json!([
            { "key": "plan/p", "replaces": 0, "value": plan() },
            { "key": "account/a", "replaces": 0,
              "value": { "account": { "plan": "p", "key_hashes": [] } } },
        ]);
        let verdict = ledger.apply_text(LogOffset(0), &edit("e1", changes)).unwrap();
        assert_that!(verdict.rejected, none());
        ledger
    }

    #[gtest]
    fn plan_in_use_stays() {
        let mut ledger = ledger();
        let remove = serde_json::json!([{ "key": "plan/p", "replaces": 1, "value": null }]);
        let verdict = ledger.apply_text(LogOffset(1), &edit("e2", remove)).unwrap();
        let (account, plan) = ("a".parse().unwrap(), "p".parse().unwrap());
        assert_that!(verdict.rejected, some(eq(&EditError::MissingPlan { account, plan })));
    }

    #[gtest]
    fn digest_follows_entries() {
        let mut ledger = ledger();
        let before = ledger.digest();
        let replace =
            serde_json::json!([{ "key": "vm/v", "replaces": 0, "value": { "state": "out" } }]);
        ledger.apply_text(LogOffset(1), &edit("e2", replace));
        assert_that!(ledger.digest(), not(eq(before)));
        assert_that!(ledger.digest(), eq(digest_of(ledger.entries())));
        let remove = serde_json::json!([{ "key": "vm/v", "replaces": 2, "value": null }]);
        ledger.apply_text(LogOffset(2), &edit("e3", remove));
        assert_that!(ledger.digest(), eq(before));
    }

    #[gtest]
    fn older_state_is_never_taken() {
        let mut ledger = ledger();
        let older = ConfigLedger::default().snapshot();
        assert_that!(ledger.restore(older), ok(eq(&false)));
        assert_that!(ledger.version(), eq(ConfigVersion(1)));
        let mut forged = ledger.snapshot();
        forged.version = ConfigVersion(9);
        forged.digest.0 ^= 1;
        assert_that!(ledger.restore(forged), err(anything()));
        assert_that!(ledger.version(), eq(ConfigVersion(1)));
    }

    #[gtest]
    fn repeated_edit_counts_once() {
        let mut ledger = ledger();
        let out =
            serde_json::json!([{ "key": "vm/v", "replaces": 0, "value": { "state": "out" } }]);
        ledger.apply_text(LogOffset(1), &edit("e2", out.clone()));
        let verdict = ledger.apply_text(LogOffset(2), &edit("e2", out)).unwrap();
        let edit_id = "e2".parse().unwrap();
        assert_that!(verdict.rejected, some(eq(&EditError::Repeated { edit_id })));
    }
}
