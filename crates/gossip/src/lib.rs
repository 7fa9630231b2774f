//! Gossip between the nodes of one deployment: how many attempts each has in flight at a worker, so that a node that is
//! about to send knows of those that the others sent a moment ago. No input or output, and no clock: datagrams and the
//! time come in, datagrams go out.
//!
//! Each worker has one *owner* among the nodes, the same to all without any message ([`owner_of`]). A node sends the owner
//! its count for that worker whenever it changes, and queries the owner before it sends an attempt. Nothing else is
//! shared, and all of it is a hint: where datagrams are lost, late or forged, a worker seems fuller or emptier than it
//! is, until the counts have expired. No rule of the deployment rests on it.
#![forbid(unsafe_code)]

mod in_flight;
pub mod message;
mod pending_queries;

pub use in_flight::{
    InFlightGossip, LoadAnswer, QueryOutcome, EXPIRY, MAX_OWNED_WORKERS, REFRESH_INTERVAL,
};
pub use pending_queries::PendingQueries;

use marbledeck_dispatcher::WorkerId;

/// The short id of a worker in messages. Two workers of one short id would share a count.
pub fn short_id(worker: WorkerId) -> u32 {
    (worker.0 ^ worker.0 >> 32) as u32
}

/// The position of the node, of so many, that owns the count of the worker of this short id: the one whose hash with it
/// is the greatest (rendezvous hashing, Thaler and Ravishankar 1998). Zero where there are none.
pub fn owner_of(worker: u32, nodes: usize) -> usize {
    let weight = |node: &usize| mix(u64::from(worker) << 32 | *node as u64);
    (0..nodes).max_by_key(weight).unwrap_or(0)
}

/// The finalizer of SplitMix64 (Steele, Lea and Flood 2014): all bits depend on all bits.
fn mix(x: u64) -> u64 {
    let x = (x ^ x >> 30).wrapping_mul(0xBF58_476D_1CE4_E5B9);
    let x = (x ^ x >> 27).wrapping_mul(0x94D0_49BB_1331_11EB);
    x ^ x >> 31
}
