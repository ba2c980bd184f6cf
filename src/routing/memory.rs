//! Counts the memory that requests hold, and decides what ends when it runs short.

use std::collections::BTreeMap;

use super::RequestNumber;
use crate::units::{ByteCount, ClientAccount};

/// Unit in which held memory is counted; a part of it counts as a whole.
const HOLD_GRAIN: u64 = 4 << 10;
/// Part of the bound that one account may hold while others need it: one in this many.
const ACCOUNT_DIVISOR: u64 = 2;
/// Number of kinds of held memory.
const KINDS: usize = 3;

/// What held memory is for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum HoldKind {
    /// The body of a request.
    RequestBody,
    /// A response that is sent once it is complete.
    Answer,
    /// The part of a stream that its caller has not taken yet.
    Relay,
}

impl HoldKind {
    /// All kinds.
    pub const ALL: [Self; KINDS] = [Self::RequestBody, Self::Answer, Self::Relay];

    /// Returns the name for metrics.
    ///
    /// ```
    /// assert_eq!(alderbay::routing::HoldKind::Relay.name(), "relay");
    /// ```
    pub fn name(self) -> &'static str {
        match self {
            Self::RequestBody => "request_body",
            Self::Answer => "answer",
            Self::Relay => "relay",
        }
    }
}

/// How far a request is, which decides whether it can end for its memory.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum HoldStage {
    /// Its body is being read: it can be refused.
    Reading,
    /// Its body is being read, and nothing of it has come for a while.
    Paused,
    /// It waits for a server or runs: ending it would leave its outcome unknown.
    Running,
    /// Its caller takes the response.
    Delivering,
    /// Its caller has taken nothing for a while.
    Idle,
    /// It was told to end, and its memory counts as free.
    Ending,
}

impl HoldStage {
    /// Returns the name for logs and metrics.
    ///
    /// ```
    /// assert_eq!(alderbay::routing::HoldStage::Idle.name(), "idle");
    /// ```
    pub fn name(self) -> &'static str {
        match self {
            Self::Reading => "reading",
            Self::Paused => "paused",
            Self::Running => "running",
            Self::Delivering => "delivering",
            Self::Idle => "idle",
            Self::Ending => "ending",
        }
    }
}

/// A request that must end for its memory.
#[derive(Clone, Debug, PartialEq)]
pub struct EndedHolder {
    /// Number of the request.
    pub number: RequestNumber,
    /// How far it was.
    pub stage: HoldStage,
    /// What it held.
    pub held: ByteCount,
}

/// Answer to a request that needs memory.
#[derive(Clone, Debug, PartialEq)]
pub enum HoldOutcome {
    /// It holds what it needs, once these requests have ended.
    Held(Vec<EndedHolder>),
    /// There is no room for it.
    Refused,
}

#[derive(Clone, Debug)]
struct MemoryHolder {
    account: Option<ClientAccount>,
    stage: HoldStage,
    bytes: [u64; KINDS],
}

impl MemoryHolder {
    fn total(&self) -> u64 {
        self.bytes.iter().sum()
    }
}

/// Order in which requests end: accounts over their part first, then callers that neither send nor
/// take anything, then the largest.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
struct EndOrder {
    is_over_part: bool,
    is_idle: bool,
    bytes: u64,
}

/// The request that needs memory.
struct MemoryDemand {
    number: RequestNumber,
    account: Option<ClientAccount>,
    /// What it needs beyond what it holds.
    missing: u64,
    order: EndOrder,
    is_new: bool,
}

/// The memory that requests hold, by request and by account.
///
/// ```
/// use alderbay::{routing::{HoldKind, HoldOutcome, MemoryLedger, RequestNumber}, units::ByteCount};
/// let mut ledger = MemoryLedger::new(ByteCount(8 << 10));
/// let number = RequestNumber(1);
/// assert_eq!(ledger.admit(number, None, ByteCount(100)), HoldOutcome::Held(Vec::new()));
/// ledger.hold(number, HoldKind::RequestBody, ByteCount(100));
/// assert_eq!(ledger.held(HoldKind::RequestBody), ByteCount(4 << 10));
/// let large = ByteCount(5 << 10);
/// assert_eq!(ledger.admit(RequestNumber(2), None, large), HoldOutcome::Refused);
/// ```
#[derive(Clone, Debug)]
pub struct MemoryLedger {
    bound: u64,
    holders: BTreeMap<RequestNumber, MemoryHolder>,
    accounts: BTreeMap<Option<ClientAccount>, u64>,
    totals: [u64; KINDS],
    /// What requests hold that were told to end.
    ending: u64,
}

impl MemoryLedger {
    /// Creates a ledger of which requests may hold `bound` together.
    pub fn new(bound: ByteCount) -> Self {
        Self {
            bound: bound.0,
            holders: BTreeMap::new(),
            accounts: BTreeMap::new(),
            totals: [0; KINDS],
            ending: 0,
        }
    }

    /// Adds a request that will hold `announced` once its body is read. It is refused if there is
    /// no room, unless others can end for it: those whose callers neither send nor take
    /// anything, and those of an account that holds more than its part.
    pub fn admit(
        &mut self,
        number: RequestNumber,
        account: Option<ClientAccount>,
        announced: ByteCount,
    ) -> HoldOutcome {
        let missing = round_up(announced.0);
        let order = EndOrder {
            is_over_part: self.is_over_part(&account, missing),
            is_idle: false,
            bytes: missing,
        };
        let demand =
            MemoryDemand { number, account: account.clone(), missing, order, is_new: true };
        let Some(ended) = self.make_room(&demand) else { return HoldOutcome::Refused };
        let holder = MemoryHolder { account, stage: HoldStage::Reading, bytes: [0; KINDS] };
        self.holders.insert(number, holder);
        HoldOutcome::Held(ended)
    }

    /// Sets what a request holds of one kind. If there is no room for more, the first request in
    /// the order of ending ends; if that is this one, it is refused and holds what it held.
    pub fn hold(&mut self, number: RequestNumber, kind: HoldKind, held: ByteCount) -> HoldOutcome {
        let Some(holder) = self.holders.get(&number) else { return HoldOutcome::Held(Vec::new()) };
        let (needed, before) = (round_up(held.0), holder.bytes[kind as usize]);
        if needed <= before {
            self.set(number, kind, needed);
            return HoldOutcome::Held(Vec::new());
        }
        let missing = needed - before;
        let order = EndOrder {
            is_over_part: self.is_over_part(&holder.account, missing),
            is_idle: false,
            bytes: holder.total() + missing,
        };
        let account = holder.account.clone();
        let demand = MemoryDemand { number, account, missing, order, is_new: false };
        let Some(ended) = self.make_room(&demand) else { return HoldOutcome::Refused };
        self.set(number, kind, needed);
        HoldOutcome::Held(ended)
    }

    /// Records how far a request is. One that was told to end stays so.
    pub fn set_stage(&mut self, number: RequestNumber, stage: HoldStage) {
        if let Some(holder) = self.holders.get_mut(&number)
            && holder.stage != HoldStage::Ending
        {
            holder.stage = stage;
        }
    }

    /// Removes a request with all that it holds.
    pub fn remove(&mut self, number: RequestNumber) {
        for kind in HoldKind::ALL {
            self.set(number, kind, 0);
        }
        self.holders.remove(&number);
    }

    /// Returns what all requests hold of one kind.
    pub fn held(&self, kind: HoldKind) -> ByteCount {
        ByteCount(self.totals[kind as usize])
    }

    /// Returns what an account holds.
    pub fn held_by(&self, account: &Option<ClientAccount>) -> ByteCount {
        ByteCount(self.accounts.get(account).copied().unwrap_or_default())
    }

    /// Returns what requests may hold together.
    pub fn bound(&self) -> ByteCount {
        ByteCount(self.bound)
    }

    fn in_use(&self) -> u64 {
        self.totals.iter().sum::<u64>() - self.ending
    }

    fn is_over_part(&self, account: &Option<ClientAccount>, more: u64) -> bool {
        (self.held_by(account).0 + more) > self.bound / ACCOUNT_DIVISOR
    }

    fn set(&mut self, number: RequestNumber, kind: HoldKind, needed: u64) {
        let Some(holder) = self.holders.get_mut(&number) else { return };
        let before = std::mem::replace(&mut holder.bytes[kind as usize], needed);
        let replace = |total: u64| total - before + needed;
        self.totals[kind as usize] = replace(self.totals[kind as usize]);
        if holder.stage == HoldStage::Ending {
            self.ending = replace(self.ending);
        }
        let total = replace(self.accounts.get(&holder.account).copied().unwrap_or_default());
        match total {
            0 => drop(self.accounts.remove(&holder.account)),
            _ => drop(self.accounts.insert(holder.account.clone(), total)),
        }
    }

    /// Tells requests to end until there is room. Returns `None`, and tells none, if that is not
    /// enough.
    fn make_room(&mut self, demand: &MemoryDemand) -> Option<Vec<EndedHolder>> {
        let excess = (self.in_use() + demand.missing).saturating_sub(self.bound);
        if excess == 0 {
            return Some(Vec::new());
        }
        let mut candidates: Vec<(EndOrder, RequestNumber)> = self
            .holders
            .iter()
            .filter(|it| *it.0 != demand.number)
            .filter_map(|(number, holder)| Some((self.end_order(holder, demand)?, *number)))
            .collect();
        candidates.sort_unstable_by(|lhs, rhs| rhs.cmp(lhs));
        let mut freed = 0;
        let mut chosen = Vec::new();
        for (order, number) in candidates {
            if freed >= excess {
                break;
            }
            freed += order.bytes;
            chosen.push(number);
        }
        (freed >= excess).then(|| chosen.into_iter().filter_map(|it| self.end(it)).collect())
    }

    /// Returns the place of a holder in the order of ending, or `None` if it need not end for this
    /// demand.
    fn end_order(&self, holder: &MemoryHolder, demand: &MemoryDemand) -> Option<EndOrder> {
        let is_idle = match holder.stage {
            HoldStage::Reading | HoldStage::Delivering => false,
            HoldStage::Paused | HoldStage::Idle => true,
            HoldStage::Running | HoldStage::Ending => return None,
        };
        let is_over_part =
            holder.account != demand.account && self.is_over_part(&holder.account, 0);
        let order = EndOrder { is_over_part, is_idle, bytes: holder.total() };
        let own = EndOrder { is_over_part: false, ..demand.order };
        let must_yield = match demand.is_new {
            true => is_idle || is_over_part && !demand.order.is_over_part,
            false => {
                order > own && (!demand.order.is_over_part || holder.account == demand.account)
            }
        };
        (must_yield && order.bytes > 0).then_some(order)
    }

    fn end(&mut self, number: RequestNumber) -> Option<EndedHolder> {
        let holder = self.holders.get_mut(&number)?;
        let stage = std::mem::replace(&mut holder.stage, HoldStage::Ending);
        let held = holder.total();
        self.ending += held;
        Some(EndedHolder { number, stage, held: ByteCount(held) })
    }
}

fn round_up(bytes: u64) -> u64 {
    bytes.div_ceil(HOLD_GRAIN) * HOLD_GRAIN
}
