//! Clauses of chapters 4 and 5: common types, queues, machines and job information.

use super::support::{clause, has_capability, submit_bulk, wait_until_ended, SubmittedBulk};
use crate::{Clause, Fixture, Outcome};
use marbledeck_submission_client::{Filter, Template};

/// The clauses of this module, in the order of their sections.
pub(super) fn clauses() -> Vec<Clause> {
    vec![
        clause(
            "GFD.231, 4.4",
            "The parametric index is replaced by the job's index in each job of a bulk job",
            parametric_index_is_filled_in,
        ),
        clause(
            "GFD.231, 4.5",
            "Every optional feature is declared as supported or not supported",
            optional_features_are_declared,
        ),
        clause("GFD.231, 5.1", "A queue has a name", queue_has_a_name),
        clause(
            "GFD.231, 5.3",
            "A machine has a name, an availability flag and, if it is known, its load",
            machine_has_name_availability_and_load,
        ),
        clause(
            "GFD.231, 5.5",
            "The job information contains the id, state, queue, owner's account and times",
            job_information_is_complete,
        ),
        clause(
            "GFD.231, 5.5",
            "Attributes of the job information without a known value are omitted",
            unknown_information_is_absent,
        ),
        clause(
            "GFD.231, 5.5",
            "Job information can be used as a filter; unset attributes match all jobs",
            job_information_is_a_filter,
        ),
    ]
}

fn parametric_index_is_filled_in(fixture: &Fixture) -> Outcome {
    let SubmittedBulk { job_ids, .. } =
        submit_bulk(fixture, "/index/${PARAMETRIC_INDEX}", 3, None, None);
    let results: Vec<_> = job_ids
        .iter()
        .map(|id| wait_until_ended(fixture, id).result.unwrap())
        .collect();
    assert_eq!(results, ["made /index/1", "made /index/2", "made /index/3"]);
    Outcome::Holds
}

fn optional_features_are_declared(fixture: &Fixture) -> Outcome {
    let optional = [
        "ADVANCE_RESERVATION",
        "RESERVE_SLOTS",
        "CALLBACK",
        "BULK_JOBS_MAXPARALLEL",
        "JT_EMAIL",
        "JT_STAGING",
        "JT_DEADLINE",
        "JT_MAXSLOTS",
        "JT_ACCOUNTINGID",
        "RT_STARTNOW",
        "RT_DURATION",
        "RT_MACHINEOS",
        "RT_MACHINEARCH",
    ];
    // `has_capability` panics if a feature is declared neither present nor absent.
    let present_count = optional
        .iter()
        .filter(|name| has_capability(fixture, name))
        .count();
    assert_eq!(present_count, 4);
    Outcome::Holds
}

fn queue_has_a_name(fixture: &Fixture) -> Outcome {
    let names: Vec<String> = fixture
        .client
        .queues()
        .unwrap()
        .into_iter()
        .map(|queue| queue.name)
        .collect();
    assert_eq!(names, ["preview", "sheet-publish"]);
    Outcome::Holds
}

fn machine_has_name_availability_and_load(fixture: &Fixture) -> Outcome {
    fixture.run_finished_job("/x");
    let machines = fixture.client.machines().unwrap();
    assert_eq!(machines.len(), 3);
    assert!(machines
        .iter()
        .all(|machine| machine.available && !machine.name.is_empty()));
    assert!(machines.iter().any(|machine| machine.free_slots.is_some()));
    Outcome::Holds
}

fn job_information_is_complete(fixture: &Fixture) -> Outcome {
    let info = fixture
        .client
        .job_info(&fixture.run_finished_job("/x"))
        .unwrap();
    assert_eq!(
        (info.queue_name.as_str(), info.accounting_id.as_deref()),
        ("preview", Some("au"))
    );
    let dispatch_time_ms = info.dispatch_time_ms.unwrap();
    let finish_time_ms = info.finish_time_ms.unwrap();
    assert!(info.submission_time_ms <= dispatch_time_ms && dispatch_time_ms <= finish_time_ms);
    assert!(info.machine.is_some());
    Outcome::Holds
}

fn unknown_information_is_absent(fixture: &Fixture) -> Outcome {
    let info = fixture
        .client
        .job_info(&fixture.submit_held_job("/x", None))
        .unwrap();
    assert!(
        info.dispatch_time_ms.is_none() && info.finish_time_ms.is_none() && info.machine.is_none()
    );
    Outcome::Holds
}

fn job_information_is_a_filter(fixture: &Fixture) -> Outcome {
    let template = Template {
        job_name: Some("filtered".to_owned()),
        ..fixture.preview_template("/x")
    };
    let job = fixture.client.run_job(template, None).unwrap().job_id;
    let mut found = Vec::new();
    let filter = Filter {
        job_name: Some("filtered".to_owned()),
        ..Filter::default()
    };
    fixture
        .client
        .list_jobs(None, &filter, |info| found.push(info.job_id))
        .unwrap();
    assert_eq!(found, [job]);
    Outcome::Holds
}
