//! The precedence: one place says which of several reports on a worker counts.

use crate::source::SourceRecord;
use crate::{Membership, SourceId, Status};
use marbledeck_dispatcher::{CellId, Micros};
use std::cmp::Reverse;
use std::net::SocketAddr;

/// What all reports on a worker come to.
#[derive(Debug)]
pub(crate) struct MergedReport {
    pub address: Option<SocketAddr>,
    pub zone: String,
    pub kind: String,
    pub cell: Option<CellId>,
    pub started_at: Option<Micros>,
    /// Why no new work may go there, for people; none where it may.
    pub out_reason: Option<String>,
}

type Records<'a> = [(SourceId, &'a SourceRecord)];

impl Membership {
    /// What all reports on a worker come to; none where no source names it.
    pub(crate) fn merged(&self, id: &str) -> Option<MergedReport> {
        let records: Vec<(SourceId, &SourceRecord)> = self.records(id).collect();
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
    fn out_reason(
        &self,
        id: &str,
        records: &Records,
        address: Option<SocketAddr>,
    ) -> Option<String> {
        let name = |source: &SourceId| &self.sources[source.0].name;
        if self.out_of_service.contains(id) {
            return Some("out by hand".to_owned());
        }
        let mut reports = records.iter();
        let not_up = reports.find(|(_, record)| record.report.status != Status::Up);
        if let Some((source, record)) = not_up {
            return Some(format!("{} says {}", name(source), record.report.status));
        }
        let mut sources = records.iter().map(|(source, _)| source);
        if let Some(source) = sources.find(|source| !self.sources[source.0].is_trusted) {
            return Some(format!("{}'s list is too old", name(source)));
        }
        let Some(address) = address else {
            return Some("it has no address".to_owned());
        };
        let owner = self.address_owner(address, id)?;
        Some(format!("{owner} has its address"))
    }

    /// Who else has this address, and takes precedence over this one: the earlier source's, then the lesser id.
    fn address_owner(&self, address: SocketAddr, id: &str) -> Option<&str> {
        let rank = |id: &str| {
            let mut records = self.records(id);
            let here = records.find(|(_, record)| record.report.address == Some(address));
            here.map(|(source, _)| source)
        };
        let own = (rank(id)?, id);
        let ids = self.ids_by_address.get(&address)?.iter();
        let ranked = ids.filter_map(|other| Some((rank(other)?, other.as_str())));
        let first = ranked.filter(|other| *other < own).min();
        first.map(|(_, other)| other)
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
fn first_name(records: &Records, name: fn(&SourceRecord) -> &String) -> String {
    let mut names = records.iter().map(|(_, record)| name(record));
    names
        .find(|name| !name.is_empty())
        .cloned()
        .unwrap_or_default()
}
