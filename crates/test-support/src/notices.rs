//! The record of what a stub of discovery has told a process of the node about each worker, and when. It changes in one
//! step with the write that tells it, so that it never disagrees with what the process can have read.

use std::collections::HashMap;
use std::fmt;
use std::time::Instant;

/// What one answer, or one pushed change, has told about one worker.
#[derive(Clone, Debug)]
pub struct WorkerReport {
    /// When it was told: before the first byte of an answer, or for a worker that is up before the last byte of its
    /// entry.
    pub at: Instant,
    /// The revision of the list in which the worker's entry last changed.
    pub entry_revision: u64,
    /// Whether the worker is up, so that it may get requests.
    pub is_up: bool,
    /// The answer that told it; `None` if lists are pushed.
    pub answer: Option<AnswerId>,
}

/// Identifies an answer of a stub of discovery.
#[derive(Clone, Copy, Debug)]
pub struct AnswerId {
    /// The revision of the list that it carries.
    pub revision: u64,
    /// The number of its connection, counted from 1 in the order in which the stub accepted them.
    pub connection: u64,
}

/// All reports to one process of the node.
pub(crate) struct ProcessRecord {
    pub(crate) began_at: Instant,
    reports: HashMap<String, Vec<WorkerReport>>,
}

impl ProcessRecord {
    /// Creates the record of a process that starts now.
    pub(crate) fn new() -> Self {
        ProcessRecord {
            began_at: Instant::now(),
            reports: HashMap::new(),
        }
    }

    /// Adds a report, unless the process was already told this entry or a newer one.
    pub(crate) fn add(&mut self, id: &str, report: WorkerReport) {
        match self.reports.get_mut(id) {
            None => drop(self.reports.insert(id.to_owned(), vec![report])),
            Some(reports) => {
                let last = reports.last().map(|last| last.entry_revision);
                if last < Some(report.entry_revision) {
                    reports.push(report);
                }
            }
        }
    }

    /// Returns since when, as told by this moment, a worker has not been up; `None` if it is up or nothing was told.
    pub(crate) fn not_up_since(&self, id: &str, moment: Instant) -> Option<Instant> {
        let mut since = None;
        let reports = self.reports.get(id)?.iter();
        for report in reports.take_while(|report| report.at <= moment) {
            since = (!report.is_up).then(|| since.unwrap_or(report.at));
        }
        since
    }

    /// Returns all reports about a worker, in the order in which they were told.
    pub(crate) fn reports(&self, id: &str) -> &[WorkerReport] {
        self.reports.get(id).map_or(&[], Vec::as_slice)
    }
}

/// The reports about a worker around one moment, as text for a failure message.
pub(crate) struct ReportsAround<'a> {
    pub(crate) reports: &'a [WorkerReport],
    pub(crate) moment: Instant,
}

impl fmt::Display for ReportsAround<'_> {
    fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
        for report in self.reports {
            let phase = if report.is_up { "up" } else { "not up" };
            let before = self.moment.checked_duration_since(report.at);
            match before {
                Some(span) => write!(f, "{span:?} before: {phase}")?,
                None => write!(f, "{:?} after: {phase}", report.at - self.moment)?,
            }
            write!(f, " since revision {}", report.entry_revision)?;
            if let Some(answer) = report.answer {
                let AnswerId {
                    revision,
                    connection,
                } = answer;
                write!(
                    f,
                    " (answer of revision {revision} on connection {connection})"
                )?;
            }
            f.write_str("; ")?;
        }
        Ok(())
    }
}
