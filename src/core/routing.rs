//! Selection of a backend server for one attempt.

use rand::{Rng, rngs::SmallRng};
use xxhash_rust::xxh3::xxh3_64_with_seed;

use crate::{
    units::{FailureDomain, VmId},
    wire::IdempotencyKey,
};

/// A backend server that is a candidate for a request, as the entry sees it.
#[derive(Clone, Debug, PartialEq)]
pub struct ServerView<'a> {
    /// VM of the server's agent.
    pub vm: &'a VmId,
    /// Failure domain of the VM.
    pub failure_domain: &'a FailureDomain,
    /// Concurrency limit from the agent's last report.
    pub limit: u32,
    /// Estimated number of requests at the agent, running and waiting.
    pub load: u32,
}

impl ServerView<'_> {
    fn has_capacity(&self) -> bool {
        self.load < self.limit
    }

    /// Returns the load as a ratio of the limit.
    fn utilization(&self) -> f64 {
        f64::from(self.load) / f64::from(self.limit.max(1))
    }
}

/// The result of server selection.
#[derive(Clone, Debug, PartialEq)]
pub enum ServerChoice {
    /// Send the request to the agent on this VM.
    Server(VmId),
    /// No server can take the request.
    NoCandidate,
}

/// Chooses the less loaded of two random servers (power of two choices). Prefers servers with free
/// capacity in the failure domain `own`, then servers with free capacity anywhere. If all are full,
/// chooses among all, since their agents may still queue the request.
///
/// ```
/// use alderbay::core::{ServerChoice, ServerView, choose_server};
/// use rand::{SeedableRng, rngs::SmallRng};
/// let (vm, domain) = ("b-1".parse()?, "east".parse()?);
/// let view = ServerView { vm: &vm, failure_domain: &domain, limit: 4, load: 0 };
/// let choice = choose_server(&[view], &domain, &mut SmallRng::seed_from_u64(1));
/// assert_eq!(choice, ServerChoice::Server(vm));
/// # Ok::<(), alderbay::units::IdError>(())
/// ```
pub fn choose_server(
    servers: &[ServerView<'_>],
    own: &FailureDomain,
    rng: &mut SmallRng,
) -> ServerChoice {
    let local: Vec<&ServerView<'_>> =
        servers.iter().filter(|it| it.failure_domain == own && it.has_capacity()).collect();
    if !local.is_empty() {
        return less_loaded_of_two(&local, rng);
    }
    let available: Vec<&ServerView<'_>> = servers.iter().filter(|it| it.has_capacity()).collect();
    if !available.is_empty() {
        return less_loaded_of_two(&available, rng);
    }
    let all: Vec<&ServerView<'_>> = servers.iter().collect();
    less_loaded_of_two(&all, rng)
}

fn less_loaded_of_two(servers: &[&ServerView<'_>], rng: &mut SmallRng) -> ServerChoice {
    if servers.is_empty() {
        return ServerChoice::NoCandidate;
    }
    let first = servers[rng.random_range(0..servers.len())];
    let second = servers[rng.random_range(0..servers.len())];
    let chosen = if second.utilization() < first.utilization() { second } else { first };
    ServerChoice::Server(chosen.vm.clone())
}

/// Chooses the server for the first attempt of a keyed request by rendezvous hashing, so that all
/// entries that see the same servers choose the same one. Entries that see different servers may
/// choose differently; claims then still ensure that the key runs at most once.
///
/// ```
/// use alderbay::{core::{ServerChoice, choose_by_key}, wire::IdempotencyKey};
/// let key = IdempotencyKey { account: "a".parse()?, key: uuid::Uuid::from_u128(7) };
/// let servers = ["b-1".parse()?, "b-2".parse()?];
/// assert_eq!(choose_by_key(servers.iter(), &key), choose_by_key(servers.iter().rev(), &key));
/// assert_eq!(choose_by_key([].iter(), &key), ServerChoice::NoCandidate);
/// # Ok::<(), alderbay::units::IdError>(())
/// ```
pub fn choose_by_key<'a>(
    servers: impl Iterator<Item = &'a VmId>,
    key: &IdempotencyKey,
) -> ServerChoice {
    let seed = xxh3_64_with_seed(key.key.as_bytes(), 0);
    let weight = |vm: &&VmId| (xxh3_64_with_seed(vm.as_str().as_bytes(), seed), (*vm).clone());
    match servers.max_by_key(weight) {
        Some(vm) => ServerChoice::Server(vm.clone()),
        None => ServerChoice::NoCandidate,
    }
}
