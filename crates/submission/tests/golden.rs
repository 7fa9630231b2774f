//! Golden files of the submission protocol's wire format, which must stay the same when types and fields are renamed.

mod common;

use common::limits;
use common::transcript::Transcript;
use insta::assert_snapshot;
use marbledeck_dispatcher::Micros;
use marbledeck_submission::frame::{self, TooLong};
use marbledeck_submission::message::{
    Accepted, Answer, ArrayInfo, BulkAnswer, BulkJobAnswer, ErrorId, Event, Filter, JobInfo,
    JobInfoAnswer, JobPage, Machine, Problem, Queue, Request, Submitted, Targets,
};
use marbledeck_submission::{Change, JobState, Limits, Template, Verdict};
use serde::de::DeserializeOwned;
use serde::Serialize;
use serde_json::{json, Value};
use std::fmt::Write;

/// Deserializes each line as a message of this type and serializes it again, so that the names in both directions are
/// checked.
fn read_and_written<T: DeserializeOwned + Serialize>(title: &str, lines: &[&str]) -> String {
    let mut text = format!("# {title}\n");
    for line in lines {
        let _ = writeln!(text, "read:    {line}");
        let written = match serde_json::from_str::<T>(line) {
            Ok(message) => written(&message),
            Err(error) => format!("! {error}"),
        };
        let _ = writeln!(text, "written: {written}");
    }
    text
}

/// The line of a message on the wire, without its line end.
fn written(message: &impl Serialize) -> String {
    let line = String::from_utf8(frame::encode_line(message)).expect("lines are UTF-8");
    let line = line
        .strip_suffix('\n')
        .expect("a line ends with a line feed");
    line.to_owned()
}

const FULL_TEMPLATE: &str = r#"{"remoteCommand":"/frame?n=${PARAMETRIC_INDEX}","jobCategory":"sheet","queueName":"sheet","args":["a","b"],"accountingId":"au","jobName":"frame ${PARAMETRIC_INDEX}","minSlots":1.5,"input":"text","inputBase64":"AAE=","submissionKey":"k-${PARAMETRIC_INDEX}","deadlineMs":1000,"deadlineTime":1700000009000,"startTime":1700000001000,"submitAsHold":true,"rerunnable":false,"manifest":{"class":"sheet","kinds":["std"],"slots":2.0,"memory":64.0,"licences":["lic"],"codecs":["av1"],"formats":["mkv"],"regions":["eu"],"key_window_ms":40000,"run_ms":60000},"forwarded":{"from":"north","catalog":7},"workingDirectory":"/tmp"}"#;

#[test]
fn templates() {
    let lines = [
        r#"{"remoteCommand":"/x"}"#,
        r#"{"remoteCommand":"/x","submitAsHold":false,"manifest":{}}"#,
        FULL_TEMPLATE,
        r#"{}"#,
        r#"{"remoteCommand":7}"#,
        r#"{"remoteCommand":"/x","forwarded":{"from":"north"}}"#,
        r#"{"remoteCommand":"/x","manifest":{"class":"preview","colour":"red"}}"#,
    ];
    assert_snapshot!(
        "templates",
        read_and_written::<Template>("Job templates", &lines)
    );
}

#[test]
fn requests() {
    let full = format!(
        r#"{{"seq":{{"a":[1]}},"op":"runJob","template":{FULL_TEMPLATE},"notify":true,"session":"film"}}"#
    );
    let lines = [
        r#"{"op":"runJob","template":{"remoteCommand":"/x","jobCategory":"preview"}}"#,
        &full,
        r#"{"seq":1,"op":"runBulkJobs","template":{"remoteCommand":"/x"},"beginIndex":1,"endIndex":9}"#,
        r#"{"seq":1,"op":"runBulkJobs","template":{"remoteCommand":"/x"},"beginIndex":9,"endIndex":-9,"step":-3,"maxParallel":2,"notify":true,"session":"film"}"#,
        r#"{"seq":1,"op":"getJobInfo","jobId":"n0-1-0"}"#,
        r#"{"seq":1,"op":"getJobArray","jobArrayId":"n0-1-1"}"#,
        r#"{"seq":1,"op":"waitStarted","jobId":"n0-1-0"}"#,
        r#"{"seq":1,"op":"waitStarted","jobId":"n0-1-0","timeoutMs":500}"#,
        r#"{"seq":1,"op":"waitTerminated","jobId":"n0-1-0","timeoutMs":500}"#,
        r#"{"seq":1,"op":"waitAnyStarted","jobIds":["n0-1-0","n0-1-1"],"timeoutMs":500}"#,
        r#"{"seq":1,"op":"waitAnyTerminated","session":"film"}"#,
        r#"{"seq":1,"op":"terminate","jobId":"n0-1-0"}"#,
        r#"{"seq":1,"op":"hold","jobIds":["n0-1-0"]}"#,
        r#"{"seq":1,"op":"release","jobArrayId":"n0-1-1"}"#,
        r#"{"seq":1,"op":"suspend","session":"film"}"#,
        r#"{"seq":1,"op":"resume"}"#,
        r#"{"seq":1,"op":"reap","jobId":"n0-1-0","jobIds":["n0-1-1"],"jobArrayId":"n0-1-2","session":"film"}"#,
        r#"{"seq":1,"op":"listJobs"}"#,
        r#"{"seq":1,"op":"listJobs","session":"film","filter":{"jobId":"n0-1-0","jobName":"frame","jobStates":["QUEUED","DONE"],"queueName":"sheet","accountingId":"au","jobArrayId":"n0-1-1","submittedFromMs":1,"submittedBeforeMs":2},"limit":10,"after":"n0-1-0"}"#,
        r#"{"seq":1,"op":"createSession","name":"film"}"#,
        r#"{"seq":1,"op":"openSession","name":"film"}"#,
        r#"{"seq":1,"op":"openSession","name":"film","since":7}"#,
        r#"{"seq":1,"op":"closeSession","name":"film"}"#,
        r#"{"seq":1,"op":"destroySession","name":"film"}"#,
        r#"{"seq":1,"op":"listSessions"}"#,
        r#"{"seq":1,"op":"getAllQueues"}"#,
        r#"{"seq":1,"op":"getAllQueues","names":["sheet"]}"#,
        r#"{"seq":1,"op":"getAllMachines"}"#,
        r#"{"seq":1,"op":"getAllMachines","names":["w1"]}"#,
        r#"{"seq":1,"op":"getAllReservations"}"#,
        r#"{"seq":1,"op":"getCapabilities"}"#,
        r#"{"seq":1,"op":"getDrmsInfo"}"#,
    ];
    assert_snapshot!("requests", read_and_written::<Request>("Requests", &lines));
}

#[test]
fn targets_and_filters() {
    let targets = [
        r#"{}"#,
        r#"{"jobId":"n0-1-0"}"#,
        r#"{"jobIds":["n0-1-0","n0-1-1"]}"#,
        r#"{"jobArrayId":"n0-1-1"}"#,
        r#"{"session":"film"}"#,
    ];
    let filters = [
        r#"{}"#,
        r#"{"jobId":"n0-1-0","jobName":"frame","jobStates":["QUEUED_HELD"],"queueName":"sheet","accountingId":"au","jobArrayId":"n0-1-1","submittedFromMs":1,"submittedBeforeMs":2}"#,
        r#"{"colour":"red"}"#,
    ];
    let mut text = read_and_written::<Targets>("Targets", &targets);
    let _ = writeln!(text, "one job: {}", written(&Targets::job("n0-1-0")));
    let _ = writeln!(text, "array:   {}", written(&Targets::array("n0-1-1")));
    text += &read_and_written::<Filter>("Filters", &filters);
    assert_snapshot!("targets_and_filters", text);
}

#[test]
fn problems() {
    let errors = [
        r#""DENIED_BY_DRMS""#,
        r#""DRM_COMMUNICATION""#,
        r#""TRY_LATER""#,
        r#""SESSION_MANAGEMENT""#,
        r#""TIMEOUT""#,
        r#""INTERNAL""#,
        r#""INVALID_ARGUMENT""#,
        r#""INVALID_SESSION""#,
        r#""INVALID_STATE""#,
        r#""OUT_OF_RESOURCE""#,
        r#""UNSUPPORTED_ATTRIBUTE""#,
        r#""UNSUPPORTED_OPERATION""#,
        r#""IMPLEMENTATION_SPECIFIC""#,
        r#""NONE_OF_THESE""#,
    ];
    let problems = [
        r#"{"error":"TIMEOUT"}"#,
        r#"{"error":"TRY_LATER","message":"full","retryAfterMs":500}"#,
        r#"{"error":"INVALID_ARGUMENT","message":"licences","catalogVersion":7}"#,
    ];
    let mut text = read_and_written::<ErrorId>("Errors", &errors);
    text += &read_and_written::<Problem>("Problems", &problems);
    let constructed = [
        Problem::new(ErrorId::Internal, "any"),
        Problem::invalid_argument("makes no sense"),
        Problem::invalid_state("not now"),
        Problem::try_later("full", 500),
    ];
    text += "# Problems from the constructors\n";
    for problem in &constructed {
        let _ = writeln!(text, "{}", written(problem));
    }
    assert_snapshot!("problems", text);
}

#[test]
fn answers() {
    let submitted = [
        r#"{"jobId":"n0-1-0","jobState":"QUEUED","duplicate":false}"#,
        r#"{"error":"TRY_LATER","message":"full","retryAfterMs":500}"#,
    ];
    let bulk_jobs = [
        r#"{"index":-3,"jobId":"n0-1-0","jobState":"QUEUED_HELD","duplicate":true}"#,
        r#"{"index":4,"error":"INVALID_ARGUMENT","message":"no"}"#,
    ];
    let bulks = [
        r#"{"jobArrayId":"n0-1-1","jobs":[]}"#,
        r#"{"jobArrayId":"n0-1-1","jobs":[{"index":1,"jobId":"n0-1-2","jobState":"QUEUED","duplicate":false}],"more":true}"#,
    ];
    let one_job = [r#"{"jobInfo":{"jobId":"n0-1-0","jobState":"QUEUED","submissionTimeMs":1}}"#];
    let pages = [
        r#"{"jobs":[]}"#,
        r#"{"jobs":[{"jobId":"n0-1-0","jobState":"DONE","submissionTimeMs":1}],"next":"n0-1-0"}"#,
    ];
    let mut text = read_and_written::<Accepted>("A job that was accepted", &submitted[..1]);
    text += &read_and_written::<Submitted>("The result of a submission", &submitted);
    text += &read_and_written::<BulkJobAnswer>("A job of a bulk", &bulk_jobs);
    text += &read_and_written::<BulkAnswer>("Answers to a bulk", &bulks);
    text += &read_and_written::<JobInfoAnswer>("One job", &one_job);
    text += &read_and_written::<JobPage>("Pages of jobs", &pages);
    text += "# Answers with the `seq` of their request\n";
    for seq in [json!(null), json!(7), json!("seven"), json!({"a": [1]})] {
        let body = Problem::invalid_argument("no");
        let _ = writeln!(text, "{}", written(&Answer { seq: &seq, body }));
    }
    assert_snapshot!("answers", text);
}

#[test]
fn monitoring_information() {
    let jobs = [
        r#"{"jobId":"n0-1-0","jobState":"QUEUED","submissionTimeMs":1}"#,
        r#"{"jobId":"n0-1-0","jobName":"frame","jobState":"FAILED","jobSubState":"refused","queueName":"sheet","accountingId":"au","session":"film","jobArrayId":"n0-1-1","index":-4,"machine":"w1","submissionTimeMs":1,"dispatchTimeMs":2,"finishTimeMs":3,"duplicates":4,"result":"made","resultBase64":"AP8=","error":"TRY_LATER","message":"full","retryAfterMs":500,"catalogVersion":7}"#,
    ];
    let arrays = [
        r#"{"jobArrayId":"n0-1-1","jobs":9,"active":2,"waiting":3,"ended":4}"#,
        r#"{"jobArrayId":"n0-1-1","session":"film","maxParallel":2,"jobs":9,"active":2,"waiting":3,"ended":4}"#,
    ];
    let queues = [r#"{"name":"sheet","deadlineMs":25000,"dedupWindowMs":40000,"keyed":true}"#];
    let machines = [
        r#"{"name":"w1","available":true,"state":"up","zone":"east","kind":"std","address":"127.0.0.1:8000","calls":3}"#,
        r#"{"name":"w1","available":false,"state":"draining","zone":"east","kind":"std","address":"127.0.0.1:8000","calls":0,"freeSlots":2.5,"reportAgeMs":40}"#,
    ];
    let mut text = read_and_written::<JobInfo>("Jobs", &jobs);
    text += "# The result of a job in bytes\n";
    for result in [
        r#""result":"made""#,
        r#""resultBase64":"AP8=""#,
        r#""resultBase64":"?""#,
        r#""duplicates":0"#,
    ] {
        let line =
            format!(r#"{{"jobId":"n0-1-0","jobState":"DONE","submissionTimeMs":1,{result}}}"#);
        let info: JobInfo = serde_json::from_str(&line).expect("a job");
        let bytes = info.result_bytes();
        let shown = bytes.map_or("none".to_owned(), |b| b.escape_ascii().to_string());
        let _ = writeln!(text, "{result}: {shown}");
    }
    text += &read_and_written::<ArrayInfo>("Arrays", &arrays);
    text += &read_and_written::<Queue>("Queues", &queues);
    text += &read_and_written::<Machine>("Machines", &machines);
    assert_snapshot!("monitoring_information", text);
}

#[test]
fn events() {
    let lines = [
        r#"{"event":"NEW_STATE","jobId":"n0-1-0","jobState":"RUNNING"}"#,
        r#"{"event":"NEW_STATE","session":"film","number":7,"jobId":"n0-1-0","jobState":"FAILED","jobSubState":"terminated"}"#,
        r#"{"event":"GAP","session":"film","from":1,"to":36}"#,
        r#"{"event":"OTHER"}"#,
    ];
    assert_snapshot!("events", read_and_written::<Event>("Events", &lines));
}

#[test]
fn states() {
    let changes = [
        ("hold", Change::Hold),
        ("release", Change::Release),
        ("start", Change::Start),
        ("return", Change::Return),
        ("terminate", Change::Terminate),
        ("fail", Change::Fail),
        ("serve", Change::Serve),
    ];
    let mut text = String::new();
    for state in JobState::ALL {
        let word = state.as_str();
        let parsed: JobState = serde_json::from_value(json!(word)).expect("a state");
        assert_eq!((parsed, state.to_string().as_str()), (state, word));
        let _ = writeln!(text, "{} {word}", written(&state));
        for (name, change) in changes {
            if let Some(next) = state.after(change) {
                let _ = writeln!(text, "  {name}: {next}");
            }
        }
    }
    assert_snapshot!("states", text);
}

#[test]
fn frames() {
    let mut text = String::new();
    let cases: [(&[u8], usize, bool); 7] = [
        (b"abc\nd", 3, false),
        (b"abc", 3, false),
        (b"abcd", 3, false),
        (b"abcd\n", 3, false),
        (b"ab", 3, true),
        (b"\n", 3, false),
        (b"", 3, false),
    ];
    for (buffer, max_length, is_full) in cases {
        let found = match frame::find_line(buffer, max_length, is_full) {
            Ok(Some(end)) => format!("a line of {end} bytes"),
            Ok(None) => "incomplete".to_owned(),
            Err(TooLong) => "too long".to_owned(),
        };
        let buffer = buffer.escape_ascii();
        let _ = writeln!(
            text,
            "{buffer:?}, at most {max_length}, full {is_full}: {found}",
            buffer = buffer.to_string()
        );
    }
    assert_snapshot!("frames", text);
}

/// The answers to lines that are not valid requests.
#[test]
fn malformed_lines() {
    let mut t = Transcript::new(limits(), "n0-1");
    t.connect(1);
    for line in [
        "",
        " ",
        "nonsense",
        "{",
        "{}",
        r#"{"seq":1}"#,
        r#"{"seq":1,"op":"other"}"#,
        r#"{"seq":1,"op":"RunJob"}"#,
        r#"{"seq":"x","op":"runJob"}"#,
        r#"{"seq":1,"op":"runJob","template":{}}"#,
        r#"{"seq":1,"op":"runJob","template":{"remoteCommand":7}}"#,
        r#"{"seq":1,"op":"runJob","template":{"remoteCommand":"/x","deadlineMs":-1}}"#,
        r#"{"seq":1,"op":"runJob","template":{"remoteCommand":"/x","args":[1]}}"#,
        r#"{"seq":1,"op":"runJob","template":{"remoteCommand":"/x","forwarded":{"from":"north"}}}"#,
        r#"{"seq":1,"op":"runJob","template":{"remoteCommand":"/x","forwarded":{"from":"north","catalog":1,"more":2}}}"#,
        r#"{"seq":1,"op":"runJob","template":{"remoteCommand":"/x","manifest":{"class":"preview","colour":"red"}}}"#,
        r#"{"seq":1,"op":"runBulkJobs","template":{"remoteCommand":"/x"}}"#,
        r#"{"seq":1,"op":"runBulkJobs","template":{"remoteCommand":"/x"},"beginIndex":1}"#,
        r#"{"seq":1,"op":"runBulkJobs","template":{"remoteCommand":"/x"},"beginIndex":"1","endIndex":2}"#,
        r#"{"seq":1,"op":"runBulkJobs","template":{"remoteCommand":"/x"},"beginIndex":1,"endIndex":9223372036854775808}"#,
        r#"{"seq":1,"op":"runBulkJobs","template":{"remoteCommand":"/x"},"beginIndex":1,"endIndex":2,"maxParallel":-1}"#,
        r#"{"seq":1,"op":"getJobInfo"}"#,
        r#"{"seq":1,"op":"getJobInfo","jobId":7}"#,
        r#"{"seq":1,"op":"getJobArray"}"#,
        r#"{"seq":1,"op":"waitStarted"}"#,
        r#"{"seq":1,"op":"waitStarted","jobId":"n0-1-0","timeoutMs":1.5}"#,
        r#"{"seq":1,"op":"createSession"}"#,
        r#"{"seq":1,"op":"openSession","name":"s","since":"now"}"#,
        r#"{"seq":1,"op":"listJobs","filter":{"colour":"red"}}"#,
        r#"{"seq":1,"op":"listJobs","filter":{"jobStates":["ASLEEP"]}}"#,
        r#"{"seq":1,"op":"listJobs","limit":-1}"#,
        r#"{"seq":1,"op":"getAllQueues","names":"sheet"}"#,
        r#"{"seq":1,"seq":2,"op":"listSessions"}"#,
        r#"{"seq":1,"op":"listSessions","op":"listSessions"}"#,
        r#"{"seq":1,"op":"listSessions"} trailing"#,
        r#"{"seq":1,"op":"listSessions","unknown":true}"#,
    ] {
        t.send_line(1, line);
    }
    t.handle_line(1, b"{\"seq\":1,\"op\":\"\xff\"}");
    t.settle();
    assert_snapshot!("malformed_lines", t.take_text());
}

/// The answers to lines with values of the wrong JSON type. They contain the names of the expected types, which
/// therefore belong to the wire format. A number in place of an operation's name is read as the operation's index.
#[test]
fn values_of_the_wrong_type() {
    let mut t = Transcript::new(limits(), "n0-1");
    t.connect(1);
    for line in [
        "null",
        "7",
        "\"text\"",
        "[]",
        "[1,\"listSessions\"]",
        r#"{"seq":1,"op":7}"#,
        r#"{"seq":1,"op":null}"#,
        r#"{"seq":1,"op":{}}"#,
        r#"{"seq":1,"op":"runJob","template":null}"#,
        r#"{"seq":1,"op":"runJob","template":[]}"#,
        r#"{"seq":1,"op":"runJob","template":"text"}"#,
        r#"{"seq":1,"op":"runJob","template":{"remoteCommand":"/x","manifest":7}}"#,
        r#"{"seq":1,"op":"runJob","template":{"remoteCommand":"/x","forwarded":7}}"#,
        r#"{"seq":1,"op":"listJobs","filter":7}"#,
        r#"{"seq":1,"op":"listJobs","filter":{"jobStates":[7]}}"#,
    ] {
        t.send_line(1, line);
    }
    t.send_line(1, &format!("{}1{}", "[".repeat(200), "]".repeat(200)));
    assert_snapshot!("values_of_the_wrong_type", t.take_text());
}

/// Well-formed requests that are rejected.
#[test]
#[expect(clippy::too_many_lines, reason = "a list of requests")]
fn refused_requests() {
    let mut t = Transcript::new(limits(), "n0-1");
    t.connect(1);
    let run = |template: Value| json!({"seq": 1, "op": "runJob", "template": template}).to_string();
    for template in [
        json!({"remoteCommand": "/x"}),
        json!({"remoteCommand": "x", "jobCategory": "preview"}),
        json!({"remoteCommand": "/x y", "jobCategory": "preview"}),
        json!({"remoteCommand": "/x", "jobCategory": "other"}),
        json!({"remoteCommand": "/x", "jobCategory": "preview", "queueName": "sheet"}),
        json!({"remoteCommand": "/x", "jobCategory": "sheet"}),
        json!({"remoteCommand": "/x", "jobCategory": "sheet", "submissionKey": ""}),
        json!({"remoteCommand": "/x", "jobCategory": "preview", "submissionKey": "a b"}),
        json!({"remoteCommand": "/x", "jobCategory": "preview", "jobName": "n".repeat(2049)}),
        json!({"remoteCommand": "/x", "jobCategory": "preview", "minSlots": -1}),
        json!({"remoteCommand": "/x", "jobCategory": "preview", "deadlineMs": 0}),
        json!({"remoteCommand": "/x", "jobCategory": "preview", "deadlineTime": 1}),
        json!({"remoteCommand": "/x", "jobCategory": "preview", "startTime": 9, "deadlineTime": 9}),
        json!({"remoteCommand": "/x", "jobCategory": "preview", "rerunnable": false}),
        json!({"remoteCommand": "/x", "jobCategory": "preview", "input": "a", "inputBase64": "YQ=="}),
        json!({"remoteCommand": "/x", "jobCategory": "preview", "input": "a", "args": ["a"]}),
        json!({"remoteCommand": "/x", "jobCategory": "preview", "inputBase64": "?"}),
        json!({"remoteCommand": "/x", "jobCategory": "preview", "input": "i".repeat(64 * 1024 + 1)}),
        json!({"remoteCommand": "/x", "jobCategory": "preview", "manifest": {"class": "sheet"}}),
        json!({"remoteCommand": "/x", "jobCategory": "preview", "manifest": {"class": "preview", "slots": -1.0}}),
        json!({"remoteCommand": "/x", "jobCategory": "preview", "colour": "red"}),
    ] {
        t.send_line(1, &run(template));
    }
    for name in marbledeck_submission::template::UNSUPPORTED {
        let mut template = json!({"remoteCommand": "/x", "jobCategory": "preview"});
        template[name] = json!("set");
        t.send_line(1, &run(template));
    }
    for line in [
        r#"{"seq":2,"op":"runJob","session":"none","template":{"remoteCommand":"/x","jobCategory":"preview"}}"#,
        r#"{"seq":2,"op":"runBulkJobs","beginIndex":1,"endIndex":0,"template":{"remoteCommand":"/x","jobCategory":"preview"}}"#,
        r#"{"seq":2,"op":"runBulkJobs","beginIndex":1,"endIndex":2,"step":0,"template":{"remoteCommand":"/x","jobCategory":"preview"}}"#,
        r#"{"seq":2,"op":"runBulkJobs","beginIndex":1,"endIndex":501,"template":{"remoteCommand":"/x","jobCategory":"preview"}}"#,
        r#"{"seq":2,"op":"runBulkJobs","beginIndex":1,"endIndex":2,"maxParallel":0,"template":{"remoteCommand":"/x","jobCategory":"preview"}}"#,
        r#"{"seq":3,"op":"getJobInfo","jobId":"n0-1-0"}"#,
        r#"{"seq":3,"op":"getJobInfo","jobId":""}"#,
        r#"{"seq":3,"op":"getJobArray","jobArrayId":"n0-1-0"}"#,
        r#"{"seq":3,"op":"waitTerminated","jobId":"n0-9-0"}"#,
        r#"{"seq":3,"op":"waitAnyStarted"}"#,
        r#"{"seq":3,"op":"waitAnyStarted","jobIds":[]}"#,
        r#"{"seq":3,"op":"waitAnyStarted","session":"none"}"#,
        r#"{"seq":4,"op":"terminate"}"#,
        r#"{"seq":4,"op":"terminate","jobId":"n0-1-0","session":"film"}"#,
        r#"{"seq":4,"op":"hold","jobIds":["n0-1-0"]}"#,
        r#"{"seq":5,"op":"listJobs","session":"none"}"#,
        r#"{"seq":5,"op":"listJobs","after":"none"}"#,
        r#"{"seq":5,"op":"listJobs","filter":{"jobArrayId":"none"}}"#,
        r#"{"seq":6,"op":"createSession","name":""}"#,
        r#"{"seq":6,"op":"createSession","name":"film"}"#,
        r#"{"seq":6,"op":"createSession","name":"film"}"#,
        r#"{"seq":6,"op":"openSession","name":"none"}"#,
        r#"{"seq":6,"op":"openSession","name":"film","since":1}"#,
        r#"{"seq":6,"op":"waitAnyStarted","session":"film"}"#,
        r#"{"seq":6,"op":"closeSession","name":"film"}"#,
        r#"{"seq":6,"op":"closeSession","name":"film"}"#,
        r#"{"seq":6,"op":"destroySession","name":"none"}"#,
        r#"{"seq":7,"op":"getAllReservations"}"#,
    ] {
        t.send_line(1, line);
    }
    // Only the beginning and the length of a long line are recorded.
    let text = t.take_text();
    let shortened = text.lines().map(|line| match line.char_indices().nth(400) {
        Some((at, _)) => format!("{} ... {} bytes\n", &line[..at], line.len()),
        None => format!("{line}\n"),
    });
    assert_snapshot!("refused_requests", shortened.collect::<String>());
}

/// Replaces the version in the answer to `getDrmsInfo`, which changes with each release.
fn without_version(text: &str) -> String {
    let version = format!(r#""drmsVersion":"{}""#, env!("CARGO_PKG_VERSION"));
    text.replace(&version, r#""drmsVersion":"(the package's)""#)
}

/// A session of two clients that send every kind of request.
#[test]
fn a_session() {
    let mut t = Transcript::new(limits(), "n0-1");
    t.connect(1);
    t.connect(2);
    t.send_line(1, r#"{"seq":1,"op":"getDrmsInfo"}"#);
    t.send_line(1, r#"{"seq":2,"op":"getCapabilities"}"#);
    t.send_line(1, r#"{"seq":3,"op":"getAllQueues"}"#);
    t.send_line(1, r#"{"seq":4,"op":"getAllQueues","names":["sheet"]}"#);
    t.scheduler.extra_machines = 2;
    t.send_line(1, r#"{"seq":5,"op":"getAllMachines"}"#);
    t.send_line(1, r#"{"seq":6,"op":"getAllMachines","names":["w2","w9"]}"#);
    t.send_line(1, r#"{"seq":7,"op":"listSessions"}"#);
    t.send_line(1, r#"{"seq":8,"op":"createSession","name":"film"}"#);
    t.send_line(2, r#"{"seq":1,"op":"openSession","name":"film"}"#);
    jobs_one_by_one(&mut t);
    an_array(&mut t);
    lists_and_sessions(&mut t);
    assert_snapshot!("a_session", without_version(&t.take_text()));
}

#[expect(clippy::too_many_lines, reason = "a list of requests")]
fn jobs_one_by_one(t: &mut Transcript) {
    t.send_line(1, r#"{"seq":"run","op":"runJob","notify":true,"session":"film","template":{"remoteCommand":"/frame?n=1","jobCategory":"preview","jobName":"one","accountingId":"au"}}"#);
    t.send_line(
        1,
        r#"{"seq":"started","op":"waitStarted","jobId":"n0-1-0","timeoutMs":60000}"#,
    );
    t.send_line(
        1,
        r#"{"seq":"ended","op":"waitTerminated","jobId":"n0-1-0"}"#,
    );
    t.advance_ms(250);
    t.start_job("n0-1-0");
    t.send_line(1, r#"{"seq":"no","op":"suspend","jobId":"n0-1-0"}"#);
    t.send_line(1, r#"{"seq":"no","op":"resume","jobId":"n0-1-0"}"#);
    t.send_line(1, r#"{"seq":"no","op":"hold","jobId":"n0-1-0"}"#);
    t.send_line(1, r#"{"seq":"no","op":"release","jobId":"n0-1-0"}"#);
    t.send_line(1, r#"{"seq":"no","op":"reap","jobId":"n0-1-0"}"#);
    t.advance_ms(1000);
    t.requeue("n0-1-0");
    t.start_job("n0-1-0");
    t.advance_ms(500);
    t.end_job("n0-1-0", "is served", Verdict::Served(b"made".to_vec()));
    t.send_line(1, r#"{"seq":"no","op":"terminate","jobId":"n0-1-0"}"#);
    t.send_line(1, r#"{"seq":"info","op":"getJobInfo","jobId":"n0-1-0"}"#);
    // A job with a key, submitted again while it is visible and after it was reaped.
    let keyed = r#"{"seq":"key","op":"runJob","template":{"remoteCommand":"/sheet","queueName":"sheet","submissionKey":"k"}}"#;
    t.send_line(2, keyed);
    t.send_line(2, keyed);
    t.start_job("n0-1-1");
    t.end_job(
        "n0-1-1",
        "is served with bytes",
        Verdict::Served(vec![0, 0xff, b'\n']),
    );
    t.send_line(2, r#"{"seq":"info","op":"getJobInfo","jobId":"n0-1-1"}"#);
    t.send_line(2, r#"{"seq":"reap","op":"reap","jobId":"n0-1-1"}"#);
    t.send_line(2, r#"{"seq":"info","op":"getJobInfo","jobId":"n0-1-1"}"#);
    t.send_line(2, keyed);
    t.send_line(2, r#"{"seq":"other","op":"runJob","template":{"remoteCommand":"/other","queueName":"sheet","submissionKey":"k"}}"#);
    // Jobs that are held by the client or until their start time.
    t.send_line(1, r#"{"seq":"held","op":"runJob","session":"film","template":{"remoteCommand":"/held","jobCategory":"preview","submitAsHold":true}}"#);
    t.send_line(1, r#"{"seq":"later","op":"runJob","session":"film","template":{"remoteCommand":"/later","jobCategory":"preview","startTime":1005000}}"#);
    t.send_line(1, r#"{"seq":"never","op":"runJob","session":"film","template":{"remoteCommand":"/never","jobCategory":"preview","submitAsHold":true,"deadlineTime":1007000}}"#);
    t.send_line(1, r#"{"seq":"release","op":"release","jobId":"n0-1-2"}"#);
    t.send_line(1, r#"{"seq":"hold","op":"hold","jobId":"n0-1-2"}"#);
    t.send_line(1, r#"{"seq":"release","op":"release","jobId":"n0-1-2"}"#);
    t.send_line(
        2,
        r#"{"seq":"timeout","op":"waitStarted","jobId":"n0-1-2","timeoutMs":100}"#,
    );
    t.advance_ms(10_000);
    t.end_job(
        "n0-1-2",
        "is rejected",
        Verdict::Rejected { retry_after: None },
    );
    t.end_job(
        "n0-1-3",
        "is rejected with a retry hint",
        Verdict::Rejected {
            retry_after: Some(Micros(2_500_000)),
        },
    );
    t.send_line(1, r#"{"seq":"info","op":"getJobInfo","jobId":"n0-1-2"}"#);
    t.send_line(1, r#"{"seq":"info","op":"getJobInfo","jobId":"n0-1-3"}"#);
    t.send_line(1, r#"{"seq":"info","op":"getJobInfo","jobId":"n0-1-4"}"#);
    failures(t);
}

fn failures(t: &mut Transcript) {
    let run = |seq: &str| {
        format!(
            r#"{{"seq":"{seq}","op":"runJob","session":"film","template":{{"remoteCommand":"/{seq}","jobCategory":"preview"}}}}"#
        )
    };
    t.send_line(1, &run("fails"));
    t.start_job("n0-1-5");
    t.end_job("n0-1-5", "fails", Verdict::Failed);
    t.send_line(1, r#"{"seq":"info","op":"getJobInfo","jobId":"n0-1-5"}"#);
    t.send_line(1, &run("overdue"));
    t.start_job("n0-1-6");
    t.advance_ms(10_000);
    t.end_job("n0-1-6", "fails after its deadline", Verdict::Failed);
    t.send_line(1, r#"{"seq":"info","op":"getJobInfo","jobId":"n0-1-6"}"#);
    t.send_line(1, &run("terminated"));
    t.send_line(
        1,
        r#"{"seq":"terminate","op":"terminate","jobId":"n0-1-7"}"#,
    );
    t.send_line(1, r#"{"seq":"info","op":"getJobInfo","jobId":"n0-1-7"}"#);
    // Jobs that the scheduler ends in the turn of their submission are never accepted.
    for (seq, verdict) in [
        ("denied", Verdict::Failed),
        (
            "refused",
            Verdict::Rejected {
                retry_after: Some(Micros(1_500_000)),
            },
        ),
    ] {
        t.handle_line(1, run(seq).as_bytes());
        let id = *t
            .scheduler
            .open_jobs
            .keys()
            .last()
            .expect("the job is with the scheduler");
        t.scheduler.open_jobs.remove(&id);
        assert!(t.server.handle_verdict(t.now, id, verdict, None));
        t.settle();
    }
    t.scheduler.is_full = true;
    t.send_line(1, &run("full"));
    t.scheduler.is_full = false;
}

fn an_array(t: &mut Transcript) {
    t.send_line(1, r#"{"seq":"bulk","op":"runBulkJobs","beginIndex":10,"endIndex":2,"step":-4,"maxParallel":2,"notify":true,"session":"film","template":{"remoteCommand":"/frame/${PARAMETRIC_INDEX}","jobCategory":"preview","jobName":"frame ${PARAMETRIC_INDEX}"}}"#);
    let array = "n0-1-10";
    t.send_line(
        1,
        &format!(r#"{{"seq":"array","op":"getJobArray","jobArrayId":"{array}"}}"#),
    );
    t.send_line(
        2,
        &format!(r#"{{"seq":"any","op":"waitAnyStarted","jobArrayId":"{array}"}}"#),
    );
    t.send_line(
        2,
        &format!(r#"{{"seq":"any ended","op":"waitAnyTerminated","jobArrayId":"{array}"}}"#),
    );
    t.start_job("n0-1-12");
    t.end_job("n0-1-12", "is served", Verdict::Served(b"12".to_vec()));
    for op in ["hold", "release", "suspend", "resume", "terminate", "reap"] {
        t.send_line(
            1,
            &format!(r#"{{"seq":"{op}","op":"{op}","jobArrayId":"{array}"}}"#),
        );
    }
    t.send_line(
        1,
        &format!(r#"{{"seq":"array","op":"getJobArray","jobArrayId":"{array}"}}"#),
    );
    // Members that are rejected one by one.
    t.send_line(1, r#"{"seq":"bulk","op":"runBulkJobs","beginIndex":1,"endIndex":2,"template":{"remoteCommand":"/x","jobCategory":"sheet"}}"#);
}

fn lists_and_sessions(t: &mut Transcript) {
    t.send_line(
        1,
        r#"{"seq":"list","op":"listJobs","session":"film","limit":2}"#,
    );
    t.send_line(
        1,
        r#"{"seq":"list","op":"listJobs","session":"film","limit":2,"after":"n0-1-2"}"#,
    );
    t.send_line(1, r#"{"seq":"list","op":"listJobs","filter":{"jobStates":["DONE"],"jobName":"one","queueName":"preview","accountingId":"au","submittedFromMs":1000000,"submittedBeforeMs":1000001}}"#);
    t.send_line(
        1,
        r#"{"seq":"list","op":"listJobs","filter":{"jobId":"n0-1-5"}}"#,
    );
    t.send_line(1, r#"{"seq":"reap","op":"reap","session":"film"}"#);
    t.send_line(
        1,
        r#"{"seq":"again","op":"openSession","name":"film","since":0}"#,
    );
    t.send_line(1, r#"{"seq":"run","op":"runJob","session":"film","template":{"remoteCommand":"/last","jobCategory":"preview"}}"#);
    t.send_line(
        2,
        r#"{"seq":"wait","op":"waitAnyTerminated","session":"film"}"#,
    );
    t.send_line(2, r#"{"seq":"close","op":"closeSession","name":"film"}"#);
    t.send_line(
        1,
        r#"{"seq":"destroy","op":"destroySession","name":"film"}"#,
    );
    t.send_line(1, r#"{"seq":"list","op":"listSessions"}"#);
    t.disconnect(2);
    t.note("the node shuts down");
    t.server.begin_shutdown();
    t.send_line(
        1,
        r#"{"seq":"end","op":"runJob","template":{"remoteCommand":"/x","jobCategory":"preview"}}"#,
    );
}

/// The limits on jobs and sessions, the bounded history of events, and the maximum hold.
#[test]
fn limits_that_are_reached() {
    let small = Limits {
        max_jobs: 3,
        max_sessions: 1,
        max_session_events: 2,
        ..limits()
    };
    let mut t = Transcript::new(small, "n0-1");
    t.connect(1);
    t.send_line(1, r#"{"seq":1,"op":"createSession","name":"film"}"#);
    t.send_line(1, r#"{"seq":1,"op":"createSession","name":"other"}"#);
    t.send_line(1, r#"{"seq":2,"op":"runBulkJobs","beginIndex":1,"endIndex":5,"session":"film","template":{"remoteCommand":"/x","jobCategory":"preview","submitAsHold":true}}"#);
    t.send_line(1, r#"{"seq":3,"op":"openSession","name":"film","since":0}"#);
    t.advance_ms(100_000);
    t.send_line(1, r#"{"seq":4,"op":"listJobs"}"#);
    t.advance_ms(70_000);
    t.send_line(1, r#"{"seq":5,"op":"listJobs"}"#);
    t.note("the node shuts down without a successor");
    t.send_line(1, r#"{"seq":6,"op":"runJob","template":{"remoteCommand":"/x","jobCategory":"preview","submitAsHold":true}}"#);
    t.server.begin_shutdown();
    t.server.reject_waiting(t.now);
    t.settle();
    t.send_line(1, r#"{"seq":7,"op":"listJobs"}"#);
    assert_snapshot!("limits_that_are_reached", t.take_text());
}
