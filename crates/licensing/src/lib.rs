//! Licence seats over all nodes. The [`Ledger`] is what the nodes have agreed on: how many seats of a pool each of them
//! holds; it changes by [`Move`]s, alike at every voter, and knows no clock. The [`Desk`] is what one node grants of its
//! own part, without a message. No input or output; `docs/design/agreement.md` states the guarantees, 8 to 11.
#![forbid(unsafe_code)]
#![warn(missing_docs)]

mod desk;
mod ledger;

pub use desk::{Desk, Licence, NoSeat, Part, Reading};
pub use ledger::{Block, Ebb, Ledger, Move, Pool};
