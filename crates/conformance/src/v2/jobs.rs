//! Clauses of section 8.4: control of one job, and waits for it.

use super::support::{
    clause, control, expect_error, has_capability, hold, job_state, reap, release, resume,
    submit_bulk, suspend, terminate, SubmittedBulk,
};
use crate::{Clause, Outcome, World, WAIT_TIMEOUT};
use marbledeck_submission_client::{Client, ErrorId, JobState, Settings};
use std::time::Duration;

/// The clauses of these sections, in their order.
#[expect(clippy::too_many_lines, reason = "a table of clauses")]
pub(super) fn clauses() -> Vec<Clause> {
    vec![
        clause(
            "GFD.231, 8.4",
            "suspend brings a running job to a halt",
            suspend_is_not_supported,
        ),
        clause(
            "GFD.231, 8.4",
            "suspend of a job that does not run is INVALID_STATE",
            suspend_needs_a_running_job,
        ),
        clause(
            "GFD.231, 8.4",
            "resume of a job that is not suspended is INVALID_STATE",
            resume_needs_a_suspended_job,
        ),
        clause(
            "GFD.231, 8.4",
            "hold keeps a queued job from running",
            hold_keeps_a_queued_job,
        ),
        clause(
            "GFD.231, 8.4",
            "hold of a job that a machine has, or that is held, is INVALID_STATE",
            hold_needs_a_queued_job,
        ),
        clause(
            "GFD.231, 8.4",
            "release of a job that is not held is INVALID_STATE",
            release_needs_a_held_job,
        ),
        clause(
            "GFD.231, 8.4",
            "terminate ends a job in every state that is not final",
            terminate_ends_unfinished_jobs,
        ),
        clause(
            "GFD.231, 8.4",
            "reap of a job that has not ended is INVALID_STATE",
            reap_needs_an_ended_job,
        ),
        clause(
            "GFD.231, 8.4",
            "The state can be asked for at any time",
            state_is_readable,
        ),
        clause(
            "GFD.231, 8.4",
            "waitStarted returns once the job runs, and at once for one that has ended",
            wait_started_returns_for_ended_jobs,
        ),
        clause(
            "GFD.231, 8.4",
            "A wait that takes too long is TIMEOUT, and the job goes on",
            wait_timeout_leaves_the_job,
        ),
        clause(
            "GFD.231, 8.4",
            "waitTerminated of many waiters on one job ends for each of them",
            wait_terminated_serves_many_waiters,
        ),
    ]
}

fn suspend_is_not_supported(world: &World) -> Outcome {
    assert!(!has_capability(world, "SUSPEND"));
    assert_eq!(
        expect_error(control(world, suspend, &world.start_running_job())),
        ErrorId::UnsupportedOperation
    );
    Outcome::NotApplicable
}

fn suspend_needs_a_running_job(world: &World) -> Outcome {
    assert_eq!(
        expect_error(control(world, suspend, &world.submit_held_job("/x", None))),
        ErrorId::InvalidState
    );
    Outcome::Holds
}

fn resume_needs_a_suspended_job(world: &World) -> Outcome {
    assert_eq!(
        expect_error(control(world, resume, &world.start_running_job())),
        ErrorId::InvalidState
    );
    Outcome::Holds
}

fn hold_keeps_a_queued_job(world: &World) -> Outcome {
    assert!(has_capability(world, "HOLD_QUEUED"));
    let SubmittedBulk { job_ids, .. } = submit_bulk(world, "/slow", 2, Some(1), None);
    world
        .client
        .wait_started(&job_ids[0], WAIT_TIMEOUT)
        .unwrap();
    control(world, hold, &job_ids[1]).unwrap();
    control(world, terminate, &job_ids[0]).unwrap();
    assert_eq!(job_state(world, &job_ids[1]), JobState::QueuedHeld);
    Outcome::Holds
}

fn hold_needs_a_queued_job(world: &World) -> Outcome {
    assert!(!has_capability(world, "HOLD_SENT"));
    assert_eq!(
        expect_error(control(world, hold, &world.start_running_job())),
        ErrorId::InvalidState
    );
    assert_eq!(
        expect_error(control(world, hold, &world.submit_held_job("/x", None))),
        ErrorId::InvalidState
    );
    Outcome::Holds
}

fn release_needs_a_held_job(world: &World) -> Outcome {
    assert_eq!(
        expect_error(control(world, release, &world.start_running_job())),
        ErrorId::InvalidState
    );
    Outcome::Holds
}

fn terminate_ends_unfinished_jobs(world: &World) -> Outcome {
    for job in [world.submit_held_job("/x", None), world.start_running_job()] {
        control(world, terminate, &job).unwrap();
        let info = world.client.job_info(&job).unwrap();
        assert_eq!(
            (info.job_state, info.job_sub_state.as_deref()),
            (JobState::Failed, Some("terminated"))
        );
    }
    Outcome::Holds
}

fn reap_needs_an_ended_job(world: &World) -> Outcome {
    assert_eq!(
        expect_error(control(world, reap, &world.submit_held_job("/x", None))),
        ErrorId::InvalidState
    );
    Outcome::Holds
}

fn state_is_readable(world: &World) -> Outcome {
    assert_eq!(
        job_state(world, &world.start_running_job()),
        JobState::Running
    );
    Outcome::Holds
}

fn wait_started_returns_for_ended_jobs(world: &World) -> Outcome {
    let job = world.run_finished_job("/x");
    assert_eq!(
        world
            .client
            .wait_started(&job, WAIT_TIMEOUT)
            .unwrap()
            .job_state,
        JobState::Done
    );
    assert_eq!(
        job_state(world, &world.start_running_job()),
        JobState::Running
    );
    Outcome::Holds
}

fn wait_timeout_leaves_the_job(world: &World) -> Outcome {
    let job = world.submit_held_job("/x", None);
    for timeout in [0, 20] {
        let response = world
            .client
            .wait_terminated(&job, Some(Duration::from_millis(timeout)));
        assert_eq!(expect_error(response), ErrorId::Timeout);
    }
    assert_eq!(job_state(world, &job), JobState::QueuedHeld);
    Outcome::Holds
}

fn wait_terminated_serves_many_waiters(world: &World) -> Outcome {
    let job = world.submit_held_job("/x", None);
    let wait = || {
        let address = world.environment.submission_address.clone();
        let job_id = job.clone();
        std::thread::spawn(move || {
            let client = Client::new(Settings::new(address));
            client
                .wait_terminated(&job_id, WAIT_TIMEOUT)
                .map(|info| info.job_state)
        })
    };
    let waits: Vec<_> = (0..8).map(|_| wait()).collect();
    control(world, release, &job).unwrap();
    for wait in waits {
        assert_eq!(wait.join().unwrap().unwrap(), JobState::Done);
    }
    Outcome::Holds
}
