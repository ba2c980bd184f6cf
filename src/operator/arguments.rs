//! Arguments of `alderbayctl`.

use std::{net::SocketAddr, path::PathBuf};

use bpaf::{Bpaf, Parser, construct, positional};
use smol_str::SmolStr;

use crate::{
    config::{EntryKey, ServiceState},
    units::{FailureDomain, InputDigest, OperatorName, RequestId, VmId},
};

#[derive(Clone, Debug)]
#[derive(Bpaf)]
#[bpaf(options, version, generate(control_arguments))]
/// Publishes the operators' lists, takes failure domains and VMs out of service and back in, and
/// shows the state of the fleet.
///
/// Exit codes: 0 success, 1 failure, 4 the edit was rejected, 5 the edit was accepted but is not in
/// force everywhere in time, 6 not found.
pub struct ControlArguments {
    /// Address of the platform's log service; commands with --gateway do without.
    #[bpaf(long, argument("ADDRESS"), env("ALDERBAY_LOG_SERVICE"))]
    pub log_service: Option<SocketAddr>,
    /// Address of the platform's VM list; commands with --gateway do without.
    #[bpaf(long, argument("ADDRESS"), env("ALDERBAY_VM_LIST"))]
    pub vm_list: Option<SocketAddr>,
    /// Print JSON instead of tables.
    #[bpaf(long)]
    pub json: bool,
    /// Command to run.
    #[bpaf(external(control_command))]
    pub command: ControlCommand,
}

/// Commands
#[derive(Clone, Debug)]
#[derive(Bpaf)]
pub enum ControlCommand {
    /// Show, check or publish the two lists: accounts with their plans, and the plans.
    #[bpaf(command)]
    Lists(#[bpaf(external(list_command))] ListCommand),
    /// Take a failure domain out of service or back in.
    #[bpaf(command)]
    Domain(#[bpaf(external(domain_command))] StateCommand),
    /// Take a VM out of service or back in.
    #[bpaf(command)]
    Vm(#[bpaf(external(vm_command))] StateCommand),
    /// Show each process: role, failure domain, configuration in force, state, load.
    #[bpaf(command)]
    Status,
    /// Show the audit trail: edits by operators and state changes of processes.
    #[bpaf(command)]
    Audit {
        /// Show at most this many records, the latest ones.
        #[bpaf(long, argument("COUNT"), fallback(50))]
        limit: usize,
    },
    /// Show which servers a request was sent to, with the outcomes, or why it was refused.
    #[bpaf(command)]
    Explain {
        /// Id of the request, from the x-request-id header of its response.
        #[bpaf(positional("REQUEST-ID"))]
        request_id: RequestId,
    },
    /// Show the prompts and requests that a gateway refuses because they end servers, or lift a block.
    #[bpaf(command)]
    Quarantine(#[bpaf(external(quarantine_command))] QuarantineCommand),
    /// Show how many requests servers in need take, as a gateway knows it.
    #[bpaf(command)]
    Limits(#[bpaf(external(limit_arguments))] LimitArguments),
    /// Read an account's secret from standard input and print its hash for the list of accounts.
    #[bpaf(command("secret-hash"))]
    SecretHash,
}

/// Options of the commands that publish an edit.
#[derive(Clone, Debug)]
#[derive(Bpaf)]
pub struct PublishOptions {
    /// Author of the edit, for the audit trail.
    #[bpaf(long, argument("NAME"), env("USER"))]
    pub author: OperatorName,
    /// Reason for the edit, for the audit trail.
    #[bpaf(long, argument("TEXT"), fallback(SmolStr::default()))]
    pub reason: SmolStr,
    /// Wait at most this many seconds until the edit is in force everywhere.
    #[bpaf(long, argument("SECONDS"), fallback(10))]
    pub wait: u64,
}

/// Subcommands of `lists`.
#[derive(Clone, Debug)]
#[derive(Bpaf)]
pub enum ListCommand {
    /// Print the lists in force, in the format that `publish` reads.
    #[bpaf(command)]
    Show,
    /// Check a file and show what publishing it would change.
    #[bpaf(command)]
    Check {
        /// File with both lists.
        #[bpaf(positional("FILE"))]
        file: PathBuf,
    },
    /// Show what a file changes, publish it, and wait until it is in force everywhere.
    #[bpaf(command)]
    Publish {
        /// Publish without asking for confirmation.
        #[bpaf(long)]
        yes: bool,
        /// Author, reason and time to wait.
        #[bpaf(external(publish_options))]
        options: PublishOptions,
        /// File with both lists.
        #[bpaf(positional("FILE"))]
        file: PathBuf,
    },
}

/// Subcommands of `quarantine`.
#[derive(Clone, Debug)]
#[derive(Bpaf)]
pub enum QuarantineCommand {
    /// Show what is blocked.
    #[bpaf(command)]
    List {
        /// Address at which other gateways reach the gateway.
        #[bpaf(long, argument("ADDRESS"))]
        gateway: SocketAddr,
    },
    /// Lift a block at all gateways and show what is still blocked.
    #[bpaf(command)]
    Lift {
        /// Address at which other gateways reach the gateway.
        #[bpaf(long, argument("ADDRESS"))]
        gateway: SocketAddr,
        /// Digest of the prompt part or request, as `list` shows it.
        #[bpaf(positional("INPUT"))]
        input: InputDigest,
    },
}

/// Arguments of `limits`.
#[derive(Clone, Debug)]
#[derive(Bpaf)]
pub struct LimitArguments {
    /// Address at which other gateways reach the gateway.
    #[bpaf(long, argument("ADDRESS"))]
    pub gateway: SocketAddr,
}

/// Arguments of `domain` and `vm`, which take a failure domain or a VM out of service or back in.
#[derive(Clone, Debug)]
pub struct StateCommand {
    /// Author, reason and time to wait.
    pub options: PublishOptions,
    /// New service state.
    pub state: ServiceState,
    /// Configuration entry to change.
    pub key: EntryKey,
}

fn domain_command() -> impl Parser<StateCommand> {
    let parser = positional::<FailureDomain>("FAILURE-DOMAIN").help("The failure domain");
    state_command(parser.map(EntryKey::Domain))
}

fn vm_command() -> impl Parser<StateCommand> {
    let parser = positional::<VmId>("VM").help("The VM");
    state_command(parser.map(EntryKey::Vm))
}

fn state_command(key: impl Parser<EntryKey>) -> impl Parser<StateCommand> {
    let options = publish_options();
    let state = positional::<ServiceState>("STATE")
        .help("out: no new work, work in progress is completed; in: takes new work");
    construct!(StateCommand { options, state, key })
}
