//! Expert placement over the ranks of a group, and the switch from one map to the next.
//!
//! A group runs in lock-step: each step takes as long as its most loaded rank. Experts of one layer
//! are placed in the slots of the ranks; popular experts stand in several.

mod balance;
mod placement;
mod popularity;
mod rollout;
mod rounds;
mod switch;

pub use balance::{BalanceSettings, RebalancePlan, rebalance, repack};
pub use placement::{ExpertId, ExpertMap, MapError, RankId, SlotMove};
pub use popularity::{LoadEstimate, PopularityDay};
pub use rollout::{
    MapNews, MapRollout, MemberStatus, RankOrder, RankReport, RankUse, RolloutEffect, RolloutNote,
    RolloutState, STATUS_LISTENERS, UseSample,
};
pub use rounds::{GroupMap, MapRound, RoundSettings, group_skew, plan_round};
pub use switch::{
    GroupRanks, HeldSwitch, MapNumber, StepNumber, SwitchAct, SwitchBallot, SwitchMember,
    SwitchMessage, SwitchTrigger,
};
