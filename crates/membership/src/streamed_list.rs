//! Lists that are taken in as their bytes come, entry by entry, by a node that may have to act before they are complete.
//!
//! Each list of a source has a number, and each report that of the list that named it last. A source whose list may be
//! outdated is trusted only for what lists from some number on have named.

use crate::reports::NamedWorker;
use crate::source::SourceRecord;
use crate::{EntryDigest, Membership, MembershipChange, SourceId, SourceReport, Status};
use marbledeck_dispatcher::{CellId, Micros};
use marbledeck_platform_settings::worker_id;
use std::net::SocketAddr;

/// A report as a list has it, whose texts belong to the list.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ListedReport<'a> {
    /// The worker's id.
    pub id: &'a str,
    /// None where the list gives none that can be used.
    pub address: Option<SocketAddr>,
    /// Whether it takes new work.
    pub status: Status,
    /// The name of its zone.
    pub zone: &'a str,
    /// The name of its kind of machine.
    pub kind: &'a str,
    /// Its cell.
    pub cell: Option<CellId>,
    /// When its process last started, by the list's clock; none if long ago.
    pub started_at: Option<Micros>,
}

/// A start that is told by an answer should be no older than this: by then, discovery counts as having told it.
const PLAUSIBLE_START_AGE: Micros = Micros(6_000_000);

/// A clock that is off by more was not stepped: the start is that old, and was not listed before.
const MAX_CLOCK_STEP: Micros = Micros(2 * 3_600_000_000);

/// When a worker started by this process's clock, where a list that is heard at `now` tells it for the first time, and
/// the list before was complete at `completed_at`. The machines' clocks may be hours apart once one was stepped: a start
/// lies not in the future, nor in a time for which the list before already spoke.
fn plausible_start(listed: Micros, now: Micros, completed_at: Option<Micros>) -> Micros {
    let age = now - listed;
    let is_stepped = age > PLAUSIBLE_START_AGE && age <= MAX_CLOCK_STEP;
    let earliest = completed_at.filter(|_| is_stepped).unwrap_or(Micros(0));
    listed.max(earliest).min(now)
}

impl ListedReport<'_> {
    /// The same with texts of its own.
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

    /// Brings an earlier report on the worker up to date; `start` is when it started by this process's clock, should
    /// that be news. Returns whether anything has changed.
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
    /// The number of the list that was begun last.
    pub fn list_number(&self, source: SourceId) -> u64 {
        self.sources[source.0].list_number
    }

    /// The list that was begun names a worker by a text of this digest. Where its last report was read from the same
    /// text, that stands, and the result is true; else the text has to be read, for
    /// [`Membership::apply_listed_report`].
    pub fn confirm_listed(
        &mut self,
        now: Micros,
        source: SourceId,
        digest: EntryDigest,
        change: &mut MembershipChange,
    ) -> bool {
        let naming = &mut self.sources[source.0];
        let (list_number, trusted_from) = (naming.list_number, naming.trusted_from_list);
        let worker = naming.workers_by_digest.get(&digest);
        let Some(record) = worker.and_then(|worker| naming.records.get_worker_mut(*worker)) else {
            return false;
        };
        if !record.note_named(now, list_number, trusted_from) {
            let id = record.report.id.clone();
            self.recompute(&id, change);
        }
        true
    }

    /// The list that was begun reports on a worker, in a text of this digest where it is known.
    pub fn apply_listed_report(
        &mut self,
        now: Micros,
        source: SourceId,
        report: &ListedReport,
        digest: Option<EntryDigest>,
        change: &mut MembershipChange,
    ) {
        let worker = worker_id(report.id);
        let naming = &self.sources[source.0];
        let start = report.started_at;
        let start = start.map(|listed| plausible_start(listed, now, naming.completed_at));
        if naming.records.get_worker(worker).is_none() {
            let report = SourceReport {
                started_at: start,
                ..report.to_report()
            };
            return self.add_report(now, source, report, digest, change);
        }
        let id = report.id;
        let named = NamedWorker { worker, id, digest };
        self.update_report(now, source, named, change, |known| {
            report.update(known, start)
        });
    }

    /// The list that was begun was read to its end: all that the source had until then is known.
    pub fn note_list_complete(&mut self, now: Micros, source: SourceId) {
        self.sources[source.0].completed_at = Some(now);
    }

    /// The list that was begun says that a worker has left.
    pub fn apply_listed_removal(
        &mut self,
        now: Micros,
        source: SourceId,
        id: &str,
        change: &mut MembershipChange,
    ) {
        self.record_missing(now, source, id, true, change);
    }

    /// The number of the first list that is new enough to send by; 0 where all are.
    pub fn trusted_from_list(&self, source: SourceId) -> u64 {
        self.sources[source.0].trusted_from_list
    }

    /// From now on, only reports of the list of this number and of later ones are new enough to send by. All others
    /// count as draining: which of them do cannot be known. Every report is where the number is 0.
    pub fn set_trusted_from_list(&mut self, source: SourceId, number: u64) -> MembershipChange {
        let mut change = MembershipChange::default();
        let trusting = &mut self.sources[source.0];
        let old = std::mem::replace(&mut trusting.trusted_from_list, number);
        let is_affected =
            |record: &&SourceRecord| (record.list_number >= old) != (record.list_number >= number);
        let affected = trusting.records.values().filter(is_affected);
        let ids: Vec<String> = affected.map(|record| record.report.id.clone()).collect();
        for id in ids {
            self.recompute(&id, &mut change);
        }
        change
    }
}
