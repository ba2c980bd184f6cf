//! Placement of experts on the ranks of a group, and the switch from one expert map to the next.
//!
//! A group runs in lock-step: each step takes as long as its most loaded rank needs. An expert map
//! assigns the experts of each layer to slots of the ranks; popular experts have several replicas.
//!
//! The rank agent plans small changes with `rounds` and rolls them out with `rollout`. `balance`
//! plans one layer where every slot is filled; benchmarks compare it with rounds. `switch` is an
//! agreement protocol without a coordinator; the rank agent does not use it, only its number types.

mod balance;
mod placement;
mod popularity;
mod rollout;
mod rounds;
mod step_timer;
mod switch;

pub use balance::{BalanceSettings, RebalancePlan, rebalance, repack};
pub use placement::{ExpertId, ExpertMap, MapError, RankId, SlotMove};
pub use popularity::{LoadEstimate, PopularityTrace};
pub use rollout::{
    COORDINATOR_CANDIDATES, ExpertUsage, MapRollout, MapUpdate, MemberStatus, RankOrder, RankPace,
    RankReport, RolloutEffect, RolloutEvent, RolloutState, SampleAction, SampleSchedule,
    UsageSample, relay_children,
};
pub use rounds::{GroupMap, RoundPlan, RoundSettings, group_skew, plan_paced_round, plan_round};
pub use step_timer::StepTimer;
pub use switch::{
    HeldSwitch, MapVersion, MemberRanks, StepNumber, SwitchBallot, SwitchEffect, SwitchMember,
    SwitchMessage, SwitchTrigger,
};
