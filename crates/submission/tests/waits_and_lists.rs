//! Waits, lists, events and large answers.

mod common;

use common::{limits, secs, served, text_of, Bench};
use serde_json::{json, Value};

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
        // Only the second client reads.
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
    // After reconnecting, it names the last event that it has seen.
    b.server.handle_disconnect(b.now, 1);
    b.connect(3);
    let line = b.ask(3, json!({"op": "openSession", "name": "s", "since": 98}));
    assert_eq!(line["lastEvent"], 100);
    assert_eq!(events(b.take(3)).len(), 2);
    let ahead = b.ask(3, json!({"op": "openSession", "name": "s", "since": 101}));
    assert_eq!(text_of(&ahead, "error"), "INVALID_ARGUMENT");
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
        assert_eq!(text_of(&more, "error"), "TRY_LATER");
    }
    assert_eq!(b.server.usage().waits, 64 * 1024);
    b.server.handle_disconnect(b.now, 64);
    assert_eq!(b.server.usage().waits, 63 * 1024);
    let order = b.request(&job);
    b.answer(order, served());
    assert_eq!(b.server.usage().waits, 0);
    for peer in 1..64 {
        let received = b.take(peer);
        let seqs: Vec<u64> = received.iter().filter_map(|v| v["seq"].as_u64()).collect();
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
    let received = |b: &mut Bench, seq: &str| b.take(1).into_iter().find(|v| v["seq"] == seq);
    let first = received(&mut b, "a").expect("it runs");
    assert_eq!(first["jobInfo"]["jobId"], jobs[1]);
    assert_eq!(first["jobInfo"]["machine"], "w1");
    b.pass(secs(1));
    assert_eq!(text_of(&received(&mut b, "c").unwrap(), "error"), "TIMEOUT");
    b.answer(one, served());
    assert_eq!(received(&mut b, "b").unwrap()["jobInfo"]["result"], "made");
    let at_once = b.ask(1, json!({"op": "waitAnyTerminated", "session": "s"}));
    assert_eq!(at_once["jobInfo"]["jobId"], jobs[1]);
    b.ask(1, json!({"op": "reap", "jobId": jobs[1]}));
    b.say(
        1,
        json!({"op": "waitAnyTerminated", "seq": "d", "session": "s"}),
    );
    b.ask(1, json!({"op": "destroySession", "name": "s"}));
    assert_eq!(
        text_of(&received(&mut b, "d").unwrap(), "error"),
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
    assert!(text_of(&wrong, "message").contains("jobNmae"), "{wrong}");
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
        assert_eq!(text_of(&answer, "error"), "UNSUPPORTED_ATTRIBUTE");
        assert!(text_of(&answer, "message").contains(name.as_str().unwrap()));
        let unset = b.run(1, json!({name.as_str().unwrap(): null}));
        assert!(unset["jobId"].is_string(), "{unset}");
    }
    let rerun = b.run(1, json!({"rerunnable": false}));
    assert_eq!(text_of(&rerun, "error"), "UNSUPPORTED_ATTRIBUTE");
    let job = b.run(1, json!({"rerunnable": true}))["jobId"].clone();
    let waits = b.ask(1, json!({"op": "suspend", "jobId": job}));
    assert_eq!(text_of(&waits, "error"), "INVALID_STATE");
    let order = b.request(&job);
    b.send(order, true);
    let runs = b.ask(1, json!({"op": "suspend", "jobId": job}));
    assert_eq!(text_of(&runs, "error"), "UNSUPPORTED_OPERATION");
    let none = b.ask(1, json!({"op": "resume", "jobId": job}));
    assert_eq!(text_of(&none, "error"), "INVALID_STATE");
    let reservations = b.ask(1, json!({"op": "getAllReservations"}));
    assert_eq!(text_of(&reservations, "error"), "UNSUPPORTED_OPERATION");
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
    let received: usize = lines
        .iter()
        .map(|line| line["machines"].as_array().unwrap().len())
        .sum();
    assert_eq!((more, received), (49, 10_000));
    b.scheduler.machines = 0;
    let one = b.ask(1, json!({"op": "getAllMachines", "names": ["none"]}));
    assert_eq!((&one["machines"], &one["more"]), (&json!([]), &Value::Null));
}
