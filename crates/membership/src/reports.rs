//! How the reports of sources are taken in: single ones, whole lists, and lists in parts.

use crate::address_claims::AddressClaim;
use crate::publish::Owners;
use crate::source::SourceRecord;
use crate::{EntryDigest, Membership, MembershipChange, SourceId, SourceReport, Status};
use marbledeck_dispatcher::{Micros, WorkerId};
use marbledeck_platform_settings::worker_id;

/// A worker that a source names.
#[derive(Clone, Copy)]
pub(crate) struct NamedWorker<'a> {
    pub worker: WorkerId,
    pub id: &'a str,
    /// The digest of the text that names it, where the source gives one.
    pub digest: Option<EntryDigest>,
}

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

    /// Takes a source's whole list. Tells only what has changed.
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

    /// Ends a whole list at once: looks for all that it did not name.
    pub fn sweep_all_missing(&mut self, now: Micros, source: SourceId) -> MembershipChange {
        let mut change = MembershipChange::default();
        let sweeping = &self.sources[source.0];
        let is_missing = |record: &&SourceRecord| record.list_number != sweeping.list_number;
        let missing = sweeping.records.values().filter(is_missing);
        let mut missing: Vec<String> = missing.map(|record| record.report.id.clone()).collect();
        missing.sort_unstable();
        for id in &missing {
            self.record_missing(now, source, id, false, &mut change);
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
        let records = &self.sources[source.0].records;
        let (mut count, mut last, mut missing) = (0, None, Vec::new());
        for record in records.after(after).take(max) {
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
        let worker = worker_id(&report.id);
        let records = &self.sources[source.0].records;
        if records.get_worker(worker).is_none() {
            return self.add_report(now, source, report, None, change);
        }
        let id = report.id.clone();
        let named = NamedWorker {
            worker,
            id: &id,
            digest: None,
        };
        self.update_report(now, source, named, change, |known| {
            // One of an earlier answer is no news. The worker is named all the same.
            let is_news = known.version <= report.version && *known != report;
            if is_news {
                *known = report;
            }
            is_news
        });
    }

    /// Takes a source's further report on a worker; `update` changes the earlier one, and tells whether it has.
    pub(crate) fn update_report(
        &mut self,
        now: Micros,
        source: SourceId,
        named: NamedWorker,
        change: &mut MembershipChange,
        update: impl FnOnce(&mut SourceReport) -> bool,
    ) {
        let reporting = &mut self.sources[source.0];
        let (list_number, trusted_from) = (reporting.list_number, reporting.trusted_from_list);
        let NamedWorker { worker, id, digest } = named;
        let Some(known) = reporting.records.get_worker_mut(worker) else {
            return;
        };
        let was_trusted = known.note_named(now, list_number, trusted_from);
        let old_digest = std::mem::replace(&mut known.digest, digest);
        let had_address = known.report.address;
        let has_changed = update(&mut known.report);
        let has_address = known.report.address;
        reporting.replace_digest(worker, old_digest, digest);
        if !has_changed && was_trusted {
            return;
        }
        let (mut old_owners, mut new_owners) = (Owners::default(), Owners::default());
        if had_address != has_address {
            let claim = || AddressClaim {
                source,
                id: id.to_owned(),
            };
            if let Some(address) = had_address {
                old_owners = self.release_address(address, &claim());
            }
            if let Some(address) = has_address {
                new_owners = self.claim_address(address, claim());
            }
        }
        self.recompute_worker(worker, id, change);
        self.recompute_owners(id, old_owners, change);
        self.recompute_owners(id, new_owners, change);
    }

    /// Takes a source's first report on a worker.
    pub(crate) fn add_report(
        &mut self,
        now: Micros,
        source: SourceId,
        report: SourceReport,
        digest: Option<EntryDigest>,
        change: &mut MembershipChange,
    ) {
        let id = report.id.clone();
        let mut owners = Owners::default();
        if let Some(address) = report.address {
            let id = id.clone();
            owners = self.claim_address(address, AddressClaim { source, id });
        }
        let reporting = &mut self.sources[source.0];
        reporting.replace_digest(worker_id(&id), None, digest);
        let record = SourceRecord {
            report,
            reported_at: now,
            suspicion: None,
            list_number: reporting.list_number,
            digest,
        };
        reporting.records.insert(record);
        self.recompute(&id, change);
        self.recompute_owners(&id, owners, change);
    }

    /// A source no longer names a worker.
    pub(crate) fn record_missing(
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
        let dropping = &mut self.sources[source.0];
        let Some(record) = dropping.records.remove(id) else {
            return;
        };
        dropping.replace_digest(worker_id(id), record.digest, None);
        let mut owners = Owners::default();
        if let Some(address) = record.report.address {
            let id = id.to_owned();
            owners = self.release_address(address, &AddressClaim { source, id });
        }
        self.recompute(id, change);
        self.recompute_owners(id, owners, change);
    }
}
