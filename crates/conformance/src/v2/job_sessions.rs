//! Clauses of section 8.2: submission, job arrays and waits in a job session.

use super::support::{
    clause, control, create_session, expect_error, has_capability, reap, submit_bulk,
    wait_for_condition, SubmittedBulk,
};
use crate::{Clause, Fixture, Outcome, WAIT_TIMEOUT};
use marbledeck_submission_client::{ErrorId, Filter, IndexRange, Targets, WaitGoal};

/// The clauses of this module, in the order of their sections.
pub(super) fn clauses() -> Vec<Clause> {
    vec![
        clause(
            "GFD.231, 8.2",
            "A session lists its own jobs and no others",
            session_lists_only_its_jobs,
        ),
        clause(
            "GFD.231, 8.2",
            "A job array is found by its id; an unknown id returns INVALID_ARGUMENT",
            array_is_found_by_id,
        ),
        clause(
            "GFD.231, 8.2",
            "A job is found by its id until it is reaped",
            job_is_known_before_it_is_reaped,
        ),
        clause(
            "GFD.231, 8.2",
            "A bulk job creates a job array with one job for each index from the first to the last",
            bulk_has_a_job_per_index,
        ),
        clause(
            "GFD.231, 8.2",
            "Invalid indices return INVALID_ARGUMENT",
            empty_index_range_is_rejected,
        ),
        clause(
            "GFD.231, 8.2",
            "A bulk job runs at most as many jobs at a time as its limit allows",
            max_parallel_is_kept,
        ),
        clause(
            "GFD.231, 8.2",
            "waitAnyStarted returns a job of the list that is running or has ended",
            wait_any_started_returns_a_started_job,
        ),
        clause(
            "GFD.231, 8.2",
            "waitAnyTerminated returns a job of the list that has ended",
            wait_any_terminated_returns_an_ended_job,
        ),
        clause(
            "GFD.231, 8.2",
            "waitAnyStarted or waitAnyTerminated with an empty list or an unknown job returns INVALID_ARGUMENT",
            wait_any_rejects_bad_lists,
        ),
    ]
}

fn session_lists_only_its_jobs(fixture: &Fixture) -> Outcome {
    create_session(fixture, "c8");
    let own = fixture.submit_held_job("/x", Some("c8"));
    fixture.submit_held_job("/x", None);
    let mut found = Vec::new();
    fixture
        .client
        .list_jobs(Some("c8"), &Filter::default(), |info| {
            found.push(info.job_id);
        })
        .unwrap();
    assert_eq!(found, [own]);
    Outcome::Holds
}

fn array_is_found_by_id(fixture: &Fixture) -> Outcome {
    let SubmittedBulk { array_id, .. } = submit_bulk(fixture, "/x", 3, None, None);
    assert_eq!(fixture.client.job_array(&array_id).unwrap().jobs, 3);
    assert_eq!(
        expect_error(fixture.client.job_array("none")),
        ErrorId::InvalidArgument
    );
    Outcome::Holds
}

fn job_is_known_before_it_is_reaped(fixture: &Fixture) -> Outcome {
    let job = fixture.run_finished_job("/x");
    assert!(fixture.client.job_info(&job).is_ok());
    control(fixture, reap, &job).unwrap();
    assert_eq!(
        expect_error(fixture.client.job_info(&job)),
        ErrorId::InvalidArgument
    );
    Outcome::Holds
}

fn bulk_has_a_job_per_index(fixture: &Fixture) -> Outcome {
    let response = fixture
        .client
        .run_bulk(
            fixture.preview_template("/x"),
            IndexRange::new(10, 4, -3),
            None,
            None,
        )
        .unwrap();
    let indices: Vec<i64> = response.jobs.iter().map(|job| job.index).collect();
    assert_eq!(indices, [10, 7, 4]);
    Outcome::Holds
}

fn empty_index_range_is_rejected(fixture: &Fixture) -> Outcome {
    for (begin, end, step) in [(3, 1, 1), (1, 3, 0), (1, 3, -1)] {
        let indices = IndexRange::new(begin, end, step);
        let response = fixture
            .client
            .run_bulk(fixture.preview_template("/x"), indices, None, None);
        assert_eq!(expect_error(response), ErrorId::InvalidArgument);
    }
    Outcome::Holds
}

fn max_parallel_is_kept(fixture: &Fixture) -> Outcome {
    assert!(has_capability(fixture, "BULK_JOBS_MAXPARALLEL"));
    let SubmittedBulk { array_id, job_ids } = submit_bulk(fixture, "/bound", 30, Some(2), None);
    let mut max_started = 0;
    wait_for_condition("all jobs of the array have ended", || {
        let info = fixture.client.job_array(&array_id).unwrap();
        assert!(
            info.active <= 2,
            "{} jobs are active, at most 2 may be",
            info.active
        );
        info.ended == job_ids.len()
    });
    for worker in &fixture.environment.workers {
        max_started = max_started.max(
            worker
                .started_jobs()
                .iter()
                .filter(|job| job.target == "/bound")
                .count(),
        );
    }
    assert!(max_started > 0);
    Outcome::Holds
}

fn wait_any_started_returns_a_started_job(fixture: &Fixture) -> Outcome {
    let held = fixture.submit_held_job("/x", None);
    let running = fixture.start_running_job();
    let targets = Targets {
        job_ids: Some(vec![held, running.clone()]),
        ..Targets::default()
    };
    assert_eq!(
        fixture
            .client
            .wait_any(&targets, WaitGoal::Started, WAIT_TIMEOUT)
            .unwrap()
            .job_id,
        running
    );
    Outcome::Holds
}

fn wait_any_terminated_returns_an_ended_job(fixture: &Fixture) -> Outcome {
    let (held, ended) = (
        fixture.submit_held_job("/x", None),
        fixture.run_finished_job("/x"),
    );
    let targets = Targets {
        job_ids: Some(vec![held, ended.clone()]),
        ..Targets::default()
    };
    assert_eq!(
        fixture
            .client
            .wait_any(&targets, WaitGoal::Terminated, WAIT_TIMEOUT)
            .unwrap()
            .job_id,
        ended
    );
    Outcome::Holds
}

fn wait_any_rejects_bad_lists(fixture: &Fixture) -> Outcome {
    for ids in [vec!["none".to_owned()], vec![]] {
        let targets = Targets {
            job_ids: Some(ids),
            ..Targets::default()
        };
        assert_eq!(
            expect_error(
                fixture
                    .client
                    .wait_any(&targets, WaitGoal::Terminated, WAIT_TIMEOUT)
            ),
            ErrorId::InvalidArgument
        );
    }
    Outcome::Holds
}
