//! The reducer of a gateway, the process that sends callers' requests straight to backend servers.
//!
//! As in [`crate::core`], every input is an event and every output an effect: [`reduce`] reads no
//! clock and does no I/O. Each submodule owns one part of the state and its decisions: route lookup
//! (`catalog`), server eligibility (`servers`), load estimates and health (`load`), server choice
//! (`placement`), overload refusals (`admission`), retry and cold-server budgets (`budget`), inputs that end
//! servers (`quarantine`), limits that servers name (`limits`), the other gateways (`peers`), the
//! servers that one gateway uses (`subset`), and the demands and shares of client accounts (`demand`,
//! `shares`).

mod admission;
mod budget;
mod catalog;
mod demand;
mod event;
mod limits;
mod load;
mod peers;
mod placement;
mod quarantine;
mod reader_mark;
mod servers;
mod shares;
mod state;
mod subset;
mod views;

pub use admission::{AdmissionSettings, RetryReason, retry_after};
pub use budget::{AttemptBudget, BudgetSettings, ColdLimiter};
pub use catalog::{
    AccountRecord, CallerLimits, CatalogVersion, EngineModel, ExpertLayout, RouteCatalog,
    RouteKind, RouteRecord, RouteTarget, ServiceRecord,
};
pub use demand::{AccountDemand, DemandMeter, DemandNews, NewsTable};
pub(crate) use event::join_parts;
pub use event::{
    AnswerProgress, AttemptResult, AttemptSpec, CatalogSource, LimitNotice, RequestNumber,
    RequestSize, RoutingChange, RoutingEffect, RoutingEvent, RoutingRequest, SETTLED_EVENTS,
    ServerNotice,
};
pub use limits::{LimitReport, LimitSource, LimitTable, LimitUpdate, SenderSet};
pub use load::{LoadDetail, LoadReport, ServerLoad};
pub use peers::{GatewayLocation, PeerTable};
pub use placement::{Candidate, PlacementChoice, choose_candidate};
pub use quarantine::{BlockedInput, CrashReport, QuarantineTable, QuarantineUpdate, SuspectInput};
pub use reader_mark::{OperatorStep, ReaderMark, next_operator_step};
pub use servers::{GroupMembership, Incarnation, KnownServer, ServerRecord, ServerTable};
pub use shares::{AccountStanding, ShareTable, fair_level};
pub use state::{RoutingSettings, RoutingState, reduce};
pub use subset::choose_subset;
pub use views::{
    DirectoryTable, DirectoryUpdate, DirectoryView, OperatorChange, OperatorTable, OperatorView,
    ReadKind,
};
