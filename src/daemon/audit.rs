//! Publishes the actions that the process took on its own to the audit stream of the log.

use std::{sync::Arc, time::Duration};

use serde::{Deserialize, Serialize};
use tokio::{sync::mpsc, time::sleep};

use super::ProcessShell;
use crate::{core::AuditEvent, platform::streams, telemetry::wall_clock_ms, units::VmId};

/// Delay before retrying a failed append. A retry may duplicate the record.
const RETRY_DELAY: Duration = Duration::from_secs(2);
/// Maximum attempts to append a record. A record given up is still in the process's own log.
const MAX_APPEND_ATTEMPTS: u32 = 30;

/// One record of the audit stream.
#[derive(Clone, Debug, PartialEq)]
#[derive(Serialize, Deserialize)]
pub struct AuditRecord {
    /// Wall-clock time, in milliseconds since 1970.
    pub at_ms: u64,
    /// VM of the process.
    pub vm: VmId,
    /// Action that the process took.
    #[serde(rename = "fact")]
    pub event: AuditEvent,
}

/// Publishes events until the channel closes.
pub(super) async fn publish(
    shell: Arc<ProcessShell>,
    mut events: mpsc::UnboundedReceiver<AuditEvent>,
) {
    while let Some(event) = events.recv().await {
        let at_ms = wall_clock_ms();
        let record = AuditRecord { at_ms, vm: shell.settings.identity.vm.clone(), event };
        match serde_json::to_string(&record) {
            Ok(text) => append(&shell, text).await,
            Err(error) => log::error!(error:% = error; "encoding an audit record failed"),
        }
    }
}

/// Appends a record, with retries.
async fn append(shell: &ProcessShell, text: String) {
    for _ in 0..MAX_APPEND_ATTEMPTS {
        match shell.log.append(streams::AUDIT, text.clone()).await {
            Ok(_) => return,
            Err(error) => log::warn!(error:% = error; "publishing an audit record failed"),
        }
        sleep(RETRY_DELAY).await;
    }
}
