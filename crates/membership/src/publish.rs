//! From the merged reports to what is published to the decision module.

use crate::address_claims::{AddressClaim, AddressClaims};
use crate::membership::PublishedWorker;
use crate::precedence::MergedReport;
use crate::{Endpoint, Membership, MembershipChange};
use marbledeck_dispatcher::{KindId, Micros, WorkerEntry, WorkerId, WorkerState, ZoneId};
use marbledeck_platform_settings::worker_id;
use std::collections::hash_map::Entry;
use std::net::SocketAddr;

impl Membership {
    /// Computes a worker's entry anew, and tells it where it has changed.
    pub(crate) fn recompute(&mut self, id: &str, change: &mut MembershipChange) {
        self.recompute_worker(worker_id(id), id, change);
    }

    /// As [`Membership::recompute`], for a worker whose number is known.
    pub(crate) fn recompute_worker(
        &mut self,
        worker: WorkerId,
        id: &str,
        change: &mut MembershipChange,
    ) {
        let Some(merged) = self.merged(worker, id) else {
            return self.unpublish(worker, change);
        };
        let entry = self.merged_entry(worker, &merged);
        let (address, started_at) = (merged.address, merged.started_at);
        let Some(published) = self.published.get_mut(&worker) else {
            change.entries.push(entry.clone());
            let endpoint = new_endpoint(id, address, started_at);
            let id = id.to_owned();
            let published = PublishedWorker {
                id,
                entry,
                endpoint,
            };
            self.published.insert(worker, published);
            return;
        };
        if !published.listens_at(address, started_at) {
            if published.endpoint.is_some() {
                change.stale_workers.push(worker);
            }
            published.endpoint = new_endpoint(id, address, started_at);
        }
        if published.entry != entry {
            change.entries.push(entry.clone());
            published.entry = entry;
        }
    }

    fn merged_entry(&self, worker: WorkerId, merged: &MergedReport) -> WorkerEntry {
        let state = match merged.out_reason {
            None => WorkerState::Ready,
            Some(_) => WorkerState::Draining,
        };
        WorkerEntry {
            worker,
            state,
            zone: ZoneId(position(&self.zones, merged.zone)),
            kind: KindId(position(&self.kinds, merged.kind)),
            cell: merged.cell,
            started_at: merged.started_at,
        }
    }

    /// No source names the worker any more.
    fn unpublish(&mut self, worker: WorkerId, change: &mut MembershipChange) {
        let Some(old) = self.published.remove(&worker) else {
            return;
        };
        self.alive_at.remove(&worker);
        change.stale_workers.push(worker);
        change.entries.push(WorkerEntry {
            state: WorkerState::Removed,
            ..old.entry
        });
    }

    /// Enters that a source reports a worker at an address.
    pub(crate) fn claim_address(&mut self, address: SocketAddr, claim: AddressClaim) -> Owners {
        match self.claims_by_address.entry(address) {
            Entry::Vacant(entry) => {
                // Nobody claimed it before, and only the worker itself does now.
                entry.insert(AddressClaims::One(claim));
                Owners::default()
            }
            Entry::Occupied(mut entry) => {
                let before = entry.get().owner().map(str::to_owned);
                entry.get_mut().insert(claim);
                let after = entry.get().owner().map(str::to_owned);
                Owners { before, after }
            }
        }
    }

    /// A source no longer reports a worker at an address.
    pub(crate) fn release_address(&mut self, address: SocketAddr, claim: &AddressClaim) -> Owners {
        let Some(claims) = self.claims_by_address.get_mut(&address) else {
            return Owners::default();
        };
        let is_empty = claims.remove(claim);
        let after = claims.owner().filter(|_| !is_empty).map(str::to_owned);
        if is_empty {
            self.claims_by_address.remove(&address);
        }
        // The worker itself owned it before, or the one that still does.
        Owners {
            before: None,
            after,
        }
    }

    /// Computes those anew that own an address now, or did, beside a worker whose report of it has changed. The others
    /// there own it neither before nor after.
    pub(crate) fn recompute_owners(
        &mut self,
        id: &str,
        owners: Owners,
        change: &mut MembershipChange,
    ) {
        for owner in [owners.before, owners.after].into_iter().flatten() {
            if owner != id {
                self.recompute(&owner, change);
            }
        }
    }
}

/// The other workers that owned an address before a claim has changed, and that do after.
#[derive(Debug, Default)]
pub(crate) struct Owners {
    before: Option<String>,
    after: Option<String>,
}

impl PublishedWorker {
    fn listens_at(&self, address: Option<SocketAddr>, started_at: Option<Micros>) -> bool {
        match (&self.endpoint, address) {
            (Some(endpoint), Some(address)) => {
                endpoint.address == address && endpoint.started_at == started_at
            }
            (None, None) => true,
            _ => false,
        }
    }
}

fn new_endpoint(
    id: &str,
    address: Option<SocketAddr>,
    started_at: Option<Micros>,
) -> Option<Endpoint> {
    address.map(|address| Endpoint {
        name: id.to_owned(),
        address,
        started_at,
    })
}

fn position(names: &[String], name: &str) -> u32 {
    let found = names.iter().position(|known| known == name);
    found.map_or(u32::MAX, |position| position as u32)
}
