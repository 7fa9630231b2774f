//! The client's requests, line by line, and its results, as golden files. The node is a listener that answers by a
//! script.

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

/// Far longer than any step takes.
const STEP_TIMEOUT: Duration = Duration::from_secs(30);

/// A scripted node, which keeps the lines that it receives.
struct Node {
    contact: String,
    lines: Receiver<String>,
    answers: Sender<Vec<String>>,
}

impl Node {
    fn start() -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a port");
        let contact = listener.local_addr().expect("an address").to_string();
        let (line_sender, lines) = channel();
        let (answers, scripted) = channel();
        std::thread::spawn(move || {
            while let Ok((stream, _)) = listener.accept() {
                serve(stream, &line_sender, &scripted);
            }
        });
        Node {
            contact,
            lines,
            answers,
        }
    }

    /// The answers to the next line.
    fn will_answer(&self, lines: &[&str]) {
        let lines = lines.iter().map(ToString::to_string).collect();
        self.answers.send(lines).expect("the node runs");
    }

    fn next_line(&self) -> String {
        self.lines
            .recv_timeout(STEP_TIMEOUT)
            .expect("a line arrives")
    }
}

/// Answers each line with the next script; `SEQ` in it stands for the mark of the request.
fn serve(mut stream: TcpStream, line_sender: &Sender<String>, scripted: &Receiver<Vec<String>>) {
    let reader = BufReader::new(stream.try_clone().expect("a socket"));
    for line in reader.lines().map_while(Result::ok) {
        let request: Value = serde_json::from_str(&line).expect("a line is JSON");
        let seq = request["seq"].to_string();
        if line_sender.send(line).is_err() {
            return;
        }
        let Ok(answers) = scripted.recv_timeout(STEP_TIMEOUT) else {
            return;
        };
        for answer in answers {
            let said = writeln!(stream, "{}", answer.replace("SEQ", &seq));
            if said.is_err() {
                return;
            }
        }
    }
}

/// A client of a scripted node, and what both have said.
struct Transcript {
    node: Node,
    client: Client,
    text: String,
}

impl Transcript {
    fn new() -> Self {
        let node = Node::start();
        let mut settings = Settings::new(node.contact.clone());
        settings.resubmit_timeout = Duration::ZERO;
        Transcript {
            client: Client::new(settings),
            node,
            text: String::new(),
        }
    }

    /// Asks the client for something that takes one request, to which the node says these lines.
    fn ask<T>(
        &mut self,
        answers: &[&str],
        asked: impl FnOnce(&Client) -> Result<T, Error>,
        shown: impl FnOnce(T) -> String,
    ) {
        self.node.will_answer(answers);
        let result = asked(&self.client);
        let _ = writeln!(self.text, "> {}", self.node.next_line());
        for answer in answers {
            let _ = writeln!(self.text, "< {answer}");
        }
        let result = match result {
            Ok(value) => shown(value),
            Err(error) => shown_error(&error),
        };
        let _ = writeln!(self.text, "= {result}");
    }
}

fn shown_error(error: &Error) -> String {
    let kind = match error {
        Error::Problem(_) => "problem",
        Error::Connection(_) => "lost",
        Error::InvalidAnswer(_) => "garbled",
    };
    format!("{kind}: {error}")
}

fn shown_info(info: JobInfo) -> String {
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
    let mut t = Transcript::new();
    let accepted = r#"{"seq":SEQ,"jobId":"n0-1-0","jobState":"QUEUED","duplicate":true}"#;
    for (session, answer) in [
        (None, accepted),
        (Some("film"), accepted),
        (None, LATER),
        (None, r#"{"seq":SEQ,"error":"DENIED_BY_DRMS"}"#),
        (None, r#"{"seq":SEQ,"error":"NONE_OF_THESE"}"#),
        (None, r#"{"seq":SEQ,"jobId":"n0-1-0"}"#),
    ] {
        t.ask(
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
    t.ask(&[DONE], |client| client.job_info("n0-1-0"), shown_info);
    t.ask(&[FAILED], |client| client.job_info("n0-1-0"), shown_info);
    let array = r#"{"seq":SEQ,"jobArray":{"jobArrayId":"n0-1-1","session":"film","maxParallel":2,"jobs":9,"active":2,"waiting":3,"ended":4}}"#;
    t.ask(
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
    assert_snapshot!("jobs", t.text);
}

#[test]
fn bulks() {
    let mut t = Transcript::new();
    let first = r#"{"seq":SEQ,"jobArrayId":"n0-1-0","jobs":[{"index":1,"jobId":"n0-1-1","jobState":"QUEUED","duplicate":false}],"more":true}"#;
    let last = r#"{"seq":SEQ,"jobArrayId":"n0-1-0","jobs":[{"index":2,"error":"INVALID_ARGUMENT","message":"no"},{"index":3,"error":"TRY_LATER","message":"full"}]}"#;
    for (range, most, session) in [
        (IndexRange::new(1, 3, 1), None, None),
        (IndexRange::new(3, 1, -1), Some(2), Some("film")),
    ] {
        t.ask(
            &[first, last],
            |client| client.run_bulk(template(), range, most, session),
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
    assert_snapshot!("bulks", t.text);
}

#[test]
fn waits() {
    let mut t = Transcript::new();
    let none = |info| shown_info(info);
    t.ask(&[DONE], |c| c.wait_terminated("n0-1-0", None), none);
    t.ask(&[DONE], |c| c.wait_started("n0-1-0", None), none);
    for of in [
        Targets::job("n0-1-0"),
        Targets::array("n0-1-1"),
        Targets {
            session: Some("film".to_owned()),
            ..Targets::default()
        },
    ] {
        t.ask(&[DONE], |c| c.wait_any(&of, WaitGoal::Started, None), none);
        t.ask(
            &[FAILED],
            |c| c.wait_any(&of, WaitGoal::Terminated, None),
            none,
        );
    }
    let timeout = r#"{"seq":SEQ,"error":"TIMEOUT","message":"the job goes on"}"#;
    t.ask(&[timeout], |c| c.wait_terminated("n0-1-0", None), none);
    assert_snapshot!("waits", t.text);
}

#[test]
#[expect(clippy::too_many_lines, reason = "a list of requests")]
fn controls_and_lists() {
    let mut t = Transcript::new();
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
        t.ask(
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
        let listed = client.list_jobs(Some("film"), &filter, |job| jobs.push(shown_info(job)));
        listed.map(|()| jobs.join("; "))
    };
    t.ask(&[page], list, |jobs| jobs);
    let queues = r#"{"seq":SEQ,"queues":[{"name":"sheet","deadlineMs":25000,"dedupWindowMs":40000,"keyed":true}]}"#;
    t.ask(&[queues], Client::queues, |queues| {
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
    t.ask(&[&first, &last], Client::machines, |machines| {
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
        t.ask(
            &[answer],
            |client| client.request(op),
            |value| value.to_string(),
        );
    }
    assert_snapshot!("controls_and_lists", t.text);
}

#[test]
fn sessions() {
    let mut t = Transcript::new();
    let opened = r#"{"seq":SEQ,"session":"film","lastEvent":7}"#;
    let shown = |last: u64| format!("last event {last}");
    t.ask(&[opened], |c| c.create_or_open_session("film", None), shown);
    t.ask(&[opened], |c| c.open_session("film", Some(3)), shown);
    let names = r#"{"seq":SEQ,"sessions":["film","other"]}"#;
    t.ask(&[names], Client::sessions, |names| names.join(" "));
    let closed = r#"{"seq":SEQ,"session":"film"}"#;
    let nothing = |()| "done".to_owned();
    t.ask(&[closed], Client::close_session, nothing);
    t.ask(&[closed], |c| c.destroy_session("film"), nothing);
    let unknown = r#"{"seq":SEQ,"error":"INVALID_SESSION","message":"no such session: `film`"}"#;
    t.ask(&[unknown], |c| c.destroy_session("film"), nothing);
    assert_snapshot!("sessions", t.text);
}

/// The events of a session, and how it is opened anew over the connection that tells them.
#[test]
fn events() {
    let node = Node::start();
    let (sender, received_events) = channel();
    let on_event = move |event: Event| drop(sender.send(event));
    let client = Client::with_events(Settings::new(node.contact.clone()), Box::new(on_event));
    let events = [
        r#"{"event":"GAP","session":"film","from":3,"to":5}"#,
        r#"{"event":"NEW_STATE","session":"film","number":6,"jobId":"n0-1-0","jobState":"FAILED","jobSubState":"terminated"}"#,
        r#"{"event":"NEW_STATE","jobId":"n0-1-1","jobState":"RUNNING","queueName":"preview","submissionTimeMs":1,"duplicates":0}"#,
        r#"{"event":"OTHER"}"#,
    ];
    node.will_answer(&[r#"{"seq":SEQ,"session":"film","lastEvent":2}"#]);
    node.will_answer(
        &[
            &[r#"{"seq":SEQ,"session":"film","lastEvent":6}"#],
            &events[..],
        ]
        .concat(),
    );
    node.will_answer(&[r#"{"seq":SEQ,"sessions":["film"]}"#]);
    let last = client
        .create_or_open_session("film", None)
        .expect("it opens");
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

/// The words of errors, as programs print them.
#[test]
fn errors() {
    let errors = [
        Error::Problem(Problem::invalid_argument("no such job")),
        Error::Connection(std::io::Error::other("the connection broke")),
        Error::InvalidAnswer("more than one line".to_owned()),
    ];
    let mut text: String = errors.iter().map(|e| format!("{e}\n")).collect();
    // A problem without a message shows its identifier.
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

/// A template without a key gets one of 32 hexadecimal digits, and of a bulk the index with it.
#[test]
fn keys_of_the_clients_own() {
    let node = Node::start();
    let client = Client::new(Settings::new(node.contact.clone()));
    let mut unkeyed = template();
    unkeyed.submission_key = None;
    node.will_answer(&[r#"{"seq":SEQ,"jobId":"n0-1-0","jobState":"QUEUED","duplicate":false}"#]);
    client.run_job(unkeyed.clone(), None).expect("accepted");
    node.will_answer(&[r#"{"seq":SEQ,"jobArrayId":"n0-1-0","jobs":[]}"#]);
    client
        .run_bulk(unkeyed, IndexRange::new(1, 1, 1), None, None)
        .expect("accepted");
    for end in ["", "-${PARAMETRIC_INDEX}"] {
        let line: Value = serde_json::from_str(&node.next_line()).expect("a line is JSON");
        let key = line["template"]["submissionKey"].as_str().expect("a key");
        let digits = key.strip_suffix(end).expect("it ends so");
        assert_eq!(digits.len(), 32);
        assert!(digits
            .bytes()
            .all(|b| b.is_ascii_digit() || (b'a'..=b'f').contains(&b)));
    }
}
