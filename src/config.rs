//! The configuration: the operators' two lists and what is taken out of service.
//!
//! Operators append edits to one stream of the platform's log. Every process reduces the same
//! records in the same order to the same verdicts, so that the log's order alone decides between
//! racing edits. The version is the number of records reduced and never goes down.

mod catalog;
mod edits;
mod ledger;

pub use catalog::{
    AccountRecord, ConfigEntry, EntryKey, EntryValue, KeyError, KeyHash, PlanRecord, ServiceState,
    StateError,
};
pub use edits::{ConfigChange, ConfigEdit, ConfigRecord, EditError};
pub use ledger::{ConfigLedger, ConfigSnapshot, EditVerdict, SnapshotError};
