//! What the records of servers that ended say together.

use std::{
    collections::{BTreeMap, BTreeSet},
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
/// Time in which records about one server are about the same end.
const SAME_END_WINDOW: Duration = Duration::from_secs(2);

/// Finds the parts that explain several ends.
///
/// The first parts of prompts are shared by most requests, so they come with each harmful part. They
/// count only in records that no later part explains.
pub(super) fn find_blocked(
    records: &BTreeMap<(ServerId, RequestId), CrashRecord>,
) -> BTreeMap<InputDigest, BlockedInput> {
    let mut blocked = BTreeMap::new();
    let (mut first, mut later) = (BTreeSet::new(), BTreeSet::new());
    for record in records.values() {
        let is_first = |it: &InputDigest| record.parts.first() == Some(it);
        let (firsts, laters): (Vec<_>, Vec<_>) = record.suspects().partition(is_first);
        first.extend(firsts);
        later.extend(laters);
    }
    for part in &later {
        let with_part: Vec<_> = records.iter().filter(|it| it.1.is_suspect(*part)).collect();
        blocked.extend(judge(&with_part, Some(MIN_PART_BATCH)).map(|it| (*part, it)));
    }
    let explained: BTreeSet<InputDigest> = blocked.keys().copied().collect();
    for part in first.difference(&later) {
        let is_unexplained = |it: &CrashRecord| !it.suspects().any(|it| explained.contains(&it));
        let with_part: Vec<_> =
            records.iter().filter(|it| it.1.is_suspect(*part) && is_unexplained(it.1)).collect();
        // Most requests may share it: one bad moment must not refuse them all.
        blocked.extend(judge(&with_part, None).map(|it| (*part, it)));
    }
    blocked.extend(find_blocked_requests(records));
    blocked
}

/// Finds the whole requests that explain several ends.
fn find_blocked_requests(
    records: &BTreeMap<(ServerId, RequestId), CrashRecord>,
) -> BTreeMap<InputDigest, BlockedInput> {
    let mut by_content: BTreeMap<InputDigest, Vec<_>> = BTreeMap::new();
    for (key, record) in records {
        if let Some(content) = record.suspect_content() {
            by_content.entry(content).or_default().push((key, record));
        }
    }
    let judged = by_content.into_iter().map(|(content, records)| (content, find_ends(&records)));
    // A popular request may be in progress at many servers that end at once for another reason.
    judged
        .filter(|(_, ends)| ends.len() >= MIN_ENDS)
        .map(|(content, ends)| {
            (content, BlockedInput { combination: BTreeSet::new(), end_count: ends.len() })
        })
        .collect()
}

/// Decides whether the records, which have a part in common, block it: by ends at different times, or
/// by as many at once as `min_batch`.
fn judge(
    records: &[(&(ServerId, RequestId), &CrashRecord)],
    min_batch: Option<usize>,
) -> Option<BlockedInput> {
    let ends = find_ends(records);
    let weight: usize = ends.iter().map(|it| if it.is_confirmed { 2 } else { 1 }).sum();
    let confirmed: Vec<_> = records.iter().filter(|it| it.1.is_confirmed).copied().collect();
    let is_batch = min_batch.is_some_and(|it| has_batch(&find_ends(&confirmed), it));
    if weight < 2 * MIN_ENDS && !is_batch {
        return None;
    }
    let end_count = ends.len();
    let mut sets = records.iter().map(|it| it.1.suspects().collect::<BTreeSet<_>>());
    let first = sets.next()?;
    let combination = sets.fold(first, |common, it| &common & &it);
    Some(BlockedInput { combination, end_count })
}

/// Ends of servers that may share a cause.
struct EndGroup<'a> {
    at: EvidenceTime,
    servers: BTreeSet<&'a ServerId>,
    /// Whether one of the servers is known to have begun to answer.
    is_confirmed: bool,
}

/// Groups the ends of servers by time.
fn find_ends<'a>(records: &[(&'a (ServerId, RequestId), &'a CrashRecord)]) -> Vec<EndGroup<'a>> {
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

/// Whether at least `min_size` servers ended at the same time.
fn has_batch(groups: &[EndGroup<'_>], min_size: usize) -> bool {
    groups.iter().any(|it| it.servers.len() >= min_size)
}
