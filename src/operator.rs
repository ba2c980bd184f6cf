//! The commands of `alderbayctl`.

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

/// Exit code of an edit that was rejected.
const EXIT_REJECTED: u8 = 4;
/// Exit code of an edit that is not in force everywhere in time.
const EXIT_NOT_IN_FORCE: u8 = 5;
/// Exit code of a question whose answer nobody knows.
const EXIT_NOT_FOUND: u8 = 6;

/// Why a command failed.
#[derive(Debug)]
#[derive(Error)]
pub enum OperatorError {
    /// The platform gave no answer that can be used.
    #[error(transparent)]
    Platform(#[from] PlatformError),
    /// The lists' file is refused.
    #[error(transparent)]
    ListFile(#[from] JsonFileError),
    /// All processes came to the same verdict.
    #[error("rejected: {0}")]
    Rejected(#[from] EditError),
    /// The edit was accepted, and some processes do not have it in force.
    #[error("accepted, but not in force after {waited_seconds} s on: {}", join(missing))]
    NotInForce {
        /// The processes.
        missing: Vec<VmId>,
        /// How long the tool waited.
        waited_seconds: u64,
    },
    /// No process remembers the request.
    #[error("no entry remembers request {0}; entries remember their latest 1000 requests")]
    RequestNotFound(crate::units::RequestId),
    /// The operator did not agree.
    #[error("nothing was published; say yes, or pass --yes")]
    NotConfirmed,
    /// Standard input or output failed.
    #[error(transparent)]
    Terminal(#[from] std::io::Error),
    /// An answer could not be printed as JSON.
    #[error(transparent)]
    Json(#[from] serde_json::Error),
}

fn join(vms: &[VmId]) -> String {
    vms.iter().map(VmId::to_string).collect::<Vec<_>>().join(", ")
}

impl OperatorError {
    /// The exit code that scripts see.
    ///
    /// ```
    /// use alderbay::operator::OperatorError;
    /// assert_eq!(OperatorError::NotConfirmed.exit_code(), std::process::ExitCode::from(1));
    /// ```
    pub fn exit_code(&self) -> ExitCode {
        match self {
            Self::Rejected(_) => ExitCode::from(EXIT_REJECTED),
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

/// Runs one command and prints its result.
///
/// # Errors
///
/// The command's own; nothing is printed on standard output then but what came before.
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
