//! Clauses of section 5.7 about the job itself: its command, arguments, class and files.

use super::support::{
    clause, control, expect_error, expect_unsupported_attribute, job_state, release,
    wait_until_ended,
};
use crate::{Clause, Fixture, Outcome};
use marbledeck_submission_client::{ErrorId, JobState, Template};
use marbledeck_test_support::WorkerStub;

/// The clauses of this module, in the order of their sections.
pub(super) fn clauses() -> Vec<Clause> {
    vec![
        clause(
            "GFD.231, 5.7",
            "A job template without a command is rejected",
            template_without_command_is_rejected,
        ),
        clause(
            "GFD.231, 5.7",
            "The arguments are passed to the job",
            arguments_reach_the_job,
        ),
        clause(
            "GFD.231, 5.7",
            "A job that is submitted on hold does not run before it is released",
            held_job_waits_for_release,
        ),
        clause(
            "GFD.231, 5.7",
            "The rerunnable attribute is honoured, or rejected with its name",
            rerunnable_is_honoured_or_rejected,
        ),
        clause(
            "GFD.231, 5.7",
            "Environment variables of the job",
            job_environment_is_rejected,
        ),
        clause(
            "GFD.231, 5.7",
            "Working directory of the job",
            working_directory_is_rejected,
        ),
        clause(
            "GFD.231, 5.7",
            "The job category is the name of a configured class; any other name is rejected",
            job_category_is_a_configured_class,
        ),
        clause(
            "GFD.231, 5.7",
            "E-mail addresses, and e-mails at the start and the end of the job",
            email_is_rejected,
        ),
        clause(
            "GFD.231, 5.7",
            "The job name is part of the job information",
            job_name_is_shown,
        ),
        clause(
            "GFD.231, 5.7",
            "Paths for standard input, output and error",
            output_paths_are_rejected,
        ),
        clause(
            "GFD.231, 5.7",
            "Standard output and standard error can be joined",
            joined_files_are_rejected,
        ),
    ]
}

fn template_without_command_is_rejected(fixture: &Fixture) -> Outcome {
    assert_eq!(
        expect_error(fixture.client.run_job(fixture.preview_template(""), None)),
        ErrorId::InvalidArgument
    );
    Outcome::Holds
}

fn arguments_reach_the_job(fixture: &Fixture) -> Outcome {
    let args = Some(vec!["42".to_owned(), "Simon says:".to_owned()]);
    let job = fixture
        .client
        .run_job(
            Template {
                args,
                ..fixture.preview_template("/with-args")
            },
            None,
        )
        .unwrap();
    wait_until_ended(fixture, &job.job_id);
    let started_jobs = fixture
        .environment
        .workers
        .iter()
        .flat_map(WorkerStub::started_jobs);
    let body = started_jobs
        .into_iter()
        .find(|job| job.target == "/with-args")
        .unwrap()
        .body;
    assert_eq!(body, b"42\nSimon says:\n");
    Outcome::Holds
}

fn held_job_waits_for_release(fixture: &Fixture) -> Outcome {
    let job = fixture.submit_held_job("/held-one", None);
    assert_eq!(job_state(fixture, &job), JobState::QueuedHeld);
    control(fixture, release, &job).unwrap();
    assert_eq!(wait_until_ended(fixture, &job).job_state, JobState::Done);
    Outcome::Holds
}

fn rerunnable_is_honoured_or_rejected(fixture: &Fixture) -> Outcome {
    let not_rerunnable = Template {
        rerunnable: Some(false),
        ..fixture.preview_template("/x")
    };
    assert_eq!(
        expect_error(fixture.client.run_job(not_rerunnable, None)),
        ErrorId::UnsupportedAttribute
    );
    let rerunnable = Template {
        rerunnable: Some(true),
        ..fixture.preview_template("/x")
    };
    assert!(fixture.client.run_job(rerunnable, None).is_ok());
    Outcome::Holds
}

fn job_environment_is_rejected(fixture: &Fixture) -> Outcome {
    expect_unsupported_attribute(
        fixture,
        None,
        "jobEnvironment",
        serde_json::json!({"A": "b"}),
    )
}

fn working_directory_is_rejected(fixture: &Fixture) -> Outcome {
    expect_unsupported_attribute(fixture, None, "workingDirectory", "/tmp".into())
}

fn job_category_is_a_configured_class(fixture: &Fixture) -> Outcome {
    let unknown = Template {
        job_category: "nonsense".to_owned(),
        ..fixture.preview_template("/x")
    };
    assert_eq!(
        expect_error(fixture.client.run_job(unknown, None)),
        ErrorId::InvalidArgument
    );
    Outcome::Holds
}

fn email_is_rejected(fixture: &Fixture) -> Outcome {
    expect_unsupported_attribute(fixture, Some("JT_EMAIL"), "emailOnStarted", true.into());
    expect_unsupported_attribute(
        fixture,
        Some("JT_EMAIL"),
        "email",
        serde_json::json!(["a@b"]),
    )
}

fn job_name_is_shown(fixture: &Fixture) -> Outcome {
    let template = Template {
        job_name: Some("reel 12".to_owned()),
        ..fixture.preview_template("/x")
    };
    let job = fixture.client.run_job(template, None).unwrap();
    assert_eq!(
        fixture
            .client
            .job_info(&job.job_id)
            .unwrap()
            .job_name
            .as_deref(),
        Some("reel 12")
    );
    Outcome::Holds
}

fn output_paths_are_rejected(fixture: &Fixture) -> Outcome {
    expect_unsupported_attribute(fixture, None, "outputPath", "/tmp/x".into())
}

fn joined_files_are_rejected(fixture: &Fixture) -> Outcome {
    expect_unsupported_attribute(fixture, None, "joinFiles", true.into())
}
