//! Shared test support: fakes of the platform's services and of the backend servers, and a fleet of
//! real alderbay processes that use them.

#![allow(dead_code, missing_docs, clippy::unwrap_used, clippy::expect_used)]

#[path = "support/callers.rs"]
pub mod callers;
#[path = "support/certificates.rs"]
pub mod certificates;
#[path = "support/cut_server.rs"]
pub mod cut_server;
#[path = "support/engine.rs"]
pub mod engine;
#[path = "support/fleet.rs"]
pub mod fleet;
#[path = "support/fragile_servers.rs"]
pub mod fragile_servers;
#[path = "support/gateway.rs"]
pub mod gateway;
#[path = "support/gateway_lists.rs"]
pub mod gateway_lists;
#[path = "support/ledger_service.rs"]
pub mod ledger_service;
#[path = "support/limited_servers.rs"]
pub mod limited_servers;
#[path = "support/load.rs"]
pub mod load;
#[path = "support/log_service.rs"]
pub mod log_service;
#[path = "support/paced_server.rs"]
pub mod paced_server;
#[path = "support/platform_store.rs"]
pub mod platform_store;
#[path = "support/ports.rs"]
pub mod ports;
#[path = "support/proxy.rs"]
pub mod proxy;
#[path = "support/rank_group.rs"]
pub mod rank_group;
#[path = "support/scripted_server.rs"]
pub mod scripted_server;
#[path = "support/fake_server.rs"]
pub mod fake_server;
#[path = "support/vm_list.rs"]
pub mod vm_list;
#[path = "support/timed_server.rs"]
pub mod timed_server;
#[path = "support/usage.rs"]
pub mod usage;
