//! What the tool reads of the platform and of the processes.

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

/// Processes asked at once.
const PARALLEL_QUESTIONS: usize = 32;
/// Time for one process to answer.
const QUESTION_TIMEOUT: Duration = Duration::from_secs(2);

/// Reads the platform and asks processes.
pub(super) struct FleetClient {
    pub(super) log: LogClient,
    vms: VmListClient,
    client: Client,
}

/// What one process answered, if it did.
#[derive(Clone, Debug)]
#[derive(Serialize)]
pub(super) struct ProcessAnswer<T> {
    pub(super) vm: VmId,
    pub(super) answer: Option<T>,
}

impl FleetClient {
    pub(super) fn new(log: SocketAddr, vms: SocketAddr) -> Result<Self, PlatformError> {
        let client = Client::builder().build().map_err(PlatformError::Client)?;
        Ok(Self { log: LogClient::new(log)?, vms: VmListClient::new(vms)?, client })
    }

    /// Reduces the configuration stream as every process does.
    pub(super) async fn ledger(&self) -> Result<ConfigLedger, PlatformError> {
        let mut ledger = ConfigLedger::default();
        self.read_on(&mut ledger).await?;
        Ok(ledger)
    }

    /// Reduces what was published since.
    pub(super) async fn read_on(&self, ledger: &mut ConfigLedger) -> Result<(), PlatformError> {
        loop {
            let page = self.log.read(streams::CONFIG, ledger.next_read(), Duration::ZERO).await?;
            let end = page.next;
            ledger.apply_page(page);
            if ledger.next_read() >= end {
                return Ok(());
            }
        }
    }

    /// Reads all that a stream holds.
    pub(super) async fn read_stream<T: DeserializeOwned>(
        &self,
        stream: &str,
    ) -> Result<Vec<T>, PlatformError> {
        let mut next = LogOffset(0);
        let mut all = Vec::new();
        loop {
            let page = self.log.read(stream, next, Duration::ZERO).await?;
            next = LogOffset(next.0.max(page.first.0) + page.records.len() as u64);
            all.extend(page.records.iter().filter_map(|it| serde_json::from_str(&it.text).ok()));
            if next >= page.next {
                return Ok(all);
            }
        }
    }

    pub(super) async fn vms(&self) -> Result<Vec<VmRecord>, PlatformError> {
        self.vms.read().await
    }

    /// Asks each process, a bounded number at a time.
    pub(super) async fn ask<T: DeserializeOwned>(
        &self,
        vms: Vec<VmRecord>,
        path: &str,
    ) -> Vec<ProcessAnswer<T>> {
        let questions = stream::iter(vms).map(|record| async move {
            let uri = format!("http://{}{path}", record.admin);
            let answer = get_json(&self.client, uri, QUESTION_TIMEOUT).await.ok();
            ProcessAnswer { vm: record.vm, answer }
        });
        questions.buffered(PARALLEL_QUESTIONS).collect().await
    }

    pub(super) async fn statuses(
        &self,
    ) -> Result<Vec<ProcessAnswer<ProcessStatus>>, PlatformError> {
        Ok(self.ask(self.vms().await?, "/status").await)
    }
}

pub(super) async fn show_status(client: &FleetClient, output: Output) -> Result<(), OperatorError> {
    let statuses = client.statuses().await?;
    let header =
        ["VM", "ROLE", "FAILURE DOMAIN", "VERSION", "DIGEST", "STATE", "READY", "LOAD", "PEERS"];
    output.show(&statuses, &header, status_row)
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
