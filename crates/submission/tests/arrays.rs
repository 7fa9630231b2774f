//! Arrays of jobs: their limits, and the loss of a client during a bulk submission.

mod common;

use common::{limits, secs, served, text_field, Harness, DEDUP_WINDOW};
use marbledeck_dispatcher::RequestId;
use marbledeck_submission::{Limits, Verdict};
use serde_json::{json, Value};

/// Members end in every way. A rejected one pauses the array.
#[test]
fn max_parallel_limits_members_however_they_end() {
    let mut harness = Harness::new(limits());
    harness.connect(1);
    let bulk = json!({"op": "runBulkJobs", "beginIndex": 1, "endIndex": 200, "maxParallel": 3,
        "template": {"remoteCommand": "/${PARAMETRIC_INDEX}", "jobCategory": "preview"}});
    let answer = harness.send_request(1, bulk);
    assert_eq!(answer["jobs"].as_array().unwrap().len(), 200);
    harness.advance(secs(0));
    let array = answer["jobArrayId"].clone();
    for round in 0..40 {
        assert_eq!(harness.scheduler.open_jobs.len(), 3, "round {round}");
        let id = *harness.scheduler.open_jobs.keys().next().unwrap();
        harness.send_to_worker(id, round % 2 == 0);
        match round % 4 {
            0 => harness.end_request(id, served()),
            1 => harness.end_request(id, Verdict::Failed),
            2 => {
                harness.requeue(id);
                harness.end_request(id, served());
            }
            _ => {
                harness.end_request(
                    id,
                    Verdict::Rejected {
                        retry_after: Some(secs(2)),
                    },
                );
                assert_eq!(
                    harness.scheduler.open_jobs.len(),
                    2,
                    "no other member is passed to the scheduler during the pause"
                );
                harness.advance(secs(1));
                assert_eq!(harness.scheduler.open_jobs.len(), 2);
                harness.advance(secs(1));
            }
        }
        harness.advance(secs(0));
    }
    let info = harness.send_request(1, json!({"op": "getJobArray", "jobArrayId": array}));
    assert_eq!(info["jobArray"]["ended"], 40);
    assert_eq!(info["jobArray"]["active"], 3);
    // Termination ends all members without starting any.
    let submitted = harness.scheduler.submitted;
    let all = harness.send_request(1, json!({"op": "terminate", "jobArrayId": array}));
    assert_eq!(
        (&all["changed"], &all["refused"]),
        (&json!(160), &json!(40))
    );
    harness.advance(secs(3));
    assert_eq!(
        (
            harness.scheduler.open_jobs.len(),
            harness.scheduler.submitted
        ),
        (0, submitted)
    );
}

/// The scheduler rejects all jobs with a retry hint for some time.
#[test]
fn a_member_keeps_its_place_while_the_scheduler_is_full() {
    let mut harness = Harness::new(limits());
    harness.connect(1);
    harness.scheduler.is_full = true;
    let bulk = json!({"op": "runBulkJobs", "beginIndex": 1, "endIndex": 3, "maxParallel": 2,
        "template": {"remoteCommand": "/x", "jobCategory": "preview"}});
    harness.send_request(1, bulk);
    harness.advance(secs(3));
    assert!(harness.scheduler.open_jobs.is_empty());
    harness.scheduler.is_full = false;
    harness.advance(secs(1));
    assert_eq!(harness.scheduler.open_jobs.len(), 2);
}

/// The table has room for a part of the members only.
#[test]
fn a_bulk_beyond_the_limits_answers_every_index() {
    let mut harness = Harness::new(Limits {
        max_jobs: 100,
        ..limits()
    });
    harness.connect(1);
    let bulk = json!({"op": "runBulkJobs", "beginIndex": 1, "endIndex": 300, "seq": 7,
        "template": {"remoteCommand": "/x", "jobCategory": "preview"}});
    harness.send_line(1, bulk);
    for _ in 0..10 {
        harness.run_turn();
    }
    let lines = harness.take_received(1);
    assert_eq!(lines.len(), 2, "256 jobs per line");
    assert_eq!(
        (&lines[0]["more"], &lines[1]["more"]),
        (&json!(true), &Value::Null)
    );
    let jobs_of = |line: &Value| line["jobs"].as_array().unwrap().clone();
    let jobs = [jobs_of(&lines[0]), jobs_of(&lines[1])].concat();
    let indices: Vec<i64> = jobs.iter().map(|j| j["index"].as_i64().unwrap()).collect();
    assert_eq!(indices, (1..=300).collect::<Vec<i64>>());
    let accepted = jobs.iter().filter(|j| j["jobId"].is_string()).count();
    let rejected = jobs
        .iter()
        .filter(|j| text_field(j, "error") == "TRY_LATER")
        .count();
    assert_eq!((accepted, rejected), (100, 200));
}

/// After the loss of a client, accepted jobs continue and the other members are dropped. A resubmission with the same
/// keys runs no job twice.
#[test]
fn a_client_lost_during_a_bulk_can_resubmit_without_repeats() {
    let mut harness = Harness::new(limits());
    harness.connect(1);
    let bulk = json!({"op": "runBulkJobs", "beginIndex": 1, "endIndex": 400, "seq": 7,
        "template": {"remoteCommand": "/x", "jobCategory": "sheet", "submissionKey": "k-${PARAMETRIC_INDEX}"}});
    harness.send_line(1, bulk.clone());
    let before = harness.scheduler.open_jobs.len();
    assert!((64..400).contains(&before));
    harness.server.handle_disconnect(harness.now, 1);
    harness.advance(secs(1));
    assert_eq!(harness.scheduler.open_jobs.len(), before);
    harness.connect(2);
    harness.send_line(2, bulk);
    for _ in 0..10 {
        harness.run_turn();
    }
    assert_eq!(harness.scheduler.submitted, 400);
    assert_eq!(harness.scheduler.duplicates as usize, before);
}

/// Guards against members that wait until their hold expires, because their array was removed with its client before
/// they were accepted.
#[test]
fn members_run_although_their_client_is_lost_in_the_turn_of_its_bulk() {
    for max_parallel in [Some(2), None] {
        let mut harness = Harness::new(limits());
        harness.connect(1);
        let bulk = json!({"op": "runBulkJobs", "beginIndex": 1, "endIndex": 3, "maxParallel": max_parallel,
            "template": {"remoteCommand": "/x", "jobCategory": "sheet", "submissionKey": "k-${PARAMETRIC_INDEX}"}});
        let line = serde_json::to_vec(&bulk).unwrap();
        harness
            .server
            .handle_line(harness.now, 1, &line, &mut harness.scheduler);
        harness.server.handle_disconnect(harness.now, 1);
        harness.run_turn();
        harness.advance(secs(0));
        let active = max_parallel.unwrap_or(3);
        assert_eq!(harness.scheduler.open_jobs.len(), active);
        harness.connect(2);
        let answer = harness.send_request(2, bulk);
        let job = answer["jobs"][0]["jobId"].clone();
        let info = harness.send_request(2, json!({"op": "getJobInfo", "jobId": job}));
        let array = info["jobInfo"]["jobArrayId"].clone();
        let info = harness.send_request(2, json!({"op": "getJobArray", "jobArrayId": array}));
        assert_eq!(info["jobArray"]["jobs"], 3, "{info}");
        for _ in 0..3 {
            let request = *harness.scheduler.open_jobs.keys().next().unwrap();
            harness.send_to_worker(request, true);
            harness.end_request(request, served());
            harness.advance(secs(0));
        }
        assert_eq!(harness.scheduler.submitted, 3);
        let reaped = harness.send_request(2, json!({"op": "reap", "jobArrayId": array}));
        assert_eq!(reaped["changed"], 3);
        harness.advance(DEDUP_WINDOW);
        assert_eq!(harness.server.usage().arrays, 0);
    }
}

/// A bulk of which no member is accepted leaves no array behind, also where its client is lost before it is answered.
#[test]
fn a_bulk_without_members_leaves_no_array() {
    for client_is_lost in [false, true] {
        let mut harness = Harness::new(limits());
        harness.connect(1);
        let bulk = json!({"op": "runBulkJobs", "beginIndex": 1, "endIndex": 3,
            "template": {"remoteCommand": "/x", "jobCategory": "preview"}});
        let line = serde_json::to_vec(&bulk).unwrap();
        harness
            .server
            .handle_line(harness.now, 1, &line, &mut harness.scheduler);
        if client_is_lost {
            harness.server.handle_disconnect(harness.now, 1);
        }
        for request in 0..3 {
            let rejected = Verdict::Rejected { retry_after: None };
            let request = RequestId(request);
            harness.scheduler.open_jobs.remove(&request);
            harness
                .server
                .handle_verdict(harness.now, request, rejected, None);
        }
        harness.run_turn();
        let usage = harness.server.usage();
        assert_eq!((usage.jobs, usage.arrays), (0, 0), "{client_is_lost}");
    }
}
