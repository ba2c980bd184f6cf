//! Publishes what the process did by itself on the audit stream of the log.

use std::{sync::Arc, time::Duration};

use serde::{Deserialize, Serialize};
use tokio::{sync::mpsc, time::sleep};

use super::ProcessShell;
use crate::{core::AuditEvent, platform::streams, telemetry::wall_clock_ms, units::VmId};

/// Pause after a failed append. The record is then appended again, and may stand twice.
const RETRY_PAUSE: Duration = Duration::from_secs(2);
/// Appends of one record that are tried; the record is in the process's own log in any case.
const MAX_TRIES: u32 = 30;

/// One record of the audit stream.
#[derive(Clone, Debug, PartialEq)]
#[derive(Serialize, Deserialize)]
pub struct AuditRecord {
    /// Wall-clock time, in milliseconds since 1970.
    pub at_ms: u64,
    /// The process.
    pub vm: VmId,
    /// What it did.
    pub fact: AuditEvent,
}

/// Publishes facts for ever.
pub(super) async fn publish(
    shell: Arc<ProcessShell>,
    mut facts: mpsc::UnboundedReceiver<AuditEvent>,
) {
    while let Some(fact) = facts.recv().await {
        let at_ms = wall_clock_ms();
        let record = AuditRecord { at_ms, vm: shell.settings.identity.vm.clone(), fact };
        match serde_json::to_string(&record) {
            Ok(text) => append(&shell, text).await,
            Err(error) => log::error!(error:% = error; "an audit record cannot be encoded"),
        }
    }
}

async fn append(shell: &ProcessShell, text: String) {
    for _ in 0..MAX_TRIES {
        match shell.log.append(streams::AUDIT, text.clone()).await {
            Ok(_) => return,
            Err(error) => log::warn!(error:% = error; "an audit record could not be published"),
        }
        sleep(RETRY_PAUSE).await;
    }
}
