//! The fleet as the node has it: the membership, what the links to the workers are to forget, and the way of changes to
//! the core.

use crate::core::Core;
use crate::net::Net;
use crate::workers::Workers;
use marbledeck_dispatcher::{Micros, WorkerEntry, WorkerId, WorkerListKind, WorkerState};
use marbledeck_membership::{Endpoint, Membership, MembershipChange};
use std::net::SocketAddr;

/// What a call was decided by: the worker's entry, and its address.
#[derive(Clone, Debug)]
pub struct Aim {
    pub entry: WorkerEntry,
    pub addr: SocketAddr,
}

pub struct Fleet {
    pub members: Membership,
    /// Workers whose connections are of no more use: gone, moved or started anew.
    pub stale: Vec<WorkerId>,
}

impl Fleet {
    pub fn new(members: Membership) -> Self {
        Fleet {
            members,
            stale: Vec::new(),
        }
    }

    /// Tells the core what has changed.
    pub fn pass_on(
        &mut self,
        now: Micros,
        kind: WorkerListKind,
        told: MembershipChange,
        core: &mut Core,
    ) {
        self.stale.extend(told.stale_workers);
        core.apply_worker_list(now, kind, told.entries);
    }

    /// The same, for changes that no list of the platform's brought.
    pub fn changed(&mut self, now: Micros, told: MembershipChange, core: &mut Core) {
        self.stale.extend(told.stale_workers.iter().copied());
        if !told.entries.is_empty() {
            core.apply_worker_list(now, WorkerListKind::Delta, told.entries);
        }
    }

    /// Whether a worker is as it was when a call there was decided, and takes new ones.
    pub fn stands(&self, call: &Aim) -> bool {
        let entry = self.members.published_entry(call.entry.worker);
        entry == Some(&call.entry) && call.entry.state == WorkerState::Ready && {
            let place = self.place(call.entry.worker);
            place.is_some_and(|place| place.address == call.addr)
        }
    }

    /// A worker as it is now, for a call that goes there.
    pub fn aim(&self, worker: WorkerId) -> Option<(Aim, &Endpoint)> {
        let (entry, place) = (
            self.members.published_entry(worker)?.clone(),
            self.place(worker)?,
        );
        let addr = place.address;
        Some((Aim { entry, addr }, place))
    }

    pub fn place(&self, worker: WorkerId) -> Option<&Endpoint> {
        self.members.endpoint(worker)
    }

    /// Takes in what the links have seen of workers, looks at the doubtful ones, and has them asked.
    pub fn wake(&mut self, now: Micros, workers: &mut Workers, net: &mut Net, core: &mut Core) {
        let mut told = MembershipChange::default();
        for (worker, sign) in std::mem::take(&mut workers.evidence) {
            told.append(self.members.record_evidence(now, worker, sign));
        }
        if self.members.next_wake().is_some_and(|at| at <= now) {
            told.append(self.members.wake(now));
        }
        for worker in self.members.take_due_probes() {
            workers.check_health(now, worker, self.members.endpoint(worker), net);
        }
        self.changed(now, told, core);
    }

    /// Takes a worker out by hand, or calls it back, whatever any source has told or will tell of it meanwhile.
    pub fn set_out(&mut self, now: Micros, id: &str, out: bool, core: &mut Core) {
        let told = self.members.set_out_of_service(id, out);
        self.changed(now, told, core);
    }

    /// How many workers are named, and how many of them are out by hand or as `resting` tells.
    pub fn count(&self, resting: impl Fn(WorkerId) -> bool) -> (usize, usize) {
        let avoided = self
            .members
            .workers()
            .filter(|(worker, _, out)| *out || resting(*worker));
        (self.members.len(), avoided.count())
    }
}
