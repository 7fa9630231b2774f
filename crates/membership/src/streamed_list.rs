//! Applies lists entry by entry while they are being received, since a node may have to act before a list is complete.
//!
//! Each list of a source has a number, and each report has the number of the list that last contained it. If earlier
//! lists of a source may be outdated, only reports of lists from some number on are trusted.

use crate::reports::ReportedWorker;
use crate::source::SourceRecord;
use crate::{EntryDigest, Membership, MembershipChange, SourceId, SourceReport, Status};
use marbledeck_dispatcher::{CellId, Micros};
use marbledeck_platform_settings::worker_id;
use std::net::SocketAddr;

/// A report in a list, with strings that are borrowed from the list.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ListedReport<'a> {
    /// The worker's id.
    pub id: &'a str,
    /// Its address; none if the list gives no usable one.
    pub address: Option<SocketAddr>,
    /// Whether it takes new requests.
    pub status: Status,
    /// The name of its zone.
    pub zone: &'a str,
    /// The name of its kind of machine.
    pub kind: &'a str,
    /// Its cell.
    pub cell: Option<CellId>,
    /// When its process last started by the clock of the list's source; none if long ago.
    pub started_at: Option<Micros>,
}

/// The maximum age at which a start is normally first listed: the time within which discovery counts as having notified
/// it.
const MAX_NEW_START_AGE: Micros = Micros(6_000_000);

/// The largest clock step that is compensated. A start that seems older than this really is that old and was just not
/// listed before.
const MAX_CLOCK_STEP: Micros = Micros(2 * 3_600_000_000);

/// Converts a start time that a list reports for the first time at `now` to this process's clock.
///
/// After a clock step, the clocks of two machines may be hours apart. A start is therefore never in the future, and one
/// that seems older than usual is not before `list_completed_at`, when the previous list was complete without it.
fn plausible_start(listed: Micros, now: Micros, list_completed_at: Option<Micros>) -> Micros {
    let age = now - listed;
    let may_be_stepped = age > MAX_NEW_START_AGE && age <= MAX_CLOCK_STEP;
    let earliest = list_completed_at
        .filter(|_| may_be_stepped)
        .unwrap_or(Micros(0));
    listed.max(earliest).min(now)
}

impl ListedReport<'_> {
    /// Converts this to a report that owns its strings.
    pub fn to_report(&self) -> SourceReport {
        SourceReport {
            listed_start: self.started_at,
            id: self.id.to_owned(),
            address: self.address,
            status: self.status,
            zone: self.zone.to_owned(),
            kind: self.kind.to_owned(),
            cell: self.cell,
            started_at: self.started_at,
            version: 0,
        }
    }

    /// Updates an earlier report on the worker. `start` is the start time by this process's clock, and is used if the
    /// listed start has changed. Returns whether anything has changed.
    fn update(&self, known: &mut SourceReport, start: Option<Micros>) -> bool {
        let is_same = known.address == self.address
            && known.status == self.status
            && known.zone == self.zone
            && known.kind == self.kind
            && known.cell == self.cell
            && known.listed_start == self.started_at;
        if is_same {
            return false;
        }
        known.address = self.address;
        known.status = self.status;
        self.zone.clone_into(&mut known.zone);
        self.kind.clone_into(&mut known.kind);
        known.cell = self.cell;
        if known.listed_start != self.started_at {
            known.listed_start = self.started_at;
            known.started_at = start;
        }
        true
    }
}

impl Membership {
    /// The number of a source's latest list, whether it is complete or not.
    pub fn list_number(&self, source: SourceId) -> u64 {
        self.sources[source.0].list_number
    }

    /// Handles a list entry whose text has this digest. If a worker's current report was read from the same text, it
    /// is confirmed and the result is true. Otherwise the caller has to parse the text and call
    /// [`Membership::apply_listed_report`].
    pub fn confirm_unchanged(
        &mut self,
        now: Micros,
        source: SourceId,
        digest: EntryDigest,
        change: &mut MembershipChange,
    ) -> bool {
        let source_state = &mut self.sources[source.0];
        let (list_number, trusted_from) =
            (source_state.list_number, source_state.trusted_from_list);
        let worker = source_state.workers_by_digest.get(&digest);
        let Some(record) = worker.and_then(|worker| source_state.records.get_worker_mut(*worker))
        else {
            return false;
        };
        if !record.mark_listed(now, list_number, trusted_from) {
            let id = record.report.id.clone();
            self.recompute(&id, change);
        }
        true
    }

    /// Applies a report of the latest list. `digest` is that of the entry's text, if known.
    pub fn apply_listed_report(
        &mut self,
        now: Micros,
        source: SourceId,
        report: &ListedReport,
        digest: Option<EntryDigest>,
        change: &mut MembershipChange,
    ) {
        let worker = worker_id(report.id);
        let source_state = &self.sources[source.0];
        let start = report.started_at;
        let start =
            start.map(|listed| plausible_start(listed, now, source_state.list_completed_at));
        if source_state.records.get_worker(worker).is_none() {
            let report = SourceReport {
                started_at: start,
                ..report.to_report()
            };
            return self.add_report(now, source, report, digest, change);
        }
        let id = report.id;
        let reported = ReportedWorker { worker, id, digest };
        self.update_report(now, source, reported, change, |known| {
            report.update(known, start)
        });
    }

    /// Records that the latest list was read to its end, so that everything the source had until now is known.
    pub fn record_list_complete(&mut self, now: Micros, source: SourceId) {
        self.sources[source.0].list_completed_at = Some(now);
    }

    /// Applies an entry of the latest list that says that a worker has left.
    pub fn apply_listed_removal(
        &mut self,
        now: Micros,
        source: SourceId,
        id: &str,
        change: &mut MembershipChange,
    ) {
        self.record_missing(now, source, id, true, change);
    }

    /// The number of the first list that may be used to route requests; 0 if all may be.
    pub fn trusted_from_list(&self, source: SourceId) -> u64 {
        self.sources[source.0].trusted_from_list
    }

    /// Trusts only reports of the list with this number and of later lists from now on. Workers with older reports
    /// count as draining, since it is unknown which of them are. The number 0 trusts all reports.
    pub fn set_trusted_from_list(&mut self, source: SourceId, number: u64) -> MembershipChange {
        let mut change = MembershipChange::default();
        let source_state = &mut self.sources[source.0];
        let old = std::mem::replace(&mut source_state.trusted_from_list, number);
        let is_affected =
            |record: &&SourceRecord| (record.list_number >= old) != (record.list_number >= number);
        let affected = source_state.records.values().filter(is_affected);
        let ids: Vec<String> = affected.map(|record| record.report.id.clone()).collect();
        for id in ids {
            self.recompute(&id, &mut change);
        }
        change
    }
}
