//! The records that the nodes have agreed on, as this node knows them. The consensus service updates them, and other
//! services read them.

use marbledeck_consensus::wire::ReadResponse;
use marbledeck_consensus::LeasedReader;

/// The agreed records and the latest response of a voter. Empty where consensus is off.
#[derive(Default)]
pub struct AgreedRecords {
    /// Tells which records the node may act on now; `None` where consensus is off.
    pub reader: Option<LeasedReader>,
    /// Number of reads that were answered.
    pub read_count: u64,
    /// The latest response of a voter.
    pub response: ReadResponse,
}
