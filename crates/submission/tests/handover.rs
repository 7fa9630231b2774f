//! Handover to a successor, shutdown, and losses at any point of them.

mod common;

use common::{limits, secs, served, text_of, Bench};
use marbledeck_submission::{Limits, Partner};
use serde_json::{json, Value};

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
                // What was not sent is lost with the process, as in any crash; what was sent is consistent.
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
            // All jobs that still wait run, each key once.
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
                    ["DONE", "FAILED"].contains(&text_of(job, "jobState").as_str()),
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
        .expect("the successor reports it");
    assert_eq!(waited["jobInfo"]["result"], "made");
    let numbers: Vec<u64> = read.iter().filter_map(|v| v["number"].as_u64()).collect();
    assert!(
        numbers.windows(2).all(|pair| pair[1] == pair[0] + 1),
        "{numbers:?}"
    );
    // A job that its client has terminated there is no longer with this scheduler.
    let second = answer["jobs"][1]["jobId"].clone();
    let ended = new.ask(9, json!({"op": "terminate", "jobId": second}));
    assert_eq!(text_of(&ended, "jobState"), "FAILED");
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
    assert_eq!(text_of(&more, "error"), "TRY_LATER");
    b.server.reject_waiting(b.now);
    b.turn();
    let info = b.ask(1, json!({"op": "getJobInfo", "jobId": held}))["jobInfo"].clone();
    assert_eq!(text_of(&info, "jobSubState"), "refused");
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
            let mut successor = None;
            match how {
                "dies" => b.server.handle_disconnect(b.now, 1),
                "ends" => b.server.begin_shutdown(),
                _ => {
                    let mut new = Bench::named(roomy(), "n0-2");
                    new.server.expect_predecessor(new.now);
                    b.server.begin_handover();
                    b.server.handle_disconnect(b.now, 1);
                    carry(&mut b, &mut new, usize::MAX);
                    successor = Some(new);
                }
            }
            (0..200).for_each(|_| b.turn());
            if how == "ends" {
                // Each index is accepted or gets a retry hint.
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
            let submitted_before = if successor.is_some() { before } else { 0 };
            let mut survivor = successor.unwrap_or(b);
            survivor.connect(2);
            survivor.say(2, keyed_bulk(8));
            (0..200).for_each(|_| survivor.turn());
            assert_eq!(
                survivor.scheduler.submitted + submitted_before,
                10_000,
                "{how} {turns}"
            );
            assert_eq!(survivor.scheduler.duplicates, before, "{how} {turns}");
        }
    }
}
