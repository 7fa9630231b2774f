//! The precedence: one place says which of several reports on a worker counts.

use crate::source::SourceRecord;
use crate::{Membership, SourceId, Status};
use marbledeck_dispatcher::{CellId, Micros, WorkerId};
use smallvec::SmallVec;
use std::cmp::Reverse;
use std::fmt;
use std::net::SocketAddr;

/// What all reports on a worker come to.
#[derive(Debug)]
pub(crate) struct MergedReport<'a> {
    pub address: Option<SocketAddr>,
    pub zone: &'a str,
    pub kind: &'a str,
    pub cell: Option<CellId>,
    pub started_at: Option<Micros>,
    /// Why no new work may go there; none where it may.
    pub out_reason: Option<OutReason<'a>>,
}

/// Why no new work may go to a worker.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum OutReason<'a> {
    ByHand,
    /// A source reports another status than up.
    Reported {
        source: &'a str,
        status: Status,
    },
    /// A source's list is not new enough to send by.
    ListTooOld {
        source: &'a str,
    },
    NoAddress,
    /// Another worker has its address, and takes precedence.
    AddressTaken {
        owner: &'a str,
    },
}

impl fmt::Display for OutReason<'_> {
    fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
        match self {
            OutReason::ByHand => f.write_str("out by hand"),
            OutReason::Reported { source, status } => write!(f, "{source} says {status}"),
            OutReason::ListTooOld { source } => write!(f, "{source}'s list is too old"),
            OutReason::NoAddress => f.write_str("it has no address"),
            OutReason::AddressTaken { owner } => write!(f, "{owner} has its address"),
        }
    }
}

/// A node seldom has more sources than this.
const COMMON_SOURCES: usize = 3;

type Records<'a> = [(SourceId, &'a SourceRecord)];

impl Membership {
    /// What all reports on a worker come to; none where no source names it.
    pub(crate) fn merged(&self, worker: WorkerId, id: &str) -> Option<MergedReport<'_>> {
        let records: SmallVec<[(SourceId, &SourceRecord); COMMON_SOURCES]> =
            self.records(worker).collect();
        let (_, first) = records.first()?;
        let address = merged_address(&records);
        let cells = records.iter().find_map(|(_, record)| record.report.cell);
        let starts = records
            .iter()
            .filter_map(|(_, record)| record.report.started_at);
        Some(MergedReport {
            address,
            zone: first_name(&records, |record| &record.report.zone),
            kind: first_name(&records, |record| &record.report.kind),
            cell: cells.or(first.report.cell),
            started_at: starts.max(),
            out_reason: self.out_reason(id, &records, address),
        })
    }

    /// Why no new work may go to a worker: the first of these that holds.
    fn out_reason<'a>(
        &'a self,
        id: &str,
        records: &Records,
        address: Option<SocketAddr>,
    ) -> Option<OutReason<'a>> {
        if self.out_of_service.contains(id) {
            return Some(OutReason::ByHand);
        }
        let mut reports = records.iter();
        let not_up = reports.find(|(_, record)| record.report.status != Status::Up);
        if let Some((source, record)) = not_up {
            let source = &self.sources[source.0].name;
            let status = record.report.status;
            return Some(OutReason::Reported { source, status });
        }
        let mut sources = records
            .iter()
            .map(|(source, record)| (&self.sources[source.0], record));
        if let Some((source, _)) = sources.find(|(source, record)| !source.trusts(record)) {
            let source = &source.name;
            return Some(OutReason::ListTooOld { source });
        }
        let Some(address) = address else {
            return Some(OutReason::NoAddress);
        };
        let owner = self.address_owner(address, id)?;
        Some(OutReason::AddressTaken { owner })
    }

    /// Who else has this address, and takes precedence over this one: the earlier source's, then the lesser id.
    fn address_owner(&self, address: SocketAddr, id: &str) -> Option<&str> {
        let owner = self.claims_by_address.get(&address)?.owner();
        owner.filter(|owner| *owner != id)
    }
}

/// The later start has the truer address, then the earlier source.
fn merged_address(records: &Records) -> Option<SocketAddr> {
    let addressed = records
        .iter()
        .filter(|(_, record)| record.report.address.is_some());
    let best =
        addressed.min_by_key(|(source, record)| (Reverse(record.report.started_at), *source));
    best.and_then(|(_, record)| record.report.address)
}

/// The first name that a source gives.
fn first_name<'a>(records: &Records<'a>, name: fn(&SourceRecord) -> &String) -> &'a str {
    let mut names = records.iter().map(|(_, record)| name(record).as_str());
    names.find(|name| !name.is_empty()).unwrap_or_default()
}
