//! A client of Eureka's REST API (as its wiki's page "Eureka REST operations" and its public client describe it), without
//! sockets: [`Reader`] takes the bytes of an answer as they come and gives out instances, [`Poll`] says what to ask and
//! when, and what the fleet's membership is to be told.
//!
//! Nothing that a registry says makes it panic, and all that it holds is bounded: depth, the length of an instance, the
//! number of instances, the length of an answer.
#![forbid(unsafe_code)]

mod instance;
mod json;
mod lease;
mod poll;
mod read;
mod xml;

pub use instance::{hash_code, Action, Instance, InstanceStatus, Keys};
pub use lease::{Lease, LeaseAsk, LeaseSettings};
pub use poll::{Ask, Change, Poll, Settings, What};
pub use read::{Encoding, Fault, Form, Item, Reader};
