//! Digests that stand for data of callers which must not appear in logs.

use std::{fmt, str::FromStr};

use serde::{Deserialize, Serialize};
use sha2::{Digest, Sha256};
use thiserror::Error;

use super::ServiceName;

/// Digest of a shared part of a prompt, as one service sees it.
///
/// Cryptographic, so that no caller can choose a part that has the digest of another one.
///
/// ```
/// use alderbay::units::PartDigest;
/// let service = "drafts".parse()?;
/// let digest = PartDigest::of_part(&service, "5c1e07a2");
/// assert_eq!(digest.to_string().parse(), Ok(digest));
/// # Ok::<(), alderbay::units::IdError>(())
/// ```
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
#[derive(Serialize, Deserialize)]
#[serde(try_from = "String", into = "String")]
pub struct PartDigest(u64);

/// Why a text is not a digest.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Error)]
#[error("a digest has 16 hexadecimal digits")]
pub struct DigestError;

impl PartDigest {
    /// Computes the digest of a part by its id.
    ///
    /// ```
    /// use alderbay::units::PartDigest;
    /// let (one, other) = ("drafts".parse()?, "letters".parse()?);
    /// assert_ne!(PartDigest::of_part(&one, "a"), PartDigest::of_part(&other, "a"));
    /// # Ok::<(), alderbay::units::IdError>(())
    /// ```
    pub fn of_part(service: &ServiceName, part: &str) -> Self {
        let mut hasher = Sha256::new();
        // Service names contain no zero byte, so the two texts cannot run into each other.
        hasher.update(service.as_str());
        hasher.update([0]);
        hasher.update(part);
        let digest = hasher.finalize();
        Self(digest.iter().take(size_of::<u64>()).fold(0, |sum, byte| sum << 8 | u64::from(*byte)))
    }
}

impl fmt::Display for PartDigest {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:016x}", self.0)
    }
}

impl FromStr for PartDigest {
    type Err = DigestError;

    fn from_str(text: &str) -> Result<Self, DigestError> {
        let is_hex = text.len() == 16 && text.bytes().all(|it| it.is_ascii_hexdigit());
        let digits = if is_hex { text } else { "" };
        u64::from_str_radix(digits, 16).map(Self).map_err(|_| DigestError)
    }
}

impl TryFrom<String> for PartDigest {
    type Error = DigestError;

    fn try_from(text: String) -> Result<Self, DigestError> {
        text.parse()
    }
}

impl From<PartDigest> for String {
    fn from(digest: PartDigest) -> Self {
        digest.to_string()
    }
}
