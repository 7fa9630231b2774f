//! Races between a client's operations, the workers and the clock, and the submission keys of ended jobs.

mod common;

use common::{limits, secs, served, text_field, Harness};
use serde_json::json;

/// Termination and a worker's result, in both orders.
#[test]
fn the_first_of_terminate_and_done_ends_the_job() {
    let mut harness = Harness::new(limits());
    harness.connect(1);
    let first = harness.submit_job(1, json!({}))["jobId"].clone();
    let second = harness.submit_job(1, json!({}))["jobId"].clone();
    let (one, two) = (harness.request_id(&first), harness.request_id(&second));
    harness.send_to_worker(one, true);
    harness.send_to_worker(two, true);
    harness.end_request(one, served());
    let late = harness.send_request(1, json!({"op": "terminate", "jobId": first}));
    assert_eq!(text_field(&late, "error"), "INVALID_STATE");
    assert_eq!(harness.job_state(1, &first), "DONE");
    let done = harness.send_request(1, json!({"op": "terminate", "jobId": second}));
    assert_eq!(text_field(&done, "jobState"), "FAILED");
    assert!(harness.scheduler.open_jobs.is_empty());
    assert!(!harness
        .server
        .handle_verdict(harness.now, two, served(), None));
    assert_eq!(harness.job_state(1, &second), "FAILED");
}

/// A hold and the sending to a worker, in both orders.
#[test]
fn a_job_can_be_held_only_before_it_is_sent() {
    let mut harness = Harness::new(limits());
    harness.connect(1);
    let held = harness.submit_job(1, json!({}))["jobId"].clone();
    let answer = harness.send_request(1, json!({"op": "hold", "jobId": held}));
    assert_eq!(text_field(&answer, "jobState"), "QUEUED_HELD");
    assert!(
        harness.scheduler.open_jobs.is_empty(),
        "the scheduler no longer has the job"
    );
    let sent = harness.submit_job(1, json!({}))["jobId"].clone();
    let request = harness.request_id(&sent);
    harness.send_to_worker(request, false);
    let answer = harness.send_request(1, json!({"op": "hold", "jobId": sent}));
    assert_eq!(text_field(&answer, "error"), "INVALID_STATE");
    assert_eq!(harness.job_state(1, &sent), "QUEUED");
    let answer = harness.send_request(1, json!({"op": "release", "jobId": held}));
    assert_eq!(text_field(&answer, "jobState"), "QUEUED");
    let request = harness.request_id(&held);
    harness.end_request(request, served());
    assert_eq!(harness.job_state(1, &held), "DONE");
}

/// A release and the end of the maximum hold, in both orders.
#[test]
fn a_job_that_is_not_released_in_time_expires() {
    let mut harness = Harness::new(limits());
    harness.connect(1);
    let released = harness.submit_job(1, json!({"submitAsHold": true}))["jobId"].clone();
    let expired = harness.submit_job(1, json!({"submitAsHold": true}))["jobId"].clone();
    harness.advance(secs(99));
    harness.send_request(1, json!({"op": "release", "jobId": released}));
    harness.advance(secs(2));
    let answer = harness.send_request(1, json!({"op": "release", "jobId": expired}));
    assert_eq!(text_field(&answer, "error"), "INVALID_STATE");
    let info = harness.send_request(1, json!({"op": "getJobInfo", "jobId": expired}));
    assert_eq!(text_field(&info["jobInfo"], "jobSubState"), "expired");
    assert_eq!(harness.job_state(1, &released), "QUEUED");
    assert_eq!(harness.scheduler.open_jobs.len(), 1);
}

/// A job with a start time, and a held job whose deadline passes.
#[test]
fn a_start_time_holds_a_job_and_a_deadline_ends_it() {
    let mut harness = Harness::new(limits());
    harness.connect(1);
    let ms = harness.now.0 / 1000;
    let job = harness.submit_job(1, json!({"startTime": ms + 5000}));
    assert_eq!(text_field(&job, "jobState"), "QUEUED_HELD");
    let never = harness.submit_job(1, json!({"submitAsHold": true, "deadlineTime": ms + 7000}))
        ["jobId"]
        .clone();
    let wrong = harness.submit_job(
        1,
        json!({"startTime": ms + 9000, "deadlineTime": ms + 7000}),
    );
    assert_eq!(text_field(&wrong, "error"), "INVALID_ARGUMENT");
    harness.advance(secs(4));
    assert!(harness.scheduler.open_jobs.is_empty());
    harness.advance(secs(1));
    assert_eq!(harness.scheduler.open_jobs.len(), 1);
    harness.advance(secs(2));
    let info = harness.send_request(1, json!({"op": "getJobInfo", "jobId": never}));
    assert_eq!(text_field(&info["jobInfo"], "error"), "TIMEOUT");
    assert_eq!(text_field(&info["jobInfo"], "jobSubState"), "overdue");
}

/// A client that lost an answer submits the job again: it joins the first job as long as workers drop repeats.
#[test]
fn a_resubmission_joins_a_reaped_job_within_the_dedup_window() {
    let mut harness = Harness::new(limits());
    harness.connect(1);
    let sheet = json!({"jobCategory": "sheet", "submissionKey": "k"});
    let job = harness.submit_job(1, sheet.clone())["jobId"].clone();
    let request = harness.request_id(&job);
    harness.send_to_worker(request, true);
    let early = harness.send_request(1, json!({"op": "reap", "jobId": job}));
    assert_eq!(text_field(&early, "error"), "INVALID_STATE");
    harness.end_request(request, served());
    let reaped = harness.send_request(1, json!({"op": "reap", "jobId": job}));
    assert_eq!(text_field(&reaped, "jobState"), "DONE");
    let again = harness.send_request(1, json!({"op": "getJobInfo", "jobId": job}));
    assert_eq!(text_field(&again, "error"), "INVALID_ARGUMENT");
    let joined = harness.submit_job(1, sheet.clone());
    assert_eq!(
        (&joined["jobId"], &joined["duplicate"]),
        (&job, &json!(true))
    );
    let other = harness.submit_job(
        1,
        json!({"jobCategory": "sheet", "submissionKey": "k", "remoteCommand": "/y"}),
    );
    assert_eq!(text_field(&other, "error"), "INVALID_ARGUMENT");
    harness.advance(secs(41));
    assert_eq!(harness.submit_job(1, sheet)["duplicate"], json!(false));
    assert_eq!(harness.scheduler.submitted, 2);
}
