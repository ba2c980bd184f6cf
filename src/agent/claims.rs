//! Claims of idempotency keys on the platform's log.
//!
//! Keys are claimed by appending them in batches to a stream of the log. Reading the stream back
//! shows which agent's claim on a key comes first.

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

/// Long-poll timeout for new claims.
const POLL_TIMEOUT: Duration = Duration::from_secs(20);
/// Delay before retrying a failed read.
const RETRY_DELAY: Duration = Duration::from_millis(250);
/// Maximum number of keys taken into one batch. The last request may exceed it.
const MAX_BATCH_KEYS: usize = 512;
/// Time for which a batch waits for more keys. It keeps 19 agents below the log's limit of appends
/// per second.
const BATCH_WINDOW: Duration = Duration::from_millis(20);

/// Appends this agent's claims and reads the claims of all agents of the same service, forever.
///
/// The stream is that of the agent's first service. It is shared, because all agents of a service
/// list the same services.
pub(super) async fn run(
    shell: Arc<ProcessShell>,
    claim_requests: mpsc::UnboundedReceiver<Vec<IdempotencyKey>>,
    settings: AgentSettings,
) {
    let Some(service) = settings.services.first().cloned() else { return };
    tokio::spawn(append_claims(shell.clone(), claim_requests, service.clone()));
    follow_claims(shell, service).await;
}

/// Reads the claim stream forever. Reads do not wait until the stream has been replayed once.
async fn follow_claims(shell: Arc<ProcessShell>, service: ServiceName) {
    let stream = streams::claims(&service);
    let mut next = LogOffset(0);
    let mut is_replayed = false;
    loop {
        match shell
            .log
            .read(&stream, next, if is_replayed { POLL_TIMEOUT } else { Duration::ZERO })
            .await
        {
            Ok(page) => {
                let end = page.next;
                next = dispatch_claims(&shell, next, page);
                if !is_replayed && next >= end {
                    is_replayed = true;
                    shell.dispatch(Event::ClaimsReplayed);
                    log::info!(next:% = next; "claims replayed");
                }
            }
            Err(error) => {
                shell.metrics.count("claims.read_failed");
                log::warn!(error:% = error; "reading the claim stream failed");
                sleep(RETRY_DELAY).await;
            }
        }
    }
}

/// Dispatches the claims of a page and returns the offset to read next.
fn dispatch_claims(shell: &ProcessShell, next: LogOffset, page: LogPage) -> LogOffset {
    let mut next = next.max(page.first);
    for record in page.records {
        next = LogOffset(record.offset.0 + 1);
        match serde_json::from_str::<ClaimRecord>(&record.text) {
            Ok(claim) => shell.dispatch(Event::ClaimRead { offset: record.offset, record: claim }),
            Err(error) => {
                log::error!(offset:% = record.offset, error:% = error; "decoding a claim record failed")
            }
        }
    }
    next
}

/// Collects requested keys into batches and appends them.
async fn append_claims(
    shell: Arc<ProcessShell>,
    mut claim_requests: mpsc::UnboundedReceiver<Vec<IdempotencyKey>>,
    service: ServiceName,
) {
    let stream = streams::claims(&service);
    while let Some(mut keys) = claim_requests.recv().await {
        sleep(BATCH_WINDOW).await;
        while keys.len() < MAX_BATCH_KEYS {
            let Ok(more) = claim_requests.try_recv() else { break };
            keys.extend(more);
        }
        append_batch(&shell, &stream, keys).await;
    }
}

/// Appends one batch. If that fails, the work that waits for the keys is refused. The append may
/// still have taken effect; such a claim only lets this agent run the key when it is retried.
async fn append_batch(shell: &ProcessShell, stream: &str, keys: Vec<IdempotencyKey>) {
    let owner =
        ClaimOwner { vm: shell.settings.identity.vm.clone(), incarnation: shell.incarnation };
    let record = ClaimRecord { owner, keys };
    let text = match serde_json::to_string(&record) {
        Ok(text) => text,
        Err(error) => {
            log::error!(error:% = error; "encoding claims failed");
            return shell.dispatch(Event::ClaimsFailed(record.keys));
        }
    };
    if let Err(error) = shell.log.append(stream, text).await {
        shell.metrics.count("claims.append_failed");
        log::warn!(error:% = error, keys = record.keys.len(); "appending claims failed");
        shell.dispatch(Event::ClaimsFailed(record.keys));
    }
}
