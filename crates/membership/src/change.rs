//! The changes that result from a report, a timer or an operator's call.

use marbledeck_dispatcher::{WorkerEntry, WorkerId};

/// The changes for the decision module and for the connections to the workers.
#[derive(Debug, Default)]
pub struct MembershipChange {
    /// The new and changed entries.
    pub entries: Vec<WorkerEntry>,
    /// The workers whose open connections are stale, since the worker was removed, moved or restarted.
    pub stale_workers: Vec<WorkerId>,
}

impl MembershipChange {
    /// Appends later changes.
    pub fn append(&mut self, later: MembershipChange) {
        self.entries.extend(later.entries);
        self.stale_workers.extend(later.stale_workers);
    }
}
