//! The operators' command-line tool.

use std::process::ExitCode;

use alderbay::operator::{control_arguments, run};
use anyhow::Context;

fn main() -> anyhow::Result<ExitCode> {
    let arguments = control_arguments().run();
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()
        .context("starting the runtime")?;
    match runtime.block_on(run(arguments)) {
        Ok(()) => Ok(ExitCode::SUCCESS),
        Err(error) => {
            eprintln!("alderbayctl: {error}");
            Ok(error.exit_code())
        }
    }
}
