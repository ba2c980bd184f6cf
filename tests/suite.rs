//! Integration tests: real processes, stand-ins around them, one file a feature.

#![allow(clippy::unwrap_used, clippy::expect_used)] // A panic in a test is a failed test.

mod support;

mod bad_input;
mod cold_server;
mod config_race;
mod domain_cut;
mod domain_drain;
mod graceful_stop;
mod map_switch;
mod operator_tool;
mod run_once;
mod whole_answer;
mod whole_path;

use support::fleet::Launcher;

/// Starts the daemon that this test run built.
fn launcher() -> Launcher {
    Launcher { program: env!("CARGO_BIN_EXE_alderbayd").into(), arguments: Vec::new() }
}
