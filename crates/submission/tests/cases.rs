//! Races, limits and losses, one by one, in virtual time.

mod common;

use common::{limits, Bench};
use marbledeck_dispatcher::Micros;
use marbledeck_submission::{Limits, Partner, Verdict};
use serde_json::{json, Value};

fn served() -> Verdict {
    Verdict::Served(b"made".to_vec())
}

fn secs(s: u64) -> Micros {
    Micros(s * 1_000_000)
}

fn words(value: &Value, name: &str) -> String {
    value[name].as_str().unwrap_or("").to_owned()
}

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
    assert_eq!(words(&late, "error"), "INVALID_STATE");
    assert_eq!(b.state(1, &first), "DONE");
    let done = b.ask(1, json!({"op": "terminate", "jobId": second}));
    assert_eq!(words(&done, "jobState"), "FAILED");
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
    assert_eq!(words(&answer, "jobState"), "QUEUED_HELD");
    assert!(
        b.scheduler.open.is_empty(),
        "the decisions no longer have it"
    );
    let sent = b.run(1, json!({}))["jobId"].clone();
    let order = b.request(&sent);
    b.send(order, false);
    let answer = b.ask(1, json!({"op": "hold", "jobId": sent}));
    assert_eq!(words(&answer, "error"), "INVALID_STATE");
    assert_eq!(b.state(1, &sent), "QUEUED");
    let answer = b.ask(1, json!({"op": "release", "jobId": held}));
    assert_eq!(words(&answer, "jobState"), "QUEUED");
    let order = b.request(&held);
    b.answer(order, served());
    assert_eq!(b.state(1, &held), "DONE");
}

/// Release and the end of the longest hold, in both orders.
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
    assert_eq!(words(&answer, "error"), "INVALID_STATE");
    let info = b.ask(1, json!({"op": "getJobInfo", "jobId": late}));
    assert_eq!(words(&info["jobInfo"], "jobSubState"), "expired");
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
    assert_eq!(words(&job, "jobState"), "QUEUED_HELD");
    let never = b.run(1, json!({"submitAsHold": true, "deadlineTime": ms + 7000}))["jobId"].clone();
    let wrong = b.run(
        1,
        json!({"startTime": ms + 9000, "deadlineTime": ms + 7000}),
    );
    assert_eq!(words(&wrong, "error"), "INVALID_ARGUMENT");
    b.pass(secs(4));
    assert!(b.scheduler.open.is_empty());
    b.pass(secs(1));
    assert_eq!(b.scheduler.open.len(), 1);
    b.pass(secs(2));
    let info = b.ask(1, json!({"op": "getJobInfo", "jobId": never}));
    assert_eq!(words(&info["jobInfo"], "error"), "TIMEOUT");
    assert_eq!(words(&info["jobInfo"], "jobSubState"), "overdue");
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
    assert_eq!(words(&early, "error"), "INVALID_STATE");
    b.answer(order, served());
    let reaped = b.ask(1, json!({"op": "reap", "jobId": job}));
    assert_eq!(words(&reaped, "jobState"), "DONE");
    let again = b.ask(1, json!({"op": "getJobInfo", "jobId": job}));
    assert_eq!(words(&again, "error"), "INVALID_ARGUMENT");
    let joined = b.run(1, sheet.clone());
    assert_eq!(
        (&joined["jobId"], &joined["duplicate"]),
        (&job, &json!(true))
    );
    let other = b.run(
        1,
        json!({"jobCategory": "sheet", "submissionKey": "k", "remoteCommand": "/y"}),
    );
    assert_eq!(words(&other, "error"), "INVALID_ARGUMENT");
    b.pass(secs(41));
    assert_eq!(b.run(1, sheet)["duplicate"], json!(false));
    assert_eq!(b.scheduler.submitted, 2);
}

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
    // All is ended, and none is started by that.
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
        .filter(|j| words(j, "error") == "TRY_LATER")
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

/// A reader that does not read costs only its position.
#[test]
fn a_lagging_reader_gets_a_gap_and_misses_nothing_else() {
    let mut b = Bench::new(limits());
    b.connect(1);
    b.connect(2);
    b.ask(1, json!({"op": "createSession", "name": "s"}));
    b.ask(2, json!({"op": "openSession", "name": "s"}));
    b.take(1);
    for n in 0..100 {
        // Only the second one reads.
        let line = json!({"op": "runJob", "seq": n, "session": "s",
            "template": {"remoteCommand": "/x", "jobCategory": "preview"}});
        let bytes = serde_json::to_vec(&line).unwrap();
        b.server.handle_line(b.now, 2, &bytes, &mut b.scheduler);
        b.server.answer_submissions(b.now);
        b.read_all(2);
    }
    let events = |lines: Vec<Value>| -> Vec<Value> {
        lines
            .into_iter()
            .filter(|v| v["event"].is_string())
            .collect()
    };
    let second = events(b.take(2));
    assert_eq!(second.len(), 100);
    assert!(second.iter().enumerate().all(|(i, v)| v["number"] == i + 1));
    b.read_all(1);
    let first = events(b.take(1));
    assert_eq!(
        (&first[0]["event"], &first[0]["from"]),
        (&json!("GAP"), &json!(1))
    );
    let to = first[0]["to"].as_u64().unwrap();
    assert_eq!((to, first.len()), (36, 65));
    assert_eq!(first[1]["number"], to + 1);
    // Come back, it names what it has seen.
    b.server.handle_disconnect(b.now, 1);
    b.connect(3);
    let line = b.ask(3, json!({"op": "openSession", "name": "s", "since": 98}));
    assert_eq!(line["lastEvent"], 100);
    assert_eq!(events(b.take(3)).len(), 2);
    let ahead = b.ask(3, json!({"op": "openSession", "name": "s", "since": 101}));
    assert_eq!(words(&ahead, "error"), "INVALID_ARGUMENT");
}

/// 64 clients with 1,024 waits each.
#[test]
fn one_end_answers_all_waits_of_many_clients() {
    let mut b = Bench::new(limits());
    b.connect(0);
    let job = b.run(0, json!({}))["jobId"].clone();
    for peer in 1..=64 {
        b.connect(peer);
        for seq in 0..1024 {
            let line = json!({"op": "waitTerminated", "seq": seq, "jobId": job});
            let bytes = serde_json::to_vec(&line).unwrap();
            b.server.handle_line(b.now, peer, &bytes, &mut b.scheduler);
        }
        let more = b.ask(peer, json!({"op": "waitTerminated", "jobId": job}));
        assert_eq!(words(&more, "error"), "TRY_LATER");
    }
    assert_eq!(b.server.usage().waits, 64 * 1024);
    b.server.handle_disconnect(b.now, 64);
    assert_eq!(b.server.usage().waits, 63 * 1024);
    let order = b.request(&job);
    b.answer(order, served());
    assert_eq!(b.server.usage().waits, 0);
    for peer in 1..64 {
        let told = b.take(peer);
        let seqs: Vec<u64> = told.iter().filter_map(|v| v["seq"].as_u64()).collect();
        assert_eq!(seqs, (0..1024).collect::<Vec<u64>>());
    }
}

/// Waits for a list, an array and a session: met at once, timed out, and ended with the session.
#[test]
fn a_wait_for_any_ends_with_the_first_match() {
    let mut b = Bench::new(limits());
    b.connect(1);
    b.ask(1, json!({"op": "createSession", "name": "s"}));
    let jobs: Vec<Value> = (0..3)
        .map(|_| b.run(1, json!({"session": "s"}))["jobId"].clone())
        .collect();
    b.take(1);
    b.say(
        1,
        json!({"op": "waitAnyStarted", "seq": "a", "jobIds": jobs}),
    );
    b.say(
        1,
        json!({"op": "waitAnyTerminated", "seq": "b", "session": "s", "timeoutMs": 60_000}),
    );
    b.say(
        1,
        json!({"op": "waitAnyTerminated", "seq": "c", "jobIds": [jobs[0]], "timeoutMs": 1000}),
    );
    let one = b.request(&jobs[1]);
    b.send(one, true);
    let told = |b: &mut Bench, seq: &str| b.take(1).into_iter().find(|v| v["seq"] == seq);
    let first = told(&mut b, "a").expect("it runs");
    assert_eq!(first["jobInfo"]["jobId"], jobs[1]);
    assert_eq!(first["jobInfo"]["machine"], "w1");
    b.pass(secs(1));
    assert_eq!(words(&told(&mut b, "c").unwrap(), "error"), "TIMEOUT");
    b.answer(one, served());
    assert_eq!(told(&mut b, "b").unwrap()["jobInfo"]["result"], "made");
    let at_once = b.ask(1, json!({"op": "waitAnyTerminated", "session": "s"}));
    assert_eq!(at_once["jobInfo"]["jobId"], jobs[1]);
    b.ask(1, json!({"op": "reap", "jobId": jobs[1]}));
    b.say(
        1,
        json!({"op": "waitAnyTerminated", "seq": "d", "session": "s"}),
    );
    b.ask(1, json!({"op": "destroySession", "name": "s"}));
    assert_eq!(
        words(&told(&mut b, "d").unwrap(), "error"),
        "INVALID_SESSION"
    );
    assert_eq!(b.state(1, &jobs[0]), "QUEUED");
}

/// A page examines a bounded number of jobs.
#[test]
fn lists_are_filtered_and_paged() {
    let mut b = Bench::new(limits());
    b.connect(1);
    let bulk = json!({"op": "runBulkJobs", "beginIndex": 1, "endIndex": 250, "maxParallel": 1,
        "template": {"remoteCommand": "/x", "jobCategory": "preview", "jobName": "j${PARAMETRIC_INDEX}"}});
    let array = b.ask(1, bulk)["jobArrayId"].clone();
    let other = b.run(1, json!({"jobName": "lone", "accountingId": "au"}))["jobId"].clone();
    let (mut seen, mut after) = (0, Value::Null);
    loop {
        let page = b.ask(
            1,
            json!({"op": "listJobs", "filter": {"jobArrayId": array}, "limit": 99, "after": after}),
        );
        seen += page["jobs"].as_array().unwrap().len();
        after = page["next"].clone();
        if after.is_null() {
            break;
        }
    }
    assert_eq!(seen, 250);
    let named = b.ask(
        1,
        json!({"op": "listJobs", "filter": {"jobName": "lone", "accountingId": "au"}}),
    );
    assert_eq!(named["jobs"][0]["jobId"], other);
    let none = b.ask(
        1,
        json!({"op": "listJobs", "filter": {"jobStates": ["DONE"]}}),
    );
    assert_eq!(none["jobs"], json!([]));
    let wrong = b.ask(1, json!({"op": "listJobs", "filter": {"jobNmae": "x"}}));
    assert!(words(&wrong, "message").contains("jobNmae"), "{wrong}");
}

/// By attribute and operation.
#[test]
fn unsupported_features_are_rejected_and_announced() {
    let mut b = Bench::new(limits());
    b.connect(1);
    let caps = b.ask(1, json!({"op": "getCapabilities"}));
    assert_eq!(caps["capabilities"]["SUSPEND"], false);
    for name in caps["unsupportedAttributes"].as_array().unwrap() {
        let answer = b.run(1, json!({name.as_str().unwrap(): "set"}));
        assert_eq!(words(&answer, "error"), "UNSUPPORTED_ATTRIBUTE");
        assert!(words(&answer, "message").contains(name.as_str().unwrap()));
        let unset = b.run(1, json!({name.as_str().unwrap(): null}));
        assert!(unset["jobId"].is_string(), "{unset}");
    }
    let rerun = b.run(1, json!({"rerunnable": false}));
    assert_eq!(words(&rerun, "error"), "UNSUPPORTED_ATTRIBUTE");
    let job = b.run(1, json!({"rerunnable": true}))["jobId"].clone();
    let waits = b.ask(1, json!({"op": "suspend", "jobId": job}));
    assert_eq!(words(&waits, "error"), "INVALID_STATE");
    let order = b.request(&job);
    b.send(order, true);
    let runs = b.ask(1, json!({"op": "suspend", "jobId": job}));
    assert_eq!(words(&runs, "error"), "UNSUPPORTED_OPERATION");
    let none = b.ask(1, json!({"op": "resume", "jobId": job}));
    assert_eq!(words(&none, "error"), "INVALID_STATE");
    let reservations = b.ask(1, json!({"op": "getAllReservations"}));
    assert_eq!(words(&reservations, "error"), "UNSUPPORTED_OPERATION");
}

/// Exchanges at most `max_messages` messages between predecessor and successor.
fn carry(old: &mut Bench, new: &mut Bench, max_messages: usize) -> usize {
    let mut carried = 0;
    loop {
        let before = carried;
        while carried < max_messages {
            let Some(message) = old.server.next_transfer(Partner::Successor) else {
                break;
            };
            let message = serde_json::from_value(serde_json::to_value(message).unwrap()).unwrap();
            new.server
                .handle_transfer(new.now, Partner::Predecessor, message, &mut new.scheduler);
            carried += 1;
        }
        while carried < max_messages {
            let Some(message) = new.server.next_transfer(Partner::Predecessor) else {
                break;
            };
            let message = serde_json::from_value(serde_json::to_value(message).unwrap()).unwrap();
            old.server
                .handle_transfer(old.now, Partner::Successor, message, &mut old.scheduler);
            carried += 1;
        }
        if carried == before {
            return carried;
        }
    }
}

/// The loss of either process after any number of messages: no key is submitted twice, and the survivor has all
/// acknowledged jobs.
#[test]
#[expect(clippy::too_many_lines, reason = "one handover, from both sides")]
fn a_handover_cut_anywhere_ends_every_job_once() {
    for most in 0..40 {
        for old_dies in [false, true] {
            let mut old = Bench::named(limits(), "n0-1");
            old.connect(1);
            old.ask(1, json!({"op": "createSession", "name": "s"}));
            let sheet =
                |key: &str| json!({"jobCategory": "sheet", "submissionKey": key, "session": "s"});
            let out = old.run(1, sheet("out"))["jobId"].clone();
            let order = old.request(&out);
            old.send(order, true);
            let done = old.run(1, sheet("done"))["jobId"].clone();
            let finished = old.request(&done);
            old.send(finished, true);
            old.answer(finished, served());
            let mut held = sheet("held");
            held["submitAsHold"] = true.into();
            let held_job = old.run(1, held.clone())["jobId"].clone();
            let bulk = json!({"op": "runBulkJobs", "beginIndex": 1, "endIndex": 8, "maxParallel": 2, "session": "s",
                "template": {"remoteCommand": "/x", "jobCategory": "sheet", "submissionKey": "b${PARAMETRIC_INDEX}"}});
            let array = old.ask(1, bulk.clone())["jobArrayId"].clone();
            old.pass(secs(0));
            assert_eq!(old.scheduler.open.len(), 3);
            let mut new = Bench::named(limits(), "n0-2");
            new.now = old.now;
            new.server.expect_predecessor(new.now);
            old.server.begin_handover();
            old.server.handle_disconnect(old.now, 1);
            let carried = carry(&mut old, &mut new, most);
            let whole = carried < most;
            let mut survivor = if old_dies {
                new.server
                    .handle_partner_lost(new.now, Partner::Predecessor);
                new
            } else {
                old.server.handle_partner_lost(old.now, Partner::Successor);
                old
            };
            survivor.connect(5);
            survivor.turn();
            if old_dies && !whole {
                // What had not been told is lost with the process, as at any crash; what was told is consistent.
                survivor.pass(secs(200));
                continue;
            }
            let case = format!("{most} messages, old dies: {old_dies}");
            let joined = survivor.run(5, sheet("done"));
            assert_eq!(
                (&joined["jobId"], &joined["duplicate"]),
                (&done, &json!(true)),
                "{case}"
            );
            assert_eq!(survivor.state(5, &done), "DONE", "{case}");
            let joined = survivor.run(5, held.clone());
            assert_eq!(joined["jobId"], held_job, "{case}");
            assert_eq!(
                survivor.state(5, &out),
                if old_dies { "FAILED" } else { "RUNNING" },
                "{case}"
            );
            let info = survivor.ask(5, json!({"op": "getJobArray", "jobArrayId": array}));
            assert_eq!(info["jobArray"]["jobs"], 8, "{case}");
            survivor.ask(5, json!({"op": "release", "jobId": held_job}));
            // All that still waits runs, each key once.
            for _ in 0..40 {
                survivor.pass(secs(0));
                for id in survivor.scheduler.open.keys().copied().collect::<Vec<_>>() {
                    survivor.send(id, true);
                    survivor.answer(id, served());
                }
            }
            let page = survivor.ask(5, json!({"op": "listJobs", "session": "s"}));
            let jobs = page["jobs"].as_array().unwrap();
            assert_eq!(jobs.len(), 11, "{case}");
            for job in jobs {
                assert!(
                    ["DONE", "FAILED"].contains(&words(job, "jobState").as_str()),
                    "{case}: {job}"
                );
            }
        }
    }
}

/// Jobs in flight end with the predecessor, the successor reports them, and `maxParallel` holds over both.
#[test]
fn jobs_in_flight_end_across_a_handover() {
    let mut old = Bench::named(limits(), "n0-1");
    old.connect(1);
    old.ask(1, json!({"op": "createSession", "name": "s"}));
    let bulk = json!({"op": "runBulkJobs", "beginIndex": 1, "endIndex": 5, "maxParallel": 2, "session": "s",
        "template": {"remoteCommand": "/x", "jobCategory": "preview"}});
    let answer = old.ask(1, bulk);
    let first = answer["jobs"][0]["jobId"].clone();
    old.pass(secs(0));
    let mut new = Bench::named(limits(), "n0-2");
    new.now = old.now;
    new.server.expect_predecessor(new.now);
    new.connect(9);
    assert!(!new.server.accepts_line(9), "not before all is known");
    old.server.begin_handover();
    carry(&mut old, &mut new, usize::MAX);
    assert!(new.server.accepts_line(9) && old.server.is_handover_complete());
    new.pass(secs(1));
    old.pass(secs(1));
    assert_eq!((old.scheduler.open.len(), new.scheduler.open.len()), (2, 0));
    new.ask(9, json!({"op": "openSession", "name": "s", "since": 5}));
    new.say(
        9,
        json!({"op": "waitTerminated", "seq": "w", "jobId": first}),
    );
    let order = old.request(&first);
    old.send(order, true);
    old.answer(order, served());
    carry(&mut old, &mut new, usize::MAX);
    new.pass(secs(0));
    assert_eq!((old.scheduler.open.len(), new.scheduler.open.len()), (1, 1));
    let read = new.take(9);
    let waited = read
        .iter()
        .find(|v| v["seq"] == "w")
        .expect("told by the new one");
    assert_eq!(waited["jobInfo"]["result"], "made");
    let numbers: Vec<u64> = read.iter().filter_map(|v| v["number"].as_u64()).collect();
    assert!(
        numbers.windows(2).all(|pair| pair[1] == pair[0] + 1),
        "{numbers:?}"
    );
    // Ended by its submitter there, a job is out here no longer.
    let second = answer["jobs"][1]["jobId"].clone();
    let ended = new.ask(9, json!({"op": "terminate", "jobId": second}));
    assert_eq!(words(&ended, "jobState"), "FAILED");
    carry(&mut old, &mut new, usize::MAX);
    assert!(old.scheduler.open.is_empty());
    new.pass(secs(0));
    assert_eq!(new.scheduler.open.len(), 2);
}

/// With a retry hint.
#[test]
fn a_shutdown_without_successor_rejects_waiting_jobs() {
    let mut b = Bench::new(limits());
    b.connect(1);
    let held = b.run(1, json!({"submitAsHold": true}))["jobId"].clone();
    let out = b.run(1, json!({}))["jobId"].clone();
    b.server.begin_shutdown();
    let more = b.run(1, json!({}));
    assert_eq!(words(&more, "error"), "TRY_LATER");
    b.server.reject_waiting(b.now);
    b.turn();
    let info = b.ask(1, json!({"op": "getJobInfo", "jobId": held}))["jobInfo"].clone();
    assert_eq!(words(&info, "jobSubState"), "refused");
    assert!(info["retryAfterMs"].is_u64());
    assert_eq!(b.state(1, &out), "QUEUED");
}

fn keyed_bulk(seq: u64) -> Value {
    json!({"op": "runBulkJobs", "beginIndex": 1, "endIndex": 10_000, "seq": seq,
        "template": {"remoteCommand": "/x", "jobCategory": "sheet", "submissionKey": "k-${PARAMETRIC_INDEX}"}})
}

fn roomy() -> Limits {
    Limits {
        max_jobs: 20_000,
        max_bulk: 10_000,
        ..limits()
    }
}

/// A client, the node, or its process ends after any number of turns of a bulk of 10,000: a resubmission gets each
/// index accepted once.
#[test]
fn a_bulk_cut_at_every_turn_can_be_resubmitted() {
    for turns in (0..170).step_by(33) {
        for how in ["dies", "ends", "upgrade"] {
            let mut b = Bench::named(roomy(), "n0-1");
            b.connect(1);
            b.say(1, keyed_bulk(7));
            (0..turns).for_each(|_| b.turn());
            let before = b.scheduler.submitted;
            let mut heir = None;
            match how {
                "dies" => b.server.handle_disconnect(b.now, 1),
                "ends" => b.server.begin_shutdown(),
                _ => {
                    let mut new = Bench::named(roomy(), "n0-2");
                    new.server.expect_predecessor(new.now);
                    b.server.begin_handover();
                    b.server.handle_disconnect(b.now, 1);
                    carry(&mut b, &mut new, usize::MAX);
                    heir = Some(new);
                }
            }
            (0..200).for_each(|_| b.turn());
            if how == "ends" {
                // Each index is answered: taken, or to come back.
                let lines = b.take(1);
                let answered: Vec<&Value> = lines
                    .iter()
                    .flat_map(|l| l["jobs"].as_array().unwrap())
                    .collect();
                assert_eq!(answered.len(), 10_000, "{turns}");
                let taken = answered.iter().filter(|j| j["jobId"].is_string()).count();
                assert_eq!(
                    (taken as u64, b.scheduler.submitted),
                    (before, before),
                    "{turns}"
                );
                continue;
            }
            assert_eq!(
                b.scheduler.submitted, before,
                "{how} {turns}: nothing more is taken"
            );
            let elders = if heir.is_some() { before } else { 0 };
            let mut survivor = heir.unwrap_or(b);
            survivor.connect(2);
            survivor.say(2, keyed_bulk(8));
            (0..200).for_each(|_| survivor.turn());
            assert_eq!(
                survivor.scheduler.submitted + elders,
                10_000,
                "{how} {turns}"
            );
            assert_eq!(survivor.scheduler.duplicates, before, "{how} {turns}");
        }
    }
}

/// 10,000 machines; each line fits the buffer of a connection.
#[test]
fn a_large_fleet_is_answered_in_short_lines() {
    let mut b = Bench::new(limits());
    b.connect(1);
    b.scheduler.machines = 9_999;
    b.say(1, json!({"op": "getAllMachines", "seq": 1}));
    let lines = b.take(1);
    assert_eq!(lines.len(), 50);
    assert!(lines.iter().all(|line| line.to_string().len() < 64 * 1024));
    let more = lines.iter().filter(|line| line["more"] == true).count();
    let told: usize = lines
        .iter()
        .map(|line| line["machines"].as_array().unwrap().len())
        .sum();
    assert_eq!((more, told), (49, 10_000));
    b.scheduler.machines = 0;
    let one = b.ask(1, json!({"op": "getAllMachines", "names": ["none"]}));
    assert_eq!((&one["machines"], &one["more"]), (&json!([]), &Value::Null));
}
