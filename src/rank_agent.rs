//! The rank agent, which runs next to the engine of a rank: reports the engine's load to gateways
//! and rolls out the expert maps of its group.
//!
//! Client requests do not pass through the agent. It polls its engine locally, since an engine
//! responds to polls from its own VM without delaying its group. The agent learns the state of
//! gateways and other ranks from datagrams only; it does not read the platform's store.

mod load_reports;

use std::{
    collections::BTreeMap,
    net::{IpAddr, SocketAddr},
    time::Duration,
};

use rand::{SeedableRng, rngs::SmallRng};
use tokio::{
    net::UdpSocket,
    time::{Instant, MissedTickBehavior, interval},
};

use crate::{
    daemon::{DaemonError, ProcessClock, SettingsReload, StopSignals},
    experts::{
        COORDINATOR_CANDIDATES, ExpertUsage, MapRollout, MapVersion, MemberStatus, RankOrder,
        RankPace, RankReport, RolloutEffect, RolloutEvent, RolloutState, SampleAction,
        SampleSchedule, StepNumber, StepTimer, UsageSample,
    },
    http::ListenerError,
    options::{DaemonArguments, DirectRole, DirectSettings},
    platform::{EngineClient, OrderOutcome, PlatformError},
    routing::{GatewayLocation, NewsTable},
    telemetry::{MetricSink, init_logging, serve_metrics},
    units::Moment,
    wire::{
        Datagram, DatagramExtension, GroupMember, HoldRequest, MAX_DATAGRAM_BYTES, Subscription,
    },
};

/// Interval between polls of the engine during a rollout.
const ROLLOUT_POLL_INTERVAL: Duration = Duration::from_millis(25);
/// Interval between polls of the engine outside of rollouts.
const IDLE_POLL_INTERVAL: Duration = Duration::from_millis(50);
/// Interval between samples of expert usage: about one step, to detect a shift quickly.
const SAMPLE_INTERVAL: Duration = Duration::from_millis(100);
/// Maximum number of consecutive polls, each because an order of the previous one was accepted.
const MAX_CONSECUTIVE_POLLS: usize = 4;
/// Interval between statuses to the coordinator while nothing changes.
const STATUS_INTERVAL: Duration = Duration::from_millis(200);
/// Interval between statuses during a rollout: a fraction of the maximum status age for a hold.
const ROLLOUT_STATUS_INTERVAL: Duration = Duration::from_millis(50);
/// Interval between statuses that include the rank's experts, while the map stays the same.
const EXPERTS_INTERVAL: Duration = Duration::from_millis(500);
/// Interval between polls of the experts that the engine has loaded, while the map stays the same.
const LOADED_EXPERTS_INTERVAL: Duration = Duration::from_secs(2);
/// Number of requests to another group's agent to hold a step, before this agent sends the order
/// itself.
const MAX_HOLD_REQUESTS: u32 = 4;

/// Runs a rank agent until it receives a stop signal.
///
/// Returns the number of requests that the stop cut off: always 0, as none pass through an agent.
///
/// # Errors
///
/// An address cannot be bound, or logging, metrics or the engine client cannot be set up.
pub async fn run(
    settings: DirectSettings,
    arguments: DaemonArguments,
) -> Result<usize, DaemonError> {
    let (mut signals, reload) = (StopSignals::install()?, SettingsReload::install(arguments)?);
    init_logging(settings.telemetry.log_level, settings.identity.vm.clone())?;
    let metrics = MetricSink::open(&settings.telemetry)?;
    let DirectRole::RankAgent(role) = &settings.role else { return Ok(0) };
    serve_metrics(settings.identity.admin_listen, settings.http, metrics.clone()).await?;
    let address = settings.datagrams;
    let socket = UdpSocket::bind(address)
        .await
        .map_err(|source| DaemonError::Listener(ListenerError::new(address, source)))?;
    let agent = RankAgent {
        engine: EngineClient::new(role.engine)?,
        socket,
        port: address.port(),
        clock: ProcessClock::start(),
        metrics,
        gateways: BTreeMap::new(),
        demands: NewsTable::default(),
        group: Vec::new(),
        helper: None,
        hold_attempts: 0,
        rollout: RolloutState::new(SmallRng::from_os_rng()),
        report: None,
        last_usage: None,
        unsent_counts: None,
        loaded_experts: None,
        sample_count: 0,
        sent_experts: None,
        hold_requests: Vec::new(),
        relayed_rollouts: Vec::new(),
        due: DueTimes::default(),
        load_round: 0,
        steps: StepTimer::default(),
        is_engine_reachable: true,
    };
    tokio::spawn(reload.run());
    log::info!(version = env!("CARGO_PKG_VERSION"), engine:% = role.engine; "started");
    tokio::select! {
        () = agent.serve() => {}
        () = signals.received() => {}
    }
    log::info!("stopped");
    Ok(0)
}

/// Next due time of each periodic task.
#[derive(Debug, Default)]
struct DueTimes {
    sample: Moment,
    status: Moment,
    loaded_experts: Moment,
    load: Moment,
}

struct RankAgent {
    engine: EngineClient,
    socket: UdpSocket,
    /// Port of the datagram sockets of all agents.
    port: u16,
    clock: ProcessClock,
    metrics: MetricSink,
    /// Subscribed gateways with the time of their last subscription, by datagram address.
    gateways: BTreeMap<SocketAddr, (GatewayLocation, Moment)>,
    /// What client accounts ask of the subscribed gateways.
    demands: NewsTable,
    /// Members of this agent's group, from the latest subscription.
    group: Vec<GroupMember>,
    /// VM of another group's agent, which sends hold orders to this agent's engine on request.
    helper: Option<IpAddr>,
    /// Hold requests sent since the engine last held a step.
    hold_attempts: u32,
    rollout: RolloutState,
    report: Option<RankReport>,
    /// Latest cumulative counts, the base of the next sample.
    last_usage: Option<ExpertUsage>,
    /// Latest sample, until it is sent with a status.
    unsent_counts: Option<UsageSample>,
    /// Experts that the engine has loaded, by layer, with the map that they belong to.
    loaded_experts: Option<(MapVersion, Vec<Vec<u16>>)>,
    /// Number of sampling intervals so far.
    sample_count: usize,
    /// The map whose experts were last sent with a status, and when.
    sent_experts: Option<(MapVersion, Moment)>,
    /// Pending hold requests of other groups' coordinators, with their senders.
    hold_requests: Vec<(HoldRequest, SocketAddr)>,
    /// Rollout messages to forward to other ranks.
    relayed_rollouts: Vec<MapRollout>,
    due: DueTimes,
    /// Number of load reports so far.
    load_round: usize,
    /// Times of the group's recent steps.
    steps: StepTimer,
    is_engine_reachable: bool,
}

impl RankAgent {
    async fn serve(mut self) {
        let mut buffer = vec![0; MAX_DATAGRAM_BYTES];
        let mut ticks = interval(ROLLOUT_POLL_INTERVAL);
        ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
        let mut next_idle_poll = Instant::now();
        loop {
            tokio::select! {
                received = self.socket.recv_from(&mut buffer) => match received {
                    Ok((length, from)) => {
                        let mut is_urgent = self.handle_datagram(&buffer[..length], from);
                        // Statuses of a group arrive at the same time, so one poll handles them
                        // all.
                        while let Ok((length, from)) = self.socket.try_recv_from(&mut buffer) {
                            is_urgent |= self.handle_datagram(&buffer[..length], from);
                        }
                        self.forward_rollouts().await;
                        self.serve_hold_requests().await;
                        if is_urgent {
                            self.poll_engine().await;
                        }
                    }
                    Err(error) => log::debug!(error:% = error; "cannot receive datagram"),
                },
                _ = ticks.tick() => {
                    if self.rollout.is_rolling_out() || Instant::now() >= next_idle_poll {
                        next_idle_poll = Instant::now() + IDLE_POLL_INTERVAL;
                        self.poll_engine().await;
                    }
                }
            }
        }
    }

    /// Handles a datagram. Returns `true` if the engine should be polled at once.
    fn handle_datagram(&mut self, bytes: &[u8], from: SocketAddr) -> bool {
        let now = self.clock.now();
        let Some((datagram, extension)) = Datagram::decode_extended(bytes) else {
            log::debug!(from:% = from; "cannot decode datagram");
            return false;
        };
        match datagram {
            Datagram::Subscribe(Subscription { gateway, group, helper, layout }) => {
                self.gateways.insert(from, (gateway, now));
                self.demands.record(from, extension.demand, now);
                if !group.is_empty() {
                    self.group = group;
                }
                self.helper = helper.or(self.helper);
                if let Some(layout) = layout {
                    self.rollout.set_layout(layout);
                }
                false
            }
            Datagram::Status(mut status) => {
                status.pace = extension.pace.unwrap_or_default();
                let is_armed = status.armed.is_some();
                self.rollout.handle_status(status, now);
                is_armed && self.rollout.are_others_armed()
            }
            Datagram::Rollout(rollout) => self.handle_rollout(rollout, now),
            Datagram::RelayedRollout(rollout) => {
                self.relayed_rollouts.push(rollout.clone());
                self.handle_rollout(rollout, now)
            }
            Datagram::HoldRequest(request) => {
                self.hold_requests.push((request, from));
                false
            }
            Datagram::HoldGiven => true,
            Datagram::Load { .. } => {
                log::debug!(from:% = from; "unexpected datagram type");
                false
            }
        }
    }

    fn handle_rollout(&mut self, rollout: MapRollout, now: Moment) -> bool {
        let was_rolling_out = self.rollout.is_rolling_out();
        let has_step = rollout.step.is_some();
        self.rollout.handle_rollout(rollout, now);
        self.rollout.is_rolling_out() && (has_step || !was_rolling_out)
    }

    /// Polls the engine and applies the resulting effects; repeats this while orders change its
    /// state.
    async fn poll_engine(&mut self) {
        for _ in 0..MAX_CONSECUTIVE_POLLS {
            let has_changed = match self.engine.report().await {
                Ok(report) => self.handle_report(report).await,
                Err(error) => {
                    if std::mem::replace(&mut self.is_engine_reachable, false) {
                        log::warn!(
                            engine:% = self.engine.address(), error:% = error;
                            "engine unreachable"
                        );
                    }
                    false
                }
            };
            if !has_changed {
                break;
            }
        }
    }

    /// Handles a report of the engine and runs the periodic tasks that are due. Returns `true` if
    /// the engine accepted an order that changes its next report at once.
    async fn handle_report(&mut self, report: RankReport) -> bool {
        if !std::mem::replace(&mut self.is_engine_reachable, true) {
            log::info!(engine:% = self.engine.address(); "engine reachable again");
        }
        let is_new_state = self.report.as_ref().is_none_or(|it| {
            (it.map, it.prepared, it.armed) != (report.map, report.prepared, report.armed)
        });
        self.report = Some(report.clone());
        if report.held.is_some() {
            self.hold_attempts = 0;
        }
        let effects = self.rollout.handle_report(report.clone());
        let mut has_changed = self.apply_effects(effects).await;
        let now = self.clock.now();
        let epoch = report.group.as_ref().map_or(0, |it| it.epoch);
        self.steps.record(report.step, epoch, report.running > 0, now);
        self.report_load(&report, now).await;
        self.poll_loaded_experts(&report, now).await;
        if now >= self.due.sample {
            self.due.sample = now.after(SAMPLE_INTERVAL);
            self.sample_usage(&report).await;
            let effects = self.rollout.close_interval();
            has_changed |= self.apply_effects(effects).await;
        }
        if is_new_state || self.unsent_counts.is_some() || now >= self.due.status {
            let is_rolling_out = self.rollout.is_rolling_out();
            self.due.status =
                now.after(if is_rolling_out { ROLLOUT_STATUS_INTERVAL } else { STATUS_INTERVAL });
            self.send_status(&report, now).await;
        }
        let effects = self.rollout.reconcile(now);
        has_changed | self.apply_effects(effects).await
    }

    async fn poll_loaded_experts(&mut self, report: &RankReport, now: Moment) {
        let is_current = self.loaded_experts.as_ref().is_some_and(|it| it.0 == report.map);
        if report.group.is_none() || is_current && now < self.due.loaded_experts {
            return;
        }
        self.due.loaded_experts = now.after(LOADED_EXPERTS_INTERVAL);
        match self.engine.loaded_experts().await {
            Ok(loaded) => self.loaded_experts = Some(loaded),
            Err(error) => log::info!(error:% = error; "cannot read loaded experts"),
        }
    }

    /// Reads the counters of expert usage if it is this rank's turn.
    async fn sample_usage(&mut self, report: &RankReport) {
        let Some(place) = &report.group else { return };
        let sample_bytes = self.last_usage.as_ref().map_or(0, |it| it.counts.len());
        let schedule = SampleSchedule::new(usize::from(report.group_size), sample_bytes);
        let action = schedule.action(place.rank, self.sample_count);
        self.sample_count += 1;
        if action == SampleAction::Skip {
            return;
        }
        let latest = match self.engine.expert_usage().await {
            Ok(latest) => latest,
            Err(error) => {
                log::info!(error:% = error; "cannot read expert counts");
                return;
            }
        };
        let previous = self.last_usage.replace(latest.clone());
        let Some(previous) = previous.filter(|it| it.counts.len() == latest.counts.len()) else {
            return;
        };
        if action == SampleAction::ReadBase {
            return;
        }
        self.unsent_counts = Some(UsageSample::from_counters(&previous.counts, &latest.counts));
    }

    async fn send_status(&mut self, report: &RankReport, now: Moment) {
        let experts = self.due_experts(report, now);
        let Some(status) = self.rollout.status(experts, now) else { return };
        let own_rank = status.rank;
        // Counts are large, and only the coordinator uses them for planning.
        let full_status = MemberStatus { counts: self.unsent_counts.take(), ..status.clone() };
        let candidates = |ranks: std::ops::Range<u16>| -> Vec<SocketAddr> {
            let others = self.group.iter().filter(|it| it.rank != own_rank);
            others.filter(|it| ranks.contains(&it.rank)).map(|it| self.agent_address(it)).collect()
        };
        let (coordinator, substitutes) = (candidates(0..1), candidates(1..COORDINATOR_CANDIDATES));
        let pace = Some(report.pace).filter(|it| *it != RankPace::default());
        let extension = DatagramExtension { pace, ..DatagramExtension::default() };
        self.send_extended(&Datagram::Status(full_status.clone()), &extension, &coordinator).await;
        self.send_extended(&Datagram::Status(status), &extension, &substitutes).await;
        if own_rank < COORDINATOR_CANDIDATES {
            self.rollout.handle_status(full_status, now);
        }
    }

    /// Returns the rank's experts if they are due to be sent with a status, else nothing.
    fn due_experts(&mut self, report: &RankReport, now: Moment) -> Vec<Vec<u16>> {
        let Some((map, experts)) = &self.loaded_experts else { return Vec::new() };
        let was_sent_recently = self
            .sent_experts
            .is_some_and(|(sent, at)| sent == *map && now.since(at) < EXPERTS_INTERVAL);
        if *map != report.map || was_sent_recently {
            return Vec::new();
        }
        self.sent_experts = Some((*map, now));
        experts.clone()
    }

    fn agent_address(&self, member: &GroupMember) -> SocketAddr {
        SocketAddr::new(member.server.ip(), self.port)
    }

    async fn send(&self, message: &Datagram, to: &[SocketAddr]) {
        self.send_extended(message, &DatagramExtension::default(), to).await;
    }

    async fn send_extended(
        &self,
        message: &Datagram,
        extension: &DatagramExtension,
        to: &[SocketAddr],
    ) {
        let bytes = match message.encode_extended(extension) {
            Ok(bytes) => bytes,
            Err(error) => {
                log::error!(error:% = error; "cannot encode datagram");
                return;
            }
        };
        for address in to {
            // A datagram that cannot be sent is treated as lost; the next one replaces it.
            if let Err(error) = self.socket.send_to(&bytes, address).await {
                log::debug!(to:% = address, error:% = error; "cannot send datagram");
            }
        }
    }

    /// Applies effects. Returns `true` if the agent's engine accepted an order that changes its
    /// next report at once.
    async fn apply_effects(&mut self, effects: Vec<RolloutEffect>) -> bool {
        let mut has_changed = false;
        for effect in effects {
            match effect {
                RolloutEffect::Log(event) => self.log_event(&event),
                RolloutEffect::Broadcast(ranks, rollout) => {
                    self.send(&Datagram::Rollout(rollout), &self.addresses_of(&ranks)).await;
                }
                RolloutEffect::Relay(ranks, rollout) => {
                    self.send(&Datagram::RelayedRollout(rollout), &self.addresses_of(&ranks)).await;
                }
                RolloutEffect::OrderOwnEngine(order) => {
                    let engine = self.engine.clone();
                    let was_accepted = self.send_order(&engine, &order).await;
                    // Copies take a while and do not show in reports before they are complete.
                    has_changed |= was_accepted && !matches!(order, RankOrder::Prepare { .. });
                }
                RolloutEffect::RequestHold(step) => has_changed |= self.request_hold(step).await,
                RolloutEffect::OrderPeer(rank, order) => {
                    if let Some(engine) = self.engine_client(rank) {
                        self.send_order(&engine, &order).await;
                    }
                }
                RolloutEffect::PollPeer(rank) => self.poll_peer_engine(rank).await,
            }
        }
        has_changed
    }

    /// Has the agent's engine hold a step: asks another group's agent to order this, or sends the
    /// order directly if there is no such agent or earlier requests had no effect. Returns `true`
    /// if the engine accepted a direct order.
    async fn request_hold(&mut self, step: StepNumber) -> bool {
        let Some(epoch) = self.rollout.place().map(|it| it.epoch) else { return false };
        self.hold_attempts += 1;
        let helper = self.helper.filter(|_| self.hold_attempts <= MAX_HOLD_REQUESTS);
        let Some(helper) = helper else {
            self.hold_attempts = 0;
            let engine = self.engine.clone();
            return self.send_order(&engine, &RankOrder::Hold(step)).await;
        };
        let request = HoldRequest { engine: self.engine.address(), epoch, step };
        log::info!(
            step = step.0, epoch = epoch, helper:% = helper;
            "hold requested from another group's agent"
        );
        let to = SocketAddr::new(helper, self.port);
        self.send(&Datagram::HoldRequest(request), &[to]).await;
        false
    }

    /// Forwards the rollout messages that arrived over the relay tree.
    async fn forward_rollouts(&mut self) {
        for rollout in std::mem::take(&mut self.relayed_rollouts) {
            let to = self.addresses_of(&self.rollout.relay_targets(&rollout));
            self.send(&Datagram::RelayedRollout(rollout), &to).await;
        }
    }

    /// Returns the addresses of the agents of these ranks of the own group.
    fn addresses_of(&self, ranks: &[u16]) -> Vec<SocketAddr> {
        let others = self.group.iter().filter(|it| ranks.contains(&it.rank));
        others.map(|it| self.agent_address(it)).collect()
    }

    /// Sends the hold orders that coordinators of other groups have requested.
    async fn serve_hold_requests(&mut self) {
        for (request, from) in std::mem::take(&mut self.hold_requests) {
            let engine = match EngineClient::new(request.engine) {
                Ok(engine) => engine,
                Err(error) => {
                    log::error!(
                        engine:% = request.engine, error:% = error;
                        "cannot create a client for the engine"
                    );
                    continue;
                }
            };
            let outcome = engine.order(request.epoch, &RankOrder::Hold(request.step)).await;
            self.metrics.count("orders.hold");
            match outcome {
                Ok(outcome) => {
                    log::info!(
                        engine:% = request.engine, step = request.step.0, epoch = request.epoch,
                        outcome:? = outcome;
                        "hold order sent for another group"
                    );
                    self.send(&Datagram::HoldGiven, &[from]).await;
                }
                Err(error) => log::info!(
                    engine:% = request.engine, step = request.step.0, epoch = request.epoch,
                    error:% = error;
                    "hold order for another group got no answer"
                ),
            }
        }
    }

    fn engine_client(&self, rank: u16) -> Option<EngineClient> {
        let member = self.group.iter().find(|it| it.rank == rank)?;
        match EngineClient::new(member.server) {
            Ok(engine) => Some(engine),
            Err(error) => {
                log::error!(
                    rank = rank, error:% = error;
                    "cannot create a client for the rank's engine"
                );
                None
            }
        }
    }

    async fn poll_peer_engine(&mut self, rank: u16) {
        let Some(engine) = self.engine_client(rank) else { return };
        match engine.report().await {
            Ok(report) => self.rollout.handle_peer_report(rank, report, self.clock.now()),
            Err(error) => log::info!(
                rank = rank, error:% = error;
                "cannot read the report of another rank's engine"
            ),
        }
    }

    /// Sends an order. Returns `true` if the engine accepted it.
    async fn send_order(&mut self, engine: &EngineClient, order: &RankOrder) -> bool {
        let Some(epoch) = self.rollout.place().map(|it| it.epoch) else { return false };
        let (name, detail) = order_label(order);
        let outcome: Result<OrderOutcome, PlatformError> = engine.order(epoch, order).await;
        self.metrics.count(&format!("orders.{name}"));
        match outcome {
            Ok(OrderOutcome::Taken) => {
                log::info!(order = name, detail = detail, epoch = epoch; "order accepted");
                true
            }
            Ok(OrderOutcome::Refused(status)) => {
                log::info!(
                    order = name, detail = detail, epoch = epoch, status = status;
                    "order refused"
                );
                false
            }
            Err(error) => {
                self.rollout.record_unanswered(self.clock.now());
                log::info!(
                    order = name, detail = detail, epoch = epoch, error:% = error;
                    "order got no answer"
                );
                false
            }
        }
    }

    fn log_event(&self, event: &RolloutEvent) {
        match event {
            RolloutEvent::RoundPlanned { version, copies, skew_before, skew_after } => {
                self.metrics.gauge("experts.skew_milli", u64::from(*skew_before));
                log::info!(
                    map = version.0, copies = copies, skew_before_milli = skew_before,
                    skew_after_milli = skew_after;
                    "expert map planned"
                );
            }
            RolloutEvent::PopularityShifted { distance } => {
                log::info!(distance_milli = distance; "expert popularity shifted");
            }
            RolloutEvent::Activated(version) => {
                log::info!(map = version.0; "expert map in use");
            }
            RolloutEvent::Abandoned(version) => {
                log::warn!(
                    map = version.0;
                    "expert map rollout abandoned before any rank was armed"
                );
            }
            RolloutEvent::Superseded(version) => {
                log::info!(
                    map = version.0;
                    "expert map rollout abandoned: popularity shifted before a hold was requested"
                );
            }
            RolloutEvent::Renewed(version) => {
                log::warn!(
                    map = version.0;
                    "step held without a map to switch to: rolling out the map in use"
                );
            }
            RolloutEvent::Takeover(version, step) => {
                log::warn!(
                    map = version.0, step = step.0;
                    "finishing the switch of a silent coordinator"
                );
            }
            RolloutEvent::GroupFormed(epoch) => log::info!(epoch = epoch; "group formed"),
        }
    }
}

/// Returns the name of an order, and its map version or step, for log lines and counters.
fn order_label(order: &RankOrder) -> (&'static str, u64) {
    match order {
        RankOrder::Prepare { version, .. } => ("prepare", version.0),
        RankOrder::Arm { version, .. } => ("arm", version.0),
        RankOrder::Hold(step) => ("hold", step.0),
        RankOrder::Release(step) => ("release", step.0),
    }
}
