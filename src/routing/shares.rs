//! Shares of client accounts in a service whose servers cannot take all requests.
//!
//! What the service takes is divided by max-min over the accounts' demands: an account that asks for
//! less than an equal share gets what it asks for, and the others divide the rest. An account beyond
//! its share meets a lower limit of load with the part of its requests that is beyond it.

use std::{
    collections::{BTreeMap, BTreeSet},
    net::SocketAddr,
    time::Duration,
};

use serde::Serialize;

use super::{AccountDemand, DemandMeter, DemandNews, NewsTable, RequestSize, RoutingChange};
use crate::units::{ClientAccount, FailureDomain, Moment, ServiceName, TokenCount};

/// Time for which computed shares stay in use before they are computed again.
const REFRESH_INTERVAL: Duration = Duration::from_millis(200);
/// Age from which computed shares no longer count.
const STANDINGS_TTL: Duration = Duration::from_secs(2);
/// Time after a refusal in which a service counts as crowded.
const CROWDED_TIME: Duration = Duration::from_secs(1);
/// Demand per share from which an account counts as beyond it. Demands are estimates.
const BEYOND_RATIO: f64 = 1.2;
/// Demand per share up to which an account that was beyond its share counts as back within it.
const WITHIN_RATIO: f64 = 1.05;
/// Part of the requests of any account that count as within its share, so that an account whose
/// demand is many times its share is served too.
const MIN_FAIR_PART: f64 = 0.35;
/// What is divided, per unit of what the service took lately. A service that was offered no more than
/// that would take less each time.
const CAPACITY_MARGIN: f64 = 1.05;
/// Part of the limit of load that accounts beyond their shares leave free.
const RESERVED_PART: f64 = 0.2;
/// Part of the limit that their requests beyond the share leave free in addition, times the part of
/// the demand that is beyond.
const EXCESS_PART: f64 = 0.3;
/// Requests per slot up to which nothing is refused on account of shares.
const MIN_PRESSURE: f64 = 0.55;
/// Shortest time between two changes of one account in the log.
const CHANGE_INTERVAL: Duration = Duration::from_secs(5);

/// What an account asks of a service, and its share in what the service takes, in tokens per second.
#[derive(Clone, Copy, Debug, PartialEq)]
#[derive(Serialize)]
pub struct AccountStanding {
    /// What the account asks for.
    pub demand: f64,
    /// Its share; at most its demand.
    pub share: f64,
}

impl AccountStanding {
    /// Returns the factor on the limit of load (requests per slot, `max_pressure`) for a request.
    /// `draw`, in 0..1, decides which requests of an account beyond its share count as within it.
    ///
    /// ```
    /// use alderbay::routing::AccountStanding;
    /// let within = AccountStanding { demand: 100.0, share: 100.0 };
    /// assert_eq!(within.limit_factor(0.9, 0.95), 1.0);
    /// let beyond = AccountStanding { demand: 100.0, share: 50.0 };
    /// assert!(beyond.limit_factor(0.4, 0.95) < 0.9);
    /// assert!(beyond.limit_factor(0.9, 0.95) < 0.8);
    /// ```
    pub fn limit_factor(&self, draw: f64, max_pressure: f64) -> f64 {
        if !self.is_beyond(BEYOND_RATIO) {
            return 1.0;
        }
        let fair_part = self.share / self.demand;
        let is_within = draw < fair_part.max(MIN_FAIR_PART);
        let excess = if is_within { 0.0 } else { EXCESS_PART * (1.0 - fair_part) };
        let factor = 1.0 - RESERVED_PART - excess;
        factor.max(MIN_PRESSURE / max_pressure.max(MIN_PRESSURE))
    }

    fn is_beyond(&self, ratio: f64) -> bool {
        self.demand > self.share * ratio
    }
}

/// Returns the largest share of a max-min division of `capacity`: demands below it are met, the
/// others get this much. Infinite if all demands are met.
///
/// ```
/// use alderbay::routing::fair_level;
/// assert_eq!(fair_level(&[10.0, 90.0, 30.0], 100.0), 60.0);
/// assert_eq!(fair_level(&[10.0, 30.0], 100.0), f64::INFINITY);
/// ```
pub fn fair_level(demands: &[f64], capacity: f64) -> f64 {
    let mut ascending = demands.to_vec();
    ascending.sort_by(f64::total_cmp);
    let mut rest = capacity.max(0.0);
    for (n, demand) in ascending.iter().enumerate() {
        let level = rest / (ascending.len() - n) as f64;
        if *demand > level {
            return level;
        }
        rest -= demand;
    }
    f64::INFINITY
}

/// Demands and shares of the accounts of one service.
#[derive(Clone, Debug, Default)]
struct ServiceShares {
    meter: DemandMeter,
    /// Sums of the agents of the service's servers, scaled to all gateways.
    sums: NewsTable,
    standings: BTreeMap<ClientAccount, AccountStanding>,
    refreshed_at: Option<Moment>,
    /// Age of the newest sums when the shares were computed; `None` if there were none.
    sums_age: Option<Duration>,
    refused_at: Option<Moment>,
    /// Accounts that the log shows as beyond their shares.
    beyond: BTreeSet<ClientAccount>,
    /// Time of the last change of an account in the log.
    changed_at: BTreeMap<ClientAccount, Moment>,
}

/// Demands and shares of accounts, by service.
#[derive(Clone, Debug, Default)]
pub struct ShareTable {
    services: BTreeMap<ServiceName, ServiceShares>,
    /// Changes that the log does not show yet.
    changes: Vec<RoutingChange>,
}

impl ShareTable {
    /// Records a request that arrived. Returns its work.
    pub fn record_arrival(
        &mut self,
        service: &ServiceName,
        account: &ClientAccount,
        size: Option<RequestSize>,
        now: Moment,
    ) -> TokenCount {
        let shares = self.services.entry(service.clone()).or_default();
        shares.meter.record_arrival(account, size, now)
    }

    /// Records that a request was sent to a server for the first time.
    pub fn record_start(
        &mut self,
        service: &ServiceName,
        account: &ClientAccount,
        work: TokenCount,
        now: Moment,
    ) {
        if let Some(shares) = self.services.get_mut(service) {
            shares.meter.record_start(account, work, now);
        }
    }

    /// Records that a request was refused because all servers were full.
    pub fn record_refusal(&mut self, service: &ServiceName, now: Moment) {
        if let Some(shares) = self.services.get_mut(service) {
            shares.refused_at = Some(now);
        }
    }

    /// Records the sums of an agent, over a part of the gateways: `scale` is the number of gateways
    /// per one that the agent heard.
    pub fn record_sums(
        &mut self,
        service: &ServiceName,
        agent: SocketAddr,
        mut news: DemandNews,
        scale: f32,
        now: Moment,
    ) {
        for demand in &mut news.accounts {
            demand.tokens_per_second *= scale;
            demand.taken_per_second *= scale;
        }
        let shares = self.services.entry(service.clone()).or_default();
        shares.sums.record(agent, news, now);
    }

    /// Returns this gateway's demands for a service, for the agents of its servers.
    pub fn news(&self, service: &ServiceName, now: Moment) -> DemandNews {
        let shares = self.services.get(service);
        shares.map_or_else(DemandNews::default, |it| it.meter.news(now))
    }

    /// Whether requests to a service were refused lately because all servers were full.
    pub fn has_refused(&self, service: &ServiceName, now: Moment) -> bool {
        let refused_at = self.services.get(service).and_then(|it| it.refused_at);
        refused_at.is_some_and(|at| now.since(at) < CROWDED_TIME)
    }

    /// Returns demand and share of an account; `None` if it has asked for nothing lately.
    pub fn standing(
        &self,
        service: &ServiceName,
        account: &ClientAccount,
        now: Moment,
    ) -> Option<AccountStanding> {
        let shares = self.services.get(service)?;
        shares.standings.get(account).copied().filter(|_| shares.are_current(now))
    }

    /// Returns demands and shares of all accounts, by service.
    pub fn standings(
        &self,
        now: Moment,
    ) -> BTreeMap<ServiceName, BTreeMap<ClientAccount, AccountStanding>> {
        let current = self.services.iter().filter(|it| it.1.are_current(now));
        current.map(|(service, it)| (service.clone(), it.standings.clone())).collect()
    }

    /// Computes the shares of a service again, unless that was done a moment ago. `agents` are those
    /// of the service's servers.
    pub fn refresh<'a>(
        &mut self,
        service: &ServiceName,
        agents: impl Iterator<Item = (SocketAddr, &'a FailureDomain)>,
        now: Moment,
    ) {
        let Some(shares) = self.services.get_mut(service) else { return };
        if shares.refreshed_at.is_some_and(|at| now.since(at) < REFRESH_INTERVAL) {
            return;
        }
        shares.refresh(agents, now);
        self.changes.extend(shares.changes(service, now));
    }

    /// Returns the changes that the log does not show yet.
    pub fn take_changes(&mut self) -> Vec<RoutingChange> {
        std::mem::take(&mut self.changes)
    }
}

impl ServiceShares {
    fn are_current(&self, now: Moment) -> bool {
        self.refreshed_at.is_some_and(|at| now.since(at) < STANDINGS_TTL)
    }

    fn refresh<'a>(
        &mut self,
        agents: impl Iterator<Item = (SocketAddr, &'a FailureDomain)>,
        now: Moment,
    ) {
        self.refreshed_at = Some(now);
        self.meter.drop_ended(now);
        self.sums.drop_expired(now);
        let demands = self.merge(agents, now);
        let asked: Vec<f64> = demands.values().map(|it| it.0).collect();
        let taken: f64 = demands.values().map(|it| it.1).sum();
        let level = fair_level(&asked, taken * CAPACITY_MARGIN);
        let standing = |(account, (demand, _)): (ClientAccount, (f64, f64))| {
            (account, AccountStanding { demand, share: demand.min(level) })
        };
        self.standings = demands.into_iter().map(standing).collect();
    }

    /// Returns what each account asks for and what servers took of it: the mean of what agents say,
    /// or what this gateway has itself seen if that is more.
    fn merge<'a>(
        &mut self,
        agents: impl Iterator<Item = (SocketAddr, &'a FailureDomain)>,
        now: Moment,
    ) -> BTreeMap<ClientAccount, (f64, f64)> {
        let mut by_domain: BTreeMap<&FailureDomain, Vec<&[AccountDemand]>> = BTreeMap::new();
        self.sums_age = None;
        for (address, domain) in agents {
            if let Some((accounts, age)) = self.sums.fresh(address, now) {
                by_domain.entry(domain).or_default().push(accounts);
                self.sums_age = Some(self.sums_age.map_or(age, |it| it.min(age)));
            }
        }
        let domain_count = by_domain.len() as f64;
        let mut demands: BTreeMap<ClientAccount, (f64, f64)> = BTreeMap::new();
        // More agents of a gateway's own domain report to it, and they hear more gateways of that
        // domain. Domains of equal weight balance this.
        for sums in by_domain.into_values() {
            let weight = 1.0 / (sums.len() as f64 * domain_count);
            for demand in sums.into_iter().flatten() {
                let sum = demands.entry(demand.account.clone()).or_default();
                sum.0 += f64::from(demand.tokens_per_second) * weight;
                sum.1 += f64::from(demand.taken_per_second) * weight;
            }
        }
        for own in self.meter.demands(now) {
            let sum = demands.entry(own.account).or_default();
            sum.0 = sum.0.max(own.tokens_per_second.into());
            sum.1 = sum.1.max(own.taken_per_second.into());
        }
        demands
    }

    /// Returns which accounts went beyond their shares or came back, for the log.
    fn changes(&mut self, service: &ServiceName, now: Moment) -> Vec<RoutingChange> {
        let none = AccountStanding { demand: 0.0, share: 0.0 };
        let known = self.standings.iter().map(|(account, standing)| (account.clone(), *standing));
        let ended = self.beyond.iter().filter(|it| !self.standings.contains_key(*it));
        let all: Vec<_> = known.chain(ended.map(|it| (it.clone(), none))).collect();
        self.changed_at.retain(|_, at| now.since(*at) < CHANGE_INTERVAL);
        let mut changes = Vec::new();
        for (account, standing) in all {
            let was_beyond = self.beyond.contains(&account);
            let is_beyond =
                standing.is_beyond(if was_beyond { WITHIN_RATIO } else { BEYOND_RATIO });
            if is_beyond == was_beyond || self.changed_at.contains_key(&account) {
                continue;
            }
            if is_beyond {
                self.beyond.insert(account.clone());
            } else {
                self.beyond.remove(&account);
            }
            self.changed_at.insert(account.clone(), now);
            changes.push(RoutingChange::AccountShare {
                service: service.clone(),
                account,
                is_beyond,
                demand: TokenCount(standing.demand as u64),
                share: TokenCount(standing.share as u64),
                sums_age: self.sums_age,
            });
        }
        changes
    }
}
