//! How the reports of sources are taken in: single ones, whole lists, and lists in parts.

use crate::source::SourceRecord;
use crate::{Membership, MembershipChange, SourceId, SourceReport, Status};
use marbledeck_dispatcher::{Micros, WorkerEntry, WorkerId};
use marbledeck_platform_settings::worker_id;
use std::collections::BTreeSet;
use std::ops::Bound::{Excluded, Unbounded};

impl Membership {
    /// Takes a source's report on one worker: it is named, with this status.
    pub fn apply_report(
        &mut self,
        now: Micros,
        source: SourceId,
        report: SourceReport,
    ) -> MembershipChange {
        let mut change = MembershipChange::default();
        self.record_contact(now, source);
        self.record_report(now, source, report, &mut change);
        change
    }

    /// A source no longer names a worker. Where `explicit`, it says that the worker has left; else it may only have lost
    /// it.
    pub fn remove_worker(
        &mut self,
        now: Micros,
        source: SourceId,
        id: &str,
        explicit: bool,
    ) -> MembershipChange {
        let mut change = MembershipChange::default();
        self.record_contact(now, source);
        self.record_missing(now, source, id, explicit, &mut change);
        change
    }

    /// Takes a source's whole list. Tells only what has changed; see [`Membership::entries`].
    pub fn apply_full_list(
        &mut self,
        now: Micros,
        source: SourceId,
        reports: Vec<SourceReport>,
    ) -> MembershipChange {
        let mut change = MembershipChange::default();
        self.record_contact(now, source);
        self.begin_full_list(source);
        change.append(self.apply_list_part(now, source, reports));
        change.append(self.sweep_missing(now, source, None, usize::MAX).0);
        change
    }

    /// Begins to take a source's whole list in parts, of which [`Membership::apply_list_part`] takes each, and
    /// [`Membership::sweep_missing`] ends it. Nobody is missing before that.
    pub fn begin_full_list(&mut self, source: SourceId) {
        self.sources[source.0].list_number += 1;
    }

    /// Takes some reports of a list that was begun.
    pub fn apply_list_part(
        &mut self,
        now: Micros,
        source: SourceId,
        reports: Vec<SourceReport>,
    ) -> MembershipChange {
        let mut change = MembershipChange::default();
        self.record_contact(now, source);
        for report in reports {
            let list_number = self.sources[source.0].list_number;
            let record = self.sources[source.0].records.get(&report.id);
            let is_repeated = |record: &SourceRecord| {
                record.list_number == list_number && record.report.status != Status::Up
            };
            // Named twice: the report not to send there counts.
            if record.is_some_and(is_repeated) {
                continue;
            }
            self.record_report(now, source, report, &mut change);
        }
        change
    }

    /// Looks for those that the list did not name, among the next `max` after this id. Tells where to go on; none where
    /// all were looked at.
    pub fn sweep_missing(
        &mut self,
        now: Micros,
        source: SourceId,
        after: Option<&str>,
        max: usize,
    ) -> (MembershipChange, Option<String>) {
        let mut change = MembershipChange::default();
        let list_number = self.sources[source.0].list_number;
        let from = after.map_or(Unbounded, Excluded);
        let records = self.sources[source.0]
            .records
            .range::<str, _>((from, Unbounded));
        let is_missing = |record: &SourceRecord| record.list_number != list_number;
        let looked_at: Vec<(String, bool)> = records
            .take(max)
            .map(|(id, record)| (id.clone(), is_missing(record)))
            .collect();
        let last = looked_at.last().filter(|_| looked_at.len() == max);
        let next = last.map(|(id, _)| id.clone());
        for (id, _) in looked_at.iter().filter(|(_, missing)| *missing) {
            self.record_missing(now, source, id, false, &mut change);
        }
        (change, next)
    }

    /// Takes a list in discovery's form: reports in their order, each with whether the worker is removed; the complete
    /// list, or those that have changed. Tells every entry that the decision module is to hear, whether it has changed
    /// or not.
    pub fn apply_discovery_list(
        &mut self,
        now: Micros,
        source: SourceId,
        complete: bool,
        reports: Vec<(SourceReport, bool)>,
    ) -> MembershipChange {
        let mut change = MembershipChange::default();
        let mut entries = Vec::with_capacity(reports.len());
        self.record_contact(now, source);
        if complete {
            self.begin_full_list(source);
        }
        for (report, removed) in reports {
            let id = report.id.clone();
            if removed {
                self.record_missing(now, source, &id, true, &mut change);
            } else {
                self.record_report(now, source, report, &mut change);
            }
            // The last of what has changed is this one, where it is removed.
            let mut latest = change.entries.iter().rev();
            let last = latest.find(|entry| entry.worker == worker_id(&id));
            entries.extend(self.entry(&id).or(last.cloned()));
        }
        let others = if complete {
            change.append(self.sweep_missing(now, source, None, usize::MAX).0);
            self.entries()
        } else {
            // Others may have changed with these: who shares an address.
            change.entries
        };
        extend_with_unnamed(&mut entries, others);
        change.entries = entries;
        change
    }

    /// Whether a source's reports are new enough to send by. Where they are not, all workers that it names count as
    /// draining: which of them do cannot be known.
    pub fn set_trusted(&mut self, source: SourceId, trusted: bool) -> MembershipChange {
        let mut change = MembershipChange::default();
        self.sources[source.0].is_trusted = trusted;
        let named: Vec<String> = self.sources[source.0].records.keys().cloned().collect();
        for id in named {
            self.recompute(&id, &mut change);
        }
        change
    }

    /// Takes a worker out of service, or back, whatever any source has reported or will report of it meanwhile.
    pub fn set_out_of_service(&mut self, id: &str, out: bool) -> MembershipChange {
        let changed = if out {
            self.out_of_service.insert(id.to_owned())
        } else {
            self.out_of_service.remove(id)
        };
        let mut change = MembershipChange::default();
        if changed {
            self.recompute(id, &mut change);
        }
        change
    }

    fn record_report(
        &mut self,
        now: Micros,
        source: SourceId,
        report: SourceReport,
        change: &mut MembershipChange,
    ) {
        let id = report.id.clone();
        let list_number = self.sources[source.0].list_number;
        let records = &mut self.sources[source.0].records;
        let known = records.get(&id).map(|record| &record.report);
        if let Some(newer) = known.filter(|known| known.version > report.version) {
            // An earlier answer: what is known is newer. The worker is named all the same.
            let record = SourceRecord::new(newer.clone(), now, list_number);
            records.insert(id.clone(), record);
            return self.recompute(&id, change);
        }
        let known_address = known.map(|known| known.address);
        let moved_from = known_address.filter(|address| *address != report.address);
        let moved_from = moved_from.flatten();
        if let Some(address) = moved_from {
            self.release_address(address, &id, source);
        }
        if let Some(address) = report.address {
            let ids = self.ids_by_address.entry(address).or_default();
            ids.insert(id.clone());
        }
        let record = SourceRecord::new(report, now, list_number);
        self.sources[source.0].records.insert(id.clone(), record);
        self.recompute(&id, change);
        self.recompute_address_sharers(&id, moved_from, change);
    }

    /// A source no longer names a worker.
    fn record_missing(
        &mut self,
        now: Micros,
        source: SourceId,
        id: &str,
        explicit: bool,
        change: &mut MembershipChange,
    ) {
        let has_policy = self.sources[source.0].self_preservation.is_some();
        let Some(record) = self.sources[source.0].records.get(id) else {
            return;
        };
        // One that is not to be sent to anyway needs no protection.
        if explicit || !has_policy || record.report.status != Status::Up {
            return self.drop_report(source, id, change);
        }
        self.suspect_missing(now, source, id);
    }

    /// Forgets a source's report on a worker.
    pub(crate) fn drop_report(
        &mut self,
        source: SourceId,
        id: &str,
        change: &mut MembershipChange,
    ) {
        let Some(record) = self.sources[source.0].records.remove(id) else {
            return;
        };
        if let Some(address) = record.report.address {
            self.release_address(address, id, source);
        }
        self.recompute(id, change);
        self.recompute_address_sharers(id, record.report.address, change);
    }
}

/// Adds those of the entries whose workers are not yet among them.
fn extend_with_unnamed(entries: &mut Vec<WorkerEntry>, others: Vec<WorkerEntry>) {
    let named: BTreeSet<WorkerId> = entries.iter().map(|entry| entry.worker).collect();
    let unnamed = others
        .into_iter()
        .filter(|entry| !named.contains(&entry.worker));
    entries.extend(unnamed);
}
