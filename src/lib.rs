//! Alderbay is a load balancer for expert-parallel model groups.
//!
//! The library holds everything the two binaries use. Decisions are taken by one reducer ([`core`])
//! that turns events into effects and does no input or output; the modules around it read the
//! outside world and carry the effects out.

pub mod units; // identifiers, sizes, rates and moments
pub mod options; // command-line arguments and settings, merged and validated
pub mod config; // the operators' lists, reduced from the platform's log
pub mod core; // the reducer: routing, limits, retries, membership, capacity
pub mod experts; // expert placement over the ranks of a group
pub mod routing; // the reducer of a gateway, which calls backend servers directly
pub mod wire; // messages between entries and agents
pub mod transport; // QUIC connections between entries and agents
pub mod platform; // the log service and the VM list
pub mod http; // listening for and answering HTTP
pub mod telemetry; // logs, metrics and the audit trail
pub mod daemon; // what both roles share at run time
pub mod entry; // the role in front of callers
pub mod agent; // the role beside a backend server
pub mod gateway; // the role in front of callers that calls backend servers directly
pub mod rank_agent; // the role beside a rank that keeps its group's expert maps
pub mod operator; // the commands of alderbayctl
