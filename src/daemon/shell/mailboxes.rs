//! Mailboxes by key, through which the reducer's effects reach the tasks that execute them.

use std::{
    collections::HashMap,
    hash::Hash,
    sync::{Mutex, MutexGuard, PoisonError},
};

use tokio::sync::mpsc;

/// Locks a mutex and ignores poisoning. A panicking holder leaves the data consistent, because each
/// update is complete in itself, and continuing is better than losing the process.
pub(super) fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}

/// Open mailboxes by key: the sending ends of unbounded channels.
#[derive(Debug)]
pub struct MailboxMap<K, M> {
    senders: Mutex<HashMap<K, mpsc::UnboundedSender<M>>>,
}

impl<K, M> Default for MailboxMap<K, M> {
    fn default() -> Self {
        Self { senders: Mutex::default() }
    }
}

impl<K: Clone + Eq + Hash, M> MailboxMap<K, M> {
    /// Opens a mailbox. Returns `None` if the key already has an open one.
    pub fn open(&self, key: &K) -> Option<mpsc::UnboundedReceiver<M>> {
        let mut senders = lock(&self.senders);
        if senders.get(key).is_some_and(|it| !it.is_closed()) {
            return None;
        }
        let (sender, receiver) = mpsc::unbounded_channel();
        senders.insert(key.clone(), sender);
        Some(receiver)
    }

    /// Opens a mailbox and closes the key's previous one, if there is one.
    pub fn replace(&self, key: &K) -> mpsc::UnboundedReceiver<M> {
        let (sender, receiver) = mpsc::unbounded_channel();
        lock(&self.senders).insert(key.clone(), sender);
        receiver
    }

    /// Closes the mailbox of a key.
    pub fn close(&self, key: &K) {
        lock(&self.senders).remove(key);
    }

    /// Sends a message. Drops it if the key has no open mailbox.
    pub fn send(&self, key: &K, message: M) {
        if let Some(sender) = lock(&self.senders).get(key) {
            let _ = sender.send(message);
        }
    }

    /// Returns the number of mailboxes that have not been closed.
    pub fn len(&self) -> usize {
        lock(&self.senders).len()
    }

    /// Returns whether there are no mailboxes.
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }
}
