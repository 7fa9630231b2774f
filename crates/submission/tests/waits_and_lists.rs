//! Waits, job lists, session events and answers of many lines.

mod common;

use common::{limits, secs, served, text_field, Harness};
use serde_json::{json, Value};

/// A session's history is bounded. A client that does not read in time receives a gap for the dropped events.
#[test]
fn a_lagging_reader_receives_a_gap_and_all_later_events() {
    let mut harness = Harness::new(limits());
    harness.connect(1);
    harness.connect(2);
    harness.send_request(1, json!({"op": "createSession", "name": "s"}));
    harness.send_request(2, json!({"op": "openSession", "name": "s"}));
    harness.take_received(1);
    for n in 0..100 {
        // Only the second client reads.
        let line = json!({"op": "runJob", "seq": n, "session": "s",
            "template": {"remoteCommand": "/x", "jobCategory": "preview"}});
        let bytes = serde_json::to_vec(&line).unwrap();
        harness
            .server
            .handle_line(harness.now, 2, &bytes, &mut harness.scheduler);
        harness.server.answer_submissions(harness.now);
        harness.read_output(2);
    }
    let events = |lines: Vec<Value>| -> Vec<Value> {
        lines
            .into_iter()
            .filter(|v| v["event"].is_string())
            .collect()
    };
    let second = events(harness.take_received(2));
    assert_eq!(second.len(), 100);
    assert!(second.iter().enumerate().all(|(i, v)| v["number"] == i + 1));
    harness.read_output(1);
    let first = events(harness.take_received(1));
    assert_eq!(
        (&first[0]["event"], &first[0]["from"]),
        (&json!("GAP"), &json!(1))
    );
    let to = first[0]["to"].as_u64().unwrap();
    assert_eq!((to, first.len()), (36, 65));
    assert_eq!(first[1]["number"], to + 1);
    // A client that reconnects continues after the last event that it has received.
    harness.server.handle_disconnect(harness.now, 1);
    harness.connect(3);
    let line = harness.send_request(3, json!({"op": "openSession", "name": "s", "since": 98}));
    assert_eq!(line["lastEvent"], 100);
    assert_eq!(events(harness.take_received(3)).len(), 2);
    let ahead = harness.send_request(3, json!({"op": "openSession", "name": "s", "since": 101}));
    assert_eq!(text_field(&ahead, "error"), "INVALID_ARGUMENT");
}

/// 64 clients with 1,024 waits each, the maximum of a client.
#[test]
fn the_end_of_a_job_answers_all_waits_of_many_clients() {
    let mut harness = Harness::new(limits());
    harness.connect(0);
    let job = harness.submit_job(0, json!({}))["jobId"].clone();
    for client in 1..=64 {
        harness.connect(client);
        for seq in 0..1024 {
            let line = json!({"op": "waitTerminated", "seq": seq, "jobId": job});
            let bytes = serde_json::to_vec(&line).unwrap();
            harness
                .server
                .handle_line(harness.now, client, &bytes, &mut harness.scheduler);
        }
        let more = harness.send_request(client, json!({"op": "waitTerminated", "jobId": job}));
        assert_eq!(text_field(&more, "error"), "TRY_LATER");
    }
    assert_eq!(harness.server.usage().waits, 64 * 1024);
    harness.server.handle_disconnect(harness.now, 64);
    assert_eq!(harness.server.usage().waits, 63 * 1024);
    let request = harness.request_id(&job);
    harness.end_request(request, served());
    assert_eq!(harness.server.usage().waits, 0);
    for client in 1..64 {
        let received = harness.take_received(client);
        let seqs: Vec<u64> = received.iter().filter_map(|v| v["seq"].as_u64()).collect();
        assert_eq!(seqs, (0..1024).collect::<Vec<u64>>());
    }
}

/// Waits on lists of jobs and on a session: satisfied later, satisfied immediately, timed out, and ended with the
/// session.
#[test]
fn a_wait_for_any_ends_with_the_first_match() {
    let mut harness = Harness::new(limits());
    harness.connect(1);
    harness.send_request(1, json!({"op": "createSession", "name": "s"}));
    let jobs: Vec<Value> = (0..3)
        .map(|_| harness.submit_job(1, json!({"session": "s"}))["jobId"].clone())
        .collect();
    harness.take_received(1);
    harness.send_line(
        1,
        json!({"op": "waitAnyStarted", "seq": "a", "jobIds": jobs}),
    );
    harness.send_line(
        1,
        json!({"op": "waitAnyTerminated", "seq": "b", "session": "s", "timeoutMs": 60_000}),
    );
    harness.send_line(
        1,
        json!({"op": "waitAnyTerminated", "seq": "c", "jobIds": [jobs[0]], "timeoutMs": 1000}),
    );
    let one = harness.request_id(&jobs[1]);
    harness.send_to_worker(one, true);
    let received = |harness: &mut Harness, seq: &str| {
        harness
            .take_received(1)
            .into_iter()
            .find(|v| v["seq"] == seq)
    };
    let first = received(&mut harness, "a").expect("the wait for the start is answered");
    assert_eq!(first["jobInfo"]["jobId"], jobs[1]);
    assert_eq!(first["jobInfo"]["machine"], "w1");
    harness.advance(secs(1));
    assert_eq!(
        text_field(&received(&mut harness, "c").unwrap(), "error"),
        "TIMEOUT"
    );
    harness.end_request(one, served());
    assert_eq!(
        received(&mut harness, "b").unwrap()["jobInfo"]["result"],
        "made"
    );
    let at_once = harness.send_request(1, json!({"op": "waitAnyTerminated", "session": "s"}));
    assert_eq!(at_once["jobInfo"]["jobId"], jobs[1]);
    harness.send_request(1, json!({"op": "reap", "jobId": jobs[1]}));
    harness.send_line(
        1,
        json!({"op": "waitAnyTerminated", "seq": "d", "session": "s"}),
    );
    harness.send_request(1, json!({"op": "destroySession", "name": "s"}));
    assert_eq!(
        text_field(&received(&mut harness, "d").unwrap(), "error"),
        "INVALID_SESSION"
    );
    assert_eq!(harness.job_state(1, &jobs[0]), "QUEUED");
}

/// Pages of a filtered list together contain every matching job once.
#[test]
fn lists_are_filtered_and_paged() {
    let mut harness = Harness::new(limits());
    harness.connect(1);
    let bulk = json!({"op": "runBulkJobs", "beginIndex": 1, "endIndex": 250, "maxParallel": 1,
        "template": {"remoteCommand": "/x", "jobCategory": "preview", "jobName": "j${PARAMETRIC_INDEX}"}});
    let array = harness.send_request(1, bulk)["jobArrayId"].clone();
    let other =
        harness.submit_job(1, json!({"jobName": "lone", "accountingId": "au"}))["jobId"].clone();
    let (mut seen, mut after) = (0, Value::Null);
    loop {
        let page = harness.send_request(
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
    let named = harness.send_request(
        1,
        json!({"op": "listJobs", "filter": {"jobName": "lone", "accountingId": "au"}}),
    );
    assert_eq!(named["jobs"][0]["jobId"], other);
    let none = harness.send_request(
        1,
        json!({"op": "listJobs", "filter": {"jobStates": ["DONE"]}}),
    );
    assert_eq!(none["jobs"], json!([]));
    let wrong = harness.send_request(1, json!({"op": "listJobs", "filter": {"jobNmae": "x"}}));
    assert!(text_field(&wrong, "message").contains("jobNmae"), "{wrong}");
}

/// Attributes and operations that are not supported get an error, and the capabilities list them.
#[test]
fn unsupported_features_are_rejected_and_announced() {
    let mut harness = Harness::new(limits());
    harness.connect(1);
    let caps = harness.send_request(1, json!({"op": "getCapabilities"}));
    assert_eq!(caps["capabilities"]["SUSPEND"], false);
    for name in caps["unsupportedAttributes"].as_array().unwrap() {
        let answer = harness.submit_job(1, json!({name.as_str().unwrap(): "set"}));
        assert_eq!(text_field(&answer, "error"), "UNSUPPORTED_ATTRIBUTE");
        assert!(text_field(&answer, "message").contains(name.as_str().unwrap()));
        let unset = harness.submit_job(1, json!({name.as_str().unwrap(): null}));
        assert!(unset["jobId"].is_string(), "{unset}");
    }
    let rerun = harness.submit_job(1, json!({"rerunnable": false}));
    assert_eq!(text_field(&rerun, "error"), "UNSUPPORTED_ATTRIBUTE");
    let job = harness.submit_job(1, json!({"rerunnable": true}))["jobId"].clone();
    let waits = harness.send_request(1, json!({"op": "suspend", "jobId": job}));
    assert_eq!(text_field(&waits, "error"), "INVALID_STATE");
    let request = harness.request_id(&job);
    harness.send_to_worker(request, true);
    let runs = harness.send_request(1, json!({"op": "suspend", "jobId": job}));
    assert_eq!(text_field(&runs, "error"), "UNSUPPORTED_OPERATION");
    let none = harness.send_request(1, json!({"op": "resume", "jobId": job}));
    assert_eq!(text_field(&none, "error"), "INVALID_STATE");
    let reservations = harness.send_request(1, json!({"op": "getAllReservations"}));
    assert_eq!(text_field(&reservations, "error"), "UNSUPPORTED_OPERATION");
}

/// The answer for 10,000 machines is split into lines that fit into the buffer of a connection.
#[test]
fn a_large_machine_list_is_split_into_lines() {
    let mut harness = Harness::new(limits());
    harness.connect(1);
    harness.scheduler.extra_machines = 9_999;
    harness.send_line(1, json!({"op": "getAllMachines", "seq": 1}));
    let lines = harness.take_received(1);
    assert_eq!(lines.len(), 50);
    assert!(lines.iter().all(|line| line.to_string().len() < 64 * 1024));
    let more = lines.iter().filter(|line| line["more"] == true).count();
    let received: usize = lines
        .iter()
        .map(|line| line["machines"].as_array().unwrap().len())
        .sum();
    assert_eq!((more, received), (49, 10_000));
    harness.scheduler.extra_machines = 0;
    let one = harness.send_request(1, json!({"op": "getAllMachines", "names": ["none"]}));
    assert_eq!((&one["machines"], &one["more"]), (&json!([]), &Value::Null));
}
