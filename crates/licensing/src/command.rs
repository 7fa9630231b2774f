//! The commands that change the ledger.

use serde::{Deserialize, Serialize};

/// A change of who holds which seats. A node commands its own incarnation's seats only; the seats of nodes that are gone
/// are left to the leader.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename = "Move")]
pub enum LedgerCommand {
    /// The node requests more seats, and is given as many of them as the pool can spare.
    #[serde(rename = "Want")]
    Request {
        /// The pool.
        pool: String,
        /// The tenant whose attempts need them.
        tenant: String,
        /// How many more.
        seats: u32,
    },
    /// The node returns seats that none of its attempts uses.
    Return {
        /// The pool.
        pool: String,
        /// The tenant that they were held for.
        tenant: String,
        /// How many.
        seats: u32,
    },
    /// All seats of an incarnation of a node begin to drain: it is dead, or was restarted.
    Reclaim {
        /// Number of the node.
        node: u32,
        /// The incarnation.
        #[serde(rename = "boot")]
        incarnation: u64,
    },
    /// A draining lease ends: none of its seats can be in use any more.
    #[serde(rename = "Free")]
    FreeDrained {
        /// The pool.
        pool: String,
        /// Number of the draining lease in its pool.
        #[serde(rename = "ebb")]
        draining_id: u64,
    },
}
