//! Work that waits at an agent until its backend server can run it.

use std::collections::{BTreeMap, HashMap};

use serde::{Deserialize, Serialize};

use super::{WorkId, WorkItem};
use crate::units::{ClientAccount, Moment};

/// Limits of the queue.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct QueueSettings {
    /// Maximum number of waiting requests.
    pub max_waiting: u32,
}

impl Default for QueueSettings {
    fn default() -> Self {
        Self { max_waiting: 64 }
    }
}

/// Waiting and running work of one agent.
///
/// Work starts in order of priority, then of the account's running work, fewest first, then of the
/// deadline, earliest first.
#[derive(Clone, Debug, Default, PartialEq)]
#[derive(Serialize, Deserialize)]
pub struct WorkQueue {
    waiting: BTreeMap<WorkId, WorkItem>,
    running: BTreeMap<WorkId, WorkItem>,
    running_by_account: HashMap<ClientAccount, u32>,
}

impl WorkQueue {
    /// Returns the number of work items that run at the backend server.
    pub fn running(&self) -> usize {
        self.running.len()
    }

    /// Returns the number of work items that wait.
    pub fn waiting(&self) -> usize {
        self.waiting.len()
    }

    /// Returns the running work with this id, or `None` if it is not running.
    pub fn running_item(&self, work: WorkId) -> Option<&WorkItem> {
        self.running.get(&work)
    }

    /// Adds waiting work. If the queue is full, removes and returns the work with the lowest
    /// priority, and among equals the one with the latest deadline; that may be the new work
    /// itself.
    pub fn push(&mut self, item: WorkItem, settings: QueueSettings) -> Option<WorkItem> {
        self.waiting.insert(item.work, item);
        if self.waiting.len() <= settings.max_waiting as usize {
            return None;
        }
        let order = |it: &&WorkItem| (std::cmp::Reverse(it.priority), it.deadline, it.work);
        let victim = self.waiting.values().max_by_key(order)?.work;
        self.waiting.remove(&victim)
    }

    /// Moves the next waiting work to running and returns it, or `None` if no work waits.
    pub fn start_next(&mut self) -> Option<WorkItem> {
        let running =
            |it: &WorkItem| self.running_by_account.get(&it.account).copied().unwrap_or(0);
        let order =
            |it: &&WorkItem| (std::cmp::Reverse(it.priority), running(it), it.deadline, it.work);
        let next = self.waiting.values().min_by_key(order)?.work;
        let item = self.waiting.remove(&next)?;
        *self.running_by_account.entry(item.account.clone()).or_default() += 1;
        self.running.insert(next, item.clone());
        Some(item)
    }

    /// Removes and returns waiting work. Returns `None` if it is not waiting.
    pub fn remove_waiting(&mut self, work: WorkId) -> Option<WorkItem> {
        self.waiting.remove(&work)
    }

    /// Removes and returns running work. Returns `None` if it is not running.
    pub fn finish(&mut self, work: WorkId) -> Option<WorkItem> {
        let item = self.running.remove(&work)?;
        if let Some(count) = self.running_by_account.get_mut(&item.account) {
            *count -= 1;
            if *count == 0 {
                self.running_by_account.remove(&item.account);
            }
        }
        Some(item)
    }

    /// Removes and returns all waiting work whose deadline has passed.
    pub fn expire(&mut self, now: Moment) -> Vec<WorkItem> {
        let expired: Vec<WorkId> =
            self.waiting.values().filter(|it| it.deadline <= now).map(|it| it.work).collect();
        expired.into_iter().filter_map(|work| self.waiting.remove(&work)).collect()
    }

    /// Removes and returns all waiting work.
    pub fn drain_waiting(&mut self) -> Vec<WorkItem> {
        std::mem::take(&mut self.waiting).into_values().collect()
    }

    /// Returns the earliest deadline of waiting work, or `None` if no work waits.
    pub fn next_deadline(&self) -> Option<Moment> {
        self.waiting.values().map(|it| it.deadline).min()
    }
}

#[cfg(test)]
mod tests {
    use googletest::prelude::*;

    use super::*;
    use crate::{units::PriorityLevel, wire::RunMode};

    fn item(work: u64, account: &str, priority: u8, deadline: u64) -> WorkItem {
        WorkItem {
            work: WorkId(work),
            account: account.parse().unwrap(),
            service: "llm".parse().unwrap(),
            priority: PriorityLevel(priority),
            deadline: Moment(deadline),
            mode: RunMode::Idempotent,
        }
    }

    fn start_next(queue: &mut WorkQueue) -> Option<u64> {
        queue.start_next().map(|it| it.work.0)
    }

    #[gtest]
    fn urgent_work_starts_first() {
        let mut queue = WorkQueue::default();
        for it in [item(1, "a", 0, 5), item(2, "b", 2, 9), item(3, "c", 2, 7)] {
            assert_that!(queue.push(it, QueueSettings::default()), none());
        }
        assert_that!(start_next(&mut queue), some(eq(3)));
        assert_that!(start_next(&mut queue), some(eq(2)));
        assert_that!(start_next(&mut queue), some(eq(1)));
        assert_that!(start_next(&mut queue), none());
    }

    #[gtest]
    fn account_with_less_running_starts_first() {
        let mut queue = WorkQueue::default();
        for it in [item(1, "a", 0, 1), item(2, "a", 0, 2), item(3, "b", 0, 9)] {
            queue.push(it, QueueSettings::default());
        }
        assert_that!(start_next(&mut queue), some(eq(1)));
        assert_that!(start_next(&mut queue), some(eq(3)));
        queue.finish(WorkId(1));
        assert_that!(start_next(&mut queue), some(eq(2)));
    }

    #[gtest]
    fn full_queue_sheds_least_urgent() {
        let mut queue = WorkQueue::default();
        let settings = QueueSettings { max_waiting: 2 };
        queue.push(item(1, "a", 1, 5), settings);
        queue.push(item(2, "b", 0, 5), settings);
        let shed = queue.push(item(3, "c", 2, 5), settings).map(|it| it.work);
        assert_that!(shed, some(eq(WorkId(2))));
        let shed = queue.push(item(4, "d", 0, 1), settings).map(|it| it.work);
        assert_that!(shed, some(eq(WorkId(4))));
    }

    #[gtest]
    fn late_work_expires() {
        let mut queue = WorkQueue::default();
        queue.push(item(1, "a", 0, 5), QueueSettings::default());
        queue.push(item(2, "a", 0, 8), QueueSettings::default());
        assert_that!(queue.next_deadline(), some(eq(Moment(5))));
        let expired: Vec<u64> = queue.expire(Moment(5)).into_iter().map(|it| it.work.0).collect();
        assert_that!(expired, elements_are![eq(&1)]);
        assert_that!(queue.waiting(), eq(1));
    }
}
