//! The agent beside a rank: it reports its engine's load to gateways and keeps the expert maps of
//! its group.
//!
//! No request passes through it. Asked on its own VM, an engine answers reports and counts without
//! delaying its group. What the agent knows of others comes in datagrams; it reads nothing of the
//! platform's store.

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
    daemon::{DaemonError, ProcessClock, follow_hangups, stop_signal},
    experts::{
        COORDINATOR_CANDIDATES, ExpertUsage, MemberStatus, RankOrder, RankReport, RolloutEffect,
        RolloutEvent, RolloutState, StepNumber, UsageSample,
    },
    http::ListenerError,
    options::{DaemonArguments, DirectRole, DirectSettings},
    platform::{EngineClient, OrderOutcome, PlatformError},
    routing::{GatewayPlace, LoadReport},
    telemetry::{MetricSink, serve_metrics, start_logs},
    units::Moment,
    wire::{Datagram, GroupMember, HoldRequest, MAX_DATAGRAM, Subscription},
};

/// Pause between looks at the engine while a map is rolled out.
const BUSY_PAUSE: Duration = Duration::from_millis(25);
/// Pause between looks at the engine otherwise.
const CALM_PAUSE: Duration = Duration::from_millis(50);
/// Pause between reports to gateways.
const LOAD_PAUSE: Duration = Duration::from_millis(100);
/// Pause between reports that tell the gateways' addresses.
const PEERS_PAUSE: Duration = Duration::from_millis(1_000);
/// Pause between samples of expert counts: about a step, so that a shift soon shows.
const SAMPLE_PAUSE: Duration = Duration::from_millis(100);
/// Looks at the engine in a row, each because an order was given in the one before.
const MAX_LOOKS: usize = 4;
/// Pause between statuses to the coordinator where nothing changes.
const STATUS_PAUSE: Duration = Duration::from_millis(200);
/// The same while a map is rolled out: some times in the age that a held step asks for.
const BUSY_STATUS_PAUSE: Duration = Duration::from_millis(50);
/// Pause between looks at which experts the rank holds, where no map came into force.
const EXPERTS_PAUSE: Duration = Duration::from_secs(2);
/// Requests to another agent to hold a step, after which the own agent gives the order.
const MAX_HOLD_ASKS: u32 = 4;
/// Time without a step, with work at hand, after which the group counts as stalled: some times the
/// usual length of a step.
const STALL_TIME: Duration = Duration::from_millis(300);
/// Time after which a gateway that does not subscribe anew is forgotten.
const SUBSCRIPTION_LIFE: Duration = Duration::from_secs(3);

/// Runs a rank agent until it is told to stop.
///
/// # Errors
///
/// An address cannot be used.
pub async fn run(
    settings: DirectSettings,
    arguments: DaemonArguments,
) -> Result<usize, DaemonError> {
    start_logs(settings.telemetry.log_level, settings.identity.vm.clone())?;
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
        group: Vec::new(),
        helper: None,
        hold_asks: 0,
        rollout: RolloutState::new(SmallRng::from_os_rng()),
        report: None,
        sampled: None,
        fresh_counts: None,
        experts: None,
        requested: Vec::new(),
        due: DueTimes::default(),
        stepped: (StepNumber(0), Moment(0)),
        is_reachable: true,
    };
    tokio::spawn(follow_hangups(arguments));
    log::info!(version = env!("CARGO_PKG_VERSION"), engine:% = role.engine; "started");
    tokio::select! {
        () = agent.work() => {}
        stopped = stop_signal() => stopped?,
    }
    log::info!("stopped");
    Ok(0)
}

/// When what is done at intervals is due.
#[derive(Debug, Default)]
struct DueTimes {
    sample: Moment,
    status: Moment,
    experts: Moment,
    load: Moment,
    peers: Moment,
}

struct RankAgent {
    engine: EngineClient,
    socket: UdpSocket,
    port: u16,
    clock: ProcessClock,
    metrics: MetricSink,
    gateways: BTreeMap<SocketAddr, (GatewayPlace, Moment)>,
    group: Vec<GroupMember>,
    /// VM of an agent of another group, and what it was asked without effect.
    helper: Option<IpAddr>,
    hold_asks: u32,
    rollout: RolloutState,
    report: Option<RankReport>,
    /// The latest counts, from which the next sample is taken.
    sampled: Option<ExpertUsage>,
    /// Choices since the sample before, until they are sent.
    fresh_counts: Option<UsageSample>,
    /// Experts that the rank holds, as of this map.
    experts: Option<(crate::experts::MapVersion, Vec<Vec<u16>>)>,
    /// Orders that other groups ask for, and who asks.
    requested: Vec<(HoldRequest, SocketAddr)>,
    due: DueTimes,
    /// The last step seen, and when it was first seen or there was no work.
    stepped: (StepNumber, Moment),
    is_reachable: bool,
}

impl RankAgent {
    async fn work(mut self) {
        let mut buffer = vec![0; MAX_DATAGRAM];
        let mut ticks = interval(BUSY_PAUSE);
        ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
        let mut next_look = Instant::now();
        loop {
            tokio::select! {
                received = self.socket.recv_from(&mut buffer) => match received {
                    Ok((length, from)) => {
                        let mut is_urgent = self.receive(&buffer[..length], from);
                        // Statuses of a group come together: one look answers them all.
                        while let Ok((length, from)) = self.socket.try_recv_from(&mut buffer) {
                            is_urgent |= self.receive(&buffer[..length], from);
                        }
                        self.give_requested().await;
                        if is_urgent {
                            self.look().await;
                        }
                    }
                    Err(error) => log::debug!(error:% = error; "datagram not received"),
                },
                _ = ticks.tick() => {
                    if self.rollout.is_rolling_out() || Instant::now() >= next_look {
                        next_look = Instant::now() + CALM_PAUSE;
                        self.look().await;
                    }
                }
            }
        }
    }

    /// Takes in a datagram. True where the own rank may have to act at once.
    fn receive(&mut self, bytes: &[u8], from: SocketAddr) -> bool {
        let now = self.clock.now();
        match Datagram::decode(bytes) {
            Some(Datagram::Subscribe(Subscription { gateway, group, helper, layout })) => {
                self.gateways.insert(from, (gateway, now));
                if !group.is_empty() {
                    self.group = group;
                }
                self.helper = helper.or(self.helper);
                if let Some(layout) = layout {
                    self.rollout.set_layout(layout);
                }
                false
            }
            Some(Datagram::Status(status)) => {
                let is_armed = status.armed.is_some();
                self.rollout.handle_status(status, now);
                is_armed && self.rollout.is_rolling_out()
            }
            Some(Datagram::Rollout(rollout)) => {
                let was = self.rollout.is_rolling_out();
                let is_step = rollout.step.is_some();
                self.rollout.handle_rollout(rollout, now);
                self.rollout.is_rolling_out() && (is_step || !was)
            }
            Some(Datagram::HoldRequest(request)) => {
                self.requested.push((request, from));
                false
            }
            Some(Datagram::HoldGiven) => true,
            Some(Datagram::Load { .. }) | None => {
                log::debug!(from:% = from; "datagram is not for an agent");
                false
            }
        }
    }

    /// Looks at the engine and does what follows, again while orders change it.
    async fn look(&mut self) {
        for _ in 0..MAX_LOOKS {
            let has_changed = match self.engine.report().await {
                Ok(report) => self.learn(report).await,
                Err(error) => {
                    if std::mem::replace(&mut self.is_reachable, false) {
                        log::warn!(engine:% = self.engine.address(), error:% = error; "engine lost");
                    }
                    false
                }
            };
            if !has_changed {
                break;
            }
        }
    }

    /// Takes in a report of the engine. True where the engine then took an order that changes its
    /// next report at once.
    async fn learn(&mut self, report: RankReport) -> bool {
        if !std::mem::replace(&mut self.is_reachable, true) {
            log::info!(engine:% = self.engine.address(); "engine regained");
        }
        let is_change = self.report.as_ref().is_none_or(|it| {
            (it.map, it.prepared, it.armed) != (report.map, report.prepared, report.armed)
        });
        self.report = Some(report.clone());
        if report.held.is_some() {
            self.hold_asks = 0;
        }
        let effects = self.rollout.handle_report(report.clone());
        let mut has_changed = self.carry_out(effects).await;
        let now = self.clock.now();
        if report.step != self.stepped.0 || report.running == 0 {
            self.stepped = (report.step, now);
        }
        if now >= self.due.load {
            self.due.load = now.after(LOAD_PAUSE);
            self.report_load(&report, now).await;
        }
        self.read_experts(&report, now).await;
        if now >= self.due.sample {
            self.due.sample = now.after(SAMPLE_PAUSE);
            self.read_counts().await;
            let effects = self.rollout.close_interval();
            has_changed |= self.carry_out(effects.into_iter().collect()).await;
        }
        if is_change || now >= self.due.status {
            let is_busy = self.rollout.is_rolling_out();
            self.due.status = now.after(if is_busy { BUSY_STATUS_PAUSE } else { STATUS_PAUSE });
            self.send_status(&report, now).await;
        }
        let effects = self.rollout.reconcile(now);
        has_changed | self.carry_out(effects).await
    }

    async fn report_load(&mut self, report: &RankReport, now: Moment) {
        let tells_peers = now >= self.due.peers;
        if tells_peers {
            self.due.peers = now.after(PEERS_PAUSE);
        }
        let is_stalled = now.since(self.stepped.1) >= STALL_TIME;
        self.gateways.retain(|_, (_, at)| now.since(*at) < SUBSCRIPTION_LIFE);
        let message = Datagram::Load {
            server: self.engine.address(),
            report: LoadReport {
                running: report.running,
                waiting: report.waiting,
                is_open: !is_stalled && report.group.as_ref().is_none_or(|it| it.is_open),
            },
            subscribers: u32::try_from(self.gateways.len()).unwrap_or(u32::MAX),
            gateways: if tells_peers { self.gateway_places() } else { Vec::new() },
        };
        let to: Vec<SocketAddr> = self.gateways.keys().copied().collect();
        self.send(&message, &to).await;
    }

    fn gateway_places(&self) -> Vec<GatewayPlace> {
        self.gateways.values().map(|it| it.0.clone()).collect()
    }

    async fn read_experts(&mut self, report: &RankReport, now: Moment) {
        let is_known = self.experts.as_ref().is_some_and(|it| it.0 == report.map);
        if report.group.is_none() || is_known && now < self.due.experts {
            return;
        }
        self.due.experts = now.after(EXPERTS_PAUSE);
        match self.engine.held_experts().await {
            Ok(held) => self.experts = Some(held),
            Err(error) => log::info!(error:% = error; "experts of the rank cannot be read"),
        }
    }

    async fn read_counts(&mut self) {
        let latest = match self.engine.expert_use().await {
            Ok(latest) => latest,
            Err(error) => {
                log::info!(error:% = error; "expert counts cannot be read");
                return;
            }
        };
        let before = self.sampled.replace(latest.clone());
        let Some(before) = before.filter(|it| it.counts.len() == latest.counts.len()) else {
            return;
        };
        self.fresh_counts = Some(UsageSample::from_counters(&before.counts, &latest.counts));
    }

    async fn send_status(&mut self, report: &RankReport, now: Moment) {
        let experts = match &self.experts {
            Some((map, experts)) if *map == report.map => experts.clone(),
            Some(_) | None => Vec::new(),
        };
        let Some(status) = self.rollout.status(experts, now) else { return };
        let own = status.rank;
        // Counts are long, and only the coordinator plans by them.
        let full = MemberStatus { counts: self.fresh_counts.take(), ..status.clone() };
        let listeners = |ranks: std::ops::Range<u16>| -> Vec<SocketAddr> {
            let others = self.group.iter().filter(|it| it.rank != own);
            others.filter(|it| ranks.contains(&it.rank)).map(|it| self.agent_of(it)).collect()
        };
        let (coordinator, stand_ins) = (listeners(0..1), listeners(1..COORDINATOR_CANDIDATES));
        self.send(&Datagram::Status(full.clone()), &coordinator).await;
        self.send(&Datagram::Status(status), &stand_ins).await;
        if own < COORDINATOR_CANDIDATES {
            self.rollout.handle_status(full, now);
        }
    }

    fn agent_of(&self, member: &GroupMember) -> SocketAddr {
        SocketAddr::new(member.server.ip(), self.port)
    }

    async fn send(&self, message: &Datagram, to: &[SocketAddr]) {
        let bytes = match message.encode() {
            Ok(bytes) => bytes,
            Err(error) => {
                log::error!(error:% = error; "datagram cannot be encoded");
                return;
            }
        };
        for address in to {
            // A datagram that cannot be sent counts as lost; the next one replaces it.
            if let Err(error) = self.socket.send_to(&bytes, address).await {
                log::debug!(to:% = address, error:% = error; "datagram not sent");
            }
        }
    }

    /// Carries effects out. True where the own engine took an order that shows at once.
    async fn carry_out(&mut self, effects: Vec<RolloutEffect>) -> bool {
        let mut has_changed = false;
        for effect in effects {
            match effect {
                RolloutEffect::Log(note) => self.log_note(&note),
                RolloutEffect::Broadcast(ranks, rollout) => {
                    let others = self.group.iter().filter(|it| ranks.contains(&it.rank));
                    let to: Vec<SocketAddr> = others.map(|it| self.agent_of(it)).collect();
                    self.send(&Datagram::Rollout(rollout), &to).await;
                }
                RolloutEffect::OrderOwnEngine(order) => {
                    let engine = self.engine.clone();
                    let is_taken = self.give_order(&engine, &order).await;
                    // A copy takes a while, and does not show before it is complete.
                    has_changed |= is_taken && !matches!(order, RankOrder::Prepare { .. });
                }
                RolloutEffect::RequestHold(step) => has_changed |= self.ask_hold(step).await,
                RolloutEffect::OrderPeer(rank, order) => {
                    if let Some(engine) = self.engine_of(rank) {
                        self.give_order(&engine, &order).await;
                    }
                }
                RolloutEffect::PollPeer(rank) => self.ask_rank(rank).await,
            }
        }
        has_changed
    }

    /// Has the own engine hold a step: by another group's agent, or by itself where that has no effect.
    /// True where the engine took the order from here.
    async fn ask_hold(&mut self, step: StepNumber) -> bool {
        let Some(epoch) = self.rollout.place().map(|it| it.epoch) else { return false };
        self.hold_asks += 1;
        let helper = self.helper.filter(|_| self.hold_asks <= MAX_HOLD_ASKS);
        let Some(helper) = helper else {
            self.hold_asks = 0;
            let engine = self.engine.clone();
            return self.give_order(&engine, &RankOrder::Hold(step)).await;
        };
        let request = HoldRequest { engine: self.engine.address(), epoch, step };
        log::info!(step = step.0, epoch = epoch, helper:% = helper; "hold asked for");
        let to = SocketAddr::new(helper, self.port);
        self.send(&Datagram::HoldRequest(request), &[to]).await;
        false
    }

    /// Gives the orders that coordinators of other groups have asked for.
    async fn give_requested(&mut self) {
        for (request, from) in std::mem::take(&mut self.requested) {
            let engine = match EngineClient::new(request.engine) {
                Ok(engine) => engine,
                Err(error) => {
                    log::error!(engine:% = request.engine, error:% = error; "no client for the engine");
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
                        "hold given for another group"
                    );
                    self.send(&Datagram::HoldGiven, &[from]).await;
                }
                Err(error) => log::info!(
                    engine:% = request.engine, step = request.step.0, epoch = request.epoch,
                    error:% = error;
                    "hold for another group not answered"
                ),
            }
        }
    }

    fn engine_of(&self, rank: u16) -> Option<EngineClient> {
        let member = self.group.iter().find(|it| it.rank == rank)?;
        match EngineClient::new(member.server) {
            Ok(engine) => Some(engine),
            Err(error) => {
                log::error!(rank = rank, error:% = error; "no client for the rank's engine");
                None
            }
        }
    }

    async fn ask_rank(&mut self, rank: u16) {
        let Some(engine) = self.engine_of(rank) else { return };
        match engine.report().await {
            Ok(report) => self.rollout.handle_peer_report(rank, report, self.clock.now()),
            Err(error) => log::info!(rank = rank, error:% = error; "engine of a rank is silent"),
        }
    }

    /// Gives an order. True where the engine took it.
    async fn give_order(&mut self, engine: &EngineClient, order: &RankOrder) -> bool {
        let Some(epoch) = self.rollout.place().map(|it| it.epoch) else { return false };
        let (name, detail) = describe(order);
        let outcome: Result<OrderOutcome, PlatformError> = engine.order(epoch, order).await;
        self.metrics.count(&format!("orders.{name}"));
        match outcome {
            Ok(OrderOutcome::Taken) => {
                log::info!(order = name, detail = detail, epoch = epoch; "order taken");
                true
            }
            Ok(OrderOutcome::Refused(status)) => {
                log::info!(order = name, detail = detail, epoch = epoch, status = status; "order refused");
                false
            }
            Err(error) => {
                self.rollout.record_unanswered(self.clock.now());
                log::info!(order = name, detail = detail, epoch = epoch, error:% = error; "order not answered");
                false
            }
        }
    }

    fn log_note(&self, note: &RolloutEvent) {
        match note {
            RolloutEvent::RoundPlanned { version, copies, skew_before, skew_after } => {
                self.metrics.gauge("experts.skew_milli", u64::from(*skew_before));
                log::info!(
                    map = version.0, copies = copies, skew_before_milli = skew_before,
                    skew_after_milli = skew_after;
                    "expert map planned"
                );
            }
            RolloutEvent::PopularityShifted { distance } => {
                log::info!(distance_milli = distance; "popularity of experts shifted");
            }
            RolloutEvent::Activated(version) => {
                log::info!(map = version.0; "expert map in force");
            }
            RolloutEvent::Abandoned(version) => {
                log::warn!(map = version.0; "expert map given up before any rank was armed");
            }
            RolloutEvent::Takeover(version, step) => {
                log::warn!(map = version.0, step = step.0; "finishing the switch of a silent agent");
            }
            RolloutEvent::GroupFormed(epoch) => log::info!(epoch = epoch; "group formed"),
        }
    }
}

/// Name and number of an order, for log lines and counters.
fn describe(order: &RankOrder) -> (&'static str, u64) {
    match order {
        RankOrder::Prepare { version, .. } => ("prepare", version.0),
        RankOrder::Arm { version, .. } => ("arm", version.0),
        RankOrder::Hold(step) => ("hold", step.0),
        RankOrder::Release(step) => ("release", step.0),
    }
}
