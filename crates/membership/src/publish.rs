//! Publishes the merged reports to the decision module as worker entries.

use crate::address_claims::{AddressClaim, AddressClaims};
use crate::membership::PublishedWorker;
use crate::precedence::MergedReport;
use crate::{Endpoint, Membership, MembershipChange};
use marbledeck_dispatcher::{KindId, Micros, WorkerEntry, WorkerId, WorkerState, ZoneId};
use marbledeck_platform_settings::worker_id;
use std::collections::hash_map::Entry;
use std::net::SocketAddr;

impl Membership {
    /// Recomputes a worker's entry and publishes it if it has changed.
    pub(crate) fn recompute(&mut self, id: &str, change: &mut MembershipChange) {
        self.recompute_worker(worker_id(id), id, change);
    }

    /// As [`Membership::recompute`], for a worker whose [`WorkerId`] is known.
    pub(crate) fn recompute_worker(
        &mut self,
        worker: WorkerId,
        id: &str,
        change: &mut MembershipChange,
    ) {
        let Some(merged) = self.merge_reports(worker, id) else {
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

    /// Publishes that a worker is removed, since no source reports it any more.
    fn unpublish(&mut self, worker: WorkerId, change: &mut MembershipChange) {
        let Some(old) = self.published.remove(&worker) else {
            return;
        };
        self.last_alive_at.remove(&worker);
        change.stale_workers.push(worker);
        change.entries.push(WorkerEntry {
            state: WorkerState::Removed,
            ..old.entry
        });
    }

    /// Records that a source reports a worker at an address.
    pub(crate) fn claim_address(
        &mut self,
        address: SocketAddr,
        claim: AddressClaim,
    ) -> OwnerChange {
        match self.claims_by_address.entry(address) {
            Entry::Vacant(entry) => {
                // No other worker owned the address before or owns it now.
                entry.insert(AddressClaims::One(claim));
                OwnerChange::default()
            }
            Entry::Occupied(mut entry) => {
                let before = entry.get().owner().map(str::to_owned);
                entry.get_mut().insert(claim);
                let after = entry.get().owner().map(str::to_owned);
                OwnerChange { before, after }
            }
        }
    }

    /// Records that a source no longer reports a worker at an address.
    pub(crate) fn release_address(
        &mut self,
        address: SocketAddr,
        claim: &AddressClaim,
    ) -> OwnerChange {
        let Some(claims) = self.claims_by_address.get_mut(&address) else {
            return OwnerChange::default();
        };
        let is_empty = claims.remove(claim);
        let after = claims.owner().filter(|_| !is_empty).map(str::to_owned);
        if is_empty {
            self.claims_by_address.remove(&address);
        }
        // The previous owner was this worker, or the one that still owns the address.
        OwnerChange {
            before: None,
            after,
        }
    }

    /// Recomputes the other workers that own an address now, or owned it before a report on the worker `id` changed.
    /// All further workers at the address owned it neither before nor after, so their entries do not change.
    pub(crate) fn recompute_owners(
        &mut self,
        id: &str,
        owners: OwnerChange,
        change: &mut MembershipChange,
    ) {
        for owner in [owners.before, owners.after].into_iter().flatten() {
            if owner != id {
                self.recompute(&owner, change);
            }
        }
    }
}

/// The owners of an address before and after a claim of it has changed.
#[derive(Debug, Default)]
pub(crate) struct OwnerChange {
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
