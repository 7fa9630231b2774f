//! What the nodes of one tier tell each other: how many calls each has out to a worker, so that a node that is about to
//! send knows of those that the others sent a moment ago. No input or output, and no clock: datagrams and the time come
//! in, datagrams go out.
//!
//! Each worker has one *keeper* among the nodes, the same to all without a word ([`keeper`]). A node tells the keeper the
//! number of its calls there whenever that changes, and asks it before it sends. Nothing else is shared, and all of it is
//! a hint: where messages are lost, late or forged a worker seems fuller or emptier than it is, until what was said has
//! expired. No rule of the deployment rests on it.

mod ledger;
pub mod message;
mod questions;

pub use ledger::{Asked, Peers, Told, EXPIRES, MOST_WORKERS, REFRESH};
pub use questions::Questions;

use marbledeck_dispatcher::WorkerId;

/// The short name of a worker in messages. Two workers of one short name would share a count.
pub fn short(worker: WorkerId) -> u32 {
    (worker.0 ^ worker.0 >> 32) as u32
}

/// The node, of so many, that keeps the count of this worker: the one whose hash with it is the greatest (rendezvous
/// hashing, Thaler and Ravishankar 1998). Zero where there are none.
pub fn keeper(worker: u32, nodes: usize) -> usize {
    let weight = |node: &usize| mix(u64::from(worker) << 32 | *node as u64);
    (0..nodes).max_by_key(weight).unwrap_or(0)
}

/// The finalizer of SplitMix64 (Steele, Lea and Flood 2014): all bits depend on all bits.
fn mix(x: u64) -> u64 {
    let x = (x ^ x >> 30).wrapping_mul(0xBF58_476D_1CE4_E5B9);
    let x = (x ^ x >> 27).wrapping_mul(0x94D0_49BB_1331_11EB);
    x ^ x >> 31
}
