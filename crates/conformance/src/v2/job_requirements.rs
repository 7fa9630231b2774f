//! Clauses of section 5.7 about the requirements of a job: queue, slots, machine, times and account.

use super::support::{
    clause, expect_error, expect_unsupported_attribute, has_capability, milliseconds_from_now,
    wait_until_ended,
};
use crate::{Clause, Fixture, Outcome};
use marbledeck_submission_client::{ErrorId, JobState, Template};

/// The clauses of this module, in the order of their sections.
pub(super) fn clauses() -> Vec<Clause> {
    vec![
        clause(
            "GFD.231, 5.7",
            "A job can run in an advance reservation",
            reservation_is_rejected,
        ),
        clause(
            "GFD.231, 5.7",
            "A queue can be requested by name",
            queue_is_requested_by_name,
        ),
        clause(
            "GFD.231, 5.7",
            "A minimum number of slots can be requested; a negative number is rejected",
            min_slots_are_checked,
        ),
        clause(
            "GFD.231, 5.7",
            "A maximum number of slots can be requested",
            max_slots_are_rejected,
        ),
        clause(
            "GFD.231, 5.7",
            "A priority can be requested",
            priority_is_rejected,
        ),
        clause(
            "GFD.231, 5.7",
            "Candidate machines, operating system, architecture and memory",
            machine_requirements_are_rejected,
        ),
        clause(
            "GFD.231, 5.7",
            "A job with a start time does not run before it",
            start_time_is_kept,
        ),
        clause(
            "GFD.231, 5.7",
            "A job that runs past its deadline is terminated",
            deadline_ends_the_job,
        ),
        clause("GFD.231, 5.7", "File staging", file_staging_is_rejected),
        clause(
            "GFD.231, 5.7",
            "Resource limits",
            resource_limits_are_rejected,
        ),
        clause(
            "GFD.231, 5.7",
            "The job is charged to its accounting id; an unknown accounting id is rejected",
            accounting_id_is_checked,
        ),
    ]
}

fn reservation_is_rejected(fixture: &Fixture) -> Outcome {
    expect_unsupported_attribute(
        fixture,
        Some("ADVANCE_RESERVATION"),
        "reservationId",
        "r".into(),
    )
}

fn queue_is_requested_by_name(fixture: &Fixture) -> Outcome {
    let template = Template {
        job_category: String::new(),
        queue_name: Some("preview".to_owned()),
        ..fixture.preview_template("/x")
    };
    let job = fixture.client.run_job(template, None).unwrap();
    assert_eq!(wait_until_ended(fixture, &job.job_id).queue_name, "preview");
    Outcome::Holds
}

fn min_slots_are_checked(fixture: &Fixture) -> Outcome {
    let two = Template {
        min_slots: Some(2.0),
        ..fixture.preview_template("/x")
    };
    assert!(fixture.client.run_job(two, None).is_ok());
    let negative = Template {
        min_slots: Some(-1.0),
        ..fixture.preview_template("/x")
    };
    assert_eq!(
        expect_error(fixture.client.run_job(negative, None)),
        ErrorId::InvalidArgument
    );
    Outcome::Holds
}

fn max_slots_are_rejected(fixture: &Fixture) -> Outcome {
    expect_unsupported_attribute(fixture, Some("JT_MAXSLOTS"), "maxSlots", 4.into())
}

fn priority_is_rejected(fixture: &Fixture) -> Outcome {
    expect_unsupported_attribute(fixture, None, "priority", 1.into())
}

fn machine_requirements_are_rejected(fixture: &Fixture) -> Outcome {
    expect_unsupported_attribute(
        fixture,
        None,
        "candidateMachines",
        serde_json::json!(["w1"]),
    );
    expect_unsupported_attribute(fixture, None, "minPhysMemory", 1024.into());
    expect_unsupported_attribute(fixture, None, "machineOS", "LINUX".into());
    expect_unsupported_attribute(fixture, None, "machineArch", "X64".into())
}

fn start_time_is_kept(fixture: &Fixture) -> Outcome {
    let start_time_ms = milliseconds_from_now(400);
    let template = Template {
        start_time: Some(start_time_ms),
        ..fixture.preview_template("/x")
    };
    let job = fixture.client.run_job(template, None).unwrap();
    assert_eq!(job.job_state, JobState::QueuedHeld);
    assert!(
        wait_until_ended(fixture, &job.job_id)
            .dispatch_time_ms
            .unwrap()
            >= start_time_ms
    );
    Outcome::Holds
}

fn deadline_ends_the_job(fixture: &Fixture) -> Outcome {
    assert!(has_capability(fixture, "JT_DEADLINE"));
    let template = Template {
        deadline_time: Some(milliseconds_from_now(300)),
        ..fixture.preview_template("/slow-deadline")
    };
    let job = fixture.client.run_job(template, None).unwrap();
    let info = wait_until_ended(fixture, &job.job_id);
    assert_eq!(info.job_state, JobState::Failed);
    let expired = Template {
        deadline_time: Some(1),
        ..fixture.preview_template("/x")
    };
    assert_eq!(
        expect_error(fixture.client.run_job(expired, None)),
        ErrorId::InvalidArgument
    );
    Outcome::Holds
}

fn file_staging_is_rejected(fixture: &Fixture) -> Outcome {
    expect_unsupported_attribute(
        fixture,
        Some("JT_STAGING"),
        "stageInFiles",
        serde_json::json!({"a": "b"}),
    )
}

fn resource_limits_are_rejected(fixture: &Fixture) -> Outcome {
    expect_unsupported_attribute(
        fixture,
        None,
        "resourceLimits",
        serde_json::json!({"CPU_TIME": "1"}),
    )
}

fn accounting_id_is_checked(fixture: &Fixture) -> Outcome {
    assert!(has_capability(fixture, "JT_ACCOUNTINGID"));
    let unknown = Template {
        accounting_id: Some("nobody".to_owned()),
        ..fixture.preview_template("/x")
    };
    assert_eq!(
        expect_error(fixture.client.run_job(unknown, None)),
        ErrorId::InvalidArgument
    );
    Outcome::Holds
}
