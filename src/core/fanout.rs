//! Which agents each entry keeps connections to: a bounded subset, the same for whoever computes it.
//!
//! Each entry walks the agents in the order of a hash of the pair and takes those that have room: an
//! agent has room while it is kept by no more entries than a little over the mean. So loads differ
//! little, and a change of either list moves few connections. Entries that see the same lists compute
//! the same subsets. This is consistent hashing with bounded loads, applied to pairs.

use std::collections::{BTreeMap, BTreeSet};

use xxhash_rust::xxh3::xxh3_64_with_seed;

use crate::units::{FailureDomain, VmId};

/// Links of one entry, as long as each service gets [`MIN_LINKS_EACH`].
const MAX_LINKS: usize = 96;
/// Least number of links for each service.
const MIN_LINKS_EACH: usize = 4;
/// Most entries that keep one agent, over the mean.
const MAX_OVER_MEAN: f64 = 1.2;

/// A VM with its failure domain.
pub type PlacedVm<'a> = (&'a VmId, &'a FailureDomain);

/// How many agents of one service an entry keeps.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct FanoutSettings {
    /// Agents in the entry's own failure domain.
    pub near: usize,
    /// Agents in other failure domains.
    pub far: usize,
}

impl FanoutSettings {
    /// Spends a fixed number of links of each entry evenly on the services, half of them in the
    /// entry's own failure domain.
    ///
    /// ```
    /// use alderbay::core::FanoutSettings;
    /// assert_eq!(FanoutSettings::for_services(22), FanoutSettings { near: 2, far: 2 });
    /// assert_eq!(FanoutSettings::for_services(2), FanoutSettings { near: 24, far: 24 });
    /// ```
    pub fn for_services(services: usize) -> Self {
        let each = (MAX_LINKS / services.max(1)).max(MIN_LINKS_EACH);
        Self { near: each / 2, far: each - each / 2 }
    }
}

/// Computes the subsets of all entries for the agents of one service. With no more agents than an
/// entry may keep, all entries keep all of them.
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
    if agents.len() <= settings.near + settings.far {
        let all: Vec<&VmId> = agents.iter().map(|it| it.0).collect();
        return entries.iter().map(|it| (it.0, all.clone())).collect();
    }
    let mut table = LinkTable::new(entries, agents);
    for domain in agents.iter().map(|it| it.1).collect::<BTreeSet<_>>() {
        let inside: Vec<PlacedVm<'a>> =
            entries.iter().copied().filter(|it| it.1 == domain).collect();
        let agents_there = agents.iter().filter(|it| it.1 == domain).count();
        let room = room_for(inside.len() * settings.near, agents_there);
        table.hand_out(&inside, settings.near, room, |entry, agent| entry.1 == agent.1);
    }
    // An entry whose own domain has too few agents takes more of the others, for the same total.
    let total = settings.near + settings.far;
    let room = room_for(entries.len() * total, agents.len());
    table.hand_out(entries, total, room, |entry, agent| entry.1 != agent.1);
    table.subsets
}

/// Entries that may keep one agent: a little over the mean, so that preferences count.
fn room_for(links: usize, agents: usize) -> usize {
    let mean = links as f64 / agents.max(1) as f64;
    // Both lie far below the range of integers that a float holds exactly.
    (mean.ceil() as usize).max((mean * MAX_OVER_MEAN) as usize)
}

/// Subsets as they fill.
struct LinkTable<'a, 'b> {
    agents: &'b [PlacedVm<'a>],
    /// Entries that keep each agent so far.
    taken: Vec<usize>,
    subsets: BTreeMap<&'a VmId, Vec<&'a VmId>>,
}

impl<'a, 'b> LinkTable<'a, 'b> {
    fn new(entries: &[PlacedVm<'a>], agents: &'b [PlacedVm<'a>]) -> Self {
        let subsets = entries.iter().map(|it| (it.0, Vec::new())).collect();
        Self { agents, taken: vec![0; agents.len()], subsets }
    }

    /// Fills subsets up to `wanted` eligible agents, in rounds of one agent for each entry, with
    /// agents that have `room` first.
    fn hand_out(
        &mut self,
        entries: &[PlacedVm<'a>],
        wanted: usize,
        room: usize,
        is_eligible: impl Fn(&PlacedVm<'a>, &PlacedVm<'a>) -> bool,
    ) {
        let orders: Vec<Vec<usize>> = entries
            .iter()
            .map(|entry| self.preference(entry, |agent| is_eligible(entry, agent)))
            .collect();
        for _ in 0..wanted {
            for (entry, order) in entries.iter().zip(&orders) {
                self.take_one(entry.0, order, wanted, room);
            }
        }
    }

    fn take_one(&mut self, entry: &'a VmId, order: &[usize], wanted: usize, room: usize) {
        let Some(subset) = self.subsets.get_mut(entry) else { return };
        if subset.len() >= wanted {
            return;
        }
        let free = || order.iter().filter(|it| !subset.contains(&self.agents[**it].0));
        let preferred = free().find(|it| self.taken[**it] < room);
        let choice = preferred.or_else(|| free().min_by_key(|it| self.taken[**it]));
        let Some(choice) = choice.copied() else { return };
        self.taken[choice] += 1;
        subset.push(self.agents[choice].0);
    }

    /// Eligible agents, by the hash of the pair.
    fn preference(
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
