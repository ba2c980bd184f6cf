//! Watches the platform's store, and polls other gateways while the store cannot be read.
//!
//! The offsets of both keyed streams only grow, so the view of a stream with the higher offset is
//! the newer one, whichever process it comes from.

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
    routing::{CatalogSource, RouteCatalog, RoutingEvent, ServerRecord},
    units::{FailureDomain, LogOffset, Moment, ServerId},
};

/// Timeout of a long poll of the operator's stream. The store may miss waking a reader whose poll
/// arrives together with a change, which is then seen when the poll ends. The timeout is therefore
/// below the two seconds within which changes must be in force.
const OPERATOR_POLL_TIMEOUT: Duration = Duration::from_millis(1_500);
/// Number of directory reads within the time in which a draining server must stop getting new work.
/// With four, one slow read does not harm the gateways that rely on this reader.
const READS_PER_LEAVE_TIME: u32 = 4;
/// Number of polls of the reader within the same time.
const READER_POLLS_PER_LEAVE_TIME: u32 = 5;
/// Delay after a failed read.
const RETRY_DELAY: Duration = Duration::from_millis(300);

/// Latest data read from the platform's store, in the form in which gateways send it to each other.
#[derive(Clone, Debug, Default)]
pub(super) struct PlatformView {
    /// View of the operator's stream; `None` before the first read.
    pub(super) operator: Option<OperatorView>,
    /// View of the directory; `None` before the first read.
    pub(super) directory: Option<DirectoryView>,
}

/// The catalog and the evacuations as of an offset of the operator's stream.
#[derive(Clone, Debug)]
#[derive(Serialize, Deserialize)]
pub(super) struct OperatorView {
    pub(super) offset: LogOffset,
    pub(super) catalog: Option<RouteCatalog>,
    pub(super) evacuated: BTreeSet<FailureDomain>,
}

/// The servers as of an offset of the directory's stream.
#[derive(Clone, Debug)]
#[derive(Serialize, Deserialize)]
pub(super) struct DirectoryView {
    pub(super) offset: LogOffset,
    pub(super) servers: BTreeMap<ServerId, ServerRecord>,
    /// Time of the read from the store, or of its receipt from another gateway that gives no age.
    #[serde(skip)]
    pub(super) read_at: Moment,
}

/// Keeps the catalog and the evacuations up to date, from other gateways while the store cannot be
/// read.
pub(super) async fn watch_operator(shell: Arc<GatewayShell>, store: StoreClient) {
    let mut is_unavailable = false;
    loop {
        let from = shell.view().operator.as_ref().map(|it| it.offset);
        // After a failure the store is read without waiting, and other gateways are polled in
        // between: a long poll that gets no response would hide changes until it times out.
        let wait = if is_unavailable { Duration::ZERO } else { OPERATOR_POLL_TIMEOUT };
        match read_changes(&store, KeyedStream::Operator, from, wait).await {
            Ok((records, offset, is_snapshot)) => {
                is_unavailable = false;
                let view = build_operator_view(&shell, records, offset, is_snapshot);
                apply_operator_view(&shell, view, CatalogSource::Store);
            }
            Err(error) => {
                if !std::mem::replace(&mut is_unavailable, true) {
                    log::warn!(stream = "operator", error:% = error; "cannot read store");
                }
                peers::poll_random_peer(&shell).await;
                tokio::time::sleep(RETRY_DELAY).await;
            }
        }
    }
}

/// Keeps the directory up to date, from the reader of this failure domain or from the store.
pub(super) async fn watch_directory(shell: Arc<GatewayShell>, store: StoreClient, client: Client) {
    let mut is_unavailable = false;
    loop {
        if !is_unavailable && peers::poll_reader(&shell, &client).await {
            tokio::time::sleep(shell.leave_time / READER_POLLS_PER_LEAVE_TIME).await;
            continue;
        }
        let from = shell.view().directory.as_ref().map(|it| it.offset);
        match read_changes(&store, KeyedStream::Servers, from, Duration::ZERO).await {
            Ok((records, offset, is_snapshot)) => {
                if std::mem::replace(&mut is_unavailable, false) {
                    shell.dispatch(RoutingEvent::StoreRecovered);
                }
                let view = build_directory_view(&shell, records, offset, is_snapshot);
                apply_directory_view(&shell, view);
                tokio::time::sleep(shell.leave_time / READS_PER_LEAVE_TIME).await;
            }
            Err(error) => {
                if !std::mem::replace(&mut is_unavailable, true) {
                    log::warn!(stream = "directory", error:% = error; "cannot read store");
                    shell.dispatch(RoutingEvent::StoreUnavailable);
                }
                tokio::time::sleep(RETRY_DELAY).await;
            }
        }
    }
}

/// Reads the records since `from`, or the newest of each key if there is no usable offset. The flag
/// is `true` for a snapshot of all keys and `false` for changes.
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
                log::info!(from:% = from; "offset expired in store, reading all keys");
            }
        }
    }
    let (records, offset) = store.read_newest(stream).await?;
    Ok((records, offset, true))
}

fn build_operator_view(
    shell: &GatewayShell,
    records: Vec<KeyedRecord>,
    offset: LogOffset,
    is_snapshot: bool,
) -> OperatorView {
    let previous = shell.view().operator.clone();
    let mut view =
        previous.unwrap_or(OperatorView { offset, catalog: None, evacuated: BTreeSet::new() });
    view.offset = offset;
    if is_snapshot {
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
        Err(error) => log::error!(error:% = error; "invalid catalog, keeping the current one"),
    }
}

fn apply_evacuation(view: &mut OperatorView, domain: &SmolStr, value: Option<Bytes>) {
    let domain: FailureDomain = match domain.parse() {
        Ok(domain) => domain,
        Err(error) => {
            log::error!(domain:% = domain, error:% = error; "invalid failure domain in evacuation key");
            return;
        }
    };
    match value {
        Some(_) => view.evacuated.insert(domain),
        None => view.evacuated.remove(&domain),
    };
}

fn build_directory_view(
    shell: &GatewayShell,
    records: Vec<KeyedRecord>,
    offset: LogOffset,
    is_snapshot: bool,
) -> DirectoryView {
    let previous = if is_snapshot { None } else { shell.view().directory.clone() };
    let mut servers = previous.map_or_else(BTreeMap::new, |it| it.servers);
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
                log::warn!(key:% = key, error:% = error; "invalid server id in directory key");
            }
        }
    }
    DirectoryView { offset, servers, read_at: shell.clock.now() }
}

/// Applies a view of the operator's stream, unless the current one is as new or newer.
pub(super) fn apply_operator_view(shell: &GatewayShell, view: OperatorView, source: CatalogSource) {
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

/// Applies a view of the directory, unless the current one is newer.
pub(super) fn apply_directory_view(shell: &GatewayShell, view: DirectoryView) {
    let is_older = shell.view().directory.as_ref().is_some_and(|it| it.offset > view.offset);
    if is_older {
        return;
    }
    let list = view.servers.values().cloned().collect();
    shell.view().directory = Some(view);
    shell.dispatch(RoutingEvent::DirectoryRead(list));
}
