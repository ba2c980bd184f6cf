//! The signals that ask a process to stop.

use tokio::signal::unix::{Signal, SignalKind, signal};

use super::DaemonError;

/// SIGTERM and SIGINT, which are kept from the time of the installation on. Until then they kill the
/// process.
#[derive(Debug)]
pub struct StopSignals {
    terminate: Signal,
    interrupt: Signal,
}

impl StopSignals {
    /// Installs the handlers. Must be called within a tokio runtime.
    ///
    /// # Errors
    ///
    /// The handlers cannot be installed.
    ///
    /// ```
    /// # tokio::runtime::Builder::new_current_thread().enable_all().build()?.block_on(async {
    /// assert!(alderbay::daemon::StopSignals::install().is_ok());
    /// # });
    /// # Ok::<(), std::io::Error>(())
    /// ```
    pub fn install() -> Result<Self, DaemonError> {
        let install = |kind| signal(kind).map_err(DaemonError::Signal);
        Ok(Self {
            terminate: install(SignalKind::terminate())?,
            interrupt: install(SignalKind::interrupt())?,
        })
    }

    /// Waits for one of them.
    pub async fn received(&mut self) {
        tokio::select! {
            _ = self.terminate.recv() => {}
            _ = self.interrupt.recv() => {}
        }
    }
}
