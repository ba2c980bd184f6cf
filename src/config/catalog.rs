//! Entries of the configuration: keys and values. They have nothing to do with the entry role.

use std::{collections::BTreeSet, fmt, str::FromStr};

use serde::{Deserialize, Serialize};
use sha2::{Digest, Sha256};
use smol_str::{SmolStr, ToSmolStr};
use thiserror::Error;

use crate::units::{
    ClientAccount, ConcurrencyLimit, FailureDomain, IdError, PlanId, PriorityLevel, RequestRate,
    ServiceName, TokenRate, VmId,
};

/// Key of an entry: `account/…`, `plan/…`, `failure_domain/…` or `vm/…`.
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
    /// A client account: its plan and secrets.
    Account(ClientAccount),
    /// A plan: the services and limits of its accounts.
    Plan(PlanId),
    /// A failure domain: whether all of its VMs are in service.
    Domain(FailureDomain),
    /// A VM: whether it is in service.
    Vm(VmId),
}

/// Why a text cannot be parsed as an [`EntryKey`].
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Error)]
pub enum KeyError {
    /// The text has no slash, or the prefix before it is unknown. Holds the whole text.
    #[error("{0:?} is not a key: expected account/…, plan/…, failure_domain/… or vm/…")]
    UnknownPrefix(SmolStr),
    /// The part after the slash is not a valid identifier.
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
        let Some((prefix, id)) = text.split_once('/') else {
            return Err(KeyError::UnknownPrefix(text.into()));
        };
        match prefix {
            "account" => Ok(Self::Account(id.parse()?)),
            "plan" => Ok(Self::Plan(id.parse()?)),
            "failure_domain" => Ok(Self::Domain(id.parse()?)),
            "vm" => Ok(Self::Vm(id.parse()?)),
            _ => Err(KeyError::UnknownPrefix(text.into())),
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

/// SHA-256 of an account's secret in lowercase hexadecimal. The secret itself is never published.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
#[derive(Serialize, Deserialize)]
#[serde(transparent)]
pub struct KeyHash(SmolStr);

impl KeyHash {
    /// Hashes a secret. The same secret always gives the same hash; there is no salt.
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

/// Configuration of one client account.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct AccountRecord {
    /// The account's plan, which must exist.
    pub plan: PlanId,
    /// Hashes of the accepted secrets. Several allow a secret to be rotated without downtime.
    pub key_hashes: Vec<KeyHash>,
}

/// Configuration of one plan. The limits apply to each account on the plan separately.
#[derive(Clone, Debug, PartialEq)]
#[derive(Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct PlanRecord {
    /// Models and services that the accounts may use.
    pub services: BTreeSet<ServiceName>,
    /// Limit on requests per second, across the whole fleet.
    pub requests_per_second: RequestRate,
    /// Limit on generated tokens per second, across the whole fleet.
    pub tokens_per_second: TokenRate,
    /// Limit on requests in progress at the same time, across the whole fleet.
    pub concurrency: ConcurrencyLimit,
    /// Priority of the plan's requests; higher values are served first and shed last.
    #[serde(default)]
    pub priority: PriorityLevel,
}

/// Whether a failure domain or a VM is in service, that is, may receive new work.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum ServiceState {
    /// In service.
    #[default]
    In,
    /// Out of service: receives no new work, and its requests in progress run to their end.
    Out,
}

/// A text that cannot be parsed as a [`ServiceState`].
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

/// Value of an entry. Its variant must match the kind of the key.
#[derive(Clone, Debug, PartialEq)]
#[derive(Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum EntryValue {
    /// Value of an `account/…` key.
    Account(AccountRecord),
    /// Value of a `plan/…` key.
    Plan(PlanRecord),
    /// Value of a `failure_domain/…` or `vm/…` key.
    State(ServiceState),
}

/// Value of an entry with its revision.
#[derive(Clone, Debug, PartialEq)]
#[derive(Serialize, Deserialize)]
pub struct ConfigEntry {
    /// Version of the configuration right after the edit that set this value.
    pub revision: crate::units::ConfigVersion,
    /// The value that the edit set.
    pub value: EntryValue,
}
