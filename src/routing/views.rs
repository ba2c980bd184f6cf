//! What a gateway knows from the platform's store: the operators' records and the directory, each
//! as of a position in the store.
//!
//! The store may come back from a copy that is some seconds old. It then starts a new era, and
//! offsets are assigned again, so positions are ordered by era first. Operators and servers write
//! again what the copy lacks. Until they have, a view keeps what the earlier era has shown:
//!
//! - a catalog never gives way to one of a lower version;
//! - a failure domain stays evacuated although the copy lacks the evacuation, and stays in use
//!   although the copy still holds an evacuation that has ended;
//! - the rules for servers are those of [`super::ServerTable::mark_store_rewound`].

use std::{
    collections::{BTreeMap, BTreeSet},
    time::Duration,
};

use serde::{Deserialize, Serialize};

use super::{RouteCatalog, ServerRecord};
use crate::units::{FailureDomain, LogOffset, Moment, ServerId, StorePosition};

/// Time for which an evacuation stays in force that the store's copy lacks. Operators write it again
/// much earlier, unless it has ended meanwhile.
const MISSING_EVACUATION_GRACE: Duration = Duration::from_secs(15);
/// Time for which an evacuation is ignored that the store's copy still holds although it has ended.
/// Below the time within which an evacuation must take effect, in case it is a new one.
const ENDED_EVACUATION_GRACE: Duration = Duration::from_millis(2_500);

/// The operators' records in the form in which gateways send them to each other.
#[derive(Clone, Debug)]
#[derive(Serialize, Deserialize)]
pub struct OperatorView {
    /// Position from which to read later changes.
    #[serde(flatten)]
    pub position: StorePosition,
    /// Newest catalog; `None` before the first one.
    pub catalog: Option<RouteCatalog>,
    /// Evacuated failure domains.
    pub evacuated: BTreeSet<FailureDomain>,
    /// Offset of the record that began each evacuation, where known. Gateways of earlier releases do
    /// not send it.
    #[serde(default)]
    pub begun_at: BTreeMap<FailureDomain, LogOffset>,
    /// Failure domains of which the sender does not know yet whether the evacuation will be written
    /// again, or its end.
    #[serde(default)]
    pub uncertain: BTreeSet<FailureDomain>,
}

/// The directory in the form in which gateways send it to each other.
#[derive(Clone, Debug)]
#[derive(Serialize, Deserialize)]
pub struct DirectoryView {
    /// Position from which to read later changes.
    #[serde(flatten)]
    pub position: StorePosition,
    /// All servers that the directory lists.
    pub servers: BTreeMap<ServerId, ServerRecord>,
    /// Time of the read from the store, by whichever gateway; `None` if that is not known or before
    /// the start of this process. Sent as an age, see [`DirectoryCopy`].
    #[serde(skip)]
    pub read_at: Option<Moment>,
}

/// A gateway's directory with its age, in the form in which another gateway receives it.
///
/// ```
/// use std::{collections::BTreeMap, time::Duration};
/// use alderbay::{routing::{DirectoryCopy, DirectoryView}, units::{Moment, StorePosition}};
/// let position = StorePosition::default();
/// let view = DirectoryView { position, servers: BTreeMap::new(), read_at: Some(Moment(3)) };
/// let copy = DirectoryCopy::new(view, Moment(2_003));
/// // The receiver asked at 9 ms on its own clock.
/// let received = copy.received(Moment(9_000));
/// assert_eq!(received.read_at, Some(Moment(7_000)));
/// ```
#[derive(Clone, Debug)]
#[derive(Serialize, Deserialize)]
pub struct DirectoryCopy {
    #[serde(flatten)]
    view: DirectoryView,
    /// Milliseconds since the read from the store; `None` if unknown. Gateways of earlier releases do
    /// not send it.
    #[serde(default)]
    age_ms: Option<u64>,
}

impl DirectoryCopy {
    /// Creates the copy to send at `now`.
    pub fn new(view: DirectoryView, now: Moment) -> Self {
        let age_ms = view.read_at.map(|it| now.since(it).as_micros().div_ceil(1_000));
        let age_ms = age_ms.map(|it| u64::try_from(it).unwrap_or(u64::MAX));
        Self { view, age_ms }
    }

    /// Returns the directory as this gateway knows it that asked for the copy at `asked_at`. Passing a
    /// directory on never makes it younger.
    pub fn received(self, asked_at: Moment) -> DirectoryView {
        let read_at = self.age_ms.and_then(|it| read_time(asked_at, it));
        DirectoryView { read_at, ..self.view }
    }
}

/// Returns the time of a read from the store that was `age_ms` old when another gateway, asked at
/// `asked_at`, sent it; `None` if that is before the start of this process.
///
/// ```
/// use alderbay::{routing::read_time, units::Moment};
/// assert_eq!(read_time(Moment(5_000), 2), Some(Moment(3_000)));
/// assert_eq!(read_time(Moment(5_000), u64::MAX), None);
/// ```
pub fn read_time(asked_at: Moment, age_ms: u64) -> Option<Moment> {
    asked_at.checked_before(Duration::from_millis(age_ms))
}

/// A change that operators have written.
#[derive(Clone, Debug)]
pub enum OperatorChange {
    /// A catalog was published.
    Catalog(Box<RouteCatalog>),
    /// A failure domain was evacuated.
    Evacuated(FailureDomain),
    /// The evacuation of a failure domain ended.
    Restored(FailureDomain),
}

/// How a read relates to the records before it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ReadKind {
    /// The newest record of each key.
    Snapshot,
    /// All records since the position of the view.
    Changes,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum EvacuationState {
    /// The store holds the evacuation.
    Active,
    /// An earlier era held the evacuation and the present one does not, so far.
    Missing { until: Moment },
    /// The evacuation has ended.
    Ended,
    /// The evacuation has ended, but the copy from which the present era started still holds it.
    Outdated { until: Moment },
}

#[derive(Clone, Copy, Debug)]
struct Evacuation {
    state: EvacuationState,
    /// Offset of the record that began the evacuation; `None` if another gateway reported it.
    begun_at: Option<LogOffset>,
}

/// The operators' records as one gateway knows them.
#[derive(Clone, Debug, Default)]
pub struct OperatorTable {
    position: Option<StorePosition>,
    catalog: Option<RouteCatalog>,
    evacuations: BTreeMap<FailureDomain, Evacuation>,
}

impl OperatorTable {
    /// Returns the position from which to read changes, or `None` before the first read.
    pub fn position(&self) -> Option<StorePosition> {
        self.position
    }

    /// Returns the newest catalog seen in any era.
    pub fn catalog(&self) -> Option<&RouteCatalog> {
        self.catalog.as_ref()
    }

    /// Returns the failure domains whose evacuation is in force.
    pub fn evacuated(&self) -> BTreeSet<FailureDomain> {
        let in_force = |it: &Evacuation| match it.state {
            EvacuationState::Active | EvacuationState::Missing { .. } => true,
            EvacuationState::Ended | EvacuationState::Outdated { .. } => false,
        };
        self.evacuations.iter().filter(|it| in_force(it.1)).map(|it| it.0.clone()).collect()
    }

    /// Returns the view to send to other gateways, or `None` before the first read.
    pub fn view(&self) -> Option<OperatorView> {
        let evacuated = self.evacuated();
        let begun_at = evacuated
            .iter()
            .filter_map(|it| Some((it.clone(), self.evacuations.get(it)?.begun_at?)))
            .collect();
        let is_uncertain = |it: &Evacuation| match it.state {
            EvacuationState::Missing { .. } | EvacuationState::Outdated { .. } => true,
            EvacuationState::Active | EvacuationState::Ended => false,
        };
        let uncertain = self
            .evacuations
            .iter()
            .filter(|it| is_uncertain(it.1))
            .map(|it| it.0.clone())
            .collect();
        let (position, catalog) = (self.position?, self.catalog.clone());
        Some(OperatorView { position, catalog, evacuated, begun_at, uncertain })
    }

    /// Applies records read from the store, with the offset of each and the position after them.
    /// Ignored if the position is before the present one, or for changes also if it belongs to a
    /// later era.
    pub fn apply_read(
        &mut self,
        kind: ReadKind,
        position: StorePosition,
        changes: Vec<(LogOffset, OperatorChange)>,
        now: Moment,
    ) {
        let is_rewind = self.position.is_some_and(|it| it.era < position.era);
        let is_older = self.position.is_some_and(|it| it > position);
        if is_older || is_rewind && kind == ReadKind::Changes {
            return;
        }
        let known_end = self.position.filter(|_| is_rewind).map(|it| it.offset);
        self.position = Some(position);
        let listed: BTreeSet<FailureDomain> = changes
            .iter()
            .filter_map(|(_, change)| match change {
                OperatorChange::Evacuated(domain) => Some(domain.clone()),
                OperatorChange::Catalog(_) | OperatorChange::Restored(_) => None,
            })
            .collect();
        for (offset, change) in changes {
            match change {
                OperatorChange::Catalog(catalog) => self.apply_catalog(*catalog),
                OperatorChange::Evacuated(domain) => {
                    self.apply_evacuation(domain, Some(offset), known_end, now);
                }
                OperatorChange::Restored(domain) => self.end_evacuation(&domain),
            }
        }
        if kind == ReadKind::Snapshot {
            self.apply_absence(&listed, is_rewind, now);
        }
    }

    /// Applies the view of another gateway. One that is older or uncertain only contributes its
    /// catalog, if that has a higher version, and to an empty table also its evacuations.
    pub fn apply_view(&mut self, view: OperatorView, now: Moment) {
        if let Some(catalog) = view.catalog {
            self.apply_catalog(catalog);
        }
        let is_newer = self.position.is_none_or(|it| it < view.position);
        if !is_newer {
            return;
        }
        // Records that settle what the sender does not know may be before its position, so that
        // position is not taken over. A process without a position reads all keys later.
        let is_certain = view.uncertain.is_empty();
        if !is_certain && self.position.is_some() {
            return;
        }
        let known_end = self.position.map(|it| (it.era, it.offset));
        let known_end = known_end.filter(|it| it.0 < view.position.era).map(|it| it.1);
        if is_certain {
            self.position = Some(view.position);
        }
        self.apply_absence(&view.evacuated, known_end.is_some(), now);
        for domain in view.evacuated {
            let begun_at = view.begun_at.get(&domain).copied();
            self.apply_evacuation(domain, begun_at, known_end, now);
        }
    }

    /// Ends the grace periods that have passed. Returns whether the evacuated failure domains have
    /// changed.
    pub fn expire(&mut self, now: Moment) -> bool {
        let mut has_changed = false;
        for (domain, evacuation) in &mut self.evacuations {
            evacuation.state = match evacuation.state {
                EvacuationState::Missing { until } if until <= now => {
                    log::warn!(
                        domain:% = domain;
                        "evacuation ended, the store's copy lacks it and nobody wrote it again"
                    );
                    EvacuationState::Ended
                }
                EvacuationState::Outdated { until } if until <= now => {
                    log::warn!(
                        domain:% = domain;
                        "evacuation in force again, nobody ended it since the store's copy"
                    );
                    EvacuationState::Active
                }
                EvacuationState::Missing { .. }
                | EvacuationState::Outdated { .. }
                | EvacuationState::Active
                | EvacuationState::Ended => continue,
            };
            has_changed = true;
        }
        has_changed
    }

    fn apply_catalog(&mut self, catalog: RouteCatalog) {
        let newest = self.catalog.as_ref().map(RouteCatalog::version);
        if newest.is_none_or(|it| it < catalog.version()) {
            self.catalog = Some(catalog);
        }
    }

    fn end_evacuation(&mut self, domain: &FailureDomain) {
        if let Some(evacuation) = self.evacuations.get_mut(domain) {
            evacuation.state = EvacuationState::Ended;
        }
    }

    /// Applies the record of an evacuation. After a rewind, `known_end` is the offset up to which
    /// this table has known the earlier era: a record before it, of a domain that is not evacuated
    /// here, most likely stems from the copy, and its end is lost.
    fn apply_evacuation(
        &mut self,
        domain: FailureDomain,
        begun_at: Option<LogOffset>,
        known_end: Option<LogOffset>,
        now: Moment,
    ) {
        let known = self.evacuations.get(&domain).copied();
        let is_old_record = known_end.zip(begun_at).is_some_and(|(end, begun_at)| begun_at < end);
        let state = match known.map_or(EvacuationState::Ended, |it| it.state) {
            EvacuationState::Ended | EvacuationState::Outdated { .. } if is_old_record => {
                EvacuationState::Outdated { until: now.after(ENDED_EVACUATION_GRACE) }
            }
            EvacuationState::Outdated { until }
                if known.is_some_and(|it| it.begun_at == begun_at) =>
            {
                EvacuationState::Outdated { until }
            }
            EvacuationState::Active
            | EvacuationState::Ended
            | EvacuationState::Missing { .. }
            | EvacuationState::Outdated { .. } => EvacuationState::Active,
        };
        self.evacuations.insert(domain, Evacuation { state, begun_at });
    }

    /// Handles the evacuations that a snapshot does not list.
    fn apply_absence(&mut self, listed: &BTreeSet<FailureDomain>, is_rewind: bool, now: Moment) {
        for (domain, evacuation) in &mut self.evacuations {
            if listed.contains(domain) {
                continue;
            }
            evacuation.state = match evacuation.state {
                EvacuationState::Active | EvacuationState::Missing { .. } if is_rewind => {
                    EvacuationState::Missing { until: now.after(MISSING_EVACUATION_GRACE) }
                }
                EvacuationState::Missing { until } => EvacuationState::Missing { until },
                EvacuationState::Active
                | EvacuationState::Ended
                | EvacuationState::Outdated { .. } => EvacuationState::Ended,
            };
        }
    }
}

/// The directory as one gateway knows it; empty before the first read.
#[derive(Clone, Debug, Default)]
pub struct DirectoryTable {
    view: Option<DirectoryView>,
}

/// What the application of a view of the directory has led to.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum DirectoryUpdate {
    /// The view was older than the present one and was ignored.
    Outdated,
    /// The view replaced one of the same era, or is the first one.
    Applied,
    /// The view replaced one of an earlier era.
    Rewound,
}

impl DirectoryTable {
    /// Returns the newest view.
    pub fn view(&self) -> Option<&DirectoryView> {
        self.view.as_ref()
    }

    /// Replaces the view unless the present one is newer. Within an era a view contains all that those
    /// of lower positions do, so the later of the two reads confirms the one that is kept.
    pub fn apply(&mut self, view: DirectoryView) -> DirectoryUpdate {
        let Some(known) = &self.view else {
            self.view = Some(view);
            return DirectoryUpdate::Applied;
        };
        if known.position > view.position {
            return DirectoryUpdate::Outdated;
        }
        let is_rewind = known.position.era < view.position.era;
        let known_read_at = known.read_at.filter(|_| !is_rewind);
        self.view = Some(DirectoryView { read_at: view.read_at.max(known_read_at), ..view });
        if is_rewind { DirectoryUpdate::Rewound } else { DirectoryUpdate::Applied }
    }
}
