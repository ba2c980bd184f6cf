//! Publishing an edit: append, read back, learn the verdict, wait until it is in force everywhere.

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

/// Appends that are tried while the log's answers are lost or it is down.
const MAX_APPENDS: u32 = 5;
/// Pause before reading back and appending again.
const RETRY_PAUSE: Duration = Duration::from_millis(500);
/// Interval at which processes are asked for their version.
const ASK_INTERVAL: Duration = Duration::from_millis(200);

/// Asks the operator at the terminal.
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
    let ledger = client.ledger().await?;
    let replaces = ledger.entries().get(&command.key).map_or(ConfigVersion(0), |it| it.revision);
    let value = Some(EntryValue::State(command.state));
    let change = ConfigChange { key: command.key, replaces, value };
    publish(client, output, vec![change], &command.options).await
}

fn new_edit(changes: Vec<ConfigChange>, options: &PublishOptions) -> ConfigEdit {
    ConfigEdit {
        edit_id: EditId::from_uuid(Uuid::new_v4()),
        author: options.author.clone(),
        published_ms: wall_clock_ms(),
        reason: options.reason.clone(),
        changes,
    }
}

/// Publishes the changes as one edit and waits until it is in force everywhere.
pub(super) async fn publish(
    client: &FleetClient,
    output: Output,
    changes: Vec<ConfigChange>,
    options: &PublishOptions,
) -> Result<(), OperatorError> {
    let edit = new_edit(changes, options);
    let edit_id = edit.edit_id.clone();
    let text = serde_json::to_string(&ConfigRecord::Edit(edit))?;
    let verdict = append(client, &edit_id, text).await?;
    if let Some(reason) = verdict.rejected {
        return Err(reason.into());
    }
    output.say(&format!("accepted as version {}", verdict.version))?;
    let waited = Duration::from_secs(options.wait);
    let missing = wait_in_force(client, verdict.version, waited).await?;
    if !missing.is_empty() {
        return Err(OperatorError::NotInForce { missing, waited_seconds: options.wait });
    }
    if output.is_json {
        return output
            .show_json(&serde_json::json!({ "edit_id": edit_id, "version": verdict.version }));
    }
    output.say("in force everywhere")
}

/// Appends until the edit is found in the stream. An append whose answer was lost may stand, so the
/// stream is read back before each further try; the edit's id keeps a second copy from counting.
async fn append(
    client: &FleetClient,
    edit_id: &EditId,
    text: String,
) -> Result<EditVerdict, OperatorError> {
    let mut ledger = client.ledger().await?;
    let mut last_error = None;
    for _ in 0..MAX_APPENDS {
        if let Err(error) = client.log.append(streams::CONFIG, text.clone()).await {
            last_error = Some(error);
            sleep(RETRY_PAUSE).await;
        }
        match client.catch_up(&mut ledger).await {
            Ok(()) => {}
            Err(error) => {
                last_error = Some(error);
                sleep(RETRY_PAUSE).await;
                continue;
            }
        }
        if let Some(verdict) = ledger.verdicts().iter().find(|it| it.edit_id == *edit_id) {
            return Ok(verdict.clone());
        }
    }
    Err(last_error.unwrap_or(PlatformError::Status(0)).into())
}

/// Waits until every process has the version in force, and gives those that have not by then.
async fn wait_in_force(
    client: &FleetClient,
    version: ConfigVersion,
    limit: Duration,
) -> Result<Vec<VmId>, PlatformError> {
    let deadline = Instant::now() + limit;
    loop {
        let statuses = client.statuses().await?;
        let missing: Vec<VmId> = statuses
            .into_iter()
            .filter(|it| it.answer.as_ref().is_none_or(|status| status.version < version))
            .map(|it| it.vm)
            .collect();
        if missing.is_empty() || Instant::now() >= deadline {
            return Ok(missing);
        }
        sleep(ASK_INTERVAL).await;
    }
}
