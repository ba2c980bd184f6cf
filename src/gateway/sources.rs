//! Following the platform's store, and other gateways while it cannot be read.
//!
//! Both keyed streams have offsets that only grow, so of two views of a stream the one with the
//! higher offset is newer, whoever has it.

use std::{
    collections::{BTreeMap, BTreeSet},
    sync::Arc,
    time::Duration,
};

use bytes::Bytes;
use serde::{Deserialize, Serialize};
use smol_str::SmolStr;
use volo_http::client::Client;

use super::{peers, shell::GatewayShell};
use crate::{
    platform::{
        KeyedRead, KeyedRecord, KeyedStream, OperatorKey, PlatformError, StoreClient,
        decode_catalog, decode_server,
    },
    routing::{RouteCatalog, RoutingEvent, ServerRecord, SourceName},
    units::{FailureDomain, LogOffset, Moment, ServerId},
};

/// Longest wait for a change of the operator's stream. The store may not wake a reader whose question
/// came together with the change, which then shows at the end of the wait: below the two seconds in which
/// changes are to be in force.
const OPERATOR_WAIT: Duration = Duration::from_millis(1_500);
/// Reads of the directory in the time within which a server that leaves gets no new work: four, so
/// that a slow one does no harm to gateways that leave reading to this one.
const READS_PER_LEAVE: u32 = 4;
/// Questions to the reader in that time.
const FOLLOWS_PER_LEAVE: u32 = 5;
/// Pause after a read that failed.
const RETRY_PAUSE: Duration = Duration::from_millis(300);

/// What was read of the platform, in the form in which gateways pass it to each other.
#[derive(Clone, Debug, Default)]
pub(super) struct PlatformView {
    /// The operator's stream.
    pub(super) operator: Option<OperatorView>,
    /// The directory.
    pub(super) directory: Option<DirectoryView>,
}

/// The operator's stream at an offset.
#[derive(Clone, Debug)]
#[derive(Serialize, Deserialize)]
pub(super) struct OperatorView {
    pub(super) offset: LogOffset,
    pub(super) catalog: Option<RouteCatalog>,
    pub(super) evacuated: BTreeSet<FailureDomain>,
}

/// The directory at an offset.
#[derive(Clone, Debug)]
#[derive(Serialize, Deserialize)]
pub(super) struct DirectoryView {
    pub(super) offset: LogOffset,
    pub(super) servers: BTreeMap<ServerId, ServerRecord>,
    /// When this process read it.
    #[serde(skip)]
    pub(super) read_at: Moment,
}

/// Keeps the catalog and the evacuations up to date.
pub(super) async fn follow_operator(shell: Arc<GatewayShell>, store: StoreClient) {
    let mut is_lost = false;
    loop {
        let from = shell.view().operator.as_ref().map(|it| it.offset);
        // A store that was silent is asked at once, and other gateways in between: a question that is
        // never answered would hide changes for the whole wait.
        let wait = if is_lost { Duration::ZERO } else { OPERATOR_WAIT };
        match read_changes(&store, KeyedStream::Operator, from, wait).await {
            Ok((records, offset, is_whole)) => {
                is_lost = false;
                let view = operator_view(&shell, records, offset, is_whole);
                take_operator(&shell, view, SourceName::Store);
            }
            Err(error) => {
                if !std::mem::replace(&mut is_lost, true) {
                    log::warn!(stream = "operator", error:% = error; "store read failed");
                }
                peers::ask_one(&shell).await;
                tokio::time::sleep(RETRY_PAUSE).await;
            }
        }
    }
}

/// Keeps the directory up to date.
pub(super) async fn follow_directory(shell: Arc<GatewayShell>, store: StoreClient, client: Client) {
    let mut is_lost = false;
    loop {
        if !is_lost && peers::follow_reader(&shell, &client).await {
            tokio::time::sleep(shell.leave_time / FOLLOWS_PER_LEAVE).await;
            continue;
        }
        let from = shell.view().directory.as_ref().map(|it| it.offset);
        match read_changes(&store, KeyedStream::Servers, from, Duration::ZERO).await {
            Ok((records, offset, is_whole)) => {
                if std::mem::replace(&mut is_lost, false) {
                    shell.dispatch(RoutingEvent::StoreRegained);
                }
                let view = directory_view(&shell, records, offset, is_whole);
                take_directory(&shell, view);
                tokio::time::sleep(shell.leave_time / READS_PER_LEAVE).await;
            }
            Err(error) => {
                if !std::mem::replace(&mut is_lost, true) {
                    log::warn!(stream = "directory", error:% = error; "store read failed");
                    shell.dispatch(RoutingEvent::StoreLost);
                }
                tokio::time::sleep(RETRY_PAUSE).await;
            }
        }
    }
}

/// Records since `from`, or the newest of each key. The flag says which: whole, or changes.
async fn read_changes(
    store: &StoreClient,
    stream: KeyedStream,
    from: Option<LogOffset>,
    wait: Duration,
) -> Result<(Vec<KeyedRecord>, LogOffset, bool), PlatformError> {
    if let Some(from) = from {
        match store.read(stream, from, wait).await? {
            KeyedRead::Records(records, offset) => return Ok((records, offset, false)),
            KeyedRead::Expired => {
                log::info!(from:% = from; "records of the store have expired; reading all keys");
            }
        }
    }
    let (records, offset) = store.read_newest(stream).await?;
    Ok((records, offset, true))
}

fn operator_view(
    shell: &GatewayShell,
    records: Vec<KeyedRecord>,
    offset: LogOffset,
    is_whole: bool,
) -> OperatorView {
    let old = shell.view().operator.clone();
    let mut view =
        old.unwrap_or(OperatorView { offset, catalog: None, evacuated: BTreeSet::new() });
    view.offset = offset;
    if is_whole {
        view.evacuated.clear();
    }
    for KeyedRecord { key, value } in records {
        match OperatorKey::parse(&key) {
            OperatorKey::Catalog => apply_catalog(&mut view, value),
            OperatorKey::Evacuation(domain) => apply_evacuation(&mut view, &domain, value),
            OperatorKey::Other => {}
        }
    }
    view
}

fn apply_catalog(view: &mut OperatorView, value: Option<Bytes>) {
    let Some(text) = value else { return };
    match decode_catalog(&text) {
        Ok(catalog) => {
            let newest = view.catalog.as_ref().map(RouteCatalog::version);
            if newest.is_none_or(|it| it < catalog.version()) {
                view.catalog = Some(catalog);
            }
        }
        Err(error) => log::error!(error:% = error; "catalog refused; the old one stays in force"),
    }
}

fn apply_evacuation(view: &mut OperatorView, domain: &SmolStr, value: Option<Bytes>) {
    let domain: FailureDomain = match domain.parse() {
        Ok(domain) => domain,
        Err(error) => {
            log::error!(domain:% = domain, error:% = error; "evacuation names no failure domain");
            return;
        }
    };
    match value {
        Some(_) => view.evacuated.insert(domain),
        None => view.evacuated.remove(&domain),
    };
}

fn directory_view(
    shell: &GatewayShell,
    records: Vec<KeyedRecord>,
    offset: LogOffset,
    is_whole: bool,
) -> DirectoryView {
    let old = if is_whole { None } else { shell.view().directory.clone() };
    let mut servers = old.map_or_else(BTreeMap::new, |it| it.servers);
    for KeyedRecord { key, value } in records {
        let record = value.and_then(|text| decode_server(&key, &text));
        match (key.parse::<ServerId>(), record) {
            (Ok(id), Some(record)) => {
                servers.insert(id, record);
            }
            (Ok(id), None) => {
                servers.remove(&id);
            }
            (Err(error), _) => {
                log::warn!(key:% = key, error:% = error; "directory key names no server");
            }
        }
    }
    DirectoryView { offset, servers, read_at: shell.clock.now() }
}

/// Takes over a view of the operator's stream, unless an equal or newer one is there.
pub(super) fn take_operator(shell: &GatewayShell, view: OperatorView, source: SourceName) {
    let is_newer = shell.view().operator.as_ref().is_none_or(|it| it.offset < view.offset);
    if !is_newer {
        return;
    }
    shell.view().operator = Some(view.clone());
    if let Some(catalog) = view.catalog {
        shell.dispatch(RoutingEvent::CatalogRead { source, catalog: Box::new(catalog) });
    }
    shell.dispatch(RoutingEvent::EvacuationsRead(view.evacuated));
}

/// Takes over a view of the directory, unless a newer one is there.
pub(super) fn take_directory(shell: &GatewayShell, view: DirectoryView) {
    let is_older = shell.view().directory.as_ref().is_some_and(|it| it.offset > view.offset);
    if is_older {
        return;
    }
    let list = view.servers.values().cloned().collect();
    shell.view().directory = Some(view);
    shell.dispatch(RoutingEvent::DirectoryRead(list));
}
