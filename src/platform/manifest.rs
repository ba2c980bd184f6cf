//! Decoding of the operator's manifest into the route catalog.

use std::{collections::BTreeMap, fmt, marker::PhantomData, time::Duration};

use serde::{
    Deserialize, Deserializer,
    de::{DeserializeOwned, SeqAccess, Visitor},
};
use serde_json::Value;
use smol_str::SmolStr;

use super::PlatformError;
use crate::{
    routing::{
        AccountRecord, CallerLimits, CatalogProblems, CatalogVersion, EngineModel, ExpertLayout,
        RouteCatalog, RouteKind, RouteRecord, RouteTarget, ServiceRecord,
    },
    units::{ByteCount, ClientAccount, RouteName, ServiceName, UrgencyRank},
};

/// Key of the manifest in the operator's stream.
const MANIFEST_KEY: &str = "config";
/// Prefix of the keys of evacuations; the failure domain follows.
const EVACUATION_PREFIX: &str = "evacuate/";

/// Decoded key of a record in the operator's stream.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum OperatorKey {
    /// The manifest, which holds the route catalog.
    Catalog,
    /// Evacuation of the failure domain with this name, which is not validated yet.
    Evacuation(SmolStr),
    /// A key that gateways do not use.
    Other,
}

impl OperatorKey {
    /// Decodes a key of the operator's stream.
    ///
    /// ```
    /// use alderbay::platform::OperatorKey;
    /// assert_eq!(OperatorKey::parse("evacuate/a"), OperatorKey::Evacuation("a".into()));
    /// ```
    pub fn parse(key: &str) -> Self {
        if key == MANIFEST_KEY {
            return Self::Catalog;
        }
        match key.strip_prefix(EVACUATION_PREFIX) {
            Some(domain) => Self::Evacuation(domain.into()),
            None => Self::Other,
        }
    }
}

#[derive(Deserialize)]
#[serde(rename_all = "kebab-case")]
struct WireManifest {
    version: u64,
    #[serde(default)]
    routes: EntryList<WireRoute>,
    #[serde(default)]
    services: EntryList<WireService>,
    // Requests need a key if the manifest contains the field, whatever it holds.
    #[serde(default, deserialize_with = "decode_present")]
    tenants: Option<EntryList<WireTenant>>,
    #[serde(default)]
    limits: WireLimits,
}

/// Decodes a list that is there; `null` counts as empty.
fn decode_present<'de, D, T>(deserializer: D) -> Result<Option<EntryList<T>>, D::Error>
where
    D: Deserializer<'de>,
    T: DeserializeOwned,
{
    let list: Option<EntryList<T>> = Deserialize::deserialize(deserializer)?;
    Ok(Some(list.unwrap_or_default()))
}

/// A list of which each entry can be unreadable by itself.
struct EntryList<T> {
    entries: Vec<T>,
    /// The unreadable entries, with the reasons.
    unreadable: Vec<(Value, serde_json::Error)>,
}

impl<T> Default for EntryList<T> {
    fn default() -> Self {
        Self { entries: Vec::new(), unreadable: Vec::new() }
    }
}

impl<'de, T: DeserializeOwned> Deserialize<'de> for EntryList<T> {
    fn deserialize<D: Deserializer<'de>>(deserializer: D) -> Result<Self, D::Error> {
        deserializer.deserialize_seq(EntryVisitor(PhantomData))
    }
}

struct EntryVisitor<T>(PhantomData<T>);

impl<'de, T: DeserializeOwned> Visitor<'de> for EntryVisitor<T> {
    type Value = EntryList<T>;

    fn expecting(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("a list")
    }

    fn visit_seq<A: SeqAccess<'de>>(self, mut list: A) -> Result<EntryList<T>, A::Error> {
        let mut decoded = EntryList::default();
        while let Some(entry) = list.next_element::<Value>()? {
            match T::deserialize(&entry) {
                Ok(entry) => decoded.entries.push(entry),
                Err(error) => decoded.unreadable.push((entry, error)),
            }
        }
        Ok(decoded)
    }
}

/// Records the unreadable entries of a list.
fn note_unreadable(
    problems: &mut CatalogProblems,
    kind: &str,
    unreadable: &[(Value, serde_json::Error)],
) {
    for (entry, error) in unreadable {
        let name = entry.get("name").and_then(Value::as_str).unwrap_or("without a name");
        problems.record(&format!("{kind} {name:?}: {error}"));
    }
}

/// What an unreadable route says about the requests that it matches.
#[derive(Deserialize)]
#[serde(rename_all = "kebab-case")]
struct WireScope {
    #[serde(default)]
    hostname: SmolStr,
    path_prefix: SmolStr,
}

/// Name of an unreadable route in logs.
const UNREADABLE_ROUTE: &str = "unreadable";

/// Returns a route without targets for the requests of an unreadable one, which must not go to the
/// services of a route with a shorter prefix.
fn blocking_route(entry: &Value) -> Option<RouteRecord> {
    let scope = WireScope::deserialize(entry).ok()?;
    Some(RouteRecord {
        name: UNREADABLE_ROUTE.parse().ok()?,
        host: scope.hostname,
        path_prefix: scope.path_prefix,
        kind: RouteKind::Single,
        timeout: Duration::from_millis(default_timeout_ms()),
        latency_objective: None,
        gap_objective: None,
        rank: None,
        targets: Vec::new(),
        max_attempts: default_attempts(),
        is_public: true,
    })
}

#[derive(Deserialize)]
#[serde(rename_all = "kebab-case")]
struct WireRoute {
    name: RouteName,
    #[serde(default)]
    hostname: SmolStr,
    path_prefix: SmolStr,
    // "safe" for idempotent requests, "streaming", or other names for requests that run once.
    kind: SmolStr,
    #[serde(default = "default_timeout_ms")]
    timeout_ms: u64,
    #[serde(default)]
    target_latency_ms: Option<f64>,
    // Rank of the route's requests; 0 is the highest.
    #[serde(default)]
    priority: WireRank,
    // Longest pause between two events of a stream that is still on time.
    #[serde(default)]
    gap_target_ms: Option<f64>,
    // The only target of a route without a traffic split.
    #[serde(default)]
    service: Option<ServiceName>,
    #[serde(default)]
    traffic_split: Vec<WireShare>,
    #[serde(default = "default_attempts")]
    max_attempts: u32,
    // Whether requests without an API key are accepted.
    #[serde(default)]
    public: bool,
    // Whether another server can resume an interrupted stream.
    #[serde(default)]
    resumable: bool,
}

#[derive(Deserialize)]
struct WireShare {
    service: ServiceName,
    weight: f64,
}

#[derive(Deserialize)]
#[serde(rename_all = "kebab-case")]
struct WireService {
    name: ServiceName,
    // How long a server is cold after its start, in seconds.
    #[serde(default)]
    warmup_s: f64,
    // Rate limit of a cold server, in requests per second.
    #[serde(default)]
    warmup_per_s: f64,
    #[serde(default)]
    engine: Option<WireEngine>,
}

// The platform mixes names with '-' and with '_' here, so each name is spelled out.
#[derive(Deserialize)]
struct WireEngine {
    // Bandwidth for copies of experts, in megabits per second.
    #[serde(default, rename = "link-mbps")]
    link_mbps: f64,
    // Sets of layers whose experts are placed alike; 0 for a dense model.
    #[serde(default)]
    sets: usize,
    // Experts in each set.
    #[serde(default)]
    experts: usize,
    // Experts of a set that a rank can hold.
    #[serde(default, rename = "placements")]
    rank_slots: usize,
    // Experts of a set that one change of the map may add to a rank.
    #[serde(default, rename = "spare")]
    max_new: usize,
    // Size of one expert in megabytes.
    #[serde(default, rename = "expert-mb")]
    expert_mb: f64,
}

// The platform calls a client account a tenant.
#[derive(Deserialize)]
#[serde(rename_all = "kebab-case")]
struct WireTenant {
    name: ClientAccount,
    #[serde(default)]
    api_keys: Vec<SmolStr>,
    // Takes precedence over the priority of routes.
    #[serde(default)]
    priority: WireRank,
}

// A priority that cannot be read must not make the whole manifest unreadable.
#[derive(Default, Deserialize)]
#[serde(untagged)]
enum WireRank {
    Number(f64),
    #[default]
    Absent,
    Unreadable(serde::de::IgnoredAny),
}

/// Least urgent rank that servers tell apart.
const LAST_RANK: u8 = 9;

impl WireRank {
    /// Returns the rank, or `None` if there is none. A value that is no rank counts as the least
    /// urgent one, so that nobody gains by it; `owner` is named in the log.
    fn decode(&self, owner: &str) -> Option<UrgencyRank> {
        let number = match self {
            Self::Absent => return None,
            Self::Number(number) => Some(*number).filter(|it| *it >= 0.0),
            Self::Unreadable(_) => None,
        };
        if number.is_none() {
            log::warn!(owner = owner; "unreadable priority in the catalog, taken as the least urgent");
        }
        // The cast saturates.
        Some(UrgencyRank(number.map_or(LAST_RANK, |it| it as u8).min(LAST_RANK)))
    }
}

#[derive(Deserialize)]
#[serde(rename_all = "kebab-case", default)]
struct WireLimits {
    max_body_bytes: u64,
}

impl Default for WireLimits {
    fn default() -> Self {
        Self { max_body_bytes: 4 << 20 }
    }
}

fn default_timeout_ms() -> u64 {
    30_000
}

fn default_attempts() -> u32 {
    1
}

/// Decodes the operator's manifest from JSON. Unknown fields are ignored. An account, route or service
/// that cannot be read is left out and named in the catalog's problems: its keys are unknown, requests
/// that it matches are refused.
///
/// ```
/// let catalog = alderbay::platform::decode_catalog(br#"{"version": 7}"#)?;
/// assert_eq!(catalog.version().0, 7);
/// # Ok::<(), alderbay::platform::PlatformError>(())
/// ```
///
/// # Errors
///
/// The text is not JSON, the version is missing, or a top-level field has the wrong type.
pub fn decode_catalog(text: &[u8]) -> Result<RouteCatalog, PlatformError> {
    let manifest: WireManifest = serde_json::from_slice(text)?;
    let mut problems = CatalogProblems::default();
    let accounts = manifest.tenants.map(|it| {
        note_unreadable(&mut problems, "account", &it.unreadable);
        it.entries.into_iter().map(decode_account).collect()
    });
    note_unreadable(&mut problems, "service", &manifest.services.unreadable);
    note_unreadable(&mut problems, "route", &manifest.routes.unreadable);
    let services = manifest.services.entries.into_iter();
    let services: BTreeMap<ServiceName, ServiceRecord> =
        services.map(|it| (it.name.clone(), decode_service(it))).collect();
    let blocking = manifest.routes.unreadable.iter().filter_map(|it| blocking_route(&it.0));
    let routes = manifest.routes.entries.into_iter().map(decode_route).chain(blocking).collect();
    let limits = CallerLimits { max_body: ByteCount(manifest.limits.max_body_bytes) };
    let version = CatalogVersion(manifest.version);
    let catalog = RouteCatalog::new(version, routes, services, accounts, limits);
    Ok(catalog.with_problems(problems))
}

fn decode_account(tenant: WireTenant) -> AccountRecord {
    let rank = tenant.priority.decode(tenant.name.as_str());
    AccountRecord { account: tenant.name, api_keys: tenant.api_keys, rank }
}

fn decode_route(route: WireRoute) -> RouteRecord {
    let mut targets: Vec<RouteTarget> = route
        .traffic_split
        .into_iter()
        .map(|it| RouteTarget { service: it.service, weight: it.weight })
        .collect();
    if targets.is_empty() {
        targets.extend(route.service.map(|service| RouteTarget { service, weight: 1.0 }));
    }
    RouteRecord {
        rank: route.priority.decode(route.name.as_str()),
        gap_objective: route.gap_target_ms.map(duration_from_ms),
        name: route.name,
        host: route.hostname,
        path_prefix: route.path_prefix,
        kind: decode_kind(&route.kind, route.resumable),
        timeout: Duration::from_millis(route.timeout_ms),
        latency_objective: route.target_latency_ms.map(duration_from_ms),
        targets,
        max_attempts: route.max_attempts.max(1),
        is_public: route.public,
    }
}

fn decode_kind(kind: &str, resumable: bool) -> RouteKind {
    match kind {
        "safe" => RouteKind::Idempotent,
        "streaming" if resumable => RouteKind::ResumableStream,
        "streaming" => RouteKind::SingleStream,
        // A request of an unknown kind may not be idempotent, so it runs at most once.
        _ => RouteKind::Single,
    }
}

fn decode_service(service: WireService) -> ServiceRecord {
    ServiceRecord {
        warm_up: Duration::from_secs_f64(service.warmup_s.clamp(0.0, 3_600.0)),
        cold_rate: service.warmup_per_s,
        engine: service.engine.map(decode_engine),
    }
}

fn decode_engine(engine: WireEngine) -> EngineModel {
    let layout = (engine.sets > 0 && engine.experts > 0).then_some(ExpertLayout {
        layers: engine.sets,
        experts: engine.experts,
        rank_slots: engine.rank_slots,
        max_new: engine.max_new,
        copy_seconds: engine.expert_mb * 8.0 / engine.link_mbps.max(1.0),
    });
    EngineModel { layout }
}

fn duration_from_ms(value: f64) -> Duration {
    Duration::from_secs_f64(value.clamp(0.0, 86_400_000.0) / 1_000.0)
}

#[cfg(test)]
mod tests {
    use googletest::prelude::*;

    use super::*;

    #[gtest]
    fn manifest_is_decoded() {
        let text = br#"{"version":7,"routes":[{"name":"r","hostname":"h.example","path-prefix":"/a/",
            "kind":"streaming","timeout-ms":8000,"target-latency-ms":400,"priority":1,
            "traffic-split":[{"service":"s","weight":90},{"service":"t","weight":10}],
            "max-attempts":2,"public":false,"resumable":true,"gap-target-ms":120}],
            "services":[{"name":"s","warmup-s":3.0,"warmup-per-s":36.0,"engine":{"slots":12,
            "sets":6,"experts":64,"placements":11,"spare":4,"expert-mb":1700.0,"link-mbps":92000.0}}],
            "tenants":[{"name":"acc","api-keys":["k1"]}],"limits":{"max-body-bytes":9}}"#;
        let catalog = decode_catalog(text).unwrap();
        assert_that!(catalog.version(), eq(CatalogVersion(7)));
        let route = catalog.route("h.example", "/a/x").unwrap();
        assert_that!(route.kind, eq(RouteKind::ResumableStream));
        assert_that!(route.targets, len(eq(2)));
        assert_that!(route.rank, some(eq(UrgencyRank(1))));
        assert_that!(route.gap_objective, some(eq(Duration::from_millis(120))));
        assert_that!(catalog.account_of("k1").map(ToString::to_string), some(eq("acc")));
        let engine = catalog.service(&"s".parse().unwrap()).unwrap().engine.clone().unwrap();
        assert_that!(engine.layout.unwrap().copy_seconds, near(0.1478, 0.001));
    }

    #[gtest]
    fn priorities_are_bounded() {
        let rank = |text: &str| {
            let manifest = format!(
                r#"{{"version":1,"routes":[{{"name":"r","path-prefix":"/","kind":"safe"{text}}}]}}"#
            );
            decode_catalog(manifest.as_bytes()).unwrap().route("", "/").unwrap().rank
        };
        expect_that!(rank(""), none());
        expect_that!(rank(r#","priority":null"#), none());
        expect_that!(rank(r#","priority":0"#), some(eq(UrgencyRank(0))));
        for text in ["1e300", "10", "-1", "\"high\"", "[0]", "{}", "true"] {
            let rank = rank(&format!(r#","priority":{text}"#));
            expect_that!(rank, some(eq(UrgencyRank(LAST_RANK))), "{text}");
        }
    }

    #[gtest]
    fn account_rank_replaces_route_rank() {
        let text = br#"{"version":1,"routes":[
            {"name":"r","path-prefix":"/a/","kind":"safe","service":"s","priority":2},
            {"name":"q","path-prefix":"/b/","kind":"safe","service":"t","priority":1}],
            "tenants":[{"name":"acc","priority":0},{"name":"other"}]}"#;
        let catalog = decode_catalog(text).unwrap();
        let route = catalog.route("", "/a/").unwrap();
        let account = |name: &str| name.parse::<ClientAccount>().unwrap();
        expect_that!(catalog.rank_of(route, Some(&account("acc"))), some(eq(UrgencyRank(0))));
        expect_that!(catalog.rank_of(route, Some(&account("other"))), some(eq(UrgencyRank(2))));
        expect_that!(catalog.rank_of(route, None), some(eq(UrgencyRank(2))));
        expect_that!(catalog.has_ranks(&"s".parse().unwrap()), eq(true));
    }

    #[gtest]
    fn unknown_kind_runs_at_most_once() {
        assert_that!(decode_kind("keyed", true), eq(RouteKind::Single));
    }
}
