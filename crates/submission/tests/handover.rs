//! Handover to a successor, shutdown, and the loss of a process or client at any point of them.

mod common;

use common::upgrade::exchange;
use common::{limits, secs, served, text_field, Harness};
use marbledeck_submission::{Limits, Partner};
use serde_json::{json, Value};

/// Either process is lost after any number of messages. The survivor must have all acknowledged jobs and submit no key
/// twice.
#[test]
#[expect(
    clippy::too_many_lines,
    reason = "one scenario with both processes of a handover"
)]
fn a_handover_that_is_interrupted_anywhere_ends_every_job_once() {
    for max_messages in 0..40 {
        for old_is_lost in [false, true] {
            let mut old = Harness::with_prefix(limits(), "n0-1");
            old.connect(1);
            old.send_request(1, json!({"op": "createSession", "name": "s"}));
            let sheet =
                |key: &str| json!({"jobCategory": "sheet", "submissionKey": key, "session": "s"});
            let sent_job = old.submit_job(1, sheet("out"))["jobId"].clone();
            let request = old.request_id(&sent_job);
            old.send_to_worker(request, true);
            let done = old.submit_job(1, sheet("done"))["jobId"].clone();
            let finished = old.request_id(&done);
            old.send_to_worker(finished, true);
            old.end_request(finished, served());
            let mut held = sheet("held");
            held["submitAsHold"] = true.into();
            let held_job = old.submit_job(1, held.clone())["jobId"].clone();
            let bulk = json!({"op": "runBulkJobs", "beginIndex": 1, "endIndex": 8, "maxParallel": 2, "session": "s",
                "template": {"remoteCommand": "/x", "jobCategory": "sheet", "submissionKey": "b${PARAMETRIC_INDEX}"}});
            let array = old.send_request(1, bulk.clone())["jobArrayId"].clone();
            old.advance(secs(0));
            assert_eq!(old.scheduler.open_jobs.len(), 3);
            let mut new = Harness::with_prefix(limits(), "n0-2");
            new.now = old.now;
            new.server.expect_predecessor(new.now);
            old.server.begin_handover();
            old.server.handle_disconnect(old.now, 1);
            let exchanged = exchange(&mut old, &mut new, max_messages);
            let is_complete = exchanged < max_messages;
            let mut survivor = if old_is_lost {
                new.server
                    .handle_partner_lost(new.now, Partner::Predecessor);
                new
            } else {
                old.server.handle_partner_lost(old.now, Partner::Successor);
                old
            };
            survivor.connect(5);
            survivor.run_turn();
            if old_is_lost && !is_complete {
                // Jobs that were not sent are lost with the process, as in any crash. The others must be consistent.
                survivor.advance(secs(200));
                continue;
            }
            let case = format!("{max_messages} messages, old is lost: {old_is_lost}");
            let joined = survivor.submit_job(5, sheet("done"));
            assert_eq!(
                (&joined["jobId"], &joined["duplicate"]),
                (&done, &json!(true)),
                "{case}"
            );
            assert_eq!(survivor.job_state(5, &done), "DONE", "{case}");
            let joined = survivor.submit_job(5, held.clone());
            assert_eq!(joined["jobId"], held_job, "{case}");
            assert_eq!(
                survivor.job_state(5, &sent_job),
                if old_is_lost { "FAILED" } else { "RUNNING" },
                "{case}"
            );
            let info = survivor.send_request(5, json!({"op": "getJobArray", "jobArrayId": array}));
            assert_eq!(info["jobArray"]["jobs"], 8, "{case}");
            survivor.send_request(5, json!({"op": "release", "jobId": held_job}));
            // All jobs that still wait are run, each key once.
            for _ in 0..40 {
                survivor.advance(secs(0));
                for id in survivor
                    .scheduler
                    .open_jobs
                    .keys()
                    .copied()
                    .collect::<Vec<_>>()
                {
                    survivor.send_to_worker(id, true);
                    survivor.end_request(id, served());
                }
            }
            let page = survivor.send_request(5, json!({"op": "listJobs", "session": "s"}));
            let jobs = page["jobs"].as_array().unwrap();
            assert_eq!(jobs.len(), 11, "{case}");
            for job in jobs {
                assert!(
                    ["DONE", "FAILED"].contains(&text_field(job, "jobState").as_str()),
                    "{case}: {job}"
                );
            }
        }
    }
}

/// Jobs in flight end at the predecessor and are reported by the successor. `maxParallel` limits the members of both
/// processes together.
#[test]
fn jobs_in_flight_end_across_a_handover() {
    let mut old = Harness::with_prefix(limits(), "n0-1");
    old.connect(1);
    old.send_request(1, json!({"op": "createSession", "name": "s"}));
    let bulk = json!({"op": "runBulkJobs", "beginIndex": 1, "endIndex": 5, "maxParallel": 2, "session": "s",
        "template": {"remoteCommand": "/x", "jobCategory": "preview"}});
    let answer = old.send_request(1, bulk);
    let first = answer["jobs"][0]["jobId"].clone();
    old.advance(secs(0));
    let mut new = Harness::with_prefix(limits(), "n0-2");
    new.now = old.now;
    new.server.expect_predecessor(new.now);
    new.connect(9);
    assert!(
        !new.server.accepts_line(9),
        "no line is accepted before the predecessor has sent its state"
    );
    old.server.begin_handover();
    exchange(&mut old, &mut new, usize::MAX);
    assert!(new.server.accepts_line(9) && old.server.is_handover_complete());
    new.advance(secs(1));
    old.advance(secs(1));
    assert_eq!(
        (old.scheduler.open_jobs.len(), new.scheduler.open_jobs.len()),
        (2, 0)
    );
    new.send_request(9, json!({"op": "openSession", "name": "s", "since": 5}));
    new.send_line(
        9,
        json!({"op": "waitTerminated", "seq": "w", "jobId": first}),
    );
    let request = old.request_id(&first);
    old.send_to_worker(request, true);
    old.end_request(request, served());
    exchange(&mut old, &mut new, usize::MAX);
    new.advance(secs(0));
    assert_eq!(
        (old.scheduler.open_jobs.len(), new.scheduler.open_jobs.len()),
        (1, 1)
    );
    let read = new.take_received(9);
    let waited = read
        .iter()
        .find(|v| v["seq"] == "w")
        .expect("the successor answers the wait");
    assert_eq!(waited["jobInfo"]["result"], "made");
    let numbers: Vec<u64> = read.iter().filter_map(|v| v["number"].as_u64()).collect();
    assert!(
        numbers.windows(2).all(|pair| pair[1] == pair[0] + 1),
        "{numbers:?}"
    );
    // A job that a client terminates at the successor is abandoned by the predecessor's scheduler.
    let second = answer["jobs"][1]["jobId"].clone();
    let ended = new.send_request(9, json!({"op": "terminate", "jobId": second}));
    assert_eq!(text_field(&ended, "jobState"), "FAILED");
    exchange(&mut old, &mut new, usize::MAX);
    assert!(old.scheduler.open_jobs.is_empty());
    new.advance(secs(0));
    assert_eq!(new.scheduler.open_jobs.len(), 2);
}

/// Without a successor, waiting jobs would be lost, so they are rejected with a retry hint.
#[test]
fn a_shutdown_without_successor_rejects_waiting_jobs() {
    let mut harness = Harness::new(limits());
    harness.connect(1);
    let held = harness.submit_job(1, json!({"submitAsHold": true}))["jobId"].clone();
    let scheduled = harness.submit_job(1, json!({}))["jobId"].clone();
    harness.server.begin_shutdown();
    let rejected = harness.submit_job(1, json!({}));
    assert_eq!(text_field(&rejected, "error"), "TRY_LATER");
    harness.server.reject_waiting(harness.now);
    harness.run_turn();
    let info =
        harness.send_request(1, json!({"op": "getJobInfo", "jobId": held}))["jobInfo"].clone();
    assert_eq!(text_field(&info, "jobSubState"), "refused");
    assert!(info["retryAfterMs"].is_u64());
    assert_eq!(harness.job_state(1, &scheduled), "QUEUED");
}

fn keyed_bulk(seq: u64) -> Value {
    json!({"op": "runBulkJobs", "beginIndex": 1, "endIndex": 10_000, "seq": seq,
        "template": {"remoteCommand": "/x", "jobCategory": "sheet", "submissionKey": "k-${PARAMETRIC_INDEX}"}})
}

fn large_limits() -> Limits {
    Limits {
        max_jobs: 20_000,
        max_bulk: 10_000,
        ..limits()
    }
}

/// A bulk of 10,000 jobs is interrupted after any number of turns by the loss of the client, a shutdown of the node or
/// an upgrade. Each index must be accepted once when the bulk is submitted again.
#[test]
fn a_bulk_that_is_interrupted_at_any_turn_can_be_resubmitted() {
    for turns in (0..170).step_by(33) {
        for interruption in ["client lost", "shutdown", "upgrade"] {
            let mut harness = Harness::with_prefix(large_limits(), "n0-1");
            harness.connect(1);
            harness.send_line(1, keyed_bulk(7));
            (0..turns).for_each(|_| harness.run_turn());
            let before = harness.scheduler.submitted;
            let mut successor = None;
            match interruption {
                "client lost" => harness.server.handle_disconnect(harness.now, 1),
                "shutdown" => harness.server.begin_shutdown(),
                _ => {
                    let mut new = Harness::with_prefix(large_limits(), "n0-2");
                    new.server.expect_predecessor(new.now);
                    harness.server.begin_handover();
                    harness.server.handle_disconnect(harness.now, 1);
                    exchange(&mut harness, &mut new, usize::MAX);
                    successor = Some(new);
                }
            }
            (0..200).for_each(|_| harness.run_turn());
            if interruption == "shutdown" {
                // Each index is accepted or gets a retry hint.
                let lines = harness.take_received(1);
                let answered: Vec<&Value> = lines
                    .iter()
                    .flat_map(|l| l["jobs"].as_array().unwrap())
                    .collect();
                assert_eq!(answered.len(), 10_000, "{turns}");
                let accepted = answered.iter().filter(|j| j["jobId"].is_string()).count();
                assert_eq!(
                    (accepted as u64, harness.scheduler.submitted),
                    (before, before),
                    "{turns}"
                );
                continue;
            }
            assert_eq!(
                harness.scheduler.submitted, before,
                "{interruption} {turns}: no further job is submitted"
            );
            let submitted_before = if successor.is_some() { before } else { 0 };
            let mut survivor = successor.unwrap_or(harness);
            survivor.connect(2);
            survivor.send_line(2, keyed_bulk(8));
            (0..200).for_each(|_| survivor.run_turn());
            assert_eq!(
                survivor.scheduler.submitted + submitted_before,
                10_000,
                "{interruption} {turns}"
            );
            assert_eq!(
                survivor.scheduler.duplicates, before,
                "{interruption} {turns}"
            );
        }
    }
}
