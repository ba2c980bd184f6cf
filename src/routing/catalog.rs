//! The route catalog: routes from requests to services, API keys of client accounts, and the
//! properties of the services.

use std::{
    collections::{BTreeMap, BTreeSet, HashMap},
    fmt,
    str::FromStr,
    time::Duration,
};

use rand::{Rng, rngs::SmallRng};
use serde::{Deserialize, Serialize};
use smol_str::SmolStr;

use crate::units::{ByteCount, ClientAccount, QuantityError, RouteName, ServiceName, UrgencyRank};

/// Version of a catalog, assigned by the operator; higher is newer. 0 means no
/// catalog.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
#[derive(Serialize, Deserialize)]
#[serde(transparent)]
pub struct CatalogVersion(pub u64);

impl fmt::Display for CatalogVersion {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.0.fmt(f)
    }
}

impl FromStr for CatalogVersion {
    type Err = QuantityError;

    fn from_str(text: &str) -> Result<Self, QuantityError> {
        Ok(Self(text.parse()?))
    }
}

/// Whether requests of a route may run more than once, and the form of their responses.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum RouteKind {
    /// May run more than once; a single response, sent to the caller once complete.
    Idempotent,
    /// May run at most once; a single response, sent to the caller once complete.
    Single,
    /// A stream of events that another server can resume after the last event received.
    ResumableStream,
    /// A stream of events of a request that may run at most once.
    SingleStream,
}

impl RouteKind {
    /// Whether a request may run more than once.
    pub fn is_idempotent(self) -> bool {
        match self {
            Self::Idempotent | Self::ResumableStream => true,
            Self::Single | Self::SingleStream => false,
        }
    }

    /// Whether the response is a stream of events.
    pub fn is_stream(self) -> bool {
        match self {
            Self::ResumableStream | Self::SingleStream => true,
            Self::Idempotent | Self::Single => false,
        }
    }
}

/// One service of a route and its share of the route's requests.
#[derive(Clone, Debug, PartialEq)]
#[derive(Serialize, Deserialize)]
pub struct RouteTarget {
    /// Service that gets the requests.
    pub service: ServiceName,
    /// Share of the requests, relative to the weights of the other targets.
    pub weight: f64,
}

/// One route: the requests that it matches, their services, and the limits on their handling.
#[derive(Clone, Debug, PartialEq)]
#[derive(Serialize, Deserialize)]
pub struct RouteRecord {
    /// Name of the route, for logs.
    pub name: RouteName,
    /// Host of matching requests; empty for any host.
    pub host: SmolStr,
    /// Prefix of the paths of matching requests.
    pub path_prefix: SmolStr,
    /// Whether requests may be repeated, and the form of their responses.
    pub kind: RouteKind,
    /// Longest time from a request's arrival to its response.
    pub timeout: Duration,
    /// Target latency of a response, or of the first event of a stream; `None` if there is no
    /// target.
    pub latency_objective: Option<Duration>,
    /// Longest pause between two events of a stream for which its response is still on time; `None` if
    /// there is no target.
    #[serde(default)]
    pub gap_objective: Option<Duration>,
    /// Rank of the route's requests in the order of urgency; `None` if the route sets none.
    #[serde(default)]
    pub rank: Option<UrgencyRank>,
    /// Services among which requests are divided at random by weight.
    pub targets: Vec<RouteTarget>,
    /// Maximum number of attempts in which a request is sent; 0 counts as 1. Failed connection
    /// attempts do not count.
    pub max_attempts: u32,
    /// Whether requests need no API key.
    pub is_public: bool,
}

impl RouteRecord {
    /// Draws the service of one request at random by weight. Returns `None` if the route has
    /// no targets, and the first target if no weight is positive.
    pub fn draw_service(&self, rng: &mut SmallRng) -> Option<&ServiceName> {
        let total: f64 = self.targets.iter().map(|it| it.weight.max(0.0)).sum();
        if total <= 0.0 {
            return self.targets.first().map(|it| &it.service);
        }
        let mut remaining = rng.random_range(0.0..total);
        for target in &self.targets {
            remaining -= target.weight.max(0.0);
            if remaining < 0.0 {
                return Some(&target.service);
            }
        }
        self.targets.last().map(|it| &it.service)
    }
}

/// Properties of a service.
#[derive(Clone, Debug, Default, PartialEq)]
#[derive(Serialize, Deserialize)]
pub struct ServiceRecord {
    /// Time after its start for which a server counts as cold and is limited to `cold_rate`.
    pub warm_up: Duration,
    /// Requests per second that a cold server can take; 0 for no limit.
    pub cold_rate: f64,
    /// Model engine of the servers; `None` for services without one.
    pub engine: Option<EngineModel>,
}

/// Properties of a model engine.
#[derive(Clone, Debug, PartialEq)]
#[derive(Serialize, Deserialize)]
pub struct EngineModel {
    /// Layout of the model's experts; `None` for dense models.
    pub layout: Option<ExpertLayout>,
}

/// Dimensions and limits of the placement of a model's experts on the ranks of a group.
#[derive(Clone, Copy, Debug, PartialEq)]
#[derive(Serialize, Deserialize)]
pub struct ExpertLayout {
    /// Number of layer sets; the layers of one set share one placement.
    pub layers: usize,
    /// Number of experts per layer set.
    pub experts: usize,
    /// Maximum number of experts of a layer set that one rank can hold.
    pub rank_slots: usize,
    /// Maximum number of experts of a layer set that one change of the expert map may add to a
    /// rank.
    pub max_new: usize,
    /// Time to copy one expert to a rank, in seconds.
    pub copy_seconds: f64,
}

/// One client account and its API keys.
#[derive(Clone, Debug, PartialEq)]
#[derive(Serialize, Deserialize)]
pub struct AccountRecord {
    /// Account that owns the keys.
    pub account: ClientAccount,
    /// API keys that identify the account's requests.
    pub api_keys: Vec<SmolStr>,
    /// Rank of the account's requests in the order of urgency, which replaces that of their routes;
    /// `None` if the account sets none.
    #[serde(default)]
    pub rank: Option<UrgencyRank>,
}

/// Limits on callers' requests.
#[derive(Clone, Copy, Debug, PartialEq)]
#[derive(Serialize, Deserialize)]
pub struct CallerLimits {
    /// Maximum size of a request body.
    pub max_body: ByteCount,
}

/// Number of problems of a catalog that are described.
const MAX_PROBLEMS: usize = 10;
/// Maximum number of characters of the description of a problem: it may quote the entry.
const MAX_PROBLEM_CHARS: usize = 200;

/// The entries of a catalog that cannot be read.
///
/// ```
/// use alderbay::routing::CatalogProblems;
/// let mut problems = CatalogProblems::default();
/// problems.record("route \"r\": missing field");
/// assert_eq!(problems.count, 1);
/// ```
#[derive(Clone, Debug, Default, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct CatalogProblems {
    /// Number of entries.
    pub count: u64,
    /// Descriptions of the first ones.
    pub first: Vec<SmolStr>,
}

impl CatalogProblems {
    /// Records one entry with the reason.
    pub fn record(&mut self, text: &str) {
        self.count += 1;
        if self.first.len() < MAX_PROBLEMS {
            self.first.push(text.chars().take(MAX_PROBLEM_CHARS).collect());
        }
    }
}

/// One version of the catalog, indexed for lookups.
#[derive(Clone, Debug, PartialEq)]
#[derive(Serialize, Deserialize)]
#[serde(from = "CatalogText", into = "CatalogText")]
pub struct RouteCatalog {
    version: CatalogVersion,
    /// By lower-case host, the longest path prefix first.
    routes: HashMap<SmolStr, Vec<RouteRecord>>,
    services: BTreeMap<ServiceName, ServiceRecord>,
    /// Whether requests need an API key. Not told from the keys: the last one may be revoked.
    requires_key: bool,
    /// By API key.
    accounts: HashMap<SmolStr, ClientAccount>,
    /// Ranks that accounts set.
    account_ranks: BTreeMap<ClientAccount, UrgencyRank>,
    /// Services whose requests differ in urgency.
    ranked_services: BTreeSet<ServiceName>,
    /// Shortest of the gap objectives of the routes to each service.
    gap_objectives: BTreeMap<ServiceName, Duration>,
    limits: CallerLimits,
    problems: CatalogProblems,
}

/// Serialized form of a catalog, as gateways send it to each other.
#[derive(Clone)]
#[derive(Serialize, Deserialize)]
struct CatalogText {
    version: CatalogVersion,
    routes: Vec<RouteRecord>,
    services: BTreeMap<ServiceName, ServiceRecord>,
    /// Gateways of earlier releases do not send it.
    #[serde(default)]
    requires_key: Option<bool>,
    accounts: HashMap<SmolStr, ClientAccount>,
    #[serde(default)]
    account_ranks: BTreeMap<ClientAccount, UrgencyRank>,
    limits: CallerLimits,
    #[serde(default)]
    problems: CatalogProblems,
}

impl From<CatalogText> for RouteCatalog {
    fn from(text: CatalogText) -> Self {
        let CatalogText {
            version,
            routes,
            services,
            requires_key,
            accounts,
            account_ranks,
            limits,
            problems,
        } = text;
        let requires_key = requires_key.unwrap_or(!accounts.is_empty());
        let ranked_services = ranked_services(&routes, &account_ranks);
        let gap_objectives = gap_objectives(&routes);
        let routes = index_routes(routes);
        Self {
            version,
            routes,
            services,
            requires_key,
            accounts,
            account_ranks,
            ranked_services,
            gap_objectives,
            limits,
            problems,
        }
    }
}

impl From<RouteCatalog> for CatalogText {
    fn from(catalog: RouteCatalog) -> Self {
        let RouteCatalog {
            version,
            routes,
            services,
            requires_key,
            accounts,
            account_ranks,
            limits,
            problems,
            ..
        } = catalog;
        let requires_key = Some(requires_key);
        let routes = routes.into_values().flatten().collect();
        Self { version, routes, services, requires_key, accounts, account_ranks, limits, problems }
    }
}

impl RouteCatalog {
    /// Creates a catalog from the lists of a manifest. Without a list of accounts, requests need no API
    /// keys; with an empty one, or accounts without keys, there is no valid key.
    pub fn new(
        version: CatalogVersion,
        routes: Vec<RouteRecord>,
        services: BTreeMap<ServiceName, ServiceRecord>,
        accounts: Option<Vec<AccountRecord>>,
        limits: CallerLimits,
    ) -> Self {
        let requires_key = accounts.is_some();
        let accounts = accounts.unwrap_or_default();
        let rank_of = |it: &AccountRecord| Some((it.account.clone(), it.rank?));
        let account_ranks: BTreeMap<_, _> = accounts.iter().filter_map(rank_of).collect();
        let by_key = |it: AccountRecord| {
            let account = it.account;
            let keys = it.api_keys.into_iter().filter(|key| !key.is_empty());
            keys.map(move |key| (key, account.clone()))
        };
        let accounts = accounts.into_iter().flat_map(by_key).collect();
        let ranked_services = ranked_services(&routes, &account_ranks);
        let gap_objectives = gap_objectives(&routes);
        let routes = index_routes(routes);
        Self {
            version,
            routes,
            services,
            requires_key,
            accounts,
            account_ranks,
            ranked_services,
            gap_objectives,
            limits,
            problems: CatalogProblems::default(),
        }
    }

    /// Adds what could not be read.
    #[must_use]
    pub fn with_problems(self, problems: CatalogProblems) -> Self {
        Self { problems, ..self }
    }

    /// Returns the entries that could not be read and are left out.
    pub fn problems(&self) -> &CatalogProblems {
        &self.problems
    }

    /// Returns the version of the catalog.
    pub fn version(&self) -> CatalogVersion {
        self.version
    }

    /// Returns the limits on callers' requests.
    pub fn limits(&self) -> CallerLimits {
        self.limits
    }

    /// Returns the route of a request: the one with the longest matching path prefix among the
    /// routes of its host, else among the routes for any host. `host` is in lower case.
    ///
    /// ```
    /// use alderbay::routing::{CallerLimits, CatalogVersion, RouteCatalog};
    /// use alderbay::units::ByteCount;
    /// let limits = CallerLimits { max_body: ByteCount(1) };
    /// let empty = RouteCatalog::new(CatalogVersion(1), vec![], [].into(), None, limits);
    /// assert!(empty.route("h.example", "/a/").is_none());
    /// ```
    pub fn route(&self, host: &str, path: &str) -> Option<&RouteRecord> {
        let find_in_host = |host: &str| {
            let routes = self.routes.get(host)?;
            routes.iter().find(|it| path.starts_with(it.path_prefix.as_str()))
        };
        find_in_host(host).or_else(|| find_in_host(""))
    }

    /// Whether a route has this name.
    pub fn has_route(&self, name: &RouteName) -> bool {
        self.routes.values().flatten().any(|it| it.name == *name)
    }

    /// Returns the properties of a service, or `None` if the catalog lacks it.
    pub fn service(&self, name: &ServiceName) -> Option<&ServiceRecord> {
        self.services.get(name)
    }

    /// Returns the names of all services.
    pub fn services(&self) -> impl Iterator<Item = &ServiceName> {
        self.services.keys()
    }

    /// Returns the account that owns an API key, or `None` if the key is unknown.
    pub fn account_of(&self, api_key: &str) -> Option<&ClientAccount> {
        self.accounts.get(api_key)
    }

    /// Returns the rank of a request in the order of urgency: that of its account, else that of its
    /// route, or `None` if neither sets one.
    pub fn rank_of(
        &self,
        route: &RouteRecord,
        account: Option<&ClientAccount>,
    ) -> Option<UrgencyRank> {
        account.and_then(|it| self.account_ranks.get(it)).copied().or(route.rank)
    }

    /// Returns the longest pause that a stream of the service may have, by the strictest of its routes;
    /// `None` if no route sets one.
    pub fn gap_objective(&self, service: &ServiceName) -> Option<Duration> {
        self.gap_objectives.get(service).copied()
    }

    /// Whether requests to a service differ in urgency, so that the order of their service matters:
    /// its routes have different ranks, or accounts set ranks of their own.
    pub fn has_ranks(&self, service: &ServiceName) -> bool {
        self.ranked_services.contains(service)
    }

    /// Whether requests on routes that are not public need an API key of an account.
    pub fn requires_key(&self) -> bool {
        self.requires_key
    }
}

/// Returns the shortest gap objective of the routes to each service.
fn gap_objectives(routes: &[RouteRecord]) -> BTreeMap<ServiceName, Duration> {
    let mut shortest: BTreeMap<ServiceName, Duration> = BTreeMap::new();
    for route in routes {
        for (target, objective) in route.targets.iter().zip(route.gap_objective.iter().cycle()) {
            let entry = shortest.entry(target.service.clone()).or_insert(*objective);
            *entry = (*entry).min(*objective);
        }
    }
    shortest
}

/// Returns the services whose requests differ in urgency.
fn ranked_services(
    routes: &[RouteRecord],
    account_ranks: &BTreeMap<ClientAccount, UrgencyRank>,
) -> BTreeSet<ServiceName> {
    let mut ranks: BTreeMap<&ServiceName, BTreeSet<Option<UrgencyRank>>> = BTreeMap::new();
    for route in routes {
        for target in &route.targets {
            let ranks = ranks.entry(&target.service).or_default();
            ranks.insert(route.rank);
            ranks.extend(account_ranks.values().map(|it| Some(*it)));
        }
    }
    ranks.into_iter().filter(|it| it.1.len() > 1).map(|it| it.0.clone()).collect()
}

fn index_routes(routes: Vec<RouteRecord>) -> HashMap<SmolStr, Vec<RouteRecord>> {
    let mut by_host: HashMap<SmolStr, Vec<RouteRecord>> = HashMap::new();
    for route in routes {
        by_host.entry(route.host.to_ascii_lowercase().into()).or_default().push(route);
    }
    for routes in by_host.values_mut() {
        routes.sort_by_key(|it| std::cmp::Reverse(it.path_prefix.len()));
    }
    by_host
}
