//! The reducer of a gateway: an entry that calls backend servers itself.
//!
//! As in [`crate::core`], every input is an event and every output an effect: [`reduce`] reads no
//! clock and does no input or output. The submodules decide, each over its own part of the state:
//! which route a request takes, which servers may be used, how loaded they are, whether an attempt
//! may be repeated, and what is refused.

mod admission;
mod budget;
mod catalog;
mod event;
mod load;
mod peers;
mod servers;
mod state;

pub use admission::{
    AdmissionSettings, Candidate, PlacementChoice, ReturnCause, choose_candidate, retry_after,
};
pub use budget::{AttemptBudget, BudgetSettings, ColdGate};
pub use catalog::{
    AccountRecord, CallerLimits, CatalogVersion, EngineModel, ExpertLayout, RouteCatalog,
    RouteKind, RouteRecord, RouteTarget, ServiceRecord,
};
pub use event::{
    AttemptOrder, AttemptResult, BeliefChange, CallerFacts, RequestNumber, RoutingEffect,
    RoutingEvent, SourceName,
};
pub use load::{LoadReport, ServerLoad};
pub use peers::{GatewayPlace, PeerTable};
pub use servers::{GroupPlace, KnownServer, ServerRecord, ServerTable};
pub use state::{RoutingSettings, RoutingState, reduce};
