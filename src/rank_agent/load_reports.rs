//! Load reports to the subscribed gateways.

use std::{net::SocketAddr, time::Duration};

use super::RankAgent;
use crate::{
    experts::{RankReport, StepTimer},
    routing::{GatewayLocation, LoadDetail, LoadReport},
    units::Moment,
    wire::{Datagram, DatagramExtension},
};

/// Interval between load reports to gateways.
const LOAD_INTERVAL: Duration = Duration::from_millis(100);
/// Interval between load reports that include the list of gateways.
const GATEWAY_LIST_INTERVAL: Duration = Duration::from_millis(1_000);
/// Time after which the subscription of a gateway expires unless renewed.
const SUBSCRIPTION_TTL: Duration = Duration::from_secs(3);

impl RankAgent {
    /// Sends a load report to the subscribed gateways if it is due.
    pub(super) async fn report_load(&mut self, report: &RankReport, now: Moment) {
        if now < self.due.load {
            return;
        }
        self.due.load = now.after(LOAD_INTERVAL);
        let sends_gateways = now >= self.due.gateways;
        if sends_gateways {
            self.due.gateways = now.after(GATEWAY_LIST_INTERVAL);
        }
        let is_stalled = self.steps.is_stalled(now);
        self.gateways.retain(|_, (_, at)| now.since(*at) < SUBSCRIPTION_TTL);
        let message = Datagram::Load {
            server: self.engine.address(),
            report: LoadReport {
                running: report.running,
                waiting: report.waiting,
                is_open: !is_stalled && report.group.as_ref().is_none_or(|it| it.is_open),
            },
            subscribers: u32::try_from(self.gateways.len()).unwrap_or(u32::MAX),
            gateways: if sends_gateways { self.gateway_locations() } else { Vec::new() },
        };
        let load = Some(load_detail(report, &self.steps, now));
        let mut extension = DatagramExtension { load, ..DatagramExtension::default() };
        if sends_gateways {
            self.demands.drop_expired(now);
            extension.demand = self.demands.sum(now).unwrap_or_default();
        }
        let to: Vec<SocketAddr> = self.gateways.keys().copied().collect();
        self.send_extended(&message, &extension, &to).await;
    }

    fn gateway_locations(&self) -> Vec<GatewayLocation> {
        self.gateways.values().map(|it| it.0.clone()).collect()
    }
}

/// Returns what an agent reports of its engine beside the numbers of requests.
fn load_detail(report: &RankReport, steps: &StepTimer, now: Moment) -> LoadDetail {
    let micros = |it: Duration| u32::try_from(it.as_micros()).unwrap_or(u32::MAX);
    LoadDetail {
        step_micros: steps.step_time(now).map_or(0, micros),
        silent_micros: micros(steps.since_step(now)),
        is_broken: report.group.as_ref().is_some_and(|it| !it.is_open),
        used_tokens: report.used_tokens,
        max_tokens: report.max_tokens,
    }
}
