//! What two processes of a node tell each other over the Unix socket while one replaces the other, as golden files. A
//! test speaks the other end, so these lines are those of any version of the program. Times and ports are replaced.

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
use std::time::Duration;

/// Far longer than anything takes.
const PATIENCE: Duration = Duration::from_secs(30);
/// As many digits as a time of the node's clock has, or more.
const DIGITS_OF_A_TIME: usize = 13;
/// The length of what is handed on comes first: eight hexadecimal digits and a line's end.
const HEAD: usize = 9;
/// The listeners that a node hands on: for clients and for submitters.
const LISTENERS: usize = 2;

/// The text with each time replaced; what stands for no time stays.
fn without_times(text: &str) -> String {
    let mut out = String::new();
    let mut rest = text;
    while let Some(start) = rest.find(|c: char| c.is_ascii_digit()) {
        let (before, from) = rest.split_at(start);
        let end = from.find(|c: char| !c.is_ascii_digit());
        let (digits, after) = from.split_at(end.unwrap_or(from.len()));
        let is_time = digits.len() >= DIGITS_OF_A_TIME && digits != u64::MAX.to_string();
        out += before;
        out += if is_time { "TIME" } else { digits };
        rest = after;
    }
    out + rest
}

/// The text without what differs from run to run.
fn settled(lab: &TestEnvironment, text: &str) -> String {
    let mut text = without_times(text);
    for worker in &lab.workers {
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

fn path(lab: &TestEnvironment) -> PathBuf {
    lab.folder().join("marbledeck-n0")
}

/// A submitter's connection.
struct Submitter {
    reader: BufReader<TcpStream>,
}

impl Submitter {
    fn connect(lab: &TestEnvironment) -> Self {
        let stream = TcpStream::connect(&lab.submission_address).expect("the node listens");
        stream.set_read_timeout(Some(PATIENCE)).expect("a socket");
        Submitter {
            reader: BufReader::new(stream),
        }
    }

    /// Says a line; tells the next one that is no event.
    fn ask(&mut self, request: &Value) -> String {
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

/// The link between the two processes.
struct Link {
    reader: BufReader<UnixStream>,
}

impl Link {
    fn new(stream: UnixStream) -> Self {
        stream.set_read_timeout(Some(PATIENCE)).expect("a socket");
        Link {
            reader: BufReader::new(stream),
        }
    }

    fn say(&mut self, line: &str) {
        writeln!(self.reader.get_mut(), "{line}").expect("the node reads");
    }

    fn next(&mut self) -> String {
        let mut line = String::new();
        let read = self.reader.read_line(&mut line).expect("the node speaks");
        assert!(read > 0, "the link ended");
        line.trim_end().to_owned()
    }

    /// What a process hands on when another comes: its listeners, which come with the head, and the body.
    fn receive_state(&mut self) -> (Vec<OwnedFd>, String, String) {
        let mut head = [0; HEAD];
        let mut space = [MaybeUninit::uninit(); rustix::cmsg_space!(ScmRights(LISTENERS))];
        let mut control = RecvAncillaryBuffer::new(&mut space);
        let mut parts = [IoSliceMut::new(&mut head)];
        let link = self.reader.get_ref();
        let got = rustix::net::recvmsg(link, &mut parts, &mut control, RecvFlags::WAITALL);
        assert_eq!(got.expect("a head").bytes, HEAD);
        let mut listeners = Vec::new();
        for message in control.drain() {
            if let RecvAncillaryMessage::ScmRights(passed) = message {
                listeners.extend(passed);
            }
        }
        let head = String::from_utf8(head.to_vec()).expect("text");
        let length = usize::from_str_radix(head.trim_end(), 16).expect("a length");
        let mut body = vec![0; length];
        self.reader.read_exact(&mut body).expect("a body");
        (listeners, head, String::from_utf8(body).expect("text"))
    }

    /// Hands on these listeners with a body.
    fn send_state(&mut self, listeners: &[OwnedFd], body: &str) {
        let whole = format!("{:08x}\n{body}", body.len());
        let listeners: Vec<_> = listeners.iter().map(AsFd::as_fd).collect();
        let mut space = [MaybeUninit::uninit(); rustix::cmsg_space!(ScmRights(LISTENERS))];
        let mut control = SendAncillaryBuffer::new(&mut space);
        assert!(control.push(SendAncillaryMessage::ScmRights(&listeners)));
        let parts = [IoSlice::new(whole.as_bytes())];
        let link = self.reader.get_ref();
        let sent = rustix::net::sendmsg(link, &parts, &mut control, SendFlags::empty());
        assert_eq!(sent.expect("the new process reads"), whole.len());
    }
}

/// What a running process tells one that comes to replace it.
#[test]
fn a_node_sends_its_state_to_its_successor() {
    let mut lab = TestEnvironment::start(EnvironmentOptions::default());
    for worker in &lab.workers {
        lab.wait_for_member(&worker.id, |line| {
            line.is_some_and(|line| line.contains(" in "))
        });
    }
    let mut submitter = Submitter::connect(&lab);
    for request in [
        json!({"seq": 1, "op": "createSession", "name": "film"}),
        json!({"seq": 2, "op": "runJob", "session": "film", "template": {"remoteCommand": "/held", "jobCategory": "preview",
            "accountingId": "au", "submitAsHold": true}}),
        json!({"seq": 3, "op": "runBulkJobs", "beginIndex": 1, "endIndex": 2, "maxParallel": 1, "template":
            {"remoteCommand": "/${PARAMETRIC_INDEX}", "jobCategory": "preview", "accountingId": "au", "submitAsHold": true}}),
    ] {
        submitter.ask(&request);
    }
    assert_eq!(lab.call_admin("set-down w3").as_deref(), Some("ACK w3 out"));
    let mut link = Link::new(UnixStream::connect(path(&lab)).expect("the node listens"));
    let (listeners, head, body) = link.receive_state();
    assert_eq!(head, format!("{:08x}\n", body.len()));
    let addresses = listeners.into_iter().map(|listener| {
        let address = TcpListener::from(listener).local_addr();
        address.expect("a listener has an address").to_string()
    });
    let expected = [lab.client_address.clone(), lab.submission_address.clone()];
    assert_eq!(addresses.collect::<Vec<_>>(), expected);
    let mut text = format!("state: {}\n", settled(&lab, &body));
    lab.call_admin("set-down w1");
    let _ = writeln!(text, "< {}", link.next());
    lab.call_admin("set-up w1");
    let _ = writeln!(text, "< {}", link.next());
    for line in [r#"{"parties":["submission"]}"#, r#""serving""#] {
        let _ = writeln!(text, "> {line}");
        link.say(line);
    }
    loop {
        let line = link.next();
        let _ = writeln!(text, "< {}", settled(&lab, &line));
        if line.contains(r#""end""#) {
            break;
        }
    }
    let taken = r#"{"party":["submission","taken"]}"#;
    let _ = writeln!(text, "> {taken}");
    link.say(taken);
    lab.signal(0, "-TERM");
    let _ = writeln!(text, "< {}", link.next());
    assert!(lab.exits_cleanly(0), "the old process ends by itself");
    assert_snapshot!("told_to_a_successor", text);
}

/// The predecessor's side: hands on its state, receives the services of the new process, and sends it these lines.
fn precede(listener: &UnixListener, listeners: &[OwnedFd], state: &str, lines: &[&str]) -> String {
    let (stream, _) = listener.accept().expect("the new process comes");
    let mut link = Link::new(stream);
    link.send_state(listeners, state);
    let mut text = format!("state: {state}\n< {}\n", link.next());
    for line in lines {
        let _ = writeln!(text, "> {line}");
        link.say(line);
    }
    // That it serves and that it has taken all, in either order.
    let mut lines = [link.next(), link.next()];
    lines.sort();
    for line in lines {
        let _ = writeln!(text, "< {line}");
    }
    text
}

/// What a process makes of the golden words of the one that it replaces.
#[test]
fn a_successor_takes_over_the_state_of_its_predecessor() {
    let mut lab = TestEnvironment::start(EnvironmentOptions::default());
    // What the running process hands on is handed on once more, by the test.
    let mut link = Link::new(UnixStream::connect(path(&lab)).expect("the node listens"));
    let (listeners, _, _) = link.receive_state();
    // Takes the place of the listener of the process that runs, as another process of this node would.
    let beside = path(&lab).with_extension("test");
    let listener = UnixListener::bind(&beside).expect("a socket");
    std::fs::rename(&beside, path(&lab)).expect("renamed");
    let member = |id: usize| {
        let addr = lab.workers[id].address;
        format!(
            r#"{{"id":"{}","host_port":"{addr}","locality":"east","flavor":"std","cell":0,"phase":"up","up_since_ms":0}}"#,
            lab.workers[id].id
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
    let predecessor = std::thread::spawn(move || precede(&listener, &listeners, &state, &lines));
    lab.crash_and_restart();
    let said = predecessor.join().expect("it has received all");
    let mut text = settled(&lab, &said);
    let mut submitter = Submitter::connect(&lab);
    for request in [
        json!({"seq": 1, "op": "listSessions"}),
        json!({"seq": 2, "op": "getJobInfo", "jobId": "n0-9-0"}),
        json!({"seq": 3, "op": "getJobInfo", "jobId": "n0-9-2"}),
        json!({"seq": 4, "op": "getJobInfo", "jobId": "n0-9-3"}),
        json!({"seq": 5, "op": "getJobArray", "jobArrayId": "n0-9-1"}),
    ] {
        let _ = writeln!(text, "asked {request}");
        let _ = writeln!(text, "told  {}", submitter.ask(&request));
    }
    lab.wait_for_member("w1", |line| line.is_some_and(|line| line.contains(" out ")));
    lab.wait_for_member("w2", |line| line.is_some_and(|line| line.contains(" in ")));
    assert_snapshot!("heard_by_a_successor", text);
}
