//! Rate and concurrency limits of client accounts at this entry.
//!
//! The limits of a plan apply to the whole fleet. Each entry enforces its share of them: see
//! [`PlanShare`].

use std::collections::HashMap;

use serde::{Deserialize, Serialize};

use super::{Refusal, RefusalCode};
use crate::{
    config::PlanRecord,
    units::{ClientAccount, Moment, TokenCount},
};

/// Capacity of a bucket, in seconds of its rate.
const BURST_SECONDS: f64 = 1.0;

/// Fraction of a plan's limits that this entry may use, from 0 to 1.
#[derive(Clone, Copy, Debug, PartialEq)]
#[derive(Serialize, Deserialize)]
pub struct PlanShare(pub f64);

impl Default for PlanShare {
    fn default() -> Self {
        Self(1.0)
    }
}

/// Why an account's request exceeds its limits.
#[derive(Clone, Debug, PartialEq)]
#[derive(thiserror::Error)]
pub enum LimitError {
    /// The account exceeds its requests or tokens per second.
    #[error("over the plan's rate; {wait_seconds:.3} s to wait")]
    Rate {
        /// Seconds until the account may make one request.
        wait_seconds: f64,
    },
    /// The account has too many requests in progress.
    #[error("over the plan's concurrency of {limit} at this entry")]
    Concurrency {
        /// Maximum number of requests in progress at this entry.
        limit: u32,
    },
}

impl From<LimitError> for Refusal {
    fn from(error: LimitError) -> Self {
        match error {
            LimitError::Rate { wait_seconds } => {
                let wait = std::time::Duration::try_from_secs_f64(wait_seconds).unwrap_or_default();
                Refusal::not_run(RefusalCode::RateLimited).retry_after(wait)
            }
            LimitError::Concurrency { .. } => Refusal::not_run(RefusalCode::ConcurrencyLimited)
                .retry_after(std::time::Duration::from_secs(1)),
        }
    }
}

/// A token bucket whose level may fall below zero, for costs that are only known afterwards.
///
/// ```
/// use alderbay::core::TokenBucket;
/// use alderbay::units::Moment;
/// let mut bucket = TokenBucket::full(2.0, Moment(0));
/// bucket.consume(2.0);
/// assert!(bucket.wait_seconds(2.0, Moment(0)) > 0.0);
/// assert_eq!(bucket.wait_seconds(2.0, Moment(1_000_000)), 0.0);
/// ```
#[derive(Clone, Copy, Debug, PartialEq)]
#[derive(Serialize, Deserialize)]
pub struct TokenBucket {
    level: f64,
    /// When the bucket was last refilled.
    filled_at: Moment,
}

impl TokenBucket {
    /// Creates a full bucket. `rate` is in units per second.
    pub fn full(rate: f64, now: Moment) -> Self {
        Self { level: capacity(rate), filled_at: now }
    }

    /// Refills the bucket and returns the seconds until it holds one unit; zero if it already does.
    pub fn wait_seconds(&mut self, rate: f64, now: Moment) -> f64 {
        let refill = now.since(self.filled_at).as_secs_f64() * rate;
        self.level = (self.level + refill).min(capacity(rate));
        self.filled_at = now;
        if self.level >= 1.0 {
            return 0.0;
        }
        if rate > 0.0 { (1.0 - self.level) / rate } else { f64::MAX }
    }

    /// Removes `cost` units, even if the level falls below zero.
    pub fn consume(&mut self, cost: f64) {
        self.level -= cost;
    }
}

fn capacity(rate: f64) -> f64 {
    (rate * BURST_SECONDS).max(1.0)
}

#[derive(Clone, Debug, PartialEq)]
#[derive(Serialize, Deserialize)]
struct AccountUsage {
    requests: TokenBucket,
    tokens: TokenBucket,
    in_progress: u32,
}

/// Enforces the limits of all accounts at this entry.
#[derive(Clone, Debug, Default, PartialEq)]
#[derive(Serialize, Deserialize)]
pub struct AccountLimiter {
    accounts: HashMap<ClientAccount, AccountUsage>,
}

impl AccountLimiter {
    /// Admits one request and counts it against the account's share of its plan.
    ///
    /// # Errors
    ///
    /// The account exceeds its share of the requests per second, the tokens per second or the
    /// requests in progress.
    pub fn admit(
        &mut self,
        account: &ClientAccount,
        plan: &PlanRecord,
        share: PlanShare,
        now: Moment,
    ) -> Result<(), LimitError> {
        let requests_rate = plan.requests_per_second.per_second() * share.0;
        let tokens_rate = plan.tokens_per_second.per_second() * share.0;
        let usage = self.accounts.entry(account.clone()).or_insert_with(|| AccountUsage {
            requests: TokenBucket::full(requests_rate, now),
            tokens: TokenBucket::full(tokens_rate, now),
            in_progress: 0,
        });
        let limit = concurrency_share(plan, share);
        if usage.in_progress >= limit {
            return Err(LimitError::Concurrency { limit });
        }
        let requests_wait = usage.requests.wait_seconds(requests_rate, now);
        let tokens_wait = usage.tokens.wait_seconds(tokens_rate, now);
        let wait_seconds = requests_wait.max(tokens_wait);
        if wait_seconds > 0.0 {
            return Err(LimitError::Rate { wait_seconds });
        }
        usage.requests.consume(1.0);
        usage.in_progress += 1;
        Ok(())
    }

    /// Ends one request and charges the account for the tokens generated.
    pub fn release(&mut self, account: &ClientAccount, tokens: TokenCount) {
        if let Some(usage) = self.accounts.get_mut(account) {
            usage.in_progress = usage.in_progress.saturating_sub(1);
            usage.tokens.consume(tokens.0 as f64);
        }
    }

    /// Returns the number of the account's requests in progress at this entry.
    pub fn in_progress(&self, account: &ClientAccount) -> u32 {
        self.accounts.get(account).map_or(0, |it| it.in_progress)
    }
}

fn concurrency_share(plan: &PlanRecord, share: PlanShare) -> u32 {
    let limit = (f64::from(plan.concurrency.0) * share.0).ceil();
    // The value lies between zero and the plan's 32-bit limit, so the cast does not truncate.
    limit as u32
}
