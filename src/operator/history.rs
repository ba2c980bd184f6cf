//! The audit trail and the course of single requests.

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

/// One line of the audit trail.
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
    let ledger = client.ledger().await?;
    let facts: Vec<AuditRecord> = client.read_stream(streams::AUDIT).await?;
    let edits = ledger.verdicts().iter().map(AuditLine::from);
    let mut lines: Vec<AuditLine> = edits.chain(facts.into_iter().map(AuditLine::from)).collect();
    lines.sort_by_key(|it| it.at_ms);
    let latest = &lines[lines.len().saturating_sub(limit)..];
    output.show(latest, &["AT (ms since 1970)", "WHO", "WHAT"], |line| {
        vec![line.at_ms.to_string(), line.who.to_string(), line.what.clone()]
    })
}

/// A request's course with the entry that knows it.
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
    let entries = client.vms().await?.into_iter().filter(|it| it.role == PeerRole::Entry).collect();
    let answers = client.ask::<RequestTrace>(entries, &format!("/explain/{request_id}")).await;
    let courses: Vec<EntryTrace> = answers
        .into_iter()
        .filter_map(|it| Some(EntryTrace { entry: it.vm, request: it.answer? }))
        .collect();
    if courses.is_empty() {
        return Err(OperatorError::RequestNotFound(request_id));
    }
    if output.is_json {
        return output.show_json(&courses);
    }
    for course in &courses {
        say_course(output, course)?;
    }
    Ok(())
}

fn say_course(output: Output, course: &EntryTrace) -> Result<(), OperatorError> {
    let request = &course.request;
    output.say(&format!(
        "{}: {} asked for {} at entry {}",
        request.request_id, request.account, request.service, course.entry
    ))?;
    for attempt in &request.attempts {
        let after = attempt.at.since(request.at);
        let outcome = match &attempt.outcome {
            None => "in progress".to_owned(),
            Some(outcome) => outcome.to_string(),
        };
        output.say(&format!("  after {after:?} sent to {}: {outcome}", attempt.vm))?;
    }
    let Some(refusal) = &request.refusal else { return Ok(()) };
    let ran = match refusal.outcome {
        RunOutcome::NotRun => "it was not run",
        RunOutcome::Ran => "it ran",
        RunOutcome::Unknown => "it may have run",
    };
    output.say(&format!("  refused: {} ({}); {ran}", refusal.code, refusal.code.message()))
}
