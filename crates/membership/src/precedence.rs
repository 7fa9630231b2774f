//! The precedence rules: how the reports of several sources on a worker are merged.

use crate::source::SourceRecord;
use crate::{Membership, SourceId, Status};
use marbledeck_dispatcher::{CellId, Micros, WorkerId};
use marbledeck_platform_settings::worker_id;
use smallvec::SmallVec;
use std::cmp::Reverse;
use std::fmt;
use std::net::SocketAddr;

/// The merged reports of all sources on a worker.
#[derive(Debug)]
pub(crate) struct MergedReport<'a> {
    pub address: Option<SocketAddr>,
    pub zone: &'a str,
    pub kind: &'a str,
    pub cell: Option<CellId>,
    pub started_at: Option<Micros>,
    /// Why the worker gets no new requests; none if it does.
    pub out_reason: Option<OutReason<'a>>,
}

/// Why a worker gets no new requests.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum OutReason<'a> {
    /// An operator has taken it out of service.
    ByOperator,
    /// A source reports a status other than up.
    Reported { source: &'a str, status: Status },
    /// A source has told the worker to be gone.
    Departed { source: &'a str },
    /// A source's list is too old to route requests by.
    ListTooOld { source: &'a str },
    /// No source gives a usable address.
    NoAddress,
    /// Another worker has the same address and takes precedence.
    AddressTaken { owner: &'a str },
}

impl fmt::Display for OutReason<'_> {
    fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
        match self {
            OutReason::ByOperator => f.write_str("out by hand"),
            OutReason::Reported { source, status } => write!(f, "{source} says {status}"),
            OutReason::Departed { source } => write!(f, "{source} says removed"),
            OutReason::ListTooOld { source } => write!(f, "{source}'s list is too old"),
            OutReason::NoAddress => f.write_str("it has no address"),
            OutReason::AddressTaken { owner } => write!(f, "{owner} has its address"),
        }
    }
}

/// The number of records that are merged without a heap allocation; a node seldom has more sources than this.
const INLINE_RECORDS: usize = 3;

type Records<'a> = [(SourceId, &'a SourceRecord)];

impl Membership {
    /// Merges all reports on a worker. Returns none if no source reports it.
    pub(crate) fn merge_reports(&self, worker: WorkerId, id: &str) -> Option<MergedReport<'_>> {
        let records: SmallVec<[(SourceId, &SourceRecord); INLINE_RECORDS]> =
            self.records(worker).collect();
        let (_, first) = records.first()?;
        let address = preferred_address(&records);
        let cell = records.iter().find_map(|(_, record)| record.report.cell);
        let starts = records
            .iter()
            .filter_map(|(_, record)| record.report.started_at);
        Some(MergedReport {
            address,
            zone: first_nonempty(&records, |record| &record.report.zone),
            kind: first_nonempty(&records, |record| &record.report.kind),
            cell: cell.or(first.report.cell),
            started_at: starts.max(),
            out_reason: self.out_reason(id, &records, address),
        })
    }

    /// Why a worker gets no new requests: the first reason that applies.
    fn out_reason<'a>(
        &'a self,
        id: &str,
        records: &Records,
        address: Option<SocketAddr>,
    ) -> Option<OutReason<'a>> {
        if self.out_of_service.contains(id) {
            return Some(OutReason::ByOperator);
        }
        let mut reports = records.iter();
        let not_up = reports.find(|(_, record)| record.report.status != Status::Up);
        if let Some((source, record)) = not_up {
            let source = &self.sources[source.0].name;
            let status = record.report.status;
            return Some(OutReason::Reported { source, status });
        }
        if let Some(source) = self.departed_by(worker_id(id)) {
            let source = &self.sources[source.0].name;
            return Some(OutReason::Departed { source });
        }
        let mut sources = records
            .iter()
            .map(|(source, record)| (&self.sources[source.0], record));
        if let Some((source, _)) = sources.find(|(source, record)| !source.is_trusted(record)) {
            let source = &source.name;
            return Some(OutReason::ListTooOld { source });
        }
        let Some(address) = address else {
            return Some(OutReason::NoAddress);
        };
        let owner = self.other_address_owner(address, id)?;
        Some(OutReason::AddressTaken { owner })
    }

    /// The other worker that owns this address, if there is one. Reports of earlier sources take precedence, then lower
    /// ids.
    fn other_address_owner(&self, address: SocketAddr, id: &str) -> Option<&str> {
        let owner = self.claims_by_address.get(&address)?.owner();
        owner.filter(|owner| *owner != id)
    }
}

/// The address from the report with the latest start, or from the earliest source among equals: a restarted worker may
/// have moved.
fn preferred_address(records: &Records) -> Option<SocketAddr> {
    let addressed = records
        .iter()
        .filter(|(_, record)| record.report.address.is_some());
    let preferred =
        addressed.min_by_key(|(source, record)| (Reverse(record.report.started_at), *source));
    preferred.and_then(|(_, record)| record.report.address)
}

/// The first name that is not empty, in the order of the sources.
fn first_nonempty<'a>(records: &Records<'a>, name: fn(&SourceRecord) -> &String) -> &'a str {
    let mut names = records.iter().map(|(_, record)| name(record).as_str());
    names.find(|name| !name.is_empty()).unwrap_or_default()
}
