//! The planned stop: callers move to other gateways, then the requests in progress end.

use std::{sync::Arc, time::Duration};

use http::StatusCode;
use tokio::{
    sync::watch,
    task::JoinHandle,
    time::{Instant, sleep_until, timeout_at},
};

use super::{open_requests::RequestStatus, shell::GatewayShell};
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
    shell.dispatch(RoutingEvent::StopRequested(StopSchedule {
        callers_moved_at: now.after(times.callers_moved),
        ends_at: now.after(times.end),
    }));
    sleep_until(stop.began + times.callers_moved).await;
    phase.send_replace(ListenerPhase::Draining);
    stop.log_phase("closing connections after their answers");
    sleep_until(stop.began + times.closed).await;
    phase.send_replace(ListenerPhase::Closed);
    stop.log_phase("accepting no more connections");
    if timeout_at(stop.began + times.end, served).await.is_err() {
        log::warn!(in_progress = shell.in_progress(); "grace period ended with requests in progress");
    }
    let cut_off = stop.log_cut_off();
    log::info!(cut_off = cut_off, elapsed_ms = stop.elapsed_ms(); "stopped");
    cut_off
}

impl GatewayStop {
    fn elapsed_ms(&self) -> u64 {
        u64::try_from(self.began.elapsed().as_millis()).unwrap_or(u64::MAX)
    }

    fn log_phase(&self, phase: &str) {
        log::info!(
            open = self.shell.open_requests.len(), in_progress = self.shell.in_progress(),
            elapsed_ms = self.elapsed_ms();
            "{phase}"
        );
    }

    /// Logs each request that the end of the process cuts off. Returns their number.
    fn log_cut_off(&self) -> usize {
        let requests = self.shell.open_requests.list();
        for request in &requests {
            let RequestStatus { request_id, route, stage, status, sent, age } = request;
            self.shell.metrics.count(&format!("stop.cut_off.{stage}"));
            log::warn!(
                request:% = request_id, route = route.as_ref().map(|it| it.as_str()),
                stage:% = stage, status = status.as_ref().map(StatusCode::as_u16),
                sent = sent.0, age_ms = u64::try_from(age.as_millis()).unwrap_or(u64::MAX),
                elapsed_ms = self.elapsed_ms();
                "request cut off by the stop"
            );
        }
        requests.len()
    }
}
