//! Clauses of section 8.4: control of single jobs, and waits for them.

use super::support::{
    clause, control, expect_error, has_capability, hold, job_state, reap, release, resume,
    submit_bulk, suspend, terminate, SubmittedBulk,
};
use crate::{Clause, Fixture, Outcome, WAIT_TIMEOUT};
use marbledeck_submission_client::{Client, ErrorId, JobState, Settings};
use std::time::Duration;

/// The clauses of this module, in the order of their sections.
#[expect(clippy::too_many_lines, reason = "a flat table of clauses")]
pub(super) fn clauses() -> Vec<Clause> {
    vec![
        clause(
            "GFD.231, 8.4",
            "suspend stops a running job until resume",
            suspend_is_not_supported,
        ),
        clause(
            "GFD.231, 8.4",
            "suspend of a job that is not running returns INVALID_STATE",
            suspend_needs_a_running_job,
        ),
        clause(
            "GFD.231, 8.4",
            "resume of a job that is not suspended returns INVALID_STATE",
            resume_needs_a_suspended_job,
        ),
        clause(
            "GFD.231, 8.4",
            "hold prevents a queued job from running",
            hold_keeps_a_queued_job,
        ),
        clause(
            "GFD.231, 8.4",
            "hold of a job that is on a machine or on hold returns INVALID_STATE",
            hold_needs_a_queued_job,
        ),
        clause(
            "GFD.231, 8.4",
            "release of a job that is not on hold returns INVALID_STATE",
            release_needs_a_held_job,
        ),
        clause(
            "GFD.231, 8.4",
            "terminate ends a job in any state that is not final",
            terminate_ends_unfinished_jobs,
        ),
        clause(
            "GFD.231, 8.4",
            "reap of a job that has not ended returns INVALID_STATE",
            reap_needs_an_ended_job,
        ),
        clause(
            "GFD.231, 8.4",
            "The job state can be queried at any time",
            state_is_readable,
        ),
        clause(
            "GFD.231, 8.4",
            "waitStarted returns when the job starts, and immediately if the job has ended",
            wait_started_returns_for_ended_jobs,
        ),
        clause(
            "GFD.231, 8.4",
            "A wait that exceeds its timeout returns TIMEOUT; the job continues",
            wait_timeout_leaves_the_job,
        ),
        clause(
            "GFD.231, 8.4",
            "waitTerminated returns for each of several waiters on the same job",
            wait_terminated_serves_many_waiters,
        ),
    ]
}

fn suspend_is_not_supported(fixture: &Fixture) -> Outcome {
    assert!(!has_capability(fixture, "SUSPEND"));
    assert_eq!(
        expect_error(control(fixture, suspend, &fixture.start_running_job())),
        ErrorId::UnsupportedOperation
    );
    Outcome::NotApplicable
}

fn suspend_needs_a_running_job(fixture: &Fixture) -> Outcome {
    assert_eq!(
        expect_error(control(
            fixture,
            suspend,
            &fixture.submit_held_job("/x", None)
        )),
        ErrorId::InvalidState
    );
    Outcome::Holds
}

fn resume_needs_a_suspended_job(fixture: &Fixture) -> Outcome {
    assert_eq!(
        expect_error(control(fixture, resume, &fixture.start_running_job())),
        ErrorId::InvalidState
    );
    Outcome::Holds
}

fn hold_keeps_a_queued_job(fixture: &Fixture) -> Outcome {
    assert!(has_capability(fixture, "HOLD_QUEUED"));
    let SubmittedBulk { job_ids, .. } = submit_bulk(fixture, "/slow", 2, Some(1), None);
    fixture
        .client
        .wait_started(&job_ids[0], WAIT_TIMEOUT)
        .unwrap();
    control(fixture, hold, &job_ids[1]).unwrap();
    control(fixture, terminate, &job_ids[0]).unwrap();
    assert_eq!(job_state(fixture, &job_ids[1]), JobState::QueuedHeld);
    Outcome::Holds
}

fn hold_needs_a_queued_job(fixture: &Fixture) -> Outcome {
    assert!(!has_capability(fixture, "HOLD_SENT"));
    assert_eq!(
        expect_error(control(fixture, hold, &fixture.start_running_job())),
        ErrorId::InvalidState
    );
    assert_eq!(
        expect_error(control(fixture, hold, &fixture.submit_held_job("/x", None))),
        ErrorId::InvalidState
    );
    Outcome::Holds
}

fn release_needs_a_held_job(fixture: &Fixture) -> Outcome {
    assert_eq!(
        expect_error(control(fixture, release, &fixture.start_running_job())),
        ErrorId::InvalidState
    );
    Outcome::Holds
}

fn terminate_ends_unfinished_jobs(fixture: &Fixture) -> Outcome {
    for job in [
        fixture.submit_held_job("/x", None),
        fixture.start_running_job(),
    ] {
        control(fixture, terminate, &job).unwrap();
        let info = fixture.client.job_info(&job).unwrap();
        assert_eq!(
            (info.job_state, info.job_sub_state.as_deref()),
            (JobState::Failed, Some("terminated"))
        );
    }
    Outcome::Holds
}

fn reap_needs_an_ended_job(fixture: &Fixture) -> Outcome {
    assert_eq!(
        expect_error(control(fixture, reap, &fixture.submit_held_job("/x", None))),
        ErrorId::InvalidState
    );
    Outcome::Holds
}

fn state_is_readable(fixture: &Fixture) -> Outcome {
    assert_eq!(
        job_state(fixture, &fixture.start_running_job()),
        JobState::Running
    );
    Outcome::Holds
}

fn wait_started_returns_for_ended_jobs(fixture: &Fixture) -> Outcome {
    let job = fixture.run_finished_job("/x");
    assert_eq!(
        fixture
            .client
            .wait_started(&job, WAIT_TIMEOUT)
            .unwrap()
            .job_state,
        JobState::Done
    );
    assert_eq!(
        job_state(fixture, &fixture.start_running_job()),
        JobState::Running
    );
    Outcome::Holds
}

fn wait_timeout_leaves_the_job(fixture: &Fixture) -> Outcome {
    let job = fixture.submit_held_job("/x", None);
    for timeout in [0, 20] {
        let response = fixture
            .client
            .wait_terminated(&job, Some(Duration::from_millis(timeout)));
        assert_eq!(expect_error(response), ErrorId::Timeout);
    }
    assert_eq!(job_state(fixture, &job), JobState::QueuedHeld);
    Outcome::Holds
}

fn wait_terminated_serves_many_waiters(fixture: &Fixture) -> Outcome {
    let job = fixture.submit_held_job("/x", None);
    let wait = || {
        let address = fixture.environment.submission_address.clone();
        let job_id = job.clone();
        std::thread::spawn(move || {
            let client = Client::new(Settings::new(address));
            client
                .wait_terminated(&job_id, WAIT_TIMEOUT)
                .map(|info| info.job_state)
        })
    };
    let waits: Vec<_> = (0..8).map(|_| wait()).collect();
    control(fixture, release, &job).unwrap();
    for wait in waits {
        assert_eq!(wait.join().unwrap().unwrap(), JobState::Done);
    }
    Outcome::Holds
}
