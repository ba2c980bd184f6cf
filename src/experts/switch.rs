//! The switch of a group from one expert map to the next: all ranks at the same step, or none.
//!
//! The agents of a group agree among themselves, without a leader for the fleet and without the log.
//! A group cannot take a step without all of its ranks, so every decision may ask for all members:
//!
//! 1. A member proposes a map for a step that lies ahead. Each member has its ranks hold at that
//!    step and says so. From then on they do not pass the step before a decision is known.
//! 2. When all members hold, the proposer settles: the map is in force from that step on.
//! 3. When a decision fails to come, any member asks all the others under a higher ballot. Each
//!    promises to listen to no lower ballot and tells what it holds and what it applied. With all
//!    answers the asker settles: where anyone applied the map, all do; otherwise nobody ever will.
//!
//! What a member holds and applied stands in its ranks and outlives its agent. A restarted agent has
//! forgotten its promises; it takes part in proposals again only after a settlement under a ballot
//! that it answered in its new life, and answers of an earlier life count no more once anybody knows
//! the new one. `tests/map_switch.rs` explores the reducer exhaustively over small groups.

mod member;
mod ranks;

pub use member::{SwitchAct, SwitchMember, SwitchMessage, SwitchTrigger};
pub use ranks::{GroupRanks, HeldSwitch, MapNumber, StepNumber, SwitchBallot};
