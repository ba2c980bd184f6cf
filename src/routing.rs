//! The reducer of a gateway, the process that sends callers' requests straight to backend servers.
//!
//! As in [`crate::core`], every input is an event and every output an effect: [`reduce`] reads no
//! clock and does no I/O. Each submodule owns one part of the state and its decisions: route lookup
//! (`catalog`), server eligibility (`servers`), load estimates and health (`load`), the pace of servers
//! (`pace`, `start`), the times of requests (`run_times`), server choice (`placement`), overload refusals (`admission`), limits of load by
//! rank (`urgency`), retry and cold-server budgets (`budget`), inputs that end servers (`quarantine`),
//! limits that servers name (`limits`), weights that they do not have (`weights`), the memory that requests hold (`memory`), the other gateways
//! (`peers`), the servers that one gateway uses (`subset`), and the demands and shares of client accounts
//! (`demand`, `shares`).

mod admission;
mod budget;
mod catalog;
mod demand;
mod event;
mod gateway_count;
mod limits;
mod load;
mod memory;
mod outcome;
mod pace;
mod peers;
mod placement;
mod quarantine;
mod reader_mark;
mod run_times;
mod servers;
mod shares;
mod start;
mod state;
mod subset;
mod urgency;
mod views;
mod weights;

pub use admission::{AdmissionSettings, RetryReason, ShareScope, retry_after};
pub use budget::{AttemptBudget, BudgetSettings, ColdLimiter};
pub use catalog::{
    AccountRecord, CallerLimits, CatalogProblems, CatalogVersion, EngineModel, ExpertLayout,
    RouteCatalog, RouteKind, RouteRecord, RouteTarget, ServiceRecord,
};
pub use demand::{AccountDemand, DemandMeter, DemandNews, NewsTable};
pub(crate) use event::join_parts;
pub use event::{
    AdmissionNote, AdmissionOutcome, AttemptSpec, CatalogSource, LimitNotice, RequestNumber,
    RequestSize, RetryNote, RoutingChange, RoutingEffect, RoutingEvent, RoutingRequest,
    ServerNotice, StopSchedule,
};
pub use gateway_count::{CountSource, GatewayCount};
pub use limits::{LimitReport, LimitSource, LimitTable, LimitUpdate, SenderSet};
pub use load::{LoadDetail, LoadReport, ServerLoad};
pub use memory::{EndedHolder, HoldKind, HoldOutcome, HoldStage, MemoryLedger};
pub use outcome::{AnswerProgress, AttemptResult, SETTLED_EVENTS};
pub use pace::{PaceLimit, StepPace, pace_factor};
pub use peers::{GatewayLocation, GatewaySighting, PeerTable};
pub use placement::{Candidate, PlacementChoice, choose_candidate};
pub use quarantine::{
    BlockedInput, CrashReport, InputTrial, QuarantineTable, QuarantineUpdate, SuspectInput,
};
pub use reader_mark::{OperatorStep, ReaderMark, next_operator_step};
pub use run_times::RunTimes;
pub use servers::{GroupMembership, Incarnation, KnownServer, ServerRecord, ServerTable};
pub use shares::{AccountStanding, ShareTable, fair_level};
pub use start::{ServerPace, StartModel, first_event_delay, start_delay};
pub use state::{RoutingSettings, RoutingState, reduce};
pub use subset::choose_subset;
pub use urgency::{RankTraffic, ServiceCapacity, start_wait};
pub use views::{
    DirectoryCopy, DirectoryTable, DirectoryUpdate, DirectoryView, OperatorChange, OperatorTable,
    OperatorView, ReadKind, read_time,
};
pub use weights::WeightTable;
