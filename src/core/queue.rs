//! Work that waits at an agent for room at its backend server.

use std::collections::{BTreeMap, HashMap};

use serde::{Deserialize, Serialize};

use super::{WorkFacts, WorkId};
use crate::units::{ClientAccount, Moment};

/// Bounds of the queue.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct QueueSettings {
    /// Requests that may wait.
    pub max_waiting: u32,
}

impl Default for QueueSettings {
    fn default() -> Self {
        Self { max_waiting: 64 }
    }
}

/// Waiting and running work of one agent.
///
/// The next work to start is the most urgent; among equals, the one whose account has the least
/// running here; among those, the one with the earliest deadline.
#[derive(Clone, Debug, Default, PartialEq)]
#[derive(Serialize, Deserialize)]
pub struct WorkQueue {
    waiting: BTreeMap<WorkId, WorkFacts>,
    running: BTreeMap<WorkId, WorkFacts>,
    running_by_account: HashMap<ClientAccount, u32>,
}

impl WorkQueue {
    /// Work at the backend server.
    pub fn running(&self) -> usize {
        self.running.len()
    }

    /// Work that waits.
    pub fn waiting(&self) -> usize {
        self.waiting.len()
    }

    /// The facts of running work.
    pub fn running_facts(&self, work: WorkId) -> Option<&WorkFacts> {
        self.running.get(&work)
    }

    /// Adds work. Returns the work that must be shed for it where the queue is full: the least
    /// urgent, and among equals the one with the latest deadline, which may be the new work itself.
    pub fn push(&mut self, facts: WorkFacts, settings: QueueSettings) -> Option<WorkFacts> {
        self.waiting.insert(facts.work, facts);
        if self.waiting.len() <= settings.max_waiting as usize {
            return None;
        }
        let rank = |it: &&WorkFacts| (std::cmp::Reverse(it.priority), it.deadline, it.work);
        let victim = self.waiting.values().max_by_key(rank)?.work;
        self.waiting.remove(&victim)
    }

    /// Moves the next work to running.
    pub fn start_next(&mut self) -> Option<WorkFacts> {
        let load = |it: &WorkFacts| self.running_by_account.get(&it.account).copied().unwrap_or(0);
        let rank =
            |it: &&WorkFacts| (std::cmp::Reverse(it.priority), load(it), it.deadline, it.work);
        let next = self.waiting.values().min_by_key(rank)?.work;
        let facts = self.waiting.remove(&next)?;
        *self.running_by_account.entry(facts.account.clone()).or_default() += 1;
        self.running.insert(next, facts.clone());
        Some(facts)
    }

    /// Takes waiting work out.
    pub fn remove_waiting(&mut self, work: WorkId) -> Option<WorkFacts> {
        self.waiting.remove(&work)
    }

    /// Takes running work out.
    pub fn end(&mut self, work: WorkId) -> Option<WorkFacts> {
        let facts = self.running.remove(&work)?;
        if let Some(count) = self.running_by_account.get_mut(&facts.account) {
            *count -= 1;
            if *count == 0 {
                self.running_by_account.remove(&facts.account);
            }
        }
        Some(facts)
    }

    /// Takes out all waiting work whose deadline has come.
    pub fn expire(&mut self, now: Moment) -> Vec<WorkFacts> {
        let due: Vec<WorkId> =
            self.waiting.values().filter(|it| it.deadline <= now).map(|it| it.work).collect();
        due.into_iter().filter_map(|work| self.waiting.remove(&work)).collect()
    }

    /// Takes out all waiting work.
    pub fn drain_waiting(&mut self) -> Vec<WorkFacts> {
        std::mem::take(&mut self.waiting).into_values().collect()
    }

    /// The earliest deadline of waiting work.
    pub fn next_deadline(&self) -> Option<Moment> {
        self.waiting.values().map(|it| it.deadline).min()
    }
}

#[cfg(test)]
mod tests {
    use googletest::prelude::*;

    use super::*;
    use crate::{units::PriorityLevel, wire::RunMode};

    fn facts(work: u64, account: &str, priority: u8, deadline: u64) -> WorkFacts {
        WorkFacts {
            work: WorkId(work),
            account: account.parse().unwrap(),
            service: "llm".parse().unwrap(),
            priority: PriorityLevel(priority),
            deadline: Moment(deadline),
            mode: RunMode::Idempotent,
        }
    }

    fn started(queue: &mut WorkQueue) -> Option<u64> {
        queue.start_next().map(|it| it.work.0)
    }

    #[gtest]
    fn urgent_work_starts_first() {
        let mut queue = WorkQueue::default();
        for it in [facts(1, "a", 0, 5), facts(2, "b", 2, 9), facts(3, "c", 2, 7)] {
            assert_that!(queue.push(it, QueueSettings::default()), none());
        }
        assert_that!(started(&mut queue), some(eq(3)));
        assert_that!(started(&mut queue), some(eq(2)));
        assert_that!(started(&mut queue), some(eq(1)));
        assert_that!(started(&mut queue), none());
    }

    #[gtest]
    fn account_with_less_running_starts_first() {
        let mut queue = WorkQueue::default();
        for it in [facts(1, "a", 0, 1), facts(2, "a", 0, 2), facts(3, "b", 0, 9)] {
            queue.push(it, QueueSettings::default());
        }
        assert_that!(started(&mut queue), some(eq(1)));
        assert_that!(started(&mut queue), some(eq(3)));
        queue.end(WorkId(1));
        assert_that!(started(&mut queue), some(eq(2)));
    }

    #[gtest]
    fn full_queue_sheds_least_urgent() {
        let mut queue = WorkQueue::default();
        let settings = QueueSettings { max_waiting: 2 };
        queue.push(facts(1, "a", 1, 5), settings);
        queue.push(facts(2, "b", 0, 5), settings);
        let shed = queue.push(facts(3, "c", 2, 5), settings).map(|it| it.work);
        assert_that!(shed, some(eq(WorkId(2))));
        let shed = queue.push(facts(4, "d", 0, 1), settings).map(|it| it.work);
        assert_that!(shed, some(eq(WorkId(4))));
    }

    #[gtest]
    fn late_work_expires() {
        let mut queue = WorkQueue::default();
        queue.push(facts(1, "a", 0, 5), QueueSettings::default());
        queue.push(facts(2, "a", 0, 8), QueueSettings::default());
        assert_that!(queue.next_deadline(), some(eq(Moment(5))));
        let expired: Vec<u64> = queue.expire(Moment(5)).into_iter().map(|it| it.work.0).collect();
        assert_that!(expired, elements_are![eq(&1)]);
        assert_that!(queue.waiting(), eq(1));
    }
}
