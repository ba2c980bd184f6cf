//! The retry budget: retries are a bounded share of successful traffic, whatever fails.

use serde::{Deserialize, Serialize};

/// What one success adds to the budget, in retries.
const DEPOSIT: f64 = 0.1;
/// Most retries that can be saved up.
const MAX_BALANCE: f64 = 50.0;
/// Retries at hand when a process starts.
const START_BALANCE: f64 = 10.0;

/// Retries that may be spent now.
///
/// ```
/// use alderbay::core::RetryBudget;
/// let mut budget = RetryBudget::default();
/// assert!((0..10).all(|_| budget.withdraw()));
/// assert!(!budget.withdraw());
/// (0..11).for_each(|_| budget.deposit());
/// assert!(budget.withdraw());
/// ```
#[derive(Clone, Debug, PartialEq)]
#[derive(Serialize, Deserialize)]
pub struct RetryBudget {
    balance: f64,
}

impl Default for RetryBudget {
    fn default() -> Self {
        Self { balance: START_BALANCE }
    }
}

impl RetryBudget {
    /// Counts a success.
    pub fn deposit(&mut self) {
        self.balance = (self.balance + DEPOSIT).min(MAX_BALANCE);
    }

    /// Takes one retry; false where none is left.
    #[must_use]
    pub fn withdraw(&mut self) -> bool {
        if self.balance < 1.0 {
            return false;
        }
        self.balance -= 1.0;
        true
    }
}
