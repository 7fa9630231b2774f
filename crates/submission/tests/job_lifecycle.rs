//! Races between the client and the workers, and the keys of ended jobs.

mod common;

use common::{limits, secs, served, text_of, Bench};
use serde_json::json;

/// Terminate and done, in both orders.
#[test]
fn the_first_of_terminate_and_done_ends_the_job() {
    let mut b = Bench::new(limits());
    b.connect(1);
    let first = b.run(1, json!({}))["jobId"].clone();
    let second = b.run(1, json!({}))["jobId"].clone();
    let (one, two) = (b.request(&first), b.request(&second));
    b.send(one, true);
    b.send(two, true);
    b.answer(one, served());
    let late = b.ask(1, json!({"op": "terminate", "jobId": first}));
    assert_eq!(text_of(&late, "error"), "INVALID_STATE");
    assert_eq!(b.state(1, &first), "DONE");
    let done = b.ask(1, json!({"op": "terminate", "jobId": second}));
    assert_eq!(text_of(&done, "jobState"), "FAILED");
    assert!(b.scheduler.open.is_empty());
    assert!(!b.server.handle_verdict(b.now, two, served(), None));
    assert_eq!(b.state(1, &second), "FAILED");
}

/// Hold and send, in both orders.
#[test]
fn a_job_can_be_held_only_before_it_is_sent() {
    let mut b = Bench::new(limits());
    b.connect(1);
    let held = b.run(1, json!({}))["jobId"].clone();
    let answer = b.ask(1, json!({"op": "hold", "jobId": held}));
    assert_eq!(text_of(&answer, "jobState"), "QUEUED_HELD");
    assert!(
        b.scheduler.open.is_empty(),
        "the decisions no longer have it"
    );
    let sent = b.run(1, json!({}))["jobId"].clone();
    let order = b.request(&sent);
    b.send(order, false);
    let answer = b.ask(1, json!({"op": "hold", "jobId": sent}));
    assert_eq!(text_of(&answer, "error"), "INVALID_STATE");
    assert_eq!(b.state(1, &sent), "QUEUED");
    let answer = b.ask(1, json!({"op": "release", "jobId": held}));
    assert_eq!(text_of(&answer, "jobState"), "QUEUED");
    let order = b.request(&held);
    b.answer(order, served());
    assert_eq!(b.state(1, &held), "DONE");
}

/// Release and the end of the maximum hold, in both orders.
#[test]
fn a_job_that_is_not_released_in_time_expires() {
    let mut b = Bench::new(limits());
    b.connect(1);
    let early = b.run(1, json!({"submitAsHold": true}))["jobId"].clone();
    let late = b.run(1, json!({"submitAsHold": true}))["jobId"].clone();
    b.pass(secs(99));
    b.ask(1, json!({"op": "release", "jobId": early}));
    b.pass(secs(2));
    let answer = b.ask(1, json!({"op": "release", "jobId": late}));
    assert_eq!(text_of(&answer, "error"), "INVALID_STATE");
    let info = b.ask(1, json!({"op": "getJobInfo", "jobId": late}));
    assert_eq!(text_of(&info["jobInfo"], "jobSubState"), "expired");
    assert_eq!(b.state(1, &early), "QUEUED");
    assert_eq!(b.scheduler.open.len(), 1);
}

/// The deadline passes before or after the start time.
#[test]
fn a_start_time_holds_a_job_and_a_deadline_ends_it() {
    let mut b = Bench::new(limits());
    b.connect(1);
    let ms = b.now.0 / 1000;
    let job = b.run(1, json!({"startTime": ms + 5000}));
    assert_eq!(text_of(&job, "jobState"), "QUEUED_HELD");
    let never = b.run(1, json!({"submitAsHold": true, "deadlineTime": ms + 7000}))["jobId"].clone();
    let wrong = b.run(
        1,
        json!({"startTime": ms + 9000, "deadlineTime": ms + 7000}),
    );
    assert_eq!(text_of(&wrong, "error"), "INVALID_ARGUMENT");
    b.pass(secs(4));
    assert!(b.scheduler.open.is_empty());
    b.pass(secs(1));
    assert_eq!(b.scheduler.open.len(), 1);
    b.pass(secs(2));
    let info = b.ask(1, json!({"op": "getJobInfo", "jobId": never}));
    assert_eq!(text_of(&info["jobInfo"], "error"), "TIMEOUT");
    assert_eq!(text_of(&info["jobInfo"], "jobSubState"), "overdue");
}

/// A resubmission after a lost answer joins as long as workers drop repeats.
#[test]
fn a_resubmission_joins_a_reaped_job_within_the_dedup_window() {
    let mut b = Bench::new(limits());
    b.connect(1);
    let sheet = json!({"jobCategory": "sheet", "submissionKey": "k"});
    let job = b.run(1, sheet.clone())["jobId"].clone();
    let order = b.request(&job);
    b.send(order, true);
    let early = b.ask(1, json!({"op": "reap", "jobId": job}));
    assert_eq!(text_of(&early, "error"), "INVALID_STATE");
    b.answer(order, served());
    let reaped = b.ask(1, json!({"op": "reap", "jobId": job}));
    assert_eq!(text_of(&reaped, "jobState"), "DONE");
    let again = b.ask(1, json!({"op": "getJobInfo", "jobId": job}));
    assert_eq!(text_of(&again, "error"), "INVALID_ARGUMENT");
    let joined = b.run(1, sheet.clone());
    assert_eq!(
        (&joined["jobId"], &joined["duplicate"]),
        (&job, &json!(true))
    );
    let other = b.run(
        1,
        json!({"jobCategory": "sheet", "submissionKey": "k", "remoteCommand": "/y"}),
    );
    assert_eq!(text_of(&other, "error"), "INVALID_ARGUMENT");
    b.pass(secs(41));
    assert_eq!(b.run(1, sheet)["duplicate"], json!(false));
    assert_eq!(b.scheduler.submitted, 2);
}
