//! The fleet of workers: the membership, and how its changes reach the core and the worker connections.

use crate::core::Core;
use marbledeck_dispatcher::{Micros, WorkerEntry, WorkerId, WorkerListKind, WorkerState};
use marbledeck_membership::{Endpoint, HealthEvidence, Membership, MembershipChange};
use std::net::SocketAddr;

/// The worker of an attempt, as it was when the attempt was decided.
#[derive(Clone, Debug)]
pub struct AttemptTarget {
    /// The worker's entry in the list that the dispatcher decided by.
    pub entry: WorkerEntry,
    /// The worker's address.
    pub address: SocketAddr,
}

/// Numbers of workers for the node's gauges.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct FleetCounts {
    /// Workers that any membership source reports.
    pub listed: usize,
    /// Listed workers that are sent no attempts: out of service by hand, or ejected.
    pub unavailable: usize,
}

/// The workers that this node knows.
pub struct Fleet {
    /// The membership, merged from all sources.
    pub members: Membership,
    /// Workers that have left, moved or restarted, so that their connections must be closed.
    pub stale_workers: Vec<WorkerId>,
}

impl Fleet {
    /// Creates the fleet of this membership.
    pub fn new(members: Membership) -> Self {
        Fleet {
            members,
            stale_workers: Vec::new(),
        }
    }

    /// Passes a membership change on to the core.
    pub fn apply_change(&mut self, now: Micros, change: MembershipChange, core: &mut Core) {
        self.stale_workers.extend(change.stale_workers);
        if !change.entries.is_empty() {
            core.apply_worker_list(now, WorkerListKind::Delta, change.entries);
        }
    }

    /// Whether the worker is ready and unchanged since the attempt was decided.
    pub fn is_current(&self, target: &AttemptTarget) -> bool {
        let worker = target.entry.worker;
        let is_unchanged = self.members.published_entry(worker) == Some(&target.entry);
        let endpoint = self.endpoint(worker);
        is_unchanged
            && target.entry.state == WorkerState::Ready
            && endpoint.is_some_and(|endpoint| endpoint.address == target.address)
    }

    /// The current entry and endpoint of a worker, for an attempt; `None` if it is not published or has no endpoint.
    pub fn target(&self, worker: WorkerId) -> Option<(AttemptTarget, &Endpoint)> {
        let entry = self.members.published_entry(worker)?.clone();
        let endpoint = self.endpoint(worker)?;
        let address = endpoint.address;
        Some((AttemptTarget { entry, address }, endpoint))
    }

    /// The endpoint of a worker.
    pub fn endpoint(&self, worker: WorkerId) -> Option<&Endpoint> {
        self.members.endpoint(worker)
    }

    /// Records health evidence from the worker connections and runs the membership timers that are due. Returns the
    /// workers to probe.
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

    /// Takes a worker out of service for an operator, or puts it back. This overrides the reports of all sources.
    pub fn set_out_of_service(&mut self, now: Micros, id: &str, is_out: bool, core: &mut Core) {
        let change = self.members.set_out_of_service(id, is_out);
        self.apply_change(now, change, core);
    }

    /// Counts the listed workers, and those of them that are out of service by hand or ejected.
    pub fn count(&self, is_ejected: impl Fn(WorkerId) -> bool) -> FleetCounts {
        let unavailable = self
            .members
            .workers()
            .filter(|(worker, _, is_out)| *is_out || is_ejected(*worker));
        FleetCounts {
            listed: self.members.len(),
            unavailable: unavailable.count(),
        }
    }
}
