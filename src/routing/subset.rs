//! The subset of a service's servers that one gateway sends requests to.
//!
//! An agent reports its server's load to every gateway that may use the server. If every gateway
//! used every server, the reports and subscriptions would grow with the product of both numbers and
//! fill the links of the servers' VMs. Each gateway therefore uses a bounded number of servers,
//! most of them in its own failure domain, where traffic between VMs is cheap. The others let it
//! pass on requests where its own domain has no capacity.
//!
//! The choice is by rendezvous hashing, so a change of the directory changes few subsets, and each
//! server is in about as many subsets as any other of its domain.

use std::{collections::BTreeSet, net::SocketAddr};

use xxhash_rust::xxh3::{xxh3_64, xxh3_64_with_seed};

use super::KnownServer;
use crate::units::{FailureDomain, ServerId};

/// Number of servers of a service up to which a gateway uses all of them.
const MAX_UNDIVIDED_SERVERS: usize = 64;
/// Size of a subset.
const SUBSET_SIZE: usize = 48;
/// Number of servers in other failure domains that a subset has at least.
const MIN_REMOTE_SERVERS: usize = 12;
/// Number of unusable servers in other failure domains that a subset has at most.
const MAX_UNUSABLE_REMOTE: usize = 6;

/// Chooses the subset that the gateway at `own` in failure domain `domain` uses.
///
/// `usable` are the servers of one service that may get new work, `unusable` the others that are
/// listed. The latter get no requests, but their agents learn from gateways who the members of their
/// group are, so they are divided among the gateways in the same way.
pub fn choose_subset(
    usable: Vec<&KnownServer>,
    unusable: Vec<&KnownServer>,
    own: SocketAddr,
    domain: &FailureDomain,
) -> BTreeSet<ServerId> {
    if usable.len() + unusable.len() <= MAX_UNDIVIDED_SERVERS {
        return usable.into_iter().chain(unusable).map(|it| it.record.id.clone()).collect();
    }
    let mut subset = choose_part(usable, SUBSET_SIZE, own, domain);
    subset.extend(choose_part(unusable, MAX_UNUSABLE_REMOTE, own, domain));
    subset
}

/// Chooses servers of the own failure domain, and others up to `max_remote`.
fn choose_part(
    servers: Vec<&KnownServer>,
    max_remote: usize,
    own: SocketAddr,
    domain: &FailureDomain,
) -> BTreeSet<ServerId> {
    let (mut local, mut remote): (Vec<&KnownServer>, Vec<&KnownServer>) =
        servers.into_iter().partition(|it| it.record.failure_domain == *domain);
    let seed = xxh3_64(own.to_string().as_bytes());
    let rank = |it: &&KnownServer| xxh3_64_with_seed(it.record.id.as_str().as_bytes(), seed);
    local.sort_by_cached_key(rank);
    remote.sort_by_cached_key(rank);
    local.truncate(SUBSET_SIZE - MIN_REMOTE_SERVERS);
    remote.truncate(max_remote.min(SUBSET_SIZE - local.len()));
    local.into_iter().chain(remote).map(|it| it.record.id.clone()).collect()
}
