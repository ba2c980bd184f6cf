//! What the records of servers that ended say together.

use std::{
    collections::{BTreeMap, BTreeSet, HashSet},
    time::Duration,
};

use super::{BlockedInput, CrashRecord, EvidenceTime};
use crate::units::{InputDigest, RequestId, ServerId};

/// Number of ends that block an input. One may be a coincidence: servers also end for other reasons.
const MIN_ENDS: usize = 2;
/// Ends of several servers within this time count once: they may share another cause, such as a
/// failure domain that lost its power.
const COMMON_CAUSE_WINDOW: Duration = Duration::from_millis(100);
/// Number of servers whose ends within [`COMMON_CAUSE_WINDOW`] block a part that is not the first of
/// the prompts. Five ends are all that gateways may need to learn of it.
const MIN_PART_BATCH: usize = 5;
/// Number of servers whose ends within [`COMMON_CAUSE_WINDOW`] put a whole request on trial.
const MIN_REQUEST_BATCH: usize = 3;
/// Time after which all gateways know that an input is on trial.
const TRIAL_DELAY: Duration = Duration::from_secs(1);
/// Number of parts in the same records up to which each is listed as blocked.
const MAX_LISTED_PARTS: usize = 32;
/// Time in which records about one server are about the same end.
const SAME_END_WINDOW: Duration = Duration::from_secs(2);

/// What all records say together.
#[derive(Clone, Debug, Default)]
pub(super) struct Findings {
    /// Inputs that explain several ends.
    pub(super) blocked: BTreeMap<InputDigest, BlockedInput>,
    /// Inputs that many servers had in progress when they ended at the same time, with that time.
    pub(super) trials: BTreeMap<InputDigest, EvidenceTime>,
    /// All inputs of records that nothing excuses.
    pub(super) suspects: HashSet<InputDigest>,
}

impl Findings {
    pub(super) fn is_empty(&self) -> bool {
        self.blocked.is_empty() && self.trials.is_empty()
    }

    /// Adds the verdict on parts that are in the same records. A request is refused only if it has all
    /// that are blocked, so of many one stands for the others.
    fn add_group(&mut self, parts: &[InputDigest], verdict: &InputVerdict) {
        let max_listed = match verdict {
            InputVerdict::Blocked(_) if parts.len() > MAX_LISTED_PARTS => 1,
            InputVerdict::Blocked(_) | InputVerdict::OnTrial(_) | InputVerdict::Unknown => {
                parts.len()
            }
        };
        for part in &parts[..max_listed] {
            self.add(*part, verdict.clone());
        }
    }

    fn add(&mut self, input: InputDigest, verdict: InputVerdict) {
        match verdict {
            InputVerdict::Unknown => {}
            InputVerdict::OnTrial(since) => {
                self.trials.insert(input, since);
            }
            InputVerdict::Blocked(blocked) => {
                self.blocked.insert(input, blocked);
            }
        }
    }
}

/// What the records with an input in common say about it.
#[derive(Clone)]
enum InputVerdict {
    Unknown,
    OnTrial(EvidenceTime),
    Blocked(BlockedInput),
}

type RecordEntry<'a> = (&'a (ServerId, RequestId), &'a CrashRecord);

/// Finds the inputs that explain ends.
///
/// The first parts of prompts are shared by most requests, so they come with each harmful part. They
/// count only in records that no later part explains.
pub(super) fn find_inputs(records: &BTreeMap<(ServerId, RequestId), CrashRecord>) -> Findings {
    let mut findings = Findings::default();
    let entries: Vec<RecordEntry<'_>> = records.iter().collect();
    let mut later = BTreeSet::new();
    // Prompts may have hundreds of parts, most of which are in one record only: sorted, so that each
    // record is looked at once.
    let mut held: Vec<(InputDigest, usize)> = Vec::new();
    for (n, (_, record)) in entries.iter().enumerate() {
        for part in record.suspects() {
            held.push((part, n));
            if record.parts.first() != Some(&part) {
                later.insert(part);
            }
        }
        findings.suspects.extend(record.suspects().chain(record.suspect_content()));
    }
    held.sort_unstable();
    held.dedup();
    // Parts that are in the same records.
    let mut groups: BTreeMap<(bool, Vec<usize>), Vec<InputDigest>> = BTreeMap::new();
    for same_part in held.chunk_by(|one, other| one.0 == other.0) {
        let [(part, _), _, ..] = same_part else {
            // A part of a single record: one end is no evidence.
            continue;
        };
        let holders = same_part.iter().map(|it| it.1).collect();
        groups.entry((!later.contains(part), holders)).or_default().push(*part);
    }
    let (laters, firsts): (Vec<_>, Vec<_>) = groups.into_iter().partition(|it| !it.0.0);
    for ((_, holders), parts) in laters {
        let with_part: Vec<_> = holders.iter().map(|it| entries[*it]).collect();
        let verdict = judge_part(&with_part, PartPlace::Later);
        findings.add_group(&parts, &verdict);
    }
    let explained: BTreeSet<InputDigest> =
        findings.blocked.keys().chain(findings.trials.keys()).copied().collect();
    let is_unexplained = |it: &RecordEntry<'_>| !it.1.suspects().any(|it| explained.contains(&it));
    for ((_, holders), parts) in firsts {
        let with_part: Vec<_> =
            holders.iter().map(|it| entries[*it]).filter(is_unexplained).collect();
        let verdict = judge_part(&with_part, PartPlace::First);
        findings.add_group(&parts, &verdict);
    }
    let mut by_content: BTreeMap<InputDigest, Vec<_>> = BTreeMap::new();
    for (key, record) in records {
        if let Some(content) = record.suspect_content() {
            by_content.entry(content).or_default().push((key, record));
        }
    }
    for (content, records) in by_content {
        findings.add(content, judge_request(&records));
    }
    findings
}

/// Decides about a whole request. A popular one may be in progress at many servers that end at once
/// for another reason, so that alone does not block it.
fn judge_request(records: &[RecordEntry<'_>]) -> InputVerdict {
    let ends = find_ends(records);
    if ends.len() >= MIN_ENDS {
        let combination = BTreeSet::new();
        return InputVerdict::Blocked(BlockedInput { combination, end_count: ends.len() });
    }
    find_batch(&ends, MIN_REQUEST_BATCH).map_or(InputVerdict::Unknown, InputVerdict::OnTrial)
}

/// Place of a part in the prompts.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum PartPlace {
    /// Most requests may share it: one bad moment must not refuse them all.
    First,
    Later,
}

/// Decides about a part, by ends at different times or by many at once.
fn judge_part(records: &[RecordEntry<'_>], place: PartPlace) -> InputVerdict {
    let ends = find_ends(records);
    let weight: usize = ends.iter().map(|it| if it.is_confirmed { 2 } else { 1 }).sum();
    let confirmed: Vec<_> = records.iter().filter(|it| it.1.is_confirmed).copied().collect();
    let has_batch = find_batch(&find_ends(&confirmed), MIN_PART_BATCH).is_some();
    let on_trial = find_batch(&ends, MIN_PART_BATCH);
    let is_known = weight >= 2 * MIN_ENDS
        || place == PartPlace::Later
            && (has_batch || on_trial.is_some_and(|it| has_failed_trial(&ends, it)));
    if is_known {
        let mut sets = records.iter().map(|it| it.1.suspects().collect::<BTreeSet<_>>());
        let Some(first) = sets.next() else { return InputVerdict::Unknown };
        let combination = sets.fold(first, |common, it| &common & &it);
        return InputVerdict::Blocked(BlockedInput { combination, end_count: ends.len() });
    }
    on_trial.map_or(InputVerdict::Unknown, InputVerdict::OnTrial)
}

/// Whether few servers have ended while an input was on trial since a time. It is in progress at few
/// servers then, so that this is hardly a coincidence.
fn has_failed_trial(ends: &[EndGroup<'_>], since: EvidenceTime) -> bool {
    let is_trial = |it: &&EndGroup<'_>| it.servers.len() < MIN_REQUEST_BATCH;
    ends.iter().filter(is_trial).any(|it| it.at >= since.after(TRIAL_DELAY))
}

/// Ends of servers that may share a cause.
struct EndGroup<'a> {
    at: EvidenceTime,
    servers: BTreeSet<&'a ServerId>,
    /// Whether one of the servers is known to have begun to answer.
    is_confirmed: bool,
}

/// Groups the ends of servers by time.
fn find_ends<'a>(records: &[RecordEntry<'a>]) -> Vec<EndGroup<'a>> {
    let mut sorted: Vec<(EvidenceTime, &ServerId, bool)> =
        records.iter().map(|(key, it)| (it.at, &key.0, it.is_confirmed)).collect();
    sorted.sort_unstable();
    let mut groups: Vec<EndGroup<'_>> = Vec::new();
    for (at, server, is_confirmed) in sorted {
        let same_end = groups
            .iter()
            .rposition(|it| it.servers.contains(server) && it.at.is_within(SAME_END_WINDOW, at));
        let simultaneous = groups
            .len()
            .checked_sub(1)
            .filter(|it| groups[*it].at.is_within(COMMON_CAUSE_WINDOW, at));
        match same_end.or(simultaneous) {
            Some(index) => {
                groups[index].servers.insert(server);
                groups[index].is_confirmed |= is_confirmed;
            }
            None => groups.push(EndGroup { at, servers: BTreeSet::from([server]), is_confirmed }),
        }
    }
    groups
}

/// Returns the latest time at which at least `min_size` servers ended at once.
fn find_batch(groups: &[EndGroup<'_>], min_size: usize) -> Option<EvidenceTime> {
    groups.iter().filter(|it| it.servers.len() >= min_size).map(|it| it.at).max()
}
