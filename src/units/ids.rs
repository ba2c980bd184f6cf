//! Textual identifiers: short, printable, and safe in a path or a log line.

use std::{fmt, str::FromStr};

use serde::{Deserialize, Serialize};
use smol_str::{SmolStr, ToSmolStr};
use thiserror::Error;
use uuid::Uuid;

/// Longest identifier, in bytes.
const MAX_ID_BYTES: usize = 96;

/// Why a text is not an identifier.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Error)]
pub enum IdError {
    /// The text is empty.
    #[error("an identifier may not be empty")]
    Empty,
    /// The text is longer than identifiers may be.
    #[error("an identifier has at most {MAX_ID_BYTES} bytes, this one has {length}")]
    TooLong {
        /// Length found, in bytes.
        length: usize,
    },
    /// The text holds a character that identifiers may not hold.
    #[error(
        "{character:?} may not stand in an identifier; letters, digits, '.', '_', ':' and '-' may"
    )]
    BadCharacter {
        /// The first such character.
        character: char,
    },
}

fn check(text: &str) -> Result<(), IdError> {
    if text.is_empty() {
        return Err(IdError::Empty);
    }
    if text.len() > MAX_ID_BYTES {
        return Err(IdError::TooLong { length: text.len() });
    }
    let allowed = |it: char| it.is_ascii_alphanumeric() || matches!(it, '.' | '_' | ':' | '-');
    match text.chars().find(|it| !allowed(*it)) {
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
            /// The identifier as text.
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
                check(text)?;
                Ok(Self(SmolStr::new(text)))
            }
        }

        impl TryFrom<SmolStr> for $name {
            type Error = IdError;

            fn try_from(text: SmolStr) -> Result<Self, IdError> {
                check(&text)?;
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
    /// A virtual machine, of the system itself or of a backend server.
    VmId;
    /// A set of VMs that fail together.
    FailureDomain;
    /// A customer's account, under which requests are made.
    ClientAccount;
    /// A plan: what the accounts on it may use.
    PlanId;
    /// A model or a plain service that backend servers serve.
    ServiceName;
    /// One request of a caller, echoed on its answer.
    RequestId;
    /// One edit of the configuration, unique over all edits.
    EditId;
    /// The person or program that made an edit.
    OperatorName;
    /// One life of a backend server, as the platform's directory names it.
    ServerId;
    /// A route of the catalog, by which requests reach services.
    RouteName;
    /// A group of backend servers that run in lock-step as ranks.
    GroupName;
}

macro_rules! ids_of_uuids {
    ($($name:ident),*) => {$(
        impl $name {
            /// The identifier that reads as the UUID does.
            ///
            /// ```
            /// use uuid::Uuid;
            #[doc = concat!("use alderbay::units::", stringify!($name), ";")]
            #[doc = concat!("let id = ", stringify!($name), "::from_uuid(Uuid::nil());")]
            /// assert_eq!(id.to_string().parse(), Ok(id));
            /// ```
            pub fn from_uuid(id: Uuid) -> Self {
                // The text of a UUID holds nothing but what identifiers may hold.
                Self(id.to_smolstr())
            }
        }
    )*};
}

ids_of_uuids!(RequestId, EditId);
