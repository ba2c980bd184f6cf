//! The daemon: an entry or an agent, by its settings.

use std::process::ExitCode;

use alderbay::{
    daemon,
    options::{daemon_arguments, merge},
};
use anyhow::Context;

/// Exit code of a stop that cut off work.
const CUT_OFF: u8 = 3;

fn main() -> anyhow::Result<ExitCode> {
    let arguments = daemon_arguments().run();
    let settings = merge(&arguments).context("settings")?;
    if arguments.check_settings {
        println!("the settings are good");
        return Ok(ExitCode::SUCCESS);
    }
    let runtime = tokio::runtime::Runtime::new().context("starting the runtime")?;
    let cut_off = runtime.block_on(daemon::run(settings))?;
    Ok(if cut_off == 0 { ExitCode::SUCCESS } else { ExitCode::from(CUT_OFF) })
}
