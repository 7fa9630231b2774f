//! What a source reports of a worker.

use marbledeck_dispatcher::{CellId, Micros};
use serde::{Deserialize, Serialize};
use std::fmt;
use std::net::SocketAddr;

/// A source's report on whether a worker takes new work.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "SCREAMING_SNAKE_CASE")]
pub enum Status {
    /// It does.
    Up,
    /// It finishes what it has.
    Draining,
    /// It was taken out of service.
    OutOfService,
    /// Not yet.
    Starting,
    /// No more.
    Down,
    /// The source cannot tell: nothing is sent there.
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

/// What a source reports of a worker.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct SourceReport {
    /// The worker's id, the same at every source and every node.
    pub id: String,
    /// None where the source gives none that can be used: the worker cannot be sent to.
    pub address: Option<SocketAddr>,
    /// Whether it takes new work.
    pub status: Status,
    /// The name of its zone; empty where it is not reported.
    pub zone: String,
    /// The name of its kind of machine; empty where it is not reported.
    pub kind: String,
    /// Its cell; none where there are none.
    pub cell: Option<CellId>,
    /// When its process last started; none if long ago.
    pub started_at: Option<Micros>,
    /// When its process last started by the clock of a list, where that differs: the machines' clocks may be stepped.
    pub listed_start: Option<Micros>,
    /// Counts up with each change of what the source reports of it, in the source's own way; 0 where it does not count.
    pub version: u64,
}

impl SourceReport {
    /// A report without zone, kind or times. An address that cannot be parsed is left out.
    pub fn new(id: &str, address: &str, status: Status) -> Self {
        SourceReport {
            id: id.to_owned(),
            address: address.parse().ok(),
            status,
            ..SourceReport::default()
        }
    }
}
