//! Starts a complete fleet on loopback: fakes of the platform, of engines and of a plain service,
//! and real entries and agents in three failure domains. Sends drafts and a mandate through it,
//! drains a failure domain and puts it back into service, and prints the results. With `--stay` the
//! fleet keeps running.

#[path = "../tests/support.rs"]
mod support;

use std::time::Duration;

use alderbay::{config::ServiceState, daemon, options::Settings};
use bpaf::{OptionParser, Parser, construct, long};
use support::{
    callers::Caller,
    engine::draft_text,
    fleet::{Fleet, FleetPlan, LEDGER, Launcher, MODEL},
    load::SteadyLoad,
};
use tokio::time::{Instant, sleep};
use uuid::Uuid;

/// The failure domain that is drained and put back into service.
const DRAINED_DOMAIN: &str = "south-a";

struct Arguments {
    /// Whether the fleet keeps running until interrupted.
    stay: bool,
    /// Settings file; if given, this process runs the daemon instead of the demonstration.
    settings: Option<std::path::PathBuf>,
}

fn arguments() -> OptionParser<Arguments> {
    let stay = long("stay").help("Keep running until interrupted").switch();
    // The fleet's processes run this same program, each with its own settings file.
    let settings = long("settings").argument::<std::path::PathBuf>("FILE").optional().hide();
    construct!(Arguments { stay, settings }).to_options().descr("Run a complete fleet on loopback")
}

fn main() -> anyhow::Result<()> {
    let arguments = arguments().run();
    let runtime = tokio::runtime::Runtime::new()?;
    match arguments.settings {
        Some(settings) => {
            runtime.block_on(daemon::run(Settings::read(&settings)?))?;
            Ok(())
        }
        None => runtime.block_on(run_demo(arguments.stay)),
    }
}

async fn run_demo(stay: bool) -> anyhow::Result<()> {
    let launcher = Launcher { program: std::env::current_exe()?, arguments: Vec::new() };
    let fleet = Fleet::start(FleetPlan::default(), launcher).await;
    println!("{} entries, {} agents, 3 failure domains", fleet.entries.len(), fleet.agents.len());
    send_requests(&fleet).await;
    drain_domain(&fleet).await;
    if stay {
        print_hints(&fleet);
        tokio::signal::ctrl_c().await?;
    }
    Ok(())
}

async fn send_requests(fleet: &Fleet) {
    let caller = Caller::new("dues");
    let entry = fleet.entries[0].listen;
    let answer = caller.draft(entry, MODEL, "summary", 12, true).await;
    let is_complete = answer.is_some_and(|it| it.stream() == (draft_text("summary", 12), true));
    println!("a streamed draft of 12 tokens arrived complete: {is_complete}");
    let key = Uuid::now_v7();
    for entry in &fleet.entries {
        let answer = caller.post(entry.listen, LEDGER, Some(key), "mandate 1").await;
        println!("mandate sent through {}: {:?}", entry.vm, answer.map(|it| it.status));
    }
    println!("the mandate ran {} time(s)", fleet.runs_of("mandate 1"));
}

async fn drain_domain(fleet: &Fleet) {
    let entries: Vec<_> = fleet.entries.iter().map(|it| it.listen).collect();
    let load = SteadyLoad::start(&Caller::new("tours"), &entries, 4, 40);
    load.wait_completed(50).await;
    let started = Instant::now();
    let version = fleet.set_state(&format!("failure_domain/{DRAINED_DOMAIN}"), ServiceState::Out);
    fleet.wait_version(version).await;
    println!("{DRAINED_DOMAIN} out: in force on all processes after {:?}", started.elapsed());
    sleep(Duration::from_secs(2)).await;
    let before = fleet.drafts_started_in(DRAINED_DOMAIN);
    load.wait_completed(100).await;
    println!(
        "drafts started there from 2 s on: {}",
        fleet.drafts_started_in(DRAINED_DOMAIN) - before
    );
    let version = fleet.set_state(&format!("failure_domain/{DRAINED_DOMAIN}"), ServiceState::In);
    fleet.wait_version(version).await;
    load.wait_completed(100).await;
    println!(
        "drafts started there after its return: {}",
        fleet.drafts_started_in(DRAINED_DOMAIN) - before
    );
    let tally = load.stop().await;
    println!(
        "{} drafts complete, {} refused as not run, {} cut off",
        tally.completed,
        tally.refusals(),
        tally.wrong.len() as u64 + tally.unanswered
    );
}

fn print_hints(fleet: &Fleet) {
    let caller = Caller::new("dues");
    let entry = fleet.entries[0].listen;
    println!("\ntry:");
    println!(
        "curl -N http://{entry}/v1/completions -H 'authorization: {}' \\\n  -d '{{\"model\": \
         \"{MODEL}\", \"prompt\": \"hello\", \"max_tokens\": 20, \"stream\": true}}'",
        caller.bearer()
    );
    println!(
        "curl -i http://{entry}/services/{LEDGER}/mandates -H 'authorization: {}' \\\n  -H \
         'idempotency-key: {}' -d 'mandate 2'",
        caller.bearer(),
        Uuid::now_v7()
    );
    println!(
        "export ALDERBAY_LOG_SERVICE={} ALDERBAY_VM_LIST={}",
        fleet.log_address, fleet.operator_list.address
    );
    for command in ["status", "domain out south-b", "domain in south-b", "audit", "lists show"] {
        println!("cargo run --release --bin alderbayctl -- {command}");
    }
    println!("\npress Ctrl-C to stop");
}
