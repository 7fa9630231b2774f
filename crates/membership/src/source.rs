//! The sources of workers, and what each has reported.

use crate::self_preservation::{ProbeWindow, SelfPreservation, Suspicion};
use crate::SourceReport;
use marbledeck_dispatcher::Micros;
use std::collections::BTreeMap;

/// A source, in the order in which they were added: the earlier one takes precedence.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct SourceId(pub usize);

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
}

impl SourceRecord {
    pub fn new(report: SourceReport, reported_at: Micros, list_number: u64) -> Self {
        SourceRecord {
            report,
            reported_at,
            suspicion: None,
            list_number,
        }
    }
}

/// A source, and all that it reports.
#[derive(Debug)]
pub(crate) struct Source {
    pub name: String,
    pub self_preservation: Option<SelfPreservation>,
    /// By the workers' ids.
    pub records: BTreeMap<String, SourceRecord>,
    /// It has said nothing for longer than its self-preservation allows.
    pub is_silent: bool,
    /// When it counts as silent, should it say nothing more.
    pub silent_at: Option<Micros>,
    pub probe_window: ProbeWindow,
    /// The list that is being read: records of an earlier one are missing in it.
    pub list_number: u64,
    /// Its reports are new enough to send by.
    pub is_trusted: bool,
}

impl Source {
    pub fn new(name: &str, self_preservation: Option<SelfPreservation>) -> Self {
        Source {
            name: name.to_owned(),
            self_preservation,
            records: BTreeMap::new(),
            is_silent: false,
            silent_at: None,
            probe_window: ProbeWindow::default(),
            list_number: 0,
            is_trusted: true,
        }
    }
}
