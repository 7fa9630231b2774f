//! From the merged reports to what is published to the decision module.

use crate::membership::PublishedWorker;
use crate::precedence::MergedReport;
use crate::source::Source;
use crate::{Endpoint, Membership, MembershipChange, SourceId};
use marbledeck_dispatcher::{KindId, WorkerEntry, WorkerId, WorkerState, ZoneId};
use marbledeck_platform_settings::worker_id;
use std::collections::BTreeSet;
use std::net::SocketAddr;

impl Membership {
    /// Computes a worker's entry anew, and tells it where it has changed.
    pub(crate) fn recompute(&mut self, id: &str, change: &mut MembershipChange) {
        let worker = worker_id(id);
        let Some(merged) = self.merged(id) else {
            return self.unpublish(id, worker, change);
        };
        let entry = self.merged_entry(worker, &merged);
        let endpoint = merged.address.map(|address| Endpoint {
            name: id.to_owned(),
            address,
            started_at: merged.started_at,
        });
        let old = self.published.get(id);
        let has_moved = |old: &PublishedWorker| old.endpoint.is_some() && old.endpoint != endpoint;
        if old.is_some_and(has_moved) {
            change.stale_workers.push(worker);
        }
        if old.is_none_or(|old| old.entry != entry) {
            change.entries.push(entry.clone());
        }
        if old.is_none() {
            self.id_by_worker.insert(worker, id.to_owned());
        }
        let published = PublishedWorker { entry, endpoint };
        self.published.insert(id.to_owned(), published);
    }

    fn merged_entry(&self, worker: WorkerId, merged: &MergedReport) -> WorkerEntry {
        let state = match merged.out_reason {
            None => WorkerState::Ready,
            Some(_) => WorkerState::Draining,
        };
        WorkerEntry {
            worker,
            state,
            zone: ZoneId(position(&self.zones, &merged.zone)),
            kind: KindId(position(&self.kinds, &merged.kind)),
            cell: merged.cell,
            started_at: merged.started_at,
        }
    }

    /// No source names the worker any more.
    fn unpublish(&mut self, id: &str, worker: WorkerId, change: &mut MembershipChange) {
        let Some(old) = self.published.remove(id) else {
            return;
        };
        self.id_by_worker.remove(&worker);
        self.alive_at.remove(&worker);
        change.stale_workers.push(worker);
        change.entries.push(WorkerEntry {
            state: WorkerState::Removed,
            ..old.entry
        });
    }

    /// An id no longer has an address, unless another source says that it has.
    pub(crate) fn release_address(&mut self, address: SocketAddr, id: &str, source: SourceId) {
        let reports_address = |other: &Source| {
            let record = other.records.get(id);
            record.is_some_and(|record| record.report.address == Some(address))
        };
        let is_other = |(other, _): &(SourceId, &Source)| *other != source;
        let mut others = self.sources_by_id().filter(is_other);
        let is_still_reported = others.any(|(_, other)| reports_address(other));
        drop(others);
        if is_still_reported {
            return;
        }
        if let Some(ids) = self.ids_by_address.get_mut(&address) {
            ids.remove(id);
            if ids.is_empty() {
                self.ids_by_address.remove(&address);
            }
        }
    }

    /// Computes the others anew who share the addresses that this one has, or had.
    pub(crate) fn recompute_address_sharers(
        &mut self,
        id: &str,
        had: Option<SocketAddr>,
        change: &mut MembershipChange,
    ) {
        let reported = self
            .records(id)
            .filter_map(|(_, record)| record.report.address);
        let addresses: BTreeSet<SocketAddr> = reported.chain(had).collect();
        for address in addresses {
            let sharers = self.ids_by_address.get(&address).cloned();
            for sharer in sharers.unwrap_or_default() {
                if sharer != id {
                    self.recompute(&sharer, change);
                }
            }
        }
    }
}

fn position(names: &[String], name: &str) -> u32 {
    let found = names.iter().position(|known| known == name);
    found.map_or(u32::MAX, |position| position as u32)
}
