//! Identifiers, sizes, rates and moments, each a type of its own.
//!
//! Every type here prints with `Display` and reads the same text back with `FromStr`.

mod ids;
mod quantities;

pub use ids::{
    ClientAccount, EditId, FailureDomain, GroupName, IdError, OperatorName, PlanId, RequestId,
    RouteName, ServerId, ServiceName, VmId,
};
pub use quantities::{
    ByteCount, ConcurrencyLimit, ConfigDigest, ConfigVersion, IncarnationId, LogOffset, Moment,
    PriorityLevel, QuantityError, RequestRate, TokenCount, TokenRate,
};
