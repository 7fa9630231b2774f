//! A client of Eureka's REST API without I/O. It follows the page "Eureka REST operations" of Eureka's wiki and the
//! behavior of Eureka's public client.
//!
//! - [`ResponseReader`] parses the bytes of a response as they arrive and returns its instances.
//! - [`Poll`] decides when to send which request, and turns the responses into changes of the membership.
//! - [`Lease`] registers the node's own instance, renews its lease and cancels it.
//!
//! No input from a registry causes a panic, and memory use is bounded: the nesting depth, the length of an instance,
//! the number of instances and the length of a response all have limits.
#![forbid(unsafe_code)]

mod error;
mod instance;
mod instance_json;
mod instance_table;
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
