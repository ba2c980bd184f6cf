//! Bounds that hold over all gateways together without a word between them: each keeps to its own
//! part.
//!
//! A part is what `fleet` gateways may each use, where `fleet` counts all that there may be: those
//! that agents hear from and a reserve for those that are just being added.

use std::{collections::VecDeque, time::Duration};

use serde::{Deserialize, Serialize};

use crate::units::Moment;

/// Gateways that may be added before their presence is known.
const FLEET_RESERVE: u32 = 3;
/// Part of a bound that is used: arrivals count where they arrive, later than they are sent.
const SAFETY: f64 = 0.8;
/// Part of the burst at hand when a process starts, which may happen several times in a window.
const START_SHARE: f64 = 0.3;
/// Span over which a cold server's requests are bounded.
const COLD_WINDOW: Duration = Duration::from_secs(1);

/// The fleet's bounds on repeated attempts and on cold servers.
#[derive(Clone, Copy, Debug, PartialEq)]
#[derive(Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct BudgetSettings {
    /// Repeated attempts for each request, over all gateways.
    pub retry_ratio: f64,
    /// Repeated attempts beside these in the window over which they count, over all gateways.
    pub retry_burst: f64,
    /// Factor on the rate that a cold server is said to bear.
    pub cold_factor: f64,
    /// Requests that a cold server may get beside that in a second, over all gateways.
    pub cold_burst: f64,
}

impl Default for BudgetSettings {
    fn default() -> Self {
        Self { retry_ratio: 0.1, retry_burst: 20.0, cold_factor: 1.0, cold_burst: 0.0 }
    }
}

fn part(whole: f64, fleet: u32) -> f64 {
    whole * SAFETY / f64::from(fleet.max(1) + FLEET_RESERVE)
}

/// Repeated attempts at one service that this gateway may make.
#[derive(Clone, Debug, PartialEq)]
#[derive(Serialize, Deserialize)]
pub struct AttemptBudget {
    balance: f64,
}

impl AttemptBudget {
    /// The budget of a process that has just started.
    pub fn new(settings: &BudgetSettings, fleet: u32) -> Self {
        Self { balance: part(settings.retry_burst, fleet) * START_SHARE }
    }

    /// Counts a request of a caller. What it earns can be saved up to this gateway's part of the
    /// burst.
    pub fn deposit(&mut self, settings: &BudgetSettings, fleet: u32) {
        let cap = part(settings.retry_burst, fleet).max(1.0);
        self.balance = (self.balance + settings.retry_ratio * SAFETY).min(cap);
    }

    /// Takes one repeated attempt; false where none is left.
    #[must_use]
    pub fn withdraw(&mut self) -> bool {
        if self.balance < 1.0 {
            return false;
        }
        self.balance -= 1.0;
        true
    }
}

/// Requests that this gateway sent to one cold server lately.
#[derive(Clone, Debug, Default, PartialEq)]
#[derive(Serialize, Deserialize)]
pub struct ColdGate {
    sent: VecDeque<Moment>,
}

impl ColdGate {
    /// Whether one more request may be sent to a server that bears `cold_rate` in a second.
    pub fn is_open(
        &mut self,
        settings: &BudgetSettings,
        cold_rate: f64,
        fleet: u32,
        now: Moment,
    ) -> bool {
        self.sent.retain(|it| now.since(*it) < COLD_WINDOW);
        let whole = cold_rate * settings.cold_factor + settings.cold_burst;
        (self.sent.len() as f64) + 1.0 <= part(whole, fleet)
    }

    /// Counts a request.
    pub fn record(&mut self, now: Moment) {
        self.sent.retain(|it| now.since(*it) < COLD_WINDOW);
        self.sent.push_back(now);
    }
}
