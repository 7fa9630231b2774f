//! The sources of workers and their reports.

use crate::departures::Departures;
use crate::record_table::RecordTable;
use crate::self_preservation::{ProbeWindow, SelfPreservation, Suspicion};
use crate::SourceReport;
use foldhash::fast::RandomState;
use marbledeck_dispatcher::{Micros, WorkerId};
use std::collections::HashMap;

/// The number of a source, in the order in which sources were added. Earlier sources take precedence.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct SourceId(pub usize);

/// A digest of the text of a list entry. An entry with the same text as before reports nothing new.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct EntryDigest(pub u64);

/// A source's report on a worker, with its state.
#[derive(Clone, Debug)]
pub(crate) struct SourceRecord {
    pub report: SourceReport,
    /// When the source last listed the worker.
    pub reported_at: Micros,
    /// Set while the worker is missing from the source's list, or the source is silent.
    pub suspicion: Option<Suspicion>,
    /// The number of the list that last contained the worker.
    pub list_number: u64,
    /// The digest of the list entry that the report was read from, if known.
    pub digest: Option<EntryDigest>,
}

impl SourceRecord {
    /// Records that the list with this number contains the worker. Returns whether the report was trusted before, given
    /// the number of the first trusted list.
    pub fn mark_listed(&mut self, now: Micros, list_number: u64, trusted_from_list: u64) -> bool {
        let was_trusted = self.list_number >= trusted_from_list;
        self.list_number = list_number;
        self.reported_at = now;
        self.suspicion = None;
        was_trusted
    }
}

/// A source and its reports.
#[derive(Debug)]
pub(crate) struct Source {
    pub name: String,
    pub self_preservation: Option<SelfPreservation>,
    pub records: RecordTable,
    /// The workers that it has told to be gone.
    pub departures: Departures,
    /// Whether the time without contact exceeds the `silence_timeout` of its self-preservation.
    pub is_silent: bool,
    /// When it becomes silent without further contact.
    pub silent_at: Option<Micros>,
    pub probe_window: ProbeWindow,
    /// The number of its latest list. Once that list is complete, records with a lower number are missing from it.
    pub list_number: u64,
    /// When a list was last read completely; none if none ever was.
    pub list_completed_at: Option<Micros>,
    /// The number of the first list whose reports may be used to route requests.
    pub trusted_from_list: u64,
    /// The workers by the digests of the list entries that their reports were read from.
    pub workers_by_digest: HashMap<EntryDigest, WorkerId, RandomState>,
}

impl Source {
    pub fn new(name: &str, self_preservation: Option<SelfPreservation>) -> Self {
        Source {
            name: name.to_owned(),
            self_preservation,
            records: RecordTable::default(),
            departures: Departures::default(),
            is_silent: false,
            silent_at: None,
            probe_window: ProbeWindow::default(),
            list_number: 0,
            list_completed_at: None,
            trusted_from_list: 0,
            workers_by_digest: HashMap::default(),
        }
    }

    /// Whether a report may be used to route requests.
    pub fn is_trusted(&self, record: &SourceRecord) -> bool {
        record.list_number >= self.trusted_from_list
    }

    /// Replaces the digest of a worker's list entry in the index.
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
