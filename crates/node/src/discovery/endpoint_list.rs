//! The endpoint list in discovery's format, and its conversion from and to membership reports.

use super::MAX_WORKERS;
use crate::clock::Clock;
use marbledeck_dispatcher::CellId;
use marbledeck_membership::{ListedReport, Membership, SourceId, SourceReport, Status};
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;

/// The phase of a worker that has left the list.
const REMOVED: &str = "removed";
/// The phase of a worker that takes requests.
const UP: &str = "up";
/// The phase of a worker that only finishes its current requests.
const DRAINING: &str = "draining";
/// The sources whose reports are not handed over by [`entries_of_other_sources`]: a successor reads the static workers
/// itself, and gets the directory's list as part of the discovery state.
const SOURCES_NOT_HANDED_OVER: [&str; 2] = ["directory", "static"];

/// A complete list, or the part of it that has changed.
#[derive(Clone, Debug, Default, Deserialize, Serialize)]
#[serde(rename = "Listing")]
pub struct EndpointList {
    /// The revision of the list, which grows with each change.
    pub revision: u64,
    /// Whether this is the complete list.
    #[serde(default)]
    pub complete: bool,
    /// The workers.
    #[serde(default, rename = "members")]
    pub endpoints: Vec<EndpointEntry>,
}

/// A worker's entry in a list. Its strings may be borrowed from the list's text.
#[derive(Clone, Debug, Deserialize, Serialize)]
#[serde(rename = "Member")]
pub struct EndpointEntry<Text = String> {
    /// The worker's id.
    pub id: Text,
    /// Its IP address and port.
    #[serde(rename = "host_port")]
    pub address: Text,
    /// The name of its zone.
    #[serde(default, rename = "locality")]
    pub zone: Text,
    /// The name of its kind of machine.
    #[serde(default, rename = "flavor")]
    pub kind: Text,
    /// Its cell.
    #[serde(default)]
    pub cell: Option<u32>,
    /// Whether it takes requests: `up`, `draining` or `removed`.
    #[serde(default)]
    pub phase: Text,
    /// When its process last started, in Unix milliseconds; 0 if long ago.
    #[serde(default)]
    pub up_since_ms: u64,
}

impl<Text: AsRef<str>> EndpointEntry<Text> {
    /// Whether the entry says that the worker has left the list.
    pub fn is_removed(&self) -> bool {
        self.phase.as_ref() == REMOVED
    }

    /// Converts the entry to a report.
    pub fn report(&self) -> ListedReport<'_> {
        let address = self.address.as_ref();
        let parsed = address.parse().ok();
        if parsed.is_none() && !self.is_removed() {
            log::warn!(
                "discovery: '{address}' is not an IP address and port; the entry counts without an address"
            );
        }
        ListedReport {
            id: self.id.as_ref(),
            address: parsed,
            // A worker in an unknown phase gets no requests.
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

impl EndpointEntry {
    /// An entry that says that the worker with this id has left the list.
    pub fn removed(id: &str) -> Self {
        EndpointEntry {
            id: id.to_owned(),
            address: String::new(),
            zone: String::new(),
            kind: String::new(),
            cell: None,
            phase: REMOVED.to_owned(),
            up_since_ms: 0,
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

/// Converts the entries of listed workers to reports.
pub fn to_reports(entries: &[EndpointEntry]) -> Vec<SourceReport> {
    let listed = entries.iter().filter(|entry| !entry.is_removed());
    listed.map(|entry| entry.report().to_report()).collect()
}

/// The ids of the workers that have left the list.
pub fn removed_ids(entries: &[EndpointEntry]) -> impl Iterator<Item = &str> {
    let removed = entries.iter().filter(|entry| entry.is_removed());
    removed.map(|entry| entry.id.as_str()).take(MAX_WORKERS)
}

/// The entries of the workers that a source reports, and then of those that it has told to be gone.
pub fn entries_of_source(members: &Membership, source: SourceId) -> Vec<EndpointEntry> {
    let reports = members.reports(source).take(MAX_WORKERS);
    let listed = reports.map(EndpointEntry::from);
    let removed = members.departed(source).map(EndpointEntry::removed);
    listed.chain(removed).collect()
}

/// The entries of all sources except discovery and the static workers, by source name, for a successor process.
pub fn entries_of_other_sources(members: &Membership) -> BTreeMap<String, Vec<EndpointEntry>> {
    let mut entries = BTreeMap::new();
    for (source, name) in members.source_names() {
        if SOURCES_NOT_HANDED_OVER.contains(&name) {
            continue;
        }
        entries.insert(name.to_owned(), entries_of_source(members, source));
    }
    entries
}
