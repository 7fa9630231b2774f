//! Clauses of section 8.1: the job state model.

use super::support::{
    clause, control, create_session, expect_error, hold, job_state, release, resume, state_history,
    suspend, terminate, wait_until_ended,
};
use crate::{worker_behaviour, Clause, Fixture, Outcome, JOB_DURATION};
use marbledeck_submission_client::{ErrorId, JobState, Template};
use marbledeck_test_support::JobBehaviour;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::Arc;

/// The clauses of this module, in the order of their sections.
pub(super) fn clauses() -> Vec<Clause> {
    vec![
        clause(
            "GFD.231, 8.1",
            "A job that is released and completes passes through QUEUED_HELD, QUEUED, RUNNING and DONE",
            states_follow_each_other,
        ),
        clause(
            "GFD.231, 8.1",
            "A job that its machine returns is REQUEUED and runs again",
            returned_job_is_requeued,
        ),
        clause(
            "GFD.231, 8.1",
            "A job that cannot complete is FAILED, with the reason in its sub-state",
            failed_job_has_a_reason,
        ),
        clause(
            "GFD.231, 8.1",
            "A job in a final state does not change its state",
            final_state_is_never_left,
        ),
    ]
}

fn states_follow_each_other(fixture: &Fixture) -> Outcome {
    create_session(fixture, "c6");
    let job = fixture.submit_held_job("/x", Some("c6"));
    control(fixture, release, &job).unwrap();
    wait_until_ended(fixture, &job);
    assert_eq!(
        state_history(fixture, "c6", 4),
        [
            JobState::QueuedHeld,
            JobState::Queued,
            JobState::Running,
            JobState::Done
        ]
    );
    Outcome::Holds
}

fn returned_job_is_requeued(fixture: &Fixture) -> Outcome {
    create_session(fixture, "c7");
    hand_back_first_attempt(fixture);
    let job = fixture
        .client
        .run_job(fixture.preview_template("/returned"), Some("c7"))
        .unwrap();
    assert_eq!(
        wait_until_ended(fixture, &job.job_id).job_state,
        JobState::Done
    );
    assert_eq!(
        state_history(fixture, "c7", 5),
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

/// Makes the first worker that receives a job `/returned` hand it back to the node; all other jobs are served as
/// before.
fn hand_back_first_attempt(fixture: &Fixture) {
    let is_first = Arc::new(AtomicBool::new(true));
    for worker in &fixture.environment.workers {
        let is_first = is_first.clone();
        worker.set_behaviour(move |job| {
            if job.target == "/returned" && is_first.swap(false, Ordering::SeqCst) {
                JobBehaviour::HandBack(JOB_DURATION)
            } else {
                worker_behaviour(&job.target)
            }
        });
    }
}

fn failed_job_has_a_reason(fixture: &Fixture) -> Outcome {
    let template = Template {
        job_category: "sheet-publish".to_owned(),
        ..fixture.preview_template("/fail")
    };
    let job = fixture.client.run_job(template, None).unwrap();
    let info = wait_until_ended(fixture, &job.job_id);
    assert_eq!(
        (info.job_state, info.job_sub_state.as_deref()),
        (JobState::Failed, Some("failed"))
    );
    Outcome::Holds
}

fn final_state_is_never_left(fixture: &Fixture) -> Outcome {
    let job = fixture.run_finished_job("/x");
    for op in [hold, release, terminate, suspend, resume] {
        assert_eq!(
            expect_error(control(fixture, op, &job)),
            ErrorId::InvalidState
        );
    }
    assert_eq!(job_state(fixture, &job), JobState::Done);
    Outcome::Holds
}
