//! Attempts in progress that the reducer may end early.

use std::{
    collections::BTreeMap,
    sync::{Mutex, PoisonError},
};

use tokio::sync::oneshot;

use crate::routing::RequestNumber;

type AttemptKey = (RequestNumber, u32);

/// Senders that end attempts in progress, by request and number of the attempt.
#[derive(Default)]
pub(super) struct AttemptTable {
    senders: Mutex<BTreeMap<AttemptKey, oneshot::Sender<()>>>,
}

impl AttemptTable {
    /// Registers an attempt until the returned guard is dropped.
    pub(super) fn register(&self, key: AttemptKey) -> OpenAttempt<'_> {
        let (sender, ended) = oneshot::channel();
        self.with(|it| it.insert(key, sender));
        OpenAttempt { table: self, key, ended }
    }

    /// Ends an attempt if it is still in progress.
    pub(super) fn end(&self, key: AttemptKey) {
        if let Some(sender) = self.with(|it| it.remove(&key)) {
            let is_gone = sender.send(()).is_err();
            log::debug!(request = key.0.0, attempt = key.1, is_gone = is_gone; "attempt ends early");
        }
    }

    fn with<T>(
        &self,
        update: impl FnOnce(&mut BTreeMap<AttemptKey, oneshot::Sender<()>>) -> T,
    ) -> T {
        update(&mut self.senders.lock().unwrap_or_else(PoisonError::into_inner))
    }
}

/// An attempt in progress.
pub(super) struct OpenAttempt<'a> {
    table: &'a AttemptTable,
    key: AttemptKey,
    ended: oneshot::Receiver<()>,
}

impl OpenAttempt<'_> {
    /// Resolves when the reducer ends the attempt, and never otherwise.
    pub(super) async fn ended(&mut self) {
        if (&mut self.ended).await.is_err() {
            std::future::pending().await
        }
    }
}

impl Drop for OpenAttempt<'_> {
    fn drop(&mut self) {
        self.table.with(|it| it.remove(&self.key));
    }
}
