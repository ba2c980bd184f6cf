//! Text identifiers: short, printable, and safe in paths and log lines.

use std::{fmt, str::FromStr};

use serde::{Deserialize, Serialize};
use smol_str::{SmolStr, ToSmolStr};
use thiserror::Error;
use uuid::Uuid;

/// Maximum length of an identifier.
const MAX_ID_BYTES: usize = 96;

/// Why a text is not a valid identifier.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Error)]
pub enum IdError {
    /// The text is empty.
    #[error("identifier is empty")]
    Empty,
    /// The text exceeds the maximum length.
    #[error("identifier has {length} bytes, more than the maximum of {MAX_ID_BYTES}")]
    TooLong {
        /// Length of the text, in bytes.
        length: usize,
    },
    /// The text contains a character that is not allowed.
    #[error(
        "invalid character {character:?} in identifier, use letters, digits, '.', '_', ':' or '-'"
    )]
    BadCharacter {
        /// The first invalid character.
        character: char,
    },
}

fn validate(text: &str) -> Result<(), IdError> {
    if text.is_empty() {
        return Err(IdError::Empty);
    }
    if text.len() > MAX_ID_BYTES {
        return Err(IdError::TooLong { length: text.len() });
    }
    let is_allowed = |it: char| it.is_ascii_alphanumeric() || matches!(it, '.' | '_' | ':' | '-');
    match text.chars().find(|it| !is_allowed(*it)) {
        Some(character) => Err(IdError::BadCharacter { character }),
        None => Ok(()),
    }
}

macro_rules! text_ids {
    ($($(#[$doc:meta])* $name:ident;)*) => {$(
        $(#[$doc])*
        ///
        /// ```
        #[doc = concat!("use alderbay::units::", stringify!($name), ";")]
        #[doc = concat!("let id: ", stringify!($name), " = \"a-1\".parse()?;")]
        /// assert_eq!(id.to_string(), "a-1");
        /// # Ok::<(), alderbay::units::IdError>(())
        /// ```
        #[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
        #[derive(Serialize, Deserialize)]
        #[serde(try_from = "SmolStr", into = "SmolStr")]
        pub struct $name(SmolStr);

        impl $name {
            /// Returns the identifier as text.
            pub fn as_str(&self) -> &str {
                &self.0
            }
        }

        impl fmt::Display for $name {
            fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
                f.write_str(&self.0)
            }
        }

        impl FromStr for $name {
            type Err = IdError;

            fn from_str(text: &str) -> Result<Self, IdError> {
                validate(text)?;
                Ok(Self(SmolStr::new(text)))
            }
        }

        impl TryFrom<SmolStr> for $name {
            type Error = IdError;

            fn try_from(text: SmolStr) -> Result<Self, IdError> {
                validate(&text)?;
                Ok(Self(text))
            }
        }

        impl From<$name> for SmolStr {
            fn from(id: $name) -> SmolStr {
                id.0
            }
        }
    )*};
}

text_ids! {
    /// A virtual machine that runs a process of this system or a backend server.
    VmId;
    /// A set of VMs that fail together.
    FailureDomain;
    /// A customer account, to which requests are charged.
    ClientAccount;
    /// A plan: the services and limits of the accounts on it.
    PlanId;
    /// A model or other service that backend servers offer.
    ServiceName;
    /// A request of a caller; the response carries the same id.
    RequestId;
    /// An edit of the configuration, unique among all edits.
    EditId;
    /// The person or program that made an edit.
    OperatorName;
    /// One incarnation of a backend server, as named in the platform's directory.
    ServerId;
    /// A route of the catalog, which maps requests to a service.
    RouteName;
    /// A group of backend servers that run in lockstep, one per rank.
    GroupName;
}

macro_rules! uuid_ids {
    ($($name:ident),*) => {$(
        impl $name {
            /// Creates the identifier from the text form of a UUID.
            ///
            /// ```
            /// use uuid::Uuid;
            #[doc = concat!("use alderbay::units::", stringify!($name), ";")]
            #[doc = concat!("let id = ", stringify!($name), "::from_uuid(Uuid::nil());")]
            /// assert_eq!(id.to_string().parse(), Ok(id));
            /// ```
            pub fn from_uuid(id: Uuid) -> Self {
                // The text form of a UUID is always a valid identifier.
                Self(id.to_smolstr())
            }
        }
    )*};
}

uuid_ids!(RequestId, EditId);
