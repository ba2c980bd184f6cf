//! The operators' two lists, accounts and plans, as a file: shown, checked and published.

use std::{collections::BTreeMap, io};

use serde::{Deserialize, Serialize};

use super::{ListCommand, OperatorError, fleet::FleetClient, publish, render::Output};
use crate::{
    config::{
        AccountRecord, ConfigChange, ConfigLedger, EntryKey, EntryValue, KeyHash, PlanRecord,
    },
    options::read_json_file,
    units::{ClientAccount, ConfigVersion, PlanId},
};

/// The JSON file with both lists.
///
/// ```
/// use alderbay::operator::ListFile;
/// let lists: ListFile = serde_json::from_str(r#"{"plans": {}, "accounts": {}}"#)?;
/// assert!(lists.plans.is_empty());
/// # Ok::<(), serde_json::Error>(())
/// ```
#[derive(Clone, Debug, Default, PartialEq)]
#[derive(Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ListFile {
    /// Plans: limits and the models and services that each includes.
    pub plans: BTreeMap<PlanId, PlanRecord>,
    /// Accounts of the callers, each with its plan.
    pub accounts: BTreeMap<ClientAccount, AccountRecord>,
}

impl ListFile {
    /// Returns the lists in force.
    pub fn from_ledger(ledger: &ConfigLedger) -> Self {
        let mut lists = Self::default();
        for (key, entry) in ledger.entries() {
            match (key, &entry.value) {
                (EntryKey::Plan(id), EntryValue::Plan(plan)) => {
                    lists.plans.insert(id.clone(), plan.clone());
                }
                (EntryKey::Account(id), EntryValue::Account(account)) => {
                    lists.accounts.insert(id.clone(), account.clone());
                }
                (
                    EntryKey::Account(_)
                    | EntryKey::Plan(_)
                    | EntryKey::Domain(_)
                    | EntryKey::Vm(_),
                    EntryValue::Account(_) | EntryValue::Plan(_) | EntryValue::State(_),
                ) => {}
            }
        }
        lists
    }

    /// Returns the changes that turn the lists in force into these. The service states of failure
    /// domains and VMs are not part of the lists and stay unchanged.
    pub fn changes_from(&self, ledger: &ConfigLedger) -> Vec<ConfigChange> {
        let desired = self.to_entries();
        let is_listed = |key: &EntryKey| matches!(key, EntryKey::Plan(_) | EntryKey::Account(_));
        let removed = ledger
            .entries()
            .iter()
            .filter(|(key, _)| is_listed(key) && !desired.contains_key(*key))
            .map(|(key, entry)| ConfigChange {
                key: key.clone(),
                replaces: entry.revision,
                value: None,
            });
        let changed = desired.iter().filter_map(|(key, value)| {
            let current = ledger.entries().get(key);
            if current.is_some_and(|it| it.value == *value) {
                return None;
            }
            let replaces = current.map_or(ConfigVersion(0), |it| it.revision);
            Some(ConfigChange { key: key.clone(), replaces, value: Some(value.clone()) })
        });
        removed.chain(changed).collect()
    }

    fn to_entries(&self) -> BTreeMap<EntryKey, EntryValue> {
        let plans = self
            .plans
            .iter()
            .map(|(id, plan)| (EntryKey::Plan(id.clone()), EntryValue::Plan(plan.clone())));
        let accounts = self.accounts.iter().map(|(id, account)| {
            (EntryKey::Account(id.clone()), EntryValue::Account(account.clone()))
        });
        plans.chain(accounts).collect()
    }
}

pub(super) async fn run(
    client: &FleetClient,
    output: Output,
    command: ListCommand,
) -> Result<(), OperatorError> {
    match command {
        ListCommand::Show => {
            let ledger = client.read_ledger().await?;
            output.print_json(&ListFile::from_ledger(&ledger))
        }
        ListCommand::Check { file } => {
            let ledger = client.read_ledger().await?;
            let changes = read_json_file::<ListFile>(&file)?.changes_from(&ledger);
            print_diff(output, &ledger, &changes)?;
            if !changes.is_empty() {
                ledger.validate_changes(&changes)?;
            }
            Ok(())
        }
        ListCommand::Publish { yes, options, file } => {
            let ledger = client.read_ledger().await?;
            let changes = read_json_file::<ListFile>(&file)?.changes_from(&ledger);
            print_diff(output, &ledger, &changes)?;
            if changes.is_empty() {
                return Ok(());
            }
            ledger.validate_changes(&changes)?;
            if !yes && !publish::confirm()? {
                return Err(OperatorError::NotConfirmed);
            }
            publish::publish(client, output, changes, &options).await
        }
    }
}

fn print_diff(
    output: Output,
    ledger: &ConfigLedger,
    changes: &[ConfigChange],
) -> Result<(), OperatorError> {
    if changes.is_empty() {
        return output.print_line("no change");
    }
    for change in changes {
        let old = ledger.entries().get(&change.key).map(|it| &it.value);
        output.print_line(&change.key.to_string())?;
        if let Some(old) = old {
            output.print_line(&format!("  - {}", serde_json::to_string(old)?))?;
        }
        if let Some(new) = &change.value {
            output.print_line(&format!("  + {}", serde_json::to_string(new)?))?;
        }
    }
    Ok(())
}

pub(super) fn show_secret_hash() -> Result<(), OperatorError> {
    let mut secret = String::new();
    io::stdin().read_line(&mut secret)?;
    let hash = KeyHash::of_secret(secret.trim_end_matches(['\r', '\n']));
    println!("{}", serde_json::to_value(hash)?.as_str().unwrap_or_default());
    Ok(())
}
