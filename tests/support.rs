//! Stand-ins for the platform and the backend servers, and a fleet of real processes in front of
//! them.

#![allow(dead_code, missing_docs, clippy::unwrap_used, clippy::expect_used)]

pub mod callers;
pub mod certificates;
pub mod engine;
pub mod fleet;
pub mod log_service;
pub mod ledger_service;
pub mod ports;
pub mod proxy;
pub mod stand_in;
pub mod vm_list;
