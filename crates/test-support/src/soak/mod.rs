//! Building blocks of seeded soak tests: random numbers, a meter of the machine's stalls, clients that judge each
//! request by the platform's rules, and a submitter of batch jobs.

mod audit;
mod client;
mod connection;
mod job_plan;
mod random;
mod seeds;
mod stall_meter;
mod submitter;

pub use audit::{Audit, NodeState, Outcome};
pub use client::{ClientKind, SoakClient};
pub use connection::{JobAnswer, JobConnection, JobRequest, ReceiveError};
pub use job_plan::{job_class, planned_behaviour, JobClass};
pub use random::Random;
pub use seeds::run_seeds;
pub use stall_meter::StallMeter;
pub use submitter::Submitter;
