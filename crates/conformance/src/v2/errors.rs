//! Clauses of chapter 6: the error codes.

use super::support::{clause, expect_error};
use crate::{Clause, Fixture, Outcome};
use marbledeck_submission_client::{ErrorId, IndexRange, Operation};

/// The clauses of this module, in the order of their sections.
pub(super) fn clauses() -> Vec<Clause> {
    vec![
        clause(
            "GFD.231, 6",
            "An invalid argument returns INVALID_ARGUMENT with the name of the argument",
            unknown_argument_is_named,
        ),
        clause(
            "GFD.231, 6",
            "A request that cannot be served at the moment returns TRY_LATER",
            exhausted_sessions_are_try_later,
        ),
        clause(
            "GFD.231, 6",
            "A bulk job above the size limit returns INVALID_ARGUMENT with the limit",
            oversized_bulk_names_the_limit,
        ),
    ]
}

fn unknown_argument_is_named(fixture: &Fixture) -> Outcome {
    let mut template = fixture.preview_template("/x");
    template.others.insert("colour".to_owned(), "red".into());
    let response = fixture.client.run_job(template, None);
    assert!(response
        .as_ref()
        .unwrap_err()
        .to_string()
        .contains("colour"));
    assert_eq!(expect_error(response), ErrorId::InvalidArgument);
    Outcome::Holds
}

fn exhausted_sessions_are_try_later(fixture: &Fixture) -> Outcome {
    // Creates sessions until the limit of sessions per submitter is exceeded.
    let create = |index: usize| {
        fixture.client.request(Operation::CreateSession {
            name: format!("many-{index}"),
        })
    };
    let rejected = (0..100)
        .map(|index| (index, create(index)))
        .find(|(_, response)| response.is_err());
    let (created_count, response) = rejected.expect("the number of sessions is limited");
    let retry_after_ms = response
        .as_ref()
        .unwrap_err()
        .problem()
        .and_then(|problem| problem.retry_after_ms);
    (0..created_count).for_each(|n| {
        fixture
            .client
            .destroy_session(&format!("many-{n}"))
            .unwrap();
    });
    assert_eq!(expect_error(response), ErrorId::TryLater);
    assert!(created_count > 0 && retry_after_ms.is_some_and(|ms| ms > 0));
    Outcome::Holds
}

fn oversized_bulk_names_the_limit(fixture: &Fixture) -> Outcome {
    let oversized = fixture.client.run_bulk(
        fixture.preview_template("/x"),
        IndexRange::new(1, 1_000_000, 1),
        None,
        None,
    );
    assert!(oversized
        .as_ref()
        .unwrap_err()
        .to_string()
        .contains("at most"));
    assert_eq!(expect_error(oversized), ErrorId::InvalidArgument);
    Outcome::Holds
}
