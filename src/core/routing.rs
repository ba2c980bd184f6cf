//! Choice of a backend server for one attempt.

use rand::{Rng, rngs::SmallRng};
use xxhash_rust::xxh3::xxh3_64_with_seed;

use crate::{
    units::{FailureDomain, VmId},
    wire::IdempotencyKey,
};

/// What an entry knows of one backend server that may be given the request.
#[derive(Clone, Debug, PartialEq)]
pub struct ServerView<'a> {
    /// The server.
    pub vm: &'a VmId,
    /// Its failure domain.
    pub failure_domain: &'a FailureDomain,
    /// Requests it can bear at once.
    pub limit: u32,
    /// Requests it is thought to have, waiting ones included.
    pub load: u32,
}

impl ServerView<'_> {
    fn has_room(&self) -> bool {
        self.load < self.limit
    }

    /// Requests for each one that the server can bear.
    fn pressure(&self) -> f64 {
        f64::from(self.load) / f64::from(self.limit.max(1))
    }
}

/// The chosen server.
#[derive(Clone, Debug, PartialEq)]
pub enum RouteChoice {
    /// This one.
    Server(VmId),
    /// None may be given the request.
    Nowhere,
}

/// Chooses by the less loaded of two random servers: in the own failure domain while one there has
/// room, then in any other that has room, then among all, whose queues decide.
///
/// ```
/// use alderbay::core::{RouteChoice, ServerView, choose_server};
/// use rand::{SeedableRng, rngs::SmallRng};
/// let (vm, domain) = ("b-1".parse()?, "east".parse()?);
/// let view = ServerView { vm: &vm, failure_domain: &domain, limit: 4, load: 0 };
/// let choice = choose_server(&[view], &domain, &mut SmallRng::seed_from_u64(1));
/// assert_eq!(choice, RouteChoice::Server(vm));
/// # Ok::<(), alderbay::units::IdError>(())
/// ```
pub fn choose_server(
    servers: &[ServerView<'_>],
    own: &FailureDomain,
    rng: &mut SmallRng,
) -> RouteChoice {
    let near: Vec<&ServerView<'_>> =
        servers.iter().filter(|it| it.failure_domain == own && it.has_room()).collect();
    if !near.is_empty() {
        return lighter_of_two(&near, rng);
    }
    let far: Vec<&ServerView<'_>> = servers.iter().filter(|it| it.has_room()).collect();
    if !far.is_empty() {
        return lighter_of_two(&far, rng);
    }
    let all: Vec<&ServerView<'_>> = servers.iter().collect();
    lighter_of_two(&all, rng)
}

fn lighter_of_two(servers: &[&ServerView<'_>], rng: &mut SmallRng) -> RouteChoice {
    if servers.is_empty() {
        return RouteChoice::Nowhere;
    }
    let first = servers[rng.random_range(0..servers.len())];
    let second = servers[rng.random_range(0..servers.len())];
    let lighter = if second.pressure() < first.pressure() { second } else { first };
    RouteChoice::Server(lighter.vm.clone())
}

/// The server where a key of a non-idempotent request is sent first: the highest rendezvous hash,
/// so that all entries agree while they see the same servers. Claims keep the key safe where they
/// do not.
///
/// ```
/// use alderbay::{core::{RouteChoice, choose_home}, wire::IdempotencyKey};
/// let key = IdempotencyKey { account: "a".parse()?, key: uuid::Uuid::from_u128(7) };
/// let servers = ["b-1".parse()?, "b-2".parse()?];
/// assert_eq!(choose_home(servers.iter(), &key), choose_home(servers.iter().rev(), &key));
/// assert_eq!(choose_home([].iter(), &key), RouteChoice::Nowhere);
/// # Ok::<(), alderbay::units::IdError>(())
/// ```
pub fn choose_home<'a>(
    servers: impl Iterator<Item = &'a VmId>,
    key: &IdempotencyKey,
) -> RouteChoice {
    let seed = xxh3_64_with_seed(key.key.as_bytes(), 0);
    let weight = |vm: &&VmId| (xxh3_64_with_seed(vm.as_str().as_bytes(), seed), (*vm).clone());
    match servers.max_by_key(weight) {
        Some(vm) => RouteChoice::Server(vm.clone()),
        None => RouteChoice::Nowhere,
    }
}
