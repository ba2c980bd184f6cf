//! Agreement of a group on the switch to a new expert map: all ranks at the same step, or none.
//!
//! The agents of a group (its members) run the protocol among themselves, without a fleet-wide
//! leader and without the log service. A group cannot run a step without all of its ranks, so every
//! decision may require responses from all members rather than a quorum:
//!
//! 1. A member proposes a map for a future step. Each member has its ranks hold that step and
//!    reports that it is prepared. The ranks do not enter the step before a decision is known.
//! 2. Once all members are prepared, the proposer decides: the map is used from that step on.
//! 3. If no decision arrives, any member queries all others under a higher ballot. Each promises to
//!    ignore lower ballots and reports the ballot that it applied last. With all promises the
//!    querying member decides: if any member applied the map, all do; otherwise none ever will.
//!
//! The ranks store what a member holds and has applied, so this survives a restart of its agent. A
//! restarted agent has lost its promises. It takes part in proposals again only after a decision
//! under a ballot that it promised in its new incarnation. Responses of an earlier incarnation no
//! longer count once any member knows the new one. `tests/map_switch.rs` explores the reducer
//! exhaustively over small groups.

mod member;
mod ranks;

pub use member::{SwitchEffect, SwitchMember, SwitchMessage, SwitchTrigger};
pub use ranks::{HeldSwitch, MapVersion, MemberRanks, StepNumber, SwitchBallot};
