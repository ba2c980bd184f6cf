//! The daemon. Its settings select the role: entry, agent, gateway or rank agent.

use std::process::ExitCode;

use alderbay::{
    daemon, gateway,
    options::{
        DaemonArguments, DaemonSettings, DirectRole, DirectSettings, daemon_arguments,
        load_settings,
    },
    rank_agent,
};
use anyhow::Context;

/// Exit code when requests were still in progress at the end of the grace period.
const EXIT_CUT_OFF: u8 = 3;

fn main() -> anyhow::Result<ExitCode> {
    let arguments = daemon_arguments().run();
    let settings = load_settings(&arguments).context("loading the settings")?;
    if arguments.check_settings {
        println!("the settings are good");
        return Ok(ExitCode::SUCCESS);
    }
    let n_cut_off = match settings {
        DaemonSettings::Fleet(settings) => {
            let runtime = tokio::runtime::Runtime::new().context("starting the runtime")?;
            runtime.block_on(daemon::run(*settings))?
        }
        DaemonSettings::Direct(settings) => run_direct(*settings, &arguments)?,
    };
    log::logger().flush();
    Ok(if n_cut_off == 0 { ExitCode::SUCCESS } else { ExitCode::from(EXIT_CUT_OFF) })
}

/// Runs a gateway or a rank agent on a single thread: it has less than one core, so a second thread
/// would not help.
fn run_direct(settings: DirectSettings, arguments: &DaemonArguments) -> anyhow::Result<usize> {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()
        .context("starting the runtime")?;
    let n_cut_off = match settings.role {
        DirectRole::Gateway(_) => runtime.block_on(gateway::run(settings, arguments.clone()))?,
        DirectRole::RankAgent(_) => {
            runtime.block_on(rank_agent::run(settings, arguments.clone()))?
        }
    };
    Ok(n_cut_off)
}
