//! Mailboxes by key, through which effects reach the tasks that carry them out.

use std::{
    collections::HashMap,
    hash::Hash,
    sync::{Mutex, MutexGuard, PoisonError},
};

use tokio::sync::mpsc;

/// Locks a mutex. The holder of a poisoned one panicked between whole updates, and going on beats a
/// dead VM.
pub(super) fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}

/// Open mailboxes by key.
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
    /// Opens a mailbox. None where the key has one.
    pub fn open(&self, key: &K) -> Option<mpsc::UnboundedReceiver<M>> {
        let mut senders = lock(&self.senders);
        if senders.get(key).is_some_and(|it| !it.is_closed()) {
            return None;
        }
        let (sender, receiver) = mpsc::unbounded_channel();
        senders.insert(key.clone(), sender);
        Some(receiver)
    }

    /// Opens a mailbox in place of the one that the key may have.
    pub fn replace(&self, key: &K) -> mpsc::UnboundedReceiver<M> {
        let (sender, receiver) = mpsc::unbounded_channel();
        lock(&self.senders).insert(key.clone(), sender);
        receiver
    }

    /// Closes the mailbox.
    pub fn close(&self, key: &K) {
        lock(&self.senders).remove(key);
    }

    /// Sends a message. Without a mailbox nobody waits for it any more.
    pub fn send(&self, key: &K, message: M) {
        if let Some(sender) = lock(&self.senders).get(key) {
            let _ = sender.send(message);
        }
    }

    /// Open mailboxes.
    pub fn len(&self) -> usize {
        lock(&self.senders).len()
    }

    /// Whether none is open.
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }
}
