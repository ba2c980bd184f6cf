//! Limits over all gateways together, enforced without coordination: each gateway uses only its
//! share.
//!
//! The share is the limit divided by the number of gateways that may exist: those that agents
//! report plus a reserve for gateways that are just being added.

use std::{collections::VecDeque, time::Duration};

use rand::{Rng, rngs::SmallRng};
use serde::{Deserialize, Serialize};

use crate::units::Moment;

/// Number of gateways that may be added before agents report them.
const GATEWAY_RESERVE: u32 = 3;
/// Fraction of a limit that is used. Requests are counted where they arrive, later than gateways
/// send them, so a window of arrivals may hold more than a window of sends.
const SAFETY_FACTOR: f64 = 0.8;
/// Window over which the requests to a cold server are limited.
const COLD_RATE_WINDOW: Duration = Duration::from_secs(1);

/// Limits over all gateways on retries and on requests to cold servers.
#[derive(Clone, Copy, Debug, PartialEq)]
#[derive(Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct BudgetSettings {
    /// Retries allowed per caller request, over all gateways.
    pub retry_ratio: f64,
    /// Retries allowed in addition within one accounting window, over all gateways.
    pub retry_burst: f64,
    /// Factor on the catalog's request rate of a cold server.
    pub cold_factor: f64,
    /// Requests per second allowed to a cold server in addition, over all gateways.
    pub cold_burst: f64,
}

impl Default for BudgetSettings {
    fn default() -> Self {
        Self { retry_ratio: 0.1, retry_burst: 20.0, cold_factor: 1.0, cold_burst: 0.0 }
    }
}

/// Returns this gateway's share of a limit over all gateways.
pub(super) fn gateway_share(total: f64, gateway_count: u32) -> f64 {
    total * SAFETY_FACTOR / f64::from(gateway_count.max(1) + GATEWAY_RESERVE)
}

/// This gateway's budget of retries at one service, a token bucket filled by caller requests.
///
/// It is empty at first: a process may start any number of times within one window, and knows little
/// of the other gateways then.
#[derive(Clone, Debug, Default, PartialEq)]
#[derive(Serialize, Deserialize)]
pub struct AttemptBudget {
    balance: f64,
}

impl AttemptBudget {
    /// Adds the retries that one caller request earns. The balance is capped at this gateway's
    /// share of the burst, which may be less than one retry.
    pub fn deposit(&mut self, settings: &BudgetSettings, gateway_count: u32) {
        let cap = gateway_share(settings.retry_burst, gateway_count);
        self.balance = (self.balance + settings.retry_ratio * SAFETY_FACTOR).min(cap);
    }

    /// Returns the number of retries that are left.
    pub fn available(&self) -> usize {
        self.balance.max(0.0) as usize
    }

    /// Returns the balance, a part of a retry included.
    pub fn balance(&self) -> f64 {
        self.balance
    }

    /// Withdraws one retry. Returns `false` if none is left.
    ///
    /// A part of a retry becomes a whole one or none, drawn at random, so that all gateways together
    /// use what their parts add up to.
    #[must_use]
    pub fn withdraw(&mut self, rng: &mut SmallRng) -> bool {
        if self.balance >= 1.0 {
            self.balance -= 1.0;
            return true;
        }
        let part = std::mem::take(&mut self.balance);
        rng.random_bool(part.clamp(0.0, 1.0))
    }
}

/// Limits the requests that this gateway sends to one cold server, over a sliding window.
#[derive(Clone, Debug, Default, PartialEq)]
#[derive(Serialize, Deserialize)]
pub struct ColdLimiter {
    sent: VecDeque<Moment>,
}

impl ColdLimiter {
    /// Whether one more request may be sent to a server that takes `cold_rate` requests per second
    /// while cold.
    pub fn has_capacity(
        &mut self,
        settings: &BudgetSettings,
        cold_rate: f64,
        gateway_count: u32,
        now: Moment,
    ) -> bool {
        self.sent.retain(|it| now.since(*it) < COLD_RATE_WINDOW);
        let total = cold_rate * settings.cold_factor + settings.cold_burst;
        (self.sent.len() as f64) + 1.0 <= gateway_share(total, gateway_count)
    }

    /// Records that a request is sent.
    pub fn record(&mut self, now: Moment) {
        self.sent.retain(|it| now.since(*it) < COLD_RATE_WINDOW);
        self.sent.push_back(now);
    }
}
