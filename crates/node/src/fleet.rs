//! The fleet of workers: the membership, the connections that its changes make useless, and how changes reach the core.

use crate::core::Core;
use marbledeck_dispatcher::{Micros, WorkerEntry, WorkerId, WorkerListKind, WorkerState};
use marbledeck_membership::{Endpoint, HealthEvidence, Membership, MembershipChange};
use std::net::SocketAddr;

/// The endpoint that an attempt was decided for, as it was then.
#[derive(Clone, Debug)]
pub struct AttemptTarget {
    /// What the dispatcher knew of the worker.
    pub entry: WorkerEntry,
    /// The worker's address.
    pub address: SocketAddr,
}

/// How many workers there are.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct FleetCounts {
    /// Workers that a source names.
    pub listed: usize,
    /// Those of them that get nothing now.
    pub avoided: usize,
}

/// The workers, as this node knows them.
pub struct Fleet {
    /// Which workers there are, by all sources.
    pub members: Membership,
    /// Workers whose connections are of no more use: they are gone, were moved or have restarted.
    pub stale_workers: Vec<WorkerId>,
}

impl Fleet {
    /// The fleet of this membership, with no connection yet.
    pub fn new(members: Membership) -> Self {
        Fleet {
            members,
            stale_workers: Vec::new(),
        }
    }

    /// Tells the core what has changed.
    pub fn apply_change(&mut self, now: Micros, change: MembershipChange, core: &mut Core) {
        self.stale_workers.extend(change.stale_workers);
        if !change.entries.is_empty() {
            core.apply_worker_list(now, WorkerListKind::Delta, change.entries);
        }
    }

    /// Whether a worker is as it was when an attempt there was decided, and takes new ones.
    pub fn is_current(&self, target: &AttemptTarget) -> bool {
        let worker = target.entry.worker;
        let is_unchanged = self.members.published_entry(worker) == Some(&target.entry);
        let endpoint = self.endpoint(worker);
        is_unchanged
            && target.entry.state == WorkerState::Ready
            && endpoint.is_some_and(|endpoint| endpoint.address == target.address)
    }

    /// A worker as it is now, for an attempt there.
    pub fn target(&self, worker: WorkerId) -> Option<(AttemptTarget, &Endpoint)> {
        let entry = self.members.published_entry(worker)?.clone();
        let endpoint = self.endpoint(worker)?;
        let address = endpoint.address;
        Some((AttemptTarget { entry, address }, endpoint))
    }

    /// Where a worker is.
    pub fn endpoint(&self, worker: WorkerId) -> Option<&Endpoint> {
        self.members.endpoint(worker)
    }

    /// Takes in what the connections have shown of workers, and handles suspicions whose time has come. Returns the
    /// workers that are to be probed.
    pub fn wake(
        &mut self,
        now: Micros,
        evidence: Vec<(WorkerId, HealthEvidence)>,
        core: &mut Core,
    ) -> Vec<WorkerId> {
        let mut change = MembershipChange::default();
        for (worker, evidence) in evidence {
            change.append(self.members.record_evidence(now, worker, evidence));
        }
        if self.members.next_wake().is_some_and(|due| due <= now) {
            change.append(self.members.wake(now));
        }
        let probes = self.members.take_due_probes();
        self.apply_change(now, change, core);
        probes
    }

    /// Takes a worker out of service by hand, or puts it back, whatever any source has reported or will report of it.
    pub fn set_out_of_service(&mut self, now: Micros, id: &str, is_out: bool, core: &mut Core) {
        let change = self.members.set_out_of_service(id, is_out);
        self.apply_change(now, change, core);
    }

    /// Counts the workers. Those get nothing that are out by hand, or that are ejected, as `is_ejected` tells.
    pub fn count(&self, is_ejected: impl Fn(WorkerId) -> bool) -> FleetCounts {
        let avoided = self
            .members
            .workers()
            .filter(|(worker, _, is_out)| *is_out || is_ejected(*worker));
        FleetCounts {
            listed: self.members.len(),
            avoided: avoided.count(),
        }
    }
}
