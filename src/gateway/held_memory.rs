//! The memory that this process holds for callers and servers: every request counts what it holds
//! in one ledger, and ends if the ledger says so.

use std::{
    collections::BTreeMap,
    sync::{
        Arc, Mutex, MutexGuard, PoisonError, Weak,
        atomic::{AtomicU64, AtomicUsize, Ordering},
    },
    time::Duration,
};

use bytes::{Bytes, BytesMut};
use http_body_util::BodyExt;
use hyper::body::{Body as _, Frame, Incoming};
use thiserror::Error;
use tokio::time::{interval, timeout};
use tokio_util::sync::CancellationToken;

use crate::{
    http::{BodyError, ConnectionAbort, discard_body},
    routing::{EndedHolder, HoldKind, HoldOutcome, HoldStage, MemoryLedger, RequestNumber},
    telemetry::MetricSink,
    units::{ByteCount, ClientAccount, RequestId},
};

/// Time after which a caller that sends or takes nothing counts as idle.
pub(super) const IDLE_TIME: Duration = Duration::from_secs(1);
/// Time after which the connection of a caller that takes nothing is closed. Servers cut off what
/// is not read for some seconds.
pub(super) const UNREAD_TIMEOUT: Duration = Duration::from_secs(5);
/// Interval at which the held memory is written to the metrics.
const GAUGE_INTERVAL: Duration = Duration::from_secs(1);
/// Part of the VM's memory that requests may hold: one in this many. The rest is for connections,
/// the tables and what the allocator cannot return.
const MEMORY_DIVISOR: u64 = 2;

/// Returns what requests may hold together on a VM with this much memory.
pub(super) fn held_bound(memory_mb: f64) -> ByteCount {
    ByteCount((memory_mb * 1024.0 * 1024.0) as u64 / MEMORY_DIVISOR)
}

/// The ledger, and how to end each request in it.
pub(super) struct HeldMemory {
    state: Mutex<HeldState>,
    metrics: MetricSink,
}

struct HeldState {
    ledger: MemoryLedger,
    handles: BTreeMap<RequestNumber, EndHandle>,
}

/// How to end a request for its memory.
#[derive(Clone)]
struct EndHandle {
    request_id: RequestId,
    /// Refuses a request whose body is being read.
    refused: CancellationToken,
    connection: ConnectionAbort,
}

/// There is no room for what a request would hold.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[derive(Error)]
#[error("the process holds all the memory that it may")]
pub(super) struct MemoryRefused;

/// Why a request's body was not read.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[derive(Error)]
pub(super) enum HeldBodyError {
    #[error(transparent)]
    Body(#[from] BodyError),
    #[error(transparent)]
    Memory(#[from] MemoryRefused),
}

impl HeldMemory {
    pub(super) fn new(bound: ByteCount, metrics: MetricSink) -> Self {
        let state = HeldState { ledger: MemoryLedger::new(bound), handles: BTreeMap::new() };
        Self { state: Mutex::new(state), metrics }
    }

    /// Adds a request that will hold `announced` once its body is read.
    ///
    /// # Errors
    ///
    /// There is no room.
    pub(super) fn admit(
        self: &Arc<Self>,
        number: RequestNumber,
        (request_id, account): (&RequestId, Option<ClientAccount>),
        announced: ByteCount,
        connection: ConnectionAbort,
    ) -> Result<Arc<RequestMemory>, MemoryRefused> {
        let mut state = self.lock();
        let outcome = state.ledger.admit(number, account.clone(), announced);
        let HoldOutcome::Held(ended) = outcome else {
            let held = state.held();
            let bound = state.ledger.bound();
            drop(state);
            self.metrics.count("memory.refused");
            log::warn!(
                request:% = request_id, bytes = announced.0, held = held.0, bound = bound.0,
                account = account.as_ref().map(ClientAccount::as_str);
                "request refused for memory"
            );
            return Err(MemoryRefused);
        };
        let refused = CancellationToken::new();
        let handle = EndHandle { request_id: request_id.clone(), refused, connection };
        state.handles.insert(number, handle.clone());
        self.end_all(state, ended);
        let held = self.clone();
        Ok(Arc::new(RequestMemory {
            held,
            number,
            handle,
            amounts: Default::default(),
            taken: AtomicU64::new(0),
        }))
    }

    fn lock(&self) -> MutexGuard<'_, HeldState> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn end_all(&self, state: MutexGuard<'_, HeldState>, ended: Vec<EndedHolder>) {
        if ended.is_empty() {
            return;
        }
        let (held, bound) = (state.held(), state.ledger.bound());
        let find = |it: EndedHolder| Some((state.handles.get(&it.number)?.clone(), it));
        let handles: Vec<(EndHandle, EndedHolder)> = ended.into_iter().filter_map(find).collect();
        drop(state);
        for (handle, EndedHolder { stage, held: bytes, .. }) in handles {
            self.metrics.count(&format!("memory.ended.{}", stage.name()));
            log::warn!(
                request:% = handle.request_id, stage = stage.name(), bytes = bytes.0,
                held = held.0, bound = bound.0;
                "request ended for memory"
            );
            match stage {
                HoldStage::Reading | HoldStage::Paused => handle.refused.cancel(),
                HoldStage::Delivering
                | HoldStage::Idle
                | HoldStage::Running
                | HoldStage::Ending => handle.connection.abort(),
            }
        }
    }

    /// Writes the held memory to the metrics until the process ends.
    pub(super) async fn report(self: Arc<Self>) {
        let mut ticks = interval(GAUGE_INTERVAL);
        let mut last = HoldKind::ALL.map(|_| None);
        loop {
            ticks.tick().await;
            let held = {
                let state = self.lock();
                HoldKind::ALL.map(|it| Some(state.ledger.held(it)))
            };
            for (kind, bytes) in HoldKind::ALL.into_iter().zip(held) {
                if last[kind as usize] != bytes {
                    let bytes = bytes.map_or(0, |it| it.0);
                    self.metrics.gauge(&format!("memory.held.{}", kind.name()), bytes);
                }
            }
            last = held;
        }
    }
}

impl HeldState {
    fn held(&self) -> ByteCount {
        ByteCount(HoldKind::ALL.iter().map(|it| self.ledger.held(*it).0).sum())
    }
}

/// What one request holds, until its last byte is dropped.
pub(super) struct RequestMemory {
    held: Arc<HeldMemory>,
    number: RequestNumber,
    handle: EndHandle,
    /// What the request holds of each kind, changed under the ledger's lock.
    amounts: [AtomicUsize; HoldKind::ALL.len()],
    /// Pieces of the response that the caller's connection has taken.
    taken: AtomicU64,
}

impl Drop for RequestMemory {
    fn drop(&mut self) {
        let mut state = self.held.lock();
        state.ledger.remove(self.number);
        state.handles.remove(&self.number);
    }
}

impl RequestMemory {
    /// Starts to hold memory of one kind.
    pub(super) fn hold(self: &Arc<Self>, kind: HoldKind) -> HeldPart {
        HeldPart { memory: self.clone(), kind, bytes: 0 }
    }

    fn change(&self, kind: HoldKind, before: usize, now: usize) -> Result<(), MemoryRefused> {
        let mut state = self.held.lock();
        let amount = &self.amounts[kind as usize];
        let total = amount.load(Ordering::Relaxed) - before + now;
        match state.ledger.hold(self.number, kind, ByteCount(total as u64)) {
            HoldOutcome::Held(ended) => {
                amount.store(total, Ordering::Relaxed);
                self.held.end_all(state, ended);
                Ok(())
            }
            HoldOutcome::Refused => {
                let (held, bound) = (state.held(), state.ledger.bound());
                drop(state);
                self.held.metrics.count("memory.outgrown");
                log::warn!(
                    request:% = self.handle.request_id, kind = kind.name(), bytes = total,
                    held = held.0, bound = bound.0;
                    "request outgrows the memory"
                );
                Err(MemoryRefused)
            }
        }
    }

    pub(super) fn set_stage(&self, stage: HoldStage) {
        self.held.lock().ledger.set_stage(self.number, stage);
    }

    /// Records that the caller's connection took a piece of the response.
    pub(super) fn record_taken(&self) {
        self.taken.fetch_add(1, Ordering::Relaxed);
    }

    /// Closes the caller's connection so that its response does not look complete.
    pub(super) fn abort_connection(&self) {
        self.handle.connection.abort();
    }

    /// Reads a request's body, which counts from its first byte.
    ///
    /// # Errors
    ///
    /// The body is too large, too slow or incomplete, or there is no room for it.
    pub(super) async fn read_body(
        self: &Arc<Self>,
        body: &mut Incoming,
        limit: ByteCount,
        max_wait: Duration,
    ) -> Result<Bytes, HeldBodyError> {
        let content = tokio::select! {
            content = timeout(max_wait, self.collect_body(body, limit)) => {
                content.map_err(|_| BodyError::Timeout(max_wait))?
            }
            () = self.handle.refused.cancelled() => Err(MemoryRefused.into()),
        };
        match content {
            Ok(content) => {
                self.set_stage(HoldStage::Running);
                Ok(content)
            }
            Err(error) => {
                if matches!(error, HeldBodyError::Body(BodyError::TooLarge(_))) {
                    discard_body(body).await;
                }
                Err(error)
            }
        }
    }

    /// Reads the next part of a body, and marks the request if none comes for a while.
    async fn next_frame(&self, body: &mut Incoming) -> Option<hyper::Result<Frame<Bytes>>> {
        if let Ok(frame) = timeout(IDLE_TIME, body.frame()).await {
            return frame;
        }
        self.set_stage(HoldStage::Paused);
        let frame = body.frame().await;
        self.set_stage(HoldStage::Reading);
        frame
    }

    async fn collect_body(
        self: &Arc<Self>,
        body: &mut Incoming,
        limit: ByteCount,
    ) -> Result<Bytes, HeldBodyError> {
        let announced = body.size_hint();
        if announced.lower() > limit.0 {
            return Err(BodyError::TooLarge(limit).into());
        }
        // Memory that is reserved but not written takes no room yet.
        let reserved = announced.exact().and_then(|it| usize::try_from(it).ok());
        let mut content = BytesMut::with_capacity(reserved.unwrap_or(0));
        let mut part = self.hold(HoldKind::RequestBody);
        while let Some(frame) = self.next_frame(body).await {
            let Ok(data) = frame.map_err(|_| BodyError::Broken)?.into_data() else { continue };
            if (content.len() + data.len()) as u64 > limit.0 {
                return Err(BodyError::TooLarge(limit).into());
            }
            content.extend_from_slice(&data);
            let held = if reserved.is_some() { content.len() } else { content.capacity() };
            part.resize(held)?;
        }
        Ok(part.tie(content.freeze()))
    }
}

/// Closes the caller's connection if it takes nothing for `max_wait` while the response waits for
/// it.
pub(super) async fn watch_delivery(memory: Weak<RequestMemory>, max_wait: Duration) {
    let mut last = None;
    let mut waited = Duration::ZERO;
    loop {
        tokio::time::sleep(IDLE_TIME.min(max_wait)).await;
        let Some(memory) = memory.upgrade() else { return };
        let taken = Some(memory.taken.load(Ordering::Relaxed));
        let is_idle = std::mem::replace(&mut last, taken) == taken;
        waited = if is_idle { waited + IDLE_TIME.min(max_wait) } else { Duration::ZERO };
        if waited >= max_wait {
            log::info!(request:% = memory.handle.request_id; "caller takes nothing, connection closed");
            memory.held.metrics.count("caller.unread");
            memory.abort_connection();
            return;
        }
        memory.set_stage(if is_idle { HoldStage::Idle } else { HoldStage::Delivering });
    }
}

/// Memory of one kind that a request holds, given back when dropped.
pub(super) struct HeldPart {
    memory: Arc<RequestMemory>,
    kind: HoldKind,
    bytes: usize,
}

impl HeldPart {
    /// Sets what is held.
    ///
    /// # Errors
    ///
    /// There is no room for more.
    pub(super) fn resize(&mut self, bytes: usize) -> Result<(), MemoryRefused> {
        if bytes != self.bytes {
            self.memory.change(self.kind, self.bytes, bytes)?;
            self.bytes = bytes;
        }
        Ok(())
    }

    /// Ties bytes to the memory that they take: it is given back with the last of their clones.
    pub(super) fn tie(self, bytes: Bytes) -> Bytes {
        if self.bytes == 0 {
            return bytes;
        }
        Bytes::from_owner(HeldBytes { bytes, _part: self })
    }
}

impl Drop for HeldPart {
    fn drop(&mut self) {
        // Less memory is never refused.
        let _ = self.resize(0);
    }
}

/// Bytes, and the memory that they take.
struct HeldBytes {
    bytes: Bytes,
    _part: HeldPart,
}

impl AsRef<[u8]> for HeldBytes {
    fn as_ref(&self) -> &[u8] {
        &self.bytes
    }
}
