//! Discovers the processes of the fleet by polling the platform's VM list.

use std::{sync::Arc, time::Duration};

use super::ProcessShell;
use crate::core::Event;

/// Pause between two reads.
const POLL_INTERVAL: Duration = Duration::from_secs(1);

/// Polls the list forever and dispatches each change. While reads fail, the last list stays valid.
pub(super) async fn follow(shell: Arc<ProcessShell>) {
    let mut tag = None;
    let mut last = Vec::new();
    loop {
        match shell.vms.read_if_changed(&mut tag).await {
            Ok(None) => {}
            Ok(Some(list)) if list == last => {}
            Ok(Some(list)) => {
                last.clone_from(&list);
                shell.dispatch(Event::VmListRead(list));
            }
            Err(error) => {
                shell.metrics.count("vm_list.read_failed");
                log::warn!(error:% = error; "reading the VM list failed");
            }
        }
        tokio::time::sleep(POLL_INTERVAL).await;
    }
}
