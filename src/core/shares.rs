//! Division of each account's plan limits among the entries according to demand.
//!
//! Every account has a home entry, selected by hashing. Entries that receive requests of the
//! account report their demand to its home entry every second and get a share of the limits back: a
//! minimum for each entry, and the rest in proportion to demand. Shares expire. An entry without a
//! fresh share, for instance because it cannot reach the home entry, uses an equal share (one over
//! the number of entries) instead.
//! During a network partition each side thus stays within its part of the limits.

use std::{
    collections::{BTreeMap, HashMap},
    time::Duration,
};

use serde::{Deserialize, Serialize};
use xxhash_rust::xxh3::xxh3_64_with_seed;

use crate::units::{ClientAccount, Moment, VmId};

/// Fraction of an account's limits that is divided equally among the entries, regardless of demand.
const EQUAL_SPLIT_FRACTION: f64 = 0.2;
/// Time after which a share expires unless it is granted again.
const SHARE_TTL: Duration = Duration::from_secs(3);
/// Time until every entry that receives requests of a new account has reported once. Until then no
/// share exceeds the equal one, since other entries may still use theirs.
const FIRST_REPORTS_WINDOW: Duration = Duration::from_millis(1_500);
/// Weight of the latest interval in the moving average of an entry's demand.
const LATEST_DEMAND_WEIGHT: f64 = 0.5;
/// Demand in requests per second below which an entry no longer tracks and reports an account.
const MIN_TRACKED_RATE: f64 = 0.05;

/// Demand for one account at one entry.
#[derive(Clone, Debug, PartialEq)]
#[derive(Serialize, Deserialize)]
pub struct DemandReport {
    /// Account of the requests.
    pub account: ClientAccount,
    /// Requests per second that arrived, including refused ones.
    pub rate: f64,
}

/// The share of an account's limits that one entry may use.
#[derive(Clone, Debug, PartialEq)]
#[derive(Serialize, Deserialize)]
pub struct ShareGrant {
    /// Account to which the share applies.
    pub account: ClientAccount,
    /// Fraction of the account's plan limits, from 0 to 1.
    pub share: f64,
}

#[derive(Clone, Debug, Default, PartialEq)]
struct LocalDemand {
    /// Requests in the current demand interval.
    requests: u32,
    /// Moving average of the requests per second.
    rate: f64,
    /// Latest granted share, and when it was granted.
    granted: Option<(f64, Moment)>,
}

/// Demand for each account at this entry, and the shares that it was granted.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct DemandTable {
    accounts: HashMap<ClientAccount, LocalDemand>,
    /// Start of the current demand interval.
    interval_start: Moment,
}

impl DemandTable {
    /// Counts one request of the account.
    pub fn record_request(&mut self, account: &ClientAccount) {
        match self.accounts.get_mut(account) {
            Some(demand) => demand.requests += 1,
            None => {
                let demand = LocalDemand { requests: 1, ..LocalDemand::default() };
                self.accounts.insert(account.clone(), demand);
            }
        }
    }

    /// Ends the demand interval and returns the demand for all accounts that are still in use.
    pub fn close_interval(&mut self, now: Moment) -> Vec<DemandReport> {
        let seconds = now.since(self.interval_start).as_secs_f64().max(f64::MIN_POSITIVE);
        self.interval_start = now;
        for demand in self.accounts.values_mut() {
            let latest = f64::from(std::mem::take(&mut demand.requests)) / seconds;
            demand.rate += (latest - demand.rate) * LATEST_DEMAND_WEIGHT;
        }
        self.accounts.retain(|_, it| it.rate >= MIN_TRACKED_RATE);
        let report = |(account, it): (&ClientAccount, &LocalDemand)| DemandReport {
            account: account.clone(),
            rate: it.rate,
        };
        self.accounts.iter().map(report).collect()
    }

    /// Stores the shares granted by a home entry.
    pub fn apply_grants(&mut self, grants: Vec<ShareGrant>, now: Moment) {
        for grant in grants {
            if let Some(demand) = self.accounts.get_mut(&grant.account) {
                demand.granted = Some((grant.share, now));
            }
        }
    }

    /// Returns the share of an account: the granted one, or `equal` if no granted share is fresh.
    pub fn share(&self, account: &ClientAccount, equal: f64, now: Moment) -> f64 {
        let granted = self.accounts.get(account).and_then(|it| it.granted);
        match granted {
            Some((share, at)) if now.since(at) < SHARE_TTL => share,
            Some(_) | None => equal,
        }
    }

    /// Returns all granted shares that have not expired.
    pub fn fresh_shares(&self, now: Moment) -> BTreeMap<ClientAccount, f64> {
        let fresh = self.accounts.iter().filter_map(|(account, it)| {
            let (share, at) = it.granted?;
            (now.since(at) < SHARE_TTL).then(|| (account.clone(), share))
        });
        fresh.collect()
    }
}

/// Demand of one entry for one account, and the share granted to it.
#[derive(Clone, Copy, Debug, PartialEq)]
struct EntryDemand {
    rate: f64,
    granted: f64,
    reported_at: Moment,
}

#[derive(Clone, Debug, PartialEq)]
struct AccountShares {
    first_report_at: Moment,
    entries: BTreeMap<VmId, EntryDemand>,
}

/// Grants shares of all accounts whose home entry is this entry.
///
/// Fresh shares of an account add up to at most 1: the share of an entry grows only after the other
/// entries were granted less or their shares have expired. The one exception is an entry that
/// joins: it gets its minimum share at once, before the other shares shrink.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct ShareAllocator {
    accounts: HashMap<ClientAccount, AccountShares>,
}

impl ShareAllocator {
    /// Records the demand that `entry` reports and returns its shares. `n_entries` is the total
    /// number of entries.
    ///
    /// ```
    /// use alderbay::{core::{DemandReport, ShareAllocator}, units::Moment};
    /// let mut allocator = ShareAllocator::default();
    /// let reports = vec![DemandReport { account: "dues".parse()?, rate: 5.0 }];
    /// // At first the other entries may still use equal shares.
    /// let grants = allocator.allocate(&"e-1".parse()?, reports.clone(), 4, Moment(0));
    /// assert_eq!(grants[0].share, 0.25);
    /// let grants = allocator.allocate(&"e-1".parse()?, reports, 4, Moment(2_000_000));
    /// assert!((grants[0].share - 0.85).abs() < 1e-9);
    /// # Ok::<(), alderbay::units::IdError>(())
    /// ```
    pub fn allocate(
        &mut self,
        entry: &VmId,
        reports: Vec<DemandReport>,
        n_entries: usize,
        now: Moment,
    ) -> Vec<ShareGrant> {
        let grant = |report: DemandReport| {
            let account = self.accounts.entry(report.account.clone()).or_insert_with(|| {
                AccountShares { first_report_at: now, entries: BTreeMap::new() }
            });
            let share = account.grant(entry, report.rate, n_entries.max(1) as f64, now);
            ShareGrant { account: report.account, share }
        };
        let grants = reports.into_iter().map(grant).collect();
        self.accounts.retain(|_, it| it.entries.values().any(|demand| demand.is_fresh(now)));
        grants
    }
}

impl EntryDemand {
    fn is_fresh(&self, now: Moment) -> bool {
        now.since(self.reported_at) < SHARE_TTL
    }
}

impl AccountShares {
    fn grant(&mut self, entry: &VmId, rate: f64, n_entries: f64, now: Moment) -> f64 {
        self.entries.retain(|vm, it| vm == entry || it.is_fresh(now));
        let others = || self.entries.iter().filter(|(vm, _)| *vm != entry).map(|it| it.1);
        let total = rate + others().map(|it| it.rate).sum::<f64>();
        let by_demand = if total > 0.0 { rate / total } else { 0.0 };
        let min_share = EQUAL_SPLIT_FRACTION / n_entries;
        let target = min_share + (1.0 - EQUAL_SPLIT_FRACTION) * by_demand;
        // Entries without a fresh report still hold their minimum share.
        let n_silent = (n_entries - 1.0 - others().count() as f64).max(0.0);
        let free = 1.0 - others().map(|it| it.granted).sum::<f64>() - n_silent * min_share;
        let is_new = now.since(self.first_report_at) < FIRST_REPORTS_WINDOW;
        let limit = if is_new { free.min(1.0 / n_entries) } else { free };
        // An entry that has just joined may find nothing free, but gets its minimum share at once.
        let granted = target.min(limit).max(min_share);
        self.entries.insert(entry.clone(), EntryDemand { rate, granted, reported_at: now });
        granted
    }
}

/// Returns the home entry of an account: the entry that divides the account's limits among all
/// entries. All processes that see the same entries select the same one. Returns `None` if there is
/// no entry.
///
/// ```
/// use alderbay::core::home_entry;
/// let entries = ["e-1".parse()?, "e-2".parse()?];
/// let account = "dues".parse()?;
/// assert_eq!(home_entry(entries.iter(), &account), home_entry(entries.iter().rev(), &account));
/// # Ok::<(), alderbay::units::IdError>(())
/// ```
pub fn home_entry<'a>(
    entries: impl Iterator<Item = &'a VmId>,
    account: &ClientAccount,
) -> Option<&'a VmId> {
    let seed = xxh3_64_with_seed(account.as_str().as_bytes(), 0);
    entries.max_by_key(|vm| (xxh3_64_with_seed(vm.as_str().as_bytes(), seed), (*vm).clone()))
}

#[cfg(test)]
mod tests {
    use googletest::prelude::*;
    use proptest::prelude::*;

    use super::*;

    fn reports(rate: f64) -> Vec<DemandReport> {
        vec![DemandReport { account: "a".parse().unwrap(), rate }]
    }

    proptest! {
        #[test]
        fn granted_shares_sum_to_at_most_one(
            reported in proptest::collection::vec((0_usize..8, 0.0_f64..1e6, 0_u64..900_000), 1..80),
        ) {
            let mut allocator = ShareAllocator::default();
            let mut granted: BTreeMap<usize, (f64, Moment)> = BTreeMap::new();
            let mut now = Moment(0);
            for (entry, rate, pause) in reported {
                now = Moment(now.0 + pause);
                let vm = format!("e-{entry}").parse().unwrap();
                let share = allocator.allocate(&vm, reports(rate), 8, now)[0].share;
                granted.insert(entry, (share, now));
                let fresh = granted.values().filter(|it| now.since(it.1) < SHARE_TTL);
                let sum: f64 = fresh.map(|it| it.0).sum();
                prop_assert!(sum <= 1.0 + 1e-9, "shares sum to {sum}");
            }
        }
    }

    #[gtest]
    fn new_entry_gets_minimum_share_at_once() {
        let mut allocator = ShareAllocator::default();
        let (one, two) = ("e-1".parse().unwrap(), "e-2".parse().unwrap());
        let mut share =
            |vm, n_entries, now| allocator.allocate(vm, reports(5.0), n_entries, now)[0].share;
        share(&one, 1, Moment(0));
        let now = Moment(0).after(FIRST_REPORTS_WINDOW);
        assert_that!(share(&one, 1, now), near(1.0, 1e-9));
        assert_that!(share(&two, 2, now), near(0.1, 1e-9));
    }

    #[gtest]
    fn share_follows_demand_and_expires() {
        let account = "a".parse().unwrap();
        let mut table = DemandTable::default();
        table.record_request(&account);
        let now = Moment(1_000_000);
        assert_that!(table.close_interval(now), len(eq(1)));
        assert_that!(table.share(&account, 0.25, now), eq(0.25));
        table.apply_grants(vec![ShareGrant { account: account.clone(), share: 0.9 }], now);
        assert_that!(table.share(&account, 0.25, now), eq(0.9));
        let later = now.after(SHARE_TTL);
        assert_that!(table.share(&account, 0.25, later), eq(0.25));
        let mut allocator = ShareAllocator::default();
        let (one, two) = ("e-1".parse().unwrap(), "e-2".parse().unwrap());
        let mut share = |vm, rate, now| allocator.allocate(vm, reports(rate), 2, now)[0].share;
        assert_that!(share(&one, 9.0, now), eq(0.5));
        let now = now.after(FIRST_REPORTS_WINDOW);
        assert_that!(share(&one, 9.0, now), near(0.9, 1e-9));
        // The share of the second entry grows only after the first was granted less.
        assert_that!(share(&two, 9.0, now), near(0.1, 1e-9));
        assert_that!(share(&one, 9.0, now), near(0.5, 1e-9));
        assert_that!(share(&two, 9.0, now), near(0.5, 1e-9));
        // The first entry's share has expired, so the second gets all but its minimum share.
        assert_that!(share(&two, 1.0, now.after(SHARE_TTL)), near(0.9, 1e-9));
    }
}
