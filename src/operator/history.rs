//! Shows the audit trail and the traces of single requests.

use serde::Serialize;
use smol_str::SmolStr;

use super::{OperatorError, fleet::FleetClient, render::Output};
use crate::{
    config::EditVerdict,
    core::RunOutcome,
    daemon::{AuditRecord, RequestTrace},
    platform::streams,
    units::{RequestId, VmId},
    wire::PeerRole,
};

/// One line of the audit trail: an edit by an operator or an action of a process.
#[derive(Clone, Debug)]
#[derive(Serialize)]
struct AuditLine {
    at_ms: u64,
    who: SmolStr,
    what: String,
}

impl From<&EditVerdict> for AuditLine {
    fn from(verdict: &EditVerdict) -> Self {
        let keys: Vec<String> = verdict.keys.iter().map(ToString::to_string).collect();
        let what = match &verdict.rejected {
            None => format!("version {}: changed {}", verdict.version, keys.join(", ")),
            Some(reason) => format!("version {}: rejected: {reason}", verdict.version),
        };
        Self { at_ms: verdict.published_ms, who: verdict.author.as_str().into(), what }
    }
}

impl From<AuditRecord> for AuditLine {
    fn from(record: AuditRecord) -> Self {
        Self { at_ms: record.at_ms, who: record.vm.as_str().into(), what: record.event.to_string() }
    }
}

pub(super) async fn show_audit(
    client: &FleetClient,
    output: Output,
    limit: usize,
) -> Result<(), OperatorError> {
    let ledger = client.read_ledger().await?;
    let records: Vec<AuditRecord> = client.read_stream(streams::AUDIT).await?;
    let edits = ledger.verdicts().iter().map(AuditLine::from);
    let mut lines: Vec<AuditLine> = edits.chain(records.into_iter().map(AuditLine::from)).collect();
    lines.sort_by_key(|it| it.at_ms);
    let latest = &lines[lines.len().saturating_sub(limit)..];
    output.print_table(latest, &["AT (ms since 1970)", "WHO", "WHAT"], |line| {
        vec![line.at_ms.to_string(), line.who.to_string(), line.what.clone()]
    })
}

/// The trace of a request, with the entry that keeps it.
#[derive(Clone, Debug)]
#[derive(Serialize)]
struct EntryTrace {
    entry: VmId,
    request: RequestTrace,
}

pub(super) async fn show_request(
    client: &FleetClient,
    output: Output,
    request_id: RequestId,
) -> Result<(), OperatorError> {
    let entries =
        client.read_vms().await?.into_iter().filter(|it| it.role == PeerRole::Entry).collect();
    let answers = client.query::<RequestTrace>(entries, &format!("/explain/{request_id}")).await;
    let traces: Vec<EntryTrace> = answers
        .into_iter()
        .filter_map(|it| Some(EntryTrace { entry: it.vm, request: it.answer? }))
        .collect();
    if traces.is_empty() {
        return Err(OperatorError::RequestNotFound(request_id));
    }
    if output.is_json {
        return output.print_json(&traces);
    }
    for trace in &traces {
        print_trace(output, trace)?;
    }
    Ok(())
}

fn print_trace(output: Output, trace: &EntryTrace) -> Result<(), OperatorError> {
    let request = &trace.request;
    output.print_line(&format!(
        "{}: {} asked for {} at entry {}",
        request.request_id, request.account, request.service, trace.entry
    ))?;
    for attempt in &request.attempts {
        let after = attempt.at.since(request.at);
        let outcome = match &attempt.outcome {
            None => "in progress".to_owned(),
            Some(outcome) => outcome.to_string(),
        };
        output.print_line(&format!("  after {after:?} sent to {}: {outcome}", attempt.vm))?;
    }
    let Some(refusal) = &request.refusal else { return Ok(()) };
    let run_status = match refusal.outcome {
        RunOutcome::NotRun => "it was not run",
        RunOutcome::Ran => "it ran",
        RunOutcome::Unknown => "it may have run",
    };
    output.print_line(&format!(
        "  refused: {} ({}); {run_status}",
        refusal.code,
        refusal.code.message()
    ))
}
