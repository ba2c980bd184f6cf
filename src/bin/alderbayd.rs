//! The daemon: an entry, an agent, a gateway or a rank agent, by its settings.

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

/// Exit code of a stop that cut off work.
const CUT_OFF: u8 = 3;

fn main() -> anyhow::Result<ExitCode> {
    let arguments = daemon_arguments().run();
    let settings = load_settings(&arguments).context("settings")?;
    if arguments.check_settings {
        println!("the settings are good");
        return Ok(ExitCode::SUCCESS);
    }
    let cut_off = match settings {
        DaemonSettings::Fleet(settings) => {
            let runtime = tokio::runtime::Runtime::new().context("starting the runtime")?;
            runtime.block_on(daemon::run(*settings))?
        }
        DaemonSettings::Direct(settings) => run_direct(*settings, &arguments)?,
    };
    log::logger().flush();
    Ok(if cut_off == 0 { ExitCode::SUCCESS } else { ExitCode::from(CUT_OFF) })
}

/// Gateways and rank agents get a part of one core, which a second thread would only divide.
fn run_direct(settings: DirectSettings, arguments: &DaemonArguments) -> anyhow::Result<usize> {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()
        .context("starting the runtime")?;
    let cut_off = match settings.role {
        DirectRole::Gateway(_) => runtime.block_on(gateway::run(settings, arguments.clone()))?,
        DirectRole::RankAgent(_) => {
            runtime.block_on(rank_agent::run(settings, arguments.clone()))?
        }
    };
    Ok(cut_off)
}
