//! Licence seats over all nodes of a fleet.
//!
//! The [`Ledger`] is the part of the replicated state that says how many seats of each pool every node holds. It is
//! changed by [`LedgerCommand`]s in the same way at every voter, and reads no clock. A [`SeatAllocator`], one at each
//! node, grants that node's seats to attempts without a message.
//!
//! No input or output. `docs/design/agreement.md` states the guarantees, 8 to 11.
#![forbid(unsafe_code)]

mod allocator;
mod command;
mod error;
mod ledger;
mod pool;
mod pool_leases;
mod tenant_seats;

pub use allocator::{
    ConfirmedSeats, LicenceId, NumberedCommand, SeatAllocation, SeatAllocator, SeatUsage,
};
pub use command::LedgerCommand;
pub use error::SeatError;
pub use ledger::{DrainingSeats, HeldSeats, Holder, Ledger};
pub use pool::Pool;
pub use pool_leases::{DrainingLease, SeatLease};
