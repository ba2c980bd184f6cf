//! The subset of agents that each entry connects to: bounded in size, balanced over the agents, and
//! stable when a VM leaves.

use std::collections::{BTreeMap, BTreeSet};

use alderbay::{
    core::{FanoutSettings, PlacedVm, assign_agents},
    units::{FailureDomain, VmId},
};
use googletest::prelude::*;

/// Goal for the ratio of the entries on the most loaded agent to the mean per agent.
const MAX_IMBALANCE: f64 = 1.25;
const DOMAIN_COUNT: usize = 6;
/// Most links of one entry within the budget for control traffic.
const MAX_LINKS: usize = 96;

/// VMs spread evenly over the failure domains.
struct VmSet {
    vms: Vec<(VmId, FailureDomain)>,
}

impl VmSet {
    fn new(name: &str, count: usize) -> Self {
        let vm = |n: usize| {
            let vm = format!("{name}-{n}").parse().unwrap();
            (vm, format!("d{}", n % DOMAIN_COUNT).parse().unwrap())
        };
        Self { vms: (0..count).map(vm).collect() }
    }

    fn placed(&self) -> Vec<PlacedVm<'_>> {
        self.vms.iter().map(|(vm, domain)| (vm, domain)).collect()
    }
}

/// Links, each as its entry and its agent.
type LinkSet = BTreeSet<(VmId, VmId)>;

/// Links of all entries to the agents of each service, by service.
fn links(entries: &[PlacedVm<'_>], agents: &[PlacedVm<'_>], services: usize) -> Vec<LinkSet> {
    let settings = FanoutSettings::for_services(services);
    let links_of_service = |service: usize| {
        // Agent `n` is in domain `n % DOMAIN_COUNT`, so the service changes after each cycle
        // through the domains to spread every service over all of them.
        let serves = |n: usize| (n / DOMAIN_COUNT) % services == service;
        let serving: Vec<PlacedVm<'_>> =
            (0..agents.len()).filter(|n| serves(*n)).map(|n| agents[n]).collect();
        let subsets = assign_agents(entries, &serving, settings).into_iter();
        let pairs = subsets.flat_map(|(entry, subset)| {
            subset.into_iter().map(move |agent| (entry.clone(), agent.clone()))
        });
        pairs.collect()
    };
    (0..services).map(links_of_service).collect()
}

/// Ratio of the entries on the most loaded agent to the mean per agent, and that mean.
fn imbalance(links: &LinkSet) -> (f64, f64) {
    let mut loads: BTreeMap<&VmId, usize> = BTreeMap::new();
    for (_, agent) in links {
        *loads.entry(agent).or_default() += 1;
    }
    let max_load = loads.values().max().copied().unwrap_or(0);
    let mean = links.len() as f64 / loads.len() as f64;
    (max_load as f64 / mean, mean)
}

#[gtest]
fn subsets_are_balanced_at_every_size() {
    for (entries, agents, services) in [
        (8, 16, 1),
        (16, 24, 2),
        (32, 48, 4),
        (64, 96, 8),
        (128, 200, 11),
        (200, 333, 16),
        (380, 600, 1),
        (380, 600, 22),
    ] {
        let (entry_set, agent_set) = (VmSet::new("e", entries), VmSet::new("a", agents));
        let links = links(&entry_set.placed(), &agent_set.placed(), services);
        let links_per_entry = links.iter().map(BTreeSet::len).sum::<usize>() / entries;
        let worst = links.iter().map(|it| imbalance(it).0).fold(0.0, f64::max);
        println!(
            "{entries} entries, {agents} agents, {services} services: {links_per_entry} links an \
             entry, imbalance {worst:.3}"
        );
        for (imbalance, mean) in links.iter().map(imbalance) {
            // If the mean is small, the next whole number of entries may already exceed the goal.
            let bound = MAX_IMBALANCE.max(mean.ceil() / mean);
            expect_that!(imbalance, le(bound), "{entries} x {agents}");
        }
        expect_that!(links_per_entry, le(MAX_LINKS));
    }
}

#[gtest]
fn removal_moves_few_links() {
    let (entry_set, agent_set) = (VmSet::new("e", 380), VmSet::new("a", 600));
    let all_links = |entries: &[PlacedVm<'_>], agents: &[PlacedVm<'_>]| -> LinkSet {
        links(entries, agents, 22).into_iter().flatten().collect()
    };
    let (entries, agents) = (entry_set.placed(), agent_set.placed());
    let before = all_links(&entries, &agents);
    let removed_agent = agents[599].0;
    let own = before.iter().filter(|it| it.1 == *removed_agent).count();
    let moved = before.difference(&all_links(&entries, &agents[..599])).count();
    println!("removing an agent moves {moved} of {} links; {own} were its own", before.len());
    expect_that!(moved, le(2 * own));
    let removed_entry = entries[0].0;
    let own = before.iter().filter(|it| it.0 == *removed_entry).count();
    let moved = before.difference(&all_links(&entries[1..], &agents)).count();
    println!("removing an entry moves {moved} of {} links; {own} were its own", before.len());
    expect_that!(moved, le(2 * own));
}
