//! Arrays and bulks: their limits, and clients that are lost in the middle.

mod common;

use common::{limits, secs, served, text_of, Bench};
use marbledeck_submission::{Limits, Verdict};
use serde_json::{json, Value};

/// A rejected member pauses the others.
#[test]
fn max_parallel_holds_whatever_becomes_of_the_members() {
    let mut b = Bench::new(limits());
    b.connect(1);
    let bulk = json!({"op": "runBulkJobs", "beginIndex": 1, "endIndex": 200, "maxParallel": 3,
        "template": {"remoteCommand": "/${PARAMETRIC_INDEX}", "jobCategory": "preview"}});
    let answer = b.ask(1, bulk);
    assert_eq!(answer["jobs"].as_array().unwrap().len(), 200);
    b.pass(secs(0));
    let array = answer["jobArrayId"].clone();
    for round in 0..40 {
        assert_eq!(b.scheduler.open.len(), 3, "round {round}");
        let id = *b.scheduler.open.keys().next().unwrap();
        b.send(id, round % 2 == 0);
        match round % 4 {
            0 => b.answer(id, served()),
            1 => b.answer(id, Verdict::Failed),
            2 => {
                b.requeue(id);
                b.answer(id, served());
            }
            _ => {
                b.answer(
                    id,
                    Verdict::Rejected {
                        retry_after: Some(secs(2)),
                    },
                );
                assert_eq!(
                    b.scheduler.open.len(),
                    2,
                    "no other is handed on into the refusal"
                );
                b.pass(secs(1));
                assert_eq!(b.scheduler.open.len(), 2);
                b.pass(secs(1));
            }
        }
        b.pass(secs(0));
    }
    let info = b.ask(1, json!({"op": "getJobArray", "jobArrayId": array}));
    assert_eq!(info["jobArray"]["ended"], 40);
    assert_eq!(info["jobArray"]["active"], 3);
    // All members have ended, and that has started none.
    let taken = b.scheduler.submitted;
    let all = b.ask(1, json!({"op": "terminate", "jobArrayId": array}));
    assert_eq!(
        (&all["changed"], &all["refused"]),
        (&json!(160), &json!(40))
    );
    b.pass(secs(3));
    assert_eq!((b.scheduler.open.len(), b.scheduler.submitted), (0, taken));
}

/// The scheduler cannot accept another job for a while.
#[test]
fn a_member_keeps_its_place_while_the_scheduler_is_full() {
    let mut b = Bench::new(limits());
    b.connect(1);
    b.scheduler.full = true;
    let bulk = json!({"op": "runBulkJobs", "beginIndex": 1, "endIndex": 3, "maxParallel": 2,
        "template": {"remoteCommand": "/x", "jobCategory": "preview"}});
    b.ask(1, bulk);
    b.pass(secs(3));
    assert!(b.scheduler.open.is_empty());
    b.scheduler.full = false;
    b.pass(secs(1));
    assert_eq!(b.scheduler.open.len(), 2);
}

/// A part of the bulk is accepted.
#[test]
fn a_bulk_beyond_the_limits_answers_every_index() {
    let mut b = Bench::new(Limits {
        max_jobs: 100,
        ..limits()
    });
    b.connect(1);
    let bulk = json!({"op": "runBulkJobs", "beginIndex": 1, "endIndex": 300, "seq": 7,
        "template": {"remoteCommand": "/x", "jobCategory": "preview"}});
    b.say(1, bulk);
    for _ in 0..10 {
        b.turn();
    }
    let lines = b.take(1);
    assert_eq!(lines.len(), 2, "256 jobs a line");
    assert_eq!(
        (&lines[0]["more"], &lines[1]["more"]),
        (&json!(true), &Value::Null)
    );
    let of = |line: &Value| line["jobs"].as_array().unwrap().clone();
    let jobs = [of(&lines[0]), of(&lines[1])].concat();
    let indices: Vec<i64> = jobs.iter().map(|j| j["index"].as_i64().unwrap()).collect();
    assert_eq!(indices, (1..=300).collect::<Vec<i64>>());
    let taken = jobs.iter().filter(|j| j["jobId"].is_string()).count();
    let later = jobs
        .iter()
        .filter(|j| text_of(j, "error") == "TRY_LATER")
        .count();
    assert_eq!((taken, later), (100, 200));
}

/// Accepted jobs go on, the rest is dropped, and a resubmission with the same keys runs nothing twice.
#[test]
fn a_client_lost_in_a_bulk_can_resubmit_without_repeats() {
    let mut b = Bench::new(limits());
    b.connect(1);
    let bulk = json!({"op": "runBulkJobs", "beginIndex": 1, "endIndex": 400, "seq": 7,
        "template": {"remoteCommand": "/x", "jobCategory": "sheet", "submissionKey": "k-${PARAMETRIC_INDEX}"}});
    b.say(1, bulk.clone());
    let before = b.scheduler.open.len();
    assert!((64..400).contains(&before));
    b.server.handle_disconnect(b.now, 1);
    b.pass(secs(1));
    assert_eq!(b.scheduler.open.len(), before);
    b.connect(2);
    b.say(2, bulk);
    for _ in 0..10 {
        b.turn();
    }
    assert_eq!(b.scheduler.submitted, 400);
    assert_eq!(b.scheduler.duplicates as usize, before);
}
