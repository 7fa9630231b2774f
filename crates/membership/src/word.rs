//! What a source says of a worker.

use marbledeck_dispatcher::{CellId, Micros};
use serde::{Deserialize, Serialize};
use std::fmt;
use std::net::SocketAddr;

/// A source's word on whether a worker takes new work.
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
    /// The source cannot tell. No invitation to send there.
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

/// What a source says of a worker.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Word {
    /// The same at every source and every node.
    pub id: String,
    /// None where the source gives none that can be used: it cannot be sent to.
    pub addr: Option<SocketAddr>,
    pub status: Status,
    pub zone: String,
    pub kind: String,
    /// Its small group; none where there are none.
    pub cell: Option<CellId>,
    /// When its process last started; none if long ago.
    pub started: Option<Micros>,
    /// Counts up with each change of what the source says of it, in the source's own way; 0 where it does not count.
    pub dirty: u64,
}

impl Word {
    /// A word without zone, kind or times. An address that is none is left out.
    pub fn new(id: &str, addr: &str, status: Status) -> Self {
        Word {
            id: id.to_owned(),
            addr: addr.parse().ok(),
            status,
            ..Word::default()
        }
    }
}
