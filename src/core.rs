//! The reducer: a deterministic state machine that turns each event into a list of effects.
//!
//! [`reduce`] reads no clock, does no I/O and draws random numbers only from a seeded generator in
//! its state, so replaying recorded events yields the same effects. Entries and agents share the
//! reducer and differ in the events they receive. `event` and `effect` define its inputs and
//! outputs, `state` dispatches the events, and every other submodule contains the rules of one
//! area.

mod capacity;
mod claims;
mod effect;
mod event;
mod fanout;
mod limits;
mod membership;
mod queue;
mod requests;
mod retry;
mod routing;
mod shares;
mod state;

pub use capacity::{CapacityRamp, RampSettings};
pub use claims::{
    ClaimOwner, ClaimRecord, ClaimTable, KeyDecision, MAX_KEY_AGE, PriorResult, StoredAnswer,
};
pub use effect::{AuditEvent, Effect, Refusal, RefusalCode, RunOutcome};
pub use event::{AttemptOutcome, Event, RequestInfo, TimedEvent, WorkId, WorkItem, WorkOutcome};
pub use fanout::{FanoutSettings, PlacedVm, assign_agents};
pub use limits::{AccountLimiter, LimitError, PlanShare, TokenBucket};
pub use membership::{MemberTable, PeerState, VmRecord};
pub use queue::{QueueSettings, WorkQueue};
pub use requests::{AttemptSettings, RequestTable};
pub use retry::RetryBudget;
pub use routing::{ServerChoice, ServerView, choose_by_key, choose_server};
pub use shares::{DemandReport, DemandTable, ShareAllocator, ShareGrant, home_entry};
pub use state::{CoreSettings, DEREGISTRATION_DELAY, ProcessState, reduce};
