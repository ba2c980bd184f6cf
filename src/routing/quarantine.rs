//! Inputs that end the servers that serve them.
//!
//! A part of a prompt may make each server end that begins to answer a request with it, whatever
//! else the request holds; a whole request may end each server that begins to run it, and come again
//! unchanged. Such requests must be refused before they reach a server, by all gateways, since
//! callers send them to any. The evidence:
//!
//! - a [`CrashRecord`] says that a server ended as it ran this request, and whether it had begun to
//!   answer it;
//! - an answer that goes on shows that neither the request nor any of its parts does this, so they
//!   are excused from all records about that time.
//!
//! A whole request is blocked once two ends at different times have it in common and nothing
//! excuses it. All other requests in progress on those servers leave records too; the answer to their
//! next attempt excuses them.
//!
//! A part is blocked once two ends at different times have it in common and nothing excuses
//! it. Parts end servers as they begin to answer. Where nothing of an answer arrived, it may have been
//! lost with the server, or the request may only have waited there, so two such ends count as one.
//!
//! Ends at the same time may share another cause and count once. A part is blocked all the same if
//! five servers ended at once as they began to answer: callers may send as many requests
//! with it again.
//!
//! A whole request, or a first part, under which many servers ended at once may be popular and sound,
//! or harmful and sent in many copies. It is put *on trial*: few gateways send it, one at a time, until
//! an answer excuses it or another end blocks it.
//!
//! Parts that always came together with it and are not excused either are blocked only together
//! with it: requests with one of them go on, and their answers excuse it.
//!
//! Gateways exchange their records. Merging is idempotent, commutative and only adds, so any order
//! and any number of exchanges give the same table, up to its bound.

mod evidence;
mod harmless;

use std::{
    cmp::Reverse,
    collections::{BTreeMap, BTreeSet},
    hash::{DefaultHasher, Hash, Hasher},
    time::Duration,
};

use serde::{Deserialize, Serialize};

use super::RoutingChange;
use crate::units::{InputDigest, Moment, RequestId, ServerId};
use evidence::{Findings, find_inputs};
use harmless::HarmlessInputs;

/// Time for which an answer that went on excuses what its request held from later records. Bounded
/// because a new version of the model may fail where the last one did not.
const EXCUSE_TTL: Duration = Duration::from_secs(60);
/// Maximum number of records that are kept.
const MAX_RECORDS: usize = 64;
/// Maximum number of records sent to another gateway at once.
const MAX_REPORTS: usize = 24;
/// Number of these that may be records in which everything is excused, so that others learn of it.
const MIN_EXCUSED_REPORTS: usize = 8;
/// Time for which records that block nothing are exchanged.
const EXCHANGE_TTL: Duration = Duration::from_secs(60);
/// Number of parts up to which a record holds all parts of its prompt. Of longer prompts it leaves out
/// those that are known to be harmless.
const WHOLE_RECORD_PARTS: usize = 32;
/// Maximum number of parts of a record.
const MAX_RECORD_PARTS: usize = 1_024;
/// Maximum number of digests in all records that are sent to another gateway at once.
const MAX_REPORT_DIGESTS: usize = 4_096;

/// Point in time on this process's clock, which may lie before its start.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
struct EvidenceTime(i64);

impl EvidenceTime {
    fn at(now: Moment, age: Duration) -> Self {
        let micros = |it: u128| i64::try_from(it).unwrap_or(i64::MAX);
        Self(micros(now.0.into()).saturating_sub(micros(age.as_micros())))
    }

    fn age(self, now: Moment) -> Duration {
        let micros = Self::at(now, Duration::ZERO).0.saturating_sub(self.0);
        Duration::from_micros(u64::try_from(micros).unwrap_or(0))
    }

    fn is_within(self, window: Duration, other: Self) -> bool {
        u128::from(self.0.abs_diff(other.0)) < window.as_micros()
    }

    fn after(self, delay: Duration) -> Self {
        Self(self.0.saturating_add(i64::try_from(delay.as_micros()).unwrap_or(i64::MAX)))
    }
}

/// What a request holds that may end servers.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct SuspectInput {
    /// Digests of the shared parts of the prompt, in order.
    pub parts: Vec<InputDigest>,
    /// Whether the server had begun to answer. Parts end servers only then.
    pub is_confirmed: bool,
    /// Digest of the whole request; gateways of earlier releases do not send it.
    pub content: Option<InputDigest>,
}

/// What is kept of a request whose server ended as it ran it.
#[derive(Clone, Debug, PartialEq)]
struct CrashRecord {
    at: EvidenceTime,
    /// Digests of the shared parts of the prompt, in order.
    parts: Vec<InputDigest>,
    /// Whether the server is known to have begun to answer.
    is_confirmed: bool,
    /// Digest of the whole request.
    content: Option<InputDigest>,
    /// Inputs that later or slightly earlier answers have shown to be harmless.
    excused: BTreeSet<InputDigest>,
}

impl CrashRecord {
    fn suspects(&self) -> impl Iterator<Item = InputDigest> + '_ {
        self.parts.iter().copied().filter(|it| !self.excused.contains(it))
    }

    fn suspect_content(&self) -> Option<InputDigest> {
        self.content.filter(|it| !self.excused.contains(it))
    }

    fn holds(&self, input: &InputDigest) -> bool {
        self.parts.contains(input) || self.content.as_ref() == Some(input)
    }
}

/// A request whose server ended as it ran it, in the form in which gateways send it to each other.
#[derive(Clone, Debug, PartialEq)]
#[derive(Serialize, Deserialize)]
pub struct CrashReport {
    /// The server that ended.
    pub server: ServerId,
    /// The request that it ran.
    pub request: RequestId,
    /// Digests of the shared parts of the prompt, in order; empty if the server is not known to have
    /// begun to answer.
    pub parts: Vec<InputDigest>,
    /// The same of a request whose server is not known to have begun to answer. Apart from the others,
    /// which gateways of earlier releases take for confirmed.
    #[serde(default)]
    pub unconfirmed_parts: Vec<InputDigest>,
    /// Digest of the whole request; gateways of earlier releases do not send it.
    #[serde(default)]
    pub content: Option<InputDigest>,
    /// Inputs that are known to be harmless.
    pub excused: BTreeSet<InputDigest>,
    /// Time since the server ended, in milliseconds.
    pub age_ms: u64,
}

/// A part of prompts, or a whole request, that is blocked.
#[derive(Clone, Debug, PartialEq)]
#[derive(Serialize, Deserialize)]
pub struct BlockedInput {
    /// All parts that a request must have to be refused: this one, and those that came with it in
    /// all records and that nothing excuses. Empty for a whole request.
    pub combination: BTreeSet<InputDigest>,
    /// Number of server ends that the input explains; ends at the same time count once.
    pub end_count: usize,
}

/// How much depends on a record, from what is forgotten first.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum RecordWeight {
    Excused,
    Suspect,
    OnTrial,
    Blocks,
}

/// What one gateway knows about inputs that end servers.
#[derive(Clone, Debug, Default)]
pub struct QuarantineTable {
    records: BTreeMap<(ServerId, RequestId), CrashRecord>,
    harmless_parts: HarmlessInputs,
    harmless_requests: HarmlessInputs,
    findings: Findings,
}

/// An input that is neither blocked nor excused, but that many servers had in progress when they ended
/// at the same time.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct InputTrial {
    /// The part or request.
    pub input: InputDigest,
    /// Time since the servers ended.
    pub age: Duration,
}

/// Result of a change of the table.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct QuarantineUpdate {
    /// Whether there is something that other gateways may not know.
    pub has_news: bool,
    /// Parts that are blocked now or no longer, and parts that a record has no room for.
    pub changes: Vec<RoutingChange>,
}

impl QuarantineTable {
    /// Returns why a request with these shared parts must not be sent, or `None` if it may be.
    pub fn blocked_part(&self, parts: &[InputDigest]) -> Option<(InputDigest, &BlockedInput)> {
        parts.iter().find_map(|part| {
            let blocked = self.findings.blocked.get(part)?;
            let is_match = blocked.combination.iter().all(|it| parts.contains(it));
            is_match.then_some((*part, blocked))
        })
    }

    /// Returns all blocked parts.
    pub fn blocked(&self) -> &BTreeMap<InputDigest, BlockedInput> {
        &self.findings.blocked
    }

    /// Returns why this whole request must not be sent, or `None` if it may be.
    pub fn blocked_request(&self, content: InputDigest) -> Option<&BlockedInput> {
        self.findings.blocked.get(&content)
    }

    /// Returns the inputs on trial that a request holds.
    pub fn trials_of(
        &self,
        content: InputDigest,
        parts: &[InputDigest],
        now: Moment,
    ) -> Vec<InputTrial> {
        let inputs = parts.iter().copied().chain([content]);
        let trial = |input: InputDigest| {
            let since = self.findings.trials.get(&input)?;
            Some(InputTrial { input, age: since.age(now) })
        };
        inputs.filter_map(trial).collect()
    }

    /// Whether a server has ended as it ran this request, and nothing excuses it.
    pub fn has_ended_server(&self, content: InputDigest) -> bool {
        self.records.values().any(|it| it.suspect_content() == Some(content))
    }

    /// Whether a server has ended as it ran a request with one of these parts, and nothing excuses it.
    pub fn has_ended_server_with(&self, parts: &[InputDigest]) -> bool {
        parts.iter().any(|it| self.findings.suspects.contains(it))
    }

    /// Whether nothing is recorded.
    pub fn is_empty(&self) -> bool {
        self.records.is_empty()
    }

    /// Whether there are records that gateways which missed them must be told.
    pub fn has_reports(&self, now: Moment) -> bool {
        !self.findings.is_empty() || self.records.values().any(|it| it.at.age(now) < EXCHANGE_TTL)
    }

    /// Whether answers to requests with each of these parts have gone on lately.
    pub fn are_harmless(&self, parts: &[InputDigest], now: Moment) -> bool {
        let at = EvidenceTime::at(now, Duration::ZERO);
        parts.iter().all(|it| self.harmless_parts.excuses(*it, at))
    }

    /// Whether this request has been answered lately.
    pub fn is_harmless(&self, content: InputDigest, now: Moment) -> bool {
        self.harmless_requests.excuses(content, EvidenceTime::at(now, Duration::ZERO))
    }

    /// Records that a server ended as it ran a request.
    pub fn record_end(
        &mut self,
        server: ServerId,
        request: RequestId,
        SuspectInput { parts, is_confirmed, content }: SuspectInput,
        now: Moment,
    ) -> QuarantineUpdate {
        let (parts, unconfirmed_parts) = split_parts(parts, is_confirmed);
        let excused = BTreeSet::new();
        let report =
            CrashReport { server, request, parts, unconfirmed_parts, content, excused, age_ms: 0 };
        self.merge(vec![report], now)
    }

    /// Records that the answer to a request has gone on.
    pub fn record_harmless(&mut self, input: &SuspectInput, now: Moment) -> QuarantineUpdate {
        let at = EvidenceTime::at(now, Duration::ZERO);
        for part in &input.parts {
            self.harmless_parts.insert(*part, at);
        }
        if let Some(content) = input.content {
            self.harmless_requests.insert(content, at);
        }
        if self.records.is_empty() {
            return QuarantineUpdate::default();
        }
        let inputs: Vec<InputDigest> = input.parts.iter().copied().chain(input.content).collect();
        self.excuse(&inputs, |record| record.at < at.after(EXCUSE_TTL))
    }

    /// Lifts the block of an input on an operator's order: no record up to now counts against it.
    pub fn lift(&mut self, input: InputDigest) -> QuarantineUpdate {
        self.excuse(&[input], |_| true)
    }

    fn excuse(
        &mut self,
        inputs: &[InputDigest],
        applies: impl Fn(&CrashRecord) -> bool,
    ) -> QuarantineUpdate {
        let mut has_news = false;
        // Most requests hold nothing that is suspected.
        let suspects = &self.findings.suspects;
        let inputs: Vec<InputDigest> =
            inputs.iter().copied().filter(|it| suspects.contains(it)).collect();
        for record in self.records.values_mut().filter(|it| applies(it)) {
            let held = inputs.iter().copied().filter(|it| record.holds(it));
            for input in held.collect::<Vec<_>>() {
                has_news |= record.excused.insert(input);
            }
        }
        let changes = if has_news { self.update_findings() } else { Vec::new() };
        QuarantineUpdate { has_news, changes }
    }

    /// Merges the records of another gateway.
    pub fn merge(&mut self, reports: Vec<CrashReport>, now: Moment) -> QuarantineUpdate {
        let mut has_news = false;
        let mut changes = Vec::new();
        for report in reports {
            let (is_news, change) = self.merge_report(report, now);
            has_news |= is_news;
            changes.extend(change);
        }
        if !has_news {
            return QuarantineUpdate::default();
        }
        self.excuse_earlier_records();
        changes.extend(self.update_findings());
        self.evict();
        QuarantineUpdate { has_news, changes }
    }

    /// Applies what excuses an input from a record to all earlier ones. Not all records go with an
    /// exchange.
    fn excuse_earlier_records(&mut self) {
        let mut excused_until: BTreeMap<InputDigest, EvidenceTime> = BTreeMap::new();
        for record in self.records.values() {
            for input in &record.excused {
                let until = excused_until.entry(*input).or_insert(record.at);
                *until = record.at.max(*until);
            }
        }
        for record in self.records.values_mut() {
            let is_excused =
                |it: &InputDigest| excused_until.get(it).is_some_and(|until| record.at <= *until);
            let held = record.parts.iter().copied().chain(record.content).filter(is_excused);
            let held: Vec<InputDigest> = held.collect();
            record.excused.extend(held);
        }
    }

    /// Merges one report. Returns whether it added anything, and the change if parts are left out.
    fn merge_report(&mut self, report: CrashReport, now: Moment) -> (bool, Option<RoutingChange>) {
        let CrashReport { server, request, parts, unconfirmed_parts, content, excused, age_ms } =
            report;
        let is_confirmed = !parts.is_empty();
        let parts = if is_confirmed { parts } else { unconfirmed_parts };
        let at = EvidenceTime::at(now, Duration::from_millis(age_ms));
        let is_known = self.records.contains_key(&(server.clone(), request.clone()));
        let (parts, dropped) =
            if is_known { (Vec::new(), 0) } else { self.select_parts(parts, &request, at) };
        let change = (dropped > 0)
            .then(|| RoutingChange::EvidenceDropped { request: request.clone(), parts: dropped });
        let (harmless_parts, harmless_requests) = (&self.harmless_parts, &self.harmless_requests);
        let known = self.records.entry((server, request));
        let mut is_new = false;
        let record = known.or_insert_with(|| {
            is_new = true;
            let known_parts = parts.iter().copied().filter(|it| harmless_parts.excuses(*it, at));
            let known_content = content.filter(|it| harmless_requests.excuses(*it, at));
            let excused = known_parts.chain(known_content).collect();
            CrashRecord { at, excused, parts, is_confirmed, content }
        });
        // Transfer takes time, so the earliest time is the most precise.
        record.at = record.at.min(at);
        let known_count = record.excused.len();
        let held: Vec<InputDigest> = excused.into_iter().filter(|it| record.holds(it)).collect();
        record.excused.extend(held);
        (is_new || record.excused.len() > known_count, change)
    }

    /// Returns the parts of a prompt that a new record holds, in order, and the number of suspicious ones
    /// that it has no room for. The first part is always among them, as its place matters.
    fn select_parts(
        &self,
        parts: Vec<InputDigest>,
        request: &RequestId,
        at: EvidenceTime,
    ) -> (Vec<InputDigest>, usize) {
        if parts.len() <= WHOLE_RECORD_PARTS {
            return (parts, 0);
        }
        let mut seen = BTreeSet::new();
        let parts: Vec<InputDigest> = parts.into_iter().filter(|it| seen.insert(*it)).collect();
        let first = parts.first().copied();
        let is_harmless = |it: &InputDigest| self.harmless_parts.excuses(*it, at);
        let (harmless, mut suspicious): (Vec<_>, Vec<_>) =
            parts.iter().copied().partition(|it| is_harmless(it) && first != Some(*it));
        // Parts of other records count most. Of the others each record holds a different sample, so that
        // each part is in some of them.
        let order = |it: &InputDigest| {
            let is_elsewhere = self.findings.suspects.contains(it);
            (first != Some(*it), !is_elsewhere, sample_order(request, *it))
        };
        let dropped = suspicious.len().saturating_sub(MAX_RECORD_PARTS);
        if dropped > 0 {
            suspicious.sort_by_cached_key(order);
            suspicious.truncate(MAX_RECORD_PARTS);
        }
        let room = WHOLE_RECORD_PARTS.saturating_sub(suspicious.len());
        let kept: BTreeSet<InputDigest> =
            suspicious.into_iter().chain(harmless.into_iter().rev().take(room)).collect();
        (parts.into_iter().filter(|it| kept.contains(it)).collect(), dropped)
    }

    /// Returns the records in the form for other gateways, those that block something and then the
    /// newest first, up to a bound, with some of those that block nothing any more.
    pub fn reports(&self, now: Moment) -> Vec<CrashReport> {
        let report = |((server, request), record): (&(ServerId, RequestId), &CrashRecord)| {
            let age = record.at.age(now).as_millis();
            let (parts, unconfirmed_parts) = split_parts(record.parts.clone(), record.is_confirmed);
            CrashReport {
                server: server.clone(),
                request: request.clone(),
                parts,
                unconfirmed_parts,
                content: record.content,
                excused: record.excused.clone(),
                age_ms: u64::try_from(age).unwrap_or(u64::MAX),
            }
        };
        let mut records: Vec<_> = self.records.iter().collect();
        records.sort_by_key(|(_, it)| Reverse((self.weight(it), it.at)));
        let is_excused = |it: &CrashRecord| self.weight(it) == RecordWeight::Excused;
        let (excused, mut suspects): (Vec<_>, Vec<_>) =
            records.into_iter().partition(|it| is_excused(it.1));
        suspects.truncate(MAX_REPORTS - excused.len().min(MIN_EXCUSED_REPORTS));
        let mut room = MAX_REPORT_DIGESTS;
        let mut has_room = |it: &CrashRecord| {
            let left = room.checked_sub(it.parts.len() + it.excused.len());
            room = left.unwrap_or(room);
            left.is_some()
        };
        let records = suspects.into_iter().chain(excused).take(MAX_REPORTS);
        records.filter(|it| has_room(it.1)).map(report).collect()
    }

    /// How much depends on a record.
    fn weight(&self, record: &CrashRecord) -> RecordWeight {
        let suspects: Vec<InputDigest> =
            record.suspects().chain(record.suspect_content()).collect();
        if suspects.iter().any(|it| self.findings.blocked.contains_key(it)) {
            RecordWeight::Blocks
        } else if suspects.iter().any(|it| self.findings.trials.contains_key(it)) {
            RecordWeight::OnTrial
        } else if !suspects.is_empty() {
            RecordWeight::Suspect
        } else {
            RecordWeight::Excused
        }
    }

    /// Decides again which inputs are blocked or on trial. Returns the changes.
    fn update_findings(&mut self) -> Vec<RoutingChange> {
        let previous = std::mem::replace(&mut self.findings, find_inputs(&self.records));
        let Findings { blocked, trials, .. } = &self.findings;
        let is_changed = |part: &InputDigest, it: &BlockedInput| {
            previous.blocked.get(part).is_none_or(|known| known.combination != it.combination)
        };
        let added = blocked.iter().filter(|(part, it)| is_changed(part, it));
        let lifted = previous.blocked.keys().filter(|it| !blocked.contains_key(it));
        let begun = trials.keys().filter(|it| !previous.trials.contains_key(it));
        let ended = previous.trials.keys().filter(|it| !trials.contains_key(it));
        added
            .map(|(input, it)| RoutingChange::InputBlocked { input: *input, blocked: it.clone() })
            .chain(lifted.map(|it| RoutingChange::InputUnblocked(*it)))
            .chain(begun.map(|it| RoutingChange::TrialBegan(*it)))
            .chain(ended.map(|it| RoutingChange::TrialEnded(*it)))
            .collect()
    }

    /// Removes records above the bound: first those in which everything is excused, then the oldest
    /// of those that block nothing, so that callers who invent inputs cannot push out what blocks one.
    fn evict(&mut self) {
        while self.records.len() > MAX_RECORDS {
            let priority = |it: &CrashRecord| (self.weight(it), it.at);
            let oldest = self.records.iter().min_by_key(|(_, it)| priority(it));
            let Some(key) = oldest.map(|it| it.0.clone()) else { return };
            self.records.remove(&key);
        }
    }
}

/// Orders the parts of a request's record in another way for each request.
fn sample_order(request: &RequestId, part: InputDigest) -> u64 {
    let mut hasher = DefaultHasher::new();
    (request.as_str(), part).hash(&mut hasher);
    hasher.finish()
}

/// Returns the parts of a report: those that are confirmed, and those that are not.
fn split_parts(
    parts: Vec<InputDigest>,
    is_confirmed: bool,
) -> (Vec<InputDigest>, Vec<InputDigest>) {
    if is_confirmed { (parts, Vec::new()) } else { (Vec::new(), parts) }
}
