//! The messages between two processes of a node, as golden files: the partners may be two versions of the program, so
//! these lines must be written and read unchanged.

mod common;

use common::limits;
use common::transcript::Transcript;
use insta::assert_snapshot;
use marbledeck_dispatcher::Micros;
use marbledeck_submission::{Partner, Transfer, Verdict};
use serde_json::{json, Value};
use std::fmt::Write;
use std::path::Path;

/// Ids of the jobs of [`predecessor_with_all_kinds`]: 0 to 12 are jobs of their own, 13 and 19 are arrays.
const LAST_ID: u64 = 22;

fn run(t: &mut Transcript, session: Option<&str>, template: Value) {
    let line = json!({"seq": "run", "op": "runJob", "session": session, "template": template});
    t.say(1, &line.to_string());
}

fn preview(target: &str) -> Value {
    json!({"remoteCommand": target, "jobCategory": "preview"})
}

/// A server with two sessions, jobs in every state that is entered, holds, and arrays.
fn predecessor_with_all_kinds() -> Transcript {
    let mut t = Transcript::new(limits(), "n0-1");
    t.connect(1);
    for name in ["film", "empty"] {
        t.say(
            1,
            &json!({"seq": 1, "op": "createSession", "name": name}).to_string(),
        );
    }
    single_jobs(&mut t);
    arrays(&mut t);
    t
}

fn single_jobs(t: &mut Transcript) {
    let film = Some("film");
    run(t, film, preview("/queued"));
    run(t, film, preview("/running"));
    t.run("n0-1-1");
    run(t, None, preview("/requeued"));
    t.run("n0-1-2");
    t.requeue("n0-1-2");
    t.pass_ms(10);
    run(t, film, preview("/served"));
    t.run("n0-1-3");
    t.pass_ms(20);
    t.end(
        "n0-1-3",
        "is served",
        Verdict::Served(b"made\nof text".to_vec()),
    );
    let keyed =
        json!({"remoteCommand": "/bytes", "queueName": "sheet", "submissionKey": "k-bytes"});
    run(t, None, keyed.clone());
    run(t, None, keyed);
    t.run("n0-1-4");
    t.end(
        "n0-1-4",
        "is served with bytes",
        Verdict::Served(vec![0, 0xff]),
    );
    let reaped = json!({"remoteCommand": "/reaped", "jobCategory": "sheet", "submissionKey": "k-reaped", "accountingId": "au"});
    run(t, None, reaped);
    t.run("n0-1-5");
    t.end("n0-1-5", "is served", Verdict::Served(Vec::new()));
    t.say(1, r#"{"seq":"reap","op":"reap","jobId":"n0-1-5"}"#);
    run(t, film, preview("/refused"));
    t.end(
        "n0-1-6",
        "is refused",
        Verdict::Rejected {
            retry_after: Some(Micros(700_000)),
        },
    );
    run(t, film, preview("/failed"));
    t.run("n0-1-7");
    t.end("n0-1-7", "fails", Verdict::Failed);
    run(t, None, preview("/terminated"));
    t.say(
        1,
        r#"{"seq":"terminate","op":"terminate","jobId":"n0-1-8"}"#,
    );
    waiting_jobs(t);
}

fn waiting_jobs(t: &mut Transcript) {
    let film = Some("film");
    let full = json!({"remoteCommand": "/held?q=1", "jobCategory": "sheet", "queueName": "sheet", "args": ["a", "b"],
        "accountingId": "au", "jobName": "held", "minSlots": 1.5, "submissionKey": "k-held", "deadlineMs": 9000,
        "deadlineTime": 1_090_000, "submitAsHold": true, "rerunnable": true,
        "manifest": {"class": "sheet", "kinds": ["std"], "slots": 2.0, "codecs": ["av1"], "key_window_ms": 40000,
            "run_ms": 60000},
        "forwarded": {"from": "north", "catalog": 7}});
    run(t, film, full);
    let scheduled =
        json!({"remoteCommand": "/scheduled", "jobCategory": "preview", "startTime": 1_030_000});
    run(t, film, scheduled);
    let coded = json!({"remoteCommand": "/coded", "jobCategory": "preview", "inputBase64": "AAE=", "submitAsHold": true});
    run(t, None, coded);
    let text = json!({"remoteCommand": "/text", "jobCategory": "preview", "input": "line\n", "submitAsHold": true});
    run(t, None, text);
}

fn arrays(t: &mut Transcript) {
    t.say(1, r#"{"seq":"bulk","op":"runBulkJobs","beginIndex":1,"endIndex":5,"maxParallel":2,"session":"film","template":{"remoteCommand":"/frame/${PARAMETRIC_INDEX}","jobCategory":"sheet","jobName":"frame ${PARAMETRIC_INDEX}","submissionKey":"f-${PARAMETRIC_INDEX}"}}"#);
    t.run("n0-1-14");
    t.end("n0-1-14", "is served", Verdict::Served(b"1".to_vec()));
    t.run("n0-1-15");
    t.say(1, r#"{"seq":"hold","op":"hold","jobId":"n0-1-17"}"#);
    t.say(1, r#"{"seq":"bulk","op":"runBulkJobs","beginIndex":-2,"endIndex":2,"step":2,"template":{"remoteCommand":"/x","jobCategory":"preview","submitAsHold":true}}"#);
    t.say(
        1,
        r#"{"seq":"terminate","op":"terminate","jobArrayId":"n0-1-19"}"#,
    );
}

/// What the predecessor has written down once, as it is in the golden file.
fn golden_lines(name: &str) -> Vec<String> {
    let folder = Path::new(env!("CARGO_MANIFEST_DIR")).join("tests/snapshots");
    let path = folder.join(format!("golden_transfer__{name}.snap"));
    let text = std::fs::read_to_string(path).expect("the golden file is there");
    let (_, lines) = text
        .split_once("\n---\n")
        .expect("a golden file has a head");
    lines.lines().map(str::to_owned).collect()
}

/// A process that has taken over from the golden lines of another. The transcript begins after that.
fn successor_of_golden_lines() -> Transcript {
    let mut t = Transcript::new(limits(), "n0-2");
    t.server.expect_predecessor(t.now);
    t.pass_ms(30);
    for line in golden_lines("told_to_a_successor") {
        t.receive_from_partner(Partner::Predecessor, &line);
    }
    t.connect(1);
    t.take_text();
    t
}

fn write_sent(t: &mut Transcript, partner: Partner, to: &str) {
    for line in t.lines_for_partner(partner) {
        t.note(&format!("told to the {to}: {line}"));
    }
}

fn receive(t: &mut Transcript, partner: Partner, line: &str) {
    t.note(&format!("heard: {line}"));
    t.receive_from_partner(partner, line);
}

fn ask_for_all(t: &mut Transcript) {
    t.say(1, r#"{"seq":"sessions","op":"listSessions"}"#);
    for id in 0..=LAST_ID {
        t.say(
            1,
            &format!(r#"{{"seq":{id},"op":"getJobInfo","jobId":"n0-1-{id}"}}"#),
        );
    }
    for array in ["n0-1-13", "n0-1-19"] {
        t.say(
            1,
            &format!(r#"{{"seq":"array","op":"getJobArray","jobArrayId":"{array}"}}"#),
        );
    }
    let scheduled = t.scheduler.open.values().map(|job| job.job_id.clone());
    let scheduled = scheduled.collect::<Vec<_>>().join(" ");
    t.note(&format!("with the decisions: {scheduled}"));
}

/// Everything that a process tells the one that replaces it.
#[test]
fn what_a_successor_is_told() {
    let mut predecessor = predecessor_with_all_kinds();
    assert_snapshot!("a_predecessor_before", predecessor.take_text());
    predecessor.server.begin_handover();
    let lines = predecessor.lines_for_partner(Partner::Successor);
    assert_snapshot!("told_to_a_successor", lines.join("\n"));
}

/// The golden lines, read by a new process: what it then answers, tells back and hands on.
#[test]
fn a_successor_reads_the_golden_lines() {
    let mut t = successor_of_golden_lines();
    write_sent(&mut t, Partner::Predecessor, "predecessor");
    ask_for_all(&mut t);
    t.say(
        1,
        r#"{"seq":"open","op":"openSession","name":"film","since":0}"#,
    );
    t.say(1, r#"{"seq":"list","op":"listJobs","session":"film"}"#);
    // Keys count on over the upgrade.
    for (target, key) in [("/bytes", "k-bytes"), ("/other", "k-bytes")] {
        run(
            &mut t,
            None,
            json!({"remoteCommand": target, "queueName": "sheet", "submissionKey": key}),
        );
    }
    run(
        &mut t,
        None,
        json!({"remoteCommand": "/reaped", "jobCategory": "sheet", "submissionKey": "k-reaped", "accountingId": "au"}),
    );
    run(&mut t, None, preview("/new"));
    assert_snapshot!("a_successor_that_has_read", t.take_text());
}

/// What the successor hears of jobs that the predecessor has, and tells of those that it has itself.
#[test]
fn changes_after_the_transfer() {
    let mut t = successor_of_golden_lines();
    write_sent(&mut t, Partner::Predecessor, "predecessor");
    t.say(
        1,
        r#"{"seq":"open","op":"openSession","name":"film","since":99}"#,
    );
    t.say(1, r#"{"seq":"open","op":"openSession","name":"film"}"#);
    for line in [
        r#"{"job":{"id":"n0-1-0","state":"RUNNING","handed":true,"machine":"w7"}}"#,
        r#"{"job":{"id":"n0-1-1","state":"REQUEUED","handed":true,"machine":"w1"}}"#,
        r#"{"job":{"id":"n0-1-2","state":"FAILED","sub_state":"failed","problem":{"error":"DRM_COMMUNICATION","message":"no"},"sent":1000000000}}"#,
        r#"{"job":{"id":"n0-1-15","state":"DONE","result":"AP8=","sent":1000000000,"machine":"w1"}}"#,
        r#"{"job":{"id":"n0-1-16","state":"FAILED","sub_state":"refused","problem":{"error":"TRY_LATER","retryAfterMs":500}}}"#,
        r#"{"job":{"id":"n0-1-3","state":"DONE","reaped":true}}"#,
        r#"{"job":{"id":"n0-9-0","state":"DONE"}}"#,
    ] {
        receive(&mut t, Partner::Predecessor, line);
    }
    t.say(1, r#"{"seq":"release","op":"release","jobId":"n0-1-9"}"#);
    t.say(1, r#"{"seq":"hold","op":"hold","jobId":"n0-1-10"}"#);
    t.say(
        1,
        r#"{"seq":"terminate","op":"terminate","jobId":"n0-1-11"}"#,
    );
    t.say(
        1,
        r#"{"seq":"terminate","op":"terminate","jobId":"n0-1-0"}"#,
    );
    t.say(1, r#"{"seq":"reap","op":"reap","jobId":"n0-1-4"}"#);
    t.run("n0-1-9");
    t.end("n0-1-9", "is served", Verdict::Served(b"held".to_vec()));
    write_sent(&mut t, Partner::Predecessor, "predecessor");
    t.pass_ms(2_000);
    write_sent(&mut t, Partner::Predecessor, "predecessor");
    t.note("the predecessor is gone");
    t.server.handle_partner_lost(t.now, Partner::Predecessor);
    t.settle();
    ask_for_all(&mut t);
    assert_snapshot!("changes_told_to_a_successor", t.take_text());
}

/// What the predecessor hears of jobs that the successor has, and tells of those that it still has itself.
#[test]
fn changes_told_to_a_predecessor() {
    let mut t = predecessor_with_all_kinds();
    t.say(
        1,
        r#"{"seq":"wait","op":"waitAnyTerminated","jobIds":["n0-1-0","n0-1-9"]}"#,
    );
    t.take_text();
    t.server.begin_handover();
    t.run("n0-1-0");
    t.lines_for_partner(Partner::Successor);
    receive(&mut t, Partner::Successor, r#""taken""#);
    t.requeue("n0-1-1");
    t.end("n0-1-0", "is served", Verdict::Served(b"queued".to_vec()));
    t.end("n0-1-15", "fails", Verdict::Failed);
    write_sent(&mut t, Partner::Successor, "successor");
    for line in [
        r#"{"job":{"id":"n0-1-9","state":"QUEUED","handed":true}}"#,
        r#"{"job":{"id":"n0-1-9","state":"RUNNING","handed":true,"machine":"w4"}}"#,
        r#"{"job":{"id":"n0-1-10","state":"FAILED","sub_state":"terminated"}}"#,
        r#"{"job":{"id":"n0-1-1","state":"FAILED","sub_state":"terminated"}}"#,
        r#"{"job":{"id":"n0-2-0","state":"QUEUED"}}"#,
    ] {
        receive(&mut t, Partner::Successor, line);
    }
    write_sent(&mut t, Partner::Successor, "successor");
    t.note("the successor is gone");
    t.server.handle_partner_lost(t.now, Partner::Successor);
    t.settle();
    ask_for_all(&mut t);
    assert_snapshot!("changes_told_to_a_predecessor", t.take_text());
}

/// Every message with as little and as much as it may hold, read and written again.
#[test]
fn messages() {
    let mut text = String::new();
    for line in [
        r#"{"session":{"name":"film","last":0,"events":[]}}"#,
        r#"{"session":{"name":"film","last":9,"events":[["n0-1-0","QUEUED",null],["n0-1-0","FAILED","terminated"]]}}"#,
        r#"{"array":{"id":"n0-1-1","template":{"remoteCommand":"/x"},"session":null,"max_parallel":null,"stopped":false}}"#,
        r#"{"array":{"id":"n0-1-1","template":{"remoteCommand":"/x","queueName":"sheet","unknown":[1]},"session":"film","max_parallel":2,"stopped":true}}"#,
        r#"{"job":{}}"#,
        r#"{"job":{"id":"n0-1-2","template":{"remoteCommand":"/x"},"index":-1,"session":"film","array":"n0-1-1","state":"RUNNING","handed":true,"sub_state":"scheduled","problem":{"error":"TRY_LATER","message":"no","retryAfterMs":1,"catalogVersion":2},"result":"AP8=","sent":1,"machine":"w1","submitted":2,"since":3,"started":4,"finished":5,"deadline":6,"window":7,"duplicates":8,"due":9,"reaped":true,"unknown":0}}"#,
        r#""end""#,
        r#""taken""#,
        r#"{"other":1}"#,
        r#"{"session":{"name":"film"}}"#,
        r#"{"array":{"id":"n0-1-1"}}"#,
        r#"{"job":{"state":"ASLEEP"}}"#,
    ] {
        let _ = writeln!(text, "read:    {line}");
        let written = match serde_json::from_str::<Transfer>(line) {
            Ok(message) => serde_json::to_string(&message).expect("messages are written"),
            Err(error) => format!("! {error}"),
        };
        let _ = writeln!(text, "written: {written}");
    }
    assert_snapshot!("messages", text);
}
