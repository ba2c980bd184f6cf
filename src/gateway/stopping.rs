//! The planned stop: callers move to other gateways, then the requests in progress end.

use std::{sync::Arc, time::Duration};

use http::StatusCode;
use log::Level;
use tokio::{
    sync::watch,
    task::JoinHandle,
    time::{Instant, sleep_until},
};

use super::{
    open_requests::{RequestStage, RequestStatus},
    shell::GatewayShell,
};
use crate::{
    http::ListenerPhase,
    routing::{RoutingEvent, StopSchedule},
};

/// Time until the platform's load balancer notices that a gateway is not ready: two readiness
/// probes, one per second.
const READINESS_PROBE_DELAY: Duration = Duration::from_millis(2_300);
/// Time after [`READINESS_PROBE_DELAY`] in which each caller's connection is closed after its next
/// response.
const CONNECTION_CLOSE_TIME: Duration = Duration::from_millis(1_200);
/// Time before the end of the grace period at which the process exits by itself.
const GRACE_MARGIN: Duration = Duration::from_millis(300);
/// Parts of a short grace period that these times take at most: one in this many.
const READINESS_PROBE_PART: u32 = 3;
const CONNECTION_CLOSE_PART: u32 = 6;
const GRACE_MARGIN_PART: u32 = 6;

/// Times of a stop, counted from the signal.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
struct StopTimes {
    callers_moved: Duration,
    closed: Duration,
    end: Duration,
}

impl StopTimes {
    fn within(grace: Duration) -> Self {
        let end = grace - GRACE_MARGIN.min(grace / GRACE_MARGIN_PART);
        let callers_moved = READINESS_PROBE_DELAY.min(end / READINESS_PROBE_PART);
        let closed = callers_moved + CONNECTION_CLOSE_TIME.min(end / CONNECTION_CLOSE_PART);
        Self { callers_moved, closed, end }
    }
}

/// A stop in progress.
struct GatewayStop {
    shell: Arc<GatewayShell>,
    began: Instant,
}

/// Drains the gateway: accepts callers until the load balancer has noticed, then closes
/// connections, then waits for requests in progress until the grace period ends. Returns the number
/// of requests that were cut off.
pub(super) async fn stop(
    shell: &Arc<GatewayShell>,
    grace: Duration,
    phase: &watch::Sender<ListenerPhase>,
    served: JoinHandle<()>,
) -> usize {
    let stop = GatewayStop { shell: shell.clone(), began: Instant::now() };
    let times = StopTimes::within(grace);
    let now = shell.clock.now();
    stop.log_phase("stop requested");
    let schedule = StopSchedule {
        callers_moved_at: now.after(times.callers_moved),
        ends_at: now.after(times.end),
    };
    shell.dispatch(RoutingEvent::StopRequested(schedule));
    let closing = async {
        sleep_until(stop.began + times.callers_moved).await;
        phase.send_replace(ListenerPhase::Draining);
        stop.log_phase("closing connections after their answers");
        sleep_until(stop.began + times.closed).await;
        phase.send_replace(ListenerPhase::Closed);
        stop.log_phase("accepting no more connections");
        let _ = served.await;
    };
    let ending = async {
        sleep_until(shell.clock.instant(schedule.answers_due_at())).await;
        shell.grace_ended.cancel();
        stop.log_phase("grace period ended with requests in progress");
        let runs = stop.log_answered();
        sleep_until(stop.began + times.end).await;
        runs
    };
    let runs = tokio::select! {
        () = closing => 0,
        runs = ending => runs,
    };
    shell.open_requests.break_off_unframed();
    let cut_off = runs + stop.log_cut_off();
    log::info!(cut_off = cut_off, elapsed_ms = millis(stop.began.elapsed()); "stopped");
    cut_off
}

impl GatewayStop {
    fn log_phase(&self, phase: &str) {
        let level = if self.shell.grace_ended.is_cancelled() { Level::Warn } else { Level::Info };
        log::log!(
            level,
            open = self.shell.open_requests.len(), in_progress = self.shell.in_progress(),
            elapsed_ms = millis(self.began.elapsed());
            "{phase}"
        );
    }

    /// Logs each request that is answered now because the process ends. Returns the number of those
    /// that a server runs.
    fn log_answered(&self) -> usize {
        let mut requests = self.shell.open_requests.list();
        requests.retain(|it| it.stage != RequestStage::Delivering);
        for request in &requests {
            self.log_request(request, "request ended by the stop");
        }
        requests.iter().filter(|it| it.stage == RequestStage::Running).count()
    }

    /// Logs each request that the end of the process cuts off. Returns their number.
    fn log_cut_off(&self) -> usize {
        let requests = self.shell.open_requests.list();
        for request in &requests {
            self.shell.metrics.count(&format!("stop.cut_off.{}", request.stage));
            self.log_request(request, "request cut off by the stop");
        }
        requests.len()
    }

    fn log_request(&self, request: &RequestStatus, message: &str) {
        let RequestStatus { request_id, route, stage, status, sent, age } = request;
        log::warn!(
            request:% = request_id, route = route.as_ref().map(|it| it.as_str()),
            stage:% = stage, status = status.as_ref().map(StatusCode::as_u16), sent = sent.0,
            age_ms = millis(*age), elapsed_ms = millis(self.began.elapsed());
            "{message}"
        );
    }
}

fn millis(duration: Duration) -> u64 {
    u64::try_from(duration.as_millis()).unwrap_or(u64::MAX)
}
