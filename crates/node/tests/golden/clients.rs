//! The bytes of answers to clients: `/ready`, results of jobs, and every answer that the node itself gives.

use crate::assert_golden;
use crate::support::{bind_listener, list_entry, node_file, Connection, Node};
use crate::text::{self, section, without_numbers_after};
use std::io::Write as _;
use std::net::{SocketAddr, TcpListener};

/// A job of the class `preview`, with these additional header lines.
fn job(target: &str, id: &str, more: &str) -> String {
    format!(
        "POST {target} HTTP/1.1\r\nX-Txn: {id}\r\nX-Lane: preview\r\nX-Org: au\r\nX-Remaining-Ms: 7000\r\n{more}\r\n"
    )
}

/// A keyed job, for which the same worker is not asked twice.
fn keyed_job(target: &str, id: &str) -> String {
    format!(
        "POST {target} HTTP/1.1\r\nX-Txn: {id}\r\nX-Lane: sheet-publish\r\nX-Org: au\r\nX-Remaining-Ms: 20000\r\n\
         Idempotency-Key: {id}\r\n\r\n"
    )
}

fn head(lines: &[&str]) -> String {
    lines
        .iter()
        .map(|line| format!("{line}\r\n"))
        .collect::<String>()
        + "\r\n"
}

/// An answer as text. Replaces the retry time of status 429, which depends on the load.
fn describe_answer(bytes: &[u8]) -> String {
    let text = text::escape_bytes(bytes);
    if text.starts_with("HTTP/1.1 429 ") {
        without_numbers_after(&text, "Retry-After: ", "<seconds>")
    } else {
        text
    }
}

/// A node with one worker, which the test plays.
struct Fixture {
    node: Node,
    worker: TcpListener,
    _discovery: TcpListener,
}

impl Fixture {
    fn start(change: impl FnOnce(&mut serde_json::Value)) -> Self {
        let (discovery, discovery_address) = bind_listener();
        let (worker, worker_address): (_, SocketAddr) = bind_listener();
        let mut file = node_file(discovery_address, &[list_entry("w1", worker_address)]);
        change(&mut file);
        Fixture {
            node: Node::start(&file, ""),
            worker,
            _discovery: discovery,
        }
    }

    fn client(&self) -> Connection {
        Connection::connect(&self.node.client_address)
    }

    /// Sends a request on a connection of its own. Returns the answer.
    fn request(&self, request: impl AsRef<[u8]>) -> String {
        describe_answer(&self.client().request(request))
    }
}

/// A worker's response with these lines in one chunk.
fn worker_response(lines: &str) -> String {
    let length = lines.len();
    format!(
        "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n{length:x}\r\n{lines}\r\n0\r\n\r\n"
    )
}

#[test]
fn requests_that_need_no_worker_are_answered_by_the_node() {
    let fixture = Fixture::start(|_| ());
    let mut golden = String::new();
    let ready = [
        ("GET /ready", "GET /ready HTTP/1.1\r\n\r\n"),
        ("GET /ready of HTTP/1.0", "GET /ready HTTP/1.0\r\n\r\n"),
        ("GET /ready with a query", "GET /ready?x=1 HTTP/1.1\r\n\r\n"),
        (
            "GET /ready and close",
            "GET /ready HTTP/1.1\r\nConnection: close\r\n\r\n",
        ),
        ("HEAD /ready", "HEAD /ready HTTP/1.1\r\n\r\n"),
        ("POST /ready", "POST /ready HTTP/1.1\r\n\r\n"),
        ("GET /other", "GET /other HTTP/1.1\r\n\r\n"),
        ("PUT /other", "PUT /other HTTP/1.1\r\n\r\n"),
        ("HEAD /other", "HEAD /other HTTP/1.1\r\n\r\n"),
    ];
    for (title, request) in ready {
        golden += &section(title, &fixture.request(request));
    }
    for (title, request) in refused_requests() {
        golden += &section(title, &fixture.request(request));
    }
    assert_golden("consumers_answers", &golden);
}

/// Requests that are answered without a worker.
#[expect(clippy::too_many_lines, reason = "a table of requests")]
fn refused_requests() -> Vec<(&'static str, String)> {
    let start = "POST /x HTTP/1.1";
    let (id, class, tenant) = ("X-Txn: t-1", "X-Lane: preview", "X-Org: au");
    let time = "X-Remaining-Ms: 7000";
    let long_word = format!("X-Txn: {}", "x".repeat(2049));
    let long_field = format!("X-Long: {}", "x".repeat(17 * 1024));
    let mut many_fields = vec![start];
    many_fields.extend(["X-Many: 1"; 101]);
    vec![
        ("no X-Txn", head(&[start, class, tenant, time])),
        ("X-Txn twice", head(&[start, id, id, class, tenant, time])),
        ("X-Txn empty", head(&[start, "X-Txn:", class, tenant, time])),
        (
            "X-Txn of two words",
            head(&[start, "X-Txn: a b", class, tenant, time]),
        ),
        (
            "X-Txn too long",
            head(&[start, &long_word, class, tenant, time]),
        ),
        ("no X-Lane", head(&[start, id, tenant, time])),
        (
            "X-Lane unknown",
            head(&[start, id, "X-Lane: none", tenant, time]),
        ),
        ("no X-Org", head(&[start, id, class, time])),
        (
            "X-Org unknown",
            head(&[start, id, class, "X-Org: none", time]),
        ),
        ("no X-Remaining-Ms", head(&[start, id, class, tenant])),
        (
            "X-Remaining-Ms 0",
            head(&[start, id, class, tenant, "X-Remaining-Ms: 0"]),
        ),
        (
            "X-Remaining-Ms -5",
            head(&[start, id, class, tenant, "X-Remaining-Ms: -5"]),
        ),
        (
            "X-Remaining-Ms 1.5",
            head(&[start, id, class, tenant, "X-Remaining-Ms: 1.5"]),
        ),
        (
            "keyed without a key",
            head(&[start, id, "X-Lane: sheet-publish", tenant, time]),
        ),
        (
            "Idempotency-Key of two words",
            head(&[start, id, class, tenant, time, "Idempotency-Key: a b"]),
        ),
        (
            "unknown licence",
            head(&[start, id, class, tenant, time, "X-Labels: licence=av1"]),
        ),
        (
            "target no path",
            head(&["POST x HTTP/1.1", id, class, tenant, time]),
        ),
        ("no request", head(&["no request at all"])),
        ("request line of one word", head(&["POST"])),
        ("HTTP/2.0", head(&["POST /x HTTP/2.0", id])),
        ("malformed field", head(&[start, "no colon"])),
        ("space before the colon", head(&[start, "X-Txn : a"])),
        ("control character", head(&[start, "X-Txn: a\u{1}b"])),
        (
            "length and chunks",
            head(&[start, "Content-Length: 5", "Transfer-Encoding: chunked"]),
        ),
        (
            "two lengths",
            head(&[start, "Content-Length: 5", "Content-Length: 5"]),
        ),
        ("malformed length", head(&[start, "Content-Length: +5"])),
        (
            "unknown transfer coding",
            head(&[start, "Transfer-Encoding: gzip"]),
        ),
        (
            "malformed chunk size",
            head(&[start, "Transfer-Encoding: chunked"]) + "x\r\n",
        ),
        (
            "chunk longer than its size",
            head(&[start, "Transfer-Encoding: chunked"]) + "1\r\nab\r\n",
        ),
        (
            "chunk line without its end",
            head(&[start, "Transfer-Encoding: chunked"]) + "1\n",
        ),
        ("body too long", head(&[start, "Content-Length: 65537"])),
        (
            "chunk too long",
            head(&[start, "Transfer-Encoding: chunked"]) + "fffffffffffffffffff\r\n",
        ),
        ("head too long", head(&[start, &long_field])),
        ("too many fields", head(&many_fields)),
    ]
}

/// Jobs that a worker serves, turns away or fails, and the answers to their clients.
#[test]
fn jobs_come_back_with_the_answers_of_their_workers() {
    let fixture = Fixture::start(|_| ());
    let mut client = fixture.client();
    let mut golden = String::new();
    client.send(job("/served", "t-1", ""));
    let mut worker = Connection::accept(&fixture.worker);
    worker.read_message();
    // The first job is still open, so its id cannot be used again.
    golden += &section("id is open", &fixture.request(job("/again", "t-1", "")));
    worker.send(worker_response(
        "{\"id\":\"t-1\",\"state\":\"done\",\"result\":\"made\"}\n",
    ));
    golden += &section("served", &describe_answer(&client.read_message()));
    client.send(job("/empty", "t-2", "Connection: close\r\n"));
    worker.read_message();
    worker.send(worker_response(
        "{\"id\":\"t-2\",\"state\":\"done\",\"result\":\"\"}\n",
    ));
    golden += &section(
        "served, empty, and close",
        &describe_answer(&client.read_to_end()),
    );
    let mut client = fixture.client();
    client.send(keyed_job("/away", "t-3"));
    worker.read_message();
    worker.send("HTTP/1.1 503 Service Unavailable\r\nX-Turned-Away: 1\r\nX-Pressure: {\"x0\":2}\r\nContent-Length: 0\r\n\r\n");
    golden += &section("turned away", &describe_answer(&client.read_message()));
    client.send(keyed_job("/failed", "t-4"));
    worker.read_message();
    worker.send(worker_response("{\"id\":\"t-4\",\"state\":\"failed\"}\n"));
    golden += &section("failed", &describe_answer(&client.read_message()));
    assert_golden("consumers_jobs", &golden);
}

/// A client that expects `100 Continue` gets it before it sends the body.
#[test]
fn a_client_that_waits_is_invited_to_send_its_body() {
    let fixture = Fixture::start(|_| ());
    let mut client = fixture.client();
    client.send("PUT /x HTTP/1.1\r\nContent-Length: 2\r\nExpect: 100-continue\r\n\r\n");
    let mut golden = section("interim", &describe_answer(&client.read_message()));
    golden += &section("final", &describe_answer(&client.request("ab")));
    assert_golden("consumers_continue", &golden);
}

/// An incomplete request is answered after a timeout.
#[test]
fn a_request_that_does_not_end_is_answered_after_a_timeout() {
    let fixture = Fixture::start(|_| ());
    let mut half_head = fixture.client();
    half_head.send("POST /x HTTP/1.1\r\nX-Txn: t");
    let mut half_body = fixture.client();
    half_body.send(job("/x", "t-1", "Content-Length: 9\r\n") + "x");
    let mut golden = section("half a head", &describe_answer(&half_head.read_to_end()));
    golden += &section("half a body", &describe_answer(&half_body.read_to_end()));
    golden += &section("nothing", &describe_answer(&fixture.client().read_to_end()));
    assert_golden("consumers_too_slow", &golden);
}

/// Jobs beyond the limit of open jobs and bodies beyond the memory limit are rejected.
#[test]
fn jobs_and_bodies_beyond_the_limits_are_rejected() {
    let fixture = Fixture::start(|file| file["settings"]["bounds"]["max-open"] = 1.into());
    let mut first = fixture.client();
    first.send(job("/first", "t-1", ""));
    let mut worker = Connection::accept(&fixture.worker);
    worker.read_message();
    let mut golden = section("too many jobs", &fixture.request(job("/second", "t-2", "")));
    let fixture = Fixture::start(|file| file["limits"]["memory_mb"] = 32.into());
    let large = "POST /x HTTP/1.1\r\nContent-Length: 65536\r\nExpect: 100-continue\r\n\r\n";
    let mut open = Vec::new();
    for _ in 0..64 {
        let mut client = fixture.client();
        client.send(large);
        client.read_message();
        open.push(client);
    }
    let mut last = fixture.client();
    last.send(large);
    golden += &section("too many bodies", &describe_answer(&last.read_to_end()));
    assert_golden("consumers_no_room", &golden);
}

/// A node is not ready while it knows no worker, and after SIGTERM.
#[test]
fn a_node_without_workers_or_in_shutdown_is_not_ready() {
    let (_discovery, discovery) = bind_listener();
    let node = Node::start(&node_file(discovery, &[]), "");
    let ready = "GET /ready HTTP/1.1\r\n\r\n";
    let mut client = Connection::connect(&node.client_address);
    let mut golden = section(
        "no worker: GET /ready",
        &describe_answer(&client.request(ready)),
    );
    let mut fixture = Fixture::start(|_| ());
    let mut open = fixture.client();
    open.request(ready);
    fixture.node.terminate();
    fixture.node.wait_for_log("ending");
    golden += &section("ending: GET /ready", &describe_answer(&open.request(ready)));
    assert_golden("consumers_not_ready", &golden);
}

/// Requests that arrive together are answered in their order.
#[test]
fn pipelined_requests_are_answered_in_order() {
    let fixture = Fixture::start(|_| ());
    let mut client = fixture.client();
    let first = "GET /ready HTTP/1.1\r\n\r\n";
    let last = "GET /none HTTP/1.1\r\nConnection: close\r\n\r\n";
    client
        .0
        .write_all(format!("{first}{first}{last}").as_bytes())
        .expect("sent");
    assert_golden(
        "consumers_pipelined",
        &describe_answer(&client.read_to_end()),
    );
}
