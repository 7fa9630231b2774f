//! Golden files of the messages between two processes of a node. The processes can be different versions of the
//! program, so the format of the messages must not change.

mod common;

use common::limits;
use common::transcript::Transcript;
use insta::assert_snapshot;
use marbledeck_dispatcher::Micros;
use marbledeck_submission::{Partner, Transfer, Verdict};
use serde_json::{json, Value};
use std::fmt::Write;
use std::path::Path;

/// The last id of [`predecessor_with_all_kinds`]: 0 to 12 are single jobs, 13 and 19 are arrays, and the others are
/// their members.
const LAST_ID: u64 = 22;

fn run(t: &mut Transcript, session: Option<&str>, template: Value) {
    let line = json!({"seq": "run", "op": "runJob", "session": session, "template": template});
    t.send_line(1, &line.to_string());
}

fn preview(target: &str) -> Value {
    json!({"remoteCommand": target, "jobCategory": "preview"})
}

/// A server with two sessions, arrays, held jobs, and jobs in every state that a job can enter.
fn predecessor_with_all_kinds() -> Transcript {
    let mut t = Transcript::new(limits(), "n0-1");
    t.connect(1);
    for name in ["film", "empty"] {
        t.send_line(
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
    t.start_job("n0-1-1");
    run(t, None, preview("/requeued"));
    t.start_job("n0-1-2");
    t.requeue("n0-1-2");
    t.advance_ms(10);
    run(t, film, preview("/served"));
    t.start_job("n0-1-3");
    t.advance_ms(20);
    t.end_job(
        "n0-1-3",
        "is served",
        Verdict::Served(b"made\nof text".to_vec()),
    );
    let keyed =
        json!({"remoteCommand": "/bytes", "queueName": "sheet", "submissionKey": "k-bytes"});
    run(t, None, keyed.clone());
    run(t, None, keyed);
    t.start_job("n0-1-4");
    t.end_job(
        "n0-1-4",
        "is served with bytes",
        Verdict::Served(vec![0, 0xff]),
    );
    let reaped = json!({"remoteCommand": "/reaped", "jobCategory": "sheet", "submissionKey": "k-reaped", "accountingId": "au"});
    run(t, None, reaped);
    t.start_job("n0-1-5");
    t.end_job("n0-1-5", "is served", Verdict::Served(Vec::new()));
    t.send_line(1, r#"{"seq":"reap","op":"reap","jobId":"n0-1-5"}"#);
    run(t, film, preview("/refused"));
    t.end_job(
        "n0-1-6",
        "is rejected",
        Verdict::Rejected {
            retry_after: Some(Micros(700_000)),
        },
    );
    run(t, film, preview("/failed"));
    t.start_job("n0-1-7");
    t.end_job("n0-1-7", "fails", Verdict::Failed);
    run(t, None, preview("/terminated"));
    t.send_line(
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
    t.send_line(1, r#"{"seq":"bulk","op":"runBulkJobs","beginIndex":1,"endIndex":5,"maxParallel":2,"session":"film","template":{"remoteCommand":"/frame/${PARAMETRIC_INDEX}","jobCategory":"sheet","jobName":"frame ${PARAMETRIC_INDEX}","submissionKey":"f-${PARAMETRIC_INDEX}"}}"#);
    t.start_job("n0-1-14");
    t.end_job("n0-1-14", "is served", Verdict::Served(b"1".to_vec()));
    t.start_job("n0-1-15");
    t.send_line(1, r#"{"seq":"hold","op":"hold","jobId":"n0-1-17"}"#);
    t.send_line(1, r#"{"seq":"bulk","op":"runBulkJobs","beginIndex":-2,"endIndex":2,"step":2,"template":{"remoteCommand":"/x","jobCategory":"preview","submitAsHold":true}}"#);
    t.send_line(
        1,
        r#"{"seq":"terminate","op":"terminate","jobArrayId":"n0-1-19"}"#,
    );
}

/// The lines of a golden file.
fn golden_lines(name: &str) -> Vec<String> {
    let folder = Path::new(env!("CARGO_MANIFEST_DIR")).join("tests/snapshots");
    let path = folder.join(format!("golden_transfer__{name}.snap"));
    let text = std::fs::read_to_string(path).expect("the golden file exists");
    let (_, lines) = text
        .split_once("\n---\n")
        .expect("a golden file has a header");
    lines.lines().map(str::to_owned).collect()
}

/// A process that has imported the golden lines of a predecessor. Its transcript begins after the import.
fn successor_of_golden_lines() -> Transcript {
    let mut t = Transcript::new(limits(), "n0-2");
    t.server.expect_predecessor(t.now);
    t.advance_ms(30);
    for line in golden_lines("messages_to_a_successor") {
        t.receive_from_partner(Partner::Predecessor, &line);
    }
    t.connect(1);
    t.take_text();
    t
}

fn note_messages(t: &mut Transcript, partner: Partner, partner_name: &str) {
    for line in t.messages_for_partner(partner) {
        t.note(&format!("sent to the {partner_name}: {line}"));
    }
}

fn receive(t: &mut Transcript, partner: Partner, line: &str) {
    t.note(&format!("received: {line}"));
    t.receive_from_partner(partner, line);
}

fn request_all_information(t: &mut Transcript) {
    t.send_line(1, r#"{"seq":"sessions","op":"listSessions"}"#);
    for id in 0..=LAST_ID {
        t.send_line(
            1,
            &format!(r#"{{"seq":{id},"op":"getJobInfo","jobId":"n0-1-{id}"}}"#),
        );
    }
    for array in ["n0-1-13", "n0-1-19"] {
        t.send_line(
            1,
            &format!(r#"{{"seq":"array","op":"getJobArray","jobArrayId":"{array}"}}"#),
        );
    }
    let scheduled = t.scheduler.open_jobs.values().map(|job| job.job_id.clone());
    let scheduled = scheduled.collect::<Vec<_>>().join(" ");
    t.note(&format!("with the scheduler: {scheduled}"));
}

/// All messages that a predecessor sends to its successor.
#[test]
fn messages_to_a_successor() {
    let mut predecessor = predecessor_with_all_kinds();
    assert_snapshot!("predecessor_before_handover", predecessor.take_text());
    predecessor.server.begin_handover();
    let lines = predecessor.messages_for_partner(Partner::Successor);
    assert_snapshot!("messages_to_a_successor", lines.join("\n"));
}

/// A new process imports the golden lines. Checks what it answers to clients, sends back and passes to its scheduler.
#[test]
fn a_successor_imports_the_golden_lines() {
    let mut t = successor_of_golden_lines();
    note_messages(&mut t, Partner::Predecessor, "predecessor");
    request_all_information(&mut t);
    t.send_line(
        1,
        r#"{"seq":"open","op":"openSession","name":"film","since":0}"#,
    );
    t.send_line(1, r#"{"seq":"list","op":"listJobs","session":"film"}"#);
    // Submission keys stay in use after the upgrade.
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
    assert_snapshot!("successor_after_import", t.take_text());
}

/// A successor receives changes of the predecessor's jobs and sends the changes of its own.
#[test]
fn changes_sent_to_a_successor() {
    let mut t = successor_of_golden_lines();
    note_messages(&mut t, Partner::Predecessor, "predecessor");
    t.send_line(
        1,
        r#"{"seq":"open","op":"openSession","name":"film","since":99}"#,
    );
    t.send_line(1, r#"{"seq":"open","op":"openSession","name":"film"}"#);
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
    t.send_line(1, r#"{"seq":"release","op":"release","jobId":"n0-1-9"}"#);
    t.send_line(1, r#"{"seq":"hold","op":"hold","jobId":"n0-1-10"}"#);
    t.send_line(
        1,
        r#"{"seq":"terminate","op":"terminate","jobId":"n0-1-11"}"#,
    );
    t.send_line(
        1,
        r#"{"seq":"terminate","op":"terminate","jobId":"n0-1-0"}"#,
    );
    t.send_line(1, r#"{"seq":"reap","op":"reap","jobId":"n0-1-4"}"#);
    t.start_job("n0-1-9");
    t.end_job("n0-1-9", "is served", Verdict::Served(b"held".to_vec()));
    note_messages(&mut t, Partner::Predecessor, "predecessor");
    t.advance_ms(2_000);
    note_messages(&mut t, Partner::Predecessor, "predecessor");
    t.note("the predecessor is lost");
    t.server.handle_partner_lost(t.now, Partner::Predecessor);
    t.settle();
    request_all_information(&mut t);
    assert_snapshot!("changes_sent_to_a_successor", t.take_text());
}

/// A predecessor receives changes of the successor's jobs and sends the changes of those that it still owns.
#[test]
fn changes_sent_to_a_predecessor() {
    let mut t = predecessor_with_all_kinds();
    t.send_line(
        1,
        r#"{"seq":"wait","op":"waitAnyTerminated","jobIds":["n0-1-0","n0-1-9"]}"#,
    );
    t.take_text();
    t.server.begin_handover();
    t.start_job("n0-1-0");
    t.messages_for_partner(Partner::Successor);
    receive(&mut t, Partner::Successor, r#""taken""#);
    t.requeue("n0-1-1");
    t.end_job("n0-1-0", "is served", Verdict::Served(b"queued".to_vec()));
    t.end_job("n0-1-15", "fails", Verdict::Failed);
    note_messages(&mut t, Partner::Successor, "successor");
    for line in [
        r#"{"job":{"id":"n0-1-9","state":"QUEUED","handed":true}}"#,
        r#"{"job":{"id":"n0-1-9","state":"RUNNING","handed":true,"machine":"w4"}}"#,
        r#"{"job":{"id":"n0-1-10","state":"FAILED","sub_state":"terminated"}}"#,
        r#"{"job":{"id":"n0-1-1","state":"FAILED","sub_state":"terminated"}}"#,
        r#"{"job":{"id":"n0-2-0","state":"QUEUED"}}"#,
    ] {
        receive(&mut t, Partner::Successor, line);
    }
    note_messages(&mut t, Partner::Successor, "successor");
    t.note("the successor is lost");
    t.server.handle_partner_lost(t.now, Partner::Successor);
    t.settle();
    request_all_information(&mut t);
    assert_snapshot!("changes_sent_to_a_predecessor", t.take_text());
}

/// Every message with its required fields and with all fields, deserialized and serialized again.
#[test]
fn messages() {
    let mut text = String::new();
    for line in [
        r#"{"session":{"name":"film","last":0,"events":[]}}"#,
        r#"{"session":{"name":"film","last":9,"events":[["n0-1-0","QUEUED",null],["n0-1-0","FAILED","terminated"]]}}"#,
        r#"{"array":{"id":"n0-1-1","template":{"remoteCommand":"/x"},"session":null,"max_parallel":null,"stopped":false}}"#,
        r#"{"array":{"id":"n0-1-1","template":{"remoteCommand":"/x","queueName":"sheet","unknown":[1]},"session":"film","max_parallel":2,"stopped":true}}"#,
        r#"{"array":{"id":"n0-1-1","template":{"remoteCommand":"/x"},"session":null,"max_parallel":2,"stopped":false,"paused_until":5}}"#,
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
            Ok(message) => serde_json::to_string(&message).expect("messages are serializable"),
            Err(error) => format!("! {error}"),
        };
        let _ = writeln!(text, "written: {written}");
    }
    assert_snapshot!("messages", text);
}
