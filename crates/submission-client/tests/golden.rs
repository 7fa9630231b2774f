//! Golden files of the lines that the client sends and of the results that it returns. The node is a stub server with
//! scripted answers.

use insta::assert_snapshot;
use marbledeck_submission_client::{
    BulkJob, Client, Error, ErrorId, Event, Filter, IndexRange, JobInfo, JobState, Operation,
    Problem, Settings, Targets, Template, WaitGoal,
};
use serde_json::Value;
use std::fmt::Write as _;
use std::io::{BufRead, BufReader, Write};
use std::net::{TcpListener, TcpStream};
use std::sync::mpsc::{channel, Receiver, Sender};
use std::time::Duration;

/// Timeout of each step, far longer than any step takes.
const STEP_TIMEOUT: Duration = Duration::from_secs(30);

/// A stub of a node that records the lines it receives and sends scripted answers.
struct NodeStub {
    contact: String,
    lines: Receiver<String>,
    answers: Sender<Vec<String>>,
}

impl NodeStub {
    fn start() -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
        let contact = listener.local_addr().expect("an address").to_string();
        let (line_sender, lines) = channel();
        let (answers, scripted) = channel();
        std::thread::spawn(move || {
            while let Ok((stream, _)) = listener.accept() {
                serve(stream, &line_sender, &scripted);
            }
        });
        NodeStub {
            contact,
            lines,
            answers,
        }
    }

    /// Adds the answer to the next request that has none yet.
    fn add_answer(&self, lines: &[&str]) {
        let lines = lines.iter().map(ToString::to_string).collect();
        self.answers.send(lines).expect("the stub node runs");
    }

    fn next_line(&self) -> String {
        self.lines
            .recv_timeout(STEP_TIMEOUT)
            .expect("a line arrives")
    }
}

/// Answers each request with the next scripted lines; `SEQ` in them is replaced by the request's `seq`.
fn serve(mut stream: TcpStream, line_sender: &Sender<String>, scripted: &Receiver<Vec<String>>) {
    let reader = BufReader::new(stream.try_clone().expect("a second handle of the socket"));
    for line in reader.lines().map_while(Result::ok) {
        let request: Value = serde_json::from_str(&line).expect("the line is JSON");
        let seq = request["seq"].to_string();
        if line_sender.send(line).is_err() {
            return;
        }
        let Ok(answers) = scripted.recv_timeout(STEP_TIMEOUT) else {
            return;
        };
        for answer in answers {
            let written = writeln!(stream, "{}", answer.replace("SEQ", &seq));
            if written.is_err() {
                return;
            }
        }
    }
}

/// A client of a stub node, and a transcript of the requests, answers and results.
struct Transcript {
    node: NodeStub,
    client: Client,
    text: String,
}

impl Transcript {
    fn new() -> Self {
        let node = NodeStub::start();
        let mut settings = Settings::new(node.contact.clone());
        settings.resubmit_timeout = Duration::ZERO;
        Transcript {
            client: Client::new(settings),
            node,
            text: String::new(),
        }
    }

    /// Makes a call that sends one request, to which the node answers with these lines, and records the exchange.
    fn exchange<T>(
        &mut self,
        answers: &[&str],
        call: impl FnOnce(&Client) -> Result<T, Error>,
        format: impl FnOnce(T) -> String,
    ) {
        self.node.add_answer(answers);
        let result = call(&self.client);
        let _ = writeln!(self.text, "> {}", self.node.next_line());
        for answer in answers {
            let _ = writeln!(self.text, "< {answer}");
        }
        let result = match result {
            Ok(value) => format(value),
            Err(error) => format_error(&error),
        };
        let _ = writeln!(self.text, "= {result}");
    }
}

fn format_error(error: &Error) -> String {
    let kind = match error {
        Error::Problem(_) => "problem",
        Error::Connection(_) => "connection",
        Error::InvalidAnswer(_) => "invalid answer",
    };
    format!("{kind}: {error}")
}

fn format_info(info: JobInfo) -> String {
    let result = info.result_bytes().map(|b| b.escape_ascii().to_string());
    let problem = info.problem.as_ref().map(|p| p.message.clone());
    format!(
        "{} is {}, class '{}', name '{}', machine '{}', result '{}', problem '{}'",
        info.job_id,
        info.job_state,
        info.queue_name,
        info.job_name.unwrap_or_default(),
        info.machine.unwrap_or_default(),
        result.unwrap_or_default(),
        problem.unwrap_or_default()
    )
}

fn template() -> Template {
    let mut template = Template {
        remote_command: "/frame?n=7".to_owned(),
        job_category: "preview".to_owned(),
        accounting_id: Some("au".to_owned()),
        submission_key: Some("k".to_owned()),
        ..Template::default()
    };
    template.set_input(b"text".to_vec());
    template
}

const DONE: &str = r#"{"seq":SEQ,"jobInfo":{"jobId":"n0-1-0","jobName":"frame","jobState":"DONE","queueName":"preview","machine":"w1","submissionTimeMs":1,"dispatchTimeMs":2,"finishTimeMs":3,"duplicates":0,"resultBase64":"AP8="}}"#;
const FAILED: &str = r#"{"seq":SEQ,"jobInfo":{"jobId":"n0-1-0","jobState":"FAILED","jobSubState":"failed","submissionTimeMs":1,"error":"DRM_COMMUNICATION","message":"no"}}"#;
const LATER: &str = r#"{"seq":SEQ,"error":"TRY_LATER","message":"full","retryAfterMs":1}"#;

#[test]
fn jobs() {
    let mut transcript = Transcript::new();
    let accepted = r#"{"seq":SEQ,"jobId":"n0-1-0","jobState":"QUEUED","duplicate":true}"#;
    for (session, answer) in [
        (None, accepted),
        (Some("film"), accepted),
        (None, LATER),
        (None, r#"{"seq":SEQ,"error":"DENIED_BY_DRMS"}"#),
        (None, r#"{"seq":SEQ,"error":"NONE_OF_THESE"}"#),
        (None, r#"{"seq":SEQ,"jobId":"n0-1-0"}"#),
    ] {
        transcript.exchange(
            &[answer],
            |client| client.run_job(template(), session),
            |job| {
                format!(
                    "{} {} duplicate {}",
                    job.job_id, job.job_state, job.duplicate
                )
            },
        );
    }
    transcript.exchange(&[DONE], |client| client.job_info("n0-1-0"), format_info);
    transcript.exchange(&[FAILED], |client| client.job_info("n0-1-0"), format_info);
    let array = r#"{"seq":SEQ,"jobArray":{"jobArrayId":"n0-1-1","session":"film","maxParallel":2,"jobs":9,"active":2,"waiting":3,"ended":4}}"#;
    transcript.exchange(
        &[array],
        |client| client.job_array("n0-1-1"),
        |array| {
            let (id, jobs, active) = (array.job_array_id, array.jobs, array.active);
            format!(
                "{id}: {jobs} jobs, {active} active, {} waiting, {} ended",
                array.waiting, array.ended
            )
        },
    );
    assert_snapshot!("jobs", transcript.text);
}

#[test]
fn bulks() {
    let mut transcript = Transcript::new();
    let first = r#"{"seq":SEQ,"jobArrayId":"n0-1-0","jobs":[{"index":1,"jobId":"n0-1-1","jobState":"QUEUED","duplicate":false}],"more":true}"#;
    let last = r#"{"seq":SEQ,"jobArrayId":"n0-1-0","jobs":[{"index":2,"error":"INVALID_ARGUMENT","message":"no"},{"index":3,"error":"TRY_LATER","message":"full"}]}"#;
    for (range, max_parallel, session) in [
        (IndexRange::new(1, 3, 1), None, None),
        (IndexRange::new(3, 1, -1), Some(2), Some("film")),
    ] {
        transcript.exchange(
            &[first, last],
            |client| client.run_bulk(template(), range, max_parallel, session),
            |bulk| {
                let job = |job: BulkJob| {
                    let result = job.result.map_or_else(|p| p.message, |job| job.job_id);
                    format!("{}: {result}", job.index)
                };
                let jobs: Vec<String> = bulk.jobs.into_iter().map(job).collect();
                format!("arrays {}; {}", bulk.arrays.join(" "), jobs.join(", "))
            },
        );
    }
    assert_snapshot!("bulks", transcript.text);
}

#[test]
fn waits() {
    let mut transcript = Transcript::new();
    let show = |info| format_info(info);
    transcript.exchange(&[DONE], |c| c.wait_terminated("n0-1-0", None), show);
    transcript.exchange(&[DONE], |c| c.wait_started("n0-1-0", None), show);
    for targets in [
        Targets::job("n0-1-0"),
        Targets::array("n0-1-1"),
        Targets {
            session: Some("film".to_owned()),
            ..Targets::default()
        },
    ] {
        transcript.exchange(
            &[DONE],
            |c| c.wait_any(&targets, WaitGoal::Started, None),
            show,
        );
        transcript.exchange(
            &[FAILED],
            |c| c.wait_any(&targets, WaitGoal::Terminated, None),
            show,
        );
    }
    let timeout = r#"{"seq":SEQ,"error":"TIMEOUT","message":"the job goes on"}"#;
    transcript.exchange(&[timeout], |c| c.wait_terminated("n0-1-0", None), show);
    assert_snapshot!("waits", transcript.text);
}

#[test]
#[expect(clippy::too_many_lines, reason = "a flat list of requests and answers")]
fn controls_and_lists() {
    let mut transcript = Transcript::new();
    let targets = || Targets::array("n0-1-1");
    let many = r#"{"seq":SEQ,"changed":3,"refused":1}"#;
    let one = r#"{"seq":SEQ,"jobId":"n0-1-0","jobState":"QUEUED_HELD"}"#;
    for (op, answer) in [
        (Operation::Terminate { targets: targets() }, many),
        (
            Operation::Hold {
                targets: Targets::job("n0-1-0"),
            },
            one,
        ),
        (Operation::Release { targets: targets() }, many),
        (Operation::Suspend { targets: targets() }, many),
        (Operation::Resume { targets: targets() }, many),
        (Operation::Reap { targets: targets() }, many),
    ] {
        transcript.exchange(
            &[answer],
            |client| client.control(op),
            |summary| format!("{} changed, {} refused", summary.changed, summary.rejected),
        );
    }
    let filter = Filter {
        job_states: Some(vec![JobState::Done, JobState::QueuedHeld]),
        queue_name: Some("preview".to_owned()),
        ..Filter::default()
    };
    let page = r#"{"seq":SEQ,"jobs":[{"jobId":"n0-1-0","jobState":"DONE","submissionTimeMs":1}]}"#;
    let list = |client: &Client| {
        let mut jobs = Vec::new();
        let listed = client.list_jobs(Some("film"), &filter, |job| jobs.push(format_info(job)));
        listed.map(|()| jobs.join("; "))
    };
    transcript.exchange(&[page], list, |jobs| jobs);
    let queues = r#"{"seq":SEQ,"queues":[{"name":"sheet","deadlineMs":25000,"dedupWindowMs":40000,"keyed":true}]}"#;
    transcript.exchange(&[queues], Client::queues, |queues| {
        let queue = &queues[0];
        let (deadline, window) = (queue.deadline_ms, queue.dedup_window_ms);
        format!(
            "{} deadline {deadline} window {window} keyed {}",
            queue.name, queue.keyed
        )
    });
    let machine = |name: &str, more: &str| {
        format!(
            r#"{{"seq":SEQ,"machines":[{{"name":"{name}","available":true,"state":"up","zone":"east","kind":"std","address":"127.0.0.1:8000","calls":3}}]{more}}}"#
        )
    };
    let (first, last) = (machine("w1", r#","more":true"#), machine("w2", ""));
    transcript.exchange(&[&first, &last], Client::machines, |machines| {
        let machine = |m: &marbledeck_submission_client::Machine| {
            format!("{} {} {}", m.name, m.zone, m.calls)
        };
        machines.iter().map(machine).collect::<Vec<_>>().join(", ")
    });
    for (op, answer) in [
        (
            Operation::GetDrmsInfo,
            r#"{"seq":SEQ,"drmsName":"marbledeck","drmsVersion":"1"}"#,
        ),
        (
            Operation::GetCapabilities,
            r#"{"seq":SEQ,"capabilities":{"CALLBACK":true}}"#,
        ),
        (
            Operation::GetAllReservations,
            r#"{"seq":SEQ,"error":"UNSUPPORTED_OPERATION","message":""}"#,
        ),
    ] {
        transcript.exchange(
            &[answer],
            |client| client.request(op),
            |value| value.to_string(),
        );
    }
    assert_snapshot!("controls_and_lists", transcript.text);
}

#[test]
fn sessions() {
    let mut transcript = Transcript::new();
    let opened = r#"{"seq":SEQ,"session":"film","lastEvent":7}"#;
    let shown = |last: u64| format!("last event {last}");
    transcript.exchange(&[opened], |c| c.create_or_open_session("film", None), shown);
    transcript.exchange(&[opened], |c| c.open_session("film", Some(3)), shown);
    let names = r#"{"seq":SEQ,"sessions":["film","other"]}"#;
    transcript.exchange(&[names], Client::sessions, |names| names.join(" "));
    let closed = r#"{"seq":SEQ,"session":"film"}"#;
    let show_done = |()| "done".to_owned();
    transcript.exchange(&[closed], Client::close_session, show_done);
    transcript.exchange(&[closed], |c| c.destroy_session("film"), show_done);
    let unknown = r#"{"seq":SEQ,"error":"INVALID_SESSION","message":"no such session: `film`"}"#;
    transcript.exchange(&[unknown], |c| c.destroy_session("film"), show_done);
    assert_snapshot!("sessions", transcript.text);
}

/// The events of a session, and the request that reopens the session on the connection that receives them.
#[test]
fn events() {
    let node = NodeStub::start();
    let (sender, received_events) = channel();
    let on_event = move |event: Event| drop(sender.send(event));
    let client = Client::with_events(Settings::new(node.contact.clone()), Box::new(on_event));
    let events = [
        r#"{"event":"GAP","session":"film","from":3,"to":5}"#,
        r#"{"event":"NEW_STATE","session":"film","number":6,"jobId":"n0-1-0","jobState":"FAILED","jobSubState":"terminated"}"#,
        r#"{"event":"NEW_STATE","jobId":"n0-1-1","jobState":"RUNNING","queueName":"preview","submissionTimeMs":1,"duplicates":0}"#,
        r#"{"event":"OTHER"}"#,
    ];
    node.add_answer(&[r#"{"seq":SEQ,"session":"film","lastEvent":2}"#]);
    node.add_answer(
        &[
            &[r#"{"seq":SEQ,"session":"film","lastEvent":6}"#],
            &events[..],
        ]
        .concat(),
    );
    node.add_answer(&[r#"{"seq":SEQ,"sessions":["film"]}"#]);
    let last = client
        .create_or_open_session("film", None)
        .expect("the session opens");
    let mut text = format!("last event {last}\n");
    for _ in 0..3 {
        let _ = writeln!(text, "> {}", node.next_line());
    }
    for _ in 0..3 {
        let event = received_events
            .recv_timeout(STEP_TIMEOUT)
            .expect("an event");
        let shown = match event {
            Event::Gap { session, from, to } => format!("gap of {session} from {from} to {to}"),
            Event::NewState {
                session,
                number,
                job_id,
                job_state,
                job_sub_state,
            } => format!(
                "{job_id} is {job_state} '{}', session '{}', number {}",
                job_sub_state.unwrap_or_default(),
                session.unwrap_or_default(),
                number.map_or("none".to_owned(), |n| n.to_string())
            ),
        };
        let _ = writeln!(text, "= {shown}");
    }
    assert_snapshot!("events", text);
}

/// The messages of errors, as programs print them.
#[test]
fn errors() {
    let errors = [
        Error::Problem(Problem::invalid_argument("no such job")),
        Error::Connection(std::io::Error::other("connection reset")),
        Error::InvalidAnswer("expected one line, received several".to_owned()),
    ];
    let mut text: String = errors.iter().map(|e| format!("{e}\n")).collect();
    // A problem without a message is shown by its identifier.
    for id in [
        ErrorId::DeniedByDrms,
        ErrorId::DrmCommunication,
        ErrorId::TryLater,
        ErrorId::SessionManagement,
        ErrorId::Timeout,
        ErrorId::Internal,
        ErrorId::InvalidArgument,
        ErrorId::InvalidSession,
        ErrorId::InvalidState,
        ErrorId::OutOfResource,
        ErrorId::UnsupportedAttribute,
        ErrorId::UnsupportedOperation,
        ErrorId::ImplementationSpecific,
    ] {
        let _ = writeln!(text, "{}", Error::Problem(Problem::new(id, "")));
    }
    assert_snapshot!("errors", text);
}

/// The client generates a key of 32 hexadecimal digits for a template without one; for a bulk, the index is appended.
#[test]
fn generated_keys() {
    let node = NodeStub::start();
    let client = Client::new(Settings::new(node.contact.clone()));
    let mut unkeyed = template();
    unkeyed.submission_key = None;
    node.add_answer(&[r#"{"seq":SEQ,"jobId":"n0-1-0","jobState":"QUEUED","duplicate":false}"#]);
    client.run_job(unkeyed.clone(), None).expect("accepted");
    node.add_answer(&[r#"{"seq":SEQ,"jobArrayId":"n0-1-0","jobs":[]}"#]);
    client
        .run_bulk(unkeyed, IndexRange::new(1, 1, 1), None, None)
        .expect("accepted");
    for suffix in ["", "-${PARAMETRIC_INDEX}"] {
        let line: Value = serde_json::from_str(&node.next_line()).expect("the line is JSON");
        let key = line["template"]["submissionKey"].as_str().expect("a key");
        let digits = key.strip_suffix(suffix).expect("a key with the suffix");
        assert_eq!(digits.len(), 32);
        assert!(digits
            .bytes()
            .all(|b| b.is_ascii_digit() || (b'a'..=b'f').contains(&b)));
    }
}
