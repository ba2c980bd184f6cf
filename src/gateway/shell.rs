//! The shell around the reducer: holds the state shared by the gateway's tasks, dispatches events,
//! and returns the effects for the tasks to carry out.

use std::{
    collections::HashMap,
    sync::{
        Arc, Mutex, MutexGuard, PoisonError,
        atomic::{AtomicBool, AtomicU64, Ordering},
    },
    time::Duration,
};

use rand::{SeedableRng, rngs::SmallRng};
use tokio::sync::{Notify, Semaphore, mpsc};
use tokio_util::sync::CancellationToken;

use crate::{
    core::{Refusal, RefusalCode},
    daemon::ProcessClock,
    options::{DirectSettings, GatewaySettings, HttpLimits},
    routing::{
        AdmissionNote, AdmissionOutcome, AdmissionSettings, CatalogVersion, GatewayLocation,
        GatewaySighting, PeerTable, ReaderMark, RequestNumber, RetryNote, RetryReason,
        RouteCatalog, RoutingChange, RoutingEffect, RoutingEvent, RoutingSettings, RoutingState,
        reduce, retry_after,
    },
    telemetry::MetricSink,
    units::Moment,
};

use super::{
    attempts::AttemptTable,
    held_memory::{HeldMemory, held_bound},
    open_requests::OpenRequests,
    probes::ServerProbe,
    sources::PlatformView,
};

/// Timeout of requests whose callers state none.
const DEFAULT_CALLER_TIMEOUT: Duration = Duration::from_secs(30);
/// Memory that large answers may take together while they are collected, in kilobytes: the smallest
/// VMs have little more than a hundred megabytes.
const MAX_ANSWER_MEMORY_KB: usize = 16 << 10;
/// Interval at which the reducer is told which gateways were seen lately.
const GATEWAYS_INTERVAL: Duration = Duration::from_millis(500);

/// The reducer's state and the other data shared by the tasks of a gateway.
pub(super) struct GatewayShell {
    state: Mutex<RoutingState>,
    view: Mutex<PlatformView>,
    peers: Mutex<PeerTable>,
    /// How far the reader of this failure domain has read the operators' stream; `None` if this
    /// gateway does not follow a reader.
    reader_mark: Mutex<Option<ReaderMark>>,
    /// Wakes the task that follows the reader.
    reader_replied: Notify,
    /// Wakes the task that exchanges records with other gateways.
    records_changed: Notify,
    /// When the reducer was last told which gateways were seen.
    gateways_told_at: Mutex<Option<Moment>>,
    /// Probes for the task that makes them.
    probes: mpsc::Sender<ServerProbe>,
    /// Attempts in progress.
    pub(super) attempts: AttemptTable,
    /// Ends the waits of requests, by their numbers.
    wakes: Mutex<HashMap<RequestNumber, Arc<Notify>>>,
    next_request: AtomicU64,
    was_ready: AtomicBool,
    /// Limits on HTTP messages and connections.
    pub(super) limits: HttpLimits,
    /// Kilobytes that large answers may take together while they are collected.
    pub(super) answer_memory: Semaphore,
    /// Cancelled when all requests that are left must be answered, since the process ends.
    pub(super) grace_ended: CancellationToken,
    /// Requests that are not answered in full.
    pub(super) open_requests: Arc<OpenRequests>,
    /// Memory that requests hold.
    pub(super) memory: Arc<HeldMemory>,
    /// Settings of the retry delays.
    admission: AdmissionSettings,
    /// Time within which a draining server must stop getting new work; sets the read intervals of
    /// the directory.
    pub(super) leave_time: Duration,
    /// Time within which a new catalog or an evacuation must be in force.
    pub(super) apply_time: Duration,
    /// Clock of the process, which timestamps events.
    pub(super) clock: ProcessClock,
    /// Sink of the metrics.
    pub(super) metrics: MetricSink,
}

impl GatewayShell {
    pub(super) fn new(
        settings: &DirectSettings,
        gateway: &GatewaySettings,
        metrics: MetricSink,
        probes: mpsc::Sender<ServerProbe>,
    ) -> Self {
        let state = RoutingState::new(RoutingSettings {
            address: gateway.peer_listen,
            failure_domain: settings.identity.failure_domain.clone(),
            failure_domains: gateway.failure_domains.clone(),
            budget: gateway.budget,
            admission: gateway.admission,
            default_timeout: DEFAULT_CALLER_TIMEOUT,
            seed: rand::random(),
        });
        let own = GatewayLocation {
            address: gateway.peer_listen,
            failure_domain: settings.identity.failure_domain.clone(),
        };
        Self {
            state: Mutex::new(state),
            view: Mutex::default(),
            peers: Mutex::new(PeerTable::new(own, &gateway.seeds)),
            reader_mark: Mutex::new(None),
            reader_replied: Notify::new(),
            records_changed: Notify::new(),
            gateways_told_at: Mutex::new(None),
            probes,
            attempts: AttemptTable::default(),
            wakes: Mutex::default(),
            next_request: AtomicU64::new(0),
            was_ready: AtomicBool::new(false),
            limits: settings.http,
            answer_memory: Semaphore::new(MAX_ANSWER_MEMORY_KB),
            grace_ended: CancellationToken::new(),
            open_requests: Arc::default(),
            memory: Arc::new(HeldMemory::new(held_bound(gateway.memory_mb), metrics.clone())),
            admission: gateway.admission,
            leave_time: Duration::from_millis(gateway.leave_ms),
            apply_time: Duration::from_millis(gateway.apply_ms),
            clock: ProcessClock::start(),
            metrics,
        }
    }

    /// Reduces an event, logs the changes of the routing state, and returns the effect on a
    /// request, if any.
    pub(super) fn dispatch(&self, event: RoutingEvent) -> Option<RoutingEffect> {
        let effects = reduce(&mut lock(&self.state), self.clock.now(), event);
        let mut request_effect = None;
        for effect in effects {
            match effect {
                RoutingEffect::StateChanged(change) => self.log_change(&change),
                RoutingEffect::ShareRecords => self.records_changed.notify_one(),
                RoutingEffect::ProbeServer { server, address } => {
                    self.request_probe(ServerProbe { server, address });
                }
                RoutingEffect::EndAttempt { number, attempt } => {
                    self.metrics.count("attempts.ended_early");
                    self.attempts.end((number, attempt));
                }
                RoutingEffect::Resume(number) => {
                    if let Some(wake) = lock(&self.wakes).get(&number) {
                        wake.notify_one();
                    }
                }
                RoutingEffect::AdmissionNoted(note) => self.log_admission(&note),
                RoutingEffect::RetryNoted(note) => self.log_retry(&note),
                other => request_effect = Some(other),
            }
        }
        request_effect
    }

    fn request_probe(&self, probe: ServerProbe) {
        if let Err(error) = self.probes.try_send(probe) {
            log::warn!(error:% = error; "server not probed");
        }
    }

    /// Registers a request, so that its wait can be ended. The returned value is notified then.
    pub(super) fn register_wake(&self, number: RequestNumber) -> Arc<Notify> {
        lock(&self.wakes).entry(number).or_default().clone()
    }

    /// Forgets a request that has ended.
    pub(super) fn remove_wake(&self, number: RequestNumber) {
        lock(&self.wakes).remove(&number);
    }

    fn log_admission(&self, note: &AdmissionNote) {
        let AdmissionNote { rank, outcome, .. } = note;
        self.metrics.gauge("admission.queue", note.queue_length as u64);
        match outcome {
            AdmissionOutcome::Queued => {}
            AdmissionOutcome::Began | AdmissionOutcome::Abandoned => {
                self.metrics.time("admission.wait", note.waited);
            }
            AdmissionOutcome::Refused => {
                self.metrics.time("admission.wait", note.waited);
                self.metrics.count(&format!("admission.refused.rank_{rank}"));
            }
        }
        if note.is_logged {
            log::info!(
                request:% = note.request_id, rank:% = rank, limit = note.limit,
                best_load = note.best_load, news_age_ms = note.news_age.map(millis),
                position = note.position, queue_length = note.queue_length,
                waited_ms = millis(note.waited), outcome:% = outcome;
                "admission decided"
            );
        }
    }

    fn log_retry(&self, note: &RetryNote) {
        let RetryNote { request_id, service, reason, is_allowed, balance, gateways, .. } = note;
        match is_allowed {
            true => self.metrics.count(&format!("retries.{reason}")),
            false => self.metrics.count("retries.denied"),
        }
        if note.is_logged {
            log::info!(
                request:% = request_id, service:% = service, reason:% = reason,
                allowed = *is_allowed, balance = *balance, gateways = gateways.count,
                gateways_source:% = gateways.source, gateways_age_ms = gateways.age.map(millis);
                "retry decided"
            );
        }
    }

    fn log_change(&self, change: &RoutingChange) {
        self.metrics.count("beliefs.changed");
        if let RoutingChange::GatewaysCounted(gateways) = change {
            self.metrics.gauge("gateways.counted", u64::from(gateways.count));
        }
        if let RoutingChange::AccountShare { is_beyond: true, .. } = change {
            self.metrics.count("shares.beyond");
        }
        if let RoutingChange::EvidenceDropped { .. } = change {
            self.metrics.count("quarantine.parts_dropped");
        }
        let age_ms = self.directory_age_ms();
        log::info!(change:% = change, directory_age_ms = age_ms; "routing state changed");
    }

    /// Runs a closure on the routing state, under its lock.
    pub(super) fn read<T>(&self, read: impl FnOnce(&RoutingState) -> T) -> T {
        read(&lock(&self.state))
    }

    /// Whether the gateway accepts callers. Logs each change.
    pub(super) fn is_ready(&self) -> bool {
        let now = self.clock.now();
        let is_ready = self.read(|it| it.is_ready(now));
        if self.was_ready.swap(is_ready, Ordering::Relaxed) != is_ready {
            log::info!(ready = is_ready, directory_age_ms = self.directory_age_ms(); "readiness changed");
        }
        is_ready
    }

    /// Locks the view of the platform's store.
    pub(super) fn view(&self) -> MutexGuard<'_, PlatformView> {
        lock(&self.view)
    }

    /// Returns the age of the directory in milliseconds, or `None` before the first read and if the age
    /// is not known.
    pub(super) fn directory_age_ms(&self) -> Option<u64> {
        let read_at = self.view().directory.view()?.read_at?;
        u64::try_from(self.clock.now().since(read_at).as_millis()).ok()
    }

    /// Returns the version of the catalog in force for log lines, or 0 before the first one.
    pub(super) fn catalog_version(&self) -> CatalogVersion {
        self.read(|it| it.catalog().map(RouteCatalog::version).unwrap_or_default())
    }

    /// Returns the refusal of a request for whose body there is no memory.
    pub(super) fn memory_refusal(&self, time_left: Option<Duration>) -> Refusal {
        let time_left = time_left.unwrap_or(DEFAULT_CALLER_TIMEOUT);
        let mut rng = SmallRng::from_rng(&mut rand::rng());
        let delay = retry_after(time_left, RetryReason::Full, &self.admission, &mut rng);
        Refusal::not_run(RefusalCode::OutOfMemory).retry_after(delay)
    }

    /// Allocates the number of the next request.
    pub(super) fn next_number(&self) -> RequestNumber {
        RequestNumber(self.next_request.fetch_add(1, Ordering::Relaxed))
    }

    /// Returns the number of requests in progress.
    pub(super) fn in_progress(&self) -> usize {
        self.read(RoutingState::in_progress)
    }

    /// Records gateways that an agent reports or that speak for themselves.
    pub(super) fn record_peers(&self, gateways: Vec<GatewayLocation>) {
        if gateways.is_empty() {
            return;
        }
        let now = self.clock.now();
        self.peers().record_seen(gateways, now);
        self.tell_gateways(now);
    }

    /// Records gateways that another gateway, asked at `asked_at`, has seen.
    pub(super) fn record_sightings(&self, gateways: Vec<GatewaySighting>, asked_at: Moment) {
        let now = self.clock.now();
        self.peers().record_sightings(gateways, asked_at, now);
        self.tell_gateways(now);
    }

    /// Tells the reducer which gateways were seen lately, if it is due.
    fn tell_gateways(&self, now: Moment) {
        let is_due = {
            let mut told_at = lock(&self.gateways_told_at);
            let is_due = told_at.is_none_or(|at| now.since(at) >= GATEWAYS_INTERVAL);
            *told_at = if is_due { Some(now) } else { *told_at };
            is_due
        };
        if is_due {
            let recent = self.peers().recent(now);
            self.dispatch(RoutingEvent::GatewaysSeen(recent));
        }
    }

    /// Returns how far this gateway has read the operators' stream, or `None` before the first read.
    pub(super) fn operator_mark(&self) -> Option<ReaderMark> {
        let view = self.view();
        Some(ReaderMark { position: view.operator.position()?, read_at: view.operator_read_at })
    }

    /// Records the reader's mark, or that this gateway follows no reader.
    pub(super) fn record_reader_mark(&self, mark: Option<ReaderMark>) {
        *lock(&self.reader_mark) = mark;
        self.reader_replied.notify_one();
    }

    /// Returns the latest mark of the reader.
    pub(super) fn reader_mark(&self) -> Option<ReaderMark> {
        *lock(&self.reader_mark)
    }

    /// Waits until the reader's next mark is recorded.
    pub(super) async fn reader_replied(&self) {
        self.reader_replied.notified().await;
    }

    /// Waits until there are records that other gateways may not know.
    pub(super) async fn records_changed(&self) {
        self.records_changed.notified().await;
    }

    /// Locks the table of other gateways.
    pub(super) fn peers(&self) -> MutexGuard<'_, PeerTable> {
        lock(&self.peers)
    }
}

fn millis(duration: Duration) -> u64 {
    u64::try_from(duration.as_millis()).unwrap_or(u64::MAX)
}

/// Locks a mutex and ignores poisoning: each update is one assignment or one reduction, so a panic
/// leaves no partially updated value behind.
fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}
