//! The discovery stub's record of what it has told, which the tests of the drain rule rely on, agrees with the bytes
//! that it has written.

use marbledeck_test_support::{AnswerForm, Delivery, DiscoveryStub, ListedEndpoint};
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::time::{Duration, Instant};

const READ_TIMEOUT: Duration = Duration::from_secs(30);
/// Longer than an answer up to its first entry, and shorter than one up to its second.
const FIRST_ENTRY_BYTES: usize = 300;

/// Lists these workers with this phase, in one revision.
fn list(discovery: &DiscoveryStub, ids: &[&str], phase: &str) {
    let address: SocketAddr = "127.99.0.1:9".parse().expect("an address");
    let entry = |id| ListedEndpoint { id, address, phase };
    let entries: Vec<ListedEndpoint> = ids.iter().copied().map(entry).collect();
    discovery.set_workers(&entries);
}

/// A connection as a process of the node has it.
struct NodeConnection {
    stream: TcpStream,
    /// Bytes that were read and not expected yet.
    received: Vec<u8>,
}

impl NodeConnection {
    fn open(address: SocketAddr) -> Self {
        let stream = TcpStream::connect(address).expect("a connection");
        let timeout = stream.set_read_timeout(Some(READ_TIMEOUT));
        timeout.expect("a read timeout");
        let received = Vec::new();
        NodeConnection { stream, received }
    }

    /// Asks for the changes after a revision.
    fn ask(&mut self, after: u64) {
        let path = format!("/v1/endpoints?after={after}&wait_ms=20000");
        let request = format!("GET {path} HTTP/1.1\r\nHost: d\r\n\r\n");
        let written = self.stream.write_all(request.as_bytes());
        written.expect("a written request");
    }

    /// Reads up to the next `text`, and skips all before it.
    fn read_until(&mut self, text: &str) {
        let mut buffer = [0; 4096];
        loop {
            let received = String::from_utf8_lossy(&self.received);
            if let Some(start) = received.find(text) {
                self.received.drain(..start + text.len());
                return;
            }
            let length = self.stream.read(&mut buffer).expect("an answer");
            assert!(length > 0, "the connection was closed before {text}");
            self.received.extend_from_slice(&buffer[..length]);
        }
    }
}

/// Guards against a notice of an older revision that is recorded after its worker was listed as up again, and stays
/// although the node is told so.
#[test]
fn a_drain_written_after_the_worker_came_back_ends_with_the_next_answer() {
    let discovery = DiscoveryStub::start();
    list(&discovery, &["w1"], "up");
    let mut node = NodeConnection::open(discovery.address);
    discovery.hold_answers(true);
    list(&discovery, &["w1"], "draining");
    node.ask(1);
    discovery.wait_for_held_answers(1);
    list(&discovery, &["w1"], "up");
    discovery.hold_answers(false);
    node.read_until("draining");
    assert!(discovery.notice("w1").is_some(), "the drain was written");
    node.ask(2);
    node.read_until("\"phase\":\"up\"");
    assert!(discovery.notice("w1").is_none(), "its end was written");
}

/// Guards against a drain that is forgotten as soon as the worker is up again, although the node is not told so yet.
#[test]
fn a_drain_lasts_until_the_entry_of_the_worker_that_is_up_again_is_written() {
    for form in [
        AnswerForm::Compact,
        AnswerForm::Indented,
        AnswerForm::Chunked,
    ] {
        let discovery = DiscoveryStub::start();
        discovery.set_answers(form, Delivery::AtOnce);
        list(&discovery, &["w1", "w2"], "draining");
        let mut node = NodeConnection::open(discovery.address);
        node.ask(0);
        node.read_until("]");
        list(&discovery, &["w1", "w2"], "up");
        let both = discovery.notice("w1").zip(discovery.notice("w2"));
        assert!(both.is_some(), "the drains are what the node was told last");
        discovery.set_answers(form, Delivery::StopAfter(FIRST_ENTRY_BYTES));
        node.ask(1);
        node.read_until("w1");
        assert_eq!(discovery.notice("w1"), None, "{form:?}");
        assert!(discovery.notice("w2").is_some(), "{form:?}");
        discovery.resume();
        node.read_until("]");
        assert_eq!(discovery.notice("w2"), None, "{form:?}");
    }
}

/// A drain counts from the first byte of its answer, even if its own entry is not written.
#[test]
fn a_drain_counts_from_the_first_byte_of_its_answer() {
    let discovery = DiscoveryStub::start();
    discovery.set_answers(AnswerForm::Compact, Delivery::StopAfter(1));
    list(&discovery, &["w1"], "draining");
    let mut node = NodeConnection::open(discovery.address);
    node.ask(0);
    node.read_until("H");
    assert!(discovery.notice("w1").is_some());
}

/// Guards against a request at a drained worker that is overlooked because the worker is up when it is checked.
#[test]
fn an_earlier_notice_can_be_looked_up_after_the_worker_is_up_again() {
    let discovery = DiscoveryStub::start();
    list(&discovery, &["w1"], "draining");
    let mut node = NodeConnection::open(discovery.address);
    let before = Instant::now();
    node.ask(0);
    node.read_until("draining");
    let while_draining = Instant::now();
    list(&discovery, &["w1"], "up");
    node.ask(1);
    node.read_until("\"phase\":\"up\"");
    assert_eq!(discovery.notice("w1"), None);
    assert_eq!(discovery.notice_at("w1", before), None);
    let notice = discovery.notice_at("w1", while_draining);
    assert!(notice.is_some_and(|notice| notice >= before));
}

/// Guards against an answer to a process that has ended which counts for the next one, and against answers that count
/// for no process because they came while it started.
#[test]
fn each_process_is_told_by_its_own_answers_only() {
    let discovery = DiscoveryStub::start();
    list(&discovery, &["w1"], "draining");
    let mut first = NodeConnection::open(discovery.address);
    discovery.hold_answers(true);
    first.ask(0);
    discovery.wait_for_held_answers(1);
    let second_address = discovery.begin_process();
    discovery.hold_answers(false);
    first.read_until("draining");
    assert_eq!(discovery.notice("w1"), None);
    let mut second = NodeConnection::open(second_address);
    second.ask(0);
    second.read_until("draining");
    assert!(discovery.notice("w1").is_some());
}

/// Guards against a drain of a pushed list that is forgotten during an outage, in which nothing is told.
#[test]
fn pushed_changes_of_an_outage_are_told_when_it_ends() {
    let discovery = DiscoveryStub::start();
    list(&discovery, &["w1"], "draining");
    list(&discovery, &["w2"], "up");
    discovery.push_lists();
    let told = discovery.notice("w1");
    assert!(told.is_some(), "a pushed list counts at once");
    discovery.set_down(true);
    list(&discovery, &["w1"], "up");
    list(&discovery, &["w2"], "draining");
    assert_eq!(discovery.notice("w1"), told);
    assert_eq!(discovery.notice("w2"), None);
    discovery.set_down(false);
    assert_eq!(discovery.notice("w1"), None);
    assert!(discovery.notice("w2").is_some());
    discovery.begin_process();
    assert!(
        discovery.notice("w2").is_some(),
        "it has the list at its start"
    );
}
