//! Claims on the log: batches of keys are appended, and the stream is read to learn which claim
//! came first.

use std::{sync::Arc, time::Duration};

use tokio::{sync::mpsc, time::sleep};

use crate::{
    core::{ClaimOwner, ClaimRecord, Event},
    daemon::ProcessShell,
    options::AgentSettings,
    platform::{LogPage, streams},
    units::{LogOffset, ServiceName},
    wire::IdempotencyKey,
};

/// Time for which one read waits for new claims.
const POLL_WAIT: Duration = Duration::from_secs(20);
/// Pause after a failed read.
const RETRY_PAUSE: Duration = Duration::from_millis(250);
/// Most keys in one record.
const MAX_BATCH: usize = 512;
/// Time that a batch waits for more keys. With 19 agents this stays under the log's appends a
/// second.
const BATCH_WINDOW: Duration = Duration::from_millis(20);

/// Claims keys and follows the claims of all agents of the same service, for ever.
///
/// Keys are claimed on the stream of the agent's first service; agents of the same service list the
/// same services.
pub(super) async fn run(
    shell: Arc<ProcessShell>,
    requests: mpsc::UnboundedReceiver<Vec<IdempotencyKey>>,
    settings: AgentSettings,
) {
    let Some(service) = settings.services.first().cloned() else { return };
    tokio::spawn(append(shell.clone(), requests, service.clone()));
    follow(shell, service).await;
}

async fn follow(shell: Arc<ProcessShell>, service: ServiceName) {
    let stream = streams::claims(&service);
    let mut next = LogOffset(0);
    let mut replayed = false;
    loop {
        match shell.log.read(&stream, next, if replayed { POLL_WAIT } else { Duration::ZERO }).await
        {
            Ok(page) => {
                let end = page.next;
                next = take_page(&shell, next, page);
                if !replayed && next >= end {
                    replayed = true;
                    shell.dispatch(Event::ClaimsReplayed);
                    log::info!(next:% = next; "claims replayed");
                }
            }
            Err(error) => {
                shell.metrics.count("claims.read_failed");
                log::warn!(error:% = error; "the claim stream cannot be read");
                sleep(RETRY_PAUSE).await;
            }
        }
    }
}

fn take_page(shell: &ProcessShell, next: LogOffset, page: LogPage) -> LogOffset {
    let mut next = next.max(page.first);
    for record in page.records {
        next = LogOffset(record.offset.0 + 1);
        match serde_json::from_str::<ClaimRecord>(&record.text) {
            Ok(claim) => shell.dispatch(Event::ClaimRead { offset: record.offset, record: claim }),
            Err(error) => {
                log::error!(offset:% = record.offset, error:% = error; "unreadable claim")
            }
        }
    }
    next
}

async fn append(
    shell: Arc<ProcessShell>,
    mut requests: mpsc::UnboundedReceiver<Vec<IdempotencyKey>>,
    service: ServiceName,
) {
    let stream = streams::claims(&service);
    while let Some(mut keys) = requests.recv().await {
        sleep(BATCH_WINDOW).await;
        while keys.len() < MAX_BATCH {
            let Ok(more) = requests.try_recv() else { break };
            keys.extend(more);
        }
        append_batch(&shell, &stream, keys).await;
    }
}

/// Appends one batch. An append whose answer is lost may have taken effect: the keys' work is
/// refused here, and where the claim stands after all, it only says that this agent may run the key
/// when it is asked again.
async fn append_batch(shell: &ProcessShell, stream: &str, keys: Vec<IdempotencyKey>) {
    let owner =
        ClaimOwner { vm: shell.settings.identity.vm.clone(), incarnation: shell.incarnation };
    let record = ClaimRecord { owner, keys };
    let text = match serde_json::to_string(&record) {
        Ok(text) => text,
        Err(error) => {
            log::error!(error:% = error; "claims cannot be encoded");
            return shell.dispatch(Event::ClaimsFailed(record.keys));
        }
    };
    if let Err(error) = shell.log.append(stream, text).await {
        shell.metrics.count("claims.append_failed");
        log::warn!(error:% = error, keys = record.keys.len(); "claims could not be appended");
        shell.dispatch(Event::ClaimsFailed(record.keys));
    }
}
