//! Deterministic subsetting: which agents each entry connects to.
//!
//! Each entry goes through the agents in the order of a hash of the entry and the agent, and
//! selects those below a limit of entries per agent slightly above the mean. Connections are
//! therefore spread evenly, and a change of either list moves few of them. Entries that see the
//! same lists compute the same subsets. This is consistent hashing with bounded loads, applied to
//! pairs.

use std::collections::{BTreeMap, BTreeSet};

use xxhash_rust::xxh3::xxh3_64_with_seed;

use crate::units::{FailureDomain, VmId};

/// Connections of one entry to agents, unless [`MIN_CONNECTIONS_PER_SERVICE`] needs more.
const MAX_AGENT_CONNECTIONS: usize = 96;
/// Minimum number of connections of one entry to agents of each service.
const MIN_CONNECTIONS_PER_SERVICE: usize = 4;
/// Limit of the entries that connect to one agent, as a ratio to the mean.
const MAX_TO_MEAN_RATIO: f64 = 1.2;

/// A VM and the failure domain in which it runs.
pub type PlacedVm<'a> = (&'a VmId, &'a FailureDomain);

/// Number of agents of one service that an entry connects to.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct FanoutSettings {
    /// Agents in the entry's failure domain.
    pub local: usize,
    /// Agents in other failure domains.
    pub remote: usize,
}

impl FanoutSettings {
    /// Divides a fixed number of connections evenly among `services` services, half of them within
    /// the entry's failure domain.
    ///
    /// ```
    /// use alderbay::core::FanoutSettings;
    /// assert_eq!(FanoutSettings::for_services(22), FanoutSettings { local: 2, remote: 2 });
    /// assert_eq!(FanoutSettings::for_services(2), FanoutSettings { local: 24, remote: 24 });
    /// ```
    pub fn for_services(services: usize) -> Self {
        let per_service =
            (MAX_AGENT_CONNECTIONS / services.max(1)).max(MIN_CONNECTIONS_PER_SERVICE);
        Self { local: per_service / 2, remote: per_service - per_service / 2 }
    }
}

/// Computes the subsets of all entries for the agents of one service. Every entry gets all agents
/// if there are no more of them than one entry may connect to.
///
/// ```
/// use alderbay::core::{FanoutSettings, assign_agents};
/// let (entry, agent, domain) = ("e".parse()?, "a".parse()?, "d".parse()?);
/// let settings = FanoutSettings::for_services(1);
/// let subsets = assign_agents(&[(&entry, &domain)], &[(&agent, &domain)], settings);
/// assert_eq!(subsets[&entry], [&agent]);
/// # Ok::<(), alderbay::units::IdError>(())
/// ```
pub fn assign_agents<'a>(
    entries: &[PlacedVm<'a>],
    agents: &[PlacedVm<'a>],
    settings: FanoutSettings,
) -> BTreeMap<&'a VmId, Vec<&'a VmId>> {
    if agents.len() <= settings.local + settings.remote {
        let all: Vec<&VmId> = agents.iter().map(|it| it.0).collect();
        return entries.iter().map(|it| (it.0, all.clone())).collect();
    }
    let mut builder = SubsetBuilder::new(entries, agents);
    for domain in agents.iter().map(|it| it.1).collect::<BTreeSet<_>>() {
        let local_entries: Vec<PlacedVm<'a>> =
            entries.iter().copied().filter(|it| it.1 == domain).collect();
        let n_local_agents = agents.iter().filter(|it| it.1 == domain).count();
        let limit = max_entries_per_agent(local_entries.len() * settings.local, n_local_agents);
        builder
            .fill_subsets(&local_entries, settings.local, limit, |entry, agent| entry.1 == agent.1);
    }
    // An entry with too few agents in its own domain gets more remote ones, up to the same total.
    let total = settings.local + settings.remote;
    let limit = max_entries_per_agent(entries.len() * total, agents.len());
    builder.fill_subsets(entries, total, limit, |entry, agent| entry.1 != agent.1);
    builder.subsets
}

/// Limit of the entries that connect to one agent. It lies above the mean so that most entries get
/// the agents that come first in their hash order.
fn max_entries_per_agent(connections: usize, agents: usize) -> usize {
    let mean = connections as f64 / agents.max(1) as f64;
    // Both numbers are far smaller than the largest integer that an f64 represents exactly.
    (mean.ceil() as usize).max((mean * MAX_TO_MEAN_RATIO) as usize)
}

/// Builds the subsets step by step.
struct SubsetBuilder<'a, 'b> {
    agents: &'b [PlacedVm<'a>],
    /// Number of entries that selected each agent so far, by its index in `agents`.
    entry_counts: Vec<usize>,
    subsets: BTreeMap<&'a VmId, Vec<&'a VmId>>,
}

impl<'a, 'b> SubsetBuilder<'a, 'b> {
    fn new(entries: &[PlacedVm<'a>], agents: &'b [PlacedVm<'a>]) -> Self {
        let subsets = entries.iter().map(|it| (it.0, Vec::new())).collect();
        Self { agents, entry_counts: vec![0; agents.len()], subsets }
    }

    /// Adds eligible agents to the subsets of `entries` until each holds `size` agents. Each round
    /// adds one agent per entry and prefers agents with fewer than `limit` entries.
    fn fill_subsets(
        &mut self,
        entries: &[PlacedVm<'a>],
        size: usize,
        limit: usize,
        is_eligible: impl Fn(&PlacedVm<'a>, &PlacedVm<'a>) -> bool,
    ) {
        let orders: Vec<Vec<usize>> = entries
            .iter()
            .map(|entry| self.hash_order(entry, |agent| is_eligible(entry, agent)))
            .collect();
        for _ in 0..size {
            for (entry, order) in entries.iter().zip(&orders) {
                self.add_agent(entry.0, order, size, limit);
            }
        }
    }

    fn add_agent(&mut self, entry: &'a VmId, order: &[usize], size: usize, limit: usize) {
        let Some(subset) = self.subsets.get_mut(entry) else { return };
        if subset.len() >= size {
            return;
        }
        let candidates = || order.iter().filter(|it| !subset.contains(&self.agents[**it].0));
        let preferred = candidates().find(|it| self.entry_counts[**it] < limit);
        let choice = preferred.or_else(|| candidates().min_by_key(|it| self.entry_counts[**it]));
        let Some(choice) = choice.copied() else { return };
        self.entry_counts[choice] += 1;
        subset.push(self.agents[choice].0);
    }

    /// Indices of the eligible agents, ordered by the hash of the entry and the agent.
    fn hash_order(
        &self,
        entry: &PlacedVm<'a>,
        is_eligible: impl Fn(&PlacedVm<'a>) -> bool,
    ) -> Vec<usize> {
        let seed = xxh3_64_with_seed(entry.0.as_str().as_bytes(), 0);
        let mut order: Vec<usize> =
            (0..self.agents.len()).filter(|it| is_eligible(&self.agents[*it])).collect();
        order.sort_by_key(|it| xxh3_64_with_seed(self.agents[*it].0.as_str().as_bytes(), seed));
        order
    }
}
