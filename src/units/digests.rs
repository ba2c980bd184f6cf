//! Digests that stand for data of callers which must not appear in logs.

use std::{fmt, str::FromStr};

use serde::{Deserialize, Serialize};
use sha2::{Digest, Sha256};
use thiserror::Error;

use super::{ClientAccount, ServiceName};

/// Hash of what a caller asks for: the target and the body of its request.
///
/// Cryptographic, so that no caller can send another request that passes for this one.
///
/// ```
/// use alderbay::units::ContentHash;
/// let hash = ContentHash::of_request("POST", "h.example", "/a/x?b", b"body");
/// assert_ne!(hash, ContentHash::of_request("POST", "h.example", "/a/x", b"?bbody"));
/// assert_eq!(hash.to_string().parse(), Ok(hash));
/// ```
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
#[derive(Serialize, Deserialize)]
#[serde(try_from = "String", into = "String")]
pub struct ContentHash(u128);

impl ContentHash {
    /// Computes the hash of a request by its method, host, path with query, and body.
    pub fn of_request(method: &str, host: &str, path: &str, body: &[u8]) -> Self {
        let mut hasher = Sha256::new();
        for text in [method, host, path] {
            hasher.update(text);
            // None of the three contains a zero byte, so they cannot run into each other.
            hasher.update([0]);
        }
        hasher.update(body);
        let digest = hasher.finalize();
        Self(
            digest.iter().take(size_of::<u128>()).fold(0, |sum, byte| sum << 8 | u128::from(*byte)),
        )
    }
}

impl fmt::Display for ContentHash {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:032x}", self.0)
    }
}

impl FromStr for ContentHash {
    type Err = DigestError;

    fn from_str(text: &str) -> Result<Self, DigestError> {
        let is_hex = text.len() == 32 && text.bytes().all(|it| it.is_ascii_hexdigit());
        let digits = if is_hex { text } else { "" };
        u128::from_str_radix(digits, 16).map(Self).map_err(|_| DigestError(32))
    }
}

impl TryFrom<String> for ContentHash {
    type Error = DigestError;

    fn try_from(text: String) -> Result<Self, DigestError> {
        text.parse()
    }
}

impl From<ContentHash> for String {
    fn from(hash: ContentHash) -> Self {
        hash.to_string()
    }
}

/// Digest of an input that may end servers, as one service sees it: a shared part of a prompt, or a
/// whole request.
///
/// Cryptographic, so that no caller can choose an input that has the digest of another one.
///
/// ```
/// use alderbay::units::InputDigest;
/// let service = "drafts".parse()?;
/// let digest = InputDigest::of_part(&service, "5c1e07a2");
/// assert_eq!(digest.to_string().parse(), Ok(digest));
/// # Ok::<(), alderbay::units::IdError>(())
/// ```
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
#[derive(Serialize, Deserialize)]
#[serde(try_from = "String", into = "String")]
pub struct InputDigest(u64);

/// Why a text is not a digest.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Error)]
#[error("must have {0} hexadecimal digits")]
pub struct DigestError(usize);

impl InputDigest {
    /// Computes the digest of a part by its id.
    ///
    /// ```
    /// use alderbay::units::InputDigest;
    /// let (one, other) = ("drafts".parse()?, "letters".parse()?);
    /// assert_ne!(InputDigest::of_part(&one, "a"), InputDigest::of_part(&other, "a"));
    /// # Ok::<(), alderbay::units::IdError>(())
    /// ```
    pub fn of_part(service: &ServiceName, part: &str) -> Self {
        let mut hasher = Sha256::new();
        // Service names contain no zero byte, so the two texts cannot run into each other.
        hasher.update(service.as_str());
        hasher.update([0]);
        hasher.update(part);
        Self::truncate(hasher)
    }

    /// Computes the digest of a whole request of an account, `None` for a caller without one.
    ///
    /// ```
    /// use alderbay::units::{ContentHash, InputDigest};
    /// let (service, account) = ("ledger".parse()?, "acc".parse()?);
    /// let content = ContentHash::of_request("GET", "h.example", "/a/x", b"");
    /// let digest = InputDigest::of_request(&service, Some(&account), content);
    /// assert_ne!(digest, InputDigest::of_request(&service, None, content));
    /// # Ok::<(), alderbay::units::IdError>(())
    /// ```
    pub fn of_request(
        service: &ServiceName,
        account: Option<&ClientAccount>,
        content: ContentHash,
    ) -> Self {
        let mut hasher = Sha256::new();
        hasher.update(service.as_str());
        // Two zero bytes tell a request from a part.
        hasher.update([0, 0]);
        hasher.update(account.map_or("", ClientAccount::as_str));
        hasher.update([0]);
        hasher.update(content.0.to_be_bytes());
        Self::truncate(hasher)
    }

    fn truncate(hasher: Sha256) -> Self {
        let digest = hasher.finalize();
        Self(digest.iter().take(size_of::<u64>()).fold(0, |sum, byte| sum << 8 | u64::from(*byte)))
    }
}

impl fmt::Display for InputDigest {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:016x}", self.0)
    }
}

impl FromStr for InputDigest {
    type Err = DigestError;

    fn from_str(text: &str) -> Result<Self, DigestError> {
        let is_hex = text.len() == 16 && text.bytes().all(|it| it.is_ascii_hexdigit());
        let digits = if is_hex { text } else { "" };
        u64::from_str_radix(digits, 16).map(Self).map_err(|_| DigestError(16))
    }
}

impl TryFrom<String> for InputDigest {
    type Error = DigestError;

    fn try_from(text: String) -> Result<Self, DigestError> {
        text.parse()
    }
}

impl From<InputDigest> for String {
    fn from(digest: InputDigest) -> Self {
        digest.to_string()
    }
}
