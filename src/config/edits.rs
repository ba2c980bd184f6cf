//! What is published on the configuration stream, and why an edit is rejected.

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
    /// Operators change entries.
    Edit(ConfigEdit),
    /// A process re-publishes the state before old records expire.
    Snapshot(ConfigSnapshot),
}

/// A set of changes that is accepted or rejected as one.
#[derive(Clone, Debug, PartialEq)]
#[derive(Serialize, Deserialize)]
pub struct ConfigEdit {
    /// Makes the edit recognisable when the answer to its append was lost.
    pub edit_id: EditId,
    /// Who made it.
    pub author: OperatorName,
    /// Wall-clock time of publication for the audit trail, in milliseconds since 1970.
    pub published_ms: u64,
    /// Why, in the operator's words.
    #[serde(default)]
    pub reason: SmolStr,
    /// The changes.
    pub changes: Vec<ConfigChange>,
}

/// Replaces or removes one entry.
#[derive(Clone, Debug, PartialEq)]
#[derive(Serialize, Deserialize)]
pub struct ConfigChange {
    /// The entry.
    pub key: EntryKey,
    /// Revision of the value that the author saw; zero where there was none.
    pub replaces: ConfigVersion,
    /// The new value; none removes the entry.
    pub value: Option<EntryValue>,
}

/// Why an edit is rejected. All processes come to the same reason.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize, Error)]
#[serde(rename_all = "snake_case")]
pub enum EditError {
    /// An edit of this id stands earlier in the stream.
    #[error("edit {edit_id} was already reduced")]
    Repeated {
        /// The id.
        edit_id: EditId,
    },
    /// The edit changes nothing.
    #[error("the edit has no changes")]
    Empty,
    /// Another edit changed the entry first.
    #[error("{key}: replaces revision {replaces}, but revision {current} is in force")]
    Conflict {
        /// The entry.
        key: EntryKey,
        /// Revision the author saw.
        replaces: ConfigVersion,
        /// Revision in force.
        current: ConfigVersion,
    },
    /// The value's kind does not fit the key.
    #[error("{key}: the value is of another kind than the key")]
    WrongKind {
        /// The entry.
        key: EntryKey,
    },
    /// Two changes of one edit name the same entry.
    #[error("{key}: changed twice in one edit")]
    ChangedTwice {
        /// The entry.
        key: EntryKey,
    },
    /// An account would be on a plan that does not exist.
    #[error("account {account}: there is no plan {plan}")]
    MissingPlan {
        /// The account.
        account: ClientAccount,
        /// The plan it names.
        plan: PlanId,
    },
    /// The record could not be read.
    #[error("unreadable record: {reason}")]
    Unreadable {
        /// What the decoder said.
        reason: SmolStr,
    },
}
