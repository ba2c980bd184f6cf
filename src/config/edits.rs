//! Records of the configuration stream, and the reasons for which an edit is rejected.

use serde::{Deserialize, Serialize};
use smol_str::SmolStr;
use thiserror::Error;

use super::{ConfigSnapshot, EntryKey, EntryValue};
use crate::units::{ClientAccount, ConfigVersion, EditId, OperatorName, PlanId};

/// One record of the configuration stream.
#[derive(Clone, Debug, PartialEq)]
#[derive(Serialize, Deserialize)]
#[serde(tag = "kind", rename_all = "snake_case")]
pub enum ConfigRecord {
    /// A change of entries by an operator.
    Edit(ConfigEdit),
    /// The whole state, published by a process before the records that led to it expire.
    Snapshot(ConfigSnapshot),
}

/// An atomic set of changes: all of them are accepted, or the edit is rejected.
#[derive(Clone, Debug, PartialEq)]
#[derive(Serialize, Deserialize)]
pub struct ConfigEdit {
    /// Unique id. An edit that was appended twice, because the response to the first append was
    /// lost, is applied once.
    pub edit_id: EditId,
    /// Operator who published the edit.
    pub author: OperatorName,
    /// Wall-clock time of publication in Unix milliseconds, for the audit trail only.
    pub published_ms: u64,
    /// The operator's free-text reason; may be empty.
    #[serde(default)]
    pub reason: SmolStr,
    /// Changes to distinct entries; an edit without changes is rejected.
    pub changes: Vec<ConfigChange>,
}

/// A change that sets or removes one entry, with optimistic concurrency control.
#[derive(Clone, Debug, PartialEq)]
#[derive(Serialize, Deserialize)]
pub struct ConfigChange {
    /// Key of the entry.
    pub key: EntryKey,
    /// Revision of the value that the author saw; zero where the entry did not exist. The edit is
    /// rejected if it is no longer the current revision.
    pub replaces: ConfigVersion,
    /// The new value; `None` removes the entry.
    pub value: Option<EntryValue>,
}

/// Why an edit is rejected. Every process rejects it for the same reason.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize, Error)]
#[serde(rename_all = "snake_case")]
pub enum EditError {
    /// An edit with the same id has already been accepted or rejected. Only the ids of the latest
    /// edits are kept, in [`ConfigSnapshot::verdicts`].
    #[error("edit {edit_id} was already reduced")]
    Repeated {
        /// Id of both edits.
        edit_id: EditId,
    },
    /// The edit contains no changes.
    #[error("the edit has no changes")]
    Empty,
    /// Another edit changed the entry first.
    #[error("{key}: replaces revision {replaces}, but revision {current} is in force")]
    Conflict {
        /// Key of the entry.
        key: EntryKey,
        /// Revision that the author saw.
        replaces: ConfigVersion,
        /// Current revision; zero where the entry does not exist.
        current: ConfigVersion,
    },
    /// The variant of the value does not match the kind of the key.
    #[error("{key}: the value is of another kind than the key")]
    WrongKind {
        /// Key of the entry.
        key: EntryKey,
    },
    /// Two changes of the edit have the same key.
    #[error("{key}: changed twice in one edit")]
    ChangedTwice {
        /// Key of the entry.
        key: EntryKey,
    },
    /// An account would refer to a plan that does not exist.
    #[error("account {account}: there is no plan {plan}")]
    MissingPlan {
        /// The account that refers to the plan.
        account: ClientAccount,
        /// The missing plan.
        plan: PlanId,
    },
    /// The record cannot be decoded.
    #[error("unreadable record: {reason}")]
    Unreadable {
        /// The decoder's error message.
        reason: SmolStr,
    },
}
