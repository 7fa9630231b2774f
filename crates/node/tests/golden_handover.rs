//! Golden files of the handover protocol that two processes of a node speak over a Unix socket during an upgrade. The
//! test plays one of the processes, so the lines hold for any version of the program. Times and ports are replaced.

use insta::assert_snapshot;
use marbledeck_test_support::{EnvironmentOptions, TestEnvironment};
use rustix::fd::{AsFd, OwnedFd};
use rustix::net::{
    RecvAncillaryBuffer, RecvAncillaryMessage, RecvFlags, SendAncillaryBuffer,
    SendAncillaryMessage, SendFlags,
};
use serde_json::{json, Value};
use std::fmt::Write as _;
use std::io::{BufRead, BufReader, IoSlice, IoSliceMut, Read, Write};
use std::mem::MaybeUninit;
use std::net::{TcpListener, TcpStream};
use std::os::unix::net::{UnixListener, UnixStream};
use std::path::PathBuf;
use std::time::{Duration, Instant};

/// Much longer than any step takes.
const TIMEOUT: Duration = Duration::from_secs(30);
/// A number with at least this many digits is a time of the node's clock.
const MIN_TIME_DIGITS: usize = 13;
/// The length of the header, which holds the length of the body: eight hexadecimal digits and a line feed.
const HEADER_LENGTH: usize = 9;
/// The number of listeners that a node hands over: one for clients and one for submitters.
const LISTENERS: usize = 2;

/// Replaces each time in a text; the value that stands for no time stays.
fn without_times(text: &str) -> String {
    let mut out = String::new();
    let mut rest = text;
    while let Some(start) = rest.find(|c: char| c.is_ascii_digit()) {
        let (before, from) = rest.split_at(start);
        let end = from.find(|c: char| !c.is_ascii_digit());
        let (digits, after) = from.split_at(end.unwrap_or(from.len()));
        let is_time = digits.len() >= MIN_TIME_DIGITS && digits != u64::MAX.to_string();
        out += before;
        out += if is_time { "TIME" } else { digits };
        rest = after;
    }
    out + rest
}

/// Replaces the values that differ from run to run.
fn normalize(environment: &TestEnvironment, text: &str) -> String {
    let mut text = without_times(text);
    for worker in &environment.workers {
        text = text.replace(
            &worker.address.to_string(),
            &format!("ADDRESS OF {}", worker.id),
        );
    }
    let key = r#""told_in_us":"#;
    if let Some((before, after)) = text.split_once(key) {
        let rest = after.trim_start_matches(|c: char| c.is_ascii_digit());
        let shown = if rest == after { "" } else { "SPAN" };
        text = format!("{before}{key}{shown}{rest}");
    }
    text
}

fn handover_socket(environment: &TestEnvironment) -> PathBuf {
    environment.folder().join("marbledeck-n0")
}

/// A submitter's connection.
struct Submitter {
    reader: BufReader<TcpStream>,
}

impl Submitter {
    fn connect(environment: &TestEnvironment) -> Self {
        let stream = TcpStream::connect(&environment.submission_address).expect("the node listens");
        stream.set_read_timeout(Some(TIMEOUT)).expect("a socket");
        Submitter {
            reader: BufReader::new(stream),
        }
    }

    /// Sends a request. Returns the next line that is no event.
    fn request(&mut self, request: &Value) -> String {
        writeln!(self.reader.get_mut(), "{request}").expect("the node reads");
        loop {
            let mut line = String::new();
            let read = self.reader.read_line(&mut line).expect("the node answers");
            assert!(read > 0, "the connection ended");
            if !line.starts_with(r#"{"event""#) {
                return line.trim_end().to_owned();
            }
        }
    }
}

/// The handover connection between the two processes.
struct Link {
    reader: BufReader<UnixStream>,
}

impl Link {
    fn new(stream: UnixStream) -> Self {
        stream.set_read_timeout(Some(TIMEOUT)).expect("a socket");
        Link {
            reader: BufReader::new(stream),
        }
    }

    fn send_line(&mut self, line: &str) {
        writeln!(self.reader.get_mut(), "{line}").expect("the node reads");
    }

    fn next_line(&mut self) -> String {
        let mut line = String::new();
        let read = self
            .reader
            .read_line(&mut line)
            .expect("the node sends a line");
        assert!(read > 0, "the link ended");
        line.trim_end().to_owned()
    }

    /// Receives the state that a process hands over: its listeners, which come with the header, the header and the
    /// body.
    fn receive_state(&mut self) -> (Vec<OwnedFd>, String, String) {
        let mut header = [0; HEADER_LENGTH];
        let mut space = [MaybeUninit::uninit(); rustix::cmsg_space!(ScmRights(LISTENERS))];
        let mut control = RecvAncillaryBuffer::new(&mut space);
        let mut parts = [IoSliceMut::new(&mut header)];
        let link = self.reader.get_ref();
        let got = rustix::net::recvmsg(link, &mut parts, &mut control, RecvFlags::WAITALL);
        assert_eq!(got.expect("a header").bytes, HEADER_LENGTH);
        let mut listeners = Vec::new();
        for message in control.drain() {
            if let RecvAncillaryMessage::ScmRights(passed) = message {
                listeners.extend(passed);
            }
        }
        let header = String::from_utf8(header.to_vec()).expect("text");
        let length = usize::from_str_radix(header.trim_end(), 16).expect("a length");
        let mut body = vec![0; length];
        self.reader.read_exact(&mut body).expect("a body");
        (listeners, header, String::from_utf8(body).expect("text"))
    }

    /// Hands over these listeners and a body.
    fn send_state(&mut self, listeners: &[OwnedFd], body: &str) {
        let whole = format!("{:08x}\n{body}", body.len());
        self.send_with_listeners(listeners, whole.as_bytes());
    }

    fn send_with_listeners(&mut self, listeners: &[OwnedFd], bytes: &[u8]) {
        let listeners: Vec<_> = listeners.iter().map(AsFd::as_fd).collect();
        let mut space = [MaybeUninit::uninit(); rustix::cmsg_space!(ScmRights(LISTENERS))];
        let mut control = SendAncillaryBuffer::new(&mut space);
        assert!(control.push(SendAncillaryMessage::ScmRights(&listeners)));
        let parts = [IoSlice::new(bytes)];
        let link = self.reader.get_ref();
        let sent = rustix::net::sendmsg(link, &parts, &mut control, SendFlags::empty());
        assert_eq!(sent.expect("the new process reads"), bytes.len());
    }
}

/// A running process hands its state over to a process that replaces it.
#[test]
fn a_node_sends_its_state_to_its_successor() {
    let mut environment = TestEnvironment::start(EnvironmentOptions::default());
    for worker in &environment.workers {
        environment.wait_for_member(&worker.id, |line| {
            line.is_some_and(|line| line.contains(" in "))
        });
    }
    let mut submitter = Submitter::connect(&environment);
    for request in [
        json!({"seq": 1, "op": "createSession", "name": "film"}),
        json!({"seq": 2, "op": "runJob", "session": "film", "template": {"remoteCommand": "/held", "jobCategory": "preview",
            "accountingId": "au", "submitAsHold": true}}),
        json!({"seq": 3, "op": "runBulkJobs", "beginIndex": 1, "endIndex": 2, "maxParallel": 1, "template":
            {"remoteCommand": "/${PARAMETRIC_INDEX}", "jobCategory": "preview", "accountingId": "au", "submitAsHold": true}}),
    ] {
        submitter.request(&request);
    }
    assert_eq!(
        environment.call_admin("set-down w3").as_deref(),
        Some("ACK w3 out")
    );
    let mut link =
        Link::new(UnixStream::connect(handover_socket(&environment)).expect("the node listens"));
    let (listeners, header, body) = link.receive_state();
    assert_eq!(header, format!("{:08x}\n", body.len()));
    let addresses = listeners.into_iter().map(|listener| {
        let address = TcpListener::from(listener).local_addr();
        address.expect("a listener has an address").to_string()
    });
    let expected = [
        environment.client_address.clone(),
        environment.submission_address.clone(),
    ];
    assert_eq!(addresses.collect::<Vec<_>>(), expected);
    let mut text = format!("state: {}\n", normalize(&environment, &body));
    environment.call_admin("set-down w1");
    let _ = writeln!(text, "< {}", link.next_line());
    environment.call_admin("set-up w1");
    let _ = writeln!(text, "< {}", link.next_line());
    for line in [r#"{"parties":["submission"]}"#, r#""serving""#] {
        let _ = writeln!(text, "> {line}");
        link.send_line(line);
    }
    loop {
        let line = link.next_line();
        let _ = writeln!(text, "< {}", normalize(&environment, &line));
        if line.contains(r#""end""#) {
            break;
        }
    }
    let taken = r#"{"party":["submission","taken"]}"#;
    let _ = writeln!(text, "> {taken}");
    link.send_line(taken);
    environment.signal(0, "-TERM");
    let _ = writeln!(text, "< {}", link.next_line());
    assert!(
        environment.exits_cleanly(0),
        "the old process ends by itself"
    );
    assert_snapshot!("told_to_a_successor", text);
}

/// Plays the old process: hands over its state, receives the services of the new process, and sends it these lines.
fn play_predecessor(predecessor: &PlayedPredecessor, state: &str, lines: &[&str]) -> String {
    let accepted = predecessor.handover.accept();
    let (stream, _) = accepted.expect("the new process connects");
    let mut link = Link::new(stream);
    link.send_state(&predecessor.listeners, state);
    let mut text = format!("state: {state}\n< {}\n", link.next_line());
    for line in lines {
        let _ = writeln!(text, "> {line}");
        link.send_line(line);
    }
    // The new process reports that it serves and that it has taken over all jobs, in either order.
    let mut lines = [link.next_line(), link.next_line()];
    lines.sort();
    for line in lines {
        let _ = writeln!(text, "< {line}");
    }
    text
}

/// A test in the place of a running process that is to be replaced.
struct PlayedPredecessor {
    /// The sockets that the next process takes over.
    listeners: Vec<OwnedFd>,
    /// Listens at the handover socket.
    handover: UnixListener,
    /// The link to the running process, which would listen at its socket again if it lost its successor.
    _link: Link,
}

/// Takes the place of the running process.
fn replace_predecessor(environment: &TestEnvironment) -> PlayedPredecessor {
    let path = handover_socket(environment);
    let mut link = Link::new(UnixStream::connect(&path).expect("the node listens"));
    let (listeners, _, _) = link.receive_state();
    let new_socket = path.with_extension("test");
    let handover = UnixListener::bind(&new_socket).expect("a socket");
    std::fs::rename(&new_socket, path).expect("renamed");
    PlayedPredecessor {
        listeners,
        handover,
        _link: link,
    }
}

/// Sends SIGHUP to the process that was started last while it waits in a system call, and returns once it waits again.
fn interrupt_wait(environment: &TestEnvironment) {
    wait_until_asleep(environment);
    environment.signal(environment.running() - 1, "-HUP");
    wait_until_asleep(environment);
}

/// Waits until the process that was started last sleeps and has no pending signal.
fn wait_until_asleep(environment: &TestEnvironment) {
    let path = format!("/proc/{}/status", environment.process_id());
    let deadline = Instant::now() + TIMEOUT;
    let is_asleep = |status: &str| {
        let mut lines = status.lines().filter_map(|line| line.split_once(":\t"));
        lines.all(|(name, value)| match name {
            "State" => value.starts_with('S'),
            "SigPnd" | "ShdPnd" => value.bytes().all(|digit| digit == b'0'),
            _ => true,
        })
    };
    while !is_asleep(&std::fs::read_to_string(&path).expect("the process runs")) {
        assert!(Instant::now() < deadline, "the process does not wait");
        std::thread::sleep(Duration::from_millis(1));
    }
}

/// Guards against a signal that makes a starting process give up the takeover, and start without sockets and state.
#[test]
fn a_signal_during_the_takeover_does_not_end_it() {
    let mut environment = TestEnvironment::start(EnvironmentOptions::default());
    let predecessor = replace_predecessor(&environment);
    let body = r#"{"out":["w2"],"list":{"revision":0,"complete":true,"members":[]},"told_in_us":null,"parties":[],"sources":{}}"#;
    let whole = format!("{:08x}\n{body}", body.len()).into_bytes();
    let successor = environment.launch_successor();
    let accepted = predecessor.handover.accept();
    let (stream, _) = accepted.expect("the new process connects");
    let mut link = Link::new(stream);
    interrupt_wait(&environment);
    let (first, rest) = whole.split_at(HEADER_LENGTH / 2);
    link.send_with_listeners(&predecessor.listeners, first);
    interrupt_wait(&environment);
    let (second, rest) = rest.split_at(HEADER_LENGTH);
    let stream = link.reader.get_mut();
    stream.write_all(second).expect("the new process reads");
    interrupt_wait(&environment);
    let stream = link.reader.get_mut();
    stream.write_all(rest).expect("the new process reads");
    environment.await_successor(successor);
    assert!(environment.has_logged("takes over from a process that runs"));
    environment.wait_for_member("w2", |line| line.is_some_and(|line| line.contains(" out ")));
}

/// A new process takes over the state in the golden lines of the process that it replaces.
#[test]
fn a_successor_takes_over_the_state_of_its_predecessor() {
    let mut environment = TestEnvironment::start(EnvironmentOptions::default());
    // The test takes the listeners over from the running process, and hands them over to the next one.
    let predecessor = replace_predecessor(&environment);
    let member = |id: usize| {
        let addr = environment.workers[id].address;
        format!(
            r#"{{"id":"{}","host_port":"{addr}","locality":"east","flavor":"std","cell":0,"phase":"up","up_since_ms":0}}"#,
            environment.workers[id].id
        )
    };
    let state = format!(
        r#"{{"out":["w2"],"list":{{"revision":3,"complete":true,"members":[{},{}]}},"told_in_us":null,"parties":["submission","other"],"sources":{{}}}}"#,
        member(0),
        member(1)
    );
    let lines = [
        r#"{"party":["submission",{"session":{"name":"film","last":1,"events":[["n0-9-0","QUEUED_HELD",null]]}}]}"#,
        r#"{"party":["submission",{"array":{"id":"n0-9-1","template":{"remoteCommand":"/${PARAMETRIC_INDEX}","jobCategory":"preview","accountingId":"au","submitAsHold":true},"session":null,"max_parallel":1,"stopped":false}}]}"#,
        r#"{"party":["submission",{"job":{"id":"n0-9-0","template":{"remoteCommand":"/held","jobCategory":"preview","accountingId":"au","submitAsHold":true},"session":"film","state":"QUEUED_HELD","submitted":1000000,"since":9000000000000000,"deadline":18446744073709551615}}]}"#,
        r#"{"party":["submission",{"job":{"id":"n0-9-2","array":"n0-9-1","index":1,"state":"QUEUED_HELD","submitted":1000000,"since":9000000000000000,"deadline":18446744073709551615}}]}"#,
        r#"{"party":["submission",{"job":{"id":"n0-9-3","array":"n0-9-1","index":2,"state":"DONE","result":"bWFkZQ==","machine":"w1","submitted":1000000,"started":2000000,"finished":3000000,"due":9000000000000000}}]}"#,
        r#"{"party":["submission","end"]}"#,
        r#"{"party":["nobody",{"any":1}]}"#,
        r#"{"out":"w1"}"#,
        r#"{"back":"w2"}"#,
        r#""ending""#,
    ];
    let predecessor = std::thread::spawn(move || play_predecessor(&predecessor, &state, &lines));
    environment.crash_and_restart();
    let transcript = predecessor
        .join()
        .expect("the predecessor has sent and received all lines");
    let mut text = normalize(&environment, &transcript);
    let mut submitter = Submitter::connect(&environment);
    for request in [
        json!({"seq": 1, "op": "listSessions"}),
        json!({"seq": 2, "op": "getJobInfo", "jobId": "n0-9-0"}),
        json!({"seq": 3, "op": "getJobInfo", "jobId": "n0-9-2"}),
        json!({"seq": 4, "op": "getJobInfo", "jobId": "n0-9-3"}),
        json!({"seq": 5, "op": "getJobArray", "jobArrayId": "n0-9-1"}),
    ] {
        let _ = writeln!(text, "asked {request}");
        let _ = writeln!(text, "told  {}", submitter.request(&request));
    }
    environment.wait_for_member("w1", |line| line.is_some_and(|line| line.contains(" out ")));
    environment.wait_for_member("w2", |line| line.is_some_and(|line| line.contains(" in ")));
    assert_snapshot!("heard_by_a_successor", text);
}
