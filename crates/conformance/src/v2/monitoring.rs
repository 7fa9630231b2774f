//! Clauses of chapter 10: the monitoring session.

use super::support::{clause, create_session, expect_error, has_capability};
use crate::{Clause, Fixture, Outcome};
use marbledeck_submission_client::{ErrorId, Filter, JobState, Operation};

/// The clauses of this module, in the order of their sections.
pub(super) fn clauses() -> Vec<Clause> {
    vec![
        clause(
            "GFD.231, 10.1",
            "Monitoring lists the jobs of all sessions",
            monitoring_shows_all_sessions,
        ),
        clause(
            "GFD.231, 10.1",
            "Monitoring lists all queues, or the queues with the given names",
            monitoring_shows_queues,
        ),
        clause(
            "GFD.231, 10.1",
            "Monitoring lists all machines, or the machines with the given names, and shows which accept no jobs",
            monitoring_shows_machines,
        ),
        clause(
            "GFD.231, 10.1",
            "Monitoring lists reservations",
            monitoring_has_no_reservations,
        ),
    ]
}

fn monitoring_shows_all_sessions(fixture: &Fixture) -> Outcome {
    create_session(fixture, "c12");
    let (own, other) = (
        fixture.submit_held_job("/x", Some("c12")),
        fixture.submit_held_job("/x", None),
    );
    let mut found = Vec::new();
    let states = Some(vec![JobState::QueuedHeld]);
    let filter = Filter {
        job_states: states,
        ..Filter::default()
    };
    fixture
        .client
        .list_jobs(None, &filter, |info| found.push(info.job_id))
        .unwrap();
    assert!(found.contains(&own) && found.contains(&other));
    Outcome::Holds
}

fn monitoring_shows_queues(fixture: &Fixture) -> Outcome {
    let names = Some(vec!["preview".to_owned(), "none".to_owned()]);
    let response = fixture
        .client
        .request(Operation::GetAllQueues { names })
        .unwrap();
    assert_eq!(response["queues"].as_array().unwrap().len(), 1);
    Outcome::Holds
}

fn monitoring_shows_machines(fixture: &Fixture) -> Outcome {
    let names = Some(vec!["w2".to_owned()]);
    let response = fixture
        .client
        .request(Operation::GetAllMachines { names })
        .unwrap();
    assert_eq!(response["machines"].as_array().unwrap().len(), 1);
    assert_eq!(
        fixture.environment.call_admin("set-down w3").as_deref(),
        Some("ACK w3 out")
    );
    let machine = fixture
        .client
        .machines()
        .unwrap()
        .into_iter()
        .find(|machine| machine.name == "w3")
        .unwrap();
    fixture.environment.call_admin("set-up w3");
    assert!(!machine.available && machine.state == "out");
    Outcome::Holds
}

fn monitoring_has_no_reservations(fixture: &Fixture) -> Outcome {
    assert!(!has_capability(fixture, "ADVANCE_RESERVATION"));
    assert_eq!(
        expect_error(fixture.client.request(Operation::GetAllReservations)),
        ErrorId::UnsupportedOperation
    );
    Outcome::NotApplicable
}
