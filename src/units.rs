//! Newtypes for identifiers, sizes, rates and points in time.
//!
//! `FromStr` of each type parses the text that its `Display` writes.

mod digests;
mod ids;
mod quantities;

pub use digests::{ContentHash, DigestError, InputDigest};
pub use ids::{
    ClientAccount, EditId, FailureDomain, GroupName, IdError, OperatorName, PlanId, RequestId,
    RouteName, ServerId, ServiceName, VmId,
};
pub use quantities::{
    ByteCount, ConcurrencyLimit, ConfigDigest, ConfigVersion, IncarnationId, LogOffset, Moment,
    PriorityLevel, QuantityError, RequestRate, StoreEra, StorePosition, TokenCount, TokenRate,
    UrgencyRank, WeightVersion,
};
