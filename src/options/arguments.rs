//! Arguments of `alderbayd`.

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
    /// Check the settings, say whether they are good, and end.
    #[bpaf(long)]
    pub check_settings: bool,
    /// Log at this level (error, warn, info, debug or trace) in place of the settings' one.
    #[bpaf(long, argument("LEVEL"), optional)]
    pub log_level: Option<LogLevel>,
}
