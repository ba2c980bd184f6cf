//! The retry budget: limits retries to a fraction of the successful requests.

use serde::{Deserialize, Serialize};

/// Retries that one success adds to the budget.
const DEPOSIT_PER_SUCCESS: f64 = 0.1;
/// Upper bound of the balance, in retries.
const MAX_BALANCE: f64 = 50.0;
/// Balance at the start of a process, in retries.
const INITIAL_BALANCE: f64 = 10.0;

/// Balance of retries that may be made now.
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
        Self { balance: INITIAL_BALANCE }
    }
}

impl RetryBudget {
    /// Adds to the balance for one success.
    pub fn deposit(&mut self) {
        self.balance = (self.balance + DEPOSIT_PER_SUCCESS).min(MAX_BALANCE);
    }

    /// Spends one retry. Returns `false` if the balance is less than one.
    #[must_use]
    pub fn withdraw(&mut self) -> bool {
        if self.balance < 1.0 {
            return false;
        }
        self.balance -= 1.0;
        true
    }
}
