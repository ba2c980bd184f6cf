//! Commands of `alderbayctl`, the operators' command-line tool.

mod arguments;
mod fleet;
mod history;
mod lists;
mod publish;
mod records;
mod render;

pub use arguments::{
    ControlArguments, ControlCommand, LimitArguments, ListCommand, PublishOptions,
    QuarantineCommand, StateCommand, control_arguments,
};
pub use lists::ListFile;

use std::{net::SocketAddr, process::ExitCode};

use thiserror::Error;

use crate::{config::EditError, options::JsonFileError, platform::PlatformError, units::VmId};
use fleet::FleetClient;

/// Exit code when an edit was rejected.
const EXIT_EDIT_REJECTED: u8 = 4;
/// Exit code when an accepted edit is not in force everywhere within the time to wait.
const EXIT_NOT_IN_FORCE: u8 = 5;
/// Exit code when no entry keeps a trace of the request.
const EXIT_NOT_FOUND: u8 = 6;

/// Why a command failed.
#[derive(Debug)]
#[derive(Error)]
pub enum OperatorError {
    /// A request to the platform failed.
    #[error(transparent)]
    Platform(#[from] PlatformError),
    /// The file of lists cannot be read or is invalid.
    #[error(transparent)]
    ListFile(#[from] JsonFileError),
    /// The edit was rejected. All processes apply the same rules and reach the same verdict.
    #[error("rejected: {0}")]
    Rejected(#[from] EditError),
    /// The edit was accepted, but some processes do not have it in force yet.
    #[error("accepted, but not in force after {waited_seconds} s on: {}", join_ids(missing))]
    NotInForce {
        /// VMs of these processes.
        missing: Vec<VmId>,
        /// Time that the tool waited for them.
        waited_seconds: u64,
    },
    /// No entry keeps a trace of the request.
    #[error("no entry keeps a trace of request {0}; each entry keeps its latest 1000 requests")]
    RequestNotFound(crate::units::RequestId),
    /// The command needs an address that was not given.
    #[error("this command needs {0} or its environment variable")]
    MissingAddress(&'static str),
    /// The operator did not confirm the edit.
    #[error("nothing was published; answer yes, or pass --yes")]
    NotConfirmed,
    /// Standard input cannot be read, or standard output cannot be written.
    #[error(transparent)]
    Terminal(#[from] std::io::Error),
    /// A result cannot be encoded as JSON.
    #[error(transparent)]
    Json(#[from] serde_json::Error),
}

fn join_ids(vms: &[VmId]) -> String {
    vms.iter().map(VmId::to_string).collect::<Vec<_>>().join(", ")
}

impl OperatorError {
    /// Returns the exit code of the tool.
    ///
    /// ```
    /// use alderbay::operator::OperatorError;
    /// assert_eq!(OperatorError::NotConfirmed.exit_code(), std::process::ExitCode::from(1));
    /// ```
    pub fn exit_code(&self) -> ExitCode {
        match self {
            Self::Rejected(_) => ExitCode::from(EXIT_EDIT_REJECTED),
            Self::NotInForce { .. } => ExitCode::from(EXIT_NOT_IN_FORCE),
            Self::RequestNotFound(_) => ExitCode::from(EXIT_NOT_FOUND),
            Self::Platform(_)
            | Self::ListFile(_)
            | Self::MissingAddress(_)
            | Self::NotConfirmed
            | Self::Terminal(_)
            | Self::Json(_) => ExitCode::FAILURE,
        }
    }
}

/// Runs one command and prints its result to standard output.
///
/// # Errors
///
/// The command's error. Output printed before the error remains.
pub async fn run(arguments: ControlArguments) -> Result<(), OperatorError> {
    let output = render::Output { is_json: arguments.json };
    let (log, vms) = (arguments.log_service, arguments.vm_list);
    let client = || fleet_client(log, vms);
    match arguments.command {
        ControlCommand::Lists(command) => lists::run(&client()?, output, command).await,
        ControlCommand::Domain(command) | ControlCommand::Vm(command) => {
            publish::set_state(&client()?, output, command).await
        }
        ControlCommand::Status => fleet::show_status(&client()?, output).await,
        ControlCommand::Audit { limit } => history::show_audit(&client()?, output, limit).await,
        ControlCommand::Explain { request_id } => {
            history::show_request(&client()?, output, request_id).await
        }
        ControlCommand::Quarantine(command) => records::run_quarantine(output, command).await,
        ControlCommand::Limits(arguments) => records::show_limits(output, arguments).await,
        ControlCommand::SecretHash => lists::show_secret_hash(),
    }
}

fn fleet_client(
    log: Option<SocketAddr>,
    vms: Option<SocketAddr>,
) -> Result<FleetClient, OperatorError> {
    let log = log.ok_or(OperatorError::MissingAddress("--log-service"))?;
    let vms = vms.ok_or(OperatorError::MissingAddress("--vm-list"))?;
    Ok(FleetClient::new(log, vms)?)
}
