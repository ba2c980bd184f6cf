//! The configuration: client accounts, plans, and the failure domains and VMs out of service.
//!
//! Operators append edits to one stream of the platform's log. Every process applies the same
//! records in the same order and reaches the same verdicts, so the order of the log alone decides
//! between concurrent edits. The configuration's version is the number of records applied and
//! never decreases.

mod catalog;
mod edits;
mod ledger;

pub use catalog::{
    AccountRecord, ConfigEntry, EntryKey, EntryValue, KeyError, KeyHash, PlanRecord, ServiceState,
    StateError,
};
pub use edits::{ConfigChange, ConfigEdit, ConfigRecord, EditError};
pub use ledger::{ConfigLedger, ConfigSnapshot, EditVerdict, SnapshotError};
