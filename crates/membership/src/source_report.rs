//! A source's report on a worker.

use marbledeck_dispatcher::{CellId, Micros};
use serde::{Deserialize, Serialize};
use std::fmt;
use std::net::SocketAddr;

/// The reported status of a worker, which tells whether it takes new requests.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "SCREAMING_SNAKE_CASE")]
pub enum Status {
    /// It takes new requests.
    Up,
    /// It only finishes its current requests.
    Draining,
    /// It was taken out of service at the source.
    OutOfService,
    /// It does not take requests yet.
    Starting,
    /// It no longer takes requests.
    Down,
    /// The source does not know; the worker gets no requests.
    #[default]
    Unknown,
}

impl fmt::Display for Status {
    fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
        f.write_str(match self {
            Status::Up => "up",
            Status::Draining => "draining",
            Status::OutOfService => "out of service",
            Status::Starting => "starting",
            Status::Down => "down",
            Status::Unknown => "unknown",
        })
    }
}

/// A source's report on a worker.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct SourceReport {
    /// The worker's id, the same at every source and every node.
    pub id: String,
    /// Its address; none if the source gives no usable one. A worker that has an address from no source gets no
    /// requests.
    pub address: Option<SocketAddr>,
    /// Whether it takes new requests.
    pub status: Status,
    /// The name of its zone; empty if it is not reported.
    pub zone: String,
    /// The name of its kind of machine; empty if it is not reported.
    pub kind: String,
    /// Its cell; none if it is not reported.
    pub cell: Option<CellId>,
    /// When its process last started; none if long ago.
    pub started_at: Option<Micros>,
    /// When its process last started by the clock of the list's source; kept apart from `started_at`, since the clocks
    /// of two machines may differ.
    pub listed_start: Option<Micros>,
    /// The source's version of the report, which grows with each change; 0 if the source has no versions.
    pub version: u64,
}

impl SourceReport {
    /// Creates a report without zone, kind or start time. An address that cannot be parsed is left out.
    pub fn new(id: &str, address: &str, status: Status) -> Self {
        SourceReport {
            id: id.to_owned(),
            address: address.parse().ok(),
            status,
            ..SourceReport::default()
        }
    }
}
