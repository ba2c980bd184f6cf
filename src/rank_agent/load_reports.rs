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
/// Number of load reports to a gateway of which one includes the list of gateways. Gateways get it in
/// turns, since all lists at once would delay what else uses the link.
const GATEWAY_LIST_ROUNDS: usize = 10;
/// Time after which the subscription of a gateway expires unless renewed.
const SUBSCRIPTION_TTL: Duration = Duration::from_secs(3);

impl RankAgent {
    /// Sends a load report to the subscribed gateways if it is due.
    pub(super) async fn report_load(&mut self, report: &RankReport, now: Moment) {
        if now < self.due.load {
            return;
        }
        self.due.load = now.after(LOAD_INTERVAL);
        let is_stalled = self.steps.is_stalled(now);
        self.gateways.retain(|_, (_, at)| now.since(*at) < SUBSCRIPTION_TTL);
        self.load_round += 1;
        let mut message = Datagram::Load {
            server: self.engine.address(),
            report: LoadReport {
                running: report.running,
                waiting: report.waiting,
                is_open: !is_stalled && report.group.as_ref().is_none_or(|it| it.is_open),
            },
            subscribers: u32::try_from(self.gateways.len()).unwrap_or(u32::MAX),
            gateways: Vec::new(),
        };
        let load = Some(load_detail(report, &self.steps, now));
        let mut extension = DatagramExtension { load, ..DatagramExtension::default() };
        let (with_list, without_list) = self.split_subscribers();
        self.send_extended(&message, &extension, &without_list).await;
        if with_list.is_empty() {
            return;
        }
        if let Datagram::Load { gateways, .. } = &mut message {
            *gateways = self.gateway_locations();
        }
        self.demands.drop_expired(now);
        extension.demand = self.demands.sum(now).unwrap_or_default();
        self.send_extended(&message, &extension, &with_list).await;
    }

    /// Returns the subscribers whose turn it is to get the list of gateways, and the others.
    fn split_subscribers(&self) -> (Vec<SocketAddr>, Vec<SocketAddr>) {
        let numbered = self.gateways.keys().copied().enumerate();
        let (with_list, without_list): (Vec<_>, Vec<_>) =
            numbered.partition(|(n, _)| gets_list(*n, self.load_round));
        let addresses = |it: Vec<(usize, SocketAddr)>| it.into_iter().map(|it| it.1).collect();
        (addresses(with_list), addresses(without_list))
    }

    fn gateway_locations(&self) -> Vec<GatewayLocation> {
        self.gateways.values().map(|it| it.0.clone()).collect()
    }
}

/// Whether the subscriber with this number gets the list of gateways with this report.
fn gets_list(subscriber: usize, round: usize) -> bool {
    subscriber % GATEWAY_LIST_ROUNDS == round % GATEWAY_LIST_ROUNDS
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

#[cfg(test)]
mod tests {
    use googletest::prelude::*;

    use super::*;

    /// All lists at once kept the agent's link busy for longer than a step, and the orders of a map
    /// rollout waited behind them.
    #[gtest]
    fn lists_do_not_fill_the_link_at_once() {
        for subscribers in [1, 9, 58, 99] {
            let mut lists = vec![0; subscribers];
            for round in 0..GATEWAY_LIST_ROUNDS {
                let getters: Vec<usize> =
                    (0..subscribers).filter(|it| gets_list(*it, round)).collect();
                expect_that!(getters.len(), le(subscribers.div_ceil(GATEWAY_LIST_ROUNDS)));
                getters.into_iter().for_each(|it| lists[it] += 1);
            }
            expect_that!(lists, each(eq(&1)));
        }
    }
}
