//! Alderbay is a load balancer for expert-parallel model groups.
//!
//! The library contains all code of the two binaries, `alderbayd` and `alderbayctl`. Decisions are
//! made by reducers, which turn events into effects and do no I/O: [`core`] for entries and agents,
//! [`routing`] for gateways. The modules around them feed events in and execute the effects.

pub mod units; // identifiers, sizes, rates and times
pub mod options; // command-line arguments and settings
pub mod config; // accounts, plans and service states, replicated through the platform's log
pub mod core; // reducer of entries and agents: routing, limits, retries, membership, capacity
pub mod experts; // expert placement over the ranks of a group, and rollouts of expert maps
pub mod routing; // reducer of gateways, which call backend servers directly
pub mod wire; // messages between processes
pub mod transport; // QUIC connections between entries and agents
pub mod platform; // clients and codecs for the platform's services and model engines
pub mod http; // HTTP server, client, bodies and error responses
pub mod telemetry; // logs, metrics and the wall clock
pub mod daemon; // runtime code that the roles share
pub mod entry; // role in front of callers, which forwards requests to agents
pub mod agent; // role beside a backend server
pub mod gateway; // role in front of callers, which calls backend servers directly
pub mod rank_agent; // role beside the engine of a rank, which manages its group's expert maps
pub mod operator; // commands of alderbayctl
