//! Clauses of section 8.5: control of job arrays.

use super::support::{
    clause, create_session, expect_error, hold, job_state, reap, release, submit_bulk, terminate,
    wait_until_ended, SubmittedBulk,
};
use crate::{Clause, Fixture, Outcome, WAIT_TIMEOUT};
use marbledeck_submission_client::{
    ControlSummary, ErrorId, IndexRange, JobState, Targets, Template, WaitGoal,
};
use marbledeck_test_support::WorkerStub;

/// The clauses of this module, in the order of their sections.
pub(super) fn clauses() -> Vec<Clause> {
    vec![
        clause(
            "GFD.231, 8.5",
            "A job array reports the number of its jobs, its session and its limit on parallel jobs",
            array_describes_itself,
        ),
        clause(
            "GFD.231, 8.5",
            "hold and release apply to all jobs of the array whose state allows it",
            hold_and_release_act_on_all_members,
        ),
        clause(
            "GFD.231, 8.5",
            "terminate ends all jobs of the array and starts no further ones",
            terminate_ends_all_members,
        ),
        clause(
            "GFD.231, 8.5",
            "reap removes all jobs of the array and the array itself",
            reap_removes_array_and_members,
        ),
    ]
}

fn array_describes_itself(fixture: &Fixture) -> Outcome {
    create_session(fixture, "c11");
    let SubmittedBulk { array_id, .. } = submit_bulk(fixture, "/x", 5, Some(3), Some("c11"));
    let info = fixture.client.job_array(&array_id).unwrap();
    assert_eq!(
        (info.jobs, info.max_parallel, info.session.as_deref()),
        (5, Some(3), Some("c11"))
    );
    Outcome::Holds
}

fn hold_and_release_act_on_all_members(fixture: &Fixture) -> Outcome {
    let template = Template {
        submit_as_hold: true,
        ..fixture.preview_template("/x")
    };
    let response = fixture
        .client
        .run_bulk(template, IndexRange::new(1, 5, 1), None, None)
        .unwrap();
    let targets = || Targets::array(response.arrays[0].clone());
    assert_eq!(
        expect_error(fixture.client.control(hold(targets()))),
        ErrorId::InvalidState
    );
    assert_eq!(
        fixture.client.control(release(targets())).unwrap(),
        ControlSummary {
            changed: 5,
            rejected: 0
        }
    );
    Outcome::Holds
}

fn terminate_ends_all_members(fixture: &Fixture) -> Outcome {
    let SubmittedBulk { array_id, job_ids } =
        submit_bulk(fixture, "/slow-array", 20, Some(2), None);
    fixture
        .client
        .wait_any(
            &Targets::array(array_id.clone()),
            WaitGoal::Started,
            WAIT_TIMEOUT,
        )
        .unwrap();
    fixture
        .client
        .control(terminate(Targets::array(array_id.clone())))
        .unwrap();
    assert!(job_ids
        .iter()
        .all(|id| job_state(fixture, id) == JobState::Failed));
    let started_jobs = fixture
        .environment
        .workers
        .iter()
        .flat_map(WorkerStub::started_jobs);
    assert!(
        started_jobs
            .filter(|job| job.target == "/slow-array")
            .count()
            <= 2
    );
    Outcome::Holds
}

fn reap_removes_array_and_members(fixture: &Fixture) -> Outcome {
    let SubmittedBulk { array_id, job_ids } = submit_bulk(fixture, "/x", 4, None, None);
    job_ids
        .iter()
        .for_each(|id| drop(wait_until_ended(fixture, id)));
    assert_eq!(
        fixture
            .client
            .control(reap(Targets::array(array_id.clone())))
            .unwrap(),
        ControlSummary {
            changed: 4,
            rejected: 0
        }
    );
    assert_eq!(
        expect_error(fixture.client.job_array(&array_id)),
        ErrorId::InvalidArgument
    );
    Outcome::Holds
}
