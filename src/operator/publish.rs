//! Publishes an edit: appends it, reads it back for the verdict, and waits until it is in force
//! everywhere.

use std::{
    io::{self, IsTerminal, Write},
    time::Duration,
};

use tokio::time::{Instant, sleep};
use uuid::Uuid;

use super::{OperatorError, PublishOptions, StateCommand, fleet::FleetClient, render::Output};
use crate::{
    config::{ConfigChange, ConfigEdit, ConfigRecord, EditVerdict, EntryValue},
    platform::{PlatformError, streams},
    telemetry::wall_clock_ms,
    units::{ConfigVersion, EditId, VmId},
};

/// Maximum attempts to append an edit while the log service does not answer.
const MAX_APPEND_ATTEMPTS: u32 = 5;
/// Delay after a failed append or read.
const RETRY_DELAY: Duration = Duration::from_millis(500);
/// Pause between two queries of the processes' versions.
const POLL_INTERVAL: Duration = Duration::from_millis(200);

/// Asks the operator at the terminal for confirmation. Returns false if standard input is not a
/// terminal.
pub(super) fn confirm() -> Result<bool, OperatorError> {
    if !io::stdin().is_terminal() {
        return Ok(false);
    }
    print!("publish? (yes/no) ");
    io::stdout().flush()?;
    let mut answer = String::new();
    io::stdin().read_line(&mut answer)?;
    Ok(answer.trim() == "yes")
}

pub(super) async fn set_state(
    client: &FleetClient,
    output: Output,
    command: StateCommand,
) -> Result<(), OperatorError> {
    let ledger = client.read_ledger().await?;
    let replaces = ledger.entries().get(&command.key).map_or(ConfigVersion(0), |it| it.revision);
    let value = Some(EntryValue::State(command.state));
    let change = ConfigChange { key: command.key, replaces, value };
    publish(client, output, vec![change], &command.options).await
}

fn build_edit(changes: Vec<ConfigChange>, options: &PublishOptions) -> ConfigEdit {
    ConfigEdit {
        edit_id: EditId::from_uuid(Uuid::new_v4()),
        author: options.author.clone(),
        published_ms: wall_clock_ms(),
        reason: options.reason.clone(),
        changes,
    }
}

/// Publishes the changes as one edit and waits until it is in force on all processes.
pub(super) async fn publish(
    client: &FleetClient,
    output: Output,
    changes: Vec<ConfigChange>,
    options: &PublishOptions,
) -> Result<(), OperatorError> {
    let edit = build_edit(changes, options);
    let edit_id = edit.edit_id.clone();
    let text = serde_json::to_string(&ConfigRecord::Edit(edit))?;
    let verdict = append_edit(client, &edit_id, text).await?;
    if let Some(reason) = verdict.rejected {
        return Err(reason.into());
    }
    output.print_line(&format!("accepted as version {}", verdict.version))?;
    let max_wait = Duration::from_secs(options.wait);
    let missing = wait_in_force(client, verdict.version, max_wait).await?;
    if !missing.is_empty() {
        return Err(OperatorError::NotInForce { missing, waited_seconds: options.wait });
    }
    if output.is_json {
        return output
            .print_json(&serde_json::json!({ "edit_id": edit_id, "version": verdict.version }));
    }
    output.print_line("in force everywhere")
}

/// Appends the edit until it is found in the stream and returns its verdict. An append whose answer
/// was lost may have taken effect, so the stream is read back before each retry; the edit's id
/// makes a duplicate harmless.
async fn append_edit(
    client: &FleetClient,
    edit_id: &EditId,
    text: String,
) -> Result<EditVerdict, OperatorError> {
    let mut ledger = client.read_ledger().await?;
    let mut last_error = None;
    for _ in 0..MAX_APPEND_ATTEMPTS {
        if let Err(error) = client.log.append(streams::CONFIG, text.clone()).await {
            last_error = Some(error);
            sleep(RETRY_DELAY).await;
        }
        match client.catch_up(&mut ledger).await {
            Ok(()) => {}
            Err(error) => {
                last_error = Some(error);
                sleep(RETRY_DELAY).await;
                continue;
            }
        }
        if let Some(verdict) = ledger.verdicts().iter().find(|it| it.edit_id == *edit_id) {
            return Ok(verdict.clone());
        }
    }
    Err(last_error.unwrap_or(PlatformError::Status(0)).into())
}

/// Waits until every process has the version in force. Returns those that do not after `max_wait`.
async fn wait_in_force(
    client: &FleetClient,
    version: ConfigVersion,
    max_wait: Duration,
) -> Result<Vec<VmId>, PlatformError> {
    let deadline = Instant::now() + max_wait;
    loop {
        let statuses = client.query_statuses().await?;
        let missing: Vec<VmId> = statuses
            .into_iter()
            .filter(|it| it.answer.as_ref().is_none_or(|status| status.version < version))
            .map(|it| it.vm)
            .collect();
        if missing.is_empty() || Instant::now() >= deadline {
            return Ok(missing);
        }
        sleep(POLL_INTERVAL).await;
    }
}
