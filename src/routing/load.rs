//! How loaded a backend server is thought to be: what its agent reported, corrected by what this
//! gateway did since, and how its last attempts ended.

use std::{collections::VecDeque, time::Duration};

use serde::{Deserialize, Serialize};

use crate::units::Moment;

/// Age at which a report says nothing any more: some missed reports.
const REPORT_LIFE: Duration = Duration::from_millis(1_500);
/// Silence of an agent that counts as one: some missed reports.
const SILENCE: Duration = Duration::from_millis(700);
/// Attempts that are remembered of a server.
const REMEMBERED_ATTEMPTS: usize = 8;
/// How long an attempt's end is remembered.
const ATTEMPT_MEMORY: Duration = Duration::from_secs(6);
/// Failures among the remembered attempts from which a server is given nothing for a while.
const SUSPECT_FAILURES: usize = 2;
/// Part of the remembered attempts that must have failed for that.
const SUSPECT_SHARE: f64 = 0.34;
/// How long a server that fails requests is given nothing.
const SUSPECT_PAUSE: Duration = Duration::from_millis(2_500);
/// How long a server that accepts no connection is given nothing; doubled each time it is found so
/// again.
const UNREACHABLE_PAUSE: Duration = Duration::from_millis(800);
/// Most doublings of that pause.
const MAX_DOUBLINGS: u32 = 2;

/// What an agent reports of its server.
#[derive(Clone, Copy, Debug, PartialEq)]
#[derive(Serialize, Deserialize)]
pub struct LoadReport {
    /// Requests being worked on.
    pub running: u32,
    /// Requests that wait.
    pub waiting: u32,
    /// Whether its group of ranks works.
    pub is_open: bool,
}

/// What this gateway knows of one server's load.
#[derive(Clone, Debug, Default, PartialEq)]
#[derive(Serialize, Deserialize)]
pub struct ServerLoad {
    /// Attempts of this gateway in progress.
    pub outstanding: u32,
    report: Option<(LoadReport, Moment)>,
    /// Attempts begun since the latest report.
    begun: u32,
    /// Ends of recent attempts, and whether they failed.
    recent: VecDeque<(Moment, bool)>,
    /// Times in a row that it accepted no connection.
    unreachable: u32,
    /// Given nothing until then.
    paused_until: Option<Moment>,
}

impl ServerLoad {
    /// Takes over a report.
    pub fn record_report(&mut self, report: LoadReport, now: Moment) {
        self.report = Some((report, now));
        self.begun = 0;
    }

    /// The latest report, while it is fresh.
    pub fn report(&self, now: Moment) -> Option<LoadReport> {
        self.report.filter(|(_, at)| now.since(*at) < REPORT_LIFE).map(|it| it.0)
    }

    /// Whether its agent reported once and is silent now.
    pub fn is_silent(&self, now: Moment) -> bool {
        self.report.is_some_and(|(_, at)| now.since(at) >= SILENCE)
    }

    /// Whether its agent reports.
    pub fn is_heard(&self, now: Moment) -> bool {
        self.report.is_some_and(|(_, at)| now.since(at) < SILENCE)
    }

    /// Counts an attempt.
    pub fn begin(&mut self) {
        self.outstanding += 1;
        self.begun += 1;
    }

    /// Counts the end of an attempt.
    pub fn end(&mut self) {
        self.outstanding = self.outstanding.saturating_sub(1);
    }

    /// Requests that the server is thought to have. Where its agent has fallen silent, `fleet`
    /// gateways are taken to send it as much as this one; of a server that has no agent only what
    /// this gateway sends is known, and the server itself refuses what is too much.
    pub fn estimate(&self, fleet: u32, now: Moment) -> f64 {
        match (self.report(now), self.report) {
            (Some(report), _) => {
                let reported = report.running + report.waiting + self.begun;
                f64::from(reported.max(self.outstanding))
            }
            (None, Some(_)) => f64::from(self.outstanding) * f64::from(fleet.max(1)),
            (None, None) => f64::from(self.outstanding),
        }
    }

    /// Notes how an attempt ended. True where the server is paused for it.
    pub fn record_end(&mut self, has_failed: bool, now: Moment) -> bool {
        self.unreachable = 0;
        self.recent.retain(|(at, _)| now.since(*at) < ATTEMPT_MEMORY);
        self.recent.push_back((now, has_failed));
        if self.recent.len() > REMEMBERED_ATTEMPTS {
            self.recent.pop_front();
        }
        let failures = self.recent.iter().filter(|it| it.1).count();
        let share = failures as f64 / self.recent.len() as f64;
        let is_suspect = has_failed && failures >= SUSPECT_FAILURES && share >= SUSPECT_SHARE;
        if is_suspect {
            self.pause(now.after(SUSPECT_PAUSE));
        }
        is_suspect
    }

    /// Notes that the server accepts no connection.
    pub fn record_unreachable(&mut self, now: Moment) {
        let doublings = self.unreachable.min(MAX_DOUBLINGS);
        self.unreachable += 1;
        self.pause(now.after(UNREACHABLE_PAUSE * (1 << doublings)));
    }

    /// Whether the last attempt found no connection.
    pub fn is_unreachable(&self) -> bool {
        self.unreachable > 0
    }

    /// Gives the server nothing until `end`.
    pub fn pause(&mut self, end: Moment) {
        self.paused_until = self.paused_until.max(Some(end));
    }

    /// Whether the server is given nothing now.
    pub fn is_paused(&self, now: Moment) -> bool {
        self.paused_until.is_some_and(|it| now < it)
    }
}
