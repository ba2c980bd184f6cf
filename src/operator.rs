//! Commands of `alderbayctl`, the operators' command-line tool.

mod arguments;
mod fleet;
mod history;
mod lists;
mod publish;
mod render;

pub use arguments::{
    ControlArguments, ControlCommand, ListCommand, PublishOptions, StateCommand, control_arguments,
};
pub use lists::ListFile;

use std::process::ExitCode;

use thiserror::Error;

use crate::{config::EditError, options::JsonFileError, platform::PlatformError, units::VmId};
use fleet::FleetClient;

/// Exit code when an edit was rejected.
const EXIT_EDIT_REJECTED: u8 = 4;
/// Exit code when an accepted edit is not in force everywhere in time.
const EXIT_NOT_IN_FORCE: u8 = 5;
/// Exit code when no process knows what was asked for.
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
    /// The operator did not confirm the edit.
    #[error("nothing was published; answer yes, or pass --yes")]
    NotConfirmed,
    /// Standard input or output failed.
    #[error(transparent)]
    Terminal(#[from] std::io::Error),
    /// An answer could not be printed as JSON.
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
/// Returns the command's error. Output printed before the error remains.
pub async fn run(arguments: ControlArguments) -> Result<(), OperatorError> {
    let client = FleetClient::new(arguments.log_service, arguments.vm_list)?;
    let output = render::Output { is_json: arguments.json };
    match arguments.command {
        ControlCommand::Lists(command) => lists::run(&client, output, command).await,
        ControlCommand::Domain(command) | ControlCommand::Vm(command) => {
            publish::set_state(&client, output, command).await
        }
        ControlCommand::Status => fleet::show_status(&client, output).await,
        ControlCommand::Audit { limit } => history::show_audit(&client, output, limit).await,
        ControlCommand::Explain { request_id } => {
            history::show_request(&client, output, request_id).await
        }
        ControlCommand::SecretHash => lists::show_secret_hash(),
    }
}
