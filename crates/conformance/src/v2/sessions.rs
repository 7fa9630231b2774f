//! Clauses of chapter 7: the session manager.

use super::support::{
    clause, control, create_session, expect_error, has_capability, release, wait_until_done,
};
use crate::{Clause, Outcome, World};
use marbledeck_submission_client::{Client, ErrorId, JobState, Operation, Settings};

/// The clauses of these sections, in their order.
pub(super) fn clauses() -> Vec<Clause> {
    vec![
        clause(
            "GFD.231, 7.1",
            "A session is created by name; the same name again is INVALID_ARGUMENT",
            session_name_is_unique,
        ),
        clause(
            "GFD.231, 7.1",
            "A session can be opened again, also after the connection that made it has ended",
            session_outlives_its_connection,
        ),
        clause(
            "GFD.231, 7.1",
            "A session that does not exist cannot be opened",
            unknown_session_is_not_opened,
        ),
        clause(
            "GFD.231, 7.1",
            "A closed session can be opened again; closing one that is not open is INVALID_SESSION",
            closed_session_is_opened_again,
        ),
        clause(
            "GFD.231, 7.1",
            "A destroyed session is gone; its jobs go on",
            jobs_outlive_their_session,
        ),
        clause(
            "GFD.231, 7.1",
            "The names of the sessions can be listed",
            sessions_are_listed,
        ),
        clause(
            "GFD.231, 7.1",
            "The system tells its name and version",
            system_has_name_and_version,
        ),
        clause(
            "GFD.231, 7.1",
            "Sessions for reservations",
            reservation_sessions_are_absent,
        ),
    ]
}

fn session_name_is_unique(world: &World) -> Outcome {
    create_session(world, "c1");
    let again = world.client.request(Operation::CreateSession {
        name: "c1".to_owned(),
    });
    assert_eq!(expect_error(again), ErrorId::InvalidArgument);
    Outcome::Holds
}

fn session_outlives_its_connection(world: &World) -> Outcome {
    let first = Client::new(Settings::new(world.environment.submission_address.clone()));
    first
        .request(Operation::CreateSession {
            name: "c2".to_owned(),
        })
        .unwrap();
    first.close();
    world
        .client
        .request(Operation::OpenSession {
            name: "c2".to_owned(),
            since: None,
        })
        .unwrap();
    Outcome::Holds
}

fn unknown_session_is_not_opened(world: &World) -> Outcome {
    let response = world.client.request(Operation::OpenSession {
        name: "none".to_owned(),
        since: None,
    });
    assert_eq!(expect_error(response), ErrorId::InvalidSession);
    Outcome::Holds
}

fn closed_session_is_opened_again(world: &World) -> Outcome {
    create_session(world, "c3");
    let name = || "c3".to_owned();
    world
        .client
        .request(Operation::CloseSession { name: name() })
        .unwrap();
    assert_eq!(
        expect_error(
            world
                .client
                .request(Operation::CloseSession { name: name() })
        ),
        ErrorId::InvalidSession
    );
    world
        .client
        .request(Operation::OpenSession {
            name: name(),
            since: None,
        })
        .unwrap();
    Outcome::Holds
}

fn jobs_outlive_their_session(world: &World) -> Outcome {
    create_session(world, "c4");
    let job = world.submit_held_job("/x", Some("c4"));
    world.client.destroy_session("c4").unwrap();
    assert_eq!(
        expect_error(world.client.destroy_session("c4")),
        ErrorId::InvalidSession
    );
    control(world, release, &job).unwrap();
    assert_eq!(wait_until_done(world, &job).job_state, JobState::Done);
    Outcome::Holds
}

fn sessions_are_listed(world: &World) -> Outcome {
    create_session(world, "c5");
    assert!(world.client.sessions().unwrap().contains(&"c5".to_owned()));
    Outcome::Holds
}

fn system_has_name_and_version(world: &World) -> Outcome {
    let info = world.client.request(Operation::GetDrmsInfo).unwrap();
    assert_eq!(info["drmsName"], "marbledeck");
    assert!(info["drmsVersion"].is_string());
    Outcome::Holds
}

fn reservation_sessions_are_absent(world: &World) -> Outcome {
    assert!(!has_capability(world, "ADVANCE_RESERVATION"));
    assert_eq!(
        expect_error(world.client.request(Operation::GetAllReservations)),
        ErrorId::UnsupportedOperation
    );
    Outcome::NotApplicable
}
