//! The reducer: every input of a process is an event, every output an effect.
//!
//! [`reduce`] reads no clock, does no input or output and draws random numbers only from a seeded
//! generator in its state, so that a recorded run of events gives the same effects again. Entries
//! and agents share it; they differ in the events they see. This module dispatches; the submodules
//! decide, each over its own part of the state.

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
    ClaimOwner, ClaimRecord, ClaimTable, KeyDecision, KnownAnswer, MAX_KEY_AGE, StoredAnswer,
};
pub use effect::{AuditFact, Effect, Refusal, RefusalCode, RunOutcome};
pub use event::{AttemptOutcome, Event, RequestFacts, TimedEvent, WorkFacts, WorkId, WorkOutcome};
pub use fanout::{FanoutSettings, PlacedVm, assign_agents};
pub use limits::{LimitError, PlanLimits, PlanShare, TokenBucket};
pub use membership::{MemberTable, PeerFacts, VmRecord};
pub use queue::{QueueSettings, WorkQueue};
pub use requests::{AttemptSettings, RequestTable};
pub use retry::RetryBudget;
pub use routing::{RouteChoice, ServerView, choose_home, choose_server};
pub use shares::{DemandReport, DemandTable, HomeTable, ShareGrant, home_entry};
pub use state::{BALANCER_LAG, CoreSettings, ProcessState, reduce};
