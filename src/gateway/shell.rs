//! Hands events to the reducer, and its effects to whoever carries them out.

use std::{
    sync::{
        Mutex, MutexGuard, PoisonError,
        atomic::{AtomicBool, AtomicU64, Ordering},
    },
    time::Duration,
};

use crate::{
    daemon::ProcessClock,
    options::{DirectSettings, GatewaySettings, HttpLimits},
    routing::{
        BeliefChange, CatalogVersion, GatewayPlace, PeerTable, RequestNumber, RouteCatalog,
        RoutingEffect, RoutingEvent, RoutingSettings, RoutingState, reduce,
    },
    telemetry::MetricSink,
};

use super::sources::PlatformView;

/// Patience of callers that state none.
const DEFAULT_PATIENCE: Duration = Duration::from_secs(30);

/// The reducer's state and what the tasks of a gateway share.
pub(super) struct GatewayShell {
    state: Mutex<RoutingState>,
    view: Mutex<PlatformView>,
    peers: Mutex<PeerTable>,
    next_request: AtomicU64,
    was_ready: AtomicBool,
    /// Bounds on HTTP.
    pub(super) limits: HttpLimits,
    /// Time within which a server that leaves gets no new work.
    pub(super) leave_time: Duration,
    /// The runtime's clock.
    pub(super) clock: ProcessClock,
    /// Where metrics go.
    pub(super) metrics: MetricSink,
}

impl GatewayShell {
    pub(super) fn new(
        settings: &DirectSettings,
        gateway: &GatewaySettings,
        metrics: MetricSink,
    ) -> Self {
        let state = RoutingState::new(RoutingSettings {
            failure_domain: settings.identity.failure_domain.clone(),
            budget: gateway.budget,
            admission: gateway.admission,
            default_patience: DEFAULT_PATIENCE,
            seed: rand::random(),
        });
        let own = GatewayPlace {
            address: gateway.peer_listen,
            failure_domain: settings.identity.failure_domain.clone(),
        };
        Self {
            state: Mutex::new(state),
            view: Mutex::default(),
            peers: Mutex::new(PeerTable::new(own, &gateway.seeds)),
            next_request: AtomicU64::new(0),
            was_ready: AtomicBool::new(false),
            limits: settings.http,
            leave_time: Duration::from_millis(gateway.leave_ms),
            clock: ProcessClock::start(),
            metrics,
        }
    }

    /// Reduces an event, logs what is believed now, and gives what is to be done for a request.
    pub(super) fn dispatch(&self, event: RoutingEvent) -> Option<RoutingEffect> {
        let effects = reduce(&mut lock(&self.state), self.clock.now(), event);
        let mut step = None;
        for effect in effects {
            match effect {
                RoutingEffect::Believe(change) => self.log_belief(&change),
                other => step = Some(other),
            }
        }
        step
    }

    fn log_belief(&self, change: &BeliefChange) {
        self.metrics.count("beliefs.changed");
        let age_ms = self.directory_age_ms();
        log::info!(change:% = change, directory_age_ms = age_ms; "belief changed");
    }

    /// Reads the state.
    pub(super) fn read<T>(&self, read: impl FnOnce(&RoutingState) -> T) -> T {
        read(&lock(&self.state))
    }

    /// Whether the gateway takes callers.
    pub(super) fn is_ready(&self) -> bool {
        let now = self.clock.now();
        let is_ready = self.read(|it| it.is_ready(now));
        if self.was_ready.swap(is_ready, Ordering::Relaxed) != is_ready {
            log::info!(ready = is_ready, directory_age_ms = self.directory_age_ms(); "readiness changed");
        }
        is_ready
    }

    /// What was read of the platform.
    pub(super) fn view(&self) -> MutexGuard<'_, PlatformView> {
        lock(&self.view)
    }

    /// Age of the directory, for log lines.
    pub(super) fn directory_age_ms(&self) -> Option<u64> {
        let read_at = self.view().directory.as_ref()?.read_at;
        u64::try_from(self.clock.now().since(read_at).as_millis()).ok()
    }

    /// Version of the catalog in force, for log lines.
    pub(super) fn catalog_version(&self) -> CatalogVersion {
        self.read(|it| it.catalog().map(RouteCatalog::version).unwrap_or_default())
    }

    /// Number for the next request.
    pub(super) fn next_number(&self) -> RequestNumber {
        RequestNumber(self.next_request.fetch_add(1, Ordering::Relaxed))
    }

    /// Requests in progress.
    pub(super) fn in_progress(&self) -> usize {
        self.read(RoutingState::in_progress)
    }

    /// Notes gateways that an agent hears from.
    pub(super) fn note_peers(&self, gateways: Vec<GatewayPlace>) {
        self.peers().note(gateways, self.clock.now());
    }

    /// Other gateways.
    pub(super) fn peers(&self) -> MutexGuard<'_, PeerTable> {
        lock(&self.peers)
    }
}

/// A panic under a lock leaves whole values behind: each update is one assignment or one reduction.
fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}
