//! What a report, a timer or an operator has changed.

use marbledeck_dispatcher::{WorkerEntry, WorkerId};

/// What has changed for the decision module and the connections to the workers.
#[derive(Debug, Default)]
pub struct MembershipChange {
    /// The entries that are new or have changed.
    pub entries: Vec<WorkerEntry>,
    /// Workers whose connections are of no more use: removed, moved or restarted.
    pub stale_workers: Vec<WorkerId>,
}

impl MembershipChange {
    /// Adds what came after.
    pub fn append(&mut self, later: MembershipChange) {
        self.entries.extend(later.entries);
        self.stale_workers.extend(later.stale_workers);
    }
}
