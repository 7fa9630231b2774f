//! The endpoint list as discovery writes it, and the reports that it stands for.

use super::MAX_WORKERS;
use crate::clock::Clock;
use marbledeck_dispatcher::CellId;
use marbledeck_membership::{ListedReport, Membership, SourceReport, Status};
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;

/// The phase of a worker that has left the list.
const REMOVED: &str = "removed";
/// The phase of a worker that takes requests.
const UP: &str = "up";
/// The phase of a worker that finishes what it has.
const DRAINING: &str = "draining";
/// The names of the sources that a successor has by itself, or is passed in another way.
const OWN_SOURCES: [&str; 2] = ["directory", "static"];

/// A list, or the part of one that has changed.
#[derive(Clone, Debug, Default, Deserialize, Serialize)]
#[serde(rename = "Listing")]
pub struct EndpointList {
    /// Which state of the list this is; later ones are greater.
    pub revision: u64,
    /// Whether this is the complete list.
    #[serde(default)]
    pub complete: bool,
    /// The workers.
    #[serde(default, rename = "members")]
    pub endpoints: Vec<EndpointEntry>,
}

/// A worker, as a list has it. Its texts may belong to the list.
#[derive(Clone, Debug, Deserialize, Serialize)]
#[serde(rename = "Member")]
pub struct EndpointEntry<Text = String> {
    /// Its id.
    pub id: Text,
    /// Its IP address and port.
    #[serde(rename = "host_port")]
    pub address: Text,
    /// The name of its zone.
    #[serde(default, rename = "locality")]
    pub zone: Text,
    /// The name of its kind.
    #[serde(default, rename = "flavor")]
    pub kind: Text,
    /// Its cell.
    #[serde(default)]
    pub cell: Option<u32>,
    /// Whether it takes requests.
    #[serde(default)]
    pub phase: Text,
    /// When it started, in Unix milliseconds; 0 for long ago.
    #[serde(default)]
    pub up_since_ms: u64,
}

impl<Text: AsRef<str>> EndpointEntry<Text> {
    /// Whether the entry says that the worker has left the list.
    pub fn is_removed(&self) -> bool {
        self.phase.as_ref() == REMOVED
    }

    /// What the entry reports.
    pub fn report(&self) -> ListedReport<'_> {
        let address = self.address.as_ref();
        let parsed = address.parse().ok();
        if parsed.is_none() && !self.is_removed() {
            log::warn!("directory: '{address}' is no address");
        }
        ListedReport {
            id: self.id.as_ref(),
            address: parsed,
            // An unknown phase is no invitation to send there.
            status: match self.phase.as_ref() {
                UP => Status::Up,
                DRAINING => Status::Draining,
                _ => Status::Unknown,
            },
            zone: self.zone.as_ref(),
            kind: self.kind.as_ref(),
            cell: self.cell.map(CellId),
            started_at: Clock::from_unix_ms(self.up_since_ms),
        }
    }
}

impl From<&SourceReport> for EndpointEntry {
    fn from(report: &SourceReport) -> Self {
        let address = report.address.map(|address| address.to_string());
        let phase = match report.status {
            Status::Up => UP,
            _ => DRAINING,
        };
        EndpointEntry {
            id: report.id.clone(),
            address: address.unwrap_or_default(),
            zone: report.zone.clone(),
            kind: report.kind.clone(),
            cell: report.cell.map(|cell| cell.0),
            phase: phase.to_owned(),
            up_since_ms: report
                .listed_start
                .or(report.started_at)
                .map_or(0, |started| started.0 / 1000),
        }
    }
}

/// What these entries report.
pub fn to_reports(entries: &[EndpointEntry]) -> Vec<SourceReport> {
    let reports = entries.iter().map(|entry| entry.report().to_report());
    reports.collect()
}

/// The reports of all sources besides discovery and the operator file, by the sources' names: for a successor.
pub fn entries_of_other_sources(members: &Membership) -> BTreeMap<String, Vec<EndpointEntry>> {
    let mut entries = BTreeMap::new();
    for (source, name) in members.source_names() {
        if OWN_SOURCES.contains(&name) {
            continue;
        }
        let reports = members.reports(source).take(MAX_WORKERS);
        entries.insert(name.to_owned(), reports.map(EndpointEntry::from).collect());
    }
    entries
}
