//! Hands events to the reducer and its effects to whoever carries them out.

mod explain;
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

use explain::RequestHistory;
pub use explain::{AttemptNote, ExplainedRequest};
use mailboxes::{MailboxMap, lock};

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

/// Why a process could not run.
#[derive(Debug)]
#[derive(Error)]
pub enum DaemonError {
    /// The settings are refused.
    #[error(transparent)]
    Settings(#[from] SettingsError),
    /// Logging could not be started.
    #[error(transparent)]
    Log(#[from] LogError),
    /// Metrics cannot be sent.
    #[error(transparent)]
    Metrics(#[from] MetricsError),
    /// Peers cannot be reached or listened to.
    #[error(transparent)]
    Transport(#[from] TransportError),
    /// An HTTP address cannot be used.
    #[error(transparent)]
    Listener(#[from] ListenerError),
    /// The platform's clients cannot be made.
    #[error(transparent)]
    Platform(#[from] PlatformError),
    /// Signals cannot be caught.
    #[error("catching signals: {0}")]
    Signal(io::Error),
}

/// What the reducer wants done for one request of a caller.
#[derive(Clone, Debug)]
pub enum RequestCommand {
    /// Send it to this server.
    Attempt {
        /// The server.
        vm: VmId,
        /// Urgency of the account's plan.
        priority: PriorityLevel,
    },
    /// Tell the caller.
    Refuse(Refusal),
}

/// What the reducer wants done for one piece of work at an agent.
#[derive(Clone, Debug)]
pub enum WorkCommand {
    /// Hand it to the backend server.
    Start,
    /// Hand out the ticket that it asked for.
    IssueTicket,
    /// Refuse it.
    Refuse(RefusalReason),
    /// Point to the holder of its key's claim.
    PointTo(VmId),
    /// Answer with what is known of its key.
    Replay(PriorResult),
}

/// What the reducer wants done for connections to agents.
#[derive(Clone, Debug)]
pub enum PeerCommand {
    /// Keep a connection.
    Connect {
        /// To this VM.
        vm: VmId,
        /// At this address.
        address: SocketAddr,
    },
    /// Drop the connection.
    Disconnect(VmId),
}

/// Demand to be reported to a home.
#[derive(Clone, Debug)]
pub struct DemandMessage {
    /// The home.
    pub home: VmId,
    /// Where it listens.
    pub address: SocketAddr,
    /// The demand.
    pub reports: Vec<DemandReport>,
}

/// The reducer's state with the mailboxes that its effects go to.
pub struct ProcessShell {
    state: Mutex<ProcessState>,
    requests: MailboxMap<RequestId, RequestCommand>,
    works: MailboxMap<WorkId, WorkCommand>,
    next_work: AtomicU64,
    notices: MailboxMap<VmId, ControlMessage>,
    history: Mutex<RequestHistory>,
    peers: mpsc::UnboundedSender<PeerCommand>,
    claims: mpsc::UnboundedSender<Vec<IdempotencyKey>>,
    audit: mpsc::UnboundedSender<AuditEvent>,
    demand: mpsc::UnboundedSender<DemandMessage>,
    demand_answers: MailboxMap<VmId, Vec<ShareGrant>>,
    config: watch::Sender<(ConfigVersion, ConfigDigest)>,
    report: watch::Sender<AgentReport>,
    timer: watch::Sender<Option<Moment>>,
    idle: Notify,
    /// The runtime's clock.
    pub clock: ProcessClock,
    /// Where metrics go.
    pub metrics: MetricSink,
    /// The settings.
    pub settings: Settings,
    /// This life of the process.
    pub incarnation: IncarnationId,
    /// The log service.
    pub log: LogClient,
    /// The VM list.
    pub vms: VmListClient,
}

/// Receiving ends of effects that one task of the process carries out.
pub struct ShellInbox {
    /// Connections to keep and to drop.
    pub peers: mpsc::UnboundedReceiver<PeerCommand>,
    /// Keys to claim.
    pub claims: mpsc::UnboundedReceiver<Vec<IdempotencyKey>>,
    /// Facts for the audit trail.
    pub audit: mpsc::UnboundedReceiver<AuditEvent>,
    /// Demand to be reported.
    pub demand: mpsc::UnboundedReceiver<DemandMessage>,
}

impl ProcessShell {
    /// A shell in which nothing has happened.
    ///
    /// # Errors
    ///
    /// The platform's clients cannot be made.
    pub fn new(
        settings: &Settings,
        metrics: MetricSink,
    ) -> Result<(Self, ShellInbox), DaemonError> {
        let incarnation = IncarnationId(rand::random());
        let state = ProcessState::new(core_settings(settings, incarnation));
        let (peers, peer_commands) = mpsc::unbounded_channel();
        let (claims, claim_requests) = mpsc::unbounded_channel();
        let (audit, facts) = mpsc::unbounded_channel();
        let (demand, demand_messages) = mpsc::unbounded_channel();
        let report = state.report();
        let shell = Self {
            state: Mutex::new(state),
            requests: MailboxMap::default(),
            works: MailboxMap::default(),
            next_work: AtomicU64::new(0),
            notices: MailboxMap::default(),
            history: Mutex::default(),
            peers,
            claims,
            audit,
            demand,
            demand_answers: MailboxMap::default(),
            config: watch::Sender::new((ConfigVersion(0), ConfigDigest(0))),
            report: watch::Sender::new(report),
            timer: watch::Sender::new(None),
            idle: Notify::new(),
            clock: ProcessClock::start(),
            metrics,
            settings: settings.clone(),
            incarnation,
            log: LogClient::new(settings.platform.log_service)?,
            vms: VmListClient::new(settings.platform.vm_list)?,
        };
        Ok((
            shell,
            ShellInbox {
                peers: peer_commands,
                claims: claim_requests,
                audit: facts,
                demand: demand_messages,
            },
        ))
    }

    /// Reduces an event and passes its effects on.
    pub fn dispatch(&self, event: Event) {
        // Effects are passed on under the lock, so that those of two events never overtake each
        // other.
        let mut state = lock(&self.state);
        let timed = TimedEvent { at: self.clock.now(), event };
        for effect in reduce(&mut state, timed) {
            self.pass_on(&state, effect);
        }
    }

    /// Reads the state.
    pub fn read<T>(&self, read: impl FnOnce(&ProcessState) -> T) -> T {
        read(&lock(&self.state))
    }

    fn pass_on(&self, state: &ProcessState, effect: Effect) {
        match effect {
            Effect::Connect { vm, address } => {
                self.command_peers(PeerCommand::Connect { vm, address })
            }
            Effect::Disconnect(vm) => self.command_peers(PeerCommand::Disconnect(vm)),
            Effect::FetchConfig(vm) => self.notices.send(&vm, ControlMessage::ConfigWanted),
            Effect::ConfigInForce(version) => {
                log::info!(version:% = version; "configuration in force");
                self.config.send_replace((version, state.ledger().digest()));
            }
            Effect::EditDecided(verdict) => log_verdict(&verdict),
            Effect::Audit(fact) => {
                log::info!(fact:% = fact; "audit");
                // The receiver lives as long as the process.
                let _ = self.audit.send(fact);
            }
            Effect::ReportDemand { home, address, reports } => {
                // The receiver lives as long as the process.
                let _ = self.demand.send(DemandMessage { home, address, reports });
            }
            Effect::AnswerDemand { to, grants } => self.demand_answers.send(&to, grants),
            Effect::Attempt { request_id, vm, priority } => {
                self.note_attempt(&request_id, &vm);
                self.requests.send(&request_id, RequestCommand::Attempt { vm, priority });
            }
            Effect::Refuse { request_id, refusal } => {
                self.note_refusal(&request_id, &refusal);
                self.requests.send(&request_id, RequestCommand::Refuse(refusal));
            }
            Effect::IssueTicket(work) => self.works.send(&work, WorkCommand::IssueTicket),
            Effect::StartWork(work) => self.works.send(&work, WorkCommand::Start),
            Effect::RefuseWork { work, reason } => {
                self.works.send(&work, WorkCommand::Refuse(reason))
            }
            Effect::PointToClaim { work, vm } => self.works.send(&work, WorkCommand::PointTo(vm)),
            Effect::ReplayAnswer { work, answer } => {
                self.works.send(&work, WorkCommand::Replay(answer))
            }
            Effect::AppendClaims(keys) => {
                // The receiver lives as long as the process.
                let _ = self.claims.send(keys);
            }
            Effect::Report(report) => {
                self.report.send_replace(report);
            }
            Effect::ArmTimer(moment) => {
                self.timer.send_replace(Some(moment));
            }
            Effect::StopReady => self.idle.notify_waiters(),
        }
    }

    fn command_peers(&self, command: PeerCommand) {
        let _ = self.peers.send(command);
    }

    /// Mailboxes of callers' requests.
    pub fn requests(&self) -> &MailboxMap<RequestId, RequestCommand> {
        &self.requests
    }

    /// Opens the mailbox of new work.
    pub fn open_work(&self) -> (WorkId, mpsc::UnboundedReceiver<WorkCommand>) {
        let work = WorkId(self.next_work.fetch_add(1, Ordering::Relaxed));
        (work, self.works.replace(&work))
    }

    /// Mailboxes of work at this agent.
    pub fn works(&self) -> &MailboxMap<WorkId, WorkCommand> {
        &self.works
    }

    /// Mailboxes of answers to entries that report demand.
    pub fn demand_answers(&self) -> &MailboxMap<VmId, Vec<ShareGrant>> {
        &self.demand_answers
    }

    /// Mailboxes of notices to peers.
    pub fn notices(&self) -> &MailboxMap<VmId, ControlMessage> {
        &self.notices
    }

    /// Version and digest in force, as they change.
    pub fn watch_config(&self) -> watch::Receiver<(ConfigVersion, ConfigDigest)> {
        self.config.subscribe()
    }

    /// What this agent can take, as it changes.
    pub fn watch_report(&self) -> watch::Receiver<AgentReport> {
        self.report.subscribe()
    }

    /// Waits until nothing is in progress or waiting.
    pub async fn wait_idle(&self) {
        loop {
            let notified = self.idle.notified();
            tokio::pin!(notified);
            notified.as_mut().enable();
            if self.read(ProcessState::is_idle) {
                return;
            }
            notified.await;
        }
    }

    fn note_attempt(&self, request_id: &RequestId, vm: &VmId) {
        let note = AttemptNote { vm: vm.clone(), at: self.clock.now(), outcome: None };
        self.explain(request_id, |it| it.attempts.push(note));
    }

    fn note_refusal(&self, request_id: &RequestId, refusal: &Refusal) {
        self.metrics.count(&format!("refused.{}", refusal.code));
        self.explain(request_id, |it| it.refusal = Some(refusal.clone()));
    }

    /// Starts the record of a request's course.
    pub fn note_request(&self, request: ExplainedRequest) {
        lock(&self.history).push(request);
    }

    /// Adds to the record of a request's course.
    pub fn explain(&self, request_id: &RequestId, note: impl FnOnce(&mut ExplainedRequest)) {
        if let Some(request) = lock(&self.history).find(request_id) {
            note(request);
        }
    }

    /// The course of a request, if it is remembered.
    pub fn explained(&self, request_id: &RequestId) -> Option<ExplainedRequest> {
        lock(&self.history).find(request_id).cloned()
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

fn core_settings(settings: &Settings, incarnation: IncarnationId) -> CoreSettings {
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

/// Sends [`Event::TimerFired`] at the moment that the reducer last asked for.
pub(super) async fn run_timer(shell: Arc<ProcessShell>) {
    let mut timer = shell.timer.subscribe();
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
                disarm(&shell.timer, moment);
                shell.dispatch(Event::TimerFired);
            }
        }
    }
}

/// Clears the timer, unless it was armed anew meanwhile.
fn disarm(timer: &watch::Sender<Option<Moment>>, fired: Moment) {
    timer.send_if_modified(|armed| {
        let is_same = *armed == Some(fired);
        if is_same {
            *armed = None;
        }
        is_same
    });
}
