//! Membership of the fleet: merges the reports of several sources and operators into the worker entries of the decision
//! module. Self-preservation protects the fleet against a registry that suddenly lists far fewer workers.
//!
//! The crate does no I/O: callers pass in reports and the time, and get changes back. `docs/design/membership.md`
//! states the precedence rules and what self-preservation guarantees.
//!
//! ```
//! use marbledeck_dispatcher::{Micros, WorkerState};
//! use marbledeck_membership::{Membership, SelfPreservation, SourceReport, Status};
//!
//! let mut membership = Membership::new(vec!["east".into()], vec!["std".into()]);
//! let registry = membership.add_source("eureka", Some(SelfPreservation::default()));
//! let report = |id: &str, status| SourceReport::new(id, "127.0.0.1:8000", status);
//! membership.apply_full_list(Micros(0), registry, vec![report("w1", Status::Up)]);
//! // The registry restarts with an empty list: no worker is removed for that.
//! let change = membership.apply_full_list(Micros(1), registry, vec![]);
//! assert!(change.entries.is_empty());
//! // An explicit report takes effect at once.
//! let change = membership.apply_report(Micros(2), registry, report("w1", Status::OutOfService));
//! assert_eq!(change.entries[0].state, WorkerState::Draining);
//! ```
#![forbid(unsafe_code)]

mod address_claims;
mod change;
mod departures;
mod membership;
mod precedence;
mod publish;
mod record_table;
mod reports;
mod self_preservation;
mod source;
mod source_report;
mod streamed_list;
mod view;

pub use change::MembershipChange;
pub use membership::{Endpoint, Membership};
pub use self_preservation::{HealthEvidence, SelfPreservation};
pub use source::{EntryDigest, SourceId};
pub use source_report::{SourceReport, Status};
pub use streamed_list::ListedReport;
pub use view::{SourceStatus, WorkerView};
