//! Licence seats over all nodes of a fleet.
//!
//! The [`Ledger`] is the part of the replicated state that records how many seats of each pool every node holds. Every voter
//! applies the same [`LedgerCommand`]s to it with the same result, since it reads no clock. Each node has a
//! [`SeatAllocator`], which grants that node's seats to attempts without sending a message.
//!
//! The crate does no input or output. `docs/design/agreement.md` states its guarantees, 8 to 11.
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
