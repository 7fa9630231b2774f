//! Applies the reports of sources: single reports, complete lists, and lists in parts.

use crate::address_claims::AddressClaim;
use crate::publish::OwnerChange;
use crate::source::SourceRecord;
use crate::{EntryDigest, Membership, MembershipChange, SourceId, SourceReport, Status};
use marbledeck_dispatcher::{Micros, WorkerId};
use marbledeck_platform_settings::worker_id;

/// The identity of a worker in a source's report.
#[derive(Clone, Copy)]
pub(crate) struct ReportedWorker<'a> {
    pub worker: WorkerId,
    pub id: &'a str,
    /// The digest of the list entry that the report was read from, if known.
    pub digest: Option<EntryDigest>,
}

impl Membership {
    /// Applies a source's report on one worker.
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

    /// Records that a source no longer lists a worker. With `explicit`, the source has reported that the worker left;
    /// otherwise it may only have lost the worker's entry.
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

    /// Withdraws a source's report on a worker: the source has nothing to say on it any more, neither for nor against.
    pub fn withdraw_report(&mut self, now: Micros, source: SourceId, id: &str) -> MembershipChange {
        let mut change = MembershipChange::default();
        self.record_contact(now, source);
        self.drop_report(now, source, id, &mut change);
        change
    }

    /// Applies a source's complete list. Returns only what has changed.
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
        change.append(self.sweep_all_missing(now, source));
        change
    }

    /// Begins a complete list of a source. Each part is applied by [`Membership::apply_list_part`], and
    /// [`Membership::sweep_missing`] ends the list. No worker counts as missing before that.
    pub fn begin_full_list(&mut self, source: SourceId) {
        self.sources[source.0].list_number += 1;
    }

    /// Applies a part of the list that was begun last.
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
            // If a list has a worker twice, the report that is not up takes precedence.
            if record.is_some_and(is_repeated) {
                continue;
            }
            self.record_report(now, source, report, &mut change);
        }
        change
    }

    /// Ends a complete list in one step: handles all workers that it did not contain.
    pub fn sweep_all_missing(&mut self, now: Micros, source: SourceId) -> MembershipChange {
        let mut change = MembershipChange::default();
        let source_state = &self.sources[source.0];
        let is_missing = |record: &&SourceRecord| record.list_number != source_state.list_number;
        let missing = source_state.records.values().filter(is_missing);
        let mut missing: Vec<String> = missing.map(|record| record.report.id.clone()).collect();
        missing.sort_unstable();
        for id in &missing {
            self.record_missing(now, source, id, false, &mut change);
        }
        change
    }

    /// Handles the workers that the list did not contain, among the next `max` workers after this id. Also returns the
    /// id to continue after, or none once all workers have been checked.
    pub fn sweep_missing(
        &mut self,
        now: Micros,
        source: SourceId,
        after: Option<&str>,
        max: usize,
    ) -> (MembershipChange, Option<String>) {
        let mut change = MembershipChange::default();
        let list_number = self.sources[source.0].list_number;
        let records = &self.sources[source.0].records;
        let (mut count, mut last, mut missing) = (0, None, Vec::new());
        for record in records.iter_after(after).take(max) {
            let id = &record.report.id;
            (count, last) = (count + 1, Some(id));
            if record.list_number != list_number {
                missing.push(id.clone());
            }
        }
        let next = last.filter(|_| count == max).cloned();
        for id in &missing {
            self.record_missing(now, source, id, false, &mut change);
        }
        (change, next)
    }

    /// Takes a worker out of service or back, on behalf of an operator. This overrides the reports of all sources.
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
        let worker = worker_id(&report.id);
        let records = &self.sources[source.0].records;
        if records.get_worker(worker).is_none() {
            return self.add_report(now, source, report, None, change);
        }
        let id = report.id.clone();
        let reported = ReportedWorker {
            worker,
            id: &id,
            digest: None,
        };
        self.update_report(now, source, reported, change, |known| {
            // An older report changes nothing, but it still lists the worker.
            let is_update = known.version <= report.version && *known != report;
            if is_update {
                *known = report;
            }
            is_update
        });
    }

    /// Applies a report on a worker that the source already reports. `update` changes the stored report and returns
    /// whether it did.
    pub(crate) fn update_report(
        &mut self,
        now: Micros,
        source: SourceId,
        reported: ReportedWorker,
        change: &mut MembershipChange,
        update: impl FnOnce(&mut SourceReport) -> bool,
    ) {
        let source_state = &mut self.sources[source.0];
        let (list_number, trusted_from) =
            (source_state.list_number, source_state.trusted_from_list);
        let ReportedWorker { worker, id, digest } = reported;
        let Some(known) = source_state.records.get_worker_mut(worker) else {
            return;
        };
        let was_trusted = known.mark_listed(now, list_number, trusted_from);
        let old_digest = std::mem::replace(&mut known.digest, digest);
        let old_address = known.report.address;
        let has_changed = update(&mut known.report);
        let new_address = known.report.address;
        source_state.replace_digest(worker, old_digest, digest);
        if !has_changed && was_trusted {
            return;
        }
        let (mut old_owners, mut new_owners) = (OwnerChange::default(), OwnerChange::default());
        if old_address != new_address {
            let claim = || AddressClaim {
                source,
                id: id.to_owned(),
            };
            if let Some(address) = old_address {
                old_owners = self.release_address(address, &claim());
            }
            if let Some(address) = new_address {
                new_owners = self.claim_address(address, claim());
            }
        }
        self.recompute_worker(worker, id, change);
        self.recompute_owners(id, old_owners, change);
        self.recompute_owners(id, new_owners, change);
    }

    /// Adds a source's first report on a worker.
    pub(crate) fn add_report(
        &mut self,
        now: Micros,
        source: SourceId,
        report: SourceReport,
        digest: Option<EntryDigest>,
        change: &mut MembershipChange,
    ) {
        let id = report.id.clone();
        let mut owners = OwnerChange::default();
        if let Some(address) = report.address {
            let id = id.clone();
            owners = self.claim_address(address, AddressClaim { source, id });
        }
        let source_state = &mut self.sources[source.0];
        source_state.replace_digest(worker_id(&id), None, digest);
        let record = SourceRecord {
            report,
            reported_at: now,
            suspicion: None,
            list_number: source_state.list_number,
            digest,
        };
        source_state.records.insert(record);
        self.record_arrival(now, source, worker_id(&id));
        self.recompute(&id, change);
        self.recompute_owners(&id, owners, change);
    }

    /// Handles a worker that a source no longer lists: removes its report or suspects the worker.
    pub(crate) fn record_missing(
        &mut self,
        now: Micros,
        source: SourceId,
        id: &str,
        explicit: bool,
        change: &mut MembershipChange,
    ) {
        let source_state = &self.sources[source.0];
        let is_protected = source_state.self_preservation.is_some();
        let record = source_state.records.get(id);
        let status = record.map(|record| record.report.status);
        if explicit || status.is_some() && !is_protected {
            return self.record_gone(now, source, id, change);
        }
        // A worker that gets no requests anyway needs no protection. If another source reports it, the word against it
        // has to count on: the list may only have lost it.
        let mut records = self.records(worker_id(id));
        let is_reported_elsewhere = records.any(|(other, _)| other != source);
        drop(records);
        if status.is_some_and(|status| status != Status::Up) && !is_reported_elsewhere {
            return self.drop_report(now, source, id, change);
        }
        self.suspect_missing(now, source, id);
    }

    /// Removes a source's report on a worker that the source has told to be gone, and remembers that it was told.
    fn record_gone(
        &mut self,
        now: Micros,
        source: SourceId,
        id: &str,
        change: &mut MembershipChange,
    ) {
        self.record_departure(now, source, id);
        if self.sources[source.0].records.contains(id) {
            self.drop_report(now, source, id, change);
        } else {
            self.recompute(id, change);
        }
    }

    /// Removes a source's report on a worker.
    pub(crate) fn drop_report(
        &mut self,
        now: Micros,
        source: SourceId,
        id: &str,
        change: &mut MembershipChange,
    ) {
        let source_state = &mut self.sources[source.0];
        let Some(record) = source_state.records.remove(id) else {
            return;
        };
        source_state.replace_digest(worker_id(id), record.digest, None);
        self.record_unnamed(now, worker_id(id));
        let mut owners = OwnerChange::default();
        if let Some(address) = record.report.address {
            let id = id.to_owned();
            owners = self.release_address(address, &AddressClaim { source, id });
        }
        self.recompute(id, change);
        self.recompute_owners(id, owners, change);
    }
}
