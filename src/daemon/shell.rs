//! The shell around the reducer: passes events to it and executes the effects that it returns.

mod traces;
mod mailboxes;

use std::{
    io,
    net::SocketAddr,
    sync::{
        Arc, Mutex,
        atomic::{AtomicU64, Ordering},
    },
};

use thiserror::Error;
use tokio::sync::{Notify, mpsc, watch};

use mailboxes::{MailboxMap, lock};
use traces::TraceBuffer;
pub use traces::{AttemptRecord, RequestTrace};

use super::ProcessClock;
use crate::{
    config::EditVerdict,
    core::{
        AuditEvent, CoreSettings, DemandReport, Effect, Event, PriorResult, ProcessState, Refusal,
        ShareGrant, TimedEvent, WorkId, reduce,
    },
    http::ListenerError,
    options::{RoleSettings, Settings, SettingsError},
    platform::{LogClient, PlatformError, VmListClient},
    telemetry::{LogError, MetricSink, MetricsError},
    transport::TransportError,
    units::{ConfigDigest, ConfigVersion, IncarnationId, Moment, PriorityLevel, RequestId, VmId},
    wire::{AgentReport, ControlMessage, IdempotencyKey, RefusalReason},
};

/// Why a process could not start or run.
#[derive(Debug)]
#[derive(Error)]
pub enum DaemonError {
    /// The settings are invalid.
    #[error(transparent)]
    Settings(#[from] SettingsError),
    /// Logging could not be started.
    #[error(transparent)]
    Log(#[from] LogError),
    /// Metrics cannot be sent.
    #[error(transparent)]
    Metrics(#[from] MetricsError),
    /// The QUIC endpoint cannot be set up.
    #[error(transparent)]
    Transport(#[from] TransportError),
    /// An HTTP address cannot be bound.
    #[error(transparent)]
    Listener(#[from] ListenerError),
    /// A client of the platform cannot be built.
    #[error(transparent)]
    Platform(#[from] PlatformError),
    /// A signal handler cannot be installed.
    #[error("installing a signal handler: {0}")]
    Signal(io::Error),
}

/// Command of the reducer to the task of a caller's request.
#[derive(Clone, Debug)]
pub enum RequestCommand {
    /// Send the request to a backend server's agent.
    Attempt {
        /// VM of the agent.
        vm: VmId,
        /// Priority from the account's plan.
        priority: PriorityLevel,
    },
    /// Answer the caller with this refusal.
    Refuse(Refusal),
}

/// Command of the reducer to the task of a work request at an agent.
#[derive(Clone, Debug)]
pub enum WorkCommand {
    /// Start the work on the backend server.
    Start,
    /// Send the requested ticket.
    IssueTicket,
    /// Refuse the work for this reason.
    Refuse(RefusalReason),
    /// Redirect the entry to the agent that holds the claim on the work's key.
    RedirectTo(VmId),
    /// Answer with the result of an earlier run of the work's key.
    Replay(PriorResult),
}

/// Command of the reducer to the task that keeps an entry's connections to agents.
#[derive(Clone, Debug)]
pub enum PeerCommand {
    /// Connect to an agent and stay connected.
    Connect {
        /// VM of the agent.
        vm: VmId,
        /// UDP address of the agent.
        address: SocketAddr,
    },
    /// Close the connection.
    Disconnect(VmId),
}

/// Demand to report to a home, the entry that divides the plan limits of some accounts.
#[derive(Clone, Debug)]
pub struct DemandMessage {
    /// VM of the home.
    pub home: VmId,
    /// UDP address of the home.
    pub address: SocketAddr,
    /// Demand of each account that the home is responsible for.
    pub reports: Vec<DemandReport>,
}

/// The imperative shell around the pure reducer: the reducer's state, the channels that its effects
/// go to, and the process-wide clients and settings.
pub struct ProcessShell {
    state: Mutex<ProcessState>,
    request_mailboxes: MailboxMap<RequestId, RequestCommand>,
    work_mailboxes: MailboxMap<WorkId, WorkCommand>,
    next_work_id: AtomicU64,
    control_mailboxes: MailboxMap<VmId, ControlMessage>,
    traces: Mutex<TraceBuffer>,
    peer_sender: mpsc::UnboundedSender<PeerCommand>,
    claim_sender: mpsc::UnboundedSender<Vec<IdempotencyKey>>,
    audit_sender: mpsc::UnboundedSender<AuditEvent>,
    demand_sender: mpsc::UnboundedSender<DemandMessage>,
    grant_mailboxes: MailboxMap<VmId, Vec<ShareGrant>>,
    config_sender: watch::Sender<(ConfigVersion, ConfigDigest)>,
    report_sender: watch::Sender<AgentReport>,
    timer_sender: watch::Sender<Option<Moment>>,
    idle_notify: Notify,
    /// Clock for the moments that the reducer sees.
    pub clock: ProcessClock,
    /// Sink of the process's metrics.
    pub metrics: MetricSink,
    /// Settings of the process.
    pub settings: Settings,
    /// Random number that identifies this start of the process.
    pub incarnation: IncarnationId,
    /// Client of the platform's log service.
    pub log: LogClient,
    /// Client of the platform's VM list.
    pub vms: VmListClient,
}

/// Receiving ends of the channels whose effects are each executed by a single task.
pub struct EffectReceivers {
    /// Connections to open and close.
    pub peers: mpsc::UnboundedReceiver<PeerCommand>,
    /// Idempotency keys to claim.
    pub claims: mpsc::UnboundedReceiver<Vec<IdempotencyKey>>,
    /// Events for the audit trail.
    pub audit: mpsc::UnboundedReceiver<AuditEvent>,
    /// Demand to report to homes.
    pub demand: mpsc::UnboundedReceiver<DemandMessage>,
}

impl ProcessShell {
    /// Creates a shell in its initial state, with a new incarnation.
    ///
    /// # Errors
    ///
    /// Returns an error if a client of the platform cannot be built.
    pub fn new(
        settings: &Settings,
        metrics: MetricSink,
    ) -> Result<(Self, EffectReceivers), DaemonError> {
        let incarnation = IncarnationId(rand::random());
        let state = ProcessState::new(build_core_settings(settings, incarnation));
        let (peer_sender, peer_receiver) = mpsc::unbounded_channel();
        let (claim_sender, claim_receiver) = mpsc::unbounded_channel();
        let (audit_sender, audit_receiver) = mpsc::unbounded_channel();
        let (demand_sender, demand_receiver) = mpsc::unbounded_channel();
        let report = state.report();
        let shell = Self {
            state: Mutex::new(state),
            request_mailboxes: MailboxMap::default(),
            work_mailboxes: MailboxMap::default(),
            next_work_id: AtomicU64::new(0),
            control_mailboxes: MailboxMap::default(),
            traces: Mutex::default(),
            peer_sender,
            claim_sender,
            audit_sender,
            demand_sender,
            grant_mailboxes: MailboxMap::default(),
            config_sender: watch::Sender::new((ConfigVersion(0), ConfigDigest(0))),
            report_sender: watch::Sender::new(report),
            timer_sender: watch::Sender::new(None),
            idle_notify: Notify::new(),
            clock: ProcessClock::start(),
            metrics,
            settings: settings.clone(),
            incarnation,
            log: LogClient::new(settings.platform.log_service)?,
            vms: VmListClient::new(settings.platform.vm_list)?,
        };
        Ok((
            shell,
            EffectReceivers {
                peers: peer_receiver,
                claims: claim_receiver,
                audit: audit_receiver,
                demand: demand_receiver,
            },
        ))
    }

    /// Applies an event to the state and executes the resulting effects.
    pub fn dispatch(&self, event: Event) {
        // Holding the lock keeps the effects of concurrent events in the order of the events.
        let mut state = lock(&self.state);
        let timed = TimedEvent { at: self.clock.now(), event };
        for effect in reduce(&mut state, timed) {
            self.execute_effect(&state, effect);
        }
    }

    /// Calls `read` with the locked state.
    pub fn read<T>(&self, read: impl FnOnce(&ProcessState) -> T) -> T {
        read(&lock(&self.state))
    }

    fn execute_effect(&self, state: &ProcessState, effect: Effect) {
        match effect {
            Effect::Connect { vm, address } => {
                self.send_peer_command(PeerCommand::Connect { vm, address })
            }
            Effect::Disconnect(vm) => self.send_peer_command(PeerCommand::Disconnect(vm)),
            Effect::FetchConfig(vm) => {
                self.control_mailboxes.send(&vm, ControlMessage::ConfigWanted)
            }
            Effect::ConfigInForce(version) => {
                log::info!(version:% = version; "configuration in force");
                self.config_sender.send_replace((version, state.ledger().digest()));
            }
            Effect::EditDecided(verdict) => log_verdict(&verdict),
            Effect::Audit(event) => {
                log::info!(fact:% = event; "audit");
                // The receiver exists until the process ends.
                let _ = self.audit_sender.send(event);
            }
            Effect::ReportDemand { home, address, reports } => {
                // The receiver exists until the process ends.
                let _ = self.demand_sender.send(DemandMessage { home, address, reports });
            }
            Effect::AnswerDemand { to, grants } => self.grant_mailboxes.send(&to, grants),
            Effect::Attempt { request_id, vm, priority } => {
                self.record_attempt(&request_id, &vm);
                self.request_mailboxes.send(&request_id, RequestCommand::Attempt { vm, priority });
            }
            Effect::Refuse { request_id, refusal } => {
                self.record_refusal(&request_id, &refusal);
                self.request_mailboxes.send(&request_id, RequestCommand::Refuse(refusal));
            }
            Effect::IssueTicket(work) => self.work_mailboxes.send(&work, WorkCommand::IssueTicket),
            Effect::StartWork(work) => self.work_mailboxes.send(&work, WorkCommand::Start),
            Effect::RefuseWork { work, reason } => {
                self.work_mailboxes.send(&work, WorkCommand::Refuse(reason))
            }
            Effect::PointToClaim { work, vm } => {
                self.work_mailboxes.send(&work, WorkCommand::RedirectTo(vm))
            }
            Effect::ReplayAnswer { work, answer } => {
                self.work_mailboxes.send(&work, WorkCommand::Replay(answer))
            }
            Effect::AppendClaims(keys) => {
                // The receiver exists until the process ends.
                let _ = self.claim_sender.send(keys);
            }
            Effect::Report(report) => {
                self.report_sender.send_replace(report);
            }
            Effect::ArmTimer(moment) => {
                self.timer_sender.send_replace(Some(moment));
            }
            Effect::StopReady => self.idle_notify.notify_waiters(),
        }
    }

    fn send_peer_command(&self, command: PeerCommand) {
        let _ = self.peer_sender.send(command);
    }

    /// Mailboxes of the tasks of callers' requests; entries only.
    pub fn request_mailboxes(&self) -> &MailboxMap<RequestId, RequestCommand> {
        &self.request_mailboxes
    }

    /// Assigns an id to new work and opens its mailbox.
    pub fn open_work_mailbox(&self) -> (WorkId, mpsc::UnboundedReceiver<WorkCommand>) {
        let work = WorkId(self.next_work_id.fetch_add(1, Ordering::Relaxed));
        (work, self.work_mailboxes.replace(&work))
    }

    /// Mailboxes of the tasks of work requests; agents only.
    pub fn work_mailboxes(&self) -> &MailboxMap<WorkId, WorkCommand> {
        &self.work_mailboxes
    }

    /// Mailboxes through which the reducer answers entries that report demand.
    pub fn grant_mailboxes(&self) -> &MailboxMap<VmId, Vec<ShareGrant>> {
        &self.grant_mailboxes
    }

    /// Mailboxes of control messages to peers.
    pub fn control_mailboxes(&self) -> &MailboxMap<VmId, ControlMessage> {
        &self.control_mailboxes
    }

    /// Subscribes to the version and digest of the configuration in force.
    pub fn watch_config(&self) -> watch::Receiver<(ConfigVersion, ConfigDigest)> {
        self.config_sender.subscribe()
    }

    /// Subscribes to this agent's reports of its capacity and load.
    pub fn watch_report(&self) -> watch::Receiver<AgentReport> {
        self.report_sender.subscribe()
    }

    /// Waits until no request or work is in progress or queued.
    pub async fn wait_idle(&self) {
        loop {
            let notified = self.idle_notify.notified();
            tokio::pin!(notified);
            notified.as_mut().enable();
            if self.read(ProcessState::is_idle) {
                return;
            }
            notified.await;
        }
    }

    fn record_attempt(&self, request_id: &RequestId, vm: &VmId) {
        let attempt = AttemptRecord { vm: vm.clone(), at: self.clock.now(), outcome: None };
        self.update_trace(request_id, |it| it.attempts.push(attempt));
    }

    fn record_refusal(&self, request_id: &RequestId, refusal: &Refusal) {
        self.metrics.count(&format!("refused.{}", refusal.code));
        self.update_trace(request_id, |it| it.refusal = Some(refusal.clone()));
    }

    /// Adds the trace of a new request.
    pub fn record_request(&self, trace: RequestTrace) {
        lock(&self.traces).push(trace);
    }

    /// Updates the trace of a request. Does nothing if it is no longer kept.
    pub fn update_trace(&self, request_id: &RequestId, update: impl FnOnce(&mut RequestTrace)) {
        if let Some(trace) = lock(&self.traces).find(request_id) {
            update(trace);
        }
    }

    /// Returns the trace of a request, or `None` if it is not kept.
    pub fn find_trace(&self, request_id: &RequestId) -> Option<RequestTrace> {
        lock(&self.traces).find(request_id).cloned()
    }
}

fn log_verdict(verdict: &EditVerdict) {
    match &verdict.rejected {
        None => log::info!(
            edit:% = verdict.edit_id, author:% = verdict.author, version:% = verdict.version;
            "edit accepted"
        ),
        Some(reason) => log::info!(
            edit:% = verdict.edit_id, author:% = verdict.author, version:% = verdict.version, reason:% = reason;
            "edit rejected"
        ),
    }
}

fn build_core_settings(settings: &Settings, incarnation: IncarnationId) -> CoreSettings {
    let identity = &settings.identity;
    let base = CoreSettings {
        incarnation,
        seed: incarnation.0,
        ..CoreSettings::new(
            identity.vm.clone(),
            settings.role.role(),
            identity.failure_domain.clone(),
        )
    };
    match &settings.role {
        RoleSettings::Entry(entry) => CoreSettings { attempts: entry.attempts, ..base },
        RoleSettings::Agent(agent) => CoreSettings {
            services: agent.services.iter().cloned().collect(),
            ramp: agent.capacity,
            queue: agent.queue,
            ..base
        },
    }
}

/// Dispatches [`Event::TimerFired`] at the moment for which the reducer last armed the timer.
pub(super) async fn run_timer(shell: Arc<ProcessShell>) {
    let mut timer = shell.timer_sender.subscribe();
    loop {
        let armed = *timer.borrow_and_update();
        let Some(moment) = armed else {
            if timer.changed().await.is_err() {
                return;
            }
            continue;
        };
        tokio::select! {
            changed = timer.changed() => if changed.is_err() { return },
            () = tokio::time::sleep_until(shell.clock.instant(moment)) => {
                disarm(&shell.timer_sender, moment);
                shell.dispatch(Event::TimerFired);
            }
        }
    }
}

/// Clears the timer unless it has been armed again for another moment.
fn disarm(timer_sender: &watch::Sender<Option<Moment>>, fired: Moment) {
    timer_sender.send_if_modified(|armed| {
        let is_same = *armed == Some(fired);
        if is_same {
            *armed = None;
        }
        is_same
    });
}
