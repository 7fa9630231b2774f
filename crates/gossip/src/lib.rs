//! Gossip between the nodes of one deployment about their attempts in flight at each worker, so that a node that is
//! about to send an attempt knows of those that other nodes have just sent. The crate does no input or output and reads
//! no clock: the caller passes in datagrams and the time, and sends the datagrams that it takes out.
//!
//! Each worker has one *owner* among the nodes, which every node computes by itself ([`owner_of`]). A node sends its
//! count for a worker to the owner whenever it changes, and queries the owner before it sends an attempt. Nothing else
//! is shared. The counts are hints only: if datagrams are lost, late or forged, a worker appears to have more or
//! fewer attempts in flight than it has, until the counts expire. The rules of the deployment do not depend on them.
#![forbid(unsafe_code)]

mod in_flight;
pub mod message;
mod pending_queries;

pub use in_flight::{
    InFlightGossip, LoadAnswer, QueryOutcome, EXPIRY, MAX_OWNED_WORKERS, REFRESH_INTERVAL,
};
pub use pending_queries::PendingQueries;

use marbledeck_dispatcher::WorkerId;

/// The short id of a worker in messages. Workers with the same short id share a count.
pub fn short_id(worker: WorkerId) -> u32 {
    (worker.0 ^ worker.0 >> 32) as u32
}

/// The position of the node that owns the count of the worker with this short id: the node whose hash with the short id
/// is the greatest (rendezvous hashing, Thaler and Ravishankar 1998). Zero if `nodes` is zero.
pub fn owner_of(worker: u32, nodes: usize) -> usize {
    let weight = |node: &usize| splitmix64_finalizer(u64::from(worker) << 32 | *node as u64);
    (0..nodes).max_by_key(weight).unwrap_or(0)
}

/// The finalizer of SplitMix64 (Steele, Lea and Flood 2014): each output bit depends on all input bits.
fn splitmix64_finalizer(x: u64) -> u64 {
    let x = (x ^ x >> 30).wrapping_mul(0xBF58_476D_1CE4_E5B9);
    let x = (x ^ x >> 27).wrapping_mul(0x94D0_49BB_1331_11EB);
    x ^ x >> 31
}
