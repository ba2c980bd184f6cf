//! Demand of client accounts: measured at each gateway, and added up over gateways by agents.

use std::{collections::BTreeMap, net::SocketAddr, time::Duration};

use serde::{Deserialize, Serialize};

use super::RequestSize;
use crate::units::{ClientAccount, Moment, TokenCount};

/// Time in which the weight of a request in its account's demand falls to 1/e.
const DEMAND_DECAY: Duration = Duration::from_secs(3);
/// Age from which news of demand no longer counts: that of a gateway whose subscription ends.
const NEWS_TTL: Duration = Duration::from_secs(3);
/// Number of accounts in the news of one gateway to an agent.
const MAX_SENT_ACCOUNTS: usize = 16;
/// Number of accounts in the news of an agent to gateways.
const MAX_SUMMED_ACCOUNTS: usize = 32;
/// Tokens of a request for which no caller has stated a size yet.
const UNSTATED_TOKENS: f64 = 1_000.0;
/// Factor by which the counted size of a request differs from the typical one at most, so that an
/// untrue size changes little.
const MAX_SIZE_RATIO: f64 = 4.0;
/// Factor by which one request moves the typical size. It does not depend on the stated size.
const TYPICAL_SIZE_STEP: f64 = 1.05;
/// Largest typical size, in tokens.
const MAX_TYPICAL_TOKENS: f64 = 100_000.0;
/// Largest demand that news can hold, in tokens per second.
const MAX_TOKENS_PER_SECOND: f32 = 1e9;
/// Demand from which an account is reported, in tokens per second.
const MIN_TOKENS_PER_SECOND: f32 = 1.0;

/// What an account has asked of one gateway, or of several, lately.
#[derive(Clone, Debug, PartialEq)]
#[derive(Serialize, Deserialize)]
pub struct AccountDemand {
    /// The account.
    pub account: ClientAccount,
    /// Work asked for per second, in tokens.
    pub tokens_per_second: f32,
    /// The part of it that servers got, in tokens per second.
    pub taken_per_second: f32,
}

/// Demand as one gateway or agent knows it.
#[derive(Clone, Debug, Default, PartialEq)]
#[derive(Serialize, Deserialize)]
pub struct DemandNews {
    /// Time on the sender's clock, which orders the news of one sender.
    pub sent_at: Moment,
    /// The largest demands.
    pub accounts: Vec<AccountDemand>,
}

/// Work per second that decays unless there is more.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
struct DecayingRate {
    tokens: f64,
    at: Moment,
}

impl DecayingRate {
    fn tokens(&self, now: Moment) -> f64 {
        let elapsed = now.since(self.at).as_secs_f64();
        self.tokens * (-elapsed / DEMAND_DECAY.as_secs_f64()).exp()
    }

    fn add(&mut self, tokens: f64, now: Moment) {
        *self = Self { tokens: self.tokens(now) + tokens, at: now };
    }

    fn per_second(&self, now: Moment) -> f32 {
        (self.tokens(now) / DEMAND_DECAY.as_secs_f64()) as f32
    }
}

/// Demand of the accounts of one service at this gateway.
#[derive(Clone, Debug, Default)]
pub struct DemandMeter {
    /// Size in tokens that about half of the requests exceed; `None` until one states its size.
    typical: Option<f64>,
    /// Work asked for, and work that servers got.
    accounts: BTreeMap<ClientAccount, (DecayingRate, DecayingRate)>,
}

impl DemandMeter {
    /// Records a request that arrived. Returns its work: the size that its caller states, within
    /// bounds around the typical size, or the typical size.
    ///
    /// ```
    /// use alderbay::{routing::{DemandMeter, RequestSize}, units::{Moment, TokenCount}};
    /// let mut meter = DemandMeter::default();
    /// let size = |n| Some(RequestSize { prompt: TokenCount(n), output: TokenCount(100) });
    /// let account = "a".parse()?;
    /// assert_eq!(meter.record_arrival(&account, size(500), Moment(1)), TokenCount(600));
    /// assert_eq!(meter.record_arrival(&account, size(1 << 40), Moment(1)), TokenCount(2_400));
    /// # Ok::<(), alderbay::units::IdError>(())
    /// ```
    pub fn record_arrival(
        &mut self,
        account: &ClientAccount,
        size: Option<RequestSize>,
        now: Moment,
    ) -> TokenCount {
        let work = self.work_of(size);
        let rates = self.accounts.entry(account.clone()).or_default();
        rates.0.add(work, now);
        TokenCount(work as u64)
    }

    /// Records that a request was sent to a server for the first time.
    pub fn record_start(&mut self, account: &ClientAccount, work: TokenCount, now: Moment) {
        if let Some(rates) = self.accounts.get_mut(account) {
            rates.1.add(work.0 as f64, now);
        }
    }

    fn work_of(&mut self, size: Option<RequestSize>) -> f64 {
        let Some(size) = size else { return self.typical.unwrap_or(UNSTATED_TOKENS) };
        let stated = (size.prompt.0 as f64 + size.output.0 as f64).max(1.0);
        let typical = self.typical.unwrap_or(stated).min(MAX_TYPICAL_TOKENS);
        let step = if stated > typical { TYPICAL_SIZE_STEP } else { 1.0 / TYPICAL_SIZE_STEP };
        let is_first = self.typical.is_none();
        self.typical =
            Some(if is_first { typical } else { (typical * step).clamp(1.0, MAX_TYPICAL_TOKENS) });
        stated.clamp(typical / MAX_SIZE_RATIO, typical * MAX_SIZE_RATIO)
    }

    /// Returns the demands of all accounts, the largest first, and forgets those that have ended.
    pub fn demands(&self, now: Moment) -> Vec<AccountDemand> {
        let demands = self.accounts.iter().map(|(account, (asked, taken))| AccountDemand {
            account: account.clone(),
            tokens_per_second: asked.per_second(now),
            taken_per_second: taken.per_second(now),
        });
        largest(demands, usize::MAX)
    }

    /// Forgets accounts without demand.
    pub fn drop_ended(&mut self, now: Moment) {
        self.accounts.retain(|_, it| it.0.per_second(now) >= MIN_TOKENS_PER_SECOND);
    }

    /// Returns the largest demands, for agents.
    pub fn news(&self, now: Moment) -> DemandNews {
        let mut accounts = self.demands(now);
        accounts.truncate(MAX_SENT_ACCOUNTS);
        DemandNews { sent_at: now, accounts }
    }
}

/// The latest news of each sender.
#[derive(Clone, Debug, Default)]
pub struct NewsTable {
    /// By sender, with the time of receipt.
    latest: BTreeMap<SocketAddr, (DemandNews, Moment)>,
}

impl NewsTable {
    /// Records news. Older news than the sender's latest is ignored while that counts, so that news
    /// that is repeated or overtaken neither counts again nor lasts longer.
    ///
    /// ```
    /// use alderbay::{routing::{AccountDemand, DemandNews, NewsTable}, units::Moment};
    /// let news = |sent_at, tokens_per_second| DemandNews {
    ///     sent_at: Moment(sent_at),
    ///     accounts: vec![AccountDemand {
    ///         account: "a".parse().unwrap(),
    ///         tokens_per_second,
    ///         taken_per_second: 0.0,
    ///     }],
    /// };
    /// let mut table = NewsTable::default();
    /// let sender = ([10, 0, 0, 1], 1).into();
    /// table.record(sender, news(2, 30.0), Moment(5));
    /// table.record(sender, news(1, 20.0), Moment(6));
    /// table.record(sender, news(2, 30.0), Moment(7));
    /// let sum = table.sum(Moment(8)).unwrap();
    /// assert_eq!(sum.accounts[0].tokens_per_second, 30.0);
    /// ```
    pub fn record(&mut self, sender: SocketAddr, news: DemandNews, now: Moment) {
        let is_older = |(latest, at): &(DemandNews, Moment)| {
            news.sent_at <= latest.sent_at && now.since(*at) < NEWS_TTL
        };
        if self.latest.get(&sender).is_some_and(is_older) {
            return;
        }
        let DemandNews { sent_at, mut accounts } = news;
        accounts.truncate(MAX_SUMMED_ACCOUNTS);
        accounts.retain(|it| it.tokens_per_second.is_finite() && it.taken_per_second.is_finite());
        for demand in &mut accounts {
            let tokens = demand.tokens_per_second.clamp(0.0, MAX_TOKENS_PER_SECOND);
            demand.tokens_per_second = tokens;
            demand.taken_per_second = demand.taken_per_second.clamp(0.0, tokens);
        }
        self.latest.insert(sender, (DemandNews { sent_at, accounts }, now));
    }

    /// Returns a sender's latest news with its age; `None` if it is too old to count.
    pub fn fresh(&self, sender: SocketAddr, now: Moment) -> Option<(&[AccountDemand], Duration)> {
        let (news, at) = self.latest.get(&sender)?;
        let age = now.since(*at);
        (age < NEWS_TTL).then_some((news.accounts.as_slice(), age))
    }

    /// Forgets news that is too old to count.
    pub fn drop_expired(&mut self, now: Moment) {
        self.latest.retain(|_, it| now.since(it.1) < NEWS_TTL);
    }

    /// Returns the sums over all senders; `None` if nothing was asked for.
    pub fn sum(&self, now: Moment) -> Option<DemandNews> {
        let mut sums: BTreeMap<&ClientAccount, (f32, f32)> = BTreeMap::new();
        for (accounts, _) in self.latest.keys().filter_map(|it| self.fresh(*it, now)) {
            for demand in accounts {
                let sum = sums.entry(&demand.account).or_default();
                sum.0 += demand.tokens_per_second;
                sum.1 += demand.taken_per_second;
            }
        }
        let demands = sums.into_iter().map(|(account, (asked, taken))| AccountDemand {
            account: account.clone(),
            tokens_per_second: asked,
            taken_per_second: taken,
        });
        let accounts = largest(demands, MAX_SUMMED_ACCOUNTS);
        (!accounts.is_empty()).then_some(DemandNews { sent_at: now, accounts })
    }
}

/// Returns the largest demands, the largest first.
fn largest(demands: impl Iterator<Item = AccountDemand>, max: usize) -> Vec<AccountDemand> {
    let mut largest: Vec<AccountDemand> =
        demands.filter(|it| it.tokens_per_second >= MIN_TOKENS_PER_SECOND).collect();
    largest.sort_by(|a, b| b.tokens_per_second.total_cmp(&a.tokens_per_second));
    largest.truncate(max);
    largest
}
