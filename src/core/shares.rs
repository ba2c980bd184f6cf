//! Each plan's grant split over the entries by the demand they see.
//!
//! Every account has a home among the entries, found by hashing. Entries that see requests of the
//! account report their demand to its home each second, and get their share of the grant back: a
//! floor for each entry, and the rest by demand. A share ends by itself: an entry that cannot reach
//! the home, or whose home is cut off, gives out an equal part, so that each part of a divided fleet
//! goes on within its part of the grant.

use std::{
    collections::{BTreeMap, HashMap},
    time::Duration,
};

use serde::{Deserialize, Serialize};
use xxhash_rust::xxh3::xxh3_64_with_seed;

use crate::units::{ClientAccount, Moment, VmId};

/// Part of each grant that is split evenly, whatever the demand.
const FLOOR_PART: f64 = 0.2;
/// Time after which a share that is not renewed ends.
const SHARE_LIFE: Duration = Duration::from_secs(3);
/// Time in which all entries that see an account's requests have reported for the first time.
const FIRST_REPORTS: Duration = Duration::from_millis(1_500);
/// Weight of the latest interval in an entry's demand.
const LATEST_WEIGHT: f64 = 0.5;
/// Requests a second below which an account is no longer asked for.
const LEAST_DEMAND: f64 = 0.05;

/// Demand of one account at one entry.
#[derive(Clone, Debug, PartialEq)]
#[derive(Serialize, Deserialize)]
pub struct DemandReport {
    /// The account.
    pub account: ClientAccount,
    /// Requests a second that were asked for, refused ones included.
    pub rate: f64,
}

/// The part of an account's grant that one entry may give out.
#[derive(Clone, Debug, PartialEq)]
#[derive(Serialize, Deserialize)]
pub struct ShareGrant {
    /// The account.
    pub account: ClientAccount,
    /// The part, between zero and one.
    pub share: f64,
}

#[derive(Clone, Debug, Default, PartialEq)]
struct OwnDemand {
    asked: u32,
    rate: f64,
    granted: Option<(f64, Moment)>,
}

/// Demand that this entry sees, and the shares it was granted.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct DemandTable {
    accounts: HashMap<ClientAccount, OwnDemand>,
    closed_at: Moment,
}

impl DemandTable {
    /// Counts a request.
    pub fn note(&mut self, account: &ClientAccount) {
        match self.accounts.get_mut(account) {
            Some(demand) => demand.asked += 1,
            None => {
                let demand = OwnDemand { asked: 1, ..OwnDemand::default() };
                self.accounts.insert(account.clone(), demand);
            }
        }
    }

    /// Ends an interval and gives the demand of all accounts that are still asked for.
    pub fn close_interval(&mut self, now: Moment) -> Vec<DemandReport> {
        let seconds = now.since(self.closed_at).as_secs_f64().max(f64::MIN_POSITIVE);
        self.closed_at = now;
        for demand in self.accounts.values_mut() {
            let latest = f64::from(std::mem::take(&mut demand.asked)) / seconds;
            demand.rate += (latest - demand.rate) * LATEST_WEIGHT;
        }
        self.accounts.retain(|_, it| it.rate >= LEAST_DEMAND);
        let report = |(account, it): (&ClientAccount, &OwnDemand)| DemandReport {
            account: account.clone(),
            rate: it.rate,
        };
        self.accounts.iter().map(report).collect()
    }

    /// Takes over granted shares.
    pub fn grant(&mut self, grants: Vec<ShareGrant>, now: Moment) {
        for grant in grants {
            if let Some(demand) = self.accounts.get_mut(&grant.account) {
                demand.granted = Some((grant.share, now));
            }
        }
    }

    /// The share of an account: as granted, or the `equal` one where no grant is fresh.
    pub fn share(&self, account: &ClientAccount, equal: f64, now: Moment) -> f64 {
        let granted = self.accounts.get(account).and_then(|it| it.granted);
        match granted {
            Some((share, at)) if now.since(at) < SHARE_LIFE => share,
            Some(_) | None => equal,
        }
    }

    /// All fresh shares.
    pub fn fresh(&self, now: Moment) -> BTreeMap<ClientAccount, f64> {
        let fresh = self.accounts.iter().filter_map(|(account, it)| {
            let (share, at) = it.granted?;
            (now.since(at) < SHARE_LIFE).then(|| (account.clone(), share))
        });
        fresh.collect()
    }
}

/// Demand of one entry for one account, and what it was granted.
#[derive(Clone, Copy, Debug, PartialEq)]
struct EntryDemand {
    rate: f64,
    granted: f64,
    at: Moment,
}

#[derive(Clone, Debug, PartialEq)]
struct HomeAccount {
    since: Moment,
    entries: BTreeMap<VmId, EntryDemand>,
}

/// Demand of all entries for the accounts whose home this entry is.
///
/// What was granted adds up to no more than the whole: an entry gets more only once the others have
/// been told that they have less, or their shares have ended. Only the floor of an entry that comes
/// into service is granted at once, before the others have made room.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct HomeTable {
    accounts: HashMap<ClientAccount, HomeAccount>,
}

impl HomeTable {
    /// Takes in one entry's reports and gives its shares, among `entries` entries in all.
    ///
    /// ```
    /// use alderbay::{core::{DemandReport, HomeTable}, units::Moment};
    /// let mut table = HomeTable::default();
    /// let reports = vec![DemandReport { account: "dues".parse()?, rate: 5.0 }];
    /// // At first the other entries may still give out equal parts.
    /// let grants = table.report(&"e-1".parse()?, reports.clone(), 4, Moment(0));
    /// assert_eq!(grants[0].share, 0.25);
    /// let grants = table.report(&"e-1".parse()?, reports, 4, Moment(2_000_000));
    /// assert!((grants[0].share - 0.85).abs() < 1e-9);
    /// # Ok::<(), alderbay::units::IdError>(())
    /// ```
    pub fn report(
        &mut self,
        entry: &VmId,
        reports: Vec<DemandReport>,
        entries: usize,
        now: Moment,
    ) -> Vec<ShareGrant> {
        let grant = |report: DemandReport| {
            let account = self
                .accounts
                .entry(report.account.clone())
                .or_insert_with(|| HomeAccount { since: now, entries: BTreeMap::new() });
            let share = account.grant(entry, report.rate, entries.max(1) as f64, now);
            ShareGrant { account: report.account, share }
        };
        let grants = reports.into_iter().map(grant).collect();
        self.accounts.retain(|_, it| it.entries.values().any(|demand| demand.is_fresh(now)));
        grants
    }
}

impl EntryDemand {
    fn is_fresh(&self, now: Moment) -> bool {
        now.since(self.at) < SHARE_LIFE
    }
}

impl HomeAccount {
    fn grant(&mut self, entry: &VmId, rate: f64, entries: f64, now: Moment) -> f64 {
        self.entries.retain(|vm, it| vm == entry || it.is_fresh(now));
        let others = || self.entries.iter().filter(|(vm, _)| *vm != entry).map(|it| it.1);
        let total = rate + others().map(|it| it.rate).sum::<f64>();
        let by_demand = if total > 0.0 { rate / total } else { 0.0 };
        let floor = FLOOR_PART / entries;
        let wanted = floor + (1.0 - FLOOR_PART) * by_demand;
        let silent = (entries - 1.0 - others().count() as f64).max(0.0);
        let free = 1.0 - others().map(|it| it.granted).sum::<f64>() - silent * floor;
        let is_new = now.since(self.since) < FIRST_REPORTS;
        let bound = if is_new { free.min(1.0 / entries) } else { free };
        // An entry that has just come into service finds nothing free; its floor is due at once.
        let granted = wanted.min(bound).max(floor);
        self.entries.insert(entry.clone(), EntryDemand { rate, granted, at: now });
        granted
    }
}

/// The entry that splits an account's grant, the same for all that see the same entries.
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
        fn granted_shares_never_pass_the_grant(
            reported in proptest::collection::vec((0_usize..8, 0.0_f64..1e6, 0_u64..900_000), 1..80),
        ) {
            let mut table = HomeTable::default();
            let mut granted: BTreeMap<usize, (f64, Moment)> = BTreeMap::new();
            let mut now = Moment(0);
            for (entry, rate, pause) in reported {
                now = Moment(now.0 + pause);
                let vm = format!("e-{entry}").parse().unwrap();
                let share = table.report(&vm, reports(rate), 8, now)[0].share;
                granted.insert(entry, (share, now));
                let fresh = granted.values().filter(|it| now.since(it.1) < SHARE_LIFE);
                let sum: f64 = fresh.map(|it| it.0).sum();
                prop_assert!(sum <= 1.0 + 1e-9, "shares sum to {sum}");
            }
        }
    }

    #[gtest]
    fn new_entry_has_its_floor_at_once() {
        let mut table = HomeTable::default();
        let (one, two) = ("e-1".parse().unwrap(), "e-2".parse().unwrap());
        let mut share = |vm, entries, now| table.report(vm, reports(5.0), entries, now)[0].share;
        share(&one, 1, Moment(0));
        let now = Moment(0).after(FIRST_REPORTS);
        assert_that!(share(&one, 1, now), near(1.0, 1e-9));
        assert_that!(share(&two, 2, now), near(0.1, 1e-9));
    }

    #[gtest]
    fn share_follows_demand_and_ends() {
        let account = "a".parse().unwrap();
        let mut table = DemandTable::default();
        table.note(&account);
        let now = Moment(1_000_000);
        assert_that!(table.close_interval(now), len(eq(1)));
        assert_that!(table.share(&account, 0.25, now), eq(0.25));
        table.grant(vec![ShareGrant { account: account.clone(), share: 0.9 }], now);
        assert_that!(table.share(&account, 0.25, now), eq(0.9));
        let later = now.after(SHARE_LIFE);
        assert_that!(table.share(&account, 0.25, later), eq(0.25));
        let mut table = HomeTable::default();
        let (one, two) = ("e-1".parse().unwrap(), "e-2".parse().unwrap());
        let mut share = |vm, rate, now| table.report(vm, reports(rate), 2, now)[0].share;
        assert_that!(share(&one, 9.0, now), eq(0.5));
        let now = now.after(FIRST_REPORTS);
        assert_that!(share(&one, 9.0, now), near(0.9, 1e-9));
        // The second gets more only once the first knows that it has less.
        assert_that!(share(&two, 9.0, now), near(0.1, 1e-9));
        assert_that!(share(&one, 9.0, now), near(0.5, 1e-9));
        assert_that!(share(&two, 9.0, now), near(0.5, 1e-9));
        // The first entry's share has ended, so the second may have all but the floor.
        assert_that!(share(&two, 1.0, now.after(SHARE_LIFE)), near(0.9, 1e-9));
    }
}
