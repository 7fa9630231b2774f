//! Clauses of GFD.231 (DRMAA v2), tested over the submission protocol. Each module covers a part of the specification.

mod capabilities;
mod data_types;
mod errors;
mod job_arrays;
mod job_requirements;
mod job_sessions;
mod job_states;
mod job_templates;
mod jobs;
mod monitoring;
mod notifications;
mod reservations;
mod sessions;
mod support;

use crate::Clause;

/// All clauses of GFD.231, in the order of their sections.
pub(crate) fn clauses() -> Vec<Clause> {
    let parts = [
        data_types::clauses(),
        job_templates::clauses(),
        job_requirements::clauses(),
        capabilities::clauses(),
        errors::clauses(),
        sessions::clauses(),
        job_states::clauses(),
        job_sessions::clauses(),
        notifications::clauses(),
        jobs::clauses(),
        job_arrays::clauses(),
        reservations::clauses(),
        monitoring::clauses(),
    ];
    parts.into_iter().flatten().collect()
}
