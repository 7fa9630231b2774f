//! The commands that change the ledger.

use serde::{Deserialize, Serialize};

/// A change of who holds which seats. A node's commands apply only to the seats of its own incarnation. The leader reclaims
/// the seats of dead nodes.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename = "Move")]
pub enum LedgerCommand {
    /// The node requests more seats. It is granted as many of them as are available to the tenant.
    #[serde(rename = "Want")]
    Request {
        /// The pool.
        pool: String,
        /// The tenant whose attempts need them.
        tenant: String,
        /// How many more seats.
        seats: u32,
    },
    /// The node returns seats that none of its attempts uses.
    Return {
        /// The pool.
        pool: String,
        /// The tenant that the seats were held for.
        tenant: String,
        /// How many.
        seats: u32,
    },
    /// All seats of an incarnation of a node begin to drain, since it is dead or was restarted.
    Reclaim {
        /// Number of the node.
        node: u32,
        /// The incarnation.
        #[serde(rename = "boot")]
        incarnation: u64,
    },
    /// A draining lease ends, since none of its seats can be in use any more.
    #[serde(rename = "Free")]
    FreeDrained {
        /// The pool.
        pool: String,
        /// Number of the draining lease in its pool.
        #[serde(rename = "ebb")]
        draining_id: u64,
    },
}
