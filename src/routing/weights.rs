//! Weights that model servers were found not to have.

use std::{collections::BTreeMap, time::Duration};

use serde::{Deserialize, Serialize};

use super::Incarnation;
use crate::units::{Moment, WeightVersion};

/// Time for which a refusal is believed. Servers load other weights while they run.
const REFUSAL_TTL: Duration = Duration::from_secs(2);
/// Number of versions kept for one server. Callers may expect any.
const MAX_VERSIONS: usize = 4;

/// The versions of weights that servers have refused lately.
///
/// ```
/// use alderbay::{routing::WeightTable, units::{Moment, WeightVersion}};
/// let mut table = WeightTable::default();
/// let server = ("i-1".parse()?, Some(1));
/// table.record_refusal(server.clone(), WeightVersion(1), Moment(0));
/// assert!(table.has_refused(&server, WeightVersion(1), Moment(1)));
/// assert!(!table.has_refused(&server, WeightVersion(2), Moment(1)));
/// # Ok::<(), alderbay::units::IdError>(())
/// ```
#[derive(Clone, Debug, Default, PartialEq)]
#[derive(Serialize, Deserialize)]
pub struct WeightTable {
    /// The versions that each server has refused, oldest first, with the times.
    refused: BTreeMap<Incarnation, Vec<(WeightVersion, Moment)>>,
}

impl WeightTable {
    /// Records that a server refused a request that expects this version.
    pub fn record_refusal(&mut self, server: Incarnation, version: WeightVersion, now: Moment) {
        let versions = self.refused.entry(server).or_default();
        versions.retain(|it| it.0 != version);
        versions.push((version, now));
        if versions.len() > MAX_VERSIONS {
            versions.remove(0);
        }
    }

    /// Whether a server has refused this version lately.
    pub fn has_refused(&self, server: &Incarnation, version: WeightVersion, now: Moment) -> bool {
        let versions = self.refused.get(server);
        versions.is_some_and(|it| it.iter().any(|it| it.0 == version && is_recent(it.1, now)))
    }

    /// Forgets old refusals, and those of servers that are no longer listed.
    pub fn prune(&mut self, is_listed: impl Fn(&Incarnation) -> bool, now: Moment) {
        self.refused.retain(|server, versions| {
            versions.retain(|it| is_recent(it.1, now));
            !versions.is_empty() && is_listed(server)
        });
    }
}

fn is_recent(at: Moment, now: Moment) -> bool {
    now.since(at) < REFUSAL_TTL
}
