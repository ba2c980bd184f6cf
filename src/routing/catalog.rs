//! The route catalog: which requests go to which services, under whose keys, and what is known of
//! the services.

use std::{
    collections::{BTreeMap, HashMap},
    fmt,
    str::FromStr,
    time::Duration,
};

use rand::{Rng, rngs::SmallRng};
use serde::{Deserialize, Serialize};
use smol_str::SmolStr;

use crate::units::{ByteCount, ClientAccount, QuantityError, RouteName, ServiceName};

/// Version of a catalog, as its operators count.
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

/// What may be repeated of a request, and what its answer is.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum RouteKind {
    /// May run more than once; answered whole.
    Idempotent,
    /// May run once at most; answered whole.
    Single,
    /// A stream of events that another server can go on with.
    ResumableStream,
    /// A stream of events that may run once at most.
    SingleStream,
}

impl RouteKind {
    /// Whether a request may run again.
    pub fn is_idempotent(self) -> bool {
        match self {
            Self::Idempotent | Self::ResumableStream => true,
            Self::Single | Self::SingleStream => false,
        }
    }

    /// Whether the answer is a stream of events.
    pub fn is_stream(self) -> bool {
        match self {
            Self::ResumableStream | Self::SingleStream => true,
            Self::Idempotent | Self::Single => false,
        }
    }
}

/// One service of a route and its part of the requests.
#[derive(Clone, Debug, PartialEq)]
#[derive(Serialize, Deserialize)]
pub struct RouteTarget {
    /// The service.
    pub service: ServiceName,
    /// Its part, relative to the other targets' weights.
    pub weight: f64,
}

/// One route.
#[derive(Clone, Debug, PartialEq)]
#[derive(Serialize, Deserialize)]
pub struct RouteRecord {
    /// Its name.
    pub name: RouteName,
    /// Host of the requests; empty for any.
    pub host: SmolStr,
    /// What their paths begin with.
    pub path_prefix: SmolStr,
    /// What may be repeated.
    pub kind: RouteKind,
    /// Longest time that a caller is kept waiting.
    pub timeout: Duration,
    /// Time within which an answer, or the first event of a stream, is timely.
    pub latency_objective: Option<Duration>,
    /// Where the requests go.
    pub targets: Vec<RouteTarget>,
    /// Servers that may be asked for one request.
    pub max_attempts: u32,
    /// Whether requests need no key.
    pub is_public: bool,
}

impl RouteRecord {
    /// Draws the service of one request by the targets' weights.
    pub fn draw_service(&self, rng: &mut SmallRng) -> Option<&ServiceName> {
        let total: f64 = self.targets.iter().map(|it| it.weight.max(0.0)).sum();
        if total <= 0.0 {
            return self.targets.first().map(|it| &it.service);
        }
        let mut left = rng.random_range(0.0..total);
        for target in &self.targets {
            left -= target.weight.max(0.0);
            if left < 0.0 {
                return Some(&target.service);
            }
        }
        self.targets.last().map(|it| &it.service)
    }
}

/// What is known of a service.
#[derive(Clone, Debug, Default, PartialEq)]
#[derive(Serialize, Deserialize)]
pub struct ServiceRecord {
    /// How long a server is cold after its start.
    pub warm_up: Duration,
    /// Requests that a cold server bears in a second; zero where nothing is said.
    pub cold_rate: f64,
    /// How its engines batch; none for plain services.
    pub engine: Option<EngineModel>,
}

/// What is known of a model engine.
#[derive(Clone, Debug, PartialEq)]
#[derive(Serialize, Deserialize)]
pub struct EngineModel {
    /// Layout of its experts; none for dense models.
    pub layout: Option<ExpertLayout>,
}

/// How the experts of a model may be placed over the ranks of a group.
#[derive(Clone, Copy, Debug, PartialEq)]
#[derive(Serialize, Deserialize)]
pub struct ExpertLayout {
    /// Sets of layers that are placed alike.
    pub layers: usize,
    /// Experts of each set.
    pub experts: usize,
    /// Experts that a rank can hold of a set.
    pub rank_slots: usize,
    /// Experts of a set that one change of the map may bring to a rank.
    pub max_new: usize,
    /// Time to copy one expert to a rank, in seconds.
    pub copy_seconds: f64,
}

/// One client account and its keys.
#[derive(Clone, Debug, PartialEq)]
#[derive(Serialize, Deserialize)]
pub struct AccountRecord {
    /// The account.
    pub account: ClientAccount,
    /// Keys that its requests may show.
    pub api_keys: Vec<SmolStr>,
}

/// Bounds on what callers send.
#[derive(Clone, Copy, Debug, PartialEq)]
#[derive(Serialize, Deserialize)]
pub struct CallerLimits {
    /// Bytes of a request's body.
    pub max_body: ByteCount,
}

/// One version of the catalog.
#[derive(Clone, Debug, PartialEq)]
#[derive(Serialize, Deserialize)]
#[serde(from = "CatalogText", into = "CatalogText")]
pub struct RouteCatalog {
    version: CatalogVersion,
    /// By host; the longest prefix first.
    routes: HashMap<SmolStr, Vec<RouteRecord>>,
    services: BTreeMap<ServiceName, ServiceRecord>,
    accounts: HashMap<SmolStr, ClientAccount>,
    limits: CallerLimits,
}

/// The catalog as peers send it.
#[derive(Clone)]
#[derive(Serialize, Deserialize)]
struct CatalogText {
    version: CatalogVersion,
    routes: Vec<RouteRecord>,
    services: BTreeMap<ServiceName, ServiceRecord>,
    accounts: HashMap<SmolStr, ClientAccount>,
    limits: CallerLimits,
}

impl From<CatalogText> for RouteCatalog {
    fn from(text: CatalogText) -> Self {
        let routes = index_routes(text.routes);
        let CatalogText { version, services, accounts, limits, .. } = text;
        Self { version, routes, services, accounts, limits }
    }
}

impl From<RouteCatalog> for CatalogText {
    fn from(catalog: RouteCatalog) -> Self {
        let RouteCatalog { version, routes, services, accounts, limits } = catalog;
        let routes = routes.into_values().flatten().collect();
        Self { version, routes, services, accounts, limits }
    }
}

impl RouteCatalog {
    /// A catalog of these lists.
    pub fn new(
        version: CatalogVersion,
        routes: Vec<RouteRecord>,
        services: BTreeMap<ServiceName, ServiceRecord>,
        accounts: Vec<AccountRecord>,
        limits: CallerLimits,
    ) -> Self {
        let by_key = |it: AccountRecord| {
            let account = it.account;
            it.api_keys.into_iter().map(move |key| (key, account.clone()))
        };
        let accounts = accounts.into_iter().flat_map(by_key).collect();
        Self { version, routes: index_routes(routes), services, accounts, limits }
    }

    /// Its version.
    pub fn version(&self) -> CatalogVersion {
        self.version
    }

    /// Bounds on what callers send.
    pub fn limits(&self) -> CallerLimits {
        self.limits
    }

    /// The route of a request: of its host's routes, the one with the longest prefix of the path.
    ///
    /// ```
    /// use alderbay::routing::{CallerLimits, CatalogVersion, RouteCatalog};
    /// use alderbay::units::ByteCount;
    /// let limits = CallerLimits { max_body: ByteCount(1) };
    /// let empty = RouteCatalog::new(CatalogVersion(1), vec![], [].into(), vec![], limits);
    /// assert!(empty.route("h.example", "/a/").is_none());
    /// ```
    pub fn route(&self, host: &str, path: &str) -> Option<&RouteRecord> {
        let of_host = |host: &str| {
            let routes = self.routes.get(host)?;
            routes.iter().find(|it| path.starts_with(it.path_prefix.as_str()))
        };
        of_host(host).or_else(|| of_host(""))
    }

    /// One service.
    pub fn service(&self, name: &ServiceName) -> Option<&ServiceRecord> {
        self.services.get(name)
    }

    /// The services.
    pub fn services(&self) -> impl Iterator<Item = &ServiceName> {
        self.services.keys()
    }

    /// The account that holds a key.
    pub fn account_of(&self, api_key: &str) -> Option<&ClientAccount> {
        self.accounts.get(api_key)
    }

    /// Whether requests need keys at all.
    pub fn has_accounts(&self) -> bool {
        !self.accounts.is_empty()
    }
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
