//! Clauses of section 8.1: the state model of a job.

use super::support::{
    clause, control, create_session, expect_error, hold, job_state, release, resume, state_history,
    suspend, terminate, wait_until_done,
};
use crate::{behaviour_of, Clause, Outcome, World, JOB_DURATION};
use marbledeck_submission_client::{ErrorId, JobState, Template};
use marbledeck_test_support::JobBehaviour;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::Arc;

/// The clauses of these sections, in their order.
pub(super) fn clauses() -> Vec<Clause> {
    vec![
        clause(
            "GFD.231, 8.1",
            "QUEUED_HELD, QUEUED, RUNNING and DONE follow each other",
            states_follow_each_other,
        ),
        clause(
            "GFD.231, 8.1",
            "A job that comes back from its machine is REQUEUED, and runs again",
            returned_job_is_requeued,
        ),
        clause(
            "GFD.231, 8.1",
            "A job that cannot be finished is FAILED, with the reason in its sub-state",
            failed_job_has_a_reason,
        ),
        clause(
            "GFD.231, 8.1",
            "A final state is never left",
            final_state_is_never_left,
        ),
    ]
}

fn states_follow_each_other(world: &World) -> Outcome {
    create_session(world, "c6");
    let job = world.submit_held_job("/x", Some("c6"));
    control(world, release, &job).unwrap();
    wait_until_done(world, &job);
    assert_eq!(
        state_history(world, "c6", 4),
        [
            JobState::QueuedHeld,
            JobState::Queued,
            JobState::Running,
            JobState::Done
        ]
    );
    Outcome::Holds
}

fn returned_job_is_requeued(world: &World) -> Outcome {
    create_session(world, "c7");
    hand_back_first_returned_job(world);
    let job = world
        .client
        .run_job(world.preview("/returned"), Some("c7"))
        .unwrap();
    assert_eq!(
        wait_until_done(world, &job.job_id).job_state,
        JobState::Done
    );
    assert_eq!(
        state_history(world, "c7", 5),
        [
            JobState::Queued,
            JobState::Running,
            JobState::Requeued,
            JobState::Running,
            JobState::Done
        ]
    );
    Outcome::Holds
}

/// Makes the worker that first receives a job `/returned` hand it back; all other jobs are served as before.
fn hand_back_first_returned_job(world: &World) {
    let is_first = Arc::new(AtomicBool::new(true));
    for worker in &world.environment.workers {
        let is_first = is_first.clone();
        worker.set_behaviour(move |job| {
            if job.target == "/returned" && is_first.swap(false, Ordering::SeqCst) {
                JobBehaviour::HandBack(JOB_DURATION)
            } else {
                behaviour_of(&job.target)
            }
        });
    }
}

fn failed_job_has_a_reason(world: &World) -> Outcome {
    let template = Template {
        job_category: "sheet-publish".to_owned(),
        ..world.preview("/fail")
    };
    let job = world.client.run_job(template, None).unwrap();
    let info = wait_until_done(world, &job.job_id);
    assert_eq!(
        (info.job_state, info.job_sub_state.as_deref()),
        (JobState::Failed, Some("failed"))
    );
    Outcome::Holds
}

fn final_state_is_never_left(world: &World) -> Outcome {
    let job = world.run_finished_job("/x");
    for op in [hold, release, terminate, suspend, resume] {
        assert_eq!(
            expect_error(control(world, op, &job)),
            ErrorId::InvalidState
        );
    }
    assert_eq!(job_state(world, &job), JobState::Done);
    Outcome::Holds
}
