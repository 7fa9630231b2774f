//! Clauses of section 5.9: the attributes that the implementation supports.

use super::support::clause;
use crate::{Clause, Fixture, Outcome};
use marbledeck_submission_client::Operation;

/// The clauses of this module, in the order of their sections.
pub(super) fn clauses() -> Vec<Clause> {
    vec![clause(
        "GFD.231, 5.9",
        "Supported and unsupported attributes can be queried",
        attributes_are_listed,
    )]
}

fn attributes_are_listed(fixture: &Fixture) -> Outcome {
    let response = fixture.client.request(Operation::GetCapabilities).unwrap();
    let list = |name: &str| response[name].as_array().unwrap().clone();
    assert!(list("jobTemplateAttributes").contains(&"remoteCommand".into()));
    assert!(list("unsupportedAttributes").contains(&"email".into()));
    assert!(list("jobInfoAttributes").contains(&"jobId".into()));
    Outcome::Holds
}
