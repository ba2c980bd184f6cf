//! Numeric newtypes: offsets, sizes, rates, limits and points in time.

use std::{fmt, num::ParseIntError, str::FromStr, time::Duration};

use serde::{Deserialize, Serialize};
use thiserror::Error;

/// Why a text is not a valid quantity.
#[derive(Clone, Debug, PartialEq)]
#[derive(Error)]
pub enum QuantityError {
    /// The text is not an integer.
    #[error("invalid integer: {0}")]
    NotInteger(#[from] ParseIntError),
    /// The text is not a number.
    #[error("invalid number: {0}")]
    NotNumber(#[from] std::num::ParseFloatError),
    /// The position in the store lacks the colon after its era.
    #[error("position must be an era and an offset, separated by a colon")]
    NoEra,
    /// The rate is infinite, negative or not a number.
    #[error("rate must be finite and not negative, got {0}")]
    BadRate(f64),
}

macro_rules! integer_types {
    ($($(#[$doc:meta])* $name:ident($inner:ty);)*) => {$(
        $(#[$doc])*
        ///
        /// ```
        #[doc = concat!("use alderbay::units::", stringify!($name), ";")]
        #[doc = concat!("let value: ", stringify!($name), " = \"7\".parse()?;")]
        #[doc = concat!("assert_eq!(value, ", stringify!($name), "(7));")]
        /// assert_eq!(value.to_string(), "7");
        /// # Ok::<(), alderbay::units::QuantityError>(())
        /// ```
        #[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
        #[derive(Serialize, Deserialize)]
        #[serde(transparent)]
        pub struct $name(pub $inner);

        impl fmt::Display for $name {
            fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
                self.0.fmt(f)
            }
        }

        impl FromStr for $name {
            type Err = QuantityError;

            fn from_str(text: &str) -> Result<Self, QuantityError> {
                Ok(Self(text.parse()?))
            }
        }
    )*};
}

integer_types! {
    /// Position of a record in a stream of the log service.
    LogOffset(u64);
    /// Number of times that the platform's store has come back from a copy of itself.
    StoreEra(u64);
    /// Number of records of the configuration stream that were applied; never decreases.
    ConfigVersion(u64);
    /// Order-independent checksum of the entries of a configuration.
    ConfigDigest(u64);
    /// Size in bytes.
    ByteCount(u64);
    /// Number of tokens.
    TokenCount(u64);
    /// Maximum number of requests in progress at once.
    ConcurrencyLimit(u32);
    /// Priority of a request; a larger number is more urgent.
    PriorityLevel(u8);
    /// Rank of a request in the order of urgency; 0 is the most urgent.
    UrgencyRank(u8);
    /// Version of the weights that a model server runs.
    WeightVersion(u64);
    /// Identifies one run of a process; drawn at random when it starts.
    IncarnationId(u64);
    /// Point in time, in microseconds of the runtime's clock since the process started.
    Moment(u64);
}

/// Position in a stream of the platform's store. Offsets are assigned again in each era, so the era
/// decides the order first.
///
/// ```
/// use alderbay::units::{LogOffset, StoreEra, StorePosition};
/// let position: StorePosition = "1:7".parse()?;
/// assert_eq!(position, StorePosition { era: StoreEra(1), offset: LogOffset(7) });
/// assert!(position > "0:9".parse()?);
/// assert_eq!(position.to_string(), "1:7");
/// # Ok::<(), alderbay::units::QuantityError>(())
/// ```
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
#[derive(Serialize, Deserialize)]
pub struct StorePosition {
    /// Era that the offset belongs to; gateways of earlier releases do not send it.
    #[serde(default)]
    pub era: StoreEra,
    /// Offset of the next record to read.
    pub offset: LogOffset,
}

impl fmt::Display for StorePosition {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}:{}", self.era, self.offset)
    }
}

impl FromStr for StorePosition {
    type Err = QuantityError;

    fn from_str(text: &str) -> Result<Self, QuantityError> {
        let (era, offset) = text.split_once(':').ok_or(QuantityError::NoEra)?;
        Ok(Self { era: era.parse()?, offset: offset.parse()? })
    }
}

impl Moment {
    /// Returns the moment that is `delay` later.
    ///
    /// ```
    /// use std::time::Duration;
    /// use alderbay::units::Moment;
    /// assert_eq!(Moment(5).after(Duration::from_micros(2)), Moment(7));
    /// ```
    pub fn after(self, delay: Duration) -> Self {
        let micros = u64::try_from(delay.as_micros()).unwrap_or(u64::MAX);
        Self(self.0.saturating_add(micros))
    }

    /// Returns the moment that is `span` earlier, but not before the process start.
    ///
    /// ```
    /// use std::time::Duration;
    /// use alderbay::units::Moment;
    /// assert_eq!(Moment(5).before(Duration::from_micros(2)), Moment(3));
    /// ```
    pub fn before(self, span: Duration) -> Self {
        let micros = u64::try_from(span.as_micros()).unwrap_or(u64::MAX);
        Self(self.0.saturating_sub(micros))
    }

    /// Returns the moment that is `span` earlier, or `None` if that is before the process start.
    ///
    /// ```
    /// use std::time::Duration;
    /// use alderbay::units::Moment;
    /// assert_eq!(Moment(5).checked_before(Duration::from_micros(2)), Some(Moment(3)));
    /// assert_eq!(Moment(5).checked_before(Duration::from_micros(7)), None);
    /// ```
    pub fn checked_before(self, span: Duration) -> Option<Self> {
        let micros = u64::try_from(span.as_micros()).unwrap_or(u64::MAX);
        self.0.checked_sub(micros).map(Self)
    }

    /// Returns the duration from `earlier` to this moment; zero if `earlier` is later.
    ///
    /// ```
    /// use std::time::Duration;
    /// use alderbay::units::Moment;
    /// assert_eq!(Moment(7).since(Moment(5)), Duration::from_micros(2));
    /// assert_eq!(Moment(5).since(Moment(7)), Duration::ZERO);
    /// ```
    pub fn since(self, earlier: Self) -> Duration {
        Duration::from_micros(self.0.saturating_sub(earlier.0))
    }
}

macro_rules! rate_types {
    ($($(#[$doc:meta])* $name:ident;)*) => {$(
        $(#[$doc])*
        ///
        /// ```
        #[doc = concat!("use alderbay::units::", stringify!($name), ";")]
        #[doc = concat!("let rate: ", stringify!($name), " = \"2.5\".parse()?;")]
        /// assert_eq!(rate.to_string(), "2.5");
        #[doc = concat!("assert!(\"-1\".parse::<", stringify!($name), ">().is_err());")]
        /// # Ok::<(), alderbay::units::QuantityError>(())
        /// ```
        #[derive(Clone, Copy, Debug, Default, PartialEq, PartialOrd)]
        #[derive(Serialize, Deserialize)]
        #[serde(try_from = "f64", into = "f64")]
        pub struct $name(f64);

        impl $name {
            /// Returns the rate in units per second.
            pub fn per_second(self) -> f64 {
                self.0
            }
        }

        impl TryFrom<f64> for $name {
            type Error = QuantityError;

            fn try_from(value: f64) -> Result<Self, QuantityError> {
                if value.is_finite() && value >= 0.0 { Ok(Self(value)) } else { Err(QuantityError::BadRate(value)) }
            }
        }

        impl From<$name> for f64 {
            fn from(rate: $name) -> f64 {
                rate.0
            }
        }

        impl fmt::Display for $name {
            fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
                self.0.fmt(f)
            }
        }

        impl FromStr for $name {
            type Err = QuantityError;

            fn from_str(text: &str) -> Result<Self, QuantityError> {
                text.parse::<f64>()?.try_into()
            }
        }
    )*};
}

rate_types! {
    /// Rate in requests per second.
    RequestRate;
    /// Rate in generated tokens per second.
    TokenRate;
}
