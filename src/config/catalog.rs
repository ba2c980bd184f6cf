//! Entries of the configuration and their keys.

use std::{collections::BTreeSet, fmt, str::FromStr};

use serde::{Deserialize, Serialize};
use sha2::{Digest, Sha256};
use smol_str::{SmolStr, ToSmolStr};
use thiserror::Error;

use crate::units::{
    ClientAccount, ConcurrencyLimit, FailureDomain, IdError, PlanId, PriorityLevel, RequestRate,
    ServiceName, TokenRate, VmId,
};

/// Names one entry: `account/…`, `plan/…`, `failure_domain/…` or `vm/…`.
///
/// ```
/// use alderbay::config::EntryKey;
/// let key: EntryKey = "plan/gold".parse()?;
/// assert_eq!(key.to_string(), "plan/gold");
/// # Ok::<(), alderbay::config::KeyError>(())
/// ```
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
#[derive(Serialize, Deserialize)]
#[serde(try_from = "SmolStr", into = "SmolStr")]
pub enum EntryKey {
    /// A client account.
    Account(ClientAccount),
    /// A plan.
    Plan(PlanId),
    /// A failure domain.
    Domain(FailureDomain),
    /// A VM.
    Vm(VmId),
}

/// Why a text is not an entry's key.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Error)]
pub enum KeyError {
    /// The part before the slash names no list.
    #[error("{0:?} is not a key: account/…, plan/…, failure_domain/… and vm/… are")]
    UnknownList(SmolStr),
    /// The part after the slash is no identifier.
    #[error(transparent)]
    BadId(#[from] IdError),
}

impl fmt::Display for EntryKey {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Account(id) => write!(f, "account/{id}"),
            Self::Plan(id) => write!(f, "plan/{id}"),
            Self::Domain(id) => write!(f, "failure_domain/{id}"),
            Self::Vm(id) => write!(f, "vm/{id}"),
        }
    }
}

impl FromStr for EntryKey {
    type Err = KeyError;

    fn from_str(text: &str) -> Result<Self, KeyError> {
        let Some((list, id)) = text.split_once('/') else {
            return Err(KeyError::UnknownList(text.into()));
        };
        match list {
            "account" => Ok(Self::Account(id.parse()?)),
            "plan" => Ok(Self::Plan(id.parse()?)),
            "failure_domain" => Ok(Self::Domain(id.parse()?)),
            "vm" => Ok(Self::Vm(id.parse()?)),
            _ => Err(KeyError::UnknownList(text.into())),
        }
    }
}

impl TryFrom<SmolStr> for EntryKey {
    type Error = KeyError;

    fn try_from(text: SmolStr) -> Result<Self, KeyError> {
        text.parse()
    }
}

impl From<EntryKey> for SmolStr {
    fn from(key: EntryKey) -> SmolStr {
        key.to_smolstr()
    }
}

/// SHA-256 of an account's secret, in hexadecimal; the secret itself is never published.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
#[derive(Serialize, Deserialize)]
#[serde(transparent)]
pub struct KeyHash(SmolStr);

impl KeyHash {
    /// Hashes a secret.
    ///
    /// ```
    /// use alderbay::config::KeyHash;
    /// assert_eq!(KeyHash::of_secret("s"), KeyHash::of_secret("s"));
    /// assert_ne!(KeyHash::of_secret("s"), KeyHash::of_secret("t"));
    /// ```
    pub fn of_secret(secret: &str) -> Self {
        let hash = Sha256::digest(secret.as_bytes());
        let text: String = hash.iter().map(|byte| format!("{byte:02x}")).collect();
        Self(text.into())
    }
}

/// One row of the customers' list.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct AccountRecord {
    /// The plan the account is on.
    pub plan: PlanId,
    /// Hashes of the secrets the account may show; several allow a change of secret without a gap.
    pub key_hashes: Vec<KeyHash>,
}

/// One row of the plans' list: what the accounts on a plan may use, each account by itself.
#[derive(Clone, Debug, PartialEq)]
#[derive(Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct PlanRecord {
    /// Models and services the plan may use.
    pub services: BTreeSet<ServiceName>,
    /// Requests a second over the whole fleet.
    pub requests_per_second: RequestRate,
    /// Tokens generated a second over the whole fleet.
    pub tokens_per_second: TokenRate,
    /// Requests in progress at once over the whole fleet.
    pub concurrency: ConcurrencyLimit,
    /// Urgency of the plan's requests.
    #[serde(default)]
    pub priority: PriorityLevel,
}

/// Whether a failure domain or a VM may be given new work.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum ServiceState {
    /// May be given work.
    #[default]
    In,
    /// Gets no new work; work in progress ends in its own time.
    Out,
}

/// The text is neither `in` nor `out`.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Error)]
#[error("{0:?} is neither 'in' nor 'out'")]
pub struct StateError(SmolStr);

impl fmt::Display for ServiceState {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Self::In => "in",
            Self::Out => "out",
        })
    }
}

impl FromStr for ServiceState {
    type Err = StateError;

    fn from_str(text: &str) -> Result<Self, StateError> {
        match text {
            "in" => Ok(Self::In),
            "out" => Ok(Self::Out),
            _ => Err(StateError(text.into())),
        }
    }
}

/// The value of an entry; its kind must match the kind of the key.
#[derive(Clone, Debug, PartialEq)]
#[derive(Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum EntryValue {
    /// For `account/…`.
    Account(AccountRecord),
    /// For `plan/…`.
    Plan(PlanRecord),
    /// For `failure_domain/…` and `vm/…`.
    State(ServiceState),
}

/// An entry with the revision that set it.
#[derive(Clone, Debug, PartialEq)]
#[derive(Serialize, Deserialize)]
pub struct ConfigEntry {
    /// Version of the configuration right after the edit that set this value.
    pub revision: crate::units::ConfigVersion,
    /// The value.
    pub value: EntryValue,
}
