//! The sources of workers, and what each has reported.

use crate::record_table::RecordTable;
use crate::self_preservation::{ProbeWindow, SelfPreservation, Suspicion};
use crate::SourceReport;
use foldhash::fast::RandomState;
use marbledeck_dispatcher::{Micros, WorkerId};
use std::collections::HashMap;

/// A source, in the order in which they were added: the earlier one takes precedence.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct SourceId(pub usize);

/// A digest of the text of a list's entry: a source that names a worker by the same text again reports nothing new.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct EntryDigest(pub u64);

/// A source's report on a worker, and how it stands.
#[derive(Clone, Debug)]
pub(crate) struct SourceRecord {
    pub report: SourceReport,
    /// When the source named the worker last.
    pub reported_at: Micros,
    /// The worker is missing at the source, or the source is silent.
    pub suspicion: Option<Suspicion>,
    /// The list that named it last.
    pub list_number: u64,
    /// The digest of the text that the report was read from, where the source gives one.
    pub digest: Option<EntryDigest>,
}

impl SourceRecord {
    /// Notes that the list of this number names the worker. Returns whether the report was new enough to send by before,
    /// where only those of some list and later ones are.
    pub fn note_named(&mut self, now: Micros, list_number: u64, trusted_from_list: u64) -> bool {
        let was_trusted = self.list_number >= trusted_from_list;
        self.list_number = list_number;
        self.reported_at = now;
        self.suspicion = None;
        was_trusted
    }
}

/// A source, and all that it reports.
#[derive(Debug)]
pub(crate) struct Source {
    pub name: String,
    pub self_preservation: Option<SelfPreservation>,
    pub records: RecordTable,
    /// It has said nothing for longer than its self-preservation allows.
    pub is_silent: bool,
    /// When it counts as silent, should it say nothing more.
    pub silent_at: Option<Micros>,
    pub probe_window: ProbeWindow,
    /// The list that is being read: records of an earlier one are missing in it.
    pub list_number: u64,
    /// When its list was last known completely; none where it never was.
    pub completed_at: Option<Micros>,
    /// Reports of an earlier list are not new enough to send by.
    pub trusted_from_list: u64,
    /// The workers, by the digests of the texts that their reports were read from.
    pub workers_by_digest: HashMap<EntryDigest, WorkerId, RandomState>,
}

impl Source {
    pub fn new(name: &str, self_preservation: Option<SelfPreservation>) -> Self {
        Source {
            name: name.to_owned(),
            self_preservation,
            records: RecordTable::default(),
            is_silent: false,
            silent_at: None,
            probe_window: ProbeWindow::default(),
            list_number: 0,
            completed_at: None,
            trusted_from_list: 0,
            workers_by_digest: HashMap::default(),
        }
    }

    /// Whether a report is new enough to send by.
    pub fn trusts(&self, record: &SourceRecord) -> bool {
        record.list_number >= self.trusted_from_list
    }

    /// Enters the digest of a worker's text, in the place of an earlier one.
    pub fn replace_digest(
        &mut self,
        worker: WorkerId,
        old: Option<EntryDigest>,
        new: Option<EntryDigest>,
    ) {
        if old == new {
            return;
        }
        if let Some(old) = old {
            self.workers_by_digest.remove(&old);
        }
        if let Some(new) = new {
            self.workers_by_digest.insert(new, worker);
        }
    }
}
