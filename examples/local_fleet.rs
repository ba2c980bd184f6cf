//! Starts a whole fleet on loopback: stand-ins for the platform, engines and a plain service, and
//! real entries and agents in three failure domains. Sends drafts and a mandate through it, takes a
//! failure domain out and back, and prints what happened. With `--stay` it keeps running.

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

/// The failure domain that is taken out and back.
const DOMAIN: &str = "south-a";

struct Arguments {
    stay: bool,
    settings: Option<std::path::PathBuf>,
}

fn arguments() -> OptionParser<Arguments> {
    let stay = long("stay").help("Keep running until interrupted").switch();
    // The fleet's processes are this program itself, started with their settings.
    let settings = long("settings").argument::<std::path::PathBuf>("FILE").optional().hide();
    construct!(Arguments { stay, settings }).to_options().descr("A fleet on loopback")
}

fn main() -> anyhow::Result<()> {
    let arguments = arguments().run();
    let runtime = tokio::runtime::Runtime::new()?;
    match arguments.settings {
        Some(settings) => {
            runtime.block_on(daemon::run(Settings::read(&settings)?))?;
            Ok(())
        }
        None => runtime.block_on(show(arguments.stay)),
    }
}

async fn show(stay: bool) -> anyhow::Result<()> {
    let launcher = Launcher { program: std::env::current_exe()?, arguments: Vec::new() };
    let fleet = Fleet::start(FleetPlan::default(), launcher).await;
    println!("{} entries, {} agents, 3 failure domains", fleet.entries.len(), fleet.agents.len());
    show_requests(&fleet).await;
    show_domain(&fleet).await;
    if stay {
        print_hints(&fleet);
        tokio::signal::ctrl_c().await?;
    }
    Ok(())
}

async fn show_requests(fleet: &Fleet) {
    let caller = Caller::new("dues");
    let entry = fleet.entries[0].listen;
    let answer = caller.draft(entry, MODEL, "summary", 12, true).await;
    let is_whole = answer.is_some_and(|it| it.stream() == (draft_text("summary", 12), true));
    println!("a streamed draft of 12 tokens arrived whole: {is_whole}");
    let key = Uuid::now_v7();
    for entry in &fleet.entries {
        let answer = caller.post(entry.listen, LEDGER, Some(key), "mandate 1").await;
        println!("mandate sent through {}: {:?}", entry.vm, answer.map(|it| it.status));
    }
    println!("the mandate ran {} time(s)", fleet.runs_of("mandate 1"));
}

async fn show_domain(fleet: &Fleet) {
    let entries: Vec<_> = fleet.entries.iter().map(|it| it.listen).collect();
    let load = SteadyLoad::start(&Caller::new("tours"), &entries, 4, 40);
    load.wait_whole(50).await;
    let started = Instant::now();
    let version = fleet.set_state(&format!("failure_domain/{DOMAIN}"), ServiceState::Out);
    fleet.wait_version(version).await;
    println!("{DOMAIN} out: in force on all processes after {:?}", started.elapsed());
    sleep(Duration::from_secs(2)).await;
    let before = fleet.started_in(DOMAIN);
    load.wait_whole(100).await;
    println!("drafts begun there from 2 s on: {}", fleet.started_in(DOMAIN) - before);
    let version = fleet.set_state(&format!("failure_domain/{DOMAIN}"), ServiceState::In);
    fleet.wait_version(version).await;
    load.wait_whole(100).await;
    println!("drafts begun there after its return: {}", fleet.started_in(DOMAIN) - before);
    let tally = load.stop().await;
    println!(
        "{} drafts whole, {} refused as not run, {} cut off",
        tally.whole,
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
    println!("\ninterrupt to end");
}
