//! Shares of client accounts in a service whose servers cannot take all requests.

use serde::{Deserialize, Serialize};

use crate::units::ClientAccount;

/// What an account has asked of one gateway, or of several, lately.
#[derive(Clone, Debug, PartialEq)]
#[derive(Serialize, Deserialize)]
pub struct AccountDemand {
    /// The account.
    pub account: ClientAccount,
    /// Work asked for per second, in tokens.
    pub tokens_per_second: f32,
}
