//! Reads the VM list at intervals.

use std::{sync::Arc, time::Duration};

use super::ProcessShell;
use crate::core::Event;

/// Interval between two reads.
const READ_INTERVAL: Duration = Duration::from_secs(1);

/// Reads the list for ever; while it cannot be read, the last one holds.
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
                log::warn!(error:% = error; "the VM list cannot be read");
            }
        }
        tokio::time::sleep(READ_INTERVAL).await;
    }
}
