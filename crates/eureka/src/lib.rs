//! A client of Eureka's REST API (as its wiki's page "Eureka REST operations" and its public client describe it), without
//! sockets: [`ResponseReader`] takes the bytes of an answer as they come and gives out instances, [`Poll`] says what to ask
//! and when, and what changes for the membership; [`Lease`] keeps the node's own entry.
//!
//! Nothing that a registry sends makes it panic, and all that it stores is bounded: depth, the length of an instance, the
//! number of instances, the length of an answer.
#![forbid(unsafe_code)]

mod error;
mod instance;
mod instance_json;
mod instance_xml;
mod lease;
mod poll;
mod response;
mod xml_splitter;

pub use error::{MalformedResponse, ResponseError};
pub use instance::{hash_code, DeltaAction, Instance, InstanceStatus, MetadataKeys};
pub use lease::{Lease, LeaseRequest, LeaseSettings};
pub use poll::{Change, FetchKind, Poll, PollRequest, PollSettings};
pub use response::{Encoding, ResponseFormat, ResponseItem, ResponseReader};
