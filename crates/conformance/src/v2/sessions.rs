//! Clauses of chapter 7: the session manager.

use super::support::{
    clause, control, create_session, expect_error, has_capability, release, wait_until_ended,
};
use crate::{Clause, Fixture, Outcome};
use marbledeck_submission_client::{Client, ErrorId, JobState, Operation, Settings};

/// The clauses of this module, in the order of their sections.
pub(super) fn clauses() -> Vec<Clause> {
    vec![
        clause(
            "GFD.231, 7.1",
            "A session is created by name; a name that is in use returns INVALID_ARGUMENT",
            session_name_is_unique,
        ),
        clause(
            "GFD.231, 7.1",
            "A session can be opened again, also after the connection that created it has closed",
            session_outlives_its_connection,
        ),
        clause(
            "GFD.231, 7.1",
            "A session that does not exist cannot be opened",
            unknown_session_is_not_opened,
        ),
        clause(
            "GFD.231, 7.1",
            "A closed session can be opened again; closing a session that is not open returns INVALID_SESSION",
            closed_session_is_opened_again,
        ),
        clause(
            "GFD.231, 7.1",
            "A destroyed session no longer exists; its jobs continue",
            jobs_outlive_their_session,
        ),
        clause(
            "GFD.231, 7.1",
            "The session names can be listed",
            sessions_are_listed,
        ),
        clause(
            "GFD.231, 7.1",
            "The name and the version of the DRM system can be queried",
            system_has_name_and_version,
        ),
        clause(
            "GFD.231, 7.1",
            "Reservation sessions",
            reservation_sessions_are_absent,
        ),
    ]
}

fn session_name_is_unique(fixture: &Fixture) -> Outcome {
    create_session(fixture, "c1");
    let again = fixture.client.request(Operation::CreateSession {
        name: "c1".to_owned(),
    });
    assert_eq!(expect_error(again), ErrorId::InvalidArgument);
    Outcome::Holds
}

fn session_outlives_its_connection(fixture: &Fixture) -> Outcome {
    let first = Client::new(Settings::new(
        fixture.environment.submission_address.clone(),
    ));
    first
        .request(Operation::CreateSession {
            name: "c2".to_owned(),
        })
        .unwrap();
    first.close();
    fixture
        .client
        .request(Operation::OpenSession {
            name: "c2".to_owned(),
            since: None,
        })
        .unwrap();
    Outcome::Holds
}

fn unknown_session_is_not_opened(fixture: &Fixture) -> Outcome {
    let response = fixture.client.request(Operation::OpenSession {
        name: "none".to_owned(),
        since: None,
    });
    assert_eq!(expect_error(response), ErrorId::InvalidSession);
    Outcome::Holds
}

fn closed_session_is_opened_again(fixture: &Fixture) -> Outcome {
    create_session(fixture, "c3");
    let name = || "c3".to_owned();
    fixture
        .client
        .request(Operation::CloseSession { name: name() })
        .unwrap();
    assert_eq!(
        expect_error(
            fixture
                .client
                .request(Operation::CloseSession { name: name() })
        ),
        ErrorId::InvalidSession
    );
    fixture
        .client
        .request(Operation::OpenSession {
            name: name(),
            since: None,
        })
        .unwrap();
    Outcome::Holds
}

fn jobs_outlive_their_session(fixture: &Fixture) -> Outcome {
    create_session(fixture, "c4");
    let job = fixture.submit_held_job("/x", Some("c4"));
    fixture.client.destroy_session("c4").unwrap();
    assert_eq!(
        expect_error(fixture.client.destroy_session("c4")),
        ErrorId::InvalidSession
    );
    control(fixture, release, &job).unwrap();
    assert_eq!(wait_until_ended(fixture, &job).job_state, JobState::Done);
    Outcome::Holds
}

fn sessions_are_listed(fixture: &Fixture) -> Outcome {
    create_session(fixture, "c5");
    assert!(fixture
        .client
        .sessions()
        .unwrap()
        .contains(&"c5".to_owned()));
    Outcome::Holds
}

fn system_has_name_and_version(fixture: &Fixture) -> Outcome {
    let info = fixture.client.request(Operation::GetDrmsInfo).unwrap();
    assert_eq!(info["drmsName"], "marbledeck");
    assert!(info["drmsVersion"].is_string());
    Outcome::Holds
}

fn reservation_sessions_are_absent(fixture: &Fixture) -> Outcome {
    assert!(!has_capability(fixture, "ADVANCE_RESERVATION"));
    assert_eq!(
        expect_error(fixture.client.request(Operation::GetAllReservations)),
        ErrorId::UnsupportedOperation
    );
    Outcome::NotApplicable
}
