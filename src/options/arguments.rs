//! Command-line arguments of `alderbayd`.

use std::path::PathBuf;

use bpaf::Bpaf;

use super::LogLevel;

#[derive(Clone, Debug)]
#[derive(Bpaf)]
#[bpaf(options, version, generate(daemon_arguments))]
/// Runs one alderbay process: an entry or a gateway in front of callers, or an agent beside a
/// backend server.
pub struct DaemonArguments {
    /// Read the settings from this JSON file.
    #[bpaf(long, argument("FILE"))]
    pub settings: PathBuf,
    /// Check whether the settings are valid, print the result and exit.
    #[bpaf(long)]
    pub check_settings: bool,
    /// Log at this level (error, warn, info, debug or trace) instead of the level in the settings.
    #[bpaf(long, argument("LEVEL"), optional)]
    pub log_level: Option<LogLevel>,
}
