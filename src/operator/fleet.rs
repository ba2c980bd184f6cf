//! Client for the platform's services and the admin interfaces of the processes.

use std::{net::SocketAddr, time::Duration};

use futures_util::{StreamExt, stream};
use serde::{Serialize, de::DeserializeOwned};
use volo_http::client::Client;

use super::{OperatorError, render::Output};
use crate::{
    config::ConfigLedger,
    core::VmRecord,
    daemon::ProcessStatus,
    platform::{LogClient, PlatformError, VmListClient, get_json, streams},
    units::{LogOffset, VmId},
};

/// Maximum number of processes queried at once.
const MAX_PARALLEL_QUERIES: usize = 32;
/// Timeout of a query to one process.
const QUERY_TIMEOUT: Duration = Duration::from_secs(2);

/// Reads the platform's log and VM list and queries processes.
pub(super) struct FleetClient {
    pub(super) log: LogClient,
    vms: VmListClient,
    http_client: Client,
}

/// Answer of one process; `None` if the query failed.
#[derive(Clone, Debug)]
#[derive(Serialize)]
pub(super) struct ProcessAnswer<T> {
    pub(super) vm: VmId,
    pub(super) answer: Option<T>,
}

impl FleetClient {
    pub(super) fn new(log: SocketAddr, vms: SocketAddr) -> Result<Self, PlatformError> {
        let http_client = Client::builder().build().map_err(PlatformError::Client)?;
        Ok(Self { log: LogClient::new(log)?, vms: VmListClient::new(vms)?, http_client })
    }

    /// Builds the configuration from its stream, as every process does.
    pub(super) async fn read_ledger(&self) -> Result<ConfigLedger, PlatformError> {
        let mut ledger = ConfigLedger::default();
        self.catch_up(&mut ledger).await?;
        Ok(ledger)
    }

    /// Applies the records that were published since the last read.
    pub(super) async fn catch_up(&self, ledger: &mut ConfigLedger) -> Result<(), PlatformError> {
        loop {
            let page = self.log.read(streams::CONFIG, ledger.next_read(), Duration::ZERO).await?;
            let end = page.next;
            ledger.apply_page(page);
            if ledger.next_read() >= end {
                return Ok(());
            }
        }
    }

    /// Reads and decodes all records of a stream. Skips records that cannot be decoded.
    pub(super) async fn read_stream<T: DeserializeOwned>(
        &self,
        stream: &str,
    ) -> Result<Vec<T>, PlatformError> {
        let mut next = LogOffset(0);
        let mut records = Vec::new();
        loop {
            let page = self.log.read(stream, next, Duration::ZERO).await?;
            next = LogOffset(next.0.max(page.first.0) + page.records.len() as u64);
            records
                .extend(page.records.iter().filter_map(|it| serde_json::from_str(&it.text).ok()));
            if next >= page.next {
                return Ok(records);
            }
        }
    }

    pub(super) async fn read_vms(&self) -> Result<Vec<VmRecord>, PlatformError> {
        self.vms.read().await
    }

    /// Queries the admin interface of each process, [`MAX_PARALLEL_QUERIES`] at a time. The answers
    /// are in the order of `vms`.
    pub(super) async fn query<T: DeserializeOwned>(
        &self,
        vms: Vec<VmRecord>,
        path: &str,
    ) -> Vec<ProcessAnswer<T>> {
        let queries = stream::iter(vms).map(|record| async move {
            let uri = format!("http://{}{path}", record.admin);
            let answer = get_json(&self.http_client, uri, QUERY_TIMEOUT).await.ok();
            ProcessAnswer { vm: record.vm, answer }
        });
        queries.buffered(MAX_PARALLEL_QUERIES).collect().await
    }

    pub(super) async fn query_statuses(
        &self,
    ) -> Result<Vec<ProcessAnswer<ProcessStatus>>, PlatformError> {
        Ok(self.query(self.read_vms().await?, "/status").await)
    }
}

pub(super) async fn show_status(client: &FleetClient, output: Output) -> Result<(), OperatorError> {
    let statuses = client.query_statuses().await?;
    let header =
        ["VM", "ROLE", "FAILURE DOMAIN", "VERSION", "DIGEST", "STATE", "READY", "LOAD", "PEERS"];
    output.print_table(&statuses, &header, status_row)
}

fn status_row(process: &ProcessAnswer<ProcessStatus>) -> Vec<String> {
    let vm = process.vm.to_string();
    let Some(status) = &process.answer else {
        return vec![vm, "no answer".into()];
    };
    let load = match status.role {
        crate::wire::PeerRole::Entry => format!("{} in progress", status.requests),
        crate::wire::PeerRole::Agent => {
            let report = status.report;
            format!("{}/{}, {} waiting", report.running, report.limit, report.waiting)
        }
    };
    vec![
        vm,
        status.role.to_string(),
        status.failure_domain.to_string(),
        status.version.to_string(),
        format!("{:016x}", status.digest.0),
        if status.stopping { "stopping".into() } else { status.state.to_string() },
        if status.ready { "yes".into() } else { "no".into() },
        load,
        status.peers.len().to_string(),
    ]
}
