//! Arguments of `alderbayctl`.

use std::{net::SocketAddr, path::PathBuf};

use bpaf::{Bpaf, Parser, construct, positional};
use smol_str::SmolStr;

use crate::{
    config::{EntryKey, ServiceState},
    units::{FailureDomain, OperatorName, RequestId, VmId},
};

#[derive(Clone, Debug)]
#[derive(Bpaf)]
#[bpaf(options, version, generate(control_arguments))]
/// Publishes the operators' lists, takes failure domains and VMs out and in, and shows what the
/// fleet does.
///
/// Exit codes: 0 done, 1 failed, 4 the edit was rejected, 5 accepted but not in force everywhere in
/// time, 6 nobody remembers what was asked for.
pub struct ControlArguments {
    /// Address of the platform's log service.
    #[bpaf(long, argument("ADDRESS"), env("ALDERBAY_LOG_SERVICE"))]
    pub log_service: SocketAddr,
    /// Address of the platform's VM list.
    #[bpaf(long, argument("ADDRESS"), env("ALDERBAY_VM_LIST"))]
    pub vm_list: SocketAddr,
    /// Print JSON for scripts in place of tables.
    #[bpaf(long)]
    pub json: bool,
    /// The command.
    #[bpaf(external(control_command))]
    pub command: ControlCommand,
}

/// Commands
#[derive(Clone, Debug)]
#[derive(Bpaf)]
pub enum ControlCommand {
    /// Show, check or publish the two lists: accounts with their plans, and what each plan may use.
    #[bpaf(command)]
    Lists(#[bpaf(external(list_command))] ListCommand),
    /// Take a failure domain out of service, or back in.
    #[bpaf(command)]
    Domain(#[bpaf(external(domain_command))] StateCommand),
    /// Take a VM out of service, or back in.
    #[bpaf(command)]
    Vm(#[bpaf(external(vm_command))] StateCommand),
    /// Show each process: role, failure domain, configuration in force, load, state.
    #[bpaf(command)]
    Status,
    /// Show who changed what and when, and what the system did about it.
    #[bpaf(command)]
    Audit {
        /// Show at most this many of the latest records.
        #[bpaf(long, argument("COUNT"), fallback(50))]
        limit: usize,
    },
    /// Show why a request went where it went, or was refused.
    #[bpaf(command)]
    Explain {
        /// The request's id, as on its answer.
        #[bpaf(positional("REQUEST-ID"))]
        request_id: RequestId,
    },
    /// Read an account's secret from standard input and print its hash for the list of accounts.
    #[bpaf(command("secret-hash"))]
    SecretHash,
}

/// How an edit is published.
#[derive(Clone, Debug)]
#[derive(Bpaf)]
pub struct PublishOptions {
    /// Who makes the edit, for the audit trail.
    #[bpaf(long, argument("NAME"), env("USER"))]
    pub author: OperatorName,
    /// Why, for the audit trail.
    #[bpaf(long, argument("TEXT"), fallback(SmolStr::default()))]
    pub reason: SmolStr,
    /// Wait at most this many seconds until the edit is in force everywhere.
    #[bpaf(long, argument("SECONDS"), fallback(10))]
    pub wait: u64,
}

/// What to do with the lists.
#[derive(Clone, Debug)]
#[derive(Bpaf)]
pub enum ListCommand {
    /// Print the lists in force, in the shape that `publish` takes.
    #[bpaf(command)]
    Show,
    /// Check a file and show what publishing it would change.
    #[bpaf(command)]
    Check {
        /// The file.
        #[bpaf(positional("FILE"))]
        file: PathBuf,
    },
    /// Show what a file changes, publish it, and wait until it is in force everywhere.
    #[bpaf(command)]
    Publish {
        /// Publish without asking.
        #[bpaf(long)]
        yes: bool,
        /// How to publish.
        #[bpaf(external(publish_options))]
        options: PublishOptions,
        /// The file.
        #[bpaf(positional("FILE"))]
        file: PathBuf,
    },
}

/// Takes a failure domain or a VM out of service, or back in.
#[derive(Clone, Debug)]
pub struct StateCommand {
    /// How to publish.
    pub options: PublishOptions,
    /// Out or in.
    pub state: ServiceState,
    /// The entry of the configuration that says so.
    pub key: EntryKey,
}

fn domain_command() -> impl Parser<StateCommand> {
    let id = positional::<FailureDomain>("FAILURE-DOMAIN").help("The failure domain");
    state_command(id.map(EntryKey::Domain))
}

fn vm_command() -> impl Parser<StateCommand> {
    let id = positional::<VmId>("VM").help("The VM");
    state_command(id.map(EntryKey::Vm))
}

fn state_command(key: impl Parser<EntryKey>) -> impl Parser<StateCommand> {
    let options = publish_options();
    let state = positional::<ServiceState>("STATE")
        .help("out: gets no new work, and work in progress ends in its own time; in: gets work");
    construct!(StateCommand { options, state, key })
}
