//! Load estimate and health of a backend server: the latest report of its agent, corrected by the
//! attempts of this gateway since, and the results of recent attempts.

use std::{collections::VecDeque, time::Duration};

use serde::{Deserialize, Serialize};

use super::{PaceLimit, ServerPace, StepPace};
use crate::units::Moment;

/// Age from which a load report is ignored: several missed reports.
const REPORT_TTL: Duration = Duration::from_millis(1_500);
/// Time without a report after which an agent counts as silent: a few missed reports.
const SILENCE_TIMEOUT: Duration = Duration::from_millis(700);
/// Number of recent attempts kept per server.
const MAX_RECENT_ATTEMPTS: usize = 8;
/// Time for which the result of an attempt is kept.
const RECENT_ATTEMPT_WINDOW: Duration = Duration::from_secs(6);
/// Number of recent failures from which a server is paused.
const PAUSE_MIN_FAILURES: usize = 2;
/// Ratio of failures to recent attempts from which a server is paused.
const PAUSE_MIN_FAILURE_RATIO: f64 = 0.34;
/// Pause of a server after failed requests.
const FAILURE_PAUSE: Duration = Duration::from_millis(2_500);
/// Pause of a server after a failed connection attempt; doubled with each further failure in a row.
const CONNECT_BACKOFF: Duration = Duration::from_millis(800);
/// Maximum number of doublings of [`CONNECT_BACKOFF`].
const MAX_BACKOFF_DOUBLINGS: u32 = 2;

/// Load and state of a server, as its agent reports them.
#[derive(Clone, Copy, Debug, PartialEq)]
#[derive(Serialize, Deserialize)]
pub struct LoadReport {
    /// Number of requests being processed.
    pub running: u32,
    /// Number of requests queued at the server.
    pub waiting: u32,
    /// Whether the server's group of ranks serves requests.
    pub is_open: bool,
}

/// What an agent knows of its server beside the numbers of requests.
#[derive(Clone, Copy, Debug, PartialEq)]
#[derive(Serialize, Deserialize)]
pub struct LoadDetail {
    /// Time that a step of the server's group has taken lately, in microseconds; 0 if unknown.
    pub step_micros: u32,
    /// Time for which the server has run requests without a new step, in microseconds.
    pub silent_micros: u32,
    /// Whether the server states that its group is broken.
    pub is_broken: bool,
    /// Tokens that requests hold in the server's memory and cannot give up.
    pub used_tokens: u32,
    /// Tokens that the server's memory holds; 0 if unknown.
    pub max_tokens: u32,
}

/// Load and health of one server, as seen by this gateway.
#[derive(Clone, Debug, Default, PartialEq)]
#[derive(Serialize, Deserialize)]
pub struct ServerLoad {
    /// Number of this gateway's attempts in progress at the server.
    pub outstanding: u32,
    report: Option<(LoadReport, Moment)>,
    /// What the latest report says beside the numbers of requests.
    #[serde(default)]
    detail: Option<LoadDetail>,
    /// Pace of the server's group, from the reports.
    #[serde(default)]
    pace: Option<StepPace>,
    /// What the server bears with steps that keep streams on time.
    #[serde(default)]
    pace_limit: PaceLimit,
    /// Number of attempts begun since the latest report.
    begun: u32,
    /// End times of recent attempts, and whether they failed.
    recent: VecDeque<(Moment, bool)>,
    /// Number of failed connection attempts in a row.
    unreachable: u32,
    /// The server gets no requests before this time, unless all servers are paused.
    paused_until: Option<Moment>,
}

impl ServerLoad {
    /// Replaces the load report.
    pub fn record_report(&mut self, report: LoadReport, detail: Option<LoadDetail>, now: Moment) {
        self.report = Some((report, now));
        self.detail = detail;
        let step_micros = detail.map_or(0, |it| it.step_micros);
        if step_micros > 0 {
            let step_time = Duration::from_micros(u64::from(step_micros));
            self.pace = Some(StepPace::updated(self.pace, step_time, now));
        }
        self.begun = 0;
    }

    /// Returns the latest report, or `None` if there is none or it is too old.
    pub fn report(&self, now: Moment) -> Option<LoadReport> {
        self.report.filter(|(_, at)| now.since(*at) < REPORT_TTL).map(|it| it.0)
    }

    /// Returns the detail of the latest report, or `None` if there is none or it is too old.
    pub fn detail(&self, now: Moment) -> Option<LoadDetail> {
        self.detail.filter(|_| self.report(now).is_some())
    }

    /// Returns the smoothed step time of the server's group, or `None` if it is unknown.
    pub fn smoothed_step(&self, now: Moment) -> Option<Duration> {
        self.pace.and_then(|it| it.step_time(now))
    }

    /// Returns the load and pace of the server with this many slots, or `None` if its agent reports no
    /// step time.
    pub fn pace(&self, slots: u32, now: Moment) -> Option<ServerPace> {
        let report = self.report(now)?;
        let step_time = self.smoothed_step(now)?;
        Some(ServerPace {
            slots,
            running: f64::from(report.running),
            waiting: f64::from(report.waiting + self.begun),
            step_time,
        })
    }

    /// Returns the latest report and its detail, if both are there and no older than `max_age`.
    pub fn detailed_report(
        &self,
        max_age: Duration,
        now: Moment,
    ) -> Option<(LoadReport, LoadDetail)> {
        let (report, _) = self.report.filter(|(_, at)| now.since(*at) <= max_age)?;
        Some((report, self.detail?))
    }

    /// Returns the age of the latest report, or `None` if there is none.
    pub fn report_age(&self, now: Moment) -> Option<Duration> {
        self.report.map(|(_, at)| now.since(at))
    }

    /// Whether the agent has reported before but is silent now.
    pub fn is_silent(&self, now: Moment) -> bool {
        self.report.is_some_and(|(_, at)| now.since(at) >= SILENCE_TIMEOUT)
    }

    /// Whether the agent has reported recently.
    pub fn is_reporting(&self, now: Moment) -> bool {
        self.report.is_some_and(|(_, at)| now.since(at) < SILENCE_TIMEOUT)
    }

    /// Counts the start of an attempt.
    pub fn begin_attempt(&mut self) {
        self.outstanding += 1;
        self.begun += 1;
    }

    /// Counts the end of an attempt.
    pub fn end_attempt(&mut self) {
        self.outstanding = self.outstanding.saturating_sub(1);
    }

    /// Compares the step time of the latest report with the longest pause that streams may have.
    pub fn record_pace(&mut self, gap_objective: Duration, now: Moment) {
        let step_micros = self.detail.map_or(0, |it| it.step_micros);
        if step_micros > 0 {
            let step_time = Duration::from_micros(u64::from(step_micros));
            self.pace_limit.record(step_time, gap_objective, now);
        }
    }

    /// Returns the part of the usual load that the server bears with steps that keep streams on time.
    pub fn pace_part(&self) -> f64 {
        self.pace_limit.part()
    }

    /// Returns the estimated number of requests at the server. If its agent has fallen silent, each
    /// of the `gateway_count` gateways is assumed to send as many as this one. For a server without
    /// an agent only this gateway's requests count; such a server refuses the excess itself.
    pub fn estimate(&self, gateway_count: u32, now: Moment) -> f64 {
        match (self.report(now), self.report) {
            (Some(report), _) => {
                let reported = report.running + report.waiting + self.begun;
                f64::from(reported.max(self.outstanding))
            }
            (None, Some(_)) => f64::from(self.outstanding) * f64::from(gateway_count.max(1)),
            (None, None) => f64::from(self.outstanding),
        }
    }

    /// Records the result of an attempt that reached the server. Returns whether it paused the
    /// server.
    pub fn record_outcome(&mut self, has_failed: bool, now: Moment) -> bool {
        self.unreachable = 0;
        self.recent.retain(|(at, _)| now.since(*at) < RECENT_ATTEMPT_WINDOW);
        self.recent.push_back((now, has_failed));
        if self.recent.len() > MAX_RECENT_ATTEMPTS {
            self.recent.pop_front();
        }
        let failures = self.recent.iter().filter(|it| it.1).count();
        let failure_ratio = failures as f64 / self.recent.len() as f64;
        let is_failing = has_failed
            && failures >= PAUSE_MIN_FAILURES
            && failure_ratio >= PAUSE_MIN_FAILURE_RATIO;
        if is_failing {
            self.pause(now.after(FAILURE_PAUSE));
        }
        is_failing
    }

    /// Records a failed connection attempt and pauses the server.
    pub fn record_connect_failure(&mut self, now: Moment) {
        let doublings = self.unreachable.min(MAX_BACKOFF_DOUBLINGS);
        self.unreachable += 1;
        self.pause(now.after(CONNECT_BACKOFF * (1 << doublings)));
    }

    /// Whether the latest attempt got no connection.
    pub fn is_unreachable(&self) -> bool {
        self.unreachable > 0
    }

    /// Pauses the server until `end`; never shortens a pause.
    pub fn pause(&mut self, end: Moment) {
        self.paused_until = self.paused_until.max(Some(end));
    }

    /// Whether the server is paused now.
    pub fn is_paused(&self, now: Moment) -> bool {
        self.paused_until.is_some_and(|it| now < it)
    }
}
