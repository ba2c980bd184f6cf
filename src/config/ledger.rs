//! State machine that applies the configuration stream: entries, a version and a digest.

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

/// Number of verdicts that are kept to detect repeated appends and for the audit trail.
const MAX_VERDICTS: usize = 512;

/// Outcome of an edit: accepted or rejected.
#[derive(Clone, Debug, PartialEq)]
#[derive(Serialize, Deserialize)]
pub struct EditVerdict {
    /// Id of the edit.
    pub edit_id: EditId,
    /// Operator who published the edit.
    pub author: OperatorName,
    /// Wall-clock time of publication in Unix milliseconds.
    pub published_ms: u64,
    /// Version of the configuration right after the edit.
    pub version: ConfigVersion,
    /// Keys that the edit changes.
    pub keys: Vec<EntryKey>,
    /// Why the edit was rejected; `None` where it was accepted.
    pub rejected: Option<EditError>,
}

/// The whole state, for processes that cannot replay the stream from its beginning.
#[derive(Clone, Debug, PartialEq)]
#[derive(Serialize, Deserialize)]
pub struct ConfigSnapshot {
    /// Version of the configuration that the snapshot holds.
    pub version: ConfigVersion,
    /// Checksum of the entries.
    pub digest: ConfigDigest,
    /// All entries by key.
    pub entries: BTreeMap<EntryKey, ConfigEntry>,
    /// Verdicts on the latest edits, oldest first; at most 512.
    pub verdicts: VecDeque<EditVerdict>,
}

/// Why a snapshot is rejected.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize, Error)]
pub enum SnapshotError {
    /// The snapshot's digest does not match its entries.
    #[error("snapshot at version {version}: its digest is {stated}, its entries give {computed}")]
    BadDigest {
        /// Version of the snapshot.
        version: ConfigVersion,
        /// Digest that the snapshot states.
        stated: ConfigDigest,
        /// Digest computed from its entries.
        computed: ConfigDigest,
    },
    /// This process and the snapshot have different entries at the same version.
    #[error("version {version}: the digest is {ours} here, but {theirs} in the snapshot")]
    Diverged {
        /// Version of both.
        version: ConfigVersion,
        /// Digest of this process.
        ours: ConfigDigest,
        /// Digest of the snapshot.
        theirs: ConfigDigest,
    },
}

/// The configuration after the records that have been applied so far.
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
    /// Offset at which reading continues, unless the version is higher.
    next_read: LogOffset,
}

impl ConfigLedger {
    /// Returns the number of records applied so far, which is also the offset of the next record to
    /// apply.
    pub fn version(&self) -> ConfigVersion {
        self.version
    }

    /// Returns the checksum of the entries, which is equal wherever the entries are equal.
    pub fn digest(&self) -> ConfigDigest {
        self.digest
    }

    /// Returns the version right after the latest snapshot that was read from the stream; zero
    /// where none was.
    pub fn snapshot_at(&self) -> ConfigVersion {
        self.snapshot_at
    }

    /// Returns the offset to read next. It is ahead of the version while the process searches the
    /// stream for a snapshot because the records at its version have expired.
    pub fn next_read(&self) -> LogOffset {
        LogOffset(self.next_read.0.max(self.version.0))
    }

    /// Returns all entries by key.
    pub fn entries(&self) -> &BTreeMap<EntryKey, ConfigEntry> {
        &self.entries
    }

    /// Returns the verdicts on the latest edits, oldest first.
    pub fn verdicts(&self) -> &VecDeque<EditVerdict> {
        &self.verdicts
    }

    /// Returns the account's record, or `None` for an unknown account.
    pub fn account(&self, id: &ClientAccount) -> Option<&super::AccountRecord> {
        match &self.entries.get(&EntryKey::Account(id.clone()))?.value {
            EntryValue::Account(record) => Some(record),
            EntryValue::Plan(_) | EntryValue::State(_) => None,
        }
    }

    /// Returns the plan's record, or `None` for an unknown plan.
    pub fn plan(&self, id: &PlanId) -> Option<&super::PlanRecord> {
        match &self.entries.get(&EntryKey::Plan(id.clone()))?.value {
            EntryValue::Plan(record) => Some(record),
            EntryValue::Account(_) | EntryValue::State(_) => None,
        }
    }

    /// Returns the records of all plans, in the order of their ids.
    pub fn plans(&self) -> impl Iterator<Item = &super::PlanRecord> {
        self.entries.values().filter_map(|it| match &it.value {
            EntryValue::Plan(record) => Some(record),
            EntryValue::Account(_) | EntryValue::State(_) => None,
        })
    }

    /// Returns whether the VM may receive new work: it and its failure domain must both be in
    /// service. A VM or failure domain without an entry is in service.
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

    /// Applies a page of the stream and returns the verdicts on its edits.
    ///
    /// If records at the current version have expired, reading continues from the oldest retained
    /// record until a snapshot restores the state. [`ConfigLedger::next_read`] then goes back to
    /// the record right after the restored version.
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

    /// Decodes and applies the record at `offset`, and returns the verdict if it is an edit.
    ///
    /// Edits at any offset other than the current version are skipped. After a gap the caller
    /// reads from [`ConfigLedger::next_read`] or restores a snapshot.
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
            Ok(record) => self.apply_record(offset, record),
            Err(_) => {
                // An unreadable record counts towards the version and changes nothing, so that all
                // processes stay in agreement.
                if offset.0 == self.version.0 {
                    self.version.0 += 1;
                }
                None
            }
        }
    }

    /// Applies a decoded record, as [`ConfigLedger::apply_text`] does.
    pub fn apply_record(&mut self, offset: LogOffset, record: ConfigRecord) -> Option<EditVerdict> {
        match record {
            ConfigRecord::Snapshot(snapshot) => {
                // A snapshot in the stream restores a process that missed expired records.
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
                Some(self.apply_edit(edit))
            }
        }
    }

    fn apply_edit(&mut self, edit: ConfigEdit) -> EditVerdict {
        let rejected = self.validate_edit(&edit).err();
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
                self.apply_change(change);
            }
        }
        self.verdicts.push_back(verdict.clone());
        if self.verdicts.len() > MAX_VERDICTS {
            self.verdicts.pop_front();
        }
        verdict
    }

    fn validate_edit(&self, edit: &ConfigEdit) -> Result<(), EditError> {
        if self.verdicts.iter().any(|it| it.edit_id == edit.edit_id) {
            return Err(EditError::Repeated { edit_id: edit.edit_id.clone() });
        }
        self.validate_changes(&edit.changes)
    }

    /// Checks whether an edit with these changes would be accepted at the current version.
    ///
    /// # Errors
    ///
    /// The reason for which the edit would be rejected.
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
            self.validate_change(change)?;
        }
        self.validate_plan_references(changes)
    }

    fn validate_change(&self, change: &ConfigChange) -> Result<(), EditError> {
        let current = self.entries.get(&change.key).map_or(ConfigVersion(0), |it| it.revision);
        if current != change.replaces {
            return Err(EditError::Conflict {
                key: change.key.clone(),
                replaces: change.replaces,
                current,
            });
        }
        let is_right_kind = match (&change.key, &change.value) {
            (_, None) => true,
            (EntryKey::Account(_), Some(EntryValue::Account(_))) => true,
            (EntryKey::Plan(_), Some(EntryValue::Plan(_))) => true,
            (EntryKey::Domain(_) | EntryKey::Vm(_), Some(EntryValue::State(_))) => true,
            (
                EntryKey::Account(_) | EntryKey::Plan(_) | EntryKey::Domain(_) | EntryKey::Vm(_),
                Some(_),
            ) => false,
        };
        if is_right_kind { Ok(()) } else { Err(EditError::WrongKind { key: change.key.clone() }) }
    }

    /// Checks that every account refers to a plan that exists after the edit. Accounts that the
    /// edit does not change need a check only if it removes a plan.
    fn validate_plan_references(&self, changes: &[ConfigChange]) -> Result<(), EditError> {
        let changed: BTreeMap<&EntryKey, Option<&EntryValue>> =
            changes.iter().map(|it| (&it.key, it.value.as_ref())).collect();
        let exists_after = |key: &EntryKey| match changed.get(key) {
            Some(value) => value.is_some(),
            None => self.entries.contains_key(key),
        };
        let removes_plan =
            changed.iter().any(|(key, value)| matches!(key, EntryKey::Plan(_)) && value.is_none());
        let unchanged = self
            .entries
            .iter()
            .filter(|(key, _)| removes_plan && !changed.contains_key(key))
            .map(|(key, entry)| (key, &entry.value));
        let updated = changed.iter().filter_map(|(key, value)| Some((*key, (*value)?)));
        for (key, value) in unchanged.chain(updated) {
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

    /// Sets or removes one entry and updates the digest incrementally: XOR removes the hash of the
    /// old entry and adds that of the new entry, in any order. The sync CRCs of the Cyrus
    /// replication protocol work in the same way.
    fn apply_change(&mut self, change: ConfigChange) {
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

    /// Returns a copy of the whole state, to be published in the stream or sent to a peer.
    pub fn snapshot(&self) -> ConfigSnapshot {
        ConfigSnapshot {
            version: self.version,
            digest: self.digest,
            entries: self.entries.clone(),
            verdicts: self.verdicts.clone(),
        }
    }

    /// Replaces the state by a newer snapshot and returns `true`. A snapshot at the same or an
    /// older version changes nothing and returns `false`.
    ///
    /// # Errors
    ///
    /// The digest of the snapshot does not match its entries, or differs from the digest of this
    /// state at the same version.
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
    // Encoding these types cannot fail; empty bytes would only weaken the checksum.
    let bytes = serde_json::to_vec(&(key, entry)).unwrap_or_default();
    xxh3_64(&bytes)
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
    fn digest_matches_entries() {
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
    fn bad_snapshot_is_ignored() {
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
    fn repeated_edit_is_rejected() {
        let mut ledger = ledger();
        let out =
            serde_json::json!([{ "key": "vm/v", "replaces": 0, "value": { "state": "out" } }]);
        ledger.apply_text(LogOffset(1), &edit("e2", out.clone()));
        let verdict = ledger.apply_text(LogOffset(2), &edit("e2", out)).unwrap();
        let edit_id = "e2".parse().unwrap();
        assert_that!(verdict.rejected, some(eq(&EditError::Repeated { edit_id })));
    }
}
