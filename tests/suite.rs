//! Integration tests: real processes against stand-ins for the services around them, one file for
//! each feature.

#![allow(clippy::unwrap_used, clippy::expect_used)] // A panic fails the test.

mod support;

mod account_shares;
mod admission_order;
mod bad_input;
mod broken_heads;
mod budget_exploration;
mod cold_server;
mod config_race;
mod crashing_prompts;
mod crashing_requests;
mod directory_age;
mod directory_reader;
mod domain_cut;
mod domain_drain;
mod endless_answers;
mod fan_out;
mod fault_soak;
mod gateway_herding;
mod gateway_path;
mod gateway_routing;
mod gateway_sightings;
mod graceful_stop;
mod held_memory;
mod limit_exploration;
mod map_rollout;
mod map_switch;
mod max_attempts;
mod naive_router;
mod odd_entries;
mod operator_tool;
mod other_weights;
mod plan_limits;
mod planned_stop;
mod popularity_shift;
mod prompt_parts;
mod prompt_quarantine;
mod reducer_replay;
mod request_quarantine;
mod restarted_servers;
mod retry_budget;
mod retry_notes;
mod resumed_errors;
mod revoked_keys;
mod run_once;
mod server_limits;
mod server_notices;
mod shift_rollout;
mod server_pace;
mod set_aside_calls;
mod silent_servers;
mod silent_store;
mod slow_caller;
mod stalled_groups;
mod stale_refusals;
mod start_estimate;
mod step_timer;
mod stop_soak;
mod stop_answers;
mod store_rewind;
mod whole_answer;
mod whole_path;

use support::fleet::Launcher;

/// Launcher for the daemon binary that this test run built.
fn launcher() -> Launcher {
    Launcher { program: env!("CARGO_BIN_EXE_alderbayd").into(), arguments: Vec::new() }
}

/// Configuration of a property test with a fixed seed, so that every run draws the same cases.
fn seeded(cases: u32) -> proptest::test_runner::Config {
    const SEED: u64 = 4_121;
    println!("seed {SEED}");
    proptest::test_runner::Config {
        cases,
        failure_persistence: None,
        rng_seed: proptest::test_runner::RngSeed::Fixed(SEED),
        ..Default::default()
    }
}
