//! The records that the nodes have agreed on, as far as this node knows them. The service for consensus keeps them up
//! to date; others read them.

use marbledeck_consensus::wire::ReadResponse;
use marbledeck_consensus::LeasedReader;

/// The latest reading of the records. Empty where consensus is off.
#[derive(Default)]
pub struct AgreedRecords {
    /// What this node may act on; none where consensus is off.
    pub reader: Option<LeasedReader>,
    /// How many readings there were.
    pub readings: u64,
    /// The latest reading.
    pub answer: ReadResponse,
}
